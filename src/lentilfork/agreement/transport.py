"""Calls between replicas.

`Transport` is the seam at which tests put cuts and delays; `GrpcTransport` makes
the calls over the channels of the process. Every call has a deadline and raises
`TransportError` when the peer could not be asked.
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

__all__ = ["GrpcTransport", "Transport", "TransportError"]

T = TypeVar("T")


class TransportError(Exception):
    """A peer did not answer: refused, unreachable or too late."""


class Transport(Protocol):
    """Calls to other replicas by "ip:port"; timeouts in seconds."""

    async def request_vote(
        self, address: str, request: agreement_pb2.VoteRequest, timeout_s: float
    ) -> agreement_pb2.VoteReply:
        """Ask for a vote."""

    async def append_entries(
        self, address: str, request: agreement_pb2.AppendRequest, timeout_s: float
    ) -> agreement_pb2.AppendReply:
        """Hand over entries, or none as a heartbeat."""

    async def install_snapshot(
        self,
        address: str,
        chunks: Iterable[agreement_pb2.SnapshotChunk],
        timeout_s: float,
    ) -> agreement_pb2.AppendReply:
        """Hand over a snapshot in parts."""

    async def propose(
        self, address: str, change: state_pb2.Change, timeout_s: float
    ) -> agreement_pb2.ProposeReply:
        """Pass a change on to the leader."""

    async def join(
        self, address: str, request: agreement_pb2.JoinRequest, timeout_s: float
    ) -> agreement_pb2.JoinReply:
        """Ask to be admitted."""

    async def confirm_read(
        self, address: str, timeout_s: float
    ) -> agreement_pb2.ReadReply:
        """Ask the leader for an index to read at."""

    async def identify(
        self, address: str, timeout_s: float
    ) -> agreement_pb2.IdentifyReply:
        """Ask for the identity of a peer's data folder."""


class GrpcTransport:
    """Calls over gRPC."""

    channels: Channels
    # Where peers are reached, by the address they are known by.
    routes: Mapping[str, str]

    def __init__(self, channels: Channels, routes: Mapping[str, str]) -> None:
        self.channels = channels
        self.routes = routes

    def make_stub(self, address: str) -> "agreement_pb2_grpc.AgreementAsyncStub":
        """Return the stub for a peer; TransportError without certificates."""
        try:
            channel = self.channels.get(self.routes.get(address, address))
        except RuntimeError as error:
            raise TransportError(str(error)) from error
        return agreement_pb2_grpc.AgreementStub(channel)

    async def request_vote(
        self, address: str, request: agreement_pb2.VoteRequest, timeout_s: float
    ) -> agreement_pb2.VoteReply:
        """Ask for a vote."""
        stub = self.make_stub(address)
        return await self.complete(
            address, stub.RequestVote(request, timeout=timeout_s)
        )

    async def append_entries(
        self, address: str, request: agreement_pb2.AppendRequest, timeout_s: float
    ) -> agreement_pb2.AppendReply:
        """Hand over entries, or none as a heartbeat."""
        stub = self.make_stub(address)
        return await self.complete(
            address, stub.AppendEntries(request, timeout=timeout_s)
        )

    async def install_snapshot(
        self,
        address: str,
        chunks: Iterable[agreement_pb2.SnapshotChunk],
        timeout_s: float,
    ) -> agreement_pb2.AppendReply:
        """Hand over a snapshot in parts."""
        stub = self.make_stub(address)
        return await self.complete(
            address, stub.InstallSnapshot(stream(chunks), timeout=timeout_s)
        )

    async def propose(
        self, address: str, change: state_pb2.Change, timeout_s: float
    ) -> agreement_pb2.ProposeReply:
        """Pass a change on to the leader."""
        stub = self.make_stub(address)
        return await self.complete(address, stub.Propose(change, timeout=timeout_s))

    async def join(
        self, address: str, request: agreement_pb2.JoinRequest, timeout_s: float
    ) -> agreement_pb2.JoinReply:
        """Ask to be admitted."""
        stub = self.make_stub(address)
        return await self.complete(address, stub.Join(request, timeout=timeout_s))

    async def confirm_read(
        self, address: str, timeout_s: float
    ) -> agreement_pb2.ReadReply:
        """Ask the leader for an index to read at."""
        stub = self.make_stub(address)
        request = agreement_pb2.ReadRequest()
        return await self.complete(
            address, stub.ConfirmRead(request, timeout=timeout_s)
        )

    async def identify(
        self, address: str, timeout_s: float
    ) -> agreement_pb2.IdentifyReply:
        """Ask for the identity of a peer's data folder."""
        request = agreement_pb2.IdentifyRequest()
        stub = self.make_stub(address)
        return await self.complete(address, stub.Identify(request, timeout=timeout_s))

    async def complete(self, address: str, call: Awaitable[T]) -> T:
        """Return the answer to a call; TransportError if there is none.

        A call that timed out drops the channel: its connection may have gone
        silent, and a new one is at once as good as a healthy old one.
        """
        try:
            return await call
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                await self.channels.abandon_channel(self.routes.get(address, address))
            raise TransportError(f"{error.code().name}: {error.details()}") from error
        except grpc.aio.UsageError as error:
            raise TransportError(str(error)) from error


async def stream(
    chunks: Iterable[agreement_pb2.SnapshotChunk],
) -> AsyncIterator[agreement_pb2.SnapshotChunk]:
    """Return the chunks as an asynchronous iterator."""
    for chunk in chunks:
        yield chunk
