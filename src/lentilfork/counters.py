"""Counters and duration histograms of one process, for metrics and state dumps.

A counter has a name and, where events differ in kind, a reason. Counting is one
dictionary update, which is cheap enough for each packet; `metrics` exports the values.
Durations are counted in histogram buckets with fixed bounds.
"""

from bisect import bisect_left
from collections import Counter
from typing import Final

__all__ = ["DURATION_BOUNDS_S", "Counters"]

# Upper bounds of the histogram buckets, seconds; the range includes all latency
# targets.
DURATION_BOUNDS_S: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)


class Counters:
    """Event counters by name and reason, and duration histograms by name."""

    # Number of events for each (name, reason); the reason is "" for plain counters.
    values: Counter[tuple[str, str]]
    # Number of events in each bucket by name; the last bucket is unbounded.
    durations: dict[str, list[int]]
    # Sum of durations in seconds by name.
    sums_s: dict[str, float]

    def __init__(self) -> None:
        self.values = Counter()
        self.durations = {}
        self.sums_s = {}

    def observe(self, name: str, duration_s: float) -> None:
        """Add a duration to the histogram `name`."""
        buckets = self.durations.get(name)
        if buckets is None:
            buckets = self.durations[name] = [0] * (len(DURATION_BOUNDS_S) + 1)
        buckets[bisect_left(DURATION_BOUNDS_S, duration_s)] += 1
        self.sums_s[name] = self.sums_s.get(name, 0.0) + duration_s

    def add(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Count `amount` events."""
        self.values[name, reason] += amount

    def get(self, name: str, reason: str = "") -> int:
        """Return the number of events counted so far."""
        return self.values[name, reason]

    def dump(self) -> dict[str, int]:
        """Return all counters by "name" or "name.reason", sorted."""
        return {
            f"{name}.{reason}" if reason else name: count
            for (name, reason), count in sorted(self.values.items())
        }
