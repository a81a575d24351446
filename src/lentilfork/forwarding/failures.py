"""Failure rate of a backend server, as observed by its agent.

A backend server may fail some or all of its requests while it announces that it is
ready. Failures are answered fast, so by its load alone it would get more requests than
the others. The rate decays with time, so that a server that recovered is tried again.
"""

from typing import Final

__all__ = ["FailureRate"]

# Weight of one request in the moving average; ten requests make up most of it.
SAMPLE_WEIGHT: Final = 0.15
# Time without requests after which the share has halved.
HALF_LIFE_S: Final = 0.5


class FailureRate:
    """Moving average of the share of requests that failed."""

    # Share at `changed_at`, from 0 to 1.
    share: float
    changed_at: float

    def __init__(self) -> None:
        self.share = 0.0
        self.changed_at = 0.0

    def record(self, now: float, *, failed: bool) -> None:
        """Record whether a request failed."""
        share = self.get_share(now)
        self.share = share + SAMPLE_WEIGHT * (failed - share)
        self.changed_at = now

    def get_share(self, now: float) -> float:
        """Return the share of failed requests, from 0 to 1, decayed until `now`."""
        return float(self.share * 0.5 ** ((now - self.changed_at) / HALF_LIFE_S))
