"""Controller daemons and member processes for tests."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from collections.abc import Callable
from pathlib import Path
from typing import Any

import grpc.aio

from lentilfork.bench.addresses import AddressBlock
from lentilfork.bench.processes import Process
from lentilfork.bench.processes import ProcessGroup
from lentilfork.channels import Channels
from lentilfork.schema import admin_pb2
from lentilfork.schema import admin_pb2_grpc
from lentilfork.schema import state_pb2
from lentilfork.state import decode_snapshot
from lentilfork.state.model import ClusterState

MEMBER = str(Path(__file__).parent / "member_process.py")
CALL_TIMEOUT_S = 5.0
START_TIMEOUT_S = 30.0


class Deployment:
    """Three controller daemons and any number of member processes."""

    folder: Path
    block: AddressBlock
    group: ProcessGroup
    channels: Channels
    # Addresses by name.
    controllers: dict[str, str]
    members: dict[str, str]

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.block = AddressBlock()
        self.group = ProcessGroup(folder)
        self.channels = Channels()
        self.controllers = {
            f"control-{number}": self.block.allocate_address(7000)
            for number in range(3)
        }
        self.members = {}

    def get_process(self, name: str) -> Process:
        """Return a process by name."""
        return self.group.processes[name]

    def start_controllers(self) -> None:
        """Start the three daemons."""
        peers = [
            {"name": name, "address": address}
            for name, address in self.controllers.items()
        ]
        for name, address in self.controllers.items():
            settings = {
                "role": "controller",
                "name": name,
                "data_centre": "kandy-a",
                "control_address": address,
                "data_folder": str(self.folder / f"data-{name}"),
                "controllers": peers,
            }
            path = self.folder / f"{name}.json"
            path.write_text(json.dumps(settings), encoding="utf-8")
            arguments = ("-m", "lentilfork.daemon", "--settings", str(path))
            self.group.add(name, *arguments).start()

    def start_member(self, name: str, data_centre: str = "kandy-a") -> Process:
        """Start a member process of the service "signs"."""
        address = self.block.allocate_address(7000)
        self.members[name] = address
        process = self.group.add(
            name,
            MEMBER,
            name,
            "signs",
            data_centre,
            address,
            *self.controllers.values(),
        )
        process.start()
        return process

    async def get_status(self, controller: str) -> admin_pb2.Status:
        """Return the status from one controller; empty if it does not respond."""
        stub = admin_pb2_grpc.AdministrationStub(
            self.channels.get(self.controllers[controller])
        )
        try:
            return await stub.GetStatus(admin_pb2.GetStatusRequest(), timeout=1.0)
        except grpc.aio.AioRpcError:
            return admin_pb2.Status()

    async def get_state(self, controller: str) -> ClusterState:
        """Return the state that one controller has applied."""
        stub = admin_pb2_grpc.AdministrationStub(
            self.channels.get(self.controllers[controller])
        )
        reply = await stub.GetState(admin_pb2.GetStateRequest(), timeout=1.0)
        return decode_snapshot(reply)

    async def submit(
        self, controller: str, change: state_pb2.Change
    ) -> admin_pb2.SubmitReply:
        """Submit a change to one controller."""
        stub = admin_pb2_grpc.AdministrationStub(
            self.channels.get(self.controllers[controller])
        )
        return await stub.Submit(change, timeout=CALL_TIMEOUT_S)

    async def apply_service(self, controller: str, change_id: str) -> int:
        """Apply a change of a service; return the generation that contains it."""
        service = state_pb2.Service(
            name="signs", address="10.9.0.1", port=5683, deadline_ms=2_000
        )
        change = state_pb2.Change(
            change_id=change_id, operator="ana", apply_service=service
        )
        reply = await self.submit(controller, change)
        assert reply.result.outcome == state_pb2.ACCEPTED, reply
        return reply.result.generation

    async def dump(self, name: str) -> dict[str, Any]:
        """Return the dump of a controller or a member."""
        address = {**self.controllers, **self.members}[name]
        stub = admin_pb2_grpc.InspectionStub(self.channels.get(address))
        reply = await stub.Dump(
            admin_pb2.DumpRequest(), timeout=CALL_TIMEOUT_S, wait_for_ready=True
        )
        document: dict[str, Any] = json.loads(reply.json)
        return document

    async def find_leader(self, without: str = "") -> str:
        """Return the leader's name once all running controllers report the same."""
        found: set[str] = set()

        async def is_leader_agreed() -> bool:
            nonlocal found
            names = [
                name
                for name in self.controllers
                if name != without and self.get_process(name).alive
            ]
            statuses = [await self.get_status(name) for name in names]
            found = {status.leader for status in statuses}
            return len(found) == 1 and found.isdisjoint({"", without})

        await wait_until(is_leader_agreed, "a leader", START_TIMEOUT_S)
        return found.pop()

    async def wait_agents(
        self, names: set[str], timeout_s: float, stopped: str = ""
    ) -> float:
        """Return the seconds until the running members agree on the set of agents.

        Each of them must have applied a state with exactly the agents `names` and
        have a valid lease.
        """

        async def are_agents_agreed() -> bool:
            running = [
                name
                for name in self.members
                if name != stopped and self.get_process(name).alive
            ]
            dumps = [await self.dump(name) for name in running]
            return all(
                set(dump["agents"]) == names and dump["lease_holds"] for dump in dumps
            )

        return await wait_until(are_agents_agreed, f"agents {sorted(names)}", timeout_s)


@contextlib.asynccontextmanager
async def run_deployment(folder: Path, members: int) -> AsyncIterator[Deployment]:
    """Run three controllers and admitted members; kill all processes at the end."""
    deployment = Deployment(folder)
    try:
        deployment.start_controllers()
        names = [f"depot-{number}" for number in range(members)]
        for name in names:
            deployment.start_member(name)
        await deployment.find_leader()
        await deployment.wait_agents(set(names), START_TIMEOUT_S)
        yield deployment
    finally:
        deployment.group.close()
        await deployment.channels.close()
        deployment.block.close()


async def wait_until(
    condition: Callable[[], Any], description: str, timeout_s: float
) -> float:
    """Return the seconds until an asynchronous condition was true."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not await condition():
        assert loop.time() - started_s < timeout_s, (
            f"timed out waiting for: {description}"
        )
        await asyncio.sleep(0.02)
    return loop.time() - started_s
