"""What the requests of each route cost one backend server.

A service may have routes whose requests differ in work by far more than its servers
differ in speed. The mean over all of them overestimates the wait behind small requests,
and underestimates the one behind large requests.
"""

from typing import Final

__all__ = ["RouteWork", "ServiceTimes"]

# Weight of a new sample in the moving average of a route's service time: as for that of
# the server, see `forwarding.flows`.
SAMPLE_WEIGHT: Final = 0.04
# Samples from which on a route's service time is used.
MINIMUM_SAMPLES: Final = 8
# Ratio of the service times of two routes from which on requests are estimated by
# route. Mean works of 15 to 39 ms on one service are estimated by the server's mean.
MIXED_RATIO: Final = 3.5
# Routes that are kept, the most recently added ones.
MAXIMUM_ROUTES: Final = 32
# Requests after which the sums of a route are halved, so that they cover the latest
# few hundred requests.
HALVING_REQUESTS: Final = 512
# Flows of a route that were seen before its means of flows are used.
MINIMUM_FLOWS: Final = 5
# A caller may send a second request on a flow now and then without the flow being
# long: a request that is sent again after a lost answer counts as another one.
LONG_FLOW_REQUESTS: Final = 1.5
# Bytes of a flow of a route that is not known yet: the packets that open and end it
# and a short answer.
DEFAULT_FLOW_BYTES: Final = 1_500.0


class RouteWork:
    """Moving averages of the requests of one route at one backend server."""

    __slots__ = (
        "bytes_received",
        "bytes_sent",
        "flows",
        "requests",
        "samples",
        "service_time_s",
    )

    # Time that a request takes in its slot of a warmed-up server, 0 without samples.
    service_time_s: float
    samples: int
    # Sums over recent flows: flows with a request, their requests, and the bytes of
    # all their packets from and to the caller.
    flows: float
    requests: float
    bytes_received: float
    bytes_sent: float

    def __init__(self) -> None:
        self.service_time_s = 0.0
        self.samples = 0
        self.flows = 0.0
        self.requests = 0.0
        self.bytes_received = 0.0
        self.bytes_sent = 0.0

    @property
    def requests_per_flow(self) -> float:
        """Mean number of requests that a flow sends; 1 if it is not known."""
        return self.requests / self.flows if self.flows >= 1 else 1.0

    @property
    def has_long_flows(self) -> bool:
        """Whether flows of this route usually send several requests."""
        enough = self.flows >= MINIMUM_FLOWS
        return enough and self.requests_per_flow >= LONG_FLOW_REQUESTS

    @property
    def bytes_per_flow(self) -> float:
        """Mean bytes of a flow in both directions."""
        if self.flows < MINIMUM_FLOWS:
            return DEFAULT_FLOW_BYTES
        return (self.bytes_received + self.bytes_sent) / self.flows

    @property
    def received_per_request(self) -> float:
        """Mean bytes from the caller for one request; 0 if they are not known."""
        return self.bytes_received / self.requests if self.requests >= 1 else 0.0

    @property
    def sent_per_request(self) -> float:
        """Mean bytes to the caller for one request; 0 if they are not known."""
        return self.bytes_sent / self.requests if self.requests >= 1 else 0.0

    def record_request(self, *, first: bool) -> None:
        """Record a request, which may be the first one of its flow."""
        self.flows += first
        self.requests += 1
        if self.requests >= HALVING_REQUESTS:
            self.flows /= 2
            self.requests /= 2
            self.bytes_received /= 2
            self.bytes_sent /= 2

    def record_service_time(self, sample_s: float) -> None:
        """Record the time that one request took in its slot."""
        self.samples += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.samples)
        self.service_time_s += weight * (sample_s - self.service_time_s)


class ServiceTimes:
    """The routes of one backend server by address and port."""

    routes: dict[tuple[int, int], RouteWork]
    # Whether the requests of some routes take far longer than those of others.
    mixed: bool
    # Mean service time of all routes with samples, each weighted by its requests.
    mean_s: float

    def __init__(self) -> None:
        self.routes = {}
        self.mixed = False
        self.mean_s = 0.0

    def get_or_create(self, address: int, port: int) -> RouteWork:
        """Return the averages of a route, in place of the oldest if there are many."""
        route = self.routes.get((address, port))
        if route is None:
            if len(self.routes) >= MAXIMUM_ROUTES:
                del self.routes[next(iter(self.routes))]
            route = self.routes[address, port] = RouteWork()
        return route

    def record_service_time(self, route: RouteWork, sample_s: float) -> None:
        """Record the time that one request of a route took in its slot."""
        route.record_service_time(sample_s)
        if len(self.routes) > 1:
            self.compare()

    def compare(self) -> None:
        """Compare the routes with enough samples."""
        known = [
            route for route in self.routes.values() if route.samples >= MINIMUM_SAMPLES
        ]
        times = [route.service_time_s for route in known]
        self.mixed = bool(times) and max(times) >= MIXED_RATIO * min(times)
        if self.mixed:
            requests = sum(route.requests for route in known)
            work_s = sum(route.service_time_s * route.requests for route in known)
            self.mean_s = work_s / max(requests, 1.0)

    def get_relative_work(self, route: tuple[int, int]) -> float:
        """Return a route's service time in terms of the mean; 1 if unknown."""
        known = self.routes.get(route) if self.mixed else None
        if known is None or known.samples < MINIMUM_SAMPLES:
            return 1.0
        return known.service_time_s / self.mean_s

    def get_service_time_s(self, route: RouteWork, mean_s: float) -> float:
        """Return a route's service time, or the server's mean if it is not known."""
        return route.service_time_s if route.samples >= MINIMUM_SAMPLES else mean_s
