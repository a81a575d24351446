"""Callers with several routes, groups and changing demand, for tests of overload.

In-time answers are compared with those of one ideal queue, which doesn't run what
would be late: a queue that runs everything answers nothing in time under overload.
"""

import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass

from lentilfork.forwarding.routes import RouteIndex
from lentilfork.forwarding.routes import index_routes
from lentilfork.schema import state_pb2
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import DATA_CENTRES
from tests.forwarding.simulation import SERVER_QUEUE
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import Request
from tests.forwarding.simulation import World

__all__ = [
    "SPEEDS",
    "Kind",
    "add_demand",
    "count_ideal",
    "count_in_time",
    "get_capacity_per_s",
    "make_world",
    "scale_speeds",
]

SPEEDS = [0.7, 0.7, 1.7] * 2
# Delays of the network that the ideal queue doesn't have.
NETWORK_DELAY_S = 0.012
# Work that the ideal queue leaves time for, in terms of the mean work of a type.
MARGINS = (1.0, 2.0, 3.0)


@dataclass(frozen=True)
class Kind:
    """One type of request, which has its own route."""

    port: int
    work_s: float
    target_s: float
    deadline_s: float
    priority: int = 1

    @property
    def route(self) -> tuple[int, int]:
        """Address and port of its route."""
        return ADDRESS, self.port


def index_kinds(kinds: Iterable[Kind]) -> RouteIndex:
    """Return a table with a route for each type of request."""
    return index_routes(
        state_pb2.RouteTable(
            version=1,
            routes=[
                state_pb2.Route(
                    address=ADDRESS,
                    port=kind.port,
                    targets=[state_pb2.Target(service=SERVICE, weight=1)],
                    deadline_ms=round(kind.deadline_s * 1000),
                    target_ms=round(kind.target_s * 1000),
                    priority=kind.priority,
                )
                for kind in kinds
            ],
        )
    )


def make_world(
    kinds: Iterable[Kind],
    speeds: Sequence[float] = SPEEDS,
    seed: int = 1,
    server_queue: int = SERVER_QUEUE,
) -> World:
    """Return a world with a route for each type of request."""
    return World(
        list(speeds), seed=seed, routes=index_kinds(kinds), server_queue=server_queue
    )


def get_capacity_per_s(kind: Kind, speeds: Sequence[float] = SPEEDS) -> float:
    """Return how many requests of a type all servers answer in a second."""
    return sum(speeds) / kind.work_s


def add_demand(
    world: World,
    kind: Kind,
    get_per_s: Callable[[float], float],
    from_s: float,
    until_s: float,
    address: int = 0,
    requests_per_flow: int = 1,
) -> list[Request]:
    """Schedule flows of one type at a rate that changes, and return their requests.

    All come from one caller's address unless it is 0.
    """
    highest = max(get_per_s(from_s + step / 20) for step in range(20 * 60))
    added = []
    at_s = from_s
    while (at_s := at_s + world.rng.expovariate(highest)) < until_s:
        if world.rng.random() * highest > get_per_s(at_s):
            continue
        data_centre = world.rng.choice(DATA_CENTRES)
        first, *following = [
            Request(
                data_centre,
                at_s,
                kind.work_s * world.rng.lognormvariate(-0.125, 0.5),
                kind.deadline_s,
                route=kind.route,
                address=address,
            )
            for _ in range(requests_per_flow)
        ]
        first.following = list(following)
        world.add_request(first)
        added += [first, *following]
    return added


def scale_speeds(world: World, factor: float) -> None:
    """Change the speed of all servers by a factor."""
    for host in world.hosts.values():
        host.server.speed *= factor


def count_in_time(
    requests: Iterable[Request],
    kinds: Sequence[Kind],
    from_s: float = 0.0,
    until_s: float = math.inf,
) -> int:
    """Return the number of requests of a period that were answered in time."""
    targets = {kind.route: kind.target_s for kind in kinds}
    return sum(
        request.latency_s <= targets[request.route]
        for request in requests
        if from_s <= request.at_s < until_s
    )


def count_ideal(
    requests: Iterable[Request],
    kinds: Sequence[Kind],
    from_s: float = 0.0,
    until_s: float = math.inf,
    speeds: Sequence[float] = SPEEDS,
    speed_at: Callable[[float], float] = lambda _at_s: 1.0,
) -> int:
    """Return the same number for one ideal queue of all slots.

    It doesn't run what would be late if it took some times the mean work of its type:
    nobody knows more of a request in advance. The best of several such factors counts.
    `speed_at` gives a factor on all speeds by time.
    """
    ordered = sorted(requests, key=lambda item: item.at_s)
    return max(
        sum(
            from_s <= request.at_s < until_s
            for request in run_ideal(ordered, kinds, margin, speeds, speed_at)
        )
        for margin in MARGINS
    )


def run_ideal(
    requests: Sequence[Request],
    kinds: Sequence[Kind],
    margin: float,
    speeds: Sequence[float],
    speed_at: Callable[[float], float],
) -> Iterator[Request]:
    """Yield the requests that an ideal queue answers in time."""
    kinds_by_route = {kind.route: kind for kind in kinds}
    free_at = [(0.0, -speed, slot) for slot, speed in enumerate(speeds)]
    for request in requests:
        idle = [item for item in free_at if item[0] <= request.at_s]
        chosen = min(idle, key=lambda item: item[1]) if idle else min(free_at)
        starts_at = max(chosen[0], request.at_s)
        speed = speeds[chosen[2]] * speed_at(starts_at)
        kind = kinds_by_route[request.route]
        latest_s = request.at_s + kind.target_s - NETWORK_DELAY_S
        if starts_at + margin * kind.work_s / speed > latest_s:
            continue
        ends_at = starts_at + request.work_s / speed
        free_at[free_at.index(chosen)] = (ends_at, chosen[1], chosen[2])
        if ends_at <= latest_s:
            yield request
