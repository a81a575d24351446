"""Simulated backend server: its journal contains exactly the requests that ran."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import grpc.aio
import pytest

from lentilfork.bench.addresses import AddressBlock
from lentilfork.bench.backend_server import BackendServer
from lentilfork.bench.backend_server import BackendServerConfig
from lentilfork.bench.journals import read_journals
from lentilfork.bench.processes import wait_until
from lentilfork.schema import backend_pb2
from lentilfork.schema import backend_pb2_grpc

SERVICE_TIME_MS = 1.0
WAIT_S = 10.0
LOAD_LAG_S = 30.0


class ServerFixture:
    """A server with one slot and a queue for one request, and a client."""

    def __init__(self, folder: Path) -> None:
        self.journal = folder / "journal"
        self.addresses = AddressBlock()
        self.config = BackendServerConfig(
            name="server",
            address=self.addresses.allocate_address(5000),
            journal=self.journal,
            queue=1,
            service_time_ms=SERVICE_TIME_MS,
            distribution="fixed",
        )
        self.server = BackendServer(self.config)
        self.channel = grpc.aio.insecure_channel(self.config.address)
        self.stub: Any = backend_pb2_grpc.BackendServerStub(self.channel)

    async def call(self, request_id: str, timeout_s: float = 10.0) -> str:
        """Send one request and return the name of its status code."""
        request = backend_pb2.BackendRequest(
            method="POST", path="/reports", query=[f"id={request_id}"]
        )
        try:
            await self.stub.Call(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            return error.code().name
        return "OK"

    def list_journal(self) -> list[tuple[str, str]]:
        """Return request id and outcome of each run in the journal."""
        runs = read_journals([self.journal])
        return [(run.query[0].removeprefix("id="), run.outcome) for run in runs]

    async def get_load(self) -> tuple[int, int]:
        """Return the numbers of running and queued requests in a load report."""
        report = await self.stub.Load(backend_pb2.LoadRequest())
        return report.running, report.queued


@pytest.fixture
async def server_fixture(tmp_path: Path) -> AsyncIterator[ServerFixture]:
    server_fixture = ServerFixture(tmp_path)
    await server_fixture.server.start()
    yield server_fixture
    await server_fixture.channel.close(None)
    await server_fixture.server.stop(0)


async def test_shed_requests_did_not_run(server_fixture: ServerFixture) -> None:
    server_fixture.server.apply({"frozen": True})
    ids = ["a", "b", "c", "d"]
    calls = [asyncio.create_task(server_fixture.call(name)) for name in ids]
    await wait_until(
        lambda: server_fixture.server.counters.get("shed") == 2, WAIT_S, "shedding"
    )
    server_fixture.server.apply({"frozen": False})
    statuses = await asyncio.gather(*calls)
    assert sorted(statuses) == ["OK", "OK", "RESOURCE_EXHAUSTED", "RESOURCE_EXHAUSTED"]
    completed = [
        name for name, status in zip(ids, statuses, strict=True) if status == "OK"
    ]
    assert sorted(server_fixture.list_journal()) == [
        (name, "done") for name in completed
    ]


async def test_deadline_cancels_the_run_and_frees_the_slot(
    server_fixture: ServerFixture,
) -> None:
    server_fixture.server.apply({"frozen": True})
    expiring = asyncio.create_task(server_fixture.call("late", timeout_s=1.0))
    await wait_until(lambda: server_fixture.server.slots.running == 1, WAIT_S, "a run")
    assert await expiring == "DEADLINE_EXCEEDED"
    await wait_until(
        lambda: server_fixture.server.slots.running == 0, WAIT_S, "a free slot"
    )
    server_fixture.server.apply({"frozen": False})
    assert await server_fixture.call("next") == "OK"
    assert server_fixture.list_journal() == [("late", "cancelled"), ("next", "done")]


async def test_cancelled_in_the_queue_did_not_run(
    server_fixture: ServerFixture,
) -> None:
    server_fixture.server.apply({"frozen": True})
    slots = server_fixture.server.slots
    first = asyncio.create_task(server_fixture.call("first"))
    await wait_until(lambda: slots.running == 1, WAIT_S, "a run")
    queued = asyncio.create_task(server_fixture.call("queued", timeout_s=1.0))
    await wait_until(lambda: len(slots.waiting) == 1, WAIT_S, "a full queue")
    assert await queued == "DEADLINE_EXCEEDED"
    await wait_until(lambda: not slots.waiting, WAIT_S, "an empty queue")
    second = asyncio.create_task(server_fixture.call("second"))
    await wait_until(lambda: len(slots.waiting) == 1, WAIT_S, "a full queue")
    server_fixture.server.apply({"frozen": False})
    assert [await first, await second] == ["OK", "OK"]
    assert server_fixture.list_journal() == [("first", "done"), ("second", "done")]


async def test_fail_fast_server_runs_nothing(server_fixture: ServerFixture) -> None:
    server_fixture.server.apply({"fail_fast": True})
    assert await server_fixture.call("a") == "INTERNAL"
    assert server_fixture.list_journal() == []


@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [({}, (1, 0)), ({"load_idle": True}, (0, 0)), ({"load_lag_s": LOAD_LAG_S}, (0, 0))],
)
async def test_load_report_is_current_delayed_or_falsified(
    server_fixture: ServerFixture, behaviour: dict[str, Any], expected: tuple[int, int]
) -> None:
    server_fixture.server.apply({**behaviour, "frozen": True})
    running = asyncio.create_task(server_fixture.call("a"))
    await wait_until(lambda: server_fixture.server.slots.running == 1, WAIT_S, "a run")
    assert await server_fixture.get_load() == expected
    server_fixture.server.apply({"frozen": False})
    assert await running == "OK"
