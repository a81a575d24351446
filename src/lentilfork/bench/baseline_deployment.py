"""A deployment with the balancers and agents of a baseline.

Fabric, backend servers, addresses and callers are the same, so that the results can be
compared. There are no controllers: the launcher sends the list of agents to one
balancer after another with a pause, because in production updates do not reach all
balancers at the same time either.
"""

import asyncio
import contextlib
from pathlib import Path
from typing import Any
from typing import Final

from lentilfork.bench.baselines import BaselineAgentConfig
from lentilfork.bench.baselines import BaselineBalancerConfig
from lentilfork.bench.baselines import Method
from lentilfork.bench.deployment import READY_TIMEOUT_S
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.plan import Endpoint
from lentilfork.bench.plan import Host
from lentilfork.bench.processes import Process
from lentilfork.schema import admin_pb2

__all__ = ["BaselineDeployment"]

BASELINES_MODULE: Final = "lentilfork.bench.baselines"
# Pause between the updates of two balancers.
UPDATE_PAUSE_S: Final = 0.5


class BaselineDeployment(Deployment):
    """A deployment whose balancers and agents are those of a baseline."""

    method: Method
    # Agents that accept no new work.
    draining: set[str]

    def __init__(
        self, description: DeploymentDescription, folder: Path, method: Method
    ) -> None:
        super().__init__(description, folder)
        self.method = method
        self.draining = set()

    async def start_controllers(self) -> None:
        """Start nothing."""

    async def apply_definitions(self) -> int:
        """Apply nothing; returns generation 0."""
        return 0

    async def use_preset(self, name: str) -> int:
        """Change nothing: a baseline has no presets."""
        return 0

    def add_balancer_process(self, host: Host) -> Process:
        """Return the process of a balancer, not started."""
        config = BaselineBalancerConfig(
            packet_address=host.packet_address, method=self.method
        )
        path = self.write_file(f"{host.name}.json", config.model_dump(mode="json"))
        return self.group.add(host.name, "-m", BASELINES_MODULE, "balancer", path)

    def add_agent_process(self, endpoint: Endpoint) -> Process:
        """Return the process of an agent, not started."""
        definition = self.plan.get_service(endpoint.service).definition
        config = BaselineAgentConfig(
            packet_address=endpoint.agent.packet_address,
            return_address=self.plan.return_address,
            backend_server=endpoint.config.address,
            slots=endpoint.config.slots,
            long_paths=definition.long_paths,
        )
        name = endpoint.agent.name
        path = self.write_file(f"{name}.json", config.model_dump(mode="json"))
        return self.group.add(name, "-m", BASELINES_MODULE, "agent", path)

    async def set_behaviour(self, endpoint: str, **change: Any) -> None:
        """Change a backend server; a draining one is removed from the balancers."""
        await super().set_behaviour(endpoint, **change)
        if change.get("draining"):
            self.draining.add(endpoint)
            await self.notify_balancers()

    async def wait_ready(
        self, generation: int = 0, timeout_s: float = READY_TIMEOUT_S
    ) -> admin_pb2.Status:
        """Send the agents to all balancers; there is no status to wait for."""
        await self.notify_balancers()
        return admin_pb2.Status()

    def list_agents(self) -> dict[str, list[str]]:
        """Return packet addresses of agents that accept work, by service address."""
        return {
            address: [
                endpoint.agent.packet_address
                for name, endpoint in self.plan.endpoints.items()
                if endpoint.service == service
                and name not in self.draining
                and self.get_process(name).alive
            ]
            for service, address in self.plan.services.items()
        }

    async def notify_balancers(self) -> None:
        """Send the list of agents to each balancer, with pauses between them."""
        for name in list(self.plan.balancers):
            # A balancer that has exited needs no list.
            with contextlib.suppress(RuntimeError):
                await self.get_process(name).send_control(self.list_agents())
            await asyncio.sleep(UPDATE_PAUSE_S)
