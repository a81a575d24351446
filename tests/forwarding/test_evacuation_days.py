"""Evacuations and cold servers under load, checked from outside at every server.

Owners and agents are the real ones; see `evacuations` for the model.
"""

import pytest

from tests.forwarding.evacuations import COLD_BOUND
from tests.forwarding.evacuations import COLD_S
from tests.forwarding.evacuations import REPORT_LOSS
from tests.forwarding.evacuations import TARGET_S
from tests.forwarding.evacuations import EvacuationWorld
from tests.forwarding.evacuations import compute_timely_share
from tests.forwarding.evacuations import make_speeds
from tests.forwarding.simulation import DATA_CENTRES
from tests.forwarding.simulation import Request

EVACUATED = "west"
BEGIN_S, END_S = 2.0, 5.0


def list_agents(world: EvacuationWorld, data_centre: str) -> list[str]:
    """Return the names of the agents of a data centre."""
    return [
        host.name for host in world.hosts.values() if host.data_centre == data_centre
    ]


def run_evacuation(
    world: EvacuationWorld,
    load: float,
    mean_work_s: float,
    until_s: float,
    end_s: float = END_S,
) -> list[Request]:
    """Evacuate a data centre under load and take it back; return the requests.

    Reports get lost. In the evacuated data centre and outside, agents restart, which
    own flows as well as serve them.
    """
    capacity_per_s = sum(host.server.speed for host in world.hosts.values())
    per_s = load * capacity_per_s / mean_work_s
    requests = world.add_load(per_s, 1, until_s, mean_work_s)
    inside = list_agents(world, EVACUATED)
    outside = list_agents(world, "north")
    world.report_loss = REPORT_LOSS
    world.clock.run(BEGIN_S)
    world.evacuate(EVACUATED)
    for number, at_s in enumerate((BEGIN_S + 0.1, BEGIN_S + 0.5, BEGIN_S + 0.9)):
        world.clock.run(at_s)
        world.restart_agent(inside[number])
        world.restart_agent(outside[number])
    world.clock.run(end_s)
    world.evacuate()
    for at_s in (end_s + 0.8, end_s + 1.1, end_s + 1.4):
        world.clock.run(at_s)
        world.restart_agent(inside[0])
    world.clock.run(until_s + 1)
    return requests


# Guards against SYNs that owners with older knowledge, retransmissions or restarted
# agents bring to evacuated servers, and against a rush of flows to cold ones.
@pytest.mark.parametrize("seed", [1, 2])
def test_evacuated_and_cold_servers_get_no_syn_too_many(seed: int) -> None:
    world = EvacuationWorld(make_speeds(21), seed)
    requests = run_evacuation(world, 0.5, 0.015, 11)
    assert world.find_late_syns() == []
    assert 0 < world.count_most_cold_syns() <= COLD_BOUND
    assert world.resets_of_open_flows == 0
    assert compute_timely_share(requests, BEGIN_S, END_S) > 0.8
    assert compute_timely_share(requests, END_S, END_S + COLD_S) > 0.85
    # Servers are used again as soon as they are warm.
    shares = world.compute_shares(END_S + COLD_S, END_S + COLD_S + 1.5)
    assert shares[EVACUATED] > 0.6 / len(DATA_CENTRES)


# Guards against a reset of an open flow, whose SYN waited at an agent that started: its
# owner had offered the flow to another agent meanwhile.
@pytest.mark.parametrize("seed", [1, 3])
def test_no_open_flow_is_reset_while_agents_restart_under_load(seed: int) -> None:
    world = EvacuationWorld(make_speeds(21), seed)
    run_evacuation(world, 0.6, 0.03, 4, 3.0)
    assert world.count("packets_held", "unsettled") > 0
    assert world.resets_of_open_flows == 0


# Guards against limits that hold only for as many agents as owners watch.
def test_limits_hold_among_two_hundred_agents() -> None:
    world = EvacuationWorld(make_speeds(201))
    run_evacuation(world, 0.4, 0.08, 4.5, 3.0)
    assert world.find_late_syns() == []
    assert 0 < world.count_most_cold_syns() <= COLD_BOUND
    assert world.resets_of_open_flows == 0


# Guards against owners of an evacuated data centre that all watch the same few servers
# elsewhere: one of 42 servers got nearly half of its flows.
def test_flows_of_an_evacuated_data_centre_go_to_many_servers() -> None:
    world = EvacuationWorld([1.0] * 42, places=True, target_ms=300)
    requests = world.add_load(0.45 * 42 / 0.022, 1, 5, 0.022)
    world.clock.run(1.5)
    world.evacuate(EVACUATED)
    world.clock.run(7)
    counts = [
        sum(2.0 <= at_s < 5.0 for at_s, _ in world.hosts[name].server.syns)
        for name in world.hosts
        if name not in list_agents(world, EVACUATED)
    ]
    assert max(counts) <= 2 * sum(counts) / len(counts)
    assert compute_timely_share(requests, 2.0, 5.0) > 0.95


# Guards against cold servers that leave their quota unused while callers are refused.
def test_cold_servers_use_their_quota_under_overload() -> None:
    world = EvacuationWorld(make_speeds(9))
    world.add_load(1.2 * sum(make_speeds(9)) / 0.015, 1, 6, 0.015)
    world.clock.run(1.5)
    world.evacuate(EVACUATED)
    world.clock.run(2.5)
    world.evacuate()
    world.clock.run(6)
    cold = [
        at_s
        for name in list_agents(world, EVACUATED)
        for at_s, _ in world.hosts[name].server.syns
        if 3.5 <= at_s < 5.5
    ]
    assert world.count_most_cold_syns() <= COLD_BOUND
    assert len(cold) > 0.8 * 2.0 * world.rate.per_s * 3


# Guards against flows that go to evacuated servers as a last resort, and against
# callers that wait for a timeout instead of being refused.
def test_flows_are_refused_at_once_if_all_data_centres_are_evacuated() -> None:
    world = EvacuationWorld(make_speeds(9))
    world.clock.run(1.0)
    world.evacuate(*DATA_CENTRES)
    world.clock.run(2.0)
    requests = world.add_load(100, 2.0, 3.0)
    ended = []
    for request in requests:
        world.clock.run(request.at_s + 0.2)
        ended.append(request.refused)
    world.clock.run(6.0)
    assert world.find_late_syns() == []
    assert set(ended) == {3}
    reason = "no agent outside evacuated data centres takes new flows"
    assert world.count("flows_refused", reason) == 3 * len(requests)
    world.evacuate("north", "south")
    warm_at = world.clock.now + COLD_S + 1.0
    later = world.add_load(30, warm_at, warm_at + 1.0)
    world.clock.run(warm_at + 3.0)
    assert compute_timely_share(later, warm_at, warm_at + 1.0) > 0.9


# Guards against an evacuated data centre that gets flows when the last other one fails.
def test_flows_are_refused_if_the_only_other_data_centre_is_lost() -> None:
    world = EvacuationWorld(make_speeds(9))
    world.clock.run(1.0)
    world.evacuate("south", "west")
    world.clock.run(2.0)
    before = world.add_load(60, 2.0, 3.0)
    world.clock.run(4.0)
    assert compute_timely_share(before, 2.0, 3.0) > 0.9
    for name in list_agents(world, "north"):
        world.hosts[name].down = True
        world.lost.add(name)
    world.schedule_roster_update()
    after = world.add_load(60, 5.0, 6.0)
    world.clock.run(9.0)
    assert world.find_late_syns() == []
    assert all(item.refused for item in after)
    assert world.count(
        "flows_refused", "no agent outside evacuated data centres takes new flows"
    )


# Guards against changed decisions where nobody asks for evacuations or limits: the same
# seed gives the same latencies.
def test_nothing_changes_without_evacuations_and_bounds() -> None:
    latencies = []
    for bounds in (None, EvacuationWorld.bounds):
        world = EvacuationWorld(make_speeds(9))
        for host in world.hosts.values():
            host.agent.guard.limit.bounds = bounds
        requests = world.add_load(150, 1.0, 4.0, 0.03)
        world.clock.run(6.0)
        latencies.append([item.latency_s for item in requests])
    assert latencies[0] == latencies[1]
    assert max(latencies[0]) < 10 * TARGET_S
