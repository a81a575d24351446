"""Rate limit: a number of events per second, with a burst of the same size."""

import time

__all__ = ["RateLimit"]


class RateLimit:
    """A token bucket that is refilled at a constant rate."""

    # Tokens added per second, and the capacity of the bucket.
    per_s: float
    tokens: float
    # Monotonic time of the last refill, in seconds.
    refilled_at: float

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.tokens = per_s
        self.refilled_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Consume one token; return False if none is left."""
        now = time.monotonic()
        new_tokens = (now - self.refilled_at) * self.per_s
        self.tokens = min(self.per_s, self.tokens + new_tokens)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
