"""Route tables on three controllers with real disks and gRPC."""

import asyncio
import random
import select
import shutil
import socket
import time
import zlib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path

import pytest
from result import Ok

from lentilfork.forwarding.controller import FlowControllerRole
from lentilfork.forwarding.settings import FlowControllerSettings
from lentilfork.forwarding.table_fetcher import TABLE_PORT_OFFSET
from lentilfork.forwarding.table_fetcher import read_table
from lentilfork.http_server import MAXIMUM_BODY_BYTES
from lentilfork.schema import roster_pb2
from lentilfork.schema import state_pb2

HOSTS = ("127.7.1.1", "127.7.1.2", "127.7.1.3")
SPARE_HOST = "127.7.1.4"
TIMEOUT_S = 20.0


def find_port() -> int:
    """Return a port that is free now and low enough for the table server's offset."""
    with socket.socket() as probe:
        probe.bind((HOSTS[0], 0))
        port: int = probe.getsockname()[1]
    return min(port, 65_000)


class Controllers:
    """The controllers of one test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.port = find_port()
        self.roles: dict[str, FlowControllerRole] = {}

    async def start(self, host: str, *, first: bool) -> None:
        """Start a controller."""
        role = FlowControllerRole(
            FlowControllerSettings(
                "north",
                (host, self.port),
                tuple((seed, self.port) for seed in HOSTS),
                self.folder / host,
                first,
                1,
                1_000,
                evacuations=True,
            )
        )
        assert await role.start() == Ok(None)
        self.roles[host] = role

    async def stop(self, host: str) -> None:
        """Stop a controller without stepping down as leader."""
        await self.roles.pop(host).stop()

    async def put(self, host: str, version: int) -> bool:
        """Put a table at a controller; return whether it was acknowledged."""
        return await self.put_source(host, version, b"text")

    async def put_source(self, host: str, version: int, source: bytes) -> bool:
        """Put a table with a document; return whether it was acknowledged."""
        table = state_pb2.RouteTable(version=version, source=source)
        return await self.roles[host].put_table(table) == Ok(None)

    async def read(self, host: str) -> int | None:
        """Return the version read at a controller, or None if the read failed."""
        read = await self.roles[host].read_table()
        return read.ok_value.version if isinstance(read, Ok) else None

    def list_voters(self, host: str) -> set[str]:
        """Return the hosts of the voters that one controller knows."""
        members = self.roles[host].replica.core.configuration.values()
        return {item.control_address.split(":")[0] for item in members if item.voter}


@pytest.fixture
async def controllers(tmp_path: Path) -> AsyncIterator[Controllers]:
    """Three controllers that have created a history."""
    group = Controllers(tmp_path)
    for host in HOSTS:
        await group.start(host, first=True)
    await wait_until(lambda: group.put(HOSTS[0], 1))
    yield group
    for host in list(group.roles):
        await group.stop(host)


async def wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Return once a condition is true; raises TimeoutError after the timeout."""
    async with asyncio.timeout(TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.05)


async def test_table_is_put_anywhere_and_read_everywhere(
    controllers: Controllers,
) -> None:
    for version, host in enumerate(HOSTS, start=2):
        assert await controllers.put(host, version)
        assert {await controllers.read(name) for name in HOSTS} <= {version, None}
    assert await controllers.put(HOSTS[0], 2)
    assert await controllers.read(HOSTS[0]) == 4


async def test_members_fetch_the_table_without_its_text(
    controllers: Controllers,
) -> None:
    data = await read_table(HOSTS[0], controllers.port + TABLE_PORT_OFFSET)
    table = state_pb2.RouteTable.FromString(zlib.decompress(data))
    assert (table.version, table.source) == (1, b"")


def count_connected(address: tuple[str, int], members: int) -> int:
    """Return how many of some connections are established within a moment."""
    sockets = [socket.socket() for _ in range(members)]
    try:
        poll = select.poll()
        for member in sockets:
            member.setblocking(False)
            member.connect_ex(address)
            poll.register(member, select.POLLOUT)
        time.sleep(0.3)
        return len(poll.poll(0))
    finally:
        for member in sockets:
            member.close()


# Guards against a table that is late at many members: connections above the length of
# the queue were opened again after a second, when the fetch had timed out.
async def test_all_members_of_a_large_deployment_connect_at_the_same_moment(
    controllers: Controllers,
) -> None:
    address = HOSTS[0], controllers.port + TABLE_PORT_OFFSET
    # The controller accepts nothing meanwhile, since it shares the event loop.
    assert count_connected(address, 500) == 500


# Guards against a log that no follower can receive, because one configuration is
# larger than a message may be: no later one would be acknowledged either.
async def test_largest_configuration_does_not_block_later_ones(
    controllers: Controllers,
) -> None:
    document = random.Random(1).randbytes(MAXIMUM_BODY_BYTES)

    async def is_stored() -> bool:
        stored = [await controllers.put_source(host, 2, document) for host in HOSTS]
        return all(stored)

    await wait_until(is_stored)
    await wait_until(lambda: controllers.put(HOSTS[0], 3))
    assert await controllers.read(HOSTS[0]) == 3


async def test_single_controller_neither_acknowledges_nor_answers(
    controllers: Controllers,
) -> None:
    await controllers.stop(HOSTS[1])
    await controllers.stop(HOSTS[2])
    assert not await controllers.put(HOSTS[0], 9)
    assert await controllers.read(HOSTS[0]) is None


async def test_table_survives_a_restart_of_all_controllers(
    controllers: Controllers,
) -> None:
    assert await controllers.put(HOSTS[1], 7)
    for host in HOSTS:
        await controllers.stop(host)
    for host in HOSTS:
        await controllers.start(host, first=False)

    async def is_readable() -> bool:
        return await controllers.read(HOSTS[2]) == 7

    await wait_until(is_readable)


async def test_controller_votes_again_after_losing_its_disk(
    controllers: Controllers,
) -> None:
    assert await controllers.put(HOSTS[0], 5)
    await controllers.stop(HOSTS[2])
    shutil.rmtree(controllers.folder / HOSTS[2])
    await controllers.start(HOSTS[2], first=False)

    async def is_voter() -> bool:
        # Checks the controller itself, since the log still lists it as a voter with the
        # lost folder.
        return controllers.roles[HOSTS[2]].replica.core.is_voter

    await wait_until(is_voter)
    await controllers.stop(HOSTS[0])

    async def is_readable() -> bool:
        return await controllers.read(HOSTS[2]) == 5

    await wait_until(is_readable)


async def test_new_controller_replaces_a_stopped_voter(
    controllers: Controllers,
) -> None:
    assert await controllers.put(HOSTS[0], 5)
    await controllers.stop(HOSTS[1])
    await controllers.start(SPARE_HOST, first=False)

    async def is_voter() -> bool:
        return SPARE_HOST in controllers.list_voters(HOSTS[0])

    await wait_until(is_voter)
    assert await controllers.put(SPARE_HOST, 6)


async def test_empty_controllers_do_not_create_a_history_after_the_first_start(
    tmp_path: Path,
) -> None:
    group = Controllers(tmp_path)
    for host in HOSTS:
        await group.start(host, first=False)
    await asyncio.sleep(1.5)
    assert await group.read(HOSTS[0]) is None
    assert group.roles[HOSTS[0]].replica.core.is_fresh
    for host in HOSTS:
        await group.stop(host)


# Guards against an acknowledged evacuation that members learn only from the controller
# that answered, or only with their next announcement.
async def test_evacuation_is_sent_to_subscribers_of_every_controller(
    controllers: Controllers,
) -> None:
    updates: dict[str, list[roster_pb2.RosterUpdate]] = {host: [] for host in HOSTS}
    for host in HOSTS:
        server = controllers.roles[host].roster_server
        announcement = roster_pb2.Announcement(name=f"member-{host}", subscribe=True)
        server.send = (
            lambda data, _address, host=host: updates[host].append(  # type: ignore[misc]
                roster_pb2.RosterUpdate.FromString(data[1:])
            )
        )
        server.handle_announcement(announcement, (host, 1), time.monotonic())

    async def evacuate() -> bool:
        role = controllers.roles[HOSTS[1]]
        return await role.evacuate("north", True, lambda: False) == Ok(None)

    async def is_sent() -> bool:
        return all(list(sent[-1].evacuated) == ["north"] for sent in updates.values())

    async def is_recorded() -> bool:
        state = controllers.roles[HOSTS[0]].replica.state
        return state.find_result("state-version-1") is not None

    await wait_until(is_recorded)
    await wait_until(evacuate)
    await wait_until(is_sent)


# Guards against evacuations that a controller forgets when it restarts.
async def test_evacuation_is_known_after_a_restart(controllers: Controllers) -> None:
    async def evacuate() -> bool:
        role = controllers.roles[HOSTS[1]]
        return await role.evacuate("north", True, lambda: False) == Ok(None)

    await wait_until(evacuate)
    await controllers.stop(HOSTS[1])
    await controllers.start(HOSTS[1], first=False)
    assert controllers.roles[HOSTS[1]].roster_server.evacuations.evacuated == ("north",)
