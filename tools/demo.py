"""Run one deployment of today on this machine for a short time, and judge it.

Starts the real processes on loopback addresses, drives callers of all kinds
through them and, while they run, drains a backend server, kills a balancer and
switches the preset. Ends with a table for each service and the line

    demo: S sent, C complete, B broken, W wrong, D doubled

Exits with 0 only where nothing was broken, wrong or doubled. Doubled requests are
counted in the backend servers' journals; a request told "not run" that stands
there as run, or new work on the drained backend server, counts as wrong.
"""

import argparse
import asyncio
import contextlib
import logging
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
from typing import Final

from lentilfork.bench.caller_group import CallerGroup
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.description import load_description
from lentilfork.bench.journals import Run
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.verdict import Verdict
from lentilfork.bench.verdict import is_broken
from lentilfork.bench.verdict import judge_run
from lentilfork.bench.workload import WORKLOADS
from lentilfork.bench.workload import Kind

EXAMPLES: Final = Path(__file__).resolve().parent.parent / "examples"
SEED: Final = 20_261_204
# Callers of each kind, and the mean pause of each between two requests.
CALLERS: Final = {Kind.LOOKUP: 24, Kind.CHANGE: 16, Kind.DOWNLOAD: 6}
MEAN_PAUSES_S: Final = {Kind.LOOKUP: 0.3, Kind.CHANGE: 0.3, Kind.DOWNLOAD: 0.5}
# The fabric goes on sending to a dead balancer for this long.
FABRIC_LAG_S: Final = 1.0
# A leaving backend server may get new work for this long.
NEW_WORK_S: Final = 3.0
STEP_PAUSE_S: Final = 3.0
LAST_PAUSE_S: Final = 4.0
EXIT_TIMEOUT_S: Final = 20.0
PROGRESS_S: Final = 2.0
# Records of requests that did not complete, shown at the end.
SHOWN: Final = 20
COLUMNS: Final = (
    Outcome.COMPLETE,
    Outcome.NOT_RUN,
    Outcome.UNKNOWN,
    Outcome.FAILED,
    Outcome.RESTART,
    Outcome.BROKEN,
    Outcome.WRONG,
)
CELL_WIDTH: Final = 10


class Demo:
    """One run of the demo."""

    deployment: Deployment
    caller_group: CallerGroup
    began: float
    # Unix time from which on a drained backend server gets no new work, by name.
    drained: dict[str, float]

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.caller_group = CallerGroup(deployment, CALLERS, MEAN_PAUSES_S, SEED)
        self.began = time.monotonic()
        self.drained = {}

    def say(self, text: str) -> None:
        """Print a line of progress."""
        print(f"[{time.monotonic() - self.began:5.1f} s] {text}", flush=True)

    async def run(self) -> Verdict:
        """Drive callers through the deployment while it changes."""
        self.say(f"starting {self.deployment.description.name}")
        async with self.deployment:
            self.say(f"{len(self.deployment.group.processes)} processes are ready")
            progress = asyncio.create_task(self.show_progress())
            async with self.caller_group:
                await self.make_trouble()
            progress.cancel()
            return self.judge()

    async def make_trouble(self) -> None:
        """Drain a backend server, kill a balancer and switch the preset."""
        await asyncio.sleep(STEP_PAUSE_S)
        await self.drain_endpoint(f"{self.caller_group.templates[0].service}-2")
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
        self.drained[f"server-{agent}"] = time.time() + NEW_WORK_S
        await asyncio.sleep(NEW_WORK_S + 1)
        process = self.deployment.get_process(agent)
        process.terminate()
        code = await process.wait_exit(EXIT_TIMEOUT_S)
        self.deployment.get_process(f"server-{agent}").terminate()
        self.say(f"{agent} has left with exit code {code}")

    async def kill_balancer(self, name: str) -> None:
        """Kill a balancer; the fabric notices a little later."""
        self.say(f"killing balancer {name}")
        self.deployment.get_process(name).kill()
        await asyncio.sleep(FABRIC_LAG_S)
        await self.deployment.set_balancer_enabled(name, enabled=False)

    async def switch_preset(self, name: str) -> None:
        """Switch the preset and wait until it is in force everywhere."""
        generation = await self.deployment.use_preset(name)
        self.say(f"preset {name} is in force everywhere, generation {generation}")

    async def show_progress(self) -> None:
        """Print how many requests have ended, every few seconds."""
        while True:
            await asyncio.sleep(PROGRESS_S)
            counts = Counter(
                record.outcome.value for record in self.caller_group.records
            )
            text = ", ".join(
                f"{count} {name}" for name, count in sorted(counts.items())
            )
            self.say(f"requests ended: {text or 'none yet'}")

    def judge(self) -> Verdict:
        """Print the tables and return the figures of the last line."""
        records, runs = self.caller_group.records, self.deployment.list_runs()
        for service in self.deployment.plan.services:
            print_table(service, [r for r in records if r.request.service == service])
        verdict = judge_run(records, runs)
        misplaced = [run for run in runs if self.is_misplaced(run)]
        print_oddities(records, verdict, misplaced)
        return replace(verdict, wrong=verdict.wrong + len(misplaced))

    def is_misplaced(self, run: Run) -> bool:
        """Tell whether a backend server that was leaving got new work."""
        return run.started > self.drained.get(run.server, float("inf"))


def print_oddities(
    records: Iterable[Record], verdict: Verdict, misplaced: Iterable[Run]
) -> None:
    """Print what did not go as it should, up to a bound."""
    odd = [
        *(f"contradicted by a journal: {record}" for record in verdict.contradicted),
        *(f"run on a leaving backend server: {run}" for run in misplaced),
        *(
            f"{record.outcome.value}: {record}"
            for record in records
            if record.outcome is not Outcome.COMPLETE or is_broken(record)
        ),
    ]
    for text in odd[:SHOWN]:
        print(text)
    if len(odd) > SHOWN:
        print(f"and {len(odd) - SHOWN} more")


def print_table(service: str, records: list[Record]) -> None:
    """Print one line for each kind of request to a service."""
    titles = ["kind", "sent", *(column.value for column in COLUMNS), "p50 ms", "p99 ms"]
    kinds = {kind: [r for r in records if r.request.kind is kind] for kind in Kind}
    rows = [make_row(kind, chosen) for kind, chosen in kinds.items() if chosen]
    print(f"\n{service}")
    for row in [titles, *rows]:
        print("".join(cell.rjust(CELL_WIDTH) for cell in row))


def make_row(kind: Kind, records: list[Record]) -> list[str]:
    """Return the cells of one line of a table."""
    counts = Counter(record.outcome for record in records)
    latencies = sorted(
        record.latency_s * 1000
        for record in records
        if record.outcome is Outcome.COMPLETE
    )
    counted = [str(counts[outcome]) for outcome in COLUMNS]
    shares = [f"{get_quantile(latencies, share):.0f}" for share in (0.5, 0.99)]
    return [kind.value, str(len(records)), *counted, *shares]


def get_quantile(ordered: list[float], share: float) -> float:
    """Return the value below which a share of the values lies; 0 for none."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def main() -> int:
    """Run the demo; returns its exit code."""
    parser = argparse.ArgumentParser(description="Run a deployment and judge it.")
    parser.add_argument("--deployment", choices=sorted(WORKLOADS), default="guild")
    parser.add_argument("--folder", type=Path, help="keep settings, logs, journals")
    options = parser.parse_args()
    # The client library reports each late answer; outcomes are counted here.
    logging.getLogger("coap").setLevel(logging.CRITICAL)
    description = load_description(EXAMPLES / options.deployment / "deployment.json")
    with contextlib.ExitStack() as stack:
        folder = options.folder
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        verdict = asyncio.run(Demo(Deployment(description, folder)).run())
    print(f"\ndemo: {verdict}")
    return 0 if verdict.good else 1


if __name__ == "__main__":
    sys.exit(main())
