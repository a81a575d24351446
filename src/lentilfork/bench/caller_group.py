"""Many concurrent callers that generate load on one deployment."""

import asyncio
from collections.abc import Mapping
from types import TracebackType
from typing import Final
from typing import Self

from lentilfork.bench.callers import Caller
from lentilfork.bench.callers import Target
from lentilfork.bench.callers import run_caller
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.outcomes import Record
from lentilfork.bench.workload import WORKLOADS
from lentilfork.bench.workload import Kind
from lentilfork.bench.workload import Template

__all__ = ["CallerGroup", "list_targets"]

STOP_TIMEOUT_S: Final = 60.0


def list_targets(deployment: Deployment) -> dict[str, Target]:
    """Return the services of a deployment, by name, as targets of callers."""
    return {
        service.definition.name: Target(
            deployment.get_address(service.definition.name),
            service.definition.deadline_ms / 1000,
            service.long_content_bytes,
        )
        for service in deployment.description.services
    }


class CallerGroup:
    """Concurrent callers of all request kinds, which send from `start` to `stop`."""

    targets: Mapping[str, Target]
    templates: tuple[Template, ...]
    # Number of callers per kind, and their mean pause between two requests.
    caller_counts: Mapping[Kind, int]
    mean_pauses_s: Mapping[Kind, float]
    seed: int
    callers: list[Caller]
    # Completed requests, in the order of completion.
    records: list[Record]
    # Set to stop each caller after its current request.
    stopped: asyncio.Event
    tasks: list[asyncio.Task[None]]

    def __init__(
        self,
        deployment: Deployment,
        caller_counts: Mapping[Kind, int],
        mean_pauses_s: Mapping[Kind, float],
        seed: int,
    ) -> None:
        self.targets = list_targets(deployment)
        self.templates = WORKLOADS[deployment.description.name]
        self.caller_counts = caller_counts
        self.mean_pauses_s = mean_pauses_s
        self.seed = seed
        self.callers = []
        self.records = []
        self.stopped = asyncio.Event()
        self.tasks = []

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.stop()

    async def start(self) -> None:
        """Open all callers and start sending requests."""
        for template in self.templates:
            for number in range(self.caller_counts.get(template.kind, 0)):
                name = f"{template.kind.value}-{number}"
                await self.start_caller(name, template)

    async def start_caller(self, name: str, template: Template) -> None:
        """Open one caller that sends requests of one template."""
        caller = await Caller.open(name, self.targets)
        self.callers.append(caller)
        work = run_caller(
            caller,
            [template],
            self.records,
            self.stopped,
            self.mean_pauses_s[template.kind],
            self.seed,
        )
        self.tasks.append(asyncio.create_task(work, name=name))

    async def stop(self) -> list[Record]:
        """Wait until each caller has completed its request; returns all records."""
        self.stopped.set()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await asyncio.gather(*self.tasks)
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*(caller.close() for caller in self.callers))
            self.callers.clear()
        return self.records
