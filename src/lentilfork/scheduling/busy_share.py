"""Moving mean of the share of a backend server's slots that is in use."""

import math
from typing import Final

__all__ = ["BUSY_PERIOD_S", "BusyShare"]

# Time constant of the mean. It covers some fifty requests of 20 ms, so that servers of
# different speed get equal shares, and follows a change of the load within seconds.
BUSY_PERIOD_S: Final = 1.0


class BusyShare:
    """Exponentially weighted mean of a share that changes in steps."""

    mean: float
    # The share since `updated_at`.
    current: float
    updated_at: float | None

    def __init__(self) -> None:
        self.mean = 0.0
        self.current = 0.0
        self.updated_at = None

    def update(self, running: int, slots: int, now: float) -> float:
        """Record that `running` requests are at the server now; return the mean."""
        if self.updated_at is not None and now > self.updated_at:
            kept = math.exp((self.updated_at - now) / BUSY_PERIOD_S)
            self.mean = self.current + kept * (self.mean - self.current)
        self.updated_at = now
        self.current = min(running / max(slots, 1), 1.0)
        return self.mean
