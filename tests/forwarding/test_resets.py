"""Only the backend server that holds a flow and its agent reset the flow."""

from dataclasses import replace

import pytest

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.ownership import OFFER_TIMEOUT_S
from lentilfork.forwarding.packets import hash_name
from tests.forwarding.simulation import ACK_BIT as ACK
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import CODEC
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import REJECTED_BIT as REJECTED
from tests.forwarding.simulation import RST_BIT as RST
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import SYN_BIT as SYN
from tests.forwarding.simulation import AgentHost
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_packet

CALLER = (5, 1)
SERVICE_ADDRESS = (ADDRESS, PORT)
# First sequence numbers of the backend server under test and of one that answered the
# same SYN.
SEQUENCE = 1_000
OTHER_SEQUENCE = 3_000_000_000


def make_host(hosts: int = 2) -> tuple[AgentHost, list[bytes]]:
    """Return one of some hosts and the packets that its agent sends to the caller."""
    host = World([1.0] * hosts).hosts["agent-0"]
    sent: list[bytes] = []
    host.agent.delivery.send_to_caller = lambda data, _address: sent.append(data)
    host.agent.owner.send_to_caller = host.agent.delivery.send_to_caller
    host.agent.delivery.send_to_server = lambda _data: None
    return host, sent


def deliver(
    host: AgentHost,
    flags: int,
    acknowledgement: int = 0,
    payload: bytes = b"",
    *,
    repeated: bool = False,
) -> None:
    """Pass a packet of the caller to an agent that is to serve the flow."""
    data = make_packet(CALLER, SERVICE_ADDRESS, flags, 7, acknowledgement, payload)
    envelope = Envelope(
        Kind.DELIVER, 0, hash_name(SERVICE), 0, 1000, 100, 1, data, repeated
    )
    host.handle_datagram(encode_envelope(envelope), ("agent-1", 1))


def answer_syn(host: AgentHost) -> None:
    """Let the backend server send its SYN-ACK."""
    data = make_packet(SERVICE_ADDRESS, CALLER, SYN | ACK, SEQUENCE)
    host.agent.handle_server_packet(data, host.world.clock.now)


def read_resets(sent: list[bytes]) -> list[int]:
    """Return the sequence numbers of the resets among packets to the caller."""
    packets = [CODEC.parse(data) for data in sent]
    return [
        packet.sequence
        for data, packet in zip(sent, packets, strict=True)
        if packet is not None and data[28] & RST
    ]


# Guards against resets of flows that are open at other backend servers when one that
# has crashed starts again.
@pytest.mark.parametrize("answered", [False, True])
@pytest.mark.parametrize("passed", [False, True])
def test_start_of_a_server_resets_no_flow_that_it_was_only_offered(
    *, answered: bool, passed: bool
) -> None:
    host, sent = make_host()
    deliver(host, SYN)
    if passed:
        deliver(host, ACK, OTHER_SEQUENCE + 1, b"request")
    if answered:
        answer_syn(host)
    host.agent.delivery.reset_all_flows(
        "backend server started anew", host.world.clock.now + 1
    )
    assert read_resets(sent) == []
    assert host.agent.flows.list_open() == []


# Guards against callers that wait for a server that has lost their flow.
def test_start_of_a_server_resets_the_flows_that_were_open_there() -> None:
    host, sent = make_host()
    deliver(host, SYN)
    answer_syn(host)
    deliver(host, ACK, SEQUENCE + 1, b"request")
    deliver(host, ACK, SEQUENCE + 900)
    host.agent.delivery.reset_all_flows(
        "backend server started anew", host.world.clock.now + 1
    )
    assert read_resets(sent) == [SEQUENCE + 900]


# Guards against resets of flows that a server has opened since it started again, before
# its first announcement reached the agent.
def test_first_announcement_of_a_server_resets_no_flow_that_it_has_opened() -> None:
    host, sent = make_host()
    latest = host.agent.server.latest
    assert latest is not None
    deliver(host, SYN)
    answer_syn(host)
    deliver(host, ACK, SEQUENCE + 1, b"request")
    clock = host.world.clock
    clock.run(clock.now + 0.5)
    started = replace(latest, born_ms=latest.born_ms + 9_000, sequence=1)
    host.agent.handle_announcement(started, clock.now, 0.8)
    assert read_resets(sent) == []
    assert len(host.agent.flows.list_open()) == 1
    restarted = replace(started, born_ms=started.born_ms + 9_000)
    host.agent.handle_announcement(restarted, clock.now, 0.2)
    assert read_resets(sent) == [SEQUENCE + 1]


# Guards against callers that wait for a server that has lost their flow, if its agent
# started after the flow had opened.
def test_start_of_a_server_resets_flows_that_opened_before_its_agent_started() -> None:
    host, sent = make_host()
    answer = make_packet(SERVICE_ADDRESS, CALLER, ACK, SEQUENCE + 900, 0, b"answer")
    host.agent.handle_server_packet(answer, host.world.clock.now)
    deliver(host, ACK, SEQUENCE + 906)
    host.agent.delivery.reset_all_flows(
        "backend server started anew", host.world.clock.now + 1
    )
    assert read_resets(sent) == [SEQUENCE + 906]


# Guards against a reset of a flow that is open at another backend server, if a packet
# overtakes the SYN-ACK of the one that rejects it.
def test_rejected_packet_that_acknowledges_another_server_is_not_reset() -> None:
    host, sent = make_host()
    deliver(host, SYN)
    deliver(host, ACK, OTHER_SEQUENCE + 1, b"request")
    answer_syn(host)
    flags = ACK | REJECTED
    rejected = make_packet(
        CALLER, SERVICE_ADDRESS, flags, 7, OTHER_SEQUENCE + 1, b"request"
    )
    host.agent.handle_server_packet(rejected, host.world.clock.now)
    assert read_resets(sent) == []
    assert host.agent.counters.get("packets_passed_on") == 1


# Guards against resets of flows that opened at the agent of another offer, while the
# backend server of this one was full or slow.
@pytest.mark.parametrize(
    ("repeated", "rejected_after_s", "refused"),
    [(False, 0.001, True), (True, 0.001, False), (False, OFFER_TIMEOUT_S, False)],
)
def test_rejected_syn_is_reset_only_if_no_other_agent_has_it(
    rejected_after_s: float, *, repeated: bool, refused: bool
) -> None:
    host, sent = make_host(1)
    deliver(host, SYN, repeated=repeated)
    rejected = make_packet(CALLER, SERVICE_ADDRESS, SYN | REJECTED, 7)
    host.agent.handle_server_packet(rejected, host.world.clock.now + rejected_after_s)
    assert bool(read_resets(sent)) == refused
