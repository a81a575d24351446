"""Simulated network fabric: forwards callers' packets to random balancers.

The fabric owns the services' UDP addresses. It rebuilds the IPv4 packet of each
datagram that a caller sends and forwards it, without an envelope, in one UDP datagram
to any balancer (GUE variant 1). Agents send answers as IPv4 packets to the return
address; the fabric sends their payload from the service's socket, so a caller gets
its answer from the address that it sent to. No per-flow state is kept.

Runs in-process (`Fabric`) or as a process: `python -m lentilfork.bench.fabric FILE`.
"""

import asyncio
import contextlib
import functools
import random
import socket
import sys
from pathlib import Path
from typing import Any
from typing import Final

import dpkt
from pydantic import BaseModel
from pydantic import ConfigDict

from lentilfork.bench.control import ControlChange
from lentilfork.bench.control import serve_control
from lentilfork.counters import Counters
from lentilfork.settings import SocketAddress
from lentilfork.settings import split_address

__all__ = ["Fabric", "FabricConfig", "parse_packet", "wrap_payload"]

RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024
LARGEST_DATAGRAM_BYTES: Final = 65_535
# Datagrams read from one socket before the event loop serves the others.
DATAGRAMS_PER_TURN: Final = 64
TIME_TO_LIVE_HOPS: Final = 64

Address = tuple[str, int]


class FabricConfig(BaseModel):
    """Configuration of one fabric process."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    # Addresses that callers send to.
    services: tuple[SocketAddress, ...]
    # Address that agents send answers to.
    return_address: SocketAddress
    balancers: tuple[SocketAddress, ...]
    # One-way delay between a caller and the system.
    caller_delay_ms: float = 0.0
    # Additional one-way delay to a balancer, by its address.
    balancer_delay_ms: dict[str, float] = {}
    seed: int = 1


def wrap_payload(payload: bytes, source: Address, destination: Address) -> bytes:
    """Return an IPv4 and UDP packet with valid checksums that contains `payload`."""
    datagram = dpkt.udp.UDP(sport=source[1], dport=destination[1], data=payload)
    datagram.ulen = len(datagram)
    packet = dpkt.ip.IP(
        src=socket.inet_aton(source[0]),
        dst=socket.inet_aton(destination[0]),
        p=dpkt.ip.IP_PROTO_UDP,
        ttl=TIME_TO_LIVE_HOPS,
        data=datagram,
    )
    return bytes(packet)


def parse_packet(packet: bytes) -> tuple[bytes, Address, Address]:
    """Return payload, source and destination; raises ValueError if it is not UDP."""
    try:
        outer = dpkt.ip.IP(packet)
    except (dpkt.UnpackError, dpkt.NeedData) as error:
        raise ValueError(f"not an IPv4 packet: {error}") from None
    inner = outer.data
    if not isinstance(inner, dpkt.udp.UDP):
        raise ValueError("not a UDP packet")
    return (
        bytes(inner.data),
        (socket.inet_ntoa(outer.src), inner.sport),
        (socket.inet_ntoa(outer.dst), inner.dport),
    )


def open_datagram_socket(address: Address) -> socket.socket:
    """Return a non-blocking UDP socket bound to `address`."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    opened.bind(address)
    return opened


class Fabric:
    """Distributes callers' packets over balancers and returns agents' answers."""

    config: FabricConfig
    counters: Counters
    # Balancers that packets are currently sent to.
    balancers: tuple[Address, ...]
    # Additional one-way delay to a balancer in ms, by its address; 0 if absent.
    balancer_delays: dict[str, float]
    # Socket of each service, by its address.
    sockets: dict[Address, socket.socket]
    # Receives answers from agents and sends packets to balancers.
    return_socket: socket.socket | None

    def __init__(self, config: FabricConfig) -> None:
        self.config = config
        self.counters = Counters()
        self.balancers = tuple(split_address(text) for text in config.balancers)
        self.balancer_delays = dict(config.balancer_delay_ms)
        self.sockets = {}
        self.return_socket = None
        self.rng = random.Random(config.seed)

    def start(self) -> None:
        """Bind all sockets and start forwarding; raises OSError if a bind fails."""
        loop = asyncio.get_running_loop()
        self.return_socket = open_datagram_socket(
            split_address(self.config.return_address)
        )
        loop.add_reader(self.return_socket, self.receive_answers)
        for text in self.config.services:
            address = split_address(text)
            opened = open_datagram_socket(address)
            self.sockets[address] = opened
            handler = functools.partial(self.receive_requests, opened, address)
            loop.add_reader(opened, handler)

    def close(self) -> None:
        """Close all sockets."""
        loop = asyncio.get_running_loop()
        opened = [
            *self.sockets.values(),
            *([self.return_socket] if self.return_socket else []),
        ]
        for item in opened:
            loop.remove_reader(item)
            item.close()
        self.sockets.clear()
        self.return_socket = None

    def apply(self, change: ControlChange) -> None:
        """Apply new balancers, `{"balancers": ["ip:port", ...]}`, and their delays."""
        self.balancers = tuple(split_address(text) for text in change["balancers"])
        self.balancer_delays = dict(change.get("balancer_delay_ms", {}))

    def receive_requests(self, source: socket.socket, service: Address) -> None:
        """Forward the datagrams that callers have sent to one service."""
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                payload, caller = source.recvfrom(LARGEST_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            self.forward_request(wrap_payload(payload, caller, service))

    def forward_request(self, packet: bytes) -> None:
        """Send one packet to a random balancer."""
        if not self.balancers:
            self.counters.add("requests_dropped", "no_balancer")
            return
        balancer = self.rng.choice(self.balancers)
        self.counters.add("requests")
        self.send_later(self.return_socket, packet, balancer, self.get_delay(balancer))

    def get_delay(self, balancer: Address) -> float:
        """Return the one-way delay from a caller to a balancer in milliseconds."""
        extra = self.balancer_delays.get(f"{balancer[0]}:{balancer[1]}", 0.0)
        return self.config.caller_delay_ms + extra

    def receive_answers(self) -> None:
        """Forward the answers of agents to the callers."""
        assert self.return_socket is not None
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                packet = self.return_socket.recv(LARGEST_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            self.forward_answer(packet)

    def forward_answer(self, packet: bytes) -> None:
        """Send the payload of one packet to its caller from the service's socket."""
        try:
            payload, service, caller = parse_packet(packet)
        except ValueError:
            self.counters.add("answers_dropped", "malformed")
            return
        source = self.sockets.get(service)
        if source is None:
            self.counters.add("answers_dropped", "unknown_service")
            return
        self.counters.add("answers")
        self.send_later(source, payload, caller, self.config.caller_delay_ms)

    def send_later(
        self,
        source: socket.socket | None,
        data: bytes,
        destination: Address,
        delay_ms: float,
    ) -> None:
        """Send one datagram after a delay in milliseconds."""
        if delay_ms <= 0:
            self.send(source, data, destination)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / 1000, self.send, source, data, destination)

    def send(
        self, source: socket.socket | None, data: bytes, destination: Address
    ) -> None:
        """Send one datagram; drops it if the buffer is full or the socket closed."""
        if source is None or source.fileno() < 0:
            return
        try:
            source.sendto(data, destination)
        except OSError:
            self.counters.add("send_failed")

    def dump(self) -> dict[str, Any]:
        """Return counters and balancers as JSON values."""
        return {"counters": self.counters.dump(), "balancers": list(self.balancers)}


async def run(config: FabricConfig) -> None:
    """Serve until asked to stop."""
    fabric = Fabric(config)
    fabric.start()
    try:
        await serve_control(fabric.apply)
    finally:
        fabric.close()


def main() -> None:
    """Run a fabric configured by the file named in the first argument."""
    text = Path(sys.argv[1]).read_text(encoding="utf-8")
    config = FabricConfig.model_validate_json(text)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(config))


if __name__ == "__main__":
    main()
