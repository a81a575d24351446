"""JSON documents of other programs."""

import msgspec
import pytest

from lentilfork.documents import decode_json


class Sized(msgspec.Struct):
    """A model with one field; others are ignored."""

    size: int


def test_document_is_read_into_its_model() -> None:
    assert decode_json(b'{"size": 3, "unknown": [1]}', Sized) == Sized(3)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b'{"size": "3"}',
        b'{"size": 3, "unknown": "\xff"}',
        b'{"size": 3, "unknown": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    ],
    ids=["empty", "wrong_type", "invalid_utf8", "deep"],
)
def test_document_that_cannot_be_read_is_a_decode_error(body: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_json(body, Sized)
