"""A flow that only one side has ended stays open, as the other side still uses it."""

import pytest

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.flows import CLOSED_LIFETIME_S
from lentilfork.forwarding.packets import KEY
from lentilfork.forwarding.packets import hash_name
from tests.forwarding.simulation import ACK_BIT as ACK
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import FIN_BIT as FIN
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import SYN_BIT as SYN
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_packet
from tests.forwarding.simulation import make_routes

CALLER = (5, 1)
FLOW = KEY.pack(*CALLER, ADDRESS, PORT)
SEQUENCE = 1_000
IDLE_TIMEOUT_S = 15.0


class Holder:
    """An agent whose server has opened one flow, and the packets that it gets."""

    def __init__(self) -> None:
        self.host = World([1.0] * 4).hosts["agent-1"]
        self.now = self.host.world.clock.now
        self.delivered: list[bytes] = []
        self.sent: list[tuple[str, int]] = []
        delivery = self.host.agent.delivery
        delivery.send_to_server = self.delivered.append
        delivery.send_to_caller = lambda _data, _address: None
        delivery.send = lambda data, address: self.sent.append((address[0], data[0]))
        self.receive(SYN, 7)
        self.answer(SYN | ACK, SEQUENCE)
        self.receive(ACK, 8, SEQUENCE + 1, b"request")
        self.answer(ACK, SEQUENCE + 1, b"answer")

    def receive(
        self, flags: int, sequence: int, acknowledged: int = 0, payload: bytes = b""
    ) -> None:
        """Pass a packet of the caller to the agent."""
        data = make_packet(
            CALLER, (ADDRESS, PORT), flags, sequence, acknowledged, payload
        )
        envelope = Envelope(
            Kind.DELIVER, 0, hash_name(SERVICE), hash_name("north"), 0, 0, 1, data
        )
        self.host.agent.handle_datagram(
            Kind.DELIVER, encode_envelope(envelope), ("agent-3", 1), self.now
        )

    def answer(self, flags: int, sequence: int, payload: bytes = b"") -> None:
        """Let the server send a packet."""
        data = make_packet((ADDRESS, PORT), CALLER, flags, sequence, 0, payload)
        self.host.agent.handle_server_packet(data, self.now)

    def wait(self, delay_s: float) -> None:
        """Let time pass and expire flows."""
        self.now += delay_s
        self.host.agent.flows.expire_flows(self.now, IDLE_TIMEOUT_S)
        self.delivered.clear()
        self.sent.clear()


# Guards against open flows that reach other servers: the server had ended its side, as
# the flow was idle, and the agent forgot the flow before the caller used it again.
@pytest.mark.parametrize("idle_s", [1.0, CLOSED_LIFETIME_S + 1.0, IDLE_TIMEOUT_S - 1.0])
def test_packets_reach_a_server_that_has_ended_its_side(idle_s: float) -> None:
    holder = Holder()
    holder.answer(FIN | ACK, SEQUENCE + 7)
    holder.wait(idle_s)
    holder.receive(ACK, 15, SEQUENCE + 8, b"request")
    assert (len(holder.delivered), holder.sent) == (1, [])


# Guards against owners that don't know such a flow after a change of route or roster.
def test_new_owners_learn_of_flows_whose_server_has_ended_its_side() -> None:
    holder = Holder()
    holder.answer(FIN | ACK, SEQUENCE + 7)
    holder.wait(0.1)
    flow = holder.host.agent.flows.find(FLOW)
    assert flow is not None
    flow.notified_owner = "agent-9"
    routes = make_routes(2, {SERVICE: 1})
    holder.host.agent.delivery.apply_routes(routes, holder.now)
    assert Kind.CHOICE in [kind for _, kind in holder.sent]


@pytest.mark.parametrize("caller_first", [False, True])
def test_flow_that_both_sides_have_ended_is_forgotten_soon(
    *, caller_first: bool
) -> None:
    holder = Holder()
    if caller_first:
        holder.receive(FIN | ACK, 15, SEQUENCE + 7)
    holder.answer(FIN | ACK, SEQUENCE + 7)
    if not caller_first:
        holder.receive(FIN | ACK, 15, SEQUENCE + 8)
    holder.wait(CLOSED_LIFETIME_S - 1.0)
    assert holder.host.agent.flows.find(FLOW) is not None
    holder.wait(2.0)
    assert holder.host.agent.flows.find(FLOW) is None


def test_flow_that_only_the_caller_has_ended_still_takes_its_answer() -> None:
    holder = Holder()
    holder.receive(ACK, 15, SEQUENCE + 7, b"request")
    holder.receive(FIN | ACK, 22, SEQUENCE + 7)
    assert holder.host.agent.flows.outstanding == 1
    holder.answer(ACK, SEQUENCE + 7, b"answer")
    assert holder.host.agent.flows.outstanding == 0


# Guards against an agent that waits for callers which don't end their side.
def test_flow_whose_server_has_ended_its_side_takes_no_requests() -> None:
    holder = Holder()
    holder.answer(FIN | ACK, SEQUENCE + 7)
    flows = holder.host.agent.flows
    assert (len(flows.list_open()), flows.list_active()) == (1, [])
    holder.receive(ACK, 15, SEQUENCE + 8, b"request")
    assert flows.outstanding == 0


def test_port_that_is_used_again_opens_another_flow() -> None:
    holder = Holder()
    holder.answer(FIN | ACK, SEQUENCE + 7)
    holder.wait(1.0)
    holder.receive(SYN, 90)
    flow = holder.host.agent.flows.find(FLOW)
    assert flow is not None
    assert (flow.opened, flow.former_sequence) == (False, SEQUENCE)
