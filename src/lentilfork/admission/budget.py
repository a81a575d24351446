"""Retry budget: retries are a share of the requests, never a storm."""

from typing import Final

__all__ = ["RetryBudget"]

MAXIMUM_TOKENS: Final = 10.0


class RetryBudget:
    """Allows a percentage of requests to be retried, with a small saving."""

    # Retries that may be made now.
    tokens: float

    def __init__(self) -> None:
        self.tokens = MAXIMUM_TOKENS

    def record_request(self, percent: int) -> None:
        """Count a request, which earns `percent` of a retry."""
        self.tokens = min(MAXIMUM_TOKENS, self.tokens + percent / 100)

    def try_acquire(self) -> bool:
        """Take one retry; False if the budget is used up."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
