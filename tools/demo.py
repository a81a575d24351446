"""Run one deployment of today on this machine for a short time, and judge it.

Starts the real processes on loopback addresses, drives callers of all kinds
through them and, while they run, drains a backend server, kills a balancer and
switches the preset. Ends with a table for each service and the line

    demo: S sent, C complete, B broken, W wrong, D doubled

Exits with 0 only where nothing was broken, wrong or doubled, and nobody was told
"not run" about a request that the backend servers' journals show as run.
"""

import argparse
import asyncio
import contextlib
import logging
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from typing import Final

from lentilfork.bench.callers import Caller
from lentilfork.bench.callers import Target
from lentilfork.bench.callers import run_caller
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.description import load_description
from lentilfork.bench.journals import count_doubled
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.outcomes import find_changes_lost
from lentilfork.bench.outcomes import find_changes_run_untold
from lentilfork.bench.workload import WORKLOADS
from lentilfork.bench.workload import Kind
from lentilfork.bench.workload import Template

EXAMPLES: Final = Path(__file__).resolve().parent.parent / "examples"
SEED: Final = 20_261_204
# Callers of each kind, and the mean pause of each between two requests.
CALLERS: Final = {Kind.LOOKUP: 24, Kind.CHANGE: 16, Kind.DOWNLOAD: 6}
HEADER: Final = (
    "kind", "sent", "complete", "not run", "unknown", "failed", "restart", "broken",
    "wrong", "p50 ms", "p99 ms",
)  # fmt: skip
MEAN_PAUSES_S: Final = {Kind.LOOKUP: 0.3, Kind.CHANGE: 0.3, Kind.DOWNLOAD: 0.5}
# The fabric goes on sending to a dead balancer for this long.
FABRIC_LAG_S: Final = 1.0
STEP_PAUSE_S: Final = 3.0
LAST_PAUSE_S: Final = 4.0
STOP_TIMEOUT_S: Final = 20.0
PROGRESS_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """The figures of the last line."""

    sent: int
    complete: int
    broken: int
    wrong: int
    doubled: int

    @property
    def good(self) -> bool:
        """Whether every promise held."""
        return self.broken == self.wrong == self.doubled == 0

    def __str__(self) -> str:
        return (
            f"demo: {self.sent} sent, {self.complete} complete, "
            f"{self.broken} broken, {self.wrong} wrong, {self.doubled} doubled"
        )


class Demo:
    """One run of the demo."""

    deployment: Deployment
    templates: tuple[Template, ...]
    callers: list[Caller]
    records: list[Record]
    # Ends the callers after the request they are at.
    stopped: asyncio.Event
    began: float

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.templates = WORKLOADS[deployment.description.name]
        self.callers = []
        self.records = []
        self.stopped = asyncio.Event()
        self.began = time.monotonic()

    def say(self, text: str) -> None:
        """Print a line of progress."""
        print(f"[{time.monotonic() - self.began:5.1f} s] {text}", flush=True)

    async def run(self) -> Verdict:
        """Drive callers through the deployment while it changes."""
        self.say(f"starting {self.deployment.description.name}")
        async with self.deployment:
            self.say(f"{len(self.deployment.group.processes)} processes are ready")
            progress = asyncio.create_task(self.show_progress())
            running = [asyncio.create_task(task) for task in await self.open_callers()]
            try:
                await self.make_trouble()
            finally:
                self.stopped.set()
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await asyncio.gather(*running)
                progress.cancel()
                await asyncio.gather(*(caller.close() for caller in self.callers))
            return self.judge()

    async def open_callers(self) -> list[Coroutine[Any, Any, None]]:
        """Open all callers; returns what each is to run."""
        targets = {
            service.definition.name: Target(
                self.deployment.get_address(service.definition.name),
                service.definition.deadline_ms / 1000,
                service.long_content_bytes,
            )
            for service in self.deployment.description.services
        }
        tasks: list[Coroutine[Any, Any, None]] = []
        for template in self.templates:
            for number in range(CALLERS[template.kind]):
                name = f"{template.kind.value}-{number}"
                caller = await Caller.open(name, targets)
                self.callers.append(caller)
                pause_s = MEAN_PAUSES_S[template.kind]
                tasks.append(
                    run_caller(
                        caller, [template], self.records, self.stopped, pause_s, SEED
                    )
                )
        return tasks

    async def make_trouble(self) -> None:
        """Drain a backend server, kill a balancer and switch the preset."""
        await asyncio.sleep(STEP_PAUSE_S)
        await self.drain_endpoint(f"{self.templates[0].service}-2")
        await asyncio.sleep(STEP_PAUSE_S)
        await self.kill_balancer("entry-2")
        await asyncio.sleep(STEP_PAUSE_S)
        await self.switch_preset("peak")
        await asyncio.sleep(STEP_PAUSE_S)
        await self.switch_preset("ordinary-day")
        await asyncio.sleep(LAST_PAUSE_S)

    async def drain_endpoint(self, agent: str) -> None:
        """Take a backend server out of service; it ends with its work done."""
        self.say(f"draining the backend server of {agent}")
        await self.deployment.set_behaviour(agent, draining=True)
        await asyncio.sleep(STEP_PAUSE_S)
        process = self.deployment.get_process(agent)
        process.terminate()
        code = await process.wait_exit(STOP_TIMEOUT_S)
        self.deployment.get_process(f"server-{agent}").terminate()
        self.say(f"{agent} has left with exit code {code}")

    async def kill_balancer(self, name: str) -> None:
        """Kill a balancer; the fabric notices a little later."""
        self.say(f"killing balancer {name}")
        self.deployment.get_process(name).kill()
        await asyncio.sleep(FABRIC_LAG_S)
        await self.deployment.spray(name, enabled=False)

    async def switch_preset(self, name: str) -> None:
        """Switch the preset and wait until it is in force everywhere."""
        generation = await self.deployment.operator.use_preset(name)
        await self.deployment.wait_ready(generation)
        self.say(f"preset {name} is in force everywhere, generation {generation}")

    async def show_progress(self) -> None:
        """Print how many requests have ended, every few seconds."""
        while True:
            await asyncio.sleep(PROGRESS_S)
            counts = Counter(record.outcome.value for record in self.records)
            text = ", ".join(
                f"{count} {name}" for name, count in sorted(counts.items())
            )
            self.say(f"requests ended: {text or 'none yet'}")

    def judge(self) -> Verdict:
        """Print the tables and return the figures of the last line."""
        runs = self.deployment.list_runs()
        for service in self.deployment.plan.services:
            self.print_table(service)
        false_answers = {
            "told not run, but ran": find_changes_run_untold(self.records, runs),
            "answered, but never ran": find_changes_lost(self.records, runs),
        }
        for text, records in false_answers.items():
            for record in records:
                print(f"{text}: {record}")
        bad = (Outcome.BROKEN, Outcome.WRONG, Outcome.FAILED, Outcome.UNKNOWN)
        for record in self.records:
            if record.outcome in bad or record.restarts:
                print(f"{record.outcome.value}: {record}")
        outcomes = Counter(record.outcome for record in self.records)
        return Verdict(
            sent=len(self.records),
            complete=outcomes[Outcome.COMPLETE],
            # Nothing here changes content, so no flow has cause to start anew.
            broken=sum(is_broken(record) for record in self.records),
            wrong=outcomes[Outcome.WRONG] + sum(map(len, false_answers.values())),
            doubled=count_doubled(runs),
        )

    def print_table(self, service: str) -> None:
        """Print one line for each kind of request to a service."""
        print(f"\n{service}")
        print("".join(f"{title:>10}" for title in HEADER))
        for kind in Kind:
            chosen = [
                record
                for record in self.records
                if record.request.service == service and record.request.kind is kind
            ]
            if chosen:
                print("".join(f"{cell:>10}" for cell in make_row(kind, chosen)))


def is_broken(record: Record) -> bool:
    """Tell whether a flow was cut, left without an answer or had to start anew."""
    return record.outcome in (Outcome.BROKEN, Outcome.RESTART) or record.restarts > 0


def make_row(kind: Kind, records: list[Record]) -> list[str]:
    """Return the cells of one line of a table."""
    counts = Counter(record.outcome for record in records)
    latencies = sorted(
        record.latency_s * 1000
        for record in records
        if record.outcome is Outcome.COMPLETE
    )
    columns = (
        Outcome.COMPLETE, Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.FAILED,
        Outcome.RESTART, Outcome.BROKEN, Outcome.WRONG,
    )  # fmt: skip
    counted = [str(counts[outcome]) for outcome in columns]
    shares = [f"{get_quantile(latencies, share):.0f}" for share in (0.5, 0.99)]
    return [kind.value, str(len(records)), *counted, *shares]


def get_quantile(ordered: list[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 for none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main() -> int:
    """Run the demo; returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--deployment", choices=sorted(WORKLOADS), default="guild")
    parser.add_argument("--folder", type=Path, help="keep settings, logs, journals")
    options = parser.parse_args()
    # The client library reports each late answer; outcomes are counted here.
    logging.getLogger("coap").setLevel(logging.ERROR)
    description = load_description(EXAMPLES / options.deployment / "deployment.json")
    with contextlib.ExitStack() as stack:
        folder = options.folder
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        verdict = asyncio.run(Demo(Deployment(description, folder)).run())
    print(f"\n{verdict}")
    return 0 if verdict.good else 1


if __name__ == "__main__":
    sys.exit(main())
