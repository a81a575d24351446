"""Replays of one trace on lentilfork and on the baseline systems, one at a time."""

import asyncio
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Final
from typing import Literal
from typing import get_args

from lentilfork.bench.baseline_deployment import BaselineDeployment
from lentilfork.bench.caller_group import list_targets
from lentilfork.bench.callers import DEFAULT_REPEATS
from lentilfork.bench.callers import Target
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.description import ServiceDescription
from lentilfork.bench.driver import FaultDriver
from lentilfork.bench.load import LoadConfig
from lentilfork.bench.load import LoadResult
from lentilfork.bench.load import read_records
from lentilfork.bench.meter import ControlMeter
from lentilfork.bench.meter import measure_memory
from lentilfork.bench.meter import measure_processor_time
from lentilfork.bench.outcomes import Record
from lentilfork.bench.processes import Process
from lentilfork.bench.report import Report
from lentilfork.bench.report import make_report
from lentilfork.bench.trace import Fault
from lentilfork.bench.trace import Trace
from lentilfork.bench.trace import draw_trace
from lentilfork.bench.workload import WORKLOADS
from lentilfork.bench.workload import Kind
from lentilfork.bench.workload import Template

__all__ = ["SYSTEMS", "System", "draw_load_trace", "make_faults", "run_system"]

System = Literal["lentilfork", "hash", "table"]
SYSTEMS: Final[tuple[System, ...]] = get_args(System)
LOAD_PROCESSES: Final = 2
# Time from the start of the load processes to the first arrival.
START_DELAY_S: Final = 3.0
# Time allowed to each load process to exit after the last arrival.
EXIT_TIMEOUT_S: Final = 60.0
# Share of a service's capacity that the arrivals of each kind use.
CAPACITY_SHARES: Final = {Kind.LOOKUP: 2 / 3, Kind.CHANGE: 1 / 3, Kind.DOWNLOAD: 1.0}


def get_capacity(service: ServiceDescription, kind: Kind) -> float:
    """Return the number of requests of a kind that a service can run per second."""
    speeds = (
        service.speeds[number % len(service.speeds)]
        for number in range(service.endpoints)
    )
    long = kind is Kind.DOWNLOAD
    mean_ms = service.long_service_time_ms if long else service.service_time_ms
    return sum(speeds) * service.slots * 1000 / mean_ms


def draw_load_trace(
    description: DeploymentDescription,
    load: float,
    duration_s: float,
    seed: int,
    faults: list[Fault],
) -> Trace:
    """Return a random trace whose arrivals use a share of each service's capacity.

    `load` is the share, where 1.0 is the full capacity.
    """
    services = {service.definition.name: service for service in description.services}

    def get_rate(template: Template) -> float:
        capacity = get_capacity(services[template.service], template.kind)
        return load * capacity * CAPACITY_SHARES[template.kind]

    rates = [(template, get_rate(template)) for template in WORKLOADS[description.name]]
    return draw_trace(description.name, rates, duration_s, seed, faults)


def make_faults(description: DeploymentDescription, duration_s: float) -> list[Fault]:
    """Return administrative changes and one process kill, spread over a run."""
    short, long = (service.definition.name for service in description.services)
    steps = (
        ("drain", f"{short}-2"),
        ("kill_balancer", "entry-2"),
        ("drain", f"{long}-2"),
        ("use_preset", "peak"),
        ("add", short),
        ("replace_balancer", "entry-1"),
        ("use_preset", "ordinary-day"),
    )
    return [
        Fault(round(duration_s * (number + 1) / (len(steps) + 2), 3), action, target)
        for number, (action, target) in enumerate(steps)
    ]


async def run_system(
    system: System, description: DeploymentDescription, trace: Trace, folder: Path
) -> Report:
    """Replay a trace on a new deployment of a system and return the report."""
    if system in ("hash", "table"):
        baseline = BaselineDeployment(description, folder, system)
        return await replay(system, baseline, trace, None)
    meter = ControlMeter(trace.seed)
    deployment = Deployment(description, folder, meter)
    try:
        return await replay(system, deployment, trace, meter)
    finally:
        meter.close()


async def replay(
    system: str, deployment: Deployment, trace: Trace, meter: ControlMeter | None
) -> Report:
    """Replay a trace on a deployment that is not yet started; return the report."""
    async with deployment:
        initial_endpoints = set(deployment.plan.endpoints)
        start_at = time.time() + START_DELAY_S
        load_processes = start_load_processes(deployment, trace, start_at)
        await asyncio.sleep(start_at - time.time())
        before = meter.count_bytes() if meter else {}
        driver = FaultDriver(deployment)
        await driver.run(trace.faults, time.monotonic() + start_at - time.time())
        await asyncio.sleep(max(0.0, start_at + trace.duration_s - time.time()))
        after = meter.count_bytes() if meter else {}
        memory_mb = measure_memory(deployment)
        processor_s = measure_processor_time(deployment)
        for process, _ in load_processes:
            await process.wait_exit(EXIT_TIMEOUT_S)
        records, results = read_load_results([path for _, path in load_processes])
        runs = deployment.list_runs()
    drained = {fault.target for fault in trace.faults if fault.action == "drain"}
    slots = {
        endpoint.config.name: endpoint.config.slots
        for name, endpoint in deployment.plan.endpoints.items()
        if name in initial_endpoints - drained
    }
    report = make_report(
        system, deployment.description, trace, records, runs, slots, start_at
    )
    report.memory_mb = memory_mb
    report.processor_s = processor_s
    report.control_bytes_per_s = get_rates(before, after, trace.duration_s)
    report.lateness_s = max(result.lateness_s for result in results)
    report.datagrams = sum(result.counters["datagrams"] for result in results)
    return report


def get_rates(
    before: Mapping[str, int], after: Mapping[str, int], duration_s: float
) -> dict[str, float]:
    """Return the increase of each count per second."""
    return {
        name: (count - before.get(name, 0)) / duration_s
        for name, count in after.items()
    }


def start_load_processes(
    deployment: Deployment,
    trace: Trace,
    start_at: float,
    repeats: int = DEFAULT_REPEATS,
) -> list[tuple[Process, Path]]:
    """Start the load processes; return each with the path of its records file."""
    path = deployment.folder / "trace.jsonl"
    trace.write(path)
    targets: dict[str, Target] = list_targets(deployment)
    load_processes = []
    for share in range(LOAD_PROCESSES):
        records = deployment.folder / f"records-{share}.jsonl"
        config = LoadConfig(
            trace=path,
            targets=targets,
            share=share,
            shares=LOAD_PROCESSES,
            start_at=start_at,
            records=records,
            repeats=repeats,
        )
        name = f"load-{share}"
        file = deployment.write_file(f"{name}.json", config.model_dump(mode="json"))
        process = deployment.group.add(name, "-m", "lentilfork.bench.load", file)
        process.start()
        load_processes.append((process, records))
    return load_processes


def read_load_results(paths: list[Path]) -> tuple[list[Record], list[LoadResult]]:
    """Return the records of all load processes, and the result of each process."""
    parts = [read_records(path) for path in paths]
    records = [record for part, _ in parts for record in part]
    return records, [result for _, result in parts]
