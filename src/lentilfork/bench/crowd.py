"""Many callers of all kinds, driving one deployment at the same time."""

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

__all__ = ["Crowd", "list_targets"]

STOP_TIMEOUT_S: Final = 60.0


def list_targets(deployment: Deployment) -> dict[str, Target]:
    """Return the services of a deployment as their callers know them."""
    return {
        service.definition.name: Target(
            deployment.get_address(service.definition.name),
            service.definition.deadline_ms / 1000,
            service.long_content_bytes,
        )
        for service in deployment.description.services
    }


class Crowd:
    """Callers of all kinds, from `start` to `stop`."""

    targets: Mapping[str, Target]
    templates: tuple[Template, ...]
    # Callers of each kind, and the mean pause of each between two requests.
    numbers: Mapping[Kind, int]
    pauses_s: Mapping[Kind, float]
    seed: int
    callers: list[Caller]
    # Requests that have ended, by the time of their end.
    records: list[Record]
    # Ends each caller after the request it is at.
    stopped: asyncio.Event
    tasks: list[asyncio.Task[None]]

    def __init__(
        self,
        deployment: Deployment,
        numbers: Mapping[Kind, int],
        pauses_s: Mapping[Kind, float],
        seed: int,
    ) -> None:
        self.targets = list_targets(deployment)
        self.templates = WORKLOADS[deployment.description.name]
        self.numbers = numbers
        self.pauses_s = pauses_s
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
        """Open all callers and let them ask."""
        for template in self.templates:
            for number in range(self.numbers.get(template.kind, 0)):
                name = f"{template.kind.value}-{number}"
                await self.start_caller(name, template)

    async def start_caller(self, name: str, template: Template) -> None:
        """Open one caller that asks for one kind of thing."""
        caller = await Caller.open(name, self.targets)
        self.callers.append(caller)
        work = run_caller(
            caller,
            [template],
            self.records,
            self.stopped,
            self.pauses_s[template.kind],
            self.seed,
        )
        self.tasks.append(asyncio.create_task(work, name=name))

    async def stop(self) -> list[Record]:
        """Let each caller end its last request; returns all records."""
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
