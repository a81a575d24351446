"""Callers with little overhead: aiocoap's message codec without its client context.

One process can send thousands of requests per second. Requests are confirmable and
retransmitted as in RFC 7252; long answers are fetched block by block as in RFC 7959.
An answer is accepted only from the address that the request was sent to, with the
request's token and, if it is an acknowledgement, the request's message id.
"""

import asyncio
import random
from collections.abc import Mapping
from typing import Final
from typing import cast

from aiocoap import error
from aiocoap.message import Message
from aiocoap.numbers import codes
from aiocoap.numbers import types
from aiocoap.optiontypes import BlockOption

from lentilfork.bench.callers import DEFAULT_REPEATS
from lentilfork.bench.callers import BaseCaller
from lentilfork.bench.callers import Target
from lentilfork.bench.outcomes import Reply
from lentilfork.bench.workload import Request
from lentilfork.counters import Counters
from lentilfork.settings import split_address

__all__ = ["LightweightCaller"]

ACK_TIMEOUT_S: Final = 2.0
ACK_RANDOM_FACTOR: Final = 1.5
MAXIMUM_RETRANSMISSIONS: Final = 4
# Blocks have 2^(exponent + 4) bytes.
BLOCK_EXPONENT: Final = 6
TOKEN_BYTES: Final = 4
MESSAGE_IDS: Final = 65_536
LOCAL_ADDRESS: Final = ("127.0.0.1", 0)

Address = tuple[str, int]


class Exchange:
    """One confirmable message and the future of its answer."""

    address: Address
    message_id: int
    answered: asyncio.Future[Message]

    def __init__(self, address: Address, message_id: int) -> None:
        self.address = address
        self.message_id = message_id
        self.answered = asyncio.get_running_loop().create_future()


class CallerSocket(asyncio.DatagramProtocol):
    """A UDP socket and its open exchanges."""

    counters: Counters
    rng: random.Random
    # Open exchanges by token.
    exchanges: dict[bytes, Exchange]
    transport: asyncio.DatagramTransport | None
    # Message id and token of the latest message; both start at random values.
    last_message_id: int
    last_token: int

    def __init__(self, seed: str, counters: Counters) -> None:
        self.counters = counters
        self.rng = random.Random(seed)
        self.exchanges = {}
        self.transport = None
        self.last_message_id = self.rng.randrange(MESSAGE_IDS)
        self.last_token = self.rng.randrange(2**24)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Complete the exchange that an answer belongs to; ignores other datagrams."""
        try:
            message = Message.decode(data)
        except (error.Error, ValueError):
            self.counters.add("answers_ignored", "malformed")
            return
        exchange = self.exchanges.get(message.token)
        if exchange is None or not message.code.is_response():
            self.counters.add("answers_ignored", "late")
        elif not is_answer_to(message, addr, exchange):
            self.counters.add("answers_ignored", "crossed")
        elif not exchange.answered.done():
            exchange.answered.set_result(message)
            self.acknowledge(message, addr)

    def acknowledge(self, message: Message, address: Address) -> None:
        """Acknowledge an answer that arrived as a separate confirmable message."""
        if message.mtype is types.CON:
            reply = Message(code=codes.EMPTY, _mtype=types.ACK, _mid=message.mid)
            self.send(reply.encode(), address)

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram; does nothing if the socket is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)

    async def send_request(
        self, request: Request, address: Address, block: int
    ) -> Message:
        """Send one message, with retransmissions, and return its answer.

        Raises aiocoap's ConRetransmitsExceeded if there is none.
        """
        message = self.make_message(request, block)
        exchange = Exchange(address, message.mid)
        self.exchanges[message.token] = exchange
        encoded = message.encode()
        wait_s = ACK_TIMEOUT_S * self.rng.uniform(1, ACK_RANDOM_FACTOR)
        try:
            for _ in range(MAXIMUM_RETRANSMISSIONS + 1):
                self.send(encoded, address)
                self.counters.add("datagrams")
                done, _ = await asyncio.wait([exchange.answered], timeout=wait_s)
                if done:
                    return exchange.answered.result()
                wait_s *= 2
        finally:
            del self.exchanges[message.token]
            exchange.answered.cancel()
        raise error.ConRetransmitsExceeded

    def make_message(self, request: Request, block: int) -> Message:
        """Return a new message that requests one block."""
        self.last_message_id = (self.last_message_id + 1) % MESSAGE_IDS
        self.last_token = (self.last_token + 1) % 2 ** (8 * TOKEN_BYTES)
        message = Message(
            code=codes.Code[request.method],
            payload=request.payload,
            _mtype=types.CON,
            _mid=self.last_message_id,
            _token=self.last_token.to_bytes(TOKEN_BYTES, "big"),
        )
        message.opt.uri_path = tuple(request.path.strip("/").split("/"))
        message.opt.uri_query = request.query
        if block:
            message.opt.block2 = BlockOption.BlockwiseTuple(
                block, False, BLOCK_EXPONENT
            )
        return message


def is_answer_to(message: Message, address: Address, exchange: Exchange) -> bool:
    """Return whether an answer with a known token belongs to the exchange."""
    id_matches = message.mtype is not types.ACK or message.mid == exchange.message_id
    return id_matches and address == exchange.address


class LightweightCaller(BaseCaller):
    """A caller with its own socket and one request at a time."""

    socket: CallerSocket

    def __init__(
        self,
        name: str,
        socket: CallerSocket,
        targets: Mapping[str, Target],
        repeats: int = DEFAULT_REPEATS,
    ) -> None:
        super().__init__(name, targets, repeats)
        self.socket = socket

    @classmethod
    async def open(
        cls,
        name: str,
        targets: Mapping[str, Target],
        counters: Counters,
        repeats: int = DEFAULT_REPEATS,
    ) -> "LightweightCaller":
        """Return a caller with an open socket that adds its events to `counters`."""
        loop = asyncio.get_running_loop()
        _, socket = await loop.create_datagram_endpoint(
            lambda: CallerSocket(name, counters), local_addr=LOCAL_ADDRESS
        )
        return cls(name, socket, targets, repeats)

    async def close(self) -> None:
        """Close the socket."""
        if self.socket.transport is not None:
            self.socket.transport.close()

    async def exchange(self, request: Request, target: Target) -> Reply:
        """Send a request once and return the whole answer; raises aiocoap's errors."""
        address = split_address(target.address)
        first = await self.socket.send_request(request, address, 0)
        payload = first.payload
        block, last = 0, first
        while last.opt.block2 is not None and last.opt.block2.more:
            block += 1
            last = await self.socket.send_request(request, address, block)
            if not last.code.is_successful():
                break
            if last.opt.etag != first.opt.etag:
                raise error.ResourceChanged
            payload += last.payload
        complete = last.code.is_successful()
        return Reply(
            code=int(last.code),
            payload=payload if complete else last.payload,
            block=block,
            max_age_s=last.opt.max_age or 0,
        )
