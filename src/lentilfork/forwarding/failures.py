"""How often a backend server failed requests lately, as its agent saw it.

A server may fail part of its requests, or none in time, while it says that it is
ready; such answers come fast, so that by its load alone it would get more work than
the others. What is known fades, so that a server that recovered is tried again.
"""

from typing import Final

__all__ = ["FailureRate"]

# Weight of one request; ten of them make up most of the share.
SAMPLE_WEIGHT: Final = 0.15
# After this time without requests half of the share is left.
HALF_LIFE_S: Final = 1.0


class FailureRate:
    """Share of the requests of late that failed."""

    share: float
    changed_at: float

    def __init__(self) -> None:
        self.share = 0.0
        self.changed_at = 0.0

    def record(self, now: float, *, failed: bool) -> None:
        """Note how a request ended."""
        share = self.get_share(now)
        self.share = share + SAMPLE_WEIGHT * (failed - share)
        self.changed_at = now

    def get_share(self, now: float) -> float:
        """Return the share, from 0 to 1, that is still worth acting on."""
        return float(self.share * 0.5 ** ((now - self.changed_at) / HALF_LIFE_S))
