"""CoAP towards callers (RFC 7252, block-wise answers of RFC 7959).

Only the message codec of aiocoap is used. A request is turned into a typed value
that no decision needs CoAP for, and an answer back into a message that repeats
the request's message id and token, so it can reach no other request.
"""

from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Final

from aiocoap import error
from aiocoap.message import Message
from aiocoap.numbers import codes
from aiocoap.numbers import types
from aiocoap.optiontypes import BlockOption

from lentilfork.errors import DropReason

__all__ = [
    "MAXIMUM_BLOCK_SIZE",
    "NOT_RUN_CODE",
    "OUTCOME_UNKNOWN_CODE",
    "Answer",
    "Request",
    "Signal",
    "encode_answer",
    "encode_reset",
    "make_failure_answer",
    "make_not_run_answer",
    "make_outcome_unknown_answer",
    "parse_message",
]

MAXIMUM_EXPONENT: Final = 6
MAXIMUM_BLOCK_SIZE: Final = 1024
NOT_RUN_CODE: Final = int(codes.SERVICE_UNAVAILABLE)
OUTCOME_UNKNOWN_CODE: Final = int(codes.GATEWAY_TIMEOUT)
NOT_RUN_TEXT: Final = b"not run"
OUTCOME_UNKNOWN_TEXT: Final = b"outcome unknown"
IDEMPOTENT_METHODS: Final = frozenset({"GET", "PUT", "DELETE", "FETCH", "iPATCH"})
REQUEST_ID_QUERY: Final = "id="


@unique
class Signal(Enum):
    """A message that is no request."""

    PING = "ping"
    ACKNOWLEDGEMENT = "acknowledgement"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, or one later block of its answer."""

    message_id: int
    token: bytes
    confirmable: bool
    method: str
    path: tuple[str, ...]
    query: tuple[str, ...]
    payload: bytes
    # Block of the answer that is asked for, and its size 2^(exponent + 4).
    block_number: int
    size_exponent: int

    @property
    def idempotent(self) -> bool:
        """Whether running it again does no harm."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def target(self) -> str:
        """Path and query as one text; names what is asked for."""
        query = "&".join(self.query)
        return f"/{'/'.join(self.path)}" + (f"?{query}" if query else "")

    @property
    def request_id(self) -> str | None:
        """The id the caller gave the request, if any; it outlives the message."""
        marked = (part for part in self.query if part.startswith(REQUEST_ID_QUERY))
        return next(marked, None)


@dataclass(frozen=True, slots=True, weakref_slot=True)
class Answer:
    """What a caller is told."""

    # CoAP code number, such as 69 for 2.05.
    code: int
    payload: bytes
    etag: bytes = b""
    # Seconds after which a refused caller may come back.
    max_age_s: int | None = None


def parse_message(data: bytes) -> Request | Signal | DropReason:
    """Return the request in a datagram, a signal, or why it must be dropped."""
    try:
        message = Message.decode(data)
        if message.code is codes.EMPTY:
            return parse_signal(message)
        if not message.code.is_request() or message.mtype not in {
            types.CON,
            types.NON,
        }:
            return DropReason.NOT_COAP
        return convert_request(message)
    # The codec raises errors of many kinds on malformed input.
    except (error.Error, ValueError, IndexError, AttributeError, OverflowError):
        return DropReason.NOT_COAP


def parse_signal(message: Message) -> Signal | DropReason:
    """Return the meaning of an empty message."""
    signals = {
        types.CON: Signal.PING,
        types.ACK: Signal.ACKNOWLEDGEMENT,
        types.RST: Signal.RESET,
    }
    return signals.get(message.mtype, DropReason.NOT_COAP)


def convert_request(message: Message) -> Request:
    """Return the typed request of a decoded message."""
    block = message.opt.block2
    return Request(
        message_id=message.mid,
        token=message.token,
        confirmable=message.mtype is types.CON,
        method=message.code.name,
        path=tuple(message.opt.uri_path),
        query=tuple(message.opt.uri_query),
        payload=message.payload,
        block_number=block.block_number if block else 0,
        size_exponent=min(
            block.size_exponent if block else MAXIMUM_EXPONENT, MAXIMUM_EXPONENT
        ),
    )


def encode_answer(request: Request, answer: Answer) -> bytes:
    """Return the message that answers a request, cut to the block it asked for."""
    message = Message(
        code=codes.Code(answer.code),
        _mtype=types.ACK if request.confirmable else types.NON,
        _mid=request.message_id,
        _token=request.token,
    )
    if answer.etag:
        message.opt.etag = answer.etag
    if answer.max_age_s is not None:
        message.opt.max_age = answer.max_age_s
    size = 2 ** (request.size_exponent + 4)
    start = request.block_number * size
    message.payload = answer.payload[start : start + size]
    if len(answer.payload) > size or request.block_number:
        more = start + size < len(answer.payload)
        message.opt.block2 = BlockOption.BlockwiseTuple(
            request.block_number, more, request.size_exponent
        )
    encoded: bytes = message.encode()
    return encoded


def encode_reset(data: bytes) -> bytes:
    """Return the reset that answers a ping or a message not understood."""
    message_id = int.from_bytes(data[2:4], "big")
    reset = Message(code=codes.EMPTY, _mtype=types.RST, _mid=message_id)
    encoded: bytes = reset.encode()
    return encoded


def make_not_run_answer(come_back_s: int, reason: str = "") -> Answer:
    """Return the answer to a request that certainly did not run."""
    text = NOT_RUN_TEXT + (f": {reason}".encode() if reason else b"")
    return Answer(NOT_RUN_CODE, text, max_age_s=come_back_s)


def make_outcome_unknown_answer() -> Answer:
    """Return the answer to a request that may or may not have run."""
    return Answer(OUTCOME_UNKNOWN_CODE, OUTCOME_UNKNOWN_TEXT)


def make_failure_answer(text: str) -> Answer:
    """Return the answer to a request that the backend server failed."""
    return Answer(int(codes.INTERNAL_SERVER_ERROR), text.encode())
