"""Run one example deployment on this machine for a short time and check its answers.

Starts the real processes on loopback addresses and sends requests of all kinds
through them. During the run it drains a backend server, kills a balancer and switches
the preset. Prints a table for each service and then the line

    demo: S sent, C complete, B broken, W wrong, D doubled

The exit code is 0 only if no request was broken, wrong or doubled. Doubled requests
are counted from the journals of the backend servers. A request counts as wrong if it
was answered "not run" but a journal lists it, or if a drained backend server ran it
as new work.
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
from lentilfork.bench.verdict import evaluate_run
from lentilfork.bench.verdict import is_broken
from lentilfork.bench.workload import WORKLOADS
from lentilfork.bench.workload import Kind

EXAMPLES: Final = Path(__file__).resolve().parent.parent / "examples"
SEED: Final = 20_261_204
# Number of callers of each kind, and the mean pause of a caller between requests.
CALLERS: Final = {Kind.LOOKUP: 24, Kind.CHANGE: 16, Kind.DOWNLOAD: 6}
MEAN_PAUSES_S: Final = {Kind.LOOKUP: 0.3, Kind.CHANGE: 0.3, Kind.DOWNLOAD: 0.5}
# Time for which the fabric still sends packets to a killed balancer.
FABRIC_UPDATE_DELAY_S: Final = 1.0
# Time for which a draining backend server may still receive new work.
NEW_WORK_GRACE_S: Final = 3.0
STEP_PAUSE_S: Final = 3.0
LAST_PAUSE_S: Final = 4.0
EXIT_TIMEOUT_S: Final = 20.0
PROGRESS_INTERVAL_S: Final = 2.0
# Maximum number of unexpected records and runs that are printed at the end.
MAXIMUM_SHOWN: Final = 20
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
    # Time of the start on the monotonic clock.
    started_s: float
    # Unix time after which a drained backend server must get no new work, by name.
    no_new_work_after: dict[str, float]

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.caller_group = CallerGroup(deployment, CALLERS, MEAN_PAUSES_S, SEED)
        self.started_s = time.monotonic()
        self.no_new_work_after = {}

    def print_progress(self, text: str) -> None:
        """Print a line of progress with the time since the start."""
        print(f"[{time.monotonic() - self.started_s:5.1f} s] {text}", flush=True)

    async def run(self) -> Verdict:
        """Start the deployment, run callers during the disruptions and check them."""
        self.print_progress(f"starting {self.deployment.description.name}")
        async with self.deployment:
            self.print_progress(
                f"{len(self.deployment.group.processes)} processes are ready"
            )
            count_printer = asyncio.create_task(self.print_counts_periodically())
            async with self.caller_group:
                await self.run_disruptions()
            count_printer.cancel()
            return self.evaluate()

    async def run_disruptions(self) -> None:
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
        """Drain a backend server, then stop its agent and the server itself."""
        self.print_progress(f"draining the backend server of {agent}")
        await self.deployment.set_behaviour(agent, draining=True)
        self.no_new_work_after[f"server-{agent}"] = time.time() + NEW_WORK_GRACE_S
        await asyncio.sleep(NEW_WORK_GRACE_S + 1)
        process = self.deployment.get_process(agent)
        process.terminate()
        code = await process.wait_exit(EXIT_TIMEOUT_S)
        self.deployment.get_process(f"server-{agent}").terminate()
        self.print_progress(f"{agent} has left with exit code {code}")

    async def kill_balancer(self, name: str) -> None:
        """Kill a balancer and remove it from the fabric after FABRIC_UPDATE_DELAY_S."""
        self.print_progress(f"killing balancer {name}")
        self.deployment.get_process(name).kill()
        await asyncio.sleep(FABRIC_UPDATE_DELAY_S)
        await self.deployment.set_balancer_enabled(name, enabled=False)

    async def switch_preset(self, name: str) -> None:
        """Switch the preset and wait until every process has applied it."""
        generation = await self.deployment.use_preset(name)
        self.print_progress(
            f"preset {name} is applied everywhere, generation {generation}"
        )

    async def print_counts_periodically(self) -> None:
        """Print the number of ended requests by outcome at regular intervals."""
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            counts = Counter(
                record.outcome.value for record in self.caller_group.records
            )
            text = ", ".join(
                f"{count} {name}" for name, count in sorted(counts.items())
            )
            self.print_progress(f"requests ended: {text or 'none yet'}")

    def evaluate(self) -> Verdict:
        """Print the tables and the unexpected records; return the verdict."""
        records, runs = self.caller_group.records, self.deployment.list_runs()
        for service in self.deployment.plan.services:
            print_table(service, [r for r in records if r.request.service == service])
        verdict = evaluate_run(records, runs)
        misplaced = [run for run in runs if self.is_misplaced(run)]
        print_unexpected(records, verdict, misplaced)
        return replace(verdict, wrong=verdict.wrong + len(misplaced))

    def is_misplaced(self, run: Run) -> bool:
        """Return whether a run was new work on a drained backend server."""
        return run.started > self.no_new_work_after.get(run.server, float("inf"))


def print_unexpected(
    records: Iterable[Record], verdict: Verdict, misplaced: Iterable[Run]
) -> None:
    """Print unexpected records and runs, at most MAXIMUM_SHOWN of them."""
    unexpected = [
        *(f"contradicted by a journal: {record}" for record in verdict.contradicted),
        *(f"run on a drained backend server: {run}" for run in misplaced),
        *(
            f"{record.outcome.value}: {record}"
            for record in records
            if record.outcome is not Outcome.COMPLETE or is_broken(record)
        ),
    ]
    for text in unexpected[:MAXIMUM_SHOWN]:
        print(text)
    if len(unexpected) > MAXIMUM_SHOWN:
        print(f"and {len(unexpected) - MAXIMUM_SHOWN} more")


def print_table(service: str, records: list[Record]) -> None:
    """Print a table with one row for each kind of request to a service."""
    headings = [
        "kind",
        "sent",
        *(column.value for column in COLUMNS),
        "p50 ms",
        "p99 ms",
    ]
    kinds = {kind: [r for r in records if r.request.kind is kind] for kind in Kind}
    rows = [
        make_row(kind, kind_records)
        for kind, kind_records in kinds.items()
        if kind_records
    ]
    print(f"\n{service}")
    for row in [headings, *rows]:
        print("".join(cell.rjust(CELL_WIDTH) for cell in row))


def make_row(kind: Kind, records: list[Record]) -> list[str]:
    """Return the cells of one row of a table."""
    counts = Counter(record.outcome for record in records)
    latencies = sorted(
        record.latency_s * 1000
        for record in records
        if record.outcome is Outcome.COMPLETE
    )
    outcome_cells = [str(counts[outcome]) for outcome in COLUMNS]
    latency_cells = [
        f"{compute_quantile(latencies, share):.0f}" for share in (0.5, 0.99)
    ]
    return [kind.value, str(len(records)), *outcome_cells, *latency_cells]


def compute_quantile(sorted_values: list[float], share: float) -> float:
    """Return the quantile of sorted values at a share from 0 to 1; 0 if empty."""
    if not sorted_values:
        return 0.0
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


def main() -> int:
    """Run the demo; return its exit code."""
    parser = argparse.ArgumentParser(description="Run a deployment and check it.")
    parser.add_argument("--deployment", choices=sorted(WORKLOADS), default="guild")
    parser.add_argument("--folder", type=Path, help="keep settings, logs, journals")
    options = parser.parse_args()
    # The client library logs each late answer, which the records count already.
    logging.getLogger("coap").setLevel(logging.CRITICAL)
    description = load_description(EXAMPLES / options.deployment / "deployment.json")
    with contextlib.ExitStack() as stack:
        folder = options.folder
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        verdict = asyncio.run(Demo(Deployment(description, folder)).run())
    print(f"\ndemo: {verdict}")
    return 0 if verdict.passed else 1


if __name__ == "__main__":
    sys.exit(main())
