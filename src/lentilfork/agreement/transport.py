"""Calls between replicas.

`GrpcTransport` makes the calls over the gRPC channels of the process. Tests implement
`Transport` to simulate network partitions and delays. Every call has a timeout and
raises `TransportError` if the peer did not answer.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Protocol
from typing import TypeVar

import grpc
import grpc.aio

from lentilfork.channels import Channels
from lentilfork.schema import agreement_pb2
from lentilfork.schema import agreement_pb2_grpc
from lentilfork.schema import state_pb2
from lentilfork.tasks import raise_if_cancelled

__all__ = ["GrpcTransport", "Transport", "TransportError"]

T = TypeVar("T")


class TransportError(Exception):
    """A peer did not answer: it refused, is unreachable or was too late."""


class Transport(Protocol):
    """Calls to other replicas, addressed by "ip:port"; timeouts are in seconds."""

    async def request_vote(
        self, address: str, request: agreement_pb2.VoteRequest, timeout_s: float
    ) -> agreement_pb2.VoteReply:
        """Request a vote or a pre-vote."""

    async def append_entries(
        self, address: str, request: agreement_pb2.AppendRequest, timeout_s: float
    ) -> agreement_pb2.AppendReply:
        """Send entries, or none as a heartbeat."""

    async def install_snapshot(
        self,
        address: str,
        chunks: Iterable[agreement_pb2.SnapshotChunk],
        timeout_s: float,
    ) -> agreement_pb2.AppendReply:
        """Send a snapshot in chunks."""

    async def propose(
        self, address: str, change: state_pb2.Change, timeout_s: float
    ) -> agreement_pb2.ProposeReply:
        """Forward a change to the leader."""

    async def join(
        self, address: str, request: agreement_pb2.JoinRequest, timeout_s: float
    ) -> agreement_pb2.JoinReply:
        """Ask the leader to admit this replica."""

    async def confirm_read(
        self, address: str, timeout_s: float
    ) -> agreement_pb2.ReadReply:
        """Request a confirmed read index from the leader."""

    async def identify(
        self, address: str, timeout_s: float
    ) -> agreement_pb2.IdentifyReply:
        """Request the name and the data folder id of a peer."""


class GrpcTransport:
    """Calls to other replicas over gRPC."""

    channels: Channels
    # Address to connect to, by the address under which a peer is known.
    routes: Mapping[str, str]

    def __init__(self, channels: Channels, routes: Mapping[str, str]) -> None:
        self.channels = channels
        self.routes = routes

    def make_stub(self, address: str) -> "agreement_pb2_grpc.AgreementAsyncStub":
        """Return the stub for a peer; raises TransportError without certificates."""
        try:
            channel = self.channels.get(self.routes.get(address, address))
        except RuntimeError as error:
            raise TransportError(str(error)) from error
        return agreement_pb2_grpc.AgreementStub(channel)

    async def request_vote(
        self, address: str, request: agreement_pb2.VoteRequest, timeout_s: float
    ) -> agreement_pb2.VoteReply:
        """Request a vote or a pre-vote."""
        stub = self.make_stub(address)
        return await self.await_reply(
            address, stub.RequestVote(request, timeout=timeout_s)
        )

    async def append_entries(
        self, address: str, request: agreement_pb2.AppendRequest, timeout_s: float
    ) -> agreement_pb2.AppendReply:
        """Send entries, or none as a heartbeat."""
        stub = self.make_stub(address)
        return await self.await_reply(
            address, stub.AppendEntries(request, timeout=timeout_s)
        )

    async def install_snapshot(
        self,
        address: str,
        chunks: Iterable[agreement_pb2.SnapshotChunk],
        timeout_s: float,
    ) -> agreement_pb2.AppendReply:
        """Send a snapshot in chunks."""
        stub = self.make_stub(address)
        return await self.await_reply(
            address, stub.InstallSnapshot(stream_chunks(chunks), timeout=timeout_s)
        )

    async def propose(
        self, address: str, change: state_pb2.Change, timeout_s: float
    ) -> agreement_pb2.ProposeReply:
        """Forward a change to the leader."""
        stub = self.make_stub(address)
        return await self.await_reply(address, stub.Propose(change, timeout=timeout_s))

    async def join(
        self, address: str, request: agreement_pb2.JoinRequest, timeout_s: float
    ) -> agreement_pb2.JoinReply:
        """Ask the leader to admit this replica."""
        stub = self.make_stub(address)
        return await self.await_reply(address, stub.Join(request, timeout=timeout_s))

    async def confirm_read(
        self, address: str, timeout_s: float
    ) -> agreement_pb2.ReadReply:
        """Request a confirmed read index from the leader."""
        stub = self.make_stub(address)
        request = agreement_pb2.ReadRequest()
        return await self.await_reply(
            address, stub.ConfirmRead(request, timeout=timeout_s)
        )

    async def identify(
        self, address: str, timeout_s: float
    ) -> agreement_pb2.IdentifyReply:
        """Request the name and the data folder id of a peer."""
        request = agreement_pb2.IdentifyRequest()
        stub = self.make_stub(address)
        return await self.await_reply(
            address, stub.Identify(request, timeout=timeout_s)
        )

    async def await_reply(self, address: str, call: Awaitable[T]) -> T:
        """Return the reply to a call; raises TransportError if there is none.

        After a timeout the channel is abandoned, because its connection may be dead
        without an error; a new connection works as well as a healthy old one.
        """
        try:
            return await call
        except grpc.aio.AioRpcError as error:
            raise_if_cancelled()
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                await self.channels.abandon_channel(self.routes.get(address, address))
            raise TransportError(f"{error.code().name}: {error.details()}") from error
        except grpc.aio.UsageError as error:
            raise TransportError(str(error)) from error


async def stream_chunks(
    chunks: Iterable[agreement_pb2.SnapshotChunk],
) -> AsyncIterator[agreement_pb2.SnapshotChunk]:
    """Return the chunks as an asynchronous iterator."""
    for chunk in chunks:
        yield chunk
