"""Emulated deployments whose controllers replicate route tables.

The product's own replicas, rosters and members run on one event loop in virtual time.
Controllers have disks that lose what was not synced; those without a disk, like
balancers, have thin links. Operators and an observer see only what is acknowledged,
read, and applied by members.
"""

import asyncio
import random
from collections.abc import Awaitable
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from typing import Final
from typing import TypeVar

from result import Ok

from lentilfork.agreement import Replica
from lentilfork.agreement import TransportError
from lentilfork.bench.emulation.clock import Clock
from lentilfork.bench.emulation.clock import LoopClock
from lentilfork.bench.emulation.disks import Disk
from lentilfork.bench.emulation.disks import EmulatedFiles
from lentilfork.bench.emulation.hosts import ControllerHost
from lentilfork.bench.emulation.hosts import MemberHost
from lentilfork.bench.emulation.plane import LINK_BYTES_PER_S
from lentilfork.bench.emulation.plane import PORT
from lentilfork.bench.emulation.plane import ControlPlane
from lentilfork.bench.emulation.plane import PlaneSize
from lentilfork.bench.emulation.replica_calls import EmulatedTransport
from lentilfork.bench.emulation.replica_calls import ReplicaNetwork
from lentilfork.channels import Channels
from lentilfork.counters import Counters
from lentilfork.forwarding.controller import TABLE_BACKLOG
from lentilfork.forwarding.controller import FlowControllerRole
from lentilfork.forwarding.controller import make_settings
from lentilfork.forwarding.settings import FlowControllerSettings
from lentilfork.forwarding.table_fetcher import TableFetcher
from lentilfork.schema import state_pb2

__all__ = ["ReplicatedController", "TableMember", "TablePlane", "slow_down"]

T = TypeVar("T")
SocketName = tuple[str, int]
FOLDER: Final = Path("/nowhere")
TOLERATED_LOSSES: Final = 2
REPLACE_SILENT_MS: Final = 3_000
# Links of 1.5 Mbit/s, of controllers without a disk and of balancers.
THIN_LINK_BYTES_PER_S: Final = 1.5e6 / 8
# Processor time of a controller for one member that fetches the table.
SERVE_S: Final = 0.0015
# An opening for which there is no place in the queue is repeated after this time.
REOPEN_S: Final = 1.0
CONNECT_ATTEMPT_S: Final = 10.0
OPERATOR_TIMEOUT_S: Final = 6.0
OPERATOR_PAUSE_S: Final = 0.1
# Calls that operators have in flight.
OPERATOR_CALLS: Final = 8
# Length of a route in an operator's document, and in the compressed document.
ROUTE_BYTES: Final = 150
COMPRESSED_ROUTE_BYTES: Final = 17


def make_table(version: int, routes: int) -> state_pb2.RouteTable:
    """Return a route table whose size is that of a configuration of the platform."""
    rng = random.Random(routes)
    return state_pb2.RouteTable(
        version=version,
        source=rng.randbytes(routes * COMPRESSED_ROUTE_BYTES),
        idle_timeout_ms=15_000,
        routes=[
            state_pb2.Route(
                address=rng.getrandbits(32),
                port=8_000 + number % 1_000,
                targets=[state_pb2.Target(service="signal-desk", weight=1)],
                deadline_ms=2_000 + version % 100,
                target_ms=400,
                priority=2,
            )
            for number in range(routes)
        ],
    )


class PlaneCalls(ReplicaNetwork):
    """Calls between replicas over the links of an emulated deployment."""

    plane: "TablePlane"

    def __init__(self, plane: "TablePlane") -> None:
        super().__init__(plane.rng)
        self.plane = plane

    def is_delivered(self, source: str, target: str) -> bool:
        """Return whether there is a path between two hosts."""
        cut = self.plane.network.cut
        return not cut & {parse_host(source), parse_host(target)}

    async def transfer(
        self, source: str, target: str, size: int, deadline_s: float
    ) -> None:
        """Return once a request has passed the links of both hosts."""
        sender, receiver = parse_host(source), parse_host(target)
        try:
            async with asyncio.timeout_at(deadline_s):
                await self.plane.network.transfer(sender, receiver, size)
        except TimeoutError as error:
            raise TransportError("timeout") from error


def parse_host(address: str) -> SocketName:
    """Return the address of a host as a pair."""
    host, port = address.split(":")
    return host, int(port)


class ReplicatedController(ControllerHost):
    """Host of a controller that replicates route tables."""

    plane: "TablePlane"
    # None for a host without a disk.
    disk: Disk | None
    files: EmulatedFiles | None
    role: FlowControllerRole
    # Factor by which everything takes longer.
    slowness: float
    # Members that wait for the table, and the one that is served.
    fetching: int
    processor: asyncio.Lock

    def __init__(
        self,
        name: str,
        data_centre: str,
        address: SocketName,
        plane: "TablePlane",
        disk: Disk | None,
    ) -> None:
        rate = LINK_BYTES_PER_S if disk else THIN_LINK_BYTES_PER_S
        super().__init__(name, data_centre, address, plane.network, rate)
        self.plane = plane
        self.disk = disk
        self.files = None
        self.slowness = 1.0
        self.fetching = 0
        self.processor = asyncio.Lock()

    @property
    def replica_address(self) -> str:
        """Address of the replica, "ip:port"."""
        return f"{self.address[0]}:{self.address[1]}"

    def open(self) -> None:
        """Start a controller on its disk."""
        settings = FlowControllerSettings(
            self.data_centre,
            self.address,
            tuple(host.address for host in self.plane.seeds),
            FOLDER if self.disk else None,
            self.plane.first_start,
            TOLERATED_LOSSES,
            REPLACE_SILENT_MS,
        )
        self.files = EmulatedFiles(self.disk) if self.disk else None
        replica = Replica(
            make_settings(settings),
            Channels(),
            Counters(),
            random.Random(self.network.rng.random()),
            transport=EmulatedTransport(self.plane.calls, self.replica_address),
            files=self.files,
        )
        self.role = FlowControllerRole(settings, replica, lambda: self.clock.now)
        self.roster_server = self.role.roster_server
        self.roster_server.send = self.send
        self.roster_server.schedule_notification = self.schedule_notification
        assert self.plane.run_until_complete(replica.start()) == Ok(None)
        self.role.table.apply(replica.state.route_table)
        self.plane.calls.replicas[self.replica_address] = replica
        self.repeat(self.expire_members)

    def stop(self) -> None:
        """Cut the power: what was not synced is lost."""
        super().stop()
        del self.plane.calls.replicas[self.replica_address]
        if self.files is not None and self.disk is not None:
            self.files.crash()
            self.disk.lose_power()
        self.plane.run_until_complete(self.role.replica.stop())

    def handle_datagram(self, data: bytes, sender: SocketName) -> None:
        """Handle a member's announcement."""
        self.role.handle_datagram(data, sender)

    async def serve_table(self, member: "TableMember") -> bytes:
        """Return the table to a member that fetches it; raises OSError."""
        while self.is_running and self.fetching >= TABLE_BACKLOG:
            await asyncio.sleep(REOPEN_S)
        if not self.is_running:
            raise ConnectionRefusedError(self.name)
        self.fetching += 1
        try:
            async with self.processor:
                await asyncio.sleep(SERVE_S * self.slowness)
            content = self.role.table.content
        finally:
            self.fetching -= 1
        await self.network.transfer(self.address, member.address, len(content))
        return content


class TableMember(MemberHost):
    """Host of a member that fetches route tables."""

    plane: "TablePlane"
    fetcher: TableFetcher | None = None
    # Time of the last start, and of the last fault of this host.
    disturbed_at: float

    def open(self) -> None:
        """Start a member without a table."""
        super().open()
        self.disturbed_at = self.clock.now
        self.fetcher = TableFetcher(self.membership, lambda: None, self.read_table)

    def stop(self) -> None:
        """Kill the process."""
        super().stop()
        if self.fetcher is not None:
            for task in self.fetcher.tasks:
                task.cancel()

    async def read_table(self, host: str, _port: int) -> bytes:
        """Return the compressed table of a controller; raises OSError."""
        controller = self.plane.find_controller(host)
        if controller is None or {self.address, controller.address} & self.network.cut:
            await asyncio.sleep(CONNECT_ATTEMPT_S)
            raise TimeoutError
        return await controller.serve_table(self)

    def announce(self) -> float:
        """Announce this member, and fetch a newer table if there is one."""
        delay_s = super().announce()
        self.fetch_if_needed()
        return delay_s

    def handle_datagram(self, data: bytes, sender: SocketName) -> None:
        """Handle a datagram, and fetch a newer table if there is one."""
        super().handle_datagram(data, sender)
        self.fetch_if_needed()

    def fetch_if_needed(self) -> None:
        """Fetch a newer table if there is one."""
        if self.fetcher is not None:
            self.fetcher.start_if_needed(self.clock.now)


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A route table that an operator was told to be stored."""

    version: int
    at: float


class TablePlane(ControlPlane):
    """A deployment with one voter and one controller without a disk per data centre."""

    calls: PlaneCalls
    controllers: Sequence[ReplicatedController]
    # Controllers that the settings of controllers name.
    seeds: Sequence[ReplicatedController]
    first_start: bool
    acknowledged: list[Acknowledgement]
    last_version: int
    # What contradicts the promises of the product, as seen from outside.
    problems: list[str]
    operators: asyncio.Semaphore
    tasks: set[asyncio.Task[Any]]

    def __init__(self, size: PlaneSize, seed: int, loss_share: float = 0.0) -> None:
        self.first_start = True
        self.acknowledged = []
        self.last_version = 0
        self.problems = []
        self.operators = asyncio.Semaphore(OPERATOR_CALLS)
        self.tasks = set()
        super().__init__(size, seed, loss_share)
        self.seeds = self.voters[:3]
        self.share_hosts()
        for member in self.members:
            member.seeds = [host.address for host in self.seeds]

    def share_hosts(self) -> None:
        """Run the controllers without a disk on the hosts of balancers."""
        for controller in self.controllers:
            local = (
                member
                for member in self.balancers
                if member.data_centre == controller.data_centre
            )
            if controller.disk is None and (balancer := next(local, None)):
                controller.link.wire = balancer.link.wire

    @property
    def voters(self) -> list[ReplicatedController]:
        """Controllers with a disk."""
        return [host for host in self.controllers if host.disk is not None]

    def make_clock(self) -> Clock:
        """Return the clock of an event loop, for the replicas."""
        return LoopClock()

    def run_until_complete(self, work: Awaitable[T]) -> T:
        """Run the event loop until a coroutine has ended."""
        assert isinstance(self.clock, LoopClock)
        return self.clock.loop.run_until_complete(work)

    def make_controllers(self) -> Sequence[ReplicatedController]:
        """Return a voter and a controller without a disk for each data centre."""
        self.calls = PlaneCalls(self)
        return [
            ReplicatedController(
                f"controller-{place}-{number}",
                data_centre,
                (f"10.{place}.0.{number}", PORT),
                self,
                Disk(self.rng) if number == 1 else None,
            )
            for place, data_centre in enumerate(self.data_centres, start=1)
            for number in (1, 2)
        ]

    def make_member(
        self, name: str, place: int, address: SocketName, rate: float, service: str
    ) -> MemberHost:
        """Return a member that fetches route tables."""
        rate = rate if service else THIN_LINK_BYTES_PER_S
        member = TableMember(
            name, self.data_centres[place], address, self.network, rate, service
        )
        member.plane = self
        return member

    def find_controller(self, host: str) -> ReplicatedController | None:
        """Return the controller that runs at an IP address."""
        found = (item for item in self.controllers if item.address[0] == host)
        return next((item for item in found if item.is_running), None)

    def start_task(self, work: Awaitable[None]) -> None:
        """Run a coroutine while time passes."""
        assert isinstance(self.clock, LoopClock)
        task = asyncio.ensure_future(work, loop=self.clock.loop)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def put_table(self, routes: int) -> None:
        """Let an operator put a newer table, at any controller, until it is stored."""
        self.last_version += 1
        self.start_task(self.put_until_stored(make_table(self.last_version, routes)))

    async def put_until_stored(self, table: state_pb2.RouteTable) -> None:
        """Put a table at one controller after the other until one acknowledges it."""
        while True:
            controller = self.rng.choice(self.controllers)
            if controller.is_running and await self.put_once(controller, table):
                self.acknowledged.append(Acknowledgement(table.version, self.clock.now))
                return
            await asyncio.sleep(OPERATOR_PAUSE_S)

    async def put_once(
        self, controller: ReplicatedController, table: state_pb2.RouteTable
    ) -> bool:
        """Put a table at one controller; return whether it acknowledged it."""
        start_number = controller.start_number
        try:
            async with self.operators, asyncio.timeout(OPERATOR_TIMEOUT_S):
                size = len(table.routes) * ROUTE_BYTES
                await self.network.upload(controller.address, size)
                stored = await controller.role.put_table(table)
        except TimeoutError:
            return False
        # An answer of a controller that was stopped meanwhile doesn't arrive.
        return isinstance(stored, Ok) and controller.start_number == start_number

    async def read_table(self, controller: ReplicatedController) -> int | None:
        """Return the version read at a controller, None if it doesn't answer.

        A version older than what was acknowledged before the read is a problem.
        """
        expected = self.find_newest(self.clock.now)
        read = await controller.role.read_table()
        if not isinstance(read, Ok):
            return None
        version = read.ok_value.version
        if version < expected:
            self.problems.append(
                f"{controller.name} read {version} after {expected} was acknowledged"
            )
        return version

    def find_newest(self, until_s: float) -> int:
        """Return the newest version that was acknowledged by a time, 0 for none."""
        versions = (item.version for item in self.acknowledged if item.at <= until_s)
        return max(versions, default=0)

    def list_behind(self, version: int, calm_s: float) -> list[str]:
        """Return the members with an older table that had no fault for a time."""
        return [
            member.name
            for member in self.members
            if isinstance(member, TableMember)
            and member.is_running
            and self.clock.now - member.disturbed_at >= calm_s
            and member.membership.routes.version < version
        ]

    def close(self) -> None:
        """Stop all hosts and the event loop."""
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            if host.is_running:
                host.stop()
        self.run_for(0.1)
        assert isinstance(self.clock, LoopClock)
        self.clock.loop.close()


def slow_down(controllers: Sequence[ReplicatedController], factor: float) -> None:
    """Let everything take longer at some controllers."""
    for controller in controllers:
        controller.slowness = factor
