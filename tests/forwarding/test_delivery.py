"""Packets of open flows reach their backend server when owners or agents change."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.ownership import MAXIMUM_QUEUE_HOPS
from lentilfork.forwarding.ownership import Offer
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.search import MAXIMUM_SEARCH_HOPS
from tests.forwarding.simulation import ACK_BIT as ACK
from tests.forwarding.simulation import DATA_CENTRES
from tests.forwarding.simulation import FIN_BIT as FIN
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import SYN_BIT as SYN
from tests.forwarding.simulation import Request
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_packet


def open_long_flow(world: World) -> Request:
    """Open a flow with a request that takes a second."""
    request = Request("north", world.clock.now, 1.0, 5.0)
    world.add_request(request)
    world.clock.run(world.clock.now + 0.1)
    return request


def clear_directories(world: World) -> None:
    """Clear the directories of all owners."""
    for host in world.hosts.values():
        host.agent.owner.directory.entries.clear()


def send_acknowledgement(world: World) -> Callable[[], None]:
    """Return a function that sends another packet of the only flow."""
    attempt = next(iter(world.attempts.values()))
    return lambda: world.send_subsequent(attempt, 2, b"")


def test_owner_without_a_directory_entry_finds_the_flow() -> None:
    world = World([1.0] * 5)
    request = open_long_flow(world)
    clear_directories(world)
    send_acknowledgement(world)()
    world.clock.run(3)
    assert request.answered_s is not None
    assert not any(host.server.rejected for host in world.hosts.values())
    assert world.resets_of_open_flows == 0


def test_restarted_agents_find_flows_by_rejected_packets() -> None:
    world = World([1.0] * 4)
    request = open_long_flow(world)
    clear_directories(world)
    for host in world.hosts.values():
        host.agent.flows.flows.clear()
        host.agent.delivery.flows_complete_since = 60.0
    send_acknowledgement(world)()
    world.clock.run(3)
    assert request.answered_s is not None
    assert world.resets_of_open_flows == 0


# Guards against flows that a restarted owner never finds: its own server, which was
# offered them too, holds them half open and drops their packets without rejecting them.
def test_unknown_flow_is_searched_although_the_own_server_drops_its_packets() -> None:
    world = World([1.0] * 4)
    host = world.hosts["agent-0"]
    host.agent.delivery.flows_complete_since = 60.0
    host.server.down = True
    packet = make_packet((9, 9), (0xC6120001, 443), ACK, 5, 5, b"x")
    envelope = Envelope(
        Kind.ROUTE, 0, hash_name(SERVICE), hash_name("north"), 1000, 100, 1, packet
    )
    passed_on = []
    for _ in range(4):
        host.handle_datagram(encode_envelope(envelope), ("north", 0))
        world.clock.run(world.clock.now + 0.2)
        passed_on.append(host.agent.counters.get("packets_passed_on"))
    assert passed_on == [0, 1, 1, 2]


def count_searches(world: World) -> int:
    """Return how often an agent was asked for a flow that its owner didn't know."""
    return sum(
        host.agent.counters.get("flows_searched") for host in world.hosts.values()
    )


def open_pausing_flows(world: World, pause_s: float) -> list[Request]:
    """Open flows in all data centres, whose requests follow after a pause."""
    requests = [
        Request(place, world.clock.now, 0.01, 30.0, rounds=4, pause_s=pause_s)
        for place in DATA_CENTRES
        for _ in range(6)
    ]
    for request in requests:
        world.add_request(request)
    world.clock.run(world.clock.now + pause_s / 2)
    assert all(request.first_answered_s is not None for request in requests)
    return requests


def move_callers(requests: list[Request]) -> None:
    """Let the packets of callers enter in the next data centre."""
    for request in requests:
        place = DATA_CENTRES.index(request.data_centre)
        request.data_centre = DATA_CENTRES[(place + 1) % len(DATA_CENTRES)]


# Guards against flows whose packets are searched from agent to agent for as long as
# they live, and are lost with any agent on the way: the agent that holds them had
# started again, and notified the owner of another data centre.
@pytest.mark.parametrize("restarted", ["holders", "owners and holders", "all"])
def test_flows_found_by_a_search_are_known_to_their_owner(restarted: str) -> None:
    world = World([1.0] * 9, slots=6)
    requests = open_pausing_flows(world, 1.0)
    # The holders are in other data centres than their callers.
    move_callers(requests)
    holders = [name for name, host in world.hosts.items() if host.server.flows]
    for name in list(world.hosts):
        if restarted == "all" or name in holders:
            world.restart_agent(name)
    if restarted == "owners and holders":
        clear_directories(world)
    for host in world.hosts.values():
        host.agent.delivery.flows_complete_since = world.clock.now + 60.0
    world.clock.run(world.clock.now + 5.0)
    assert count_searches(world) <= len(requests)
    assert all(request.answered_s is not None for request in requests)
    assert world.resets_of_open_flows == 0


# Guards against searches that end at agents which have stopped as planned: each agent
# that stays is between two of them, and they don't count as lost yet.
@pytest.mark.parametrize("restarted", [False, True])
def test_flows_are_found_between_agents_that_have_stopped(*, restarted: bool) -> None:
    world = World([1.0] * 8, slots=6)
    requests = open_pausing_flows(world, 1.0)
    move_callers(requests)
    leaving = sorted(world.hosts)[::2]
    for name in leaving:
        world.hosts[name].agent.leave(world.clock.now)
    world.update_rosters()
    for name in leaving:
        world.hosts[name].down = True
    for name in sorted(world.hosts)[1::2]:
        if restarted:
            world.restart_agent(name)
    clear_directories(world)
    held = [
        (attempt, attempt.answers)
        for name, host in world.hosts.items()
        for attempt in world.attempts.values()
        if name not in leaving and attempt.caller in host.server.flows
    ]
    assert len(held) > len(requests) / 4
    world.clock.run(world.clock.now + 1.0)
    assert all(attempt.answers > before for attempt, before in held)


# Guards against packets that miss an agent which leaves and still holds their flow.
def test_flows_of_an_agent_that_leaves_are_found() -> None:
    world = World([1.0] * 8, slots=6)
    request = open_long_flow(world)
    holder = next(host for host in world.hosts.values() if host.server.flows)
    holder.agent.leave(world.clock.now)
    world.update_rosters()
    clear_directories(world)
    delivered = holder.agent.counters.get("packets_delivered")
    send_acknowledgement(world)()
    world.clock.run(world.clock.now + 0.1)
    assert holder.agent.counters.get("packets_delivered") == delivered + 1
    world.clock.run(world.clock.now + 3.0)
    assert request.answered_s is not None


# Guards against the same for callers whose packets arrive in another data centre.
def test_flows_of_callers_that_move_are_known_to_their_new_owner() -> None:
    world = World([1.0] * 9, slots=6)
    requests = open_pausing_flows(world, 1.0)
    move_callers(requests)
    world.clock.run(world.clock.now + 5.0)
    assert 0 < count_searches(world) <= len(requests)
    assert all(request.answered_s is not None for request in requests)


# Guards against requests that are never run: the agent of a server that the caller
# didn't choose kept the packets, since the numbers of both servers were near.
@pytest.mark.parametrize("distance", [2, 1 << 10, 1 << 25, -2, -(1 << 25)])
def test_packets_leave_an_agent_whose_server_was_not_chosen(distance: int) -> None:
    world = World([1.0] * 4)
    request = open_long_flow(world)
    attempt = next(iter(world.attempts.values()))
    holder = next(h for h in world.hosts.values() if attempt.caller in h.server.flows)
    others = [host for host in world.hosts.values() if host is not holder]
    assert attempt.sequence is not None
    syn = make_packet(attempt.caller, request.route, SYN, 7)
    for host in others:
        number = (attempt.sequence + distance) % (1 << 32)
        host.server.flows[attempt.caller] = number
        offer = Envelope(
            Kind.DELIVER, 0, hash_name(SERVICE), hash_name("north"), 0, 0, 1, syn, True
        )
        host.handle_datagram(encode_envelope(offer), (holder.name, 1))
    world.clock.run(world.clock.now + 0.1)
    for host in world.hosts.values():
        for owner_entry in host.agent.owner.directory.entries.values():
            owner_entry.agent = others[0].name
    counts = [host.agent.counters.get("packets_delivered") for host in others]
    delivered = holder.agent.counters.get("packets_delivered")
    send_acknowledgement(world)()
    world.clock.run(world.clock.now + 0.1)
    assert counts == [host.agent.counters.get("packets_delivered") for host in others]
    assert holder.agent.counters.get("packets_delivered") == delivered + 1


def test_flow_lost_by_its_server_is_reset() -> None:
    world = World([1.0] * 3)
    request = open_long_flow(world)
    for host in world.hosts.values():
        host.server.flows.clear()
    send_acknowledgement(world)()
    world.clock.run(world.clock.now + 0.1)
    assert request.refused == 1


def test_packet_for_another_service_never_reaches_a_server() -> None:
    world = World([1.0] * 2)
    host = world.hosts["agent-0"]
    delivered: list[bytes] = []
    host.agent.delivery.send_to_server = delivered.append
    syn = make_packet((1, 1), (0xC6120001, 443), 4)
    other = Envelope(Kind.DELIVER, 0, hash_name("layouts"), 0, 1000, 100, 1, syn)
    host.handle_datagram(encode_envelope(other), ("agent-1", 1))
    assert delivered == []
    matching = Envelope(Kind.DELIVER, 0, hash_name(SERVICE), 0, 1000, 100, 1, syn)
    host.handle_datagram(encode_envelope(matching), ("agent-1", 1))
    assert len(delivered) == 1


def test_packet_of_an_unknown_flow_is_dropped_after_every_agent_was_asked() -> None:
    world = World([1.0] * 4)
    world.send_from_caller(
        "north", make_packet((9, 9), (0xC6120001, 443), 2, 5, 5, b"x")
    )
    world.clock.run(world.clock.now + 1)
    dropped = sum(
        host.agent.counters.get("packets_dropped", "flow_not_found")
        for host in world.hosts.values()
    )
    assert dropped == 1


def test_search_for_a_flow_ends_in_a_service_of_any_size() -> None:
    world = World([1.0])
    host = world.hosts["agent-0"]
    template = host.agent.record
    host.roster.replace(
        replace(template, name=f"agent-{number}", address=(f"agent-{number}", 1))
        for number in range(400)
    )
    packet = make_packet((9, 9), (0xC6120001, 443), ACK, 5, 5, b"x")
    sent: list[bytes] = []
    host.agent.delivery.send = lambda data, _address: sent.append(data)
    for hops in range(MAXIMUM_SEARCH_HOPS):
        envelope = Envelope(
            Kind.DELIVER, hops, hash_name(SERVICE), 0, 1000, 100, 1, packet
        )
        host.handle_datagram(encode_envelope(envelope), ("agent-1", 1))
    assert len(sent) == MAXIMUM_SEARCH_HOPS - 1
    assert host.agent.counters.get("packets_dropped", "flow_not_found") == 1


# Guards against flows that no search finds as long as an agent that has stopped isn't
# listed as lost.
@pytest.mark.parametrize("stopped", range(4))
@pytest.mark.parametrize("complete", [False, True])
def test_search_finds_a_flow_beyond_an_agent_that_has_stopped(
    stopped: int, *, complete: bool
) -> None:
    world = World([1.0] * 6)
    for host in world.hosts.values():
        # Owners place the flow on another agent.
        host.agent.loads.get_or_create(host.name).accepting = False
    open_long_flow(world)
    owner = next(
        host for host in world.hosts.values() if host.agent.owner.directory.entries
    )
    holder = next(host for host in world.hosts.values() if host.server.running)
    assert owner is not holder
    clear_directories(world)
    if not complete:
        # The servers have to be asked.
        for host in world.hosts.values():
            host.agent.delivery.flows_complete_since = 60.0
    others = [host for host in world.hosts.values() if host not in (owner, holder)]
    others[stopped].down = True
    for _ in range(2):
        send_acknowledgement(world)()
        world.clock.run(world.clock.now + 0.2)
    entry = next(iter(owner.agent.owner.directory.entries.values()))
    assert entry.agent == holder.name
    assert world.resets_of_open_flows == 0


def test_refused_syn_retransmission_is_not_reset() -> None:
    world = World([1.0])
    host = world.hosts["agent-0"]
    sent: list[bytes] = []
    host.agent.owner.send_to_caller = lambda data, _address: sent.append(data)
    host.agent.server.handle_leave("agent-0", 1)
    host.agent.update_record(world.clock.now)
    for retransmissions, resets in ((1, 0), (0, 1)):
        syn = make_packet(
            (5, retransmissions + 1), (0xC6120001, 443), 4, 3, retransmissions
        )
        envelope = Envelope(Kind.ROUTE, 0, hash_name(SERVICE), 0, 1000, 100, 1, syn)
        host.handle_datagram(encode_envelope(envelope), ("north", 0))
        assert len(sent) == resets


def offer_to_full_server(world: World, *, repeated: bool) -> tuple[list[bytes], bytes]:
    """Offer a SYN to an agent with a long queue; return resets and the flow's key."""
    host, owner = world.hosts["agent-0"], world.hosts["agent-1"]
    resets: list[bytes] = []
    host.agent.owner.send_to_caller = lambda data, _address: resets.append(data)
    for number in range(40):
        host.agent.flows.record_offer(b"flow-%07d" % number, 0, world.clock.now)
    syn = make_packet((1, 1), (0xC6120001, 443), 4)
    packet = owner.agent.owner.codec.parse(syn)
    assert packet is not None
    envelope = Envelope(
        Kind.DELIVER,
        MAXIMUM_QUEUE_HOPS,
        hash_name(SERVICE),
        0,
        1000,
        100,
        1,
        syn,
        repeated,
    )
    key = make_caller_key(packet)
    offer = Offer(envelope, packet, world.clock.now, [host.name])
    owner.agent.owner.offers[key] = offer
    host.handle_datagram(encode_envelope(envelope), owner.address)
    world.clock.run(world.clock.now + 0.05)
    return resets, key


def test_flow_refused_where_it_was_offered_is_not_offered_again() -> None:
    world = World([1.0] * 2)
    resets, key = offer_to_full_server(world, repeated=False)
    owner = world.hosts["agent-1"].agent
    assert len(resets) == 1
    assert key not in owner.owner.offers
    assert owner.loads.get_or_create("agent-0").unanswered_offers == 0


def test_flow_that_may_be_open_elsewhere_is_not_reset() -> None:
    resets, _ = offer_to_full_server(World([1.0] * 2), repeated=True)
    assert resets == []


def send_to_owner_without_roster(world: World, number: int) -> None:
    """Pass a balancer's SYN to an agent that has no roster yet."""
    host = world.hosts["agent-0"]
    syn = make_packet((number, number), (0xC6120001, 443), 4)
    envelope = Envelope(Kind.ROUTE, 0, hash_name(SERVICE), 0, 1000, 100, 1, syn)
    host.handle_datagram(encode_envelope(envelope), ("north", 0))


def test_leaving_agent_offers_no_flow_to_a_server_that_has_not_announced_itself() -> (
    None
):
    world = World([1.0] * 2)
    agent = world.hosts["agent-0"].agent
    agent.server.latest = None
    agent.update_record(world.clock.now)
    assert agent.delivery.accepts_new_flows()
    agent.leave(world.clock.now)
    assert not agent.delivery.accepts_new_flows()


def test_restarted_agent_does_not_use_a_server_that_was_leaving_before() -> None:
    world = World([1.0] * 2)
    agent = world.hosts["agent-0"].agent
    agent.server.latest = None
    agent.server.record_connection(world.clock.now)
    agent.update_record(world.clock.now)
    assert agent.record.accepting
    agent.roster.replace(
        replace(record, server_leaving=record.name == "agent-0")
        for record in agent.roster.agents.values()
    )
    agent.apply_roster(world.clock.now)
    agent.update_record(world.clock.now)
    assert not agent.record.accepting
    assert not agent.delivery.accepts_new_flows()


def test_owner_without_a_roster_serves_a_flow_itself() -> None:
    # Pattern: power loss of all hosts, where balancers forward their buffered SYNs as
    # soon as they have a roster, which some agents receive a little later.
    world = World([1.0] * 2)
    host = world.hosts["agent-0"]
    host.roster.replace([])
    delivered: list[bytes] = []
    resets: list[bytes] = []
    host.agent.delivery.send_to_server = delivered.append
    host.agent.owner.send_to_caller = lambda data, _address: resets.append(data)
    send_to_owner_without_roster(world, 1)
    assert (len(delivered), len(resets)) == (1, 0)


def test_owner_without_a_roster_builds_no_queue_beyond_the_target() -> None:
    world = World([1.0] * 2)
    host = world.hosts["agent-0"]
    host.roster.replace([])
    delivered: list[bytes] = []
    host.agent.delivery.send_to_server = delivered.append
    for number in range(1, 41):
        send_to_owner_without_roster(world, number)
    # Each takes 20 ms as far as is known, and the target is 100 ms.
    assert len(delivered) <= 5


def make_server_packet(sequence: int, flags: int, payload: bytes = b"") -> bytes:
    """Return a packet of a backend server to the only caller."""
    return make_packet((0xC6120001, 443), (5, 1), flags, sequence, 0, payload)


@pytest.mark.parametrize("opened", [False, True])
def test_late_answer_of_a_former_flow_does_not_reach_the_caller(
    *, opened: bool
) -> None:
    # Another operator's report: a server sent an answer a second time, late, on a
    # connection that was in use again, and the next caller got it.
    host = World([1.0]).hosts["agent-0"]
    sent: list[bytes] = []
    host.agent.delivery.send_to_caller = lambda data, _address: sent.append(data)
    syn = make_packet((5, 1), (0xC6120001, 443), SYN)
    envelope = Envelope(Kind.DELIVER, 0, hash_name(SERVICE), 0, 1000, 100, 1, syn)
    answer = make_server_packet(1_001, ACK, b"first answer")
    host.handle_datagram(encode_envelope(envelope), ("agent-1", 1))
    for data in (make_server_packet(1_000, SYN | ACK), answer):
        host.agent.handle_server_packet(data, 1.0)
    host.agent.handle_server_packet(make_server_packet(1_013, ACK | FIN), 1.0)
    assert len(sent) == 3
    host.handle_datagram(encode_envelope(envelope), ("agent-1", 1))
    own = [answer]
    if opened:
        own = [
            make_server_packet(3_000_000_000, SYN | ACK),
            make_server_packet(3_000_000_001, ACK, b"second answer"),
        ]
    sent.clear()
    for data in own:
        host.agent.handle_server_packet(data, 1.1)
    host.agent.handle_server_packet(answer, 1.2)
    assert sent == (own if opened else [])
    assert host.agent.counters.get("packets_dropped", "former_flow") > 0
