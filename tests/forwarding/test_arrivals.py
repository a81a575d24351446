"""Requests of several packets occupy a slot from their last byte on."""

import random

import pytest

from lentilfork.forwarding.agent import FlowAgent
from lentilfork.forwarding.arrivals import MAXIMUM_RANGES
from lentilfork.forwarding.arrivals import RequestArrival
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.packets import hash_name
from tests.forwarding.simulation import ACK_BIT as ACK
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import SYN_BIT as SYN
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_packet

CALLER = (5, 1)
# The caller's first sequence number, so that those of the request wrap around.
SYN_SEQUENCE = 0xFFFFF000
PACKET_BYTES = 1_200
HEAD = b"POST /scan HTTP/1.1\r\nAttempt-Id: a1\r\nContent-Length: 40000\r\n\r\n"
REQUEST = HEAD + bytes(40_000)
PARTS = [
    (SYN_SEQUENCE + 1 + first, REQUEST[first : first + PACKET_BYTES])
    for first in range(0, len(REQUEST), PACKET_BYTES)
]


def deliver(agent: FlowAgent, data: bytes, now: float) -> None:
    """Pass a caller's packet to the agent, as its owner would."""
    envelope = Envelope(Kind.DELIVER, 0, hash_name(SERVICE), 0, 1000, 100, 1, data)
    agent.handle_datagram(Kind.DELIVER, encode_envelope(envelope), ("agent-1", 1), now)


def send_part(
    agent: FlowAgent, sequence: int, payload: bytes, now: float, answered: int = 0
) -> None:
    """Send payload of the caller."""
    sequence %= 1 << 32
    data = make_packet(CALLER, (ADDRESS, PORT), ACK, sequence, 501 + answered, payload)
    deliver(agent, data, now)


def send_answer(agent: FlowAgent, now: float, answered: int = 0) -> None:
    """Send an answer of 100 bytes after `answered` bytes of earlier ones."""
    data = make_packet((ADDRESS, PORT), CALLER, ACK, 501 + answered, 0, bytes(100))
    agent.handle_server_packet(data, now)


def open_flow(*, with_syn: bool = True) -> FlowAgent:
    """Return an agent with one open flow; its server is not simulated."""
    agent = World([1.0]).hosts["agent-0"].agent
    agent.delivery.send_to_server = lambda _data: None
    agent.delivery.send_to_caller = lambda _data, _address: None
    if with_syn:
        deliver(agent, make_packet(CALLER, (ADDRESS, PORT), SYN, SYN_SEQUENCE), 1.0)
    answer = make_packet((ADDRESS, PORT), CALLER, SYN | ACK, 500)
    agent.handle_server_packet(answer, 1.0)
    return agent


def get_load(agent: FlowAgent) -> tuple[int, int]:
    """Return the numbers of outstanding and of running requests."""
    return agent.flows.outstanding, agent.flows.running


def test_body_in_transit_occupies_no_slot() -> None:
    # Guards against uploads that are refused while their servers are idle.
    agent = open_flow()
    for number, (sequence, payload) in enumerate(PARTS[:-1]):
        send_part(agent, sequence, payload, 1.0 + number * 0.025)
        assert get_load(agent) == (0, 0)
    send_part(agent, *PARTS[-1], 1.85)
    assert get_load(agent) == (1, 1)
    send_answer(agent, 1.855)
    assert get_load(agent) == (0, 0)
    # One sample of 5 ms and the initial value of 20 ms.
    assert agent.flows.service_time_s == pytest.approx(0.0125)


@pytest.mark.parametrize("seed", range(5))
def test_packets_out_of_order_and_sent_twice_complete_the_request_once(
    seed: int,
) -> None:
    # Guards against requests that never count, or count too early, on lossy paths.
    agent = open_flow()
    rng = random.Random(seed)
    parts = [*PARTS, *rng.sample(PARTS, 10)]
    rng.shuffle(parts)
    missing = dict(PARTS)
    for sequence, payload in parts:
        missing.pop(sequence, None)
        send_part(agent, sequence, payload, 1.1)
        assert get_load(agent) == ((0, 0) if missing else (1, 1))


def test_retransmission_of_an_answered_request_does_not_count_again() -> None:
    # Guards against a slot that seems in use until the request times out.
    agent = open_flow()
    for part in PARTS:
        send_part(agent, *part, 1.1)
    send_answer(agent, 1.2)
    send_part(agent, *PARTS[-1], 1.21)
    assert get_load(agent) == (0, 0)
    following = SYN_SEQUENCE + 1 + len(REQUEST)
    send_part(agent, following, b"GET / HTTP/1.1\r\n\r\n", 1.3, 100)
    assert get_load(agent) == (1, 1)


def test_request_of_unknown_length_counts_from_its_first_packet() -> None:
    # Guards against requests in an unknown format that are never counted.
    agent = open_flow()
    send_part(agent, SYN_SEQUENCE + 1, b"first part", 1.1)
    assert get_load(agent) == (1, 1)
    send_part(agent, SYN_SEQUENCE + 11, b"second part", 1.2)
    assert get_load(agent) == (1, 1)


@pytest.mark.parametrize("first", [0, 3])
def test_request_on_a_flow_whose_syn_was_not_seen_is_counted(first: int) -> None:
    # Guards against flows that an agent knows from before its restart only.
    agent = open_flow(with_syn=False)
    for part in PARTS[first:]:
        send_part(agent, *part, 1.1)
    assert get_load(agent) == (1, 1)


def test_request_that_is_answered_before_its_end_does_not_count() -> None:
    # Guards against slots that seem in use after a server has refused a body.
    agent = open_flow()
    send_part(agent, *PARTS[0], 1.1)
    send_answer(agent, 1.15)
    for part in PARTS[1:]:
        send_part(agent, *part, 1.2)
    assert get_load(agent) == (0, 0)


def test_ranges_of_one_request_are_bounded() -> None:
    # Guards against memory that a caller with gaps between its packets can take up.
    arrival = RequestArrival(0)
    assert not arrival.record(0, 10, 1 << 20)
    steps = range(20, 20 * (MAXIMUM_RANGES + 1), 20)
    complete = [arrival.record(first, 1, None) for first in steps]
    assert complete.index(True) == MAXIMUM_RANGES - 1
