"""Decisions on where a flow is placed, from stated inputs alone."""

from collections import Counter

import pytest

from lentilfork.scheduling import Candidate
from lentilfork.scheduling import DataCentreState
from lentilfork.scheduling import Placement
from lentilfork.scheduling import Reason
from lentilfork.scheduling import RouteDemand
from lentilfork.scheduling import decide_placement
from lentilfork.state.model import DEFAULT_TRANSFER_COST
from lentilfork.state.model import TransferCost

NORTH, SOUTH, WEST = 1, 2, 3
PATH_S = 0.003
LOOKUPS = RouteDemand(0.294, 1.411, 1_300)
UPLOADS = RouteDemand(1.153, 8.65, 45_000)
NEVER = TransferCost(None)


def make_candidate(
    name: str = "near",
    data_centre: int = NORTH,
    expected_s: float = 0.02,
    busy_share: float = 0.5,
    *,
    capacity_per_s: float = 50.0,
    idle: bool = True,
    failed_share: float = 0.0,
    is_cold: bool = False,
) -> Candidate:
    return Candidate(
        name,
        data_centre,
        expected_s,
        busy_share,
        capacity_per_s,
        idle,
        failed_share,
        is_cold,
    )


def make_state(busy_share: float = 0.5, wait_s: float = 0.0) -> DataCentreState:
    return DataCentreState(10, 500.0, busy_share, wait_s, 1.0)


def decide(
    near: list[Candidate],
    far: list[Candidate],
    states: dict[int, DataCentreState | None],
    route: RouteDemand = LOOKUPS,
    cost: TransferCost = DEFAULT_TRANSFER_COST,
    draw: float = 0.5,
    *,
    near_refused: bool = False,
) -> Placement:
    return decide_placement(
        near, far, states, route, cost, PATH_S, draw, near_refused=near_refused
    )


# Guards against bytes spent for a few milliseconds of a target of 294 ms.
def test_near_server_well_in_time_is_used_although_a_far_one_is_idle() -> None:
    near = [make_candidate(expected_s=0.07, idle=False)]
    far = [make_candidate("far", SOUTH, 0.01)]
    placement = decide(near, far, {SOUTH: make_state(0.0)})
    assert placement.candidate is near[0]
    assert placement.reason is Reason.NEAR


# Guards against callers who wait near while others have room.
def test_flow_leaves_when_its_target_is_at_stake() -> None:
    near = [make_candidate(expected_s=0.2, idle=False)]
    far = [make_candidate("far", SOUTH)]
    placement = decide(near, far, {SOUTH: make_state()})
    assert placement.candidate is far[0]
    assert placement.reason is Reason.SHORTAGE


# Guards against flows sent into a data centre that is silent, cut off, evacuated or
# empty, or whose own callers wait already.
@pytest.mark.parametrize("state", [None, make_state(wait_s=0.05)])
def test_flow_stays_if_the_others_can_take_no_load(
    state: DataCentreState | None,
) -> None:
    near = [make_candidate(expected_s=0.2, idle=False)]
    far = [make_candidate("far", SOUTH)]
    assert decide(near, far, {SOUTH: state}).candidate is near[0]


# Guards against a price without effect, or one that applies only at its extremes: the
# expected times at which a flow leaves grow with it.
def test_higher_price_keeps_flows_longer() -> None:
    far = [make_candidate("far", SOUTH)]
    left = [
        sum(
            decide(
                [make_candidate(expected_s=expected_ms / 1000, idle=False)],
                far,
                {SOUTH: make_state()},
                cost=TransferCost(price),
            ).is_far
            for expected_ms in range(20, 400)
        )
        for price in (0, 10_000, 300_000, 1_000_000, None)
    ]
    assert left == sorted(left, reverse=True)
    assert left[0] > left[2] > left[3] > left[4] == 0


# Guards against a price that refuses callers whom others could serve at the default.
def test_refused_flow_leaves_at_the_default_price_and_stays_at_never() -> None:
    near = [make_candidate(expected_s=0.25, idle=False)]
    far = [make_candidate("far", SOUTH, 0.15, idle=False)]
    states: dict[int, DataCentreState | None] = {SOUTH: make_state(1.0, 0.06)}
    assert decide(near, far, states, near_refused=True).is_far
    assert not decide(near, far, states).is_far
    assert not decide(near, far, states, cost=NEVER, near_refused=True).is_far


# Guards against an excess that all goes to one data centre and drowns it.
def test_excess_is_spread_in_proportion_to_spare_capacity() -> None:
    near = [make_candidate(expected_s=0.25, idle=False)]
    far = [make_candidate("south", SOUTH), make_candidate("west", WEST)]
    states: dict[int, DataCentreState | None] = {
        SOUTH: make_state(0.2),
        WEST: make_state(0.6),
    }
    counts: Counter[str] = Counter()
    for number in range(300):
        chosen = decide(near, far, states, draw=number / 300).candidate
        assert chosen is not None
        counts[chosen.name] += 1
    assert counts["south"] == pytest.approx(200, abs=2)


# Guards against a service whose near servers are all lost being refused everywhere.
def test_flow_without_a_near_server_leaves_for_one_that_can_take_it() -> None:
    far = [make_candidate("far", SOUTH, 0.4, idle=False)]
    placement = decide([], far, {SOUTH: make_state(1.0, 0.3)})
    assert placement.reason is Reason.NO_NEAR_SERVER
    assert decide([], far, {SOUTH: None}).candidate is None
    assert decide([], far, {SOUTH: make_state()}, cost=NEVER).candidate is None


# Guards against long flows that pile up on the server whose queue is empty right now.
def test_long_flow_goes_to_the_lowest_mean_load_weighted_by_capacity() -> None:
    views = RouteDemand(0.429, 2.863, 40_000, 20.0, has_long_flows=True)
    busy = make_candidate("busy", expected_s=0.02, busy_share=0.7)
    calm = make_candidate("calm", expected_s=0.04, busy_share=0.2, idle=False)
    assert decide([busy, calm], [], {}, views).candidate is calm
    slow = make_candidate("slow", busy_share=0.4, capacity_per_s=28)
    fast = make_candidate("fast", busy_share=0.45, capacity_per_s=68)
    assert decide([slow, fast], [], {}, views).candidate is fast


# Guards against a fast server that gets all flows while slow ones idle.
def test_idle_servers_get_flows_by_busy_share() -> None:
    fast = make_candidate("fast", expected_s=0.012, busy_share=0.7)
    slow = make_candidate("slow", expected_s=0.03, busy_share=0.4)
    assert decide([fast, slow], [], {}).candidate is slow


# Guards against servers that a first slow request keeps without work for good.
def test_idle_server_without_work_is_sampled_unless_it_fails() -> None:
    other = make_candidate("other", busy_share=0.5)
    slow = make_candidate("slow", expected_s=0.33, busy_share=0.01)
    assert decide([other, slow], [], {}).candidate is slow
    failing = make_candidate("failing", busy_share=0.01, failed_share=0.3)
    assert decide([other, failing], [], {}).candidate is other


# Guards against flows that a cold server gets before warm ones that are as free.
def test_warm_server_is_preferred_at_equal_load() -> None:
    cold = make_candidate("cold", is_cold=True)
    warm = make_candidate("warm", busy_share=0.55)
    assert decide([cold, warm], [], {}).candidate is warm
