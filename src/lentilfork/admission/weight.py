"""Share of its normal work that an endpoint should get.

It grows after a start, so that a cold endpoint warms up, and falls with failures,
so that one that fails fast does not draw work by looking idle.
"""

import time
from typing import Final

__all__ = ["EndpointWeight"]

FULL_PERCENT: Final = 100
COLD_PERCENT: Final = 20
MINIMUM_PERCENT: Final = 1
FAILURE_SMOOTHING: Final = 0.3
# Failures lose half their worth in this time, so that probes bring it back.
RECOVERY_HALF_LIFE_S: Final = 5.0


class EndpointWeight:
    """Weight of one endpoint, worked out from its age and its failures."""

    # Monotonic time at which the endpoint began to serve.
    started_at: float
    # Smoothed share of failed requests, 0 to 1, as of `failed_at`.
    failure_share: float
    failed_at: float

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.failure_share = 0.0
        self.failed_at = self.started_at

    def begin_cold_start(self) -> None:
        """Begin a new cold start."""
        self.started_at = time.monotonic()

    def record_outcome(self, *, failed: bool) -> None:
        """Take the outcome of one request."""
        now = time.monotonic()
        failure_share = self.compute_failure_share(now)
        self.failure_share = failure_share + FAILURE_SMOOTHING * (
            float(failed) - failure_share
        )
        self.failed_at = now

    def compute_failure_share(self, now: float) -> float:
        """Return the failure share at `now`."""
        age = now - self.failed_at
        return self.failure_share * float(0.5 ** (age / RECOVERY_HALF_LIFE_S))

    def compute_percent(self, cold_start_ms: int) -> int:
        """Return the present weight, 1 to 100."""
        now = time.monotonic()
        age_ms = (now - self.started_at) * 1000
        warm_up_fraction = min(1.0, age_ms / cold_start_ms) if cold_start_ms else 1.0
        warm_percent = COLD_PERCENT + (FULL_PERCENT - COLD_PERCENT) * warm_up_fraction
        failure_share = self.compute_failure_share(now)
        return max(MINIMUM_PERCENT, round(warm_percent * (1 - failure_share) ** 3))
