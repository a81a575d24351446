"""Encoding and decoding of datagrams, and arbitrary input to their handlers."""

from hypothesis import given
from hypothesis import strategies as st

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import decode_envelope
from lentilfork.forwarding.envelopes import decode_placement_notice
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.envelopes import encode_placement_notice
from lentilfork.forwarding.envelopes import read_kind
from tests.forwarding.simulation import World


def test_envelope_is_unchanged_by_encoding_and_decoding() -> None:
    envelope = Envelope(Kind.DELIVER, 3, 7, 9, 1000, 120, 1, b"packet")
    assert decode_envelope(encode_envelope(envelope)) == envelope


def test_placement_notice_is_unchanged_by_encoding_and_decoding() -> None:
    assert decode_placement_notice(
        encode_placement_notice(b"0123456789ab", "agent-1")
    ) == (
        b"0123456789ab",
        "agent-1",
    )


def test_long_times_are_capped() -> None:
    envelope = Envelope(Kind.ROUTE, 0, 7, 9, 1_000_000, 90_000, 300, b"packet")
    decoded = decode_envelope(encode_envelope(envelope))
    assert decoded is not None
    assert (decoded.deadline_ms, decoded.target_ms) == (65_535, 65_535)


@given(st.binary(max_size=120))
def test_agents_survive_any_datagram(data: bytes) -> None:
    host = WORLD.hosts["agent-0"]
    kind = read_kind(data)
    if kind is not None:
        host.agent.handle_datagram(kind, data, ("agent-1", 1), WORLD.clock.now)
    host.agent.handle_server_packet(data, WORLD.clock.now)
    for balancer in WORLD.balancers["north"]:
        balancer.handle_packet(data, WORLD.clock.now)


WORLD = World([1.0, 1.0])
