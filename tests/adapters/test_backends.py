"""Answers of backend servers over gRPC: only whole ones count as answers."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import grpc
import grpc.aio
import pytest
from result import Ok

from lentilfork.adapters.backends import BackendError
from lentilfork.adapters.backends import BackendServer
from lentilfork.adapters.callers import Request
from lentilfork.schema import backend_pb2
from lentilfork.schema import backend_pb2_grpc

REQUEST = Request(7, b"tok", True, "GET", ("artwork", "p"), (), b"", 0, 6)
TIMEOUT_S = 5.0
Part = backend_pb2.BackendPart
FIRST = Part(payload=b"first ", etag=b"v1", total_bytes=12)


@dataclass
class ScriptedServicer(backend_pb2_grpc.BackendServerServicer):
    """Sends the parts of one answer and ends with a status."""

    parts: list[backend_pb2.BackendPart] = field(default_factory=list)
    status: grpc.StatusCode = grpc.StatusCode.OK

    async def Call(  # noqa: N802
        self,
        _request: backend_pb2.BackendRequest,
        _context: grpc.aio.ServicerContext[Any, Any],
    ) -> backend_pb2.BackendReply:
        """Return an empty reply; not called."""
        return backend_pb2.BackendReply()

    async def Load(  # noqa: N802
        self,
        _request: backend_pb2.LoadRequest,
        _context: grpc.aio.ServicerContext[Any, Any],
    ) -> backend_pb2.LoadReport:
        """Return an idle load; not called."""
        return backend_pb2.LoadReport()

    async def Fetch(  # noqa: N802
        self,
        _request: backend_pb2.BackendRequest,
        context: grpc.aio.ServicerContext[Any, Any],
    ) -> AsyncIterator[backend_pb2.BackendPart]:
        """Send the parts."""
        for part in self.parts:
            yield part
        if self.status is not grpc.StatusCode.OK:
            await context.abort(self.status, "scripted")


async def fetch(servicer: ScriptedServicer) -> Any:
    """Return the outcome of one fetch from a scripted backend server."""
    server = grpc.aio.server()
    backend_pb2_grpc.add_BackendServerServicer_to_server(servicer, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    backend = BackendServer(f"127.0.0.1:{port}")
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while not backend.is_connected():
                await asyncio.sleep(0.01)
        return await backend.fetch(REQUEST, b"key", TIMEOUT_S)
    finally:
        await backend.close()
        await server.stop(None)


async def test_parts_join_to_the_whole_answer() -> None:
    outcome = await fetch(ScriptedServicer([FIRST, Part(payload=b"second")]))
    assert isinstance(outcome, Ok)
    assert (outcome.ok_value.payload, outcome.ok_value.etag) == (b"first second", b"v1")


async def test_length_of_an_answer_may_be_unknown() -> None:
    outcome = await fetch(ScriptedServicer([Part(payload=b"all", etag=b"v1")]))
    assert isinstance(outcome, Ok)


BROKEN = {
    "ended after the first part": [FIRST],
    "ended before the first part": [],
    "changed to another version": [FIRST, Part(payload=b"second", etag=b"v2")],
    "longer than announced": [FIRST, Part(payload=b"second and more")],
}


@pytest.mark.parametrize("parts", BROKEN.values(), ids=BROKEN)
async def test_incomplete_answer_is_a_failure(
    parts: list[backend_pb2.BackendPart],
) -> None:
    # Another operator's report: an answer that broke off halfway reached the caller as
    # a complete success.
    outcome = await fetch(ScriptedServicer(parts))
    assert outcome.err_value.error is BackendError.FAILED


@pytest.mark.parametrize(
    ("parts", "error"), [([], BackendError.SHED), ([FIRST], BackendError.FAILED)]
)
async def test_request_whose_answer_had_begun_is_not_reported_as_not_run(
    parts: list[backend_pb2.BackendPart], error: BackendError
) -> None:
    status = grpc.StatusCode.RESOURCE_EXHAUSTED
    outcome = await fetch(ScriptedServicer(parts, status))
    assert outcome.err_value.error is error
