"""Simulated load patterns in three data centres, placed by their states.

Each pattern also runs with two baselines: flows that always stay near, and today's
least expected wait among a few near and far agents.
"""

import math
import random
from collections.abc import Callable

import pytest

from lentilfork.schema import roster_pb2
from lentilfork.state.model import DEFAULT_TRANSFER_COST
from lentilfork.state.model import TransferCost
from tests.forwarding.simulation import DATA_CENTRES
from tests.forwarding.simulation import Request
from tests.forwarding.simulation import World
from tests.forwarding.simulation import draw_wave

SPEEDS = [1.0] * 12
MEAN_WORK_S = 0.02
TARGET_S = 0.3
DEADLINE_S = 1.4
NEVER = TransferCost(None)
# Rate as a share of the data centre's capacity, amplitude, period, phase, from, until.
Wave = tuple[float, float, float, float, float, float]
Pattern = tuple[list[Wave], list[Wave], list[Wave]]

WAVES_OUT_OF_PHASE: Pattern = (
    [(0.8, 0.5, 3, 0, 1, 7)],
    [(0.8, 0.5, 3, 1 / 3, 1, 7)],
    [(0.8, 0.5, 3, 2 / 3, 1, 7)],
)
# North has twice its capacity for two seconds; the others have room for the excess.
BURST_WITH_ROOM: Pattern = (
    [(0.5, 0, 1, 0, 1, 6), (1.5, 0, 1, 0, 2, 4)],
    [(0.35, 0, 1, 0, 1, 6)],
    [(0.35, 0, 1, 0, 1, 6)],
)
BURST_WITHOUT_ROOM: Pattern = (
    [(0.9, 0, 1, 0, 1, 6), (1.1, 0, 1, 0, 2, 4)],
    [(0.95, 0, 1, 0, 1, 6)],
    [(0.95, 0, 1, 0, 1, 6)],
)
ALL_AT_THEIR_LIMIT: Pattern = (
    [(1.3, 0, 1, 0, 1, 5)],
    [(1.3, 0, 1, 0, 1, 5)],
    [(1.3, 0, 1, 0, 1, 5)],
)
CALM: Pattern = (
    [(0.6, 0, 1, 0, 1, 5)],
    [(0.6, 0, 1, 0, 1, 5)],
    [(0.6, 0, 1, 0, 1, 5)],
)


def make_world(
    *, places: bool = True, cost: TransferCost = DEFAULT_TRANSFER_COST
) -> World:
    return World(
        SPEEDS,
        places=places,
        transfer_cost=cost,
        target_ms=round(TARGET_S * 1000),
        deadline_ms=round(DEADLINE_S * 1000),
    )


def add_pattern(world: World, pattern: Pattern, seed: int = 101) -> list[Request]:
    """Add a pattern's requests, the same for each world; 3% take 7 times as long."""
    rng = random.Random(seed)
    capacity_per_s = sum(SPEEDS) / len(DATA_CENTRES) / MEAN_WORK_S
    requests = []
    for data_centre, waves in zip(DATA_CENTRES, pattern, strict=True):
        for share, *shape in waves:
            for at_s in draw_wave(rng, share * capacity_per_s, *shape):
                factor = 7 if rng.random() < 0.03 else 1
                work_s = MEAN_WORK_S / 1.18 * factor * rng.lognormvariate(-0.125, 0.5)
                requests.append(
                    Request(data_centre, at_s, work_s, DEADLINE_S, answer_bytes=1_000)
                )
    for request in requests:
        world.add_request(request)
    return requests


def get_served_share(requests: list[Request]) -> float:
    """Return the share of requests that were answered within the target."""
    return sum(item.latency_s <= TARGET_S for item in requests) / len(requests)


def get_noise(share: float, count: int) -> float:
    """Return two standard deviations of the difference of two shares of requests.

    Two runs differ in their random numbers, so smaller differences say nothing.
    """
    return 2 * math.sqrt(2 * share * (1 - share) / count)


def find_crossing_times(world: World) -> list[float]:
    """Return when the requests began whose flows caused bytes between data centres."""
    return [world.attempts[port].request.at_s for port in world.crossing_bytes]


# Guards against a placement that serves fewer callers than either simple rule, or that
# sends more bytes between data centres than the one that ignores them.
@pytest.mark.parametrize(
    "pattern",
    [WAVES_OUT_OF_PHASE, BURST_WITH_ROOM, BURST_WITHOUT_ROOM, ALL_AT_THEIR_LIMIT],
    ids=["waves-out-of-phase", "burst-with-room", "burst-without-room", "all-at-limit"],
)
def test_serves_as_many_in_time_as_both_baselines_at_fewer_bytes(
    pattern: Pattern,
) -> None:
    worlds = {
        "near": make_world(cost=NEVER),
        "least wait": make_world(places=False),
        "places": make_world(),
    }
    shares, transferred = {}, {}
    for name, world in worlds.items():
        requests = add_pattern(world, pattern)
        world.clock.run(9)
        shares[name] = get_served_share(requests)
        flows = sum(world.crossing_bytes.values())
        transferred[name] = flows + world.crossing_report_bytes
    noise = get_noise(max(shares.values()), len(requests))
    assert shares["places"] >= max(shares.values()) - noise, (shares, noise)
    assert transferred["places"] <= transferred["least wait"], transferred
    assert sum(worlds["near"].crossing_bytes.values()) == 0


# Guards against traffic that stays away after the shortage, and against an excess that
# leaves while the others' callers then wait.
def test_traffic_returns_to_zero_after_a_burst() -> None:
    world = make_world()
    requests = add_pattern(world, BURST_WITH_ROOM)
    world.clock.run(9)
    times = find_crossing_times(world)
    assert sum(2 <= at_s < 4.5 for at_s in times) > 100
    assert not [at_s for at_s in times if at_s < 2 or at_s > 5.5]
    others = [item for item in requests if item.data_centre != DATA_CENTRES[0]]
    assert get_served_share(others) > 0.98


# Guards against packets that cross data centres although caller, balancer and server
# are in the same one.
def test_no_packet_crosses_in_calm() -> None:
    world = make_world()
    requests = add_pattern(world, CALM)
    world.clock.run(7)
    assert not world.crossing_packets
    assert get_served_share(requests) > 0.99


# Guards against prices that have no effect, at twice the capacity in one data centre.
def test_flows_that_leave_become_fewer_as_the_price_rises() -> None:
    counts = []
    for price in (0, 1_000_000, None):
        world = make_world(cost=TransferCost(price))
        add_pattern(world, BURST_WITH_ROOM)
        world.clock.run(8)
        counts.append(len(world.crossing_bytes))
    assert counts[0] > counts[1] >= counts[2] == 0, counts


def find_times_served(world: World, data_centre: str) -> list[float]:
    """Return when the requests of the north began that another one has served."""
    return [
        attempt.request.at_s
        for attempt in world.attempts.values()
        if attempt.request.data_centre == "north" and data_centre in attempt.served_in
    ]


def run_with_burst(disturb: Callable[[World], None]) -> tuple[World, list[Request]]:
    """Run a burst in the north with a disturbance at 3 s."""
    world = make_world()
    requests = add_pattern(world, BURST_WITH_ROOM)
    world.clock.call_at(3.0, lambda: disturb(world))
    world.clock.run(9)
    return world, requests


# Guards against flows that are sent into a cut link for the rest of a burst.
def test_burst_uses_the_other_data_centre_after_a_link_is_cut() -> None:
    def cut(world: World) -> None:
        world.cut_links.add(frozenset(DATA_CENTRES[:2]))

    world, requests = run_with_burst(cut)
    south, west = find_times_served(world, "south"), find_times_served(world, "west")
    assert south
    assert max(south) < 3.1
    assert max(west) > 3.9
    after = [item for item in requests if item.data_centre != "north"]
    assert get_served_share(after) > 0.97


# Guards against load for a data centre whose reports have stopped while its servers
# answer, and against one that gets none after it has returned.
def test_data_centre_without_reports_gets_no_excess_until_it_reports_again() -> None:
    world = make_world()
    world.silent.add("south")
    add_pattern(world, BURST_WITH_ROOM)
    world.clock.call_at(3.0, lambda: world.silent.discard("south"))
    world.clock.run(9)
    times = find_times_served(world, "south")
    # Reports were received for half a second before they stopped.
    assert not [at_s for at_s in times if 1.7 < at_s < 2.9]
    assert [at_s for at_s in times if 3.0 < at_s < 4.0]


# Guards against a report of a former process that replaces the new one's.
def test_report_from_before_a_restart_does_not_change_the_state() -> None:
    world = make_world()
    agent = world.hosts["agent-0"].agent
    placement = agent.owner.placement
    for incarnation, sequence, outstanding in ((2, 1, 3), (1, 900, 0)):
        report = roster_pb2.LoadUpdate(
            agent="agent-3",
            incarnation=incarnation,
            sequence=sequence,
            outstanding=outstanding,
            slots=1,
            service_time_us=20_000,
            accepting=True,
        )
        agent.handle_load_update(b"\0" + report.SerializeToString(), world.clock.now)
    assert placement.table.loads["agent-3"].outstanding == 3


# Guards against changed messages where no deployment asks for them.
def test_reports_have_no_new_fields_without_the_setting() -> None:
    for places in (False, True):
        agent = make_world(places=places).hosts["agent-0"].agent
        report = agent.make_load_report(9.0)
        assert report.HasField("nearby") is places
        plain = agent.make_load_report(9.001)
        # Between two sums a report grows by the busy share only.
        assert not plain.HasField("nearby")


# Guards against reports whose size or number grows with the service.
@pytest.mark.parametrize("agents", [12, 60])
def test_sums_cost_a_few_bytes_whatever_the_number_of_agents(agents: int) -> None:
    world = World([1.0] * agents, places=True)
    agent = world.hosts["agent-0"].agent
    longer = len(agent.make_load_report(9.0).SerializeToString())
    shorter = len(agent.make_load_report(9.001).SerializeToString())
    assert 0 < longer - shorter <= 32


# Guards against servers that are busier than others of another speed.
@pytest.mark.parametrize("load", [0.5, 0.7])
def test_busy_shares_are_equal_although_speeds_differ(load: float) -> None:
    speeds = [(0.7, 0.7, 1.7)[number // 3 % 3] for number in range(30)]
    world = World(speeds, places=True, target_ms=300, deadline_ms=1400)
    for number, data_centre in enumerate(DATA_CENTRES):
        capacity_per_s = sum(speeds[number::3]) / MEAN_WORK_S
        world.add_load(
            load * capacity_per_s,
            0.6,
            12,
            mean_work_s=MEAN_WORK_S,
            data_centres=(data_centre,),
        )
    world.clock.run(2)
    before = [host.server.busy_s for host in world.hosts.values()]
    world.clock.run(12)
    busy = [
        host.server.busy_s - earlier
        for host, earlier in zip(world.hosts.values(), before, strict=True)
    ]
    assert max(busy) <= 1.10 * sum(busy) / len(busy)
    assert min(busy) >= 0.8 * sum(busy) / len(busy)


# Guards against a new server that waits for its first flow.
def test_new_server_is_used_in_its_first_second() -> None:
    world = make_world()
    add_pattern(world, CALM)
    world.clock.call_at(2.0, lambda: world.add_host("agent-12", "north", 1.0, 1))
    world.clock.run(3.0)
    assert world.hosts["agent-12"].server.busy_s > 0.2


# Guards against long flows that gather on servers whose queue was empty when they
# opened: 40 requests on each flow, at half of the capacity.
def test_long_flows_are_spread_by_mean_load() -> None:
    def run(*, places: bool) -> float:
        world = make_world(places=places)
        for number in range(240):
            at_s = 0.6 + number * 0.035
            request = Request(
                DATA_CENTRES[number % 3], at_s, 0.02, 30, rounds=40, pause_s=0.03
            )
            world.add_request(request)
        world.clock.run(4)
        before = [host.server.busy_s for host in world.hosts.values()]
        world.clock.run(9)
        busy = [
            host.server.busy_s - earlier
            for host, earlier in zip(world.hosts.values(), before, strict=True)
        ]
        return max(busy) / (sum(busy) / len(busy))

    assert run(places=True) < min(run(places=False), 1.35)
