"""An owner keeps track of a flow if placement notices are lost, late or reordered."""

from collections.abc import Iterator

import pytest

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import decode_envelope
from lentilfork.forwarding.envelopes import decode_placement_notice
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.envelopes import encode_placement_notice
from lentilfork.forwarding.envelopes import read_kind
from lentilfork.forwarding.ownership import CONTEST_LIFETIME_S
from lentilfork.forwarding.ownership import OFFER_TIMEOUT_S
from lentilfork.forwarding.packets import KEY
from lentilfork.forwarding.packets import hash_name
from tests.forwarding.simulation import ACK_BIT as ACK
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import SYN_BIT as SYN
from tests.forwarding.simulation import AgentHost
from tests.forwarding.simulation import Request
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_packet

CALLER = (5, 1)
FLOW = KEY.pack(*CALLER, ADDRESS, PORT)
SEQUENCE = 1_000
OWNER = "agent-0"
NOTICES = {Kind.NOTE, Kind.CHOICE}


class OwnerStand:
    """An owner whose own server is full, and the packets that it sends to agents."""

    def __init__(self) -> None:
        self.host = World([1.0] * 4).hosts[OWNER]
        self.agent = self.host.agent
        self.now = self.host.world.clock.now
        self.agent.loads.get_or_create(OWNER).accepting = False
        self.delivered: list[tuple[str, Envelope]] = []
        self.agent.owner.send = self.send

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Record an envelope to another agent."""
        envelope = decode_envelope(data)
        if envelope is not None and envelope.kind is Kind.DELIVER:
            self.delivered.append((address[0], envelope))

    def route(self, flags: int, acknowledgement: int = 0) -> list[str]:
        """Pass a packet of the caller to the owner; return where it is forwarded."""
        self.delivered.clear()
        data = make_packet(CALLER, (ADDRESS, PORT), flags, 7, acknowledgement)
        envelope = Envelope(Kind.ROUTE, 0, hash_name(SERVICE), 0, 1000, 100, 1, data)
        self.agent.handle_datagram(
            Kind.ROUTE, encode_envelope(envelope), ("north", 0), self.now
        )
        return [name for name, _ in self.delivered]

    def wait(self, delay_s: float = OFFER_TIMEOUT_S + 0.01) -> list[str]:
        """Let time pass; return the agents that get an offer."""
        self.delivered.clear()
        self.now += delay_s
        self.agent.owner.retry_offers(self.now)
        return [name for name, _ in self.delivered]

    def notify(self, agent: str, *, chosen: bool = False) -> None:
        """Let an agent's placement notice arrive; "" is a refusal."""
        notice = encode_placement_notice(FLOW, agent, chosen=chosen)
        kind = read_kind(notice)
        assert kind is not None
        self.agent.handle_datagram(kind, notice, ("agent-1", 1), self.now)


# Guards against flows that are offered to a second agent although they are open, whose
# packets then go there.
def test_acknowledged_flow_is_not_offered_again_without_a_notice() -> None:
    stand = OwnerStand()
    [first] = stand.route(SYN)
    assert stand.route(ACK, SEQUENCE + 1) == [first]
    assert stand.wait() == []
    assert stand.route(ACK, SEQUENCE + 1) == [first]


# Guards against packets that reach only the agent of the last offer, while the flow is
# open at an earlier one, or the other way round.
@pytest.mark.parametrize("chosen", [0, 1])
@pytest.mark.parametrize("notices", [(), (0,), (1,), (0, 1), (1, 0)])
def test_packets_reach_the_agent_whose_answer_the_caller_chose(
    chosen: int, notices: tuple[int, ...]
) -> None:
    stand = OwnerStand()
    agents = stand.route(SYN)
    agents += stand.wait()
    assert len(set(agents)) == 2
    for index in notices:
        stand.notify(agents[index])
    assert stand.route(ACK, SEQUENCE + 1) == agents
    assert all(envelope.repeated for _, envelope in stand.delivered)
    assert stand.route(ACK, SEQUENCE + 1) == agents
    # A server that sends its SYN-ACK again says nothing about the choice.
    stand.notify(agents[1 - chosen])
    assert stand.route(ACK, SEQUENCE + 1) == agents
    stand.notify(agents[chosen], chosen=True)
    assert stand.route(ACK, SEQUENCE + 1) == [agents[chosen]]


# Guards against open flows that are led to a server which answered their SYN as well
# and sends its SYN-ACK again for seconds, or answers late.
@pytest.mark.parametrize("chosen", [0, 1])
@pytest.mark.parametrize("restarted", [False, True])
def test_notices_of_other_servers_do_not_move_an_open_flow(
    chosen: int, *, restarted: bool
) -> None:
    stand = OwnerStand()
    agents = stand.route(SYN)
    agents += stand.wait()
    stand.route(ACK, SEQUENCE + 1)
    if restarted:
        stand.agent.owner.directory.entries.clear()
        stand.agent.owner.contests.clear()
        stand.notify(agents[1 - chosen])
    stand.notify(agents[chosen], chosen=True)
    for _ in range(8):
        stand.now += 1.6
        stand.notify(agents[1 - chosen])
        assert stand.route(ACK, SEQUENCE + 1) == [agents[chosen]]


# Guards against the same without a second offer of this owner: a former one made it.
def test_flow_stays_where_its_caller_uses_it() -> None:
    stand = OwnerStand()
    [first] = stand.route(SYN)
    stand.route(ACK, SEQUENCE + 1)
    other = next(name for name in stand.host.world.hosts if name not in {OWNER, first})
    stand.notify(other)
    assert stand.route(ACK, SEQUENCE + 1) == [first]
    stand.notify(other, chosen=True)
    assert stand.route(ACK, SEQUENCE + 1) == [other]


# Guards against a choice that outlives its flow, or the agent that it names.
@pytest.mark.parametrize("gone", [False, True])
def test_choice_ends_with_its_flow_and_its_agent(*, gone: bool) -> None:
    stand = OwnerStand()
    [first] = stand.route(SYN)
    stand.route(ACK, SEQUENCE + 1)
    other = next(name for name in stand.host.world.hosts if name not in {OWNER, first})
    if gone:
        del stand.host.roster.agents[first]
    else:
        assert stand.route(SYN) == [first]
    stand.notify(other)
    assert stand.route(ACK, SEQUENCE + 1) == [other]


# Guards against a directory that moves an open flow to the agent of a repeated offer.
def test_directory_names_the_first_agent_until_the_caller_has_chosen() -> None:
    stand = OwnerStand()
    [first] = stand.route(SYN)
    [second] = stand.wait()
    stand.notify(second)
    assert stand.agent.owner.directory.entries[FLOW].agent == first
    assert stand.wait(CONTEST_LIFETIME_S + 1.0) == []
    assert not stand.agent.owner.contests


# Guards against copies of a SYN that go to an agent that has left an offer unanswered.
def test_copy_of_a_syn_goes_to_the_last_agent_that_it_was_offered_to() -> None:
    stand = OwnerStand()
    stand.route(SYN)
    offered = stand.wait()
    assert stand.route(SYN, 1) == offered
    assert all(envelope.repeated for _, envelope in stand.delivered)


# Guards against a search, or another placement, of an open flow after a late refusal.
def test_late_refusal_does_not_remove_an_open_flow() -> None:
    stand = OwnerStand()
    [first] = stand.route(SYN)
    stand.notify(first)
    stand.notify("")
    assert stand.route(ACK, SEQUENCE + 1) == [first]


# Guards against a refusal by one of two agents that ends the offer to the other.
def test_refusal_of_one_of_two_agents_does_not_remove_the_flow() -> None:
    stand = OwnerStand()
    agents = stand.route(SYN)
    agents += stand.wait()
    stand.notify("")
    assert stand.route(ACK, SEQUENCE + 1) == agents


def open_flow(host: AgentHost) -> None:
    """Open a flow at a host's backend server."""
    now = host.world.clock.now
    deliver(host, make_packet(CALLER, (ADDRESS, PORT), SYN, 7), hops=0)
    answer = make_packet((ADDRESS, PORT), CALLER, SYN | ACK, SEQUENCE)
    host.agent.delivery.send_to_caller = lambda _data, _address: None
    host.agent.handle_server_packet(answer, now)


def deliver(host: AgentHost, data: bytes, *, hops: int, repeated: bool = False) -> None:
    """Pass a packet of the caller to an agent that may serve the flow."""
    service, ingress = hash_name(SERVICE), hash_name("north")
    envelope = Envelope(
        Kind.DELIVER, hops, service, ingress, 1000, 100, 1, data, repeated
    )
    host.handle_datagram(encode_envelope(envelope), ("agent-3", 1))


def record_notices(host: AgentHost) -> list[tuple[str, str]]:
    """Return a list to which receivers and agents of sent notices are added."""
    notices: list[tuple[str, str]] = []

    def send(data: bytes, address: tuple[str, int]) -> None:
        if read_kind(data) in NOTICES:
            notice = decode_placement_notice(data)
            assert notice is not None
            notices.append((address[0], notice[1]))

    host.agent.delivery.send = send
    host.agent.delivery.send_to_server = lambda _data: None
    return notices


# Guards against an owner that forwards packets to several agents for the whole flow.
def test_chosen_agent_notifies_the_owner_that_asks() -> None:
    host = World([1.0] * 4).hosts["agent-1"]
    notices = record_notices(host)
    open_flow(host)
    notices.clear()
    data = make_packet(CALLER, (ADDRESS, PORT), ACK, 8, SEQUENCE + 1)
    deliver(host, data, hops=0)
    assert notices == []
    deliver(host, data, hops=0, repeated=True)
    deliver(host, data, hops=0, repeated=True)
    assert notices == [("agent-3", "agent-1")]


# Guards against an owner that names another agent for a flow, or none after a restart,
# so that each packet of the flow is searched.
def test_agent_that_gets_a_searched_packet_notifies_the_owner() -> None:
    host = World([1.0] * 4).hosts["agent-1"]
    notices = record_notices(host)
    open_flow(host)
    notices.clear()
    data = make_packet(CALLER, (ADDRESS, PORT), ACK, 8, SEQUENCE + 1)
    deliver(host, data, hops=2)
    owners = host.roster.rank_owners(hash_name(SERVICE), hash_name("north"), FLOW)
    assert notices == [(owners[0].name, "agent-1")]


# Guards against an agent that claims a flow for which the caller has chosen another.
def test_only_the_chosen_agent_notifies_a_new_owner() -> None:
    host = World([1.0] * 4).hosts["agent-1"]
    notices = record_notices(host)
    open_flow(host)
    flow = host.agent.flows.list_open()[0]
    for opened in (False, True):
        flow.opened = opened
        flow.notified_owner = "agent-9"
        notices.clear()
        host.agent.delivery.notify_new_owners(host.world.clock.now)
        assert bool(notices) == opened


# Guards against a refusal notice about a flow that may be open at another agent.
@pytest.mark.parametrize(
    ("retransmissions", "repeated", "refused"),
    [(0, False, True), (0, True, False), (1, False, False)],
)
def test_only_a_flow_that_is_reset_is_reported_as_refused(
    retransmissions: int, *, repeated: bool, refused: bool
) -> None:
    host = World([1.0]).hosts[OWNER]
    notices = record_notices(host)
    resets: list[bytes] = []
    host.agent.owner.send_to_caller = lambda data, _address: resets.append(data)
    for number in range(40):
        host.agent.flows.record_offer(b"flow-%07d" % number, 0, host.world.clock.now)
    syn = make_packet(CALLER, (ADDRESS, PORT), SYN, 7, retransmissions)
    deliver(host, syn, hops=0, repeated=repeated)
    assert bool(resets) == refused
    assert notices == [("agent-3", "")] * refused


def lose_each_first_notice(world: World) -> None:
    """Lose the first placement notice of each agent about each flow."""
    seen: set[bytes] = set()
    send = world.send

    def send_or_lose(
        data: bytes, sender: tuple[str, int], data_centre: str, address: tuple[str, int]
    ) -> None:
        if read_kind(data) in NOTICES and data not in seen:
            seen.add(data)
            return
        send(data, sender, data_centre, address)

    world.send = send_or_lose  # type: ignore[method-assign]


def add_flows(world: World) -> Iterator[Request]:
    """Add requests and return them."""
    for number in range(20):
        request = Request("north", world.clock.now + number / 20, 0.02, 3.0)
        world.add_request(request)
        yield request


# Guards against flows that can't be used if the first agent that got their SYN is down
# and the notice of the second one is lost.
@pytest.mark.parametrize("seed", range(4))
def test_lost_notices_and_a_server_that_is_down_cut_off_no_flow(seed: int) -> None:
    world = World([1.0] * 6, seed=seed)
    lose_each_first_notice(world)
    requests = list(add_flows(world))
    world.hosts["agent-1"].server.down = True
    world.clock.run(world.clock.now + 5)
    assert all(request.answered_s is not None for request in requests)
    assert max(request.tries for request in requests) == 1
    assert world.resets_of_open_flows == 0
