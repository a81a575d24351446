"""The gRPC service through which other replicas call this one.

A call runs to completion even if its caller gives up, so that a vote or a batch of
entries is never processed in part. After a disk failure calls fail with UNAVAILABLE.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Coroutine
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import grpc.aio

from lentilfork.agreement.storage import StorageError
from lentilfork.schema import agreement_pb2
from lentilfork.schema import agreement_pb2_grpc
from lentilfork.schema import state_pb2

if TYPE_CHECKING:
    from lentilfork.agreement.replica import Replica

__all__ = ["AgreementServicer"]

T = TypeVar("T")
Context = Any


class AgreementServicer(agreement_pb2_grpc.AgreementServicer):
    """Dispatches the calls of other replicas to the parts of a replica."""

    replica: "Replica"
    # Tasks of the calls in progress.
    calls: set[asyncio.Task[Any]]

    def __init__(self, replica: "Replica") -> None:
        self.replica = replica
        self.calls = set()

    async def run_to_completion(
        self, call: Coroutine[Any, Any, T], context: Context
    ) -> T:
        """Run a call to completion; abort it with UNAVAILABLE on a disk failure."""
        if not self.replica.running:
            call.close()
            await context.abort(grpc.StatusCode.UNAVAILABLE, "not running")
        task = asyncio.create_task(call)
        self.calls.add(task)
        task.add_done_callback(self.handle_call_done)
        try:
            return await asyncio.shield(task)
        except StorageError as error:
            await context.abort(grpc.StatusCode.UNAVAILABLE, str(error))
            raise

    def handle_call_done(self, task: asyncio.Task[Any]) -> None:
        """Remove a finished call.

        Reads its exception, because the caller may be gone and asyncio would
        otherwise report that it was never retrieved.
        """
        self.calls.discard(task)
        if not task.cancelled():
            task.exception()

    async def stop(self) -> None:
        """Cancel the calls in progress and wait until they ended."""
        tasks = list(self.calls)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def RequestVote(  # noqa: N802
        self, request: agreement_pb2.VoteRequest, context: Context
    ) -> agreement_pb2.VoteReply:
        """Answer the vote request of a candidate."""
        return await self.run_to_completion(
            self.replica.election.handle_vote(request), context
        )

    async def AppendEntries(  # noqa: N802
        self, request: agreement_pb2.AppendRequest, context: Context
    ) -> agreement_pb2.AppendReply:
        """Append entries from the leader."""
        return await self.run_to_completion(
            self.replica.follower.handle_append(request), context
        )

    async def InstallSnapshot(  # noqa: N802
        self,
        request_iterator: AsyncIterator[agreement_pb2.SnapshotChunk],
        context: Context,
    ) -> agreement_pb2.AppendReply:
        """Install a snapshot from the leader."""
        handler = self.replica.follower.handle_snapshot(request_iterator)
        return await self.run_to_completion(handler, context)

    async def Propose(  # noqa: N802
        self, request: state_pb2.Change, context: Context
    ) -> agreement_pb2.ProposeReply:
        """Submit a change forwarded by another replica."""
        timeout_s = context.time_remaining()
        return await self.run_to_completion(
            self.replica.submit(request, timeout_s), context
        )

    async def Join(  # noqa: N802
        self, request: agreement_pb2.JoinRequest, context: Context
    ) -> agreement_pb2.JoinReply:
        """Admit a replica if this one leads."""
        return await self.run_to_completion(
            self.replica.joining.handle_join(request), context
        )

    async def ConfirmRead(  # noqa: N802
        self, _request: agreement_pb2.ReadRequest, context: Context
    ) -> agreement_pb2.ReadReply:
        """Confirm a read if this replica leads."""
        return await self.run_to_completion(
            self.replica.reads.handle_confirm(), context
        )

    async def Identify(  # noqa: N802
        self, _request: agreement_pb2.IdentifyRequest, _context: Context
    ) -> agreement_pb2.IdentifyReply:
        """Return the name of this replica and the id of its data folder."""
        return self.replica.identify()
