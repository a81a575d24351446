"""Packets of the fabric: round trips, and malformed input that is only counted."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lentilfork.adapters.packets import MAXIMUM_PACKET_BYTES
from lentilfork.adapters.packets import Packet
from lentilfork.adapters.packets import SocketPair
from lentilfork.adapters.packets import build_packet
from lentilfork.adapters.packets import parse_packet
from lentilfork.counters import Counters
from lentilfork.dispatcher import MAXIMUM_HOPS
from lentilfork.dispatcher import Dispatcher
from lentilfork.errors import DropReason
from lentilfork.jobs import Job
from lentilfork.routing import LoadReport
from lentilfork.schema import packets_pb2
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Service

PAIR = SocketPair(b"\x7f\x00\x00\x09", 40_000, b"\x7f\x00\x00\x01", 5683)
# A confirmable GET of /warnings/bend-1, message id 1, token "t".
GET_MESSAGE = bytes([0x41, 0x01, 0, 1, ord("t")]) + b"\xb8warnings\x06bend-1"
VALID_PACKET = build_packet(PAIR, GET_MESSAGE, to_caller=False)

MALFORMED_PACKETS = {
    "empty": (b"", DropReason.TRUNCATED),
    "header only": (VALID_PACKET[:20], DropReason.TRUNCATED),
    "cut in the payload": (VALID_PACKET[:-3], DropReason.TRUNCATED),
    "IPv6": (b"\x60" + VALID_PACKET[1:], DropReason.NOT_IPV4),
    "TCP": (VALID_PACKET[:9] + b"\x06" + VALID_PACKET[10:], DropReason.NOT_UDP),
    "fragment": (
        VALID_PACKET[:6] + b"\x20\x00" + VALID_PACKET[8:],
        DropReason.FRAGMENT,
    ),
    "oversized": (VALID_PACKET + bytes(MAXIMUM_PACKET_BYTES), DropReason.OVERSIZED),
    "UDP length beyond the end": (
        VALID_PACKET[:24] + b"\xff\xff" + VALID_PACKET[26:],
        DropReason.TRUNCATED,
    ),
}


def make_dispatcher(served: list[Job], counters: Counters) -> Dispatcher:
    dispatcher = Dispatcher(
        local_name="agent-1",
        service="warnings",
        counters=counters,
        send_envelope=lambda _envelope, _address: None,
        send_answer=lambda _packet: None,
        serve_job=served.append,
        refuse_job=served.append,
        measure_load=lambda: LoadReport("agent-1", 0, 0, 0, 100, 1),
        has_download=lambda _key: False,
    )
    services = [
        Service(1, "warnings", "127.0.0.1", 5683, 2000, (), 1),
        Service(2, "artwork", "127.0.0.2", 5683, 2000, ("artwork",), 1),
    ]
    state = ClusterState(
        generation=1, services={service.name: service for service in services}
    )
    dispatcher.apply_state(ClusterState(), state)
    return dispatcher


@pytest.mark.parametrize("payload", [b"", GET_MESSAGE, bytes(1500)])
def test_packet_survives_a_round_trip(payload: bytes) -> None:
    data = build_packet(PAIR, payload, to_caller=False)
    assert parse_packet(data) == Packet(PAIR, payload)


def test_answer_swaps_source_and_destination() -> None:
    parsed = parse_packet(build_packet(PAIR, b"x", to_caller=True))
    assert isinstance(parsed, Packet)
    assert parsed.pair.service_address == PAIR.caller_address
    assert parsed.pair.caller_port == PAIR.service_port


@pytest.mark.parametrize("case", MALFORMED_PACKETS)
def test_malformed_packet_is_dropped_with_its_reason(case: str) -> None:
    data, reason = MALFORMED_PACKETS[case]
    assert parse_packet(data) is reason


@settings(derandomize=True, max_examples=500)
@given(st.binary(max_size=200), st.integers(0, len(VALID_PACKET)))
def test_no_bytes_crash_the_agent(noise: bytes, cut: int) -> None:
    counters = Counters()
    dispatcher = make_dispatcher([], counters)
    dispatcher.handle_datagram(noise, ("127.0.0.9", 1))
    envelope = packets_pb2.Envelope(packet=VALID_PACKET[:cut] + noise)
    dispatcher.handle_datagram(envelope.SerializeToString(), ("127.0.0.9", 1))
    payload = build_packet(PAIR, noise, to_caller=False)
    envelope = packets_pb2.Envelope(packet=payload, placed=True)
    dispatcher.handle_datagram(envelope.SerializeToString(), ("127.0.0.9", 1))


def test_packet_of_another_service_is_not_served() -> None:
    served: list[Job] = []
    counters = Counters()
    dispatcher = make_dispatcher(served, counters)
    other = SocketPair(PAIR.caller_address, 40_000, b"\x7f\x00\x00\x02", 5683)
    for service_id in (1, 2):
        envelope = packets_pb2.Envelope(
            service_id=service_id,
            packet=build_packet(other, GET_MESSAGE, to_caller=False),
            placed=True,
        )
        dispatcher.handle_datagram(envelope.SerializeToString(), ("127.0.0.9", 1))
    assert not served
    assert counters.get("dropped", DropReason.WRONG_SERVICE) == 2


@pytest.mark.parametrize("hops", [MAXIMUM_HOPS, MAXIMUM_HOPS + 1, 2**32 - 1])
def test_packet_over_the_hop_limit_is_dropped(hops: int) -> None:
    served: list[Job] = []
    counters = Counters()
    dispatcher = make_dispatcher(served, counters)
    envelope = packets_pb2.Envelope(service_id=1, packet=VALID_PACKET, hops=hops)
    dispatcher.handle_datagram(envelope.SerializeToString(), ("127.0.0.9", 1))
    dropped = counters.get("dropped", DropReason.HOP_LIMIT)
    assert len(served) + dropped == 1
    assert bool(dropped) == (hops > MAXIMUM_HOPS)
