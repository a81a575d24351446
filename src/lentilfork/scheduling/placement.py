"""Decision on where a new flow is placed: near its balancer or in another data centre.

A near server whose answer is expected well in time is used, even if a far one would be
a little faster. A flow leaves its data centre only if the gain is worth more than the
path and the bytes. All inputs are passed in, so the decision needs no network, no clock
and no random numbers.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from enum import unique
from typing import Final

from lentilfork.scheduling.data_centres import DataCentreState
from lentilfork.state.model import TransferCost

__all__ = [
    "Candidate",
    "Placement",
    "Reason",
    "RouteDemand",
    "choose_in_group",
    "decide_placement",
]

# Share of the target within which an answer is expected well in time. Single requests
# take up to 7 times the mean, so the expected time of a queue of six requests is
# exceeded by two thirds now and then. With 0.3, 0.0095 of the callers in waves out of
# phase were late, with 0.25 it was 0.0039.
WELL_IN_TIME_SHARE: Final = 0.25
# Mean wait, as a share of the target, up to which a data centre takes flows of others.
# It is well below the share at which its own flows leave, so that no two data centres
# send flows to each other, and several that overflow into it stop early.
OPEN_WAIT_SHARE: Final = 0.1
# The same for flows that would otherwise be refused: the callers there can still be
# answered in time, and these could not be served at all.
LAST_WAIT_SHARE: Final = 0.25
# Cost of a failed request, as in `forwarding.placement`.
FAILURE_COST_S: Final = 0.5
# Addition to the busy share of servers that warm up or fail requests when idle ones are
# compared. A tenth of failures outweighs any difference in busy share.
COLD_WEIGHT: Final = 0.1
FAILURE_WEIGHT: Final = 10.0
# An idle server with a lower busy share gets a flow whatever its service time, about
# one a second. A first request of 7 times the mean work otherwise makes its estimate so
# long that it gets no request that would correct it: seen with 15 of 200 servers.
SAMPLED_BUSY_SHARE: Final = 0.1
# A server that fails more than this share of its requests is not sampled.
SAMPLED_FAILED_SHARE: Final = 0.02
# Target where the route has none, and the envelope of a rejected SYN does not say.
DEFAULT_TARGET_S: Final = 0.3
MS_PER_S: Final = 1_000
BYTES_PER_MB: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """One agent that a flow can be placed on."""

    name: str
    # Identifier of its data centre.
    data_centre: int
    # Expected seconds until a new request is answered, without the path to it.
    expected_s: float
    # Recent mean of its share of slots in use, with the flows placed since.
    busy_share: float
    # Requests that its server can answer in a second.
    capacity_per_s: float
    has_free_slot: bool
    # Share of its recent requests that failed, 0 to 1.
    failed_share: float = 0.0
    is_cold: bool = False

    @property
    def cost_s(self) -> float:
        """Expected time with the cost of its failures."""
        return self.expected_s + self.failed_share * FAILURE_COST_S

    @property
    def needs_sample(self) -> bool:
        """Whether it gets too few requests to show how fast it is."""
        return (
            self.has_free_slot
            and self.busy_share < SAMPLED_BUSY_SHARE
            and self.failed_share <= SAMPLED_FAILED_SHARE
        )

    def is_ready(self, route: "RouteDemand") -> bool:
        """Return whether a flow of a route may be placed on it without concern."""
        limit_s = WELL_IN_TIME_SHARE * get_target_s(route)
        return self.cost_s <= limit_s or self.needs_sample


@dataclass(frozen=True, slots=True)
class RouteDemand:
    """What a route's callers expect, and what its flows cause."""

    # Answers are late after the target; callers give up after the deadline.
    target_s: float
    deadline_s: float
    # Bytes that one flow causes between data centres if it leaves.
    flow_bytes: float
    # Requests on one flow, and whether this makes the route one of long flows.
    requests_per_flow: float = 1.0
    has_long_flows: bool = False


@unique
class Reason(StrEnum):
    """Why a flow is placed where it is."""

    NEAR = "near"
    # Near servers would answer late, or at a risk that costs more than leaving.
    SHORTAGE = "shortage"
    # No near server takes new flows.
    NO_NEAR_SERVER = "no_near_server"
    NOTHING_USABLE = "nothing_usable"


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a flow is placed, and why."""

    candidate: Candidate | None
    reason: Reason

    @property
    def is_far(self) -> bool:
        """Whether the flow leaves its data centre."""
        return self.reason in {Reason.SHORTAGE, Reason.NO_NEAR_SERVER}


NOTHING_USABLE: Final = Placement(None, Reason.NOTHING_USABLE)


def get_target_s(route: RouteDemand) -> float:
    """Return the target of a route, or what stands in for it."""
    return route.target_s or route.deadline_s or DEFAULT_TARGET_S


def estimate_loss_s(expected_s: float, route: RouteDemand) -> float:
    """Return the time that an expected answer costs its caller, in seconds.

    From `WELL_IN_TIME_SHARE` of the target on, the chance of a late answer rises up to
    certainty at the target. A late answer costs what remains until the deadline.
    """
    target_s = get_target_s(route)
    well_s = WELL_IN_TIME_SHARE * target_s
    stake = min(max((expected_s - well_s) / (target_s - well_s), 0.0), 1.0)
    deadline_s = max(route.deadline_s, target_s)
    return min(expected_s + stake * (deadline_s - target_s), deadline_s)


def choose_in_group(
    candidates: Sequence[Candidate], route: RouteDemand
) -> Candidate | None:
    """Return the best of the candidates in one data centre, None without any.

    Short flows go to the idle server with the lowest busy share, so that shares are in
    proportion to speed; without an idle one to the server that answers first. Long
    flows cannot move later, so the mean load counts for them, not the queue now.
    """
    ready = [item for item in candidates if item.is_ready(route)]
    if route.has_long_flows and ready:
        return min(ready, key=lambda item: weigh_long_flow(item, route))
    idle = [item for item in ready if item.has_free_slot]
    if idle:
        return min(idle, key=weigh_idle)
    return min(candidates, key=lambda item: item.cost_s, default=None)


def weigh_idle(candidate: Candidate) -> float:
    """Return the busy share of an idle server, with additions for its condition."""
    return (
        candidate.busy_share
        + candidate.is_cold * COLD_WEIGHT
        + candidate.failed_share * FAILURE_WEIGHT
    )


def weigh_long_flow(candidate: Candidate, route: RouteDemand) -> float:
    """Return the busy share of a server if it served this flow within a second."""
    added = route.requests_per_flow / max(candidate.capacity_per_s, 1.0)
    return weigh_idle(candidate) + added


def group_by_data_centre(
    candidates: Iterable[Candidate],
) -> dict[int, list[Candidate]]:
    """Return the candidates of each data centre."""
    groups: dict[int, list[Candidate]] = {}
    for candidate in candidates:
        groups.setdefault(candidate.data_centre, []).append(candidate)
    return groups


def draw_by_weight(
    weighted: Sequence[tuple[Candidate, float]], draw: float
) -> Candidate | None:
    """Return the candidate at the share `draw` of all weights, None without any."""
    remaining = draw * sum(weight for _, weight in weighted)
    for candidate, weight in weighted:
        remaining -= weight
        if remaining < 0:
            return candidate
    return weighted[-1][0] if weighted else None


def choose_far(
    far: Iterable[Candidate],
    states: Mapping[int, DataCentreState | None],
    route: RouteDemand,
    limit_s: float,
    wait_share: float,
    path_s: float,
    draw: float,
) -> Candidate | None:
    """Return a server in a data centre with spare capacity, None if there is none.

    Only data centres whose mean wait is below a share of the target count, and only
    servers whose loss is below `limit_s`. The data centres get flows in proportion to
    their spare capacity.
    """
    open_wait_s = wait_share * get_target_s(route)
    weighted: list[tuple[Candidate, float]] = []
    for data_centre, group in group_by_data_centre(far).items():
        state = states.get(data_centre)
        if state is None or state.expected_wait_s > open_wait_s:
            continue
        best = choose_in_group(group, route)
        if best and estimate_loss_s(best.cost_s + path_s, route) < limit_s:
            weighted.append((best, state.spare_per_s))
    return draw_by_weight(weighted, draw)


def decide_placement(
    near: Sequence[Candidate],
    far: Sequence[Candidate],
    states: Mapping[int, DataCentreState | None],
    route: RouteDemand,
    cost: TransferCost,
    path_s: float,
    draw: float,
    *,
    near_refused: bool = False,
) -> Placement:
    """Return where a new flow is placed.

    `states` has the data centres of the far candidates; None stands for one that can
    take no load. `path_s` is what the path between data centres adds to an answer, and
    `draw` a number from 0 to 1 that depends on the flow. With `near_refused`, the flow
    would be refused near its balancer, so its chance to be served at all is at stake.
    """
    best = choose_in_group(near, route)
    if best is not None and not near_refused and best.is_ready(route):
        return Placement(best, Reason.NEAR)
    stays = NOTHING_USABLE if best is None else Placement(best, Reason.NEAR)
    if cost.ms_per_mb is None:
        return stays
    if best is None:
        return place_without_near(far, states, route, path_s, draw)
    loss_s = (
        max(route.deadline_s, get_target_s(route))
        if near_refused
        else estimate_loss_s(best.cost_s, route)
    )
    price_s = cost.ms_per_mb / MS_PER_S * route.flow_bytes / BYTES_PER_MB
    wait_share = LAST_WAIT_SHARE if near_refused else OPEN_WAIT_SHARE
    limit_s = loss_s - price_s
    chosen = choose_far(far, states, route, limit_s, wait_share, path_s, draw)
    return stays if chosen is None else Placement(chosen, Reason.SHORTAGE)


def place_without_near(
    far: Sequence[Candidate],
    states: Mapping[int, DataCentreState | None],
    route: RouteDemand,
    path_s: float,
    draw: float,
) -> Placement:
    """Return where a flow is placed that no near server can take.

    Data centres without spare capacity are used if there is no other; the agents there
    refuse flows that would be late.
    """
    limit_s = float("inf")
    chosen = choose_far(far, states, route, limit_s, LAST_WAIT_SHARE, path_s, draw)
    if chosen is None:
        able = [item for item in far if states.get(item.data_centre) is not None]
        chosen = choose_in_group(able, route)
    if chosen is None:
        return NOTHING_USABLE
    return Placement(chosen, Reason.NO_NEAR_SERVER)
