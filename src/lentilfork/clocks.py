"""The clock of leases, and the incarnation of a process.

Leases are judged by the time since boot, which goes on while a process is stopped
and while its host is suspended; wall clocks may be set and are not used.
"""

import time

__all__ = ["draw_incarnation", "read_clock_ms"]

NANOSECONDS_PER_MS = 1_000_000
NANOSECONDS_PER_US = 1_000


def read_clock_ms() -> int:
    """Return the time since boot in milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS


def draw_incarnation() -> int:
    """Return a number for this start of the process, larger at each later one.

    It is the wall clock in microseconds. Where that was set back between two
    starts, the later process is admitted once the lease of the earlier is over.
    """
    return time.time_ns() // NANOSECONDS_PER_US
