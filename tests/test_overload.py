"""Goodput at twice the capacity, and recovery after the burst of load."""

import asyncio
import time
from dataclasses import replace
from pathlib import Path
from statistics import mean

import pytest

from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.experiment import draw_load_trace
from lentilfork.bench.experiment import get_capacity
from lentilfork.bench.experiment import read_load_results
from lentilfork.bench.experiment import start_load_processes
from lentilfork.bench.journals import Run
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.trace import Trace
from lentilfork.bench.verdict import evaluate_run
from lentilfork.bench.workload import Kind
from tests.deployments import SEED
from tests.deployments import load_example
from tests.deployments import open_deployment

pytestmark = pytest.mark.deployment

# Slow enough that the machine does not limit the throughput.
SERVICE_TIME_MS = 120.0
BURST_S = 12.0
WARM_UP_S = 3.0
LOW_LOAD_S = 12.0
RECOVERY_S = 5.0
START_DELAY_S = 3.0
EXIT_TIMEOUT_S = 60.0
GOODPUT_SHARE = 0.9
SERVERS = "server-warnings-"


def make_description() -> DeploymentDescription:
    example = load_example("guild")
    warnings = example.services[0].model_copy(
        update={"service_time_ms": SERVICE_TIME_MS, "distribution": "fixed"}
    )
    services = (warnings, *example.services[1:])
    return example.model_copy(update={"services": services})


def make_burst(description: DeploymentDescription) -> Trace:
    burst = draw_load_trace(description, 2.0, BURST_S, SEED, [])
    low_load = draw_load_trace(description, 0.5, LOW_LOAD_S, SEED + 1, [])
    later = [
        replace(arrival, at_s=arrival.at_s + BURST_S) for arrival in low_load.arrivals
    ]
    arrivals = [
        replace(arrival, work=1.0)
        for arrival in (*burst.arrivals, *later)
        if arrival.request.kind is not Kind.DOWNLOAD
    ]
    return Trace(description.name, SEED, BURST_S + LOW_LOAD_S, arrivals)


async def replay_burst(
    folder: Path, repeats: int
) -> tuple[list[Record], list[Run], float]:
    """Return the callers' records, the servers' runs and the Unix time of the start."""
    description = make_description()
    trace = make_burst(description)
    async with open_deployment(description, folder) as deployment:
        started_at = time.time() + START_DELAY_S
        loads = start_load_processes(deployment, trace, started_at, repeats)
        await asyncio.sleep(START_DELAY_S + trace.duration_s)
        for process, _ in loads:
            await process.wait_exit(EXIT_TIMEOUT_S)
        records, _ = read_load_results([path for _, path in loads])
        runs = deployment.list_runs()
        verdict = evaluate_run(records, runs)
    assert (verdict.wrong, verdict.doubled) == (0, 0), verdict
    return records, runs, started_at


def measure_capacity(runs: list[Run], started_at: float) -> float:
    """Return how many requests a second the slots of the warning servers could run.

    On a busy machine the simulated servers occupy a slot for longer than the service
    time, so the time that their journals show counts, if it is longer.
    """
    service = make_description().services[0]
    durations_s: dict[str, list[float]] = {}
    for run in runs:
        in_burst = WARM_UP_S <= run.started - started_at < BURST_S
        if in_burst and run.ended is not None and run.server.startswith(SERVERS):
            durations_s.setdefault(run.server, []).append(run.ended - run.started)
    assert len(durations_s) == service.endpoints
    measured = sum(service.slots / mean(times) for times in durations_s.values())
    return min(get_capacity(service, Kind.LOOKUP), measured)


def check_goodput(records: list[Record], runs: list[Run], started_at: float) -> None:
    # Every complete request was answered within the caller's timeout. A request that
    # was answered "not run" and sent again counts as a new request.
    completed_at = [
        record.started + record.latency_s - started_at
        for record in records
        if record.outcome is Outcome.COMPLETE
    ]
    answered = [at_s for at_s in completed_at if WARM_UP_S <= at_s < BURST_S]
    capacity = measure_capacity(runs, started_at)
    goodput = len(answered) / (BURST_S - WARM_UP_S)
    print(f"goodput {goodput:.0f}/s of {capacity:.0f}/s")
    assert goodput >= GOODPUT_SHARE * capacity


async def test_burst_of_callers_that_give_up_leaves_no_trace(tmp_path: Path) -> None:
    records, runs, started_at = await replay_burst(tmp_path, repeats=0)
    check_goodput(records, runs, started_at)
    after = [
        record
        for record in records
        if record.started - started_at > BURST_S + RECOVERY_S
    ]
    assert len(after) > 50
    assert {record.outcome for record in after} == {Outcome.COMPLETE}


async def test_callers_that_come_back_do_not_lower_goodput(tmp_path: Path) -> None:
    records, runs, started_at = await replay_burst(tmp_path, repeats=5)
    check_goodput(records, runs, started_at)
