"""CoAP answers match their request, and their blocks join to the whole answer."""

from dataclasses import replace
from typing import Any

import pytest
from aiocoap.message import Message

from lentilfork.adapters.callers import Answer
from lentilfork.adapters.callers import Request
from lentilfork.adapters.callers import encode_answer
from lentilfork.adapters.callers import make_not_run_answer

CONTENT = 69


def make_request(block: int = 0, exponent: int = 6) -> Request:
    return Request(7, b"tok", True, "GET", ("artwork", "p"), (), b"", block, exponent)


def test_answer_repeats_message_id_and_token() -> None:
    message = Message.decode(encode_answer(make_request(), Answer(CONTENT, b"ok")))
    assert (message.mid, message.token, message.payload) == (7, b"tok", b"ok")
    assert message.opt.block2 is None


@pytest.mark.parametrize("exponent", [0, 4, 6])
@pytest.mark.parametrize("length", [1, 1023, 1024, 1025, 5000])
def test_blocks_join_to_the_whole_answer(length: int, exponent: int) -> None:
    content = bytes(index % 251 for index in range(length))
    size = 2 ** (exponent + 4)
    parts = []
    for block in range(-(-length // size)):
        request = make_request(block, exponent)
        message = Message.decode(encode_answer(request, Answer(CONTENT, content, b"e")))
        parts.append(message.payload)
        assert message.opt.etag == b"e"
        more = message.opt.block2.more if message.opt.block2 else False
        assert more == ((block + 1) * size < length)
    assert b"".join(parts) == content


def test_refusal_carries_the_retry_delay() -> None:
    message = Message.decode(encode_answer(make_request(), make_not_run_answer(3)))
    assert (str(message.code), message.opt.max_age) == ("5.03 Service Unavailable", 3)


def test_block_beyond_the_end_is_no_success() -> None:
    request = make_request(block=2)
    message = Message.decode(encode_answer(request, Answer(CONTENT, bytes(1025))))
    assert not message.code.is_successful()
    assert message.opt.block2 is None


@pytest.mark.parametrize(
    "change",
    [
        {"path": ("artwork", "q")},
        {"path": ("artwork",), "query": ("p",)},
        {"payload": b"x"},
        {"method": "POST"},
        {"block_number": 1},
    ],
)
def test_content_digest_differs_for_other_requests(change: dict[str, Any]) -> None:
    request = make_request()
    assert replace(request, **change).content_digest != request.content_digest
    assert replace(request, confirmable=False).content_digest == request.content_digest
