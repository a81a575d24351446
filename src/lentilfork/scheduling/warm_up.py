"""Limit on the SYNs that a cold backend server gets.

Every SYN passes the agent beside the server, so the agent's sliding window of one
second covers all hosts. Whether the server is cold is known from its heartbeats only.
Until one arrives, the agent assumes that it is: after its own start, when the server
may have restarted, and when the evacuation of the data centre has ended.
"""

from collections import deque
from dataclasses import dataclass
from math import floor
from typing import Final

__all__ = ["HEARTBEAT_DELAY_S", "WINDOW_S", "WarmUpBounds", "WarmUpLimit", "WarmUpRate"]

WINDOW_S: Final = 1.0
# A heartbeat that arrives sooner after an event may have been written before it: an
# agent can learn of the end of an evacuation before the operator does.
HEARTBEAT_DELAY_S: Final = 0.3


@dataclass(frozen=True, slots=True)
class WarmUpRate:
    """Rate of a service's cold servers, from the operators' configuration."""

    # SYNs a second, above zero.
    per_s: float
    # Time for which a server is cold after its start.
    duration_s: float


@dataclass(frozen=True, slots=True)
class WarmUpBounds:
    """How many SYNs a cold server may get in a second, from the settings."""

    overshoot: float
    slack: float

    def compute_maximum(self, rate: WarmUpRate) -> int:
        """Return the most SYNs that a cold server may get in one second."""
        return floor(rate.per_s * self.overshoot + self.slack)


class WarmUpLimit:
    """SYNs that one backend server may get while it is cold."""

    # None where the settings give no bounds: there is no limit.
    bounds: WarmUpBounds | None
    # None: the configuration gives no rate, so there is no limit, or none is known yet.
    rate: WarmUpRate | None
    # Whether a configuration is known; before that, a cold server gets nothing.
    has_configuration: bool
    # Times of the SYNs of the last second, oldest first.
    syns: deque[float]
    # Until this time the quota counts as used up by an earlier process of this agent.
    blocked_until: float
    # Time of the last event that may have made the server cold; None once a heartbeat
    # has said whether it has.
    unknown_since: float | None
    # Heartbeats that arrive before this time may be older than that event.
    trusted_from: float
    # Time at which the server is warm by its last heartbeat.
    cold_until: float

    def __init__(self, now: float, bounds: WarmUpBounds | None = None) -> None:
        self.bounds = bounds
        self.rate = None
        self.has_configuration = False
        self.syns = deque()
        self.blocked_until = now + WINDOW_S
        self.unknown_since = now
        self.trusted_from = now
        self.cold_until = float("-inf")

    def apply_rate(self, rate: WarmUpRate | None) -> None:
        """Apply the rate of a newer configuration; None: there is no limit."""
        self.rate = rate
        self.has_configuration = True

    def record_heartbeat(
        self, cold_left_s: float, now: float, *, is_new_start: bool = False
    ) -> None:
        """Record the remaining warm-up time that a heartbeat states.

        `is_new_start` is set for the first heartbeat after a start of the server.
        """
        self.cold_until = now + cold_left_s
        if is_new_start or now >= self.trusted_from:
            self.unknown_since = None

    def expect_cold(self, now: float) -> None:
        """Treat the server as cold until a later heartbeat says otherwise."""
        self.unknown_since = now
        self.trusted_from = now + HEARTBEAT_DELAY_S

    def clear_quota(self) -> None:
        """Record that no earlier process of this agent has sent the server a SYN."""
        self.blocked_until = float("-inf")

    def record_syn(self, now: float) -> None:
        """Record that the server got a SYN, also while it is warm."""
        if self.bounds is not None:
            self.syns.append(now)
            self.drop_older(now)

    def admits_new(self, now: float) -> bool:
        """Return whether the server may get the SYN of a new flow."""
        openings = self.count_openings(now)
        return openings is None or openings > 0

    def admits_copy(self, now: float) -> bool:
        """Return whether the server may get a SYN again that it has got already.

        These SYNs count as well, and may use the difference between the rate and the
        bound.
        """
        if self.bounds is None or not self.is_limited(now) or self.rate is None:
            return True
        return self.count_recent(now) < self.bounds.compute_maximum(self.rate)

    def count_openings(self, now: float) -> int | None:
        """Return how many new flows the server may get now; None without a limit."""
        if self.bounds is None or not self.is_limited(now):
            return None
        if self.rate is None or now < self.blocked_until:
            return 0
        # Without this minimum, a server with less than one flow a second gets none.
        quota = max(floor(self.rate.per_s), 1)
        quota = min(quota, self.bounds.compute_maximum(self.rate))
        return max(quota - self.count_recent(now), 0)

    def is_limited(self, now: float) -> bool:
        """Return whether the server is or may be cold and has a limit then."""
        if self.rate is None and self.has_configuration:
            return False
        if self.unknown_since is None:
            return now < self.cold_until
        duration_s = self.rate.duration_s if self.rate is not None else float("inf")
        return now < max(self.unknown_since + duration_s, self.cold_until)

    def count_recent(self, now: float) -> int:
        """Return how many SYNs the server has got within the last second."""
        self.drop_older(now)
        return len(self.syns)

    def drop_older(self, now: float) -> None:
        """Drop the times of SYNs that no window with the present time contains."""
        while self.syns and now - self.syns[0] > WINDOW_S:
            self.syns.popleft()
