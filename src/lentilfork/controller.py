"""The controller role: consensus, membership and the administration API.

Starting reads the certificates and opens the data folder before anything else, so
that a damaged folder is reported first. Draining gives up leadership and closes the
members' streams, so that they move to other controllers before this process stops.
"""

import asyncio
import contextlib
import random
import signal
from typing import Final

import grpc.aio
from result import Err
from result import Ok
from result import Result

from lentilfork.adapters.operators import OperatorService
from lentilfork.agreement import Replica
from lentilfork.channels import Channels
from lentilfork.claims.plan import plan_shards
from lentilfork.claims.plan import track_lost_voters
from lentilfork.clocks import read_clock_ms
from lentilfork.counters import Counters
from lentilfork.errors import Failure
from lentilfork.inspection import InspectionService
from lentilfork.logs import Logger
from lentilfork.membership.leadership import Leadership
from lentilfork.membership.leases import LeaseTable
from lentilfork.membership.server import MembershipServer
from lentilfork.membership.silence import SilenceLimit
from lentilfork.schema import admin_pb2_grpc
from lentilfork.schema import agreement_pb2_grpc
from lentilfork.schema import control_pb2_grpc
from lentilfork.schema import state_pb2
from lentilfork.settings import ControllerSettings
from lentilfork.state.codec import encode_claim_shard
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Voter
from lentilfork.tasks import start_supervised

__all__ = ["ControllerRole"]

STEP: Final = "start controller"
# A change proposed by the leader that takes longer is planned again.
CHANGE_TIMEOUT_S: Final = 2.0
CLOSE_TIMEOUT_S: Final = 2.0
POLL_INTERVAL_S: Final = 0.02
SERVER_GRACE_S: Final = 1.0

log = Logger("controller")


class ControllerRole:
    """One controller process."""

    settings: ControllerSettings
    counters: Counters
    channels: Channels
    replica: Replica
    membership: MembershipServer
    operators: OperatorService
    # None until started.
    server: grpc.aio.Server | None
    tasks: list["asyncio.Task[None]"]

    def __init__(self, settings: ControllerSettings) -> None:
        self.settings = settings
        self.counters = Counters()
        self.channels = Channels(settings.tls, self.counters)
        self.replica = Replica(settings, self.channels, self.counters, random.Random())
        leadership = Leadership(
            lambda: self.replica.is_leader,
            lambda: self.replica.leader_address or "",
            lambda: self.replica.state.cluster,
        )
        self.membership = MembershipServer(
            settings.name,
            leadership,
            self.propose,
            ShardPlanner(self.replica).plan,
            SilenceLimit(settings.silence_limit_percent),
            self.channels,
            self.counters,
        )
        self.replica.subscribe(self.membership.publish_state)
        self.operators = OperatorService(
            settings.name, self.replica, self.membership, self.channels, self.counters
        )
        self.server = None
        self.tasks = []

    @property
    def generation(self) -> int:
        """Generation of the agreed state that this controller has applied."""
        return self.replica.state.cluster.generation

    async def start(self) -> Result[None, Failure]:
        """Open the data folder and the server; nothing stays open after a failure."""
        checked = self.channels.refresh_certificates()
        if isinstance(checked, Err):
            return checked
        opened = await self.replica.start()
        if isinstance(opened, Err):
            return opened
        try:
            self.server = self.channels.make_server(self.settings.control_address)
        except RuntimeError as error:
            await self.stop()
            return Err(Failure(STEP, self.settings.control_address, str(error)))
        self.add_services(self.server)
        await self.server.start()
        self.tasks.append(start_supervised(self.membership.run, "membership"))
        with contextlib.suppress(NotImplementedError, ValueError):
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGHUP, self.reload)
        return Ok(None)

    def add_services(self, server: grpc.aio.Server) -> None:
        """Register the gRPC services of a controller."""
        inspection = InspectionService(self.dump, self.counters)
        agreement_pb2_grpc.add_AgreementServicer_to_server(
            self.replica.servicer, server
        )
        control_pb2_grpc.add_ControlServicer_to_server(self.membership.service, server)
        admin_pb2_grpc.add_AdministrationServicer_to_server(self.operators, server)
        admin_pb2_grpc.add_InspectionServicer_to_server(inspection, server)

    def reload(self) -> None:
        """Read the certificates again."""
        reloaded = self.channels.force_refresh()
        if isinstance(reloaded, Err):
            log.error("reloading the certificates failed", failure=reloaded.err_value)

    async def propose(self, change: state_pb2.Change) -> state_pb2.ChangeResult | None:
        """Write the leader's own change to the log; return None without a result.

        The change is never forwarded to another controller: what a previous leader
        concluded from missing heartbeats must not reach its successor.
        """
        reply = await self.replica.submit(change, CHANGE_TIMEOUT_S)
        return reply.result if reply.HasField("result") else None

    async def drain(self) -> None:
        """Finish pending changes, give up leadership and let the members move."""
        await self.operators.drain()
        await self.replica.step_down()
        self.membership.sessions.close()
        deadline_s = asyncio.get_running_loop().time() + CLOSE_TIMEOUT_S
        while self.membership.sessions.sessions:
            if asyncio.get_running_loop().time() > deadline_s:
                break
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Cancel all tasks and close all connections and the data folder."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        await self.replica.stop()
        if self.server is not None:
            await self.server.stop(SERVER_GRACE_S)
            self.server = None
        await self.channels.close()

    def dump(self) -> dict[str, object]:
        """Return the state of this controller as JSON values."""
        return {
            "name": self.settings.name,
            "role": self.settings.role,
            "data_centre": self.settings.data_centre,
            "agreement": self.replica.dump(),
            "membership": self.membership.dump(),
        }


class ShardPlanner:
    """Plans the claim shards while this controller is the leader."""

    replica: Replica
    # The term to which `lost_since_ms` belongs.
    term: int
    # When each lost voter was first found lost, on the clock of `read_clock_ms`.
    lost_since_ms: dict[Voter, int]

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.term = 0
        self.lost_since_ms = {}

    def plan(
        self, state: ClusterState, leases: LeaseTable
    ) -> list[state_pb2.ClaimShard]:
        """Return the claim shards to write next."""
        if self.replica.term != self.term:
            self.term = self.replica.term
            self.lost_since_ms = {}
        now_ms = read_clock_ms()
        self.lost_since_ms = track_lost_voters(state, self.lost_since_ms, now_ms)
        reports = leases.list_synced()
        planned = plan_shards(state, reports, self.lost_since_ms, now_ms)
        return list(map(encode_claim_shard, planned))
