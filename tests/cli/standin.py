"""A stand-in controller with scripted replies, and the command as a process."""

import asyncio
import itertools
import os
import sys
from collections.abc import AsyncIterator
from collections.abc import Iterator
from dataclasses import dataclass

import grpc
import grpc.aio

from lentilfork.schema import admin_pb2
from lentilfork.schema import admin_pb2_grpc
from lentilfork.schema import state_pb2

COMMAND_TIMEOUT_S = 30.0

# Reply or gRPC error that the stand-in gives to one submitted change.
Reply = admin_pb2.SubmitReply | grpc.StatusCode


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit code and output of a command that has ended."""

    code: int
    output: str
    errors: str


async def start_command(
    *arguments: str, **environment: str
) -> asyncio.subprocess.Process:
    """Start the operator command."""
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "lentilfork.cli", *arguments),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, **environment},
    )


async def wait_for_command(process: asyncio.subprocess.Process) -> CommandResult:
    """Wait for a command to end and return its exit code and output."""
    try:
        output, errors = await asyncio.wait_for(
            process.communicate(), COMMAND_TIMEOUT_S
        )
    except TimeoutError:
        process.kill()
        raise
    assert process.returncode is not None
    return CommandResult(process.returncode, output.decode(), errors.decode())


async def run_command(*arguments: str, **environment: str) -> CommandResult:
    """Run the operator command and return its exit code and output."""
    return await wait_for_command(await start_command(*arguments, **environment))


async def read_lines(count: int, *arguments: str) -> list[str]:
    """Return the first `count` lines that a command prints, then kill it."""
    process = await start_command(*arguments)
    assert process.stdout is not None
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            return [(await process.stdout.readline()).decode() for _ in range(count)]
    finally:
        process.kill()
        await process.communicate()


class StandInController(
    admin_pb2_grpc.AdministrationServicer, admin_pb2_grpc.InspectionServicer
):
    """A controller with scripted replies that records the submitted changes."""

    # Replies to submitted changes, in order; the last one is repeated.
    replies: list[Reply]
    # Replies to status requests, in order; the last one is repeated.
    statuses: list[admin_pb2.Status]
    state: state_pb2.Snapshot
    history: admin_pb2.History
    # The submitted changes, in order.
    changes: list[state_pb2.Change]

    def __init__(self, address: str) -> None:
        self.address = address
        self.replies = []
        self.statuses = [admin_pb2.Status()]
        self.state = state_pb2.Snapshot()
        self.history = admin_pb2.History()
        self.changes = []
        self.status_requests: Iterator[int] = itertools.count()
        self.server = grpc.aio.server()
        self.server.add_insecure_port(address)
        admin_pb2_grpc.add_AdministrationServicer_to_server(self, self.server)
        admin_pb2_grpc.add_InspectionServicer_to_server(self, self.server)

    async def Submit(self, request, context):  # type: ignore[no-untyped-def] # noqa: N802
        """Record the change and return the next scripted reply."""
        reply = self.replies[min(len(self.changes), len(self.replies) - 1)]
        self.changes.append(request)
        if isinstance(reply, grpc.StatusCode):
            await context.abort(reply, "as the test asked")
        return reply

    async def GetStatus(self, request, context):  # type: ignore[no-untyped-def] # noqa: N802
        """Return the next status."""
        return self.statuses[min(next(self.status_requests), len(self.statuses) - 1)]

    async def GetState(self, request, context):  # type: ignore[no-untyped-def] # noqa: N802
        """Return the state."""
        return self.state

    async def GetHistory(self, request, context):  # type: ignore[no-untyped-def] # noqa: N802
        """Return the history entries after the requested generation."""
        after = request.after_generation
        entries = [e for e in self.history.entries if e.generation > after]
        return admin_pb2.History(entries=entries)

    async def Watch(self, request, context) -> AsyncIterator[admin_pb2.Status]:  # type: ignore[no-untyped-def] # noqa: N802
        """Yield all statuses and end the stream."""
        for status in self.statuses:
            yield status

    async def Dump(self, request, context):  # type: ignore[no-untyped-def] # noqa: N802
        """Return a small dump."""
        return admin_pb2.DumpReply(json='{"name": "standin"}')
