"""Three controllers and any number of members for tests of membership.

The controllers share one replicated state in memory instead of running consensus.
Streams, relays and leases between them are the real ones over gRPC.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from types import FrameType
from typing import Any

import grpc.aio

from lentilfork.bench.addresses import AddressBlock
from lentilfork.channels import Channels
from lentilfork.counters import Counters
from lentilfork.membership import MembershipClient
from lentilfork.membership.leadership import Leadership
from lentilfork.membership.server import MembershipServer
from lentilfork.membership.silence import SilenceLimit
from lentilfork.schema import control_pb2
from lentilfork.schema import control_pb2_grpc
from lentilfork.schema import state_pb2
from lentilfork.state import ReplicatedState
from lentilfork.state import apply_change
from lentilfork.state.model import ClusterState

DEADLINE_S = 10.0
# Stopping takes well under a second; a hang is reported by the tasks that remain.
CLOSE_TIMEOUT_S = 20.0


class SharedLog:
    """The replicated state and the leader that all stand-in controllers share."""

    state: ReplicatedState
    leader: "StandInController | None"
    controllers: "list[StandInController]"

    def __init__(self) -> None:
        self.state = ReplicatedState()
        self.leader = None
        self.controllers = []

    def apply(self, change: state_pb2.Change) -> state_pb2.ChangeResult:
        """Apply a change and notify all connected controllers."""
        self.state, result = apply_change(self.state, change)
        for controller in self.controllers:
            controller.apply_state()
        return result

    def apply_changes(self, count: int) -> None:
        """Apply `count` changes of one service."""
        for _ in range(count):
            number = self.state.cluster.generation + 1
            service = state_pb2.Service(
                name="signs", address="10.9.0.1", port=5683, deadline_ms=2000 + number
            )
            result = self.apply(
                state_pb2.Change(
                    change_id=f"fill-{number}", operator="ana", apply_service=service
                )
            )
            assert result.outcome == state_pb2.ACCEPTED, result


class StandInController:
    """A controller that has only the membership part and uses the shared log."""

    name: str
    address: str
    log: SharedLog
    # The state this controller has applied.
    state: ClusterState
    # False while it is cut off from the log and from the leader.
    connected: bool
    membership: MembershipServer
    counters: Counters
    channels: Channels
    server: grpc.aio.Server
    task: "asyncio.Task[None]"

    def __init__(self, name: str, address: str, log: SharedLog) -> None:
        self.name = name
        self.address = address
        self.log = log
        self.connected = True
        self.state = log.state.cluster
        self.counters = Counters()
        self.channels = Channels()
        leadership = Leadership(
            lambda: self.connected and log.leader is self,
            lambda: log.leader.address if log.leader and self.connected else "",
            lambda: self.state,
        )
        self.membership = MembershipServer(
            name,
            leadership,
            self.propose,
            lambda _state, _leases: [],
            SilenceLimit(None),
            self.channels,
            self.counters,
        )
        log.controllers.append(self)

    def apply_state(self) -> None:
        """Apply the newest state of the log unless cut off."""
        if self.connected:
            old, self.state = self.state, self.log.state.cluster
            self.membership.publish_state(old, self.state)

    async def propose(self, change: state_pb2.Change) -> state_pb2.ChangeResult:
        """Apply a change to the shared log."""
        return self.log.apply(change)

    async def start(self) -> None:
        """Start to serve members."""
        self.server = self.channels.make_server(self.address)
        control_pb2_grpc.add_ControlServicer_to_server(
            self.membership.service, self.server
        )
        await self.server.start()
        self.task = asyncio.create_task(self.membership.run())

    async def stop(self) -> None:
        """Stop serving and end all streams immediately."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.server.stop(None)
        await self.channels.close()
        self.log.controllers.remove(self)


class Member:
    """An agent that maintains its membership and does nothing else."""

    agent: state_pb2.Agent
    leaving: bool
    counters: Counters
    channels: Channels
    membership: MembershipClient
    task: "asyncio.Task[None]"

    def __init__(
        self,
        name: str,
        controllers: tuple[str, ...],
        incarnation: int = 1,
        data_centre: str = "kandy-a",
    ) -> None:
        self.agent = state_pb2.Agent(
            name=name,
            incarnation=incarnation,
            service="signs",
            data_centre=data_centre,
            packet_address="127.0.0.1:1",
            control_address="127.0.0.1:2",
            slots=1,
        )
        self.leaving = False
        self.counters = Counters()
        self.channels = Channels()
        self.membership = MembershipClient(
            controllers,
            self.channels,
            self.counters,
            lambda: control_pb2.Heartbeat(agent=self.agent, leaving=self.leaving),
            random.Random(name),
        )

    def start(self) -> None:
        """Start to join the controllers."""
        self.task = asyncio.create_task(self.membership.run())

    async def stop(self) -> None:
        """Stop sending heartbeats, without leaving."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        await self.channels.close()


class Cluster:
    """Three stand-in controllers and any number of members."""

    block: AddressBlock
    log: SharedLog
    controllers: list[StandInController]
    members: list[Member]

    def __init__(self) -> None:
        self.block = AddressBlock()
        self.log = SharedLog()
        self.controllers = [
            StandInController(
                f"control-{n}", self.block.allocate_address(7000), self.log
            )
            for n in range(3)
        ]
        self.log.leader = self.controllers[0]
        self.members = []

    @property
    def addresses(self) -> tuple[str, ...]:
        """Addresses of all controllers, stopped ones included."""
        return tuple(controller.address for controller in self.controllers)

    async def add_member(
        self,
        name: str,
        controllers: tuple[str, ...] | None = None,
        incarnation: int = 1,
        data_centre: str = "kandy-a",
    ) -> Member:
        """Start a member and wait until it is admitted."""
        member = Member(name, controllers or self.addresses, incarnation, data_centre)
        self.members.append(member)
        member.start()
        await wait_for(lambda: member.membership.has_valid_lease, f"{name} is admitted")
        return member


@contextlib.asynccontextmanager
async def run_cluster() -> AsyncIterator[Cluster]:
    """Run three controllers; stop them and all members at the end."""
    cluster = Cluster()
    for controller in cluster.controllers:
        await controller.start()
    try:
        yield cluster
    finally:
        async with report_tasks_on_timeout(CLOSE_TIMEOUT_S):
            for member in cluster.members:
                await member.stop()
            for controller in list(cluster.log.controllers):
                await controller.stop()
        cluster.block.close()


@contextlib.asynccontextmanager
async def report_tasks_on_timeout(timeout_s: float) -> AsyncIterator[None]:
    """Fail if the body takes longer than a time, and print what each task waits for."""
    loop = asyncio.get_running_loop()
    handle = loop.call_later(timeout_s, print_tasks)
    try:
        async with asyncio.timeout(timeout_s + 1):
            yield
    finally:
        handle.cancel()


def print_tasks() -> None:
    """Print all tasks and the lines that they wait in."""
    for task in asyncio.all_tasks():
        print(
            task, [(item.f_code.co_name, item.f_lineno) for item in list_frames(task)]
        )


def list_frames(task: "asyncio.Task[Any]") -> Iterator[FrameType]:
    """Yield the frames of the coroutines that a task runs, outermost first."""
    awaited: Any = task.get_coro()
    while awaited is not None:
        frame = getattr(awaited, "cr_frame", None) or getattr(awaited, "ag_frame", None)
        if frame is not None:
            yield frame
        awaited = getattr(awaited, "cr_await", None) or getattr(
            awaited, "ag_await", None
        )


async def wait_for(
    condition: Callable[[], object], description: str, deadline_s: float = DEADLINE_S
) -> float:
    """Return the seconds until a condition was true; fail after the deadline."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not condition():
        assert loop.time() - started_s < deadline_s, (
            f"timed out waiting for: {description}"
        )
        await asyncio.sleep(0.01)
    return loop.time() - started_s
