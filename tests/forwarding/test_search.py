"""Tags keep the state of a search while a packet is at a backend server."""

import pytest

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.search import MAXIMUM_SEARCH_HOPS
from lentilfork.forwarding.search import decode_tag
from lentilfork.forwarding.search import encode_tag
from tests.forwarding.simulation import CODEC
from tests.forwarding.simulation import make_packet

DATA_CENTRES = {hash_name(f"zone-{number}"): f"zone-{number}" for number in range(12)}


@pytest.mark.parametrize("kind", [Kind.DELIVER, Kind.SEARCH_BACK])
@pytest.mark.parametrize("hops", [0, 1, MAXIMUM_SEARCH_HOPS])
def test_tag_keeps_kind_hops_and_data_centre(kind: Kind, hops: int) -> None:
    for ingress in DATA_CENTRES:
        envelope = Envelope(kind, hops, 7, ingress, 0, 0, 0, b"")
        data = CODEC.write_tag(make_packet((1, 1), (2, 2), 0), encode_tag(envelope))
        packet = CODEC.parse(data)
        assert packet is not None
        assert decode_tag(packet.tag, DATA_CENTRES) == (kind, hops, ingress)


def test_unknown_data_centre_is_none() -> None:
    tag = encode_tag(Envelope(Kind.DELIVER, 3, 7, hash_name("other"), 0, 0, 0, b""))
    assert decode_tag(tag, DATA_CENTRES) == (Kind.DELIVER, 3, 0)
    assert decode_tag(0, DATA_CENTRES) == (Kind.DELIVER, 0, 0)
