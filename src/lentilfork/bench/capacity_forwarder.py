"""A minimal asyncio UDP forwarder, the baseline for the balancer's cost per packet.

Usage: python -m lentilfork.bench.capacity_forwarder HOST PORT TARGET_HOST TARGET_PORT
Prints "ready", then the number of datagrams forwarded so far for each input line.
"""

import asyncio
import sys
from typing import cast

from lentilfork.bench.control import ANSWER_READY

__all__ = ["Forwarder"]


class Forwarder(asyncio.DatagramProtocol):
    """Forwards each datagram unchanged to one target."""

    target: tuple[str, int]
    forwarded: int
    transport: asyncio.DatagramTransport

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.forwarded = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, which is used for sending."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward one datagram and count it."""
        del addr
        self.forwarded += 1
        self.transport.sendto(data, self.target)


async def main(host: str, port: int, target: tuple[str, int]) -> None:
    """Forward datagrams until standard input ends."""
    loop = asyncio.get_running_loop()
    _, forwarder = await loop.create_datagram_endpoint(
        lambda: Forwarder(target), local_addr=(host, port)
    )
    print(ANSWER_READY, flush=True)
    while await loop.run_in_executor(None, sys.stdin.readline):
        print(forwarder.forwarded, flush=True)


if __name__ == "__main__":
    own_host, own_port, target_host, target_port = sys.argv[1:]
    asyncio.run(main(own_host, int(own_port), (target_host, int(target_port))))
