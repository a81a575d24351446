"""Faults of the proxies: each one affects traffic, and only as configured."""

import asyncio
import socket
from collections.abc import AsyncIterator

import pytest

from lentilfork.bench.addresses import AddressBlock
from lentilfork.bench.faults import Faults
from lentilfork.bench.proxy import PathConfig
from lentilfork.bench.proxy import Proxy
from lentilfork.bench.proxy import open_proxy
from lentilfork.settings import split_address

SEED = 4
DATAGRAMS = 400
WAIT_S = 5.0
# Longer than the largest delay of any fault in these tests.
SETTLE_S = 0.3


@pytest.fixture
def addresses() -> AddressBlock:
    return AddressBlock()


def open_socket(address: str) -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind(split_address(address))
    return opened


async def send_datagrams(addresses: AddressBlock, faults: Faults) -> list[int]:
    """Send numbered datagrams through a proxy; returns the numbers received."""
    listen, target = addresses.allocate_address(6000), addresses.allocate_address(6000)
    path = PathConfig(
        name="path", kind="udp", listen=listen, target=target, faults=faults
    )
    proxy = open_proxy(path, SEED)
    loop = asyncio.get_running_loop()
    received: list[int] = []
    with (
        open_socket(target) as server,
        open_socket(addresses.allocate_address(6000)) as client,
    ):
        loop.add_reader(server, lambda: received.append(int(server.recv(100))))
        for number in range(DATAGRAMS):
            client.sendto(str(number).encode(), split_address(listen))
            await asyncio.sleep(0.001)
        await asyncio.sleep(SETTLE_S)
        loop.remove_reader(server)
    proxy.close()
    return received


async def test_without_faults_all_arrive_in_order(addresses: AddressBlock) -> None:
    assert await send_datagrams(addresses, Faults()) == list(range(DATAGRAMS))


async def test_configured_share_is_dropped(addresses: AddressBlock) -> None:
    received = await send_datagrams(addresses, Faults(drop=0.2))
    assert len(received) == len(set(received))
    assert 0.7 * DATAGRAMS < len(received) < 0.9 * DATAGRAMS


async def test_configured_share_is_duplicated(addresses: AddressBlock) -> None:
    received = await send_datagrams(addresses, Faults(duplicate=0.2))
    assert set(received) == set(range(DATAGRAMS))
    assert 1.1 * DATAGRAMS < len(received) < 1.3 * DATAGRAMS


async def test_configured_share_is_reordered(addresses: AddressBlock) -> None:
    received = await send_datagrams(addresses, Faults(reorder=0.2, reorder_ms=30))
    assert sorted(received) == list(range(DATAGRAMS))
    assert received != sorted(received)


async def test_same_seed_drops_the_same_datagrams(addresses: AddressBlock) -> None:
    first = await send_datagrams(addresses, Faults(drop=0.3))
    second = await send_datagrams(addresses, Faults(drop=0.3))
    assert first == second


@pytest.fixture
async def tcp_path(addresses: AddressBlock) -> AsyncIterator["TcpPath"]:
    path = TcpPath(addresses)
    await path.open()
    yield path
    await path.close()


class TcpPath:
    """A client and an echo server with a proxy between them."""

    proxy: Proxy

    def __init__(self, addresses: AddressBlock) -> None:
        self.listen = addresses.allocate_address(7000)
        self.target = addresses.allocate_address(7000)
        # Data that the server has received.
        self.received = bytearray()

    async def open(self) -> None:
        """Start server, proxy and client."""
        self.server = await asyncio.start_server(self.echo, *split_address(self.target))
        path = PathConfig(
            name="path", kind="tcp", listen=self.listen, target=self.target
        )
        self.proxy = open_proxy(path, SEED)
        self.reader, self.writer = await asyncio.open_connection(
            *split_address(self.listen)
        )

    async def close(self) -> None:
        """Close client, proxy and server."""
        self.writer.transport.abort()
        self.proxy.close()
        self.server.close()
        await asyncio.sleep(0)

    async def echo(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send back the data of one connection."""
        while data := await reader.read(100):
            self.received += data
            writer.write(data)
        writer.close()

    async def read(self, count: int) -> bytes:
        """Return the next `count` echoed bytes."""
        return await asyncio.wait_for(self.reader.readexactly(count), WAIT_S)

    async def receives_nothing(self) -> bool:
        """Return whether no echo arrives for 0.3 s."""
        try:
            await asyncio.wait_for(self.reader.readexactly(1), timeout=0.3)
        except TimeoutError:
            return True
        return False


async def test_backward_cut_forwards_requests_but_not_answers(
    tcp_path: TcpPath,
) -> None:
    tcp_path.proxy.apply({"cut": "backward"})
    tcp_path.writer.write(b"one")
    assert await tcp_path.receives_nothing()
    assert tcp_path.received == b"one"
    tcp_path.proxy.apply({"cut": "none"})
    assert await tcp_path.read(3) == b"one"


async def test_frozen_connection_resumes_without_loss(tcp_path: TcpPath) -> None:
    tcp_path.proxy.apply({"frozen": True})
    tcp_path.writer.write(b"two")
    assert await tcp_path.receives_nothing()
    assert not tcp_path.received
    tcp_path.proxy.apply({"frozen": False})
    assert await tcp_path.read(3) == b"two"


async def test_dropped_chunk_breaks_the_connection(tcp_path: TcpPath) -> None:
    tcp_path.proxy.apply({"drop": 1.0})
    tcp_path.writer.write(b"three")
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await tcp_path.read(1)
    assert not tcp_path.received
