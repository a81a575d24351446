"""Retry budget: limits retries to a share of the requests.

This prevents a retry storm when many requests fail at the same time.
"""

from typing import Final

__all__ = ["RetryBudget"]

# Retries that may be made in a burst.
MAXIMUM_TOKENS: Final = 10.0


class RetryBudget:
    """Allows a percentage of requests to be retried, plus a small burst.

    One token pays for one retry; unused tokens accumulate up to MAXIMUM_TOKENS.
    """

    # Tokens available now; one retry costs one token.
    tokens: float

    def __init__(self) -> None:
        self.tokens = MAXIMUM_TOKENS

    def record_request(self, percent: int) -> None:
        """Count a request, which adds `percent` hundredths of a token."""
        self.tokens = min(MAXIMUM_TOKENS, self.tokens + percent / 100)

    def try_acquire(self) -> bool:
        """Consume one token; return False if the budget is exhausted."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
