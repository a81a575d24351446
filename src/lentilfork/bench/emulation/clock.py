"""Virtual time with a queue of events."""

import heapq
from collections.abc import Callable
from itertools import count

__all__ = ["VirtualClock"]


class VirtualClock:
    """Time in seconds that passes from event to event."""

    now: float
    # Time, number and function of each event; the number keeps equal times in order.
    events: list[tuple[float, int, Callable[[], object]]]
    event_numbers: "count[int]"

    def __init__(self) -> None:
        self.now = 0.0
        self.events = []
        self.event_numbers = count()

    def call_at(self, at_s: float, call: Callable[[], object]) -> None:
        """Schedule a call for a time."""
        heapq.heappush(self.events, (at_s, next(self.event_numbers), call))

    def call_in(self, delay_s: float, call: Callable[[], object]) -> None:
        """Schedule a call after a delay."""
        self.call_at(self.now + delay_s, call)

    def run(self, until_s: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= until_s:
            self.now, _, call = heapq.heappop(self.events)
            call()
        self.now = until_s
