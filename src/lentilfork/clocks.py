"""The clock for leases, and the incarnation (epoch of one process start).

Lease expiry is computed from the time since boot, which continues while a process is
stopped and while its host is suspended. Wall clocks are not used for leases, because
they may be set.
"""

import time

__all__ = ["draw_incarnation", "read_clock_ms"]

NANOSECONDS_PER_MS = 1_000_000
NANOSECONDS_PER_US = 1_000


def read_clock_ms() -> int:
    """Return the time since boot in milliseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NANOSECONDS_PER_MS


def draw_incarnation() -> int:
    """Return the number of this process start; a later start gets a higher number.

    The number is the wall clock time in microseconds. If the clock was set back between
    two starts, the later process is admitted when the lease of the earlier one expires.
    """
    return time.time_ns() // NANOSECONDS_PER_US
