"""Controller of forwarded flows: replicates route tables and serves the roster.

Route tables are replicated by Raft-style consensus. A table is acknowledged once a
majority of the voters has it on disk, and read only after a majority has confirmed
that it is the newest one.
"""

import asyncio
import random
import time
import zlib
from collections.abc import Callable
from dataclasses import replace
from typing import Final

import grpc.aio
import xxhash
from google.protobuf.message import DecodeError
from result import Err
from result import Ok
from result import Result

from lentilfork.agreement import Replica
from lentilfork.agreement.voters import list_voters
from lentilfork.channels import Channels
from lentilfork.counters import Counters
from lentilfork.errors import Failure
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import read_kind
from lentilfork.forwarding.evacuation_orders import EvacuationCommand
from lentilfork.forwarding.evacuation_orders import EvacuationOrders
from lentilfork.forwarding.roster_server import RosterServer
from lentilfork.forwarding.settings import STOP_MARGIN_S
from lentilfork.forwarding.settings import ControllerAddress
from lentilfork.forwarding.settings import FlowAgreementSettings
from lentilfork.forwarding.settings import FlowControllerSettings
from lentilfork.forwarding.sockets import DatagramSocket
from lentilfork.forwarding.sockets import PauseDetector
from lentilfork.forwarding.table_fetcher import LENGTH_BYTES
from lentilfork.forwarding.table_fetcher import TABLE_PORT_OFFSET
from lentilfork.logs import Logger
from lentilfork.schema import agreement_pb2_grpc
from lentilfork.schema import roster_pb2
from lentilfork.schema import state_pb2
from lentilfork.state.model import ClusterState
from lentilfork.tasks import start_supervised

__all__ = ["TABLE_BACKLOG", "FlowControllerRole", "StoredTable", "make_settings"]

SocketName = tuple[str, int]
EXPIRY_INTERVAL_S: Final = 0.1
# Announcements of members are not urgent, and hundreds arrive in a second.
POLL_INTERVAL_S: Final = 0.01
SERVER_GRACE_S: Final = 0.3
# Connection attempts to a controller behind a network partition hang. gRPC's own
# timeout of 20 s is longer than partitions of a few seconds, and data centres are only
# a few milliseconds apart.
CONNECT_TIMEOUT_MS: Final = 500
# All members may fetch a new table at the same moment. Without a place in the queue,
# the opening of a connection is repeated after a second, which is too late.
TABLE_BACKLOG: Final = 1024
# Calls that waited during a pause of the process are read within this time after it.
RESUME_WINDOW_MS: Final = 500
STEP: Final = "start controller"

log = Logger("controller")


def make_settings(settings: FlowControllerSettings) -> FlowAgreementSettings:
    """Return the settings of the replica."""
    return FlowAgreementSettings(
        name_controller(settings.address),
        format_socket(settings.address),
        settings.data_folder,
        make_peers(settings.controllers),
        settings.may_begin,
        settings.tolerated_losses,
        settings.replace_silent_ms,
    )


def name_controller(address: SocketName) -> str:
    """Return the name of a controller, which every process derives from its address."""
    return f"controller-{address[0].replace('.', '-')}"


def make_peers(controllers: tuple[SocketName, ...]) -> tuple[ControllerAddress, ...]:
    """Return the names and addresses of controllers for the replica."""
    return tuple(
        ControllerAddress(name_controller(address), format_socket(address))
        for address in controllers
    )


def format_socket(address: SocketName) -> str:
    """Return an address as "ip:port"."""
    return f"{address[0]}:{address[1]}"


class StoredTable:
    """The newest committed route table in the form in which members fetch it."""

    version: int
    content: bytes

    def __init__(self) -> None:
        self.version = 0
        self.content = zlib.compress(b"")

    def apply(self, table: state_pb2.RouteTable) -> None:
        """Store a table if it is newer."""
        if table.version <= self.version:
            return
        published = state_pb2.RouteTable()
        published.CopyFrom(table)
        published.ClearField("source")
        self.content = zlib.compress(published.SerializeToString())
        self.version = table.version


class FlowControllerRole:
    """One controller process."""

    settings: FlowControllerSettings
    get_time_s: Callable[[], float]
    counters: Counters
    channels: Channels
    replica: Replica
    roster_server: RosterServer
    table: StoredTable
    server: grpc.aio.Server | None
    pause_detector: PauseDetector
    evacuation_orders: EvacuationOrders
    socket: DatagramSocket | None
    table_server: asyncio.Server | None
    tasks: list["asyncio.Task[None]"]

    def __init__(
        self,
        settings: FlowControllerSettings,
        replica: Replica | None = None,
        get_time_s: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.get_time_s = get_time_s
        self.counters = Counters()
        self.channels = Channels(None, self.counters, CONNECT_TIMEOUT_MS)
        self.replica = replica or Replica(
            make_settings(settings), self.channels, self.counters, random.Random()
        )
        self.table = StoredTable()
        self.pause_detector = PauseDetector()
        self.roster_server = RosterServer(
            format_socket(settings.address),
            settings.data_centre,
            lambda: self.table.version,
            self.list_controllers,
            self.counters,
            self.get_time_s(),
            partial=settings.data_folder is None,
        )
        self.evacuation_orders = EvacuationOrders(
            self.replica,
            self.counters,
            self.get_time_s,
            lambda: self.pause_detector.has_paused(RESUME_WINDOW_MS),
        )
        self.replica.subscribe(self.apply_state)
        self.server = None
        self.socket = None
        self.table_server = None
        self.tasks = []

    @property
    def generation(self) -> int:
        """Version of the newest route table that is known to be committed."""
        return self.table.version

    def list_controllers(self) -> list[str]:
        """Return the addresses of the voters as "ip:port", sorted.

        Members need not announce themselves to the others: a controller without a disk
        only passes operators' calls on, and one that lost its vote may be gone.
        """
        voters = list_voters(self.replica.core.configuration)
        return sorted(item.control_address for item in voters)

    def apply_state(self, _before: ClusterState, _after: ClusterState) -> None:
        """Notify members if the new state has a newer route table or evacuation."""
        former = self.table.version
        self.table.apply(self.replica.state.route_table)
        has_table = self.table.version > former
        if has_table:
            log.info("route table committed", version=self.table.version, former=former)
        if self.apply_evacuations() or has_table:
            self.roster_server.notify_subscribers(self.get_time_s())

    def apply_evacuations(self) -> bool:
        """Pass the evacuations to the roster; return whether they are newer."""
        cluster = self.replica.state.cluster
        return self.roster_server.evacuations.update(
            cluster.evacuation_version, cluster.evacuated, self.get_time_s()
        )

    async def start(self) -> Result[None, Failure]:
        """Open the data folder and the servers; on failure, close them again."""
        opened = await self.replica.start()
        if isinstance(opened, Err):
            return opened
        self.table.apply(self.replica.state.route_table)
        self.apply_evacuations()
        host, port = self.settings.address
        try:
            self.server = self.channels.make_server(format_socket((host, port)))
            agreement_pb2_grpc.add_AgreementServicer_to_server(
                self.replica.servicer, self.server
            )
            await self.server.start()
            self.socket = DatagramSocket(
                (host, port),
                self.handle_datagram,
                self.counters,
                self.pause_detector,
                poll_interval_s=POLL_INTERVAL_S,
            )
            self.roster_server.send = self.socket.send
            self.roster_server.schedule_notification = self.schedule_notification
            self.table_server = await asyncio.start_server(
                self.serve_table, host, port + TABLE_PORT_OFFSET, backlog=TABLE_BACKLOG
            )
        except (OSError, RuntimeError) as error:
            await self.stop()
            return Err(Failure(STEP, format_socket((host, port)), str(error)))
        self.tasks.append(start_supervised(self.run_expiry, "expiry"))
        if self.settings.evacuations:
            prepare = self.evacuation_orders.run_preparation
            self.tasks.append(start_supervised(prepare, "evacuations"))
        return Ok(None)

    def apply_seeds(self, controllers: tuple[SocketName, ...]) -> None:
        """Apply the controllers of changed settings, which this one asks for a vote."""
        log.info("controllers in the settings changed", controllers=str(controllers))
        core = self.replica.core
        core.settings = make_settings(replace(self.settings, controllers=controllers))

    def handle_datagram(self, data: bytes, sender: SocketName) -> None:
        """Handle a member's announcement."""
        if read_kind(data) is not Kind.ANNOUNCEMENT:
            self.counters.add("datagrams_dropped", "unexpected")
            return
        try:
            announcement = roster_pb2.Announcement.FromString(data[1:])
        except DecodeError:
            self.counters.add("datagrams_dropped", "malformed")
            return
        self.roster_server.handle_announcement(announcement, sender, self.get_time_s())

    def schedule_notification(self, delay_s: float) -> None:
        """Notify the subscribers of the roster after a delay."""
        asyncio.get_running_loop().call_later(
            delay_s,
            lambda: self.roster_server.notify_subscribers(self.get_time_s()),
        )

    async def serve_table(
        self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send the newest route table to a member that connected."""
        content = self.table.content
        try:
            writer.write(len(content).to_bytes(LENGTH_BYTES, "big") + content)
            await writer.drain()
        except OSError as error:
            self.counters.add("table_transfers_failed")
            log.debug("route table not sent", error=repr(error))
        finally:
            writer.close()

    async def run_expiry(self) -> None:
        """Expire silent agents and members for as long as the controller runs."""
        while True:
            if self.pause_detector.check():
                self.pause_detector.drop_pending()
            self.roster_server.expire_members(self.get_time_s())
            await asyncio.sleep(EXPIRY_INTERVAL_S)

    async def put_table(self, table: state_pb2.RouteTable) -> Result[None, Failure]:
        """Return once a route table, or a newer one, is committed.

        After a failure the outcome is unknown. The call is idempotent, so it may be
        repeated with the same table.
        """
        if table.version <= self.replica.state.route_table.version:
            return Ok(None)
        digest = xxhash.xxh3_64_hexdigest(table.SerializeToString())
        change = state_pb2.Change(
            change_id=f"route-table-{table.version}-{digest}", put_route_table=table
        )
        started = self.get_time_s()
        proposed = await self.replica.propose(change)
        took_ms = round((self.get_time_s() - started) * 1000)
        if isinstance(proposed, Err):
            failure = proposed.err_value.failure
            log.warning(
                "route table not confirmed",
                version=table.version,
                took_ms=took_ms,
                failure=failure,
            )
            return Err(failure)
        self.counters.observe("acknowledgement_time", self.get_time_s() - started)
        log.info("route table acknowledged", version=table.version, took_ms=took_ms)
        return Ok(None)

    async def evacuate(
        self, data_centre: str, active: bool, is_disconnected: Callable[[], bool]
    ) -> Result[None, Failure]:
        """Evacuate a data centre, or return it to service if not `active`.

        After a failure the outcome is unknown; the call may be repeated.
        `is_disconnected` returns whether the operator has closed the connection.
        """
        command = EvacuationCommand(data_centre, active, is_disconnected)
        return await self.evacuation_orders.execute(command)

    async def read_table(self) -> Result[state_pb2.RouteTable, Failure]:
        """Return the newest route table after a majority has confirmed it."""
        confirmed = await self.replica.confirm_read()
        if isinstance(confirmed, Err):
            return confirmed
        return Ok(self.replica.state.route_table)

    async def drain(self) -> None:
        """Hand over the leadership and the vote, as far as the time allows."""
        await self.replica.leave(self.settings.grace_s - STOP_MARGIN_S)

    async def stop(self) -> None:
        """Cancel all tasks and close all servers and sockets."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        await self.replica.stop()
        if self.table_server is not None:
            self.table_server.close()
        if self.socket is not None:
            self.socket.close()
            self.socket = None
        if self.server is not None:
            await self.server.stop(SERVER_GRACE_S)
            self.server = None
        await self.channels.close()

    def dump(self) -> dict[str, object]:
        """Return the state of the process as JSON values."""
        return {
            "name": self.replica.core.name,
            "route_table": self.table.version,
            "agreement": self.replica.dump(),
            "roster": self.roster_server.dump(),
        }
