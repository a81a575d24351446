"""The routes of forwarded flows, indexed by address and port."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from itertools import islice
from typing import Final

import xxhash

from lentilfork.forwarding.packets import hash_name
from lentilfork.scheduling import WarmUpRate
from lentilfork.schema import state_pb2

__all__ = ["FormerServices", "Route", "RouteIndex", "index_routes"]

# A flow that was opened under an earlier table may be dropped at this age.
FORMER_SERVICE_LIFETIME_S: Final = 60.0
HASH_RANGE: Final = 1 << 64
MS_PER_S: Final = 1_000
# Services that a process looks for a flow in if neither it nor the table knows the
# earlier tables.
MAXIMUM_OTHER_SERVICES: Final = 16


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits of the flows to one address and port."""

    services: tuple[str, ...]
    # Weights of the services, above zero.
    weights: tuple[int, ...]
    deadline_ms: int
    target_ms: int
    priority: int
    # Services that the route had before, according to the table.
    former: tuple[str, ...] = ()

    def choose_service(self, flow_key: bytes) -> str:
        """Return the service of a flow by weighted rendezvous hashing.

        All processes with the same table agree. A changed weight moves no flows between
        services whose weights stay.
        """
        if len(self.services) == 1:
            return self.services[0]
        return min(
            zip(self.services, self.weights, strict=True),
            key=lambda target: draw_arrival(flow_key, *target),
        )[0]


def draw_arrival(flow_key: bytes, service: str, weight: int) -> float:
    """Return an exponentially distributed number whose rate is the weight.

    The smallest of several is each one's with a probability in proportion to its rate.
    """
    digest = xxhash.xxh3_64_intdigest(flow_key, seed=hash_name(service))
    return -math.log((digest + 1) / HASH_RANGE) / weight


@dataclass(frozen=True, slots=True)
class RouteIndex:
    """One version of the route table, indexed for lookups."""

    version: int = 0
    idle_timeout_ms: int = 15_000
    # Routes by IPv4 address (as a number) and port.
    routes: dict[tuple[int, int], Route] = field(default_factory=dict)
    # Service names by the identifier that envelopes carry, see `hash_name`.
    services: dict[int, str] = field(default_factory=dict)
    # Rates of cold backend servers by service; services without a limit are left out.
    warm_ups: dict[str, WarmUpRate] = field(default_factory=dict)
    # Whether the routes name all services that they had lately.
    has_history: bool = False

    def get_shortest_target_s(self, service: str) -> float:
        """Return the shortest target of the routes to a service, 0 without any."""
        targets_ms = (
            route.target_ms
            for route in self.routes.values()
            if route.target_ms and service in route.services
        )
        return min(targets_ms, default=0) / MS_PER_S


class FormerServices:
    """Services that routes had in earlier tables, where flows may still be open."""

    # Times at which the services were replaced, by address and port and by name.
    replaced_at: dict[tuple[int, int], dict[str, float]]
    # From this time on, `replaced_at` contains every service with open flows; infinite
    # before the first table.
    complete_since: float

    def __init__(self) -> None:
        self.replaced_at = {}
        self.complete_since = math.inf

    def record(self, former: RouteIndex, routes: RouteIndex, now: float) -> None:
        """Record the services that a newer table names no longer; drop expired ones.

        Tables that this process has missed are known from the newer one.
        """
        complete_at = now if routes.has_history else now + FORMER_SERVICE_LIFETIME_S
        self.complete_since = min(self.complete_since, complete_at)
        for address, route in routes.routes.items():
            if route.former:
                known = self.replaced_at.get(address, {})
                self.replaced_at[address] = dict.fromkeys(route.former, now) | known
        for address, route in former.routes.items():
            newer = routes.routes.get(address)
            kept = newer.services if newer is not None else ()
            dropped = [name for name in route.services if name not in kept]
            if dropped:
                self.replaced_at.setdefault(address, {}).update(
                    dict.fromkeys(dropped, now)
                )
        self.replaced_at = {
            address: services
            for address, times in self.replaced_at.items()
            if (services := select_recent(times, now))
        }

    def list_services(self, address: tuple[int, int], now: float) -> list[str]:
        """Return the names of the services that a route had lately."""
        return list(select_recent(self.replaced_at.get(address, {}), now))

    def list_all_services(
        self,
        address: tuple[int, int],
        routes: RouteIndex,
        present: Iterable[int],
        now: float,
    ) -> list[int]:
        """Return the identifiers of the services that a route had lately or has now.

        A process that has started lately doesn't know the tables before. If its table
        doesn't either, it adds some of the services `present`, those that have agents.
        """
        route = routes.routes.get(address)
        current = route.services if route is not None else ()
        names = [*self.list_services(address, now), *current]
        services = dict.fromkeys(map(hash_name, names))
        if now < self.complete_since:
            services |= dict.fromkeys(islice(present, MAXIMUM_OTHER_SERVICES))
        return list(services)


def select_recent(times: dict[str, float], now: float) -> dict[str, float]:
    """Return the services whose flows may still be open."""
    return {
        name: replaced_at
        for name, replaced_at in times.items()
        if now - replaced_at <= FORMER_SERVICE_LIFETIME_S
    }


def sum_weights(item: state_pb2.Route) -> tuple[tuple[str, ...], tuple[int, ...]]:
    """Return the services of a route that have a weight, and these weights."""
    weights = Counter[str]()
    for target in item.targets:
        weights[target.service] += target.weight
    weights = +weights
    return tuple(weights), tuple(weights.values())


def index_routes(table: state_pb2.RouteTable) -> RouteIndex:
    """Return the index of a route table."""
    routes = {
        (item.address, item.port): Route(
            *sum_weights(item),
            item.deadline_ms,
            item.target_ms,
            item.priority,
            tuple(former.service for former in item.former),
        )
        for item in table.routes
    }
    names = {
        name for route in routes.values() for name in (*route.services, *route.former)
    }
    return RouteIndex(
        table.version,
        table.idle_timeout_ms,
        routes,
        {hash_name(name): name for name in names},
        {
            item.service: WarmUpRate(item.per_s, item.duration_s)
            for item in table.warm_ups
            if item.per_s > 0
        },
        table.has_history,
    )
