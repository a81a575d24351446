"""Rate limit: so many events a second, with a burst of as many."""

import time

__all__ = ["RateLimit"]


class RateLimit:
    """A token bucket that fills with time."""

    # Events allowed in one second, and at once after a pause.
    per_s: float
    saved: float
    # Monotonic time up to which tokens have been added.
    filled_at: float

    def __init__(self, per_s: float) -> None:
        self.per_s = per_s
        self.saved = per_s
        self.filled_at = time.monotonic()

    def spend(self) -> bool:
        """Take one token; False if there is none."""
        now = time.monotonic()
        earned = (now - self.filled_at) * self.per_s
        self.saved = min(self.per_s, self.saved + earned)
        self.filled_at = now
        if self.saved < 1:
            return False
        self.saved -= 1
        return True
