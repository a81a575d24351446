"""Calls to the claims service of other agents over gRPC.

Expected failures, such as a timeout, a refused connection or a stopped voter, are
returned as `None`: an unreachable voter and a stopped one mean the same to a quorum.
"""

from typing import Final
from typing import Protocol

import grpc.aio

from lentilfork.channels import Channels
from lentilfork.schema.claims_pb2 import ClaimReply
from lentilfork.schema.claims_pb2 import ClaimRequest
from lentilfork.schema.claims_pb2 import FindRequest
from lentilfork.schema.claims_pb2 import SettleRequest
from lentilfork.schema.claims_pb2 import SyncReply
from lentilfork.schema.claims_pb2 import SyncRequest
from lentilfork.schema.claims_pb2_grpc import ClaimsStub
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Voter
from lentilfork.tasks import raise_if_cancelled

__all__ = [
    "GrpcPeers",
    "Peers",
    "VoterRequest",
    "compute_majority",
    "find_control_address",
]

SYNC_TIMEOUT_S: Final = 10.0

VoterRequest = ClaimRequest | SettleRequest | FindRequest


def compute_majority(voters: tuple[Voter, ...]) -> int:
    """Return the smallest number of voters for which any two sets overlap."""
    return len(voters) // 2 + 1


def find_control_address(state: ClusterState, voter: Voter) -> str | None:
    """Return "ip:port" of a voter's gRPC server; None if the voter is not live."""
    agent = state.agents.get(voter.agent)
    if agent is None or agent.incarnation != voter.incarnation:
        return None
    return agent.control_address


class Peers(Protocol):
    """Client interface to the claims service of other agents."""

    async def call(
        self, address: str, request: VoterRequest, timeout_s: float
    ) -> ClaimReply | None:
        """Return the reply of the voter at `address`; None if the call failed."""

    async def sync(self, address: str, request: SyncRequest) -> list[SyncReply] | None:
        """Return all parts of a voter's records; None if they are incomplete."""


class GrpcPeers:
    """Calls other agents over the gRPC channels of this process."""

    channels: Channels

    def __init__(self, channels: Channels) -> None:
        self.channels = channels

    async def call(
        self, address: str, request: VoterRequest, timeout_s: float
    ) -> ClaimReply | None:
        """Return the reply of the voter at `address`; None if the call failed."""
        stub = ClaimsStub(self.channels.get(address))
        try:
            match request:
                case ClaimRequest():
                    return await stub.Claim(request, timeout=timeout_s)
                case SettleRequest():
                    return await stub.Settle(request, timeout=timeout_s)
                case FindRequest():
                    return await stub.Find(request, timeout=timeout_s)
        except grpc.aio.AioRpcError:
            return None

    async def sync(self, address: str, request: SyncRequest) -> list[SyncReply] | None:
        """Return all parts of a voter's records; None if they are incomplete."""
        stub = ClaimsStub(self.channels.get(address))
        try:
            return [part async for part in stub.Sync(request, timeout=SYNC_TIMEOUT_S)]
        except grpc.aio.AioRpcError:
            raise_if_cancelled()
            return None
