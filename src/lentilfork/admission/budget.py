"""Retry budget: retries are a share of the requests, never a storm."""

from typing import Final

__all__ = ["RetryBudget"]

MAXIMUM_SAVED: Final = 10.0


class RetryBudget:
    """Allows a percentage of requests to be retried, with a small saving."""

    # Retries that may be made now.
    saved: float

    def __init__(self) -> None:
        self.saved = MAXIMUM_SAVED

    def earn(self, percent: int) -> None:
        """Count a request, which earns `percent` of a retry."""
        self.saved = min(MAXIMUM_SAVED, self.saved + percent / 100)

    def spend(self) -> bool:
        """Take one retry; False if the budget is used up."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
