"""Traces: the requests and faults of a run in order of time, as JSON lines.

The first line describes the run; each further line is an arrival or a fault. An
arrival carries its work in mean service times. In every replay a request thus takes
the same time at a given server speed, whichever server runs it.
"""

import json
import random
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from lentilfork.bench.journals import Run
from lentilfork.bench.outcomes import Record
from lentilfork.bench.workload import Kind
from lentilfork.bench.workload import Request
from lentilfork.bench.workload import Template
from lentilfork.bench.workload import make_request

__all__ = ["Arrival", "Fault", "Trace", "draw_trace", "read_trace", "record_trace"]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request sent for the first time."""

    # Seconds since the run began.
    at_s: float
    request: Request
    # Service time at speed 1, as a multiple of the service's mean service time.
    work: float


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault or an administrative change made during the run."""

    # Seconds since the run began.
    at_s: float
    # Name of a method of `FaultDriver`.
    action: str
    # Name of the process, service or preset that the action applies to.
    target: str


@dataclass(slots=True)
class Trace:
    """All external inputs of one run: requests, faults and the random seed."""

    deployment: str
    seed: int
    duration_s: float
    arrivals: list[Arrival] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)

    def write(self, path: Path) -> None:
        """Write the trace as JSON lines."""
        header = {
            "deployment": self.deployment,
            "seed": self.seed,
            "duration_s": self.duration_s,
        }
        events: list[dict[str, Any]] = [
            *(
                {"event": "arrival", **encode_arrival(arrival)}
                for arrival in self.arrivals
            ),
            *({"event": "fault", **asdict(fault)} for fault in self.faults),
        ]
        events.sort(key=lambda event: float(event["at_s"]))
        lines = [json.dumps(line) for line in (header, *events)]
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def encode_arrival(arrival: Arrival) -> dict[str, Any]:
    """Return an arrival as JSON values."""
    fields = asdict(arrival)
    fields["request"]["kind"] = arrival.request.kind.value
    return fields


def decode_request(fields: Mapping[str, Any]) -> Request:
    """Return the request in the JSON values of an arrival or a record."""
    kind, query = Kind(fields["kind"]), tuple(fields["query"])
    return Request(**{**fields, "kind": kind, "query": query})


def read_trace(path: Path) -> Trace:
    """Read a trace; raises OSError, ValueError or KeyError."""
    lines = path.read_text(encoding="utf-8").splitlines()
    trace = Trace(**json.loads(lines[0]))
    for line in lines[1:]:
        fields = json.loads(line)
        if fields.pop("event") == "fault":
            trace.faults.append(Fault(**fields))
        else:
            request = decode_request(fields.pop("request"))
            trace.arrivals.append(Arrival(request=request, **fields))
    return trace


def draw_trace(
    deployment: str,
    rates: Sequence[tuple[Template, float]],
    duration_s: float,
    seed: int,
    faults: Iterable[Fault] = (),
) -> Trace:
    """Return a trace of random arrivals with the given mean rates per second."""
    arrivals = [
        arrival
        for number, (template, rate) in enumerate(rates)
        for arrival in draw_arrivals(template, rate, duration_s, f"{seed}/{number}")
    ]
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return Trace(deployment, seed, duration_s, arrivals, list(faults))


def draw_arrivals(
    template: Template, rate: float, duration_s: float, seed: str
) -> Iterator[Arrival]:
    """Yield the arrivals of one request template, `rate` per second on average."""
    rng = random.Random(seed)
    at_s = rng.expovariate(rate)
    serial = 0
    while at_s < duration_s:
        serial += 1
        name = f"{seed.replace('/', '-')}-{serial}"
        request = make_request(template, rng, name)
        yield Arrival(round(at_s, 6), request, round(rng.expovariate(1.0), 4))
        at_s += rng.expovariate(rate)


def record_trace(
    deployment: str,
    seed: int,
    records: Sequence[Record],
    runs: Iterable[Run],
    faults: Iterable[Fault],
    mean_times_s: Mapping[str, float],
    speeds: Mapping[str, float],
) -> Trace:
    """Return the trace of a completed run, with service times from the journals.

    `mean_times_s` is keyed by service, `speeds` by backend server. A request without
    a completed run in the journals gets the mean service time.
    """
    began = min((record.started for record in records), default=0.0)
    ended = max((record.started for record in records), default=0.0)
    times_s = {
        (run.path, run.query): (run.ended - run.started) * speeds[run.server]
        for run in runs
        if run.ended is not None and run.query
    }
    arrivals = [
        Arrival(
            round(record.started - began, 6),
            request,
            round(
                times_s.get((request.path, request.query), mean_s) / mean_s,
                4,
            ),
        )
        for record in records
        for request in [record.request]
        for mean_s in [mean_times_s[request.service]]
    ]
    arrivals.sort(key=lambda arrival: arrival.at_s)
    return Trace(deployment, seed, ended - began, arrivals, list(faults))
