"""UDP sockets of the packet path; each datagram is passed on without a queue."""

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

# Size of the kernel's receive and send buffers.
BUFFER_BYTES: Final = 4 * 1024 * 1024

Receiver = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket(asyncio.DatagramProtocol):
    """A UDP socket that calls a receiver for each datagram."""

    # Called with the datagram and the sender's address.
    receive: Receiver
    # None until the socket is bound.
    transport: asyncio.DatagramTransport | None
    # Number of errors that the socket reported, such as an unreachable peer.
    errors: int

    def __init__(self, receive: Receiver) -> None:
        self.receive = receive
        self.transport = None
        self.errors = 0

    async def open(self, address: str) -> Result[None, Failure]:
        """Bind the socket to an address in the form "ip:port"."""
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=split_address(address)
            )
        except OSError as error:
            return Err(Failure("bind UDP socket", address, str(error)))
        bound_socket: socket.socket = transport.get_extra_info("socket")
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        self.transport = transport
        return Ok(None)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass one datagram to the receiver."""
        self.receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Count an error; the socket stays usable for later datagrams."""
        self.errors += 1

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram without a guarantee of delivery."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()
