"""Rate limit: so many events a second, with a burst of as many."""

import time

__all__ = ["RateLimit"]


class RateLimit:
    """A token bucket that fills with time."""

    # Events allowed in one second, and at once after a pause.
    per_s: float
    tokens: float
    # Monotonic time up to which tokens have been added.
    refilled_at: float

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.tokens = per_s
        self.refilled_at = time.monotonic()

    def try_acquire(self) -> bool:
        """Take one token; False if there is none."""
        now = time.monotonic()
        new_tokens = (now - self.refilled_at) * self.per_s
        self.tokens = min(self.per_s, self.tokens + new_tokens)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
