"""Arrival of one request of a flow, whose packets may come in any order and twice.

A request occupies a backend server from its last byte on, so its agent notes which
bytes have passed. Sequence numbers are relative to the first one of the request.
"""

from typing import Final

from lentilfork.forwarding.packets import SEQUENCE_MODULUS

__all__ = ["RequestArrival"]

# A number further than this behind the first one of a request belongs to the request
# before it.
HALF_MODULUS: Final = SEQUENCE_MODULUS // 2
# Gaps that are kept for one request. A request of 40 kB has some 34 packets, so every
# second one of them may be missing.
MAXIMUM_RANGES: Final = 32


class RequestArrival:
    """The bytes of one request that have passed the agent so far."""

    __slots__ = ("answered", "length", "ranges", "request_id", "start")

    # Sequence number of the first byte; None if it is not known.
    start: int | None
    # Bytes of the request; None before its first packet has been measured.
    length: int | None
    # Received ranges as first number and number after the last one, in order; none
    # unless a part of the request is in transit.
    ranges: list[tuple[int, int]]
    # Whether the backend server has answered before the request was complete.
    answered: bool
    # Id of a request of several packets, "" before its first packet has arrived.
    request_id: str

    def __init__(self, start: int | None) -> None:
        self.start = start
        self.length = None
        self.ranges = []
        self.answered = False
        self.request_id = ""

    def is_former(self, sequence: int) -> bool:
        """Return whether a packet belongs to a request before this one."""
        if self.start is None:
            return False
        return (sequence - self.start) % SEQUENCE_MODULUS >= HALF_MODULUS

    def record(self, sequence: int, payload_bytes: int, length: int | None) -> bool:
        """Record a packet, with the request's length if it begins there.

        Returns whether the request is complete, or of a length that is not known.
        """
        if length is not None:
            if length <= payload_bytes:
                self.start, self.length = sequence, length
                return True
            self.begin(sequence, length)
        elif self.start is None or (self.length is None and sequence == self.start):
            self.start = None
            return True
        assert self.start is not None
        first = (sequence - self.start) % SEQUENCE_MODULUS
        self.add_range(first, first + payload_bytes)
        if len(self.ranges) > MAXIMUM_RANGES:
            return True
        first, end = self.ranges[0]
        return self.length is not None and first == 0 and end >= self.length

    def begin(self, sequence: int, length: int) -> None:
        """Note where a request begins; ranges were relative to the expected number."""
        if self.start is not None and sequence != self.start:
            self.ranges.clear()
            self.answered = False
        self.start, self.length = sequence, length

    def add_range(self, first: int, end: int) -> None:
        """Add a received range and join those that touch it."""
        ranges = self.ranges
        if ranges and ranges[-1][0] <= first <= ranges[-1][1]:
            # Most packets arrive in order.
            if end > ranges[-1][1]:
                ranges[-1] = (ranges[-1][0], end)
            return
        joined: list[tuple[int, int]] = []
        for begin, until in sorted([*ranges, (first, end)]):
            if joined and begin <= joined[-1][1]:
                joined[-1] = (joined[-1][0], max(until, joined[-1][1]))
            else:
                joined.append((begin, until))
        self.ranges = joined

    def expect_next(self) -> None:
        """Expect the request that follows this one on its flow."""
        if self.start is None or self.length is None:
            self.start = None
        else:
            self.start = (self.start + self.length) % SEQUENCE_MODULUS
        self.length = None
        self.ranges.clear()
        self.answered = False
        self.request_id = ""
