"""Whether the packets that a process reads may have waited for long.

A process that gets too little time reads packets late. A caller sends a copy of its SYN
after 200 ms, which another agent may get, so a late SYN must not be answered as if it
were the only one. Longer pauses are found by `sockets.PauseDetector`.
"""

from typing import Final

__all__ = ["ReadDelays"]

# Time between two steps of a process from which on the packets that arrived meanwhile
# count as late: shorter than the time until a caller's copy, with some margin.
LATE_GAP_S: Final = 0.15
# Time within which a process reads what has arrived during such a gap.
BACKLOG_S: Final = 0.1


class ReadDelays:
    """Gaps between the steps of one process."""

    stepped_at: float
    late_until: float
    # Whether packets that are read now may be late.
    is_late: bool

    def __init__(self) -> None:
        self.stepped_at = float("inf")
        self.late_until = float("-inf")
        self.is_late = False

    def record_step(self, now: float) -> None:
        """Record that the process has run a timer or read a packet."""
        if now - self.stepped_at > LATE_GAP_S:
            self.late_until = now + BACKLOG_S
        self.stepped_at = now
        self.is_late = now < self.late_until
