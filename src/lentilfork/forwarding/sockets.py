"""UDP sockets that are read in batches and never block."""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from lentilfork.counters import Counters

__all__ = ["DatagramSocket"]

SocketName = tuple[str, int]
# Datagrams taken at one wake-up, so that timers are not held up by a flood.
BATCH: Final = 64
MAXIMUM_DATAGRAM_BYTES: Final = 65_535
# Holds the packets of a pause of some tens of milliseconds under full load.
RECEIVE_BUFFER_BYTES: Final = 1 << 20


class DatagramSocket:
    """One bound UDP socket."""

    socket: socket.socket
    counters: Counters
    # Called with each datagram and where it came from.
    take: Callable[[bytes, SocketName], None]

    def __init__(
        self,
        address: SocketName,
        take: Callable[[bytes, SocketName], None],
        counters: Counters,
    ) -> None:
        """Bind the address; raises OSError if it is in use."""
        self.counters = counters
        self.take = take
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)

    def read(self) -> None:
        """Take what has arrived, up to one batch."""
        receive = self.socket.recvfrom
        for _ in range(BATCH):
            try:
                data, sender = receive(MAXIMUM_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # An earlier datagram met a closed port; nothing was received.
                self.counters.add("datagrams_failed", "receive")
                return
            self.take(data, sender)

    def send(self, data: bytes, address: SocketName) -> None:
        """Send a datagram; one that cannot leave now is dropped and counted."""
        try:
            self.socket.sendto(data, address)
        except (BlockingIOError, InterruptedError):
            self.counters.add("datagrams_failed", "full")
        except OSError:
            self.counters.add("datagrams_failed", "send")

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
