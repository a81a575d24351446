"""UDP proxy that drops, delays, duplicates, reorders or buffers datagrams."""

import asyncio
import contextlib
import socket
from collections import OrderedDict
from collections import deque
from functools import partial
from typing import Final

from lentilfork.bench.faults import Direction
from lentilfork.bench.faults import PathConfig
from lentilfork.bench.faults import Proxy
from lentilfork.settings import split_address

__all__ = ["UdpProxy"]

LARGEST_DATAGRAM_BYTES: Final = 65_535
RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024
# Datagrams read from one socket before the event loop serves the others.
DATAGRAMS_PER_TURN: Final = 64
# Clients that have a socket of their own; the least recently used is evicted.
MAXIMUM_CLIENTS: Final = 4_096
# Datagrams buffered while frozen; the oldest are dropped first.
MAXIMUM_BUFFERED_DATAGRAMS: Final = 10_000

Address = tuple[str, int]


def open_datagram_socket(address: Address) -> socket.socket:
    """Return a non-blocking UDP socket bound to `address`."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    opened.bind(address)
    return opened


class UdpProxy(Proxy):
    """Forwards datagrams; each answer is returned to the client that it belongs to."""

    target: Address
    listener: socket.socket | None
    # Socket towards the target of each client, least recently used first.
    client_sockets: OrderedDict[Address, socket.socket]
    # Datagrams buffered while frozen: socket, data and destination.
    buffered: deque[tuple[socket.socket, bytes, Address]]

    def __init__(self, config: PathConfig, seed: int) -> None:
        self.buffered = deque(maxlen=MAXIMUM_BUFFERED_DATAGRAMS)
        super().__init__(config, seed)
        self.target = split_address(config.target)
        self.listener = None
        self.client_sockets = OrderedDict()

    def open(self) -> None:
        """Bind and start forwarding in the running event loop; raises OSError."""
        self.listener = open_datagram_socket(split_address(self.config.listen))
        asyncio.get_running_loop().add_reader(self.listener, self.receive_from_clients)

    def close(self) -> None:
        """Close all sockets."""
        loop = asyncio.get_running_loop()
        listeners = [self.listener] if self.listener else []
        for opened in [*self.client_sockets.values(), *listeners]:
            loop.remove_reader(opened)
            opened.close()
        self.client_sockets.clear()
        self.listener = None

    def apply_faults(self) -> None:
        """Apply the faults, and send the buffered datagrams unless still frozen."""
        super().apply_faults()
        while self.buffered and not self.faults.frozen:
            self.send(*self.buffered.popleft())

    def receive_from_clients(self) -> None:
        """Forward the datagrams that clients have sent to the target."""
        assert self.listener is not None
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data, client = self.listener.recvfrom(LARGEST_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            self.forward_datagram(
                "forward", self.get_client_socket(client), data, self.target
            )

    def get_client_socket(self, client: Address) -> socket.socket:
        """Return the socket towards the target that represents a client."""
        found = self.client_sockets.get(client)
        if found is None:
            host, _ = split_address(self.config.listen)
            found = open_datagram_socket((host, 0))
            self.client_sockets[client] = found
            handler = partial(self.receive_from_target, found, client)
            asyncio.get_running_loop().add_reader(found, handler)
            self.evict_clients()
        self.client_sockets.move_to_end(client)
        return found

    def evict_clients(self) -> None:
        """Close the sockets of the least recently used clients above the limit."""
        while len(self.client_sockets) > MAXIMUM_CLIENTS:
            _, oldest = self.client_sockets.popitem(last=False)
            asyncio.get_running_loop().remove_reader(oldest)
            oldest.close()

    def receive_from_target(self, source: socket.socket, client: Address) -> None:
        """Forward the datagrams that the target has sent to one client."""
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                data = source.recv(LARGEST_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            if self.listener is not None:
                self.forward_datagram("backward", self.listener, data, client)

    def forward_datagram(
        self,
        direction: Direction,
        source: socket.socket,
        data: bytes,
        destination: Address,
    ) -> None:
        """Forward one datagram, subject to the faults of the path."""
        if self.faults.is_cut(direction):
            self.counters.add("datagrams_cut", direction)
            return
        if self.draw_fault(self.faults.drop):
            self.counters.add("datagrams_dropped", direction)
            return
        count = 1
        if self.draw_fault(self.faults.duplicate):
            self.counters.add("datagrams_duplicated", direction)
            count = 2
        for _ in range(count):
            self.send_later(source, data, destination, self.draw_delay(direction))
        self.counters.add("datagrams", direction)

    def draw_delay(self, direction: Direction) -> float:
        """Draw the one-way delay of one datagram in milliseconds."""
        extra_delay_ms = 0.0
        if self.draw_fault(self.faults.reorder):
            self.counters.add("datagrams_held_back")
            extra_delay_ms = self.rng.uniform(0, self.faults.reorder_ms)
        return self.faults.get_delay_ms(direction) + extra_delay_ms

    def send_later(
        self, source: socket.socket, data: bytes, destination: Address, delay_ms: float
    ) -> None:
        """Send one datagram after a delay in milliseconds."""
        if delay_ms <= 0:
            self.send(source, data, destination)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / 1000, self.send, source, data, destination)

    def send(self, source: socket.socket, data: bytes, destination: Address) -> None:
        """Send one datagram now, or buffer it while frozen."""
        if self.faults.frozen:
            self.buffered.append((source, data, destination))
            return
        if source.fileno() < 0:
            return
        with contextlib.suppress(OSError):
            source.sendto(data, destination)
