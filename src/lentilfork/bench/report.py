"""Report on one run, from callers' records and backend servers' journals."""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import Final

from hdrh.histogram import HdrHistogram
from pydantic import BaseModel

from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.ideal import compute_ideal_latencies
from lentilfork.bench.journals import Run
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.trace import Trace
from lentilfork.bench.verdict import evaluate_run
from lentilfork.bench.workload import Kind

__all__ = ["Latencies", "Report", "make_report", "measure_imbalance"]

# Range of the latency histograms, in microseconds.
LOWEST_US: Final = 1
HIGHEST_US: Final = 600_000_000
SIGNIFICANT_DIGITS: Final = 3
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


class Latencies(BaseModel):
    """Latencies of a set of completed requests."""

    count: int
    # Keyed by percentile, such as "p99".
    percentiles_ms: dict[str, float]
    # The whole histogram in microseconds, as HdrHistogram encodes it.
    histogram: str


class Report(BaseModel):
    """Results of one run of one system."""

    system: str
    deployment: str
    seed: int
    duration_s: float
    sent: int
    complete: int
    broken: int
    wrong: int
    doubled: int
    # Number of requests by outcome.
    outcomes: dict[str, int]
    # Completed requests per second of the trace.
    goodput_per_s: float
    # Utilisation of the busiest endpoint divided by the mean, by service.
    imbalance: dict[str, float]
    # Utilisation of each endpoint that ran for the whole run.
    utilisation: dict[str, float]
    # By kind of request.
    latencies: dict[str, Latencies]
    # By service, for the same trace simulated with one ideal queue a service.
    ideal_latencies: dict[str, Latencies]
    # Bytes per second between each balancer and the controllers, in both directions.
    control_bytes_per_s: dict[str, float] = {}
    # Unique memory (not shared with other processes) at the end, by process.
    memory_mb: dict[str, float] = {}
    # Processor time from the start to the last arrival, by process.
    processor_s: dict[str, float] = {}
    # Longest delay between the due time of an arrival and its sending.
    lateness_s: float = 0.0
    # Datagrams sent by callers, including retransmissions.
    datagrams: int = 0


def measure_latencies(times_s: Iterable[float]) -> Latencies:
    """Return percentiles and histogram of latencies in seconds."""
    histogram: Any = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    for time_s in times_s:
        histogram.record_value(max(LOWEST_US, int(time_s * 1_000_000)))
    percentiles = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    return Latencies(
        count=histogram.get_total_count(),
        percentiles_ms=percentiles,
        histogram=histogram.encode().decode(),
    )


def measure_utilisation(
    runs: Iterable[Run], slots: dict[str, int], started_at: float, ended_at: float
) -> dict[str, float]:
    """Return the share of slot time that each backend server was busy in an interval.

    `slots` holds the number of slots by server; the times are Unix seconds.
    """
    busy_s: dict[str, float] = defaultdict(float)
    for run in runs:
        ended = ended_at if run.ended is None else run.ended
        busy_s[run.server] += max(
            0.0, min(ended, ended_at) - max(run.started, started_at)
        )
    return {
        server: busy_s[server] / (number * (ended_at - started_at))
        for server, number in slots.items()
    }


def measure_imbalance(utilisation: Sequence[float]) -> float:
    """Return the highest utilisation divided by the mean, or 0 if nothing ran."""
    total = sum(utilisation)
    return max(utilisation) * len(utilisation) / total if total else 0.0


def get_service_name(server: str) -> str:
    """Return the service in a backend server's name (`server-SERVICE-NUMBER`)."""
    return server.removeprefix("server-").rpartition("-")[0]


def make_report(
    system: str,
    description: DeploymentDescription,
    trace: Trace,
    records: Sequence[Record],
    runs: Sequence[Run],
    slots: dict[str, int],
    started_at: float,
) -> Report:
    """Return the report on a run that began at `started_at` (Unix seconds).

    `slots` holds the number of slots of each server that ran for the whole run.
    """
    verdict = evaluate_run(records, runs)
    ended_at = started_at + trace.duration_s
    utilisation = measure_utilisation(runs, slots, started_at, ended_at)
    by_service = {
        service.definition.name: [
            share
            for server, share in utilisation.items()
            if get_service_name(server) == service.definition.name
        ]
        for service in description.services
    }
    outcomes = Counter(record.outcome.value for record in records)
    return Report(
        system=system,
        deployment=description.name,
        seed=trace.seed,
        duration_s=trace.duration_s,
        sent=verdict.sent,
        complete=verdict.complete,
        broken=verdict.broken,
        wrong=verdict.wrong,
        doubled=verdict.doubled,
        outcomes=dict(outcomes),
        goodput_per_s=verdict.complete / trace.duration_s,
        imbalance={
            service: measure_imbalance(shares)
            for service, shares in by_service.items()
            if shares
        },
        utilisation=utilisation,
        latencies=measure_kinds(records),
        ideal_latencies=measure_ideal(description, trace),
    )


def measure_kinds(records: Sequence[Record]) -> dict[str, Latencies]:
    """Return the latencies of completed requests by kind."""
    return {
        kind.value: measure_latencies(
            record.latency_s
            for record in records
            if record.request.kind is kind and record.outcome is Outcome.COMPLETE
        )
        for kind in Kind
    }


def measure_ideal(
    description: DeploymentDescription, trace: Trace
) -> dict[str, Latencies]:
    """Return the latencies of the same arrivals at one ideal queue a service."""
    return {
        service.definition.name: measure_latencies(
            compute_ideal_latencies(service, trace.arrivals)
        )
        for service in description.services
    }
