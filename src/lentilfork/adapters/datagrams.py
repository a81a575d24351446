"""UDP sockets of the packet path: one callback for each datagram, no queue."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork.errors import Failure
from lentilfork.settings import split_address

__all__ = ["DatagramSocket"]

BUFFER_BYTES: Final = 4 * 1024 * 1024

Receiver = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket(asyncio.DatagramProtocol):
    """A bound UDP socket that hands each datagram to a receiver."""

    # Called with the datagram and the sender's address.
    receive: Receiver
    transport: asyncio.DatagramTransport | None
    # Errors the socket reported, such as an unreachable peer.
    errors: int

    def __init__(self, receive: Receiver) -> None:
        self.receive = receive
        self.transport = None
        self.errors = 0

    async def open(self, address: str) -> Result[None, Failure]:
        """Bind to "ip:port"."""
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=split_address(address)
            )
        except OSError as error:
            return Err(Failure("bind UDP socket", address, str(error)))
        found: socket.socket = transport.get_extra_info("socket")
        found.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        found.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        self.transport = transport
        return Ok(None)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand over one datagram."""
        self.receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Count an error; the next datagram is independent of it."""
        self.errors += 1

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram; it may be lost."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket at once."""
        if self.transport is not None:
            self.transport.close()
