"""A deployment of operating system processes on loopback addresses.

Starts controllers, balancers, one agent and one simulated backend server for each
endpoint, and the simulated fabric, with settings files in one folder. `close` kills
all of them. Tests, demo and experiments start, stop and kill processes by name:

    control-1, entry-1, warnings-1 (agent), server-warnings-1, fabric
"""

import asyncio
import json
from pathlib import Path
from types import TracebackType
from typing import Any
from typing import Final
from typing import Self

from lentilfork.bench.control import ControlChange
from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.fabric import FabricConfig
from lentilfork.bench.journals import Run
from lentilfork.bench.journals import read_journals
from lentilfork.bench.operators import Operator
from lentilfork.bench.plan import Endpoint
from lentilfork.bench.plan import Host
from lentilfork.bench.plan import Plan
from lentilfork.bench.plan import Wiring
from lentilfork.bench.processes import Process
from lentilfork.bench.processes import ProcessGroup
from lentilfork.schema import admin_pb2

__all__ = ["Deployment"]

READY_TIMEOUT_S: Final = 40.0
POLL_S: Final = 0.1
LIVE_STATES: Final = frozenset({"live"})


class Deployment:
    """Starts, changes and stops the processes of one deployment."""

    description: DeploymentDescription
    folder: Path
    plan: Plan
    group: ProcessGroup
    operator: Operator
    # Names of the balancers to which the fabric sends packets.
    enabled_balancers: set[str]

    def __init__(
        self,
        description: DeploymentDescription,
        folder: Path,
        wiring: Wiring | None = None,
    ) -> None:
        self.description = description
        self.folder = folder
        self.plan = Plan(description, folder, wiring or Wiring())
        self.group = ProcessGroup(folder)
        self.enabled_balancers = set()
        for _ in range(description.controllers):
            self.plan.add_controller()
        controllers = self.plan.controllers.values()
        self.operator = Operator([host.control_address for host in controllers])

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    def get_process(self, name: str) -> Process:
        """Return a process by name; raises KeyError."""
        return self.group.processes[name]

    def get_address(self, service: str) -> str:
        """Return the "ip:port" that callers of a service use; raises KeyError."""
        return self.plan.services[service]

    async def start(self) -> None:
        """Start all processes; returns once every member is live and up to date.

        Raises TimeoutError or RuntimeError; the caller must then call `close`.
        """
        await self.start_fabric()
        await self.start_controllers()
        generation = await self.apply_definitions()
        for _ in range(self.description.balancers):
            self.start_balancer()
        await asyncio.gather(
            *(
                self.start_endpoint(service.definition.name)
                for service in self.description.services
                for _ in range(service.endpoints)
            )
        )
        await self.wait_ready(generation)
        await self.update_fabric()

    async def close(self) -> None:
        """Kill every process and release the addresses."""
        await self.operator.close()
        self.group.close()
        self.plan.addresses.close()

    def add_daemon(self, settings: dict[str, Any]) -> Process:
        """Write the settings file and return the process, not started."""
        name = str(settings["name"])
        path = self.write_file(f"{name}.json", settings)
        return self.group.add(name, "-m", "lentilfork.daemon", "--settings", path)

    def write_file(self, name: str, document: dict[str, Any]) -> str:
        """Write a JSON file into the folder; returns its path."""
        path = self.folder / name
        path.write_text(json.dumps(document, indent=2), encoding="utf-8")
        return str(path)

    async def start_fabric(self) -> None:
        """Start the fabric, without balancers."""
        config = FabricConfig(
            services=tuple(self.plan.services.values()),
            return_address=self.plan.return_address,
            balancers=(),
            caller_delay_ms=self.description.caller_delay_ms,
            seed=self.description.seed,
        )
        path = self.write_file("fabric.json", config.model_dump(mode="json"))
        process = self.group.add("fabric", "-m", "lentilfork.bench.fabric", path)
        await process.start_and_wait_ready()

    async def update_fabric(self) -> None:
        """Send the fabric the addresses and delays of the balancers to use."""
        hosts = [self.plan.balancers[name] for name in sorted(self.enabled_balancers)]
        first_place = self.description.places[0]
        change: ControlChange = {
            "balancers": [self.plan.wiring.get_balancer(host) for host in hosts],
            "balancer_delay_ms": {
                self.plan.wiring.get_balancer(host): self.description.place_delay_ms
                for host in hosts
                if host.place != first_place
            },
        }
        await self.get_process("fabric").send_control(change)

    async def set_balancer_enabled(self, name: str, *, enabled: bool) -> None:
        """Start or stop sending packets from the fabric to a balancer."""
        if enabled:
            self.enabled_balancers.add(name)
        else:
            self.enabled_balancers.discard(name)
        await self.update_fabric()

    async def start_controllers(self) -> None:
        """Start the controllers planned at the beginning."""
        for host in self.plan.controllers.values():
            self.add_daemon(self.plan.make_controller_settings(host)).start()

    def start_balancer(self, place: str | None = None) -> str:
        """Start one more balancer; `update_fabric` makes the fabric use it."""
        host = self.plan.add_balancer(place)
        self.add_balancer_process(host).start()
        self.enabled_balancers.add(host.name)
        return host.name

    async def start_endpoint(self, service: str, place: str | None = None) -> str:
        """Start one more backend server and its agent; returns the agent's name."""
        endpoint = self.plan.add_endpoint(service, place)
        config = endpoint.config
        path = self.write_file(f"{config.name}.json", config.model_dump(mode="json"))
        server = self.group.add(
            config.name, "-m", "lentilfork.bench.backend_server", path
        )
        agent = self.add_agent_process(endpoint)
        await server.start_and_wait_ready()
        agent.start()
        return agent.name

    def add_balancer_process(self, host: Host) -> Process:
        """Return the process of a balancer, not started."""
        return self.add_daemon(self.plan.make_balancer_settings(host))

    def add_agent_process(self, endpoint: Endpoint) -> Process:
        """Return the process of an agent, not started."""
        return self.add_daemon(self.plan.make_agent_settings(endpoint))

    async def set_behaviour(self, endpoint: str, **change: Any) -> None:
        """Change the behaviour of the backend server of an endpoint."""
        server = self.plan.endpoints[endpoint].config.name
        await self.get_process(server).send_control(change)

    async def apply_definitions(self) -> int:
        """Apply all presets and services; returns the resulting generation."""
        generation = 0
        for preset in self.description.presets:
            generation = await self.operator.apply_preset(preset.to_message())
        for service in self.description.services:
            generation = await self.apply_service(service.definition.name)
        return generation

    async def apply_service(self, name: str, **changes: Any) -> int:
        """Apply a service with its loopback address; returns the generation."""
        definition = self.plan.get_service(name).definition
        host, _, port = self.get_address(name).rpartition(":")
        loopback_address = {"address": host, "port": int(port)}
        changed = definition.model_copy(update={**changes, **loopback_address})
        return await self.operator.apply_service(changed.to_message())

    async def use_preset(self, name: str) -> int:
        """Activate a preset and wait until it is applied; returns the generation."""
        generation = await self.operator.use_preset(name)
        await self.wait_ready(generation)
        return generation

    async def wait_ready(
        self, generation: int = 0, timeout_s: float = READY_TIMEOUT_S
    ) -> admin_pb2.Status:
        """Wait until every running member is live at `generation` or later.

        Raises TimeoutError that names the members that are not.
        """
        missing: list[str] = []
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    status = await self.find_status()
                    missing = self.find_missing(status, generation)
                    if not missing:
                        return status
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            text = f"not live at generation {generation}: {', '.join(missing)}"
            raise TimeoutError(text) from None

    async def find_status(self) -> admin_pb2.Status:
        """Return the status, or an empty one if no controller answers."""
        try:
            return await self.operator.get_status()
        except ConnectionError:
            return admin_pb2.Status()

    def find_missing(self, status: admin_pb2.Status, generation: int) -> list[str]:
        """Return the running members that are not live at `generation` or later."""
        ready = {
            member.name
            for member in status.members
            if member.state in LIVE_STATES and member.generation >= generation
        }
        members = (*self.plan.balancers, *self.plan.endpoints)
        running = [name for name in members if self.get_process(name).alive]
        return [name for name in running if name not in ready]

    async def dump(self, name: str) -> Any:
        """Return the state dump of a controller, balancer or agent."""
        host = self.plan.list_hosts()[name]
        return await self.operator.dump(host.control_address)

    def list_runs(self) -> list[Run]:
        """Return the runs of all backend servers in order of their start times."""
        endpoints = self.plan.endpoints.values()
        return read_journals(endpoint.config.journal for endpoint in endpoints)
