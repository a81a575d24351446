"""In-time answers under overload, compared with those of one ideal queue.

Each test names its load. Requests take 26 ms of work on average and are in time within
429 ms; callers make three attempts, the next one at once after a reset.
"""

import math
from collections.abc import Callable
from dataclasses import replace

import pytest

from tests.forwarding.simulation import Request
from tests.forwarding.simulation import World
from tests.scheduling.overload import NETWORK_DELAY_S
from tests.scheduling.overload import Kind
from tests.scheduling.overload import add_demand
from tests.scheduling.overload import count_ideal
from tests.scheduling.overload import count_in_time
from tests.scheduling.overload import get_capacity_per_s
from tests.scheduling.overload import make_world
from tests.scheduling.overload import scale_speeds

VIEWS = Kind(443, 0.026, 0.429, 2.863)
SCANS = Kind(8443, 0.0052, 0.429, 2.863)
URGENT = replace(VIEWS, port=8444, priority=0)
LATER = replace(VIEWS, port=8445, priority=2)
CAPACITY_PER_S = get_capacity_per_s(VIEWS)
# Requirement while demand exceeds the capacity.
IDEAL_SHARE = 0.9
# Requirement for refusals that leave time for another attempt.
EARLY_SHARE = 0.99


def demand(share: float) -> Callable[[float], float]:
    """Return a demand that does not change, as a share of the capacity."""
    return lambda _at_s: share * CAPACITY_PER_S


def get_ratio(
    requests: list[Request], from_s: float, until_s: float, kind: Kind = VIEWS
) -> float:
    """Return in-time answers of a period in terms of the ideal queue's."""
    measured = count_in_time(requests, [kind], from_s, until_s)
    return measured / count_ideal(requests, [kind], from_s, until_s)


def restart_agents(world: World) -> None:
    """Replace all agents; the servers keep running."""
    for name in list(world.hosts):
        world.restart_agent(name)


@pytest.mark.parametrize("seed", [1, 2])
def test_burst_of_5_s_with_2_5_times_the_capacity(seed: int) -> None:
    # Guards against capacity that is spent on late answers, a queue that outlasts the
    # burst, and refusals that come too late for the next attempt.
    world = make_world([VIEWS], seed=seed)
    requests = add_demand(world, VIEWS, demand(0.6), 1, 10)
    requests += add_demand(world, VIEWS, demand(1.9), 2, 7)
    world.clock.run(14)
    assert get_ratio(requests, 2, 7) >= IDEAL_SHARE
    assert get_ratio(requests, 8, 10) >= 0.98
    refusals_s = [at_s for request in requests for at_s in request.refusals_s]
    latest_s = VIEWS.target_s - VIEWS.work_s - NETWORK_DELAY_S
    early = sum(at_s <= latest_s for at_s in refusals_s)
    assert early >= EARLY_SHARE * len(refusals_s)


def test_wave_of_0_55_in_17_s_with_its_top_at_1_05_of_the_capacity() -> None:
    # Guards against refusals around the top, which the queue can bridge.
    world = make_world([VIEWS])

    def get_per_s(at_s: float) -> float:
        wave = 1 + 0.55 * math.sin(2 * math.pi * at_s / 17)
        return 1.05 * CAPACITY_PER_S * wave / 1.55

    requests = add_demand(world, VIEWS, get_per_s, 1, 18)
    world.clock.run(22)
    assert get_ratio(requests, 1, 18) >= IDEAL_SHARE
    assert get_ratio(requests, 3, 6) >= IDEAL_SHARE


@pytest.mark.parametrize("share", [0.9, 1.5])
def test_second_after_all_agents_restarted(share: float) -> None:
    # Guards against agents that don't know the queues and speeds of their servers.
    world = make_world([VIEWS])
    requests = add_demand(world, VIEWS, demand(share), 1, 7)
    world.clock.call_at(4.0, lambda: restart_agents(world))
    world.clock.run(11)
    assert get_ratio(requests, 4, 5) >= IDEAL_SHARE


def test_group_of_callers_that_asks_for_half_of_everything() -> None:
    # Guards against one caller whose requests displace those of all others.
    world = make_world([VIEWS])
    requests = add_demand(world, VIEWS, demand(0.8), 1, 9)
    group = add_demand(world, VIEWS, demand(0.8), 2, 8, address=77)
    world.clock.run(13)
    assert get_ratio(requests, 2, 8) >= IDEAL_SHARE
    # The capacity that is left goes to the group.
    assert get_ratio(requests + group, 2, 8) >= IDEAL_SHARE


def test_urgent_requests_are_served_first() -> None:
    # Guards against refusals of less urgent requests that lower the limit of urgent
    # ones; together they ask for 1.6 times the capacity.
    world = make_world([URGENT, LATER])
    urgent = add_demand(world, URGENT, demand(0.8), 1, 8)
    later = add_demand(world, LATER, demand(0.8), 1, 8)
    world.clock.run(12)
    assert get_ratio(urgent, 1, 8, URGENT) >= IDEAL_SHARE
    both = [URGENT, LATER]
    in_time = count_in_time(urgent + later, both)
    assert in_time >= IDEAL_SHARE * count_ideal(urgent + later, both)


@pytest.mark.parametrize("server_queue", [12, 40])
def test_two_routes_of_which_one_is_five_times_as_costly(server_queue: int) -> None:
    # Guards against small requests that are refused although they hardly delay others.
    kinds = [VIEWS, SCANS]
    world = make_world(kinds, server_queue=server_queue)
    views = add_demand(world, VIEWS, demand(0.8), 1, 7)
    scans = add_demand(world, SCANS, demand(2.0), 1, 7)
    world.clock.run(11)
    in_time = count_in_time(views + scans, kinds)
    assert in_time >= IDEAL_SHARE * count_ideal(views + scans, kinds)
    assert count_in_time(scans, kinds) >= 0.7 * len(scans)


def test_capacity_that_is_halved_for_4_s_and_returns() -> None:
    # Guards against limits that follow the former capacity.
    world = make_world([VIEWS])
    requests = add_demand(world, VIEWS, demand(0.85), 1, 11)
    world.clock.call_at(3, lambda: scale_speeds(world, 0.5))
    world.clock.call_at(7, lambda: scale_speeds(world, 2.0))
    world.clock.run(14)

    def get_speed(at_s: float) -> float:
        return 0.5 if 3 <= at_s < 7 else 1.0

    for from_s, until_s in ((3, 7), (8, 11)):
        measured = count_in_time(requests, [VIEWS], from_s, until_s)
        ideal = count_ideal(requests, [VIEWS], from_s, until_s, speed_at=get_speed)
        assert measured >= IDEAL_SHARE * ideal


@pytest.mark.parametrize("server_queue", [12, 40])
def test_burst_on_long_flows(server_queue: int) -> None:
    # Guards against long flows that use up the queue; no open flow is ever refused.
    world = make_world([VIEWS], server_queue=server_queue)
    add_demand(world, VIEWS, demand(0.5 / 6), 1, 9, requests_per_flow=6)
    add_demand(world, VIEWS, demand(0.4), 1, 9)
    add_demand(world, VIEWS, demand(1.6 / 6), 3, 6, requests_per_flow=6)
    world.clock.run(13)
    assert world.resets_of_open_flows == 0
    assert get_ratio(world.requests, 3, 6) >= IDEAL_SHARE
    assert get_ratio(world.requests, 7, 9) >= IDEAL_SHARE
