"""Weight of an endpoint: the share of its normal work that it should get.

The weight ramps up after a start, so that a cold endpoint can warm up. It falls with
failures, because an endpoint that fails fast looks idle and would attract requests.
"""

import time
from typing import Final

__all__ = ["EndpointWeight"]

FULL_PERCENT: Final = 100
# Weight right after a start.
COLD_PERCENT: Final = 20
MINIMUM_PERCENT: Final = 1
# Weight of the latest request in the smoothed share of failures.
FAILURE_SMOOTHING: Final = 0.3
# The failure share halves in this time, so that a failed endpoint gets requests again
# and can show that it has recovered.
RECOVERY_HALF_LIFE_S: Final = 5.0


class EndpointWeight:
    """Weight of one endpoint, computed from its uptime and its failures."""

    # Monotonic time at which the endpoint began to serve, in seconds.
    started_at: float
    # Moving average of the share of failed requests, 0 to 1, as of `failed_at`.
    failure_share: float
    failed_at: float

    def __init__(self) -> None:
        self.started_at = time.monotonic()
        self.failure_share = 0.0
        self.failed_at = self.started_at

    def begin_cold_start(self) -> None:
        """Restart the ramp-up of a cold endpoint."""
        self.started_at = time.monotonic()

    def record_outcome(self, *, failed: bool) -> None:
        """Add the outcome of one request to the failure share."""
        now = time.monotonic()
        failure_share = self.compute_failure_share(now)
        self.failure_share = failure_share + FAILURE_SMOOTHING * (
            float(failed) - failure_share
        )
        self.failed_at = now

    def compute_failure_share(self, now: float) -> float:
        """Return the failure share, decayed to `now` (monotonic, seconds)."""
        age = now - self.failed_at
        return self.failure_share * float(0.5 ** (age / RECOVERY_HALF_LIFE_S))

    def compute_percent(self, cold_start_ms: int) -> int:
        """Return the current weight, 1 to 100 percent."""
        now = time.monotonic()
        age_ms = (now - self.started_at) * 1000
        warm_up_fraction = min(1.0, age_ms / cold_start_ms) if cold_start_ms else 1.0
        warm_percent = COLD_PERCENT + (FULL_PERCENT - COLD_PERCENT) * warm_up_fraction
        failure_share = self.compute_failure_share(now)
        return max(MINIMUM_PERCENT, round(warm_percent * (1 - failure_share) ** 3))
