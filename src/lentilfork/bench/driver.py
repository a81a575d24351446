"""Applies the planned changes and faults of a trace to a deployment on schedule."""

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

from lentilfork.bench.deployment import Deployment
from lentilfork.bench.trace import Fault

__all__ = ["FaultDriver"]

# Time for which the fabric keeps sending to a killed balancer.
FABRIC_UPDATE_DELAY_S: Final = 1.0
# Time between draining a backend server and stopping its agent.
DRAIN_WAIT_S: Final = 4.0
EXIT_TIMEOUT_S: Final = 40.0


class FaultDriver:
    """Applies faults; the actions have the names used in traces."""

    deployment: Deployment
    actions: dict[str, Callable[[str], Awaitable[None]]]

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.actions = {
            "drain": self.drain,
            "add": self.add,
            "kill": self.kill,
            "kill_balancer": self.kill_balancer,
            "replace_balancer": self.replace_balancer,
            "use_preset": self.use_preset,
        }

    async def run(self, faults: Iterable[Fault], started_at: float) -> None:
        """Apply each fault `at_s` seconds after the monotonic time `started_at`."""
        async with asyncio.TaskGroup() as group:
            for fault in sorted(faults, key=lambda fault: fault.at_s):
                await asyncio.sleep(
                    max(0.0, started_at + fault.at_s - time.monotonic())
                )
                group.create_task(self.apply(fault))

    async def apply(self, fault: Fault) -> None:
        """Apply one fault; raises KeyError for an unknown action."""
        await self.actions[fault.action](fault.target)

    async def drain(self, agent: str) -> None:
        """Drain a backend server, then stop it and its agent."""
        await self.deployment.set_behaviour(agent, draining=True)
        await asyncio.sleep(DRAIN_WAIT_S)
        process = self.deployment.get_process(agent)
        process.terminate()
        await process.wait_exit(EXIT_TIMEOUT_S)
        self.deployment.get_process(f"server-{agent}").terminate()

    async def add(self, service: str) -> None:
        """Start one more backend server with its agent."""
        await self.deployment.start_endpoint(service)
        await self.deployment.wait_ready()

    async def kill(self, name: str) -> None:
        """Kill the process with this name."""
        self.deployment.get_process(name).kill()

    async def kill_balancer(self, name: str) -> None:
        """Kill a balancer; the fabric stops using it after `FABRIC_UPDATE_DELAY_S`."""
        self.deployment.get_process(name).kill()
        await asyncio.sleep(FABRIC_UPDATE_DELAY_S)
        await self.deployment.set_balancer_enabled(name, enabled=False)

    async def replace_balancer(self, name: str) -> None:
        """Start a new balancer, then stop an old one."""
        self.deployment.start_balancer()
        await self.deployment.wait_ready()
        await self.deployment.set_balancer_enabled(name, enabled=False)
        process = self.deployment.get_process(name)
        process.terminate()
        await process.wait_exit(EXIT_TIMEOUT_S)

    async def use_preset(self, name: str) -> None:
        """Activate a preset and wait until it is applied."""
        await self.deployment.use_preset(name)
