"""CoAP messages of callers (RFC 7252, block-wise answers of RFC 7959).

Only the message codec of aiocoap is used. Requests become typed values, so that the
other packages do not depend on CoAP. An answer repeats the message id and the token
of its request, so that the caller cannot match it to another request.
"""

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from enum import unique
from hashlib import blake2b
from typing import Final

from aiocoap import error
from aiocoap.message import Message
from aiocoap.numbers import codes
from aiocoap.numbers import types
from aiocoap.optiontypes import BlockOption

from lentilfork.errors import DropReason

__all__ = [
    "MAXIMUM_BLOCK_BYTES",
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

# Blocks have 2^(exponent + 4) bytes.
MAXIMUM_SIZE_EXPONENT: Final = 6
MAXIMUM_BLOCK_BYTES: Final = 1024
NOT_RUN_CODE: Final = int(codes.SERVICE_UNAVAILABLE)
OUTCOME_UNKNOWN_CODE: Final = int(codes.GATEWAY_TIMEOUT)
NOT_RUN_TEXT: Final = b"not run"
OUTCOME_UNKNOWN_TEXT: Final = b"outcome unknown"
NO_SUCH_BLOCK_TEXT: Final = b"no such block"
IDEMPOTENT_METHODS: Final = frozenset({"GET", "PUT", "DELETE", "FETCH", "iPATCH"})
REQUEST_ID_QUERY: Final = "id="
DIGEST_BYTES: Final = 16
# The first three bits of a code are its class.
CODE_CLASS_SHIFT: Final = 5
SUCCESS_CLASS: Final = 2


@unique
class Signal(Enum):
    """An empty CoAP message: it carries no request and no answer."""

    PING = "ping"
    ACKNOWLEDGEMENT = "acknowledgement"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request, for a whole answer or for one block of it."""

    message_id: int
    token: bytes
    confirmable: bool
    method: str
    path: tuple[str, ...]
    query: tuple[str, ...]
    payload: bytes
    # Number of the requested block of the answer; each has 2^(exponent + 4) bytes.
    block_number: int
    size_exponent: int

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def target(self) -> str:
        """The requested resource: path and query, such as "/seats?row=2"."""
        query = "&".join(self.query)
        return f"/{'/'.join(self.path)}" + (f"?{query}" if query else "")

    @property
    def content_digest(self) -> bytes:
        """Digest of what is requested; 16 bytes, equal for retransmissions.

        Callers choose the input, hence a cryptographic digest.
        """
        texts = (self.method, *self.path, *self.query)
        content = (
            len(self.path).to_bytes(4, "big"),
            *(text.encode() for text in texts),
            self.payload,
            bytes((self.size_exponent,)),
            self.block_number.to_bytes(4, "big"),
        )
        digest = blake2b(digest_size=DIGEST_BYTES)
        for part in content:
            digest.update(len(part).to_bytes(4, "big") + part)
        return digest.digest()

    @property
    def request_id(self) -> str | None:
        """The query part with the caller's id of the request, if there is one.

        It stays the same when the caller repeats the request in a new message.
        """
        id_parts = (part for part in self.query if part.startswith(REQUEST_ID_QUERY))
        return next(id_parts, None)


@dataclass(frozen=True, slots=True, weakref_slot=True)
class Answer:
    """The answer to a caller's request."""

    # CoAP code number, such as 69 for 2.05.
    code: int
    payload: bytes
    etag: bytes = b""
    # Seconds after which a refused caller may retry.
    max_age_s: int | None = None


def parse_message(data: bytes) -> Request | Signal | DropReason:
    """Return the request or signal in a datagram, or why it must be dropped."""
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
    # The codec raises all of these on malformed input.
    except (error.Error, ValueError, IndexError, AttributeError, OverflowError):
        return DropReason.NOT_COAP


def parse_signal(message: Message) -> Signal | DropReason:
    """Return the signal of an empty message."""
    signals = {
        types.CON: Signal.PING,
        types.ACK: Signal.ACKNOWLEDGEMENT,
        types.RST: Signal.RESET,
    }
    return signals.get(message.mtype, DropReason.NOT_COAP)


def convert_request(message: Message) -> Request:
    """Return the request in a decoded message."""
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
            block.size_exponent if block else MAXIMUM_SIZE_EXPONENT,
            MAXIMUM_SIZE_EXPONENT,
        ),
    )


def is_success(answer: Answer) -> bool:
    """Return whether an answer has a CoAP code of class 2."""
    return answer.code >> CODE_CLASS_SHIFT == SUCCESS_CLASS


def encode_answer(request: Request, answer: Answer) -> bytes:
    """Return the message with the block of the answer that a request asks for.

    A block beyond the end is an error: an empty last block would make the blocks that
    the caller has, perhaps of a longer version, look like the whole answer.
    """
    size = 2 ** (request.size_exponent + 4)
    start = request.block_number * size
    if request.block_number and start >= len(answer.payload) and is_success(answer):
        answer, start = Answer(int(codes.BAD_REQUEST), NO_SUCH_BLOCK_TEXT), 0
        request = replace(request, block_number=0)
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
    message.payload = answer.payload[start : start + size]
    if len(answer.payload) > size or request.block_number:
        more = start + size < len(answer.payload)
        message.opt.block2 = BlockOption.BlockwiseTuple(
            request.block_number, more, request.size_exponent
        )
    encoded: bytes = message.encode()
    return encoded


def encode_reset(data: bytes) -> bytes:
    """Return the reset that answers a ping or a malformed message."""
    message_id = int.from_bytes(data[2:4], "big")
    reset = Message(code=codes.EMPTY, _mtype=types.RST, _mid=message_id)
    encoded: bytes = reset.encode()
    return encoded


def make_not_run_answer(retry_after_s: int, reason: str = "") -> Answer:
    """Return the answer to a request that is known not to have run."""
    text = NOT_RUN_TEXT + (f": {reason}".encode() if reason else b"")
    return Answer(NOT_RUN_CODE, text, max_age_s=retry_after_s)


def make_outcome_unknown_answer() -> Answer:
    """Return the answer to a request that may or may not have run."""
    return Answer(OUTCOME_UNKNOWN_CODE, OUTCOME_UNKNOWN_TEXT)


def make_failure_answer(text: str) -> Answer:
    """Return the answer to a request that the backend server failed."""
    return Answer(int(codes.INTERNAL_SERVER_ERROR), text.encode())
