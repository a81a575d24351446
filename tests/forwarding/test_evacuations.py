"""What members do with evacuations and limits: single decisions without load."""

from collections.abc import Iterable

import pytest

from lentilfork.counters import Counters
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.load_exchange import WATCHED
from lentilfork.forwarding.load_exchange import choose_watched
from lentilfork.forwarding.loads import LoadTable
from lentilfork.forwarding.membership import Membership
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.placement import choose_agent
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.routes import index_routes
from lentilfork.forwarding.syn_guard import BUFFER_TIMEOUT_S
from lentilfork.forwarding.syn_guard import SynBuffer
from lentilfork.scheduling import EvacuationView
from lentilfork.schema import roster_pb2
from lentilfork.schema import state_pb2
from tests.forwarding.evacuations import COLD_BOUND
from tests.forwarding.evacuations import COLD_RATE
from tests.forwarding.evacuations import CONTROLLERS
from tests.forwarding.evacuations import EvacuationWorld
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import DATA_CENTRES
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import SYN_BIT
from tests.forwarding.simulation import AgentHost
from tests.forwarding.simulation import Attempt
from tests.forwarding.simulation import Request
from tests.forwarding.simulation import make_packet

NOW = 100.0
SEEDS = [(f"127.7.3.{number}", 7000) for number in range(1, 4)]
INGRESS = hash_name("north")
LOCAL_S = 0.01


def make_records(count: int) -> list[AgentRecord]:
    """Return records of agents that belong to the data centres in rotation."""
    return [
        AgentRecord(
            f"agent-{number}",
            1,
            1,
            (f"agent-{number}", 1),
            SERVICE,
            DATA_CENTRES[number % 3],
            1,
            accepting=True,
            leaving=False,
        )
        for number in range(count)
    ]


def make_report(agent: str, **fields: object) -> roster_pb2.LoadUpdate:
    """Return the first load report of an idle agent."""
    return roster_pb2.LoadUpdate(
        agent=agent,
        sequence=1,
        slots=1,
        service_time_us=20_000,
        accepting=True,
        **fields,  # type: ignore[arg-type]
    )


def send_syn(
    world: EvacuationWorld, host: AgentHost, port: int, kind: Kind = Kind.DELIVER
) -> None:
    """Send a SYN to an agent and let the datagrams of the next moment arrive."""
    # The caller ignores what it receives.
    request = Request("north", world.clock.now, 0.01, 1.0)
    world.attempts[port] = Attempt(request, port, ended=True)
    syn = make_packet((port, port), (ADDRESS, PORT), SYN_BIT)
    envelope = Envelope(kind, 0, hash_name(SERVICE), INGRESS, 1000, 100, 1, syn)
    host.handle_datagram(encode_envelope(envelope), ("agent-1", 1))
    world.clock.run(world.clock.now + LOCAL_S)


def settle(world: EvacuationWorld) -> None:
    """Let the controllers' evacuations reach all agents."""
    world.clock.run(world.clock.now + 0.4)


def count_syns(world: EvacuationWorld) -> dict[str, int]:
    """Return the number of SYNs by server that got any."""
    return {
        name: len(host.server.syns)
        for name, host in world.hosts.items()
        if host.server.syns
    }


def test_agent_in_an_evacuated_data_centre_is_never_chosen() -> None:
    records = make_records(6)
    evacuated = frozenset({"north", "west"})
    for all_agents in (False, True):
        choice = choose_agent(
            records,
            records,
            LoadTable(),
            INGRESS,
            [],
            NOW,
            all_agents=all_agents,
            evacuated=evacuated,
        )
        assert choice.agent is not None
        assert choice.agent.data_centre == "south"
    excluded = ["agent-1", "agent-4"]
    choice = choose_agent(
        records, records, LoadTable(), INGRESS, excluded, NOW, evacuated=evacuated
    )
    assert choice.agent is None


# Guards against flows for a cold server beyond the quota that it has reported.
def test_agent_without_openings_is_not_usable() -> None:
    loads = LoadTable()
    loads.record_report(make_report("agent-0", openings_left=2), NOW)
    loads.record_report(make_report("agent-1"), NOW)
    loads.record_report(make_report("agent-2", evacuated=True), NOW)
    for _ in range(2):
        assert loads.is_usable("agent-0", NOW)
        loads.record_placement("agent-0")
    assert not loads.is_usable("agent-0", NOW)
    assert loads.is_usable("agent-1", NOW)
    assert not loads.is_usable("agent-2", NOW)


# Guards against owners that know the load of evacuated agents only.
def test_evacuated_agents_are_watched_last() -> None:
    records = make_records(30)
    watched = choose_watched("agent-0", "north", records, {"north"})
    assert {agent.data_centre for agent in watched} == {"south", "west"}
    few = choose_watched("agent-0", "north", make_records(9), {"north", "west"})
    assert len(few) == WATCHED
    assert [agent.data_centre for agent in few[:3]] == ["south"] * 3


def test_rates_of_cold_servers_arrive_with_the_routes() -> None:
    table = state_pb2.RouteTable(
        version=1,
        warm_ups=[
            state_pb2.WarmUp(service="chairs", per_s=12.5, duration_s=8.0),
            state_pb2.WarmUp(service="layouts"),
        ],
    )
    warm_ups = index_routes(table).warm_ups
    assert warm_ups.keys() == {"chairs"}
    assert (warm_ups["chairs"].per_s, warm_ups["chairs"].duration_s) == (12.5, 8.0)


def hear(
    member: Membership,
    controller: tuple[str, int],
    version: int,
    evacuated: Iterable[str],
    *,
    table_version: int = 9,
    partial: bool = False,
) -> None:
    """Let a member receive an update of a controller."""
    update = roster_pb2.RosterUpdate(
        controller=f"{controller[0]}:{controller[1]}",
        controllers=[f"{host}:{port}" for host, port in SEEDS],
        table_version=table_version,
        warm=True,
        partial=partial,
        evacuation_version=version,
        evacuated=evacuated,
    )
    member.handle_update(update, controller, NOW)


def make_member() -> tuple[Membership, list[bytes]]:
    """Return a member and the datagrams that it sends."""
    sent: list[bytes] = []
    member = Membership(
        "agent-1",
        "west",
        SEEDS,
        Roster(),
        Counters(),
        EvacuationView(awaits_majority=True),
    )
    member.send = lambda data, _address: sent.append(data)
    return member, sent


# Guards against a member whose primary is stale, and against an operator who waits for
# members that have the evacuation.
def test_evacuations_of_every_controller_are_applied_and_announced() -> None:
    member, sent = make_member()
    hear(member, SEEDS[0], 4, [])
    assert member.primary == SEEDS[0]
    hear(member, SEEDS[1], 5, ["west"])
    hear(member, SEEDS[0], 4, [])
    assert member.evacuations.contains("west")
    member.announce(NOW)
    announcement = roster_pb2.Announcement.FromString(sent[-1][1:])
    assert announcement.evacuation_version == 5


# Guards against a majority that includes controllers without a vote, and ones that have
# not read their state yet.
def test_only_voters_with_a_state_count_for_the_majority() -> None:
    member, _ = make_member()
    hear(member, ("127.7.3.9", 7000), 0, [], partial=True)
    hear(member, SEEDS[0], 0, [])
    hear(member, SEEDS[1], 0, [], table_version=0)
    assert not member.evacuations.is_settled(NOW)
    hear(member, SEEDS[2], 5, ["west"])
    assert member.evacuations.is_settled(NOW)


def test_syn_that_was_on_its_way_is_passed_on_from_an_evacuated_server() -> None:
    world = EvacuationWorld(make_speeds_of_one(6))
    settle(world)
    world.evacuate("north")
    settle(world)
    send_syn(world, world.hosts["agent-0"], 1)
    assert sum(count_syns(world).values()) == 1
    assert not count_syns(world).keys() & {"agent-0", "agent-3"}
    assert world.count("flows_placed_elsewhere", "evacuated") == 1


def make_speeds_of_one(agents: int) -> list[float]:
    """Return the speeds of equal servers."""
    return [1.0] * agents


# Guards against a second server for a flow whose SYN is retransmitted, and against a
# new flow that gets to an evacuated server because it reuses a port.
def test_only_copies_of_a_recent_syn_reach_an_evacuated_server() -> None:
    world = EvacuationWorld(make_speeds_of_one(6))
    settle(world)
    host = world.hosts["agent-0"]
    send_syn(world, host, 1)
    assert count_syns(world) == {"agent-0": 1}
    world.evacuate("north")
    settle(world)
    send_syn(world, host, 1)
    assert count_syns(world) == {"agent-0": 2}
    world.clock.run(world.clock.now + 2.0)
    send_syn(world, host, 1)
    assert count_syns(world)["agent-0"] == 2
    assert len(count_syns(world)) == 2


# Guards against buckets that move, and owners that are lost, with an evacuation.
def test_evacuated_agent_stays_an_owner_and_reports_that_it_accepts_nothing() -> None:
    world = EvacuationWorld(make_speeds_of_one(6))
    settle(world)
    agent = world.hosts["agent-0"].agent
    record = agent.record
    world.evacuate("north")
    settle(world)
    report = agent.make_load_report(world.clock.now)
    assert report.evacuated
    assert not report.accepting
    assert not report.HasField("openings_left")
    assert agent.record is record
    assert record.accepting
    sent = agent.exchange.report_sequence
    world.clock.run(world.clock.now + 1.0)
    assert agent.exchange.report_sequence - sent <= 5


# Guards against flows that a started agent places before it knows the evacuations, and
# against a wait for the caller's retransmission.
@pytest.mark.parametrize("kind", [Kind.ROUTE, Kind.DELIVER])
def test_started_agent_keeps_syns_until_it_knows_the_evacuations(kind: Kind) -> None:
    world = EvacuationWorld(make_speeds_of_one(6))
    settle(world)
    world.evacuated, world.version = frozenset({"north"}), 1
    host = world.add_host("agent-6", "north", 1.0, 1)
    host.roster.replace(world.hosts["agent-0"].roster.agents.values())
    view = host.agent.guard.evacuations
    view.awaits_majority, view.first_heard_at = True, float("inf")
    send_syn(world, host, 1, kind)
    assert count_syns(world) == {}
    assert world.count("packets_held", "unsettled") == 1
    for controller in CONTROLLERS[:2]:
        world.record(host, controller, 1, world.evacuated)
    world.clock.run(world.clock.now + 0.05)
    assert sum(count_syns(world).values()) == 1
    assert not count_syns(world).keys() & {"agent-0", "agent-3", "agent-6"}


# Guards against a reset of an open flow: the SYN opened it at another agent, to which
# its owner has offered it meanwhile or its caller has retransmitted it.
def test_syn_that_another_agent_may_have_got_is_dropped() -> None:
    buffer = SynBuffer(Counters())
    arrivals = [
        (1, Kind.ROUTE, NOW),
        (1, Kind.ROUTE, NOW + 0.05),
        (2, Kind.ROUTE, NOW + 0.1),
        (3, Kind.DELIVER, NOW + 0.1),
        (4, Kind.DELIVER, NOW + 0.16),
    ]
    for port, kind, arrived_at in arrivals:
        data = make_packet((port, port), (ADDRESS, PORT), SYN_BIT)
        envelope = Envelope(kind, 0, 1, INGRESS, 1000, 100, 1, data)
        buffer.add(bytes((port,)), kind, envelope, arrived_at)
    kept = buffer.remove_all(NOW + BUFFER_TIMEOUT_S + 0.01)
    assert [kind for kind, _ in kept] == [Kind.ROUTE, Kind.DELIVER]
    assert not buffer.syns
    assert buffer.counters.get("packets_dropped", "unsettled") == 1
    assert buffer.counters.get("packets_dropped", "held_too_long") == 2


# Guards against a SYN that reaches a cold server beyond its quota, and against one that
# waits for a retransmission.
def test_syn_above_the_limit_is_passed_on_at_once() -> None:
    world = EvacuationWorld(make_speeds_of_one(6))
    host = world.hosts["agent-0"]
    # With a slot for each flow, only the limit counts.
    host.server.slots = 50
    world.clock.run(2.5)
    host.cold_until = world.clock.now + 4.0
    host.agent.guard.limit.record_heartbeat(4.0, world.clock.now)
    quota = int(COLD_RATE.per_s)
    for port in range(1, quota + 3):
        send_syn(world, host, port)
    assert count_syns(world)["agent-0"] == quota
    assert sum(count_syns(world).values()) == quota + 2
    assert world.count("flows_placed_elsewhere", "warm_up_limit") == 2
    assert host.agent.make_load_report(world.clock.now).openings_left == 0


# Guards against a cold server that gets more than its bound by retransmissions.
def test_copies_above_the_bound_are_dropped() -> None:
    world = EvacuationWorld(make_speeds_of_one(6))
    world.clock.run(1.5)
    host = world.hosts["agent-0"]
    host.agent.guard.limit.record_heartbeat(4.0, world.clock.now)
    for _ in range(COLD_BOUND + 5):
        send_syn(world, host, 1)
    assert count_syns(world) == {"agent-0": COLD_BOUND}
    assert world.count("packets_dropped", "warm_up_bound") == 5
    assert world.count("flows_placed_elsewhere", "warm_up_limit") == 0


# Guards against a server that restarts between two heartbeats and is taken for warm.
def test_server_that_left_syns_unanswered_is_cold_until_its_next_heartbeat() -> None:
    world = EvacuationWorld(make_speeds_of_one(6))
    world.clock.run(1.6)
    host = world.hosts["agent-0"]
    limit = host.agent.guard.limit
    assert limit.count_openings(world.clock.now) is None
    host.server.down = True
    for port in range(1, 5):
        send_syn(world, host, port)
        world.clock.run(world.clock.now + 0.08)
    assert not host.agent.record.accepting
    assert limit.count_openings(world.clock.now) is not None
