"""The platform's packet header: parsing, writing and malformed packets."""

import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import PacketFlags
from lentilfork.platform.header import HEADER
from lentilfork.platform.header import HeaderCodec

CODEC = HeaderCodec()
CALLER = (0x64400009, 41_000)
ROUTE = (0xC6120003, 8443)


def make_packet(flags: int, payload: bytes = b"", echo: int = 0, ack: int = 0) -> bytes:
    return (
        HEADER.pack(
            echo,
            ROUTE[1],
            ROUTE[0],
            CALLER[0],
            CALLER[1],
            5,
            ack,
            77,
            flags,
            len(payload),
        )
        + payload
    )


def parse(data: bytes) -> FlowPacket:
    packet = CODEC.parse(data)
    assert packet is not None
    return packet


def test_header_has_31_bytes() -> None:
    assert HEADER.size == 31


def test_opening_packet_is_recognised() -> None:
    packet = parse(make_packet(4, ack=2))
    assert packet.is_opening
    assert (packet.source, packet.source_port) == CALLER
    assert (packet.destination, packet.destination_port) == ROUTE
    assert packet.acknowledgement == 2


def test_answer_to_an_opening_packet_is_not_opening() -> None:
    assert not parse(make_packet(4 | 2)).is_opening


def test_bits_map_to_flags() -> None:
    flags = parse(make_packet(32 | 16)).flags
    assert flags == PacketFlags.FIN | PacketFlags.REJECTED


def test_tag_replaces_the_echo_and_clears_only_the_bounced_flag() -> None:
    data = make_packet(2 | 16, b"body", echo=9)
    tagged = CODEC.write_tag(data, 3)
    packet = parse(tagged)
    assert packet.tag == 3
    assert packet.flags == PacketFlags.ACK
    assert tagged[4:28] == data[4:28]
    assert tagged[29:] == data[29:]


def test_request_id_is_read_from_the_head_of_a_request() -> None:
    head = b"GET /seat HTTP/1.1\r\nHost: x\r\nATTEMPT-ID: a1b2\r\n\r\n"
    assert CODEC.read_request_id(parse(make_packet(2, head))) == "a1b2"
    assert CODEC.read_request_id(parse(make_packet(2, b"more of a body"))) == ""


@pytest.mark.parametrize(
    ("head", "bytes_"),
    [
        (b"POST /a HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 500\r\n\r\n", 50 + 500),
        (b"POST /a HTTP/1.1\r\nContent-Length:7 \r\nHost: x\r\n\r\nbod", 48 + 7),
        (b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n", 28),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", None),
        (b"POST /a HTTP/1.1\r\nContent-Length: 1x\r\n\r\n", None),
        (b"POST /a HTTP/1.1\r\nContent-Length: 500\r\nHost:", None),
        (b"request", None),
    ],
)
def test_length_of_a_request_is_read_from_its_first_packet(
    head: bytes, bytes_: int | None
) -> None:
    # Guards against bodies in transit that count as running requests.
    assert CODEC.measure_request(parse(make_packet(2, head))) == bytes_


def test_reset_carries_the_last_acknowledgement() -> None:
    reset = CODEC.make_reset(parse(make_packet(2, ack=12_345)))
    packet = parse(reset)
    assert (packet.source, packet.source_port) == ROUTE
    assert (packet.destination, packet.destination_port) == CALLER
    assert packet.sequence == 12_345
    assert packet.flags == PacketFlags.RST
    assert struct.unpack_from("!I", reset, 24) == (0,)


@given(st.binary(max_size=200))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    packet = CODEC.parse(data)
    if packet is not None:
        assert len(data) == HEADER.size + packet.payload_bytes
        CODEC.measure_request(packet)


@given(st.integers(0, 40))
def test_truncated_packets_are_refused(length: int) -> None:
    data = make_packet(2, b"0123456789")
    assert CODEC.parse(data[:length]) is None or length == len(data)
