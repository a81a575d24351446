"""What the flows of each route are like: their requests and their bytes.

Each agent learns this from the flows that its backend server has served.
"""

from dataclasses import dataclass
from typing import Final

__all__ = ["RouteProfile", "RouteProfiles"]

# Flows that the means cover, so that they follow a route whose use changes.
COVERED_FLOWS: Final = 50
# Flows of a route that were seen before it can count as one of long flows.
MINIMUM_FLOWS: Final = 5
# A caller may send a second request on a flow now and then without the flow being
# long: a request that is sent again after a lost answer counts as another one.
LONG_FLOW_REQUESTS: Final = 1.5
# Bytes of a flow of a route that is not known yet: the packets that open and end it
# and a short answer.
DEFAULT_FLOW_BYTES: Final = 1_500.0

# Address and port that callers send to.
RouteKey = tuple[int, int]


@dataclass(slots=True)
class RouteProfile:
    """Moving sums over the flows of one route."""

    # Weighted number of flows, of their requests and of their bytes in both directions.
    flows: float = 0.0
    requests: float = 0.0
    transferred: float = 0.0

    @property
    def requests_per_flow(self) -> float:
        """Mean number of requests on a flow; 1 until some flows were seen."""
        if self.flows < MINIMUM_FLOWS:
            return 1.0
        return max(self.requests / self.flows, 1.0)

    @property
    def bytes_per_flow(self) -> float:
        """Mean number of bytes on a flow."""
        if self.flows < MINIMUM_FLOWS:
            return DEFAULT_FLOW_BYTES
        return self.transferred / self.flows

    @property
    def has_long_flows(self) -> bool:
        """Whether flows of this route usually send several requests."""
        return self.requests_per_flow >= LONG_FLOW_REQUESTS


class RouteProfiles:
    """Profiles of the routes of a service."""

    profiles: dict[RouteKey, RouteProfile]

    def __init__(self) -> None:
        self.profiles = {}

    def get_or_create(self, route: RouteKey) -> RouteProfile:
        """Return the profile of a route; a new one if nothing is known."""
        profile = self.profiles.get(route)
        if profile is None:
            profile = self.profiles[route] = RouteProfile()
        return profile

    def record_flow(self, route: RouteKey) -> None:
        """Record that a flow of a route was offered to the backend server."""
        profile = self.get_or_create(route)
        kept = 1 - 1 / COVERED_FLOWS
        profile.flows = profile.flows * kept + 1
        profile.requests *= kept
        profile.transferred *= kept

    def record_request(self, route: RouteKey) -> None:
        """Record that a request was delivered on a flow of a route."""
        self.get_or_create(route).requests += 1

    def record_bytes(self, route: RouteKey, amount: int) -> None:
        """Record bytes of a packet in either direction."""
        self.get_or_create(route).transferred += amount
