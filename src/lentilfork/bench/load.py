"""One process of load: replays its share of a trace with lean callers.

`python -m lentilfork.bench.load FILE`. Arrivals come at their own times whether or
not earlier requests have ended. Records are written as JSON lines, one for each
request, and a last line with counters and the process's own greatest lateness.
"""

import asyncio
import json
import sys
import time
from dataclasses import asdict
from dataclasses import replace
from pathlib import Path
from typing import Any
from typing import Final

from pydantic import BaseModel
from pydantic import ConfigDict

from lentilfork.bench.backend_server import WORK_PREFIX
from lentilfork.bench.callers import DEFAULT_REPEATS
from lentilfork.bench.callers import Target
from lentilfork.bench.lightweight_caller import LightweightCaller
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.trace import Arrival
from lentilfork.bench.trace import decode_request
from lentilfork.bench.trace import read_trace
from lentilfork.bench.workload import Kind
from lentilfork.bench.workload import Request
from lentilfork.counters import Counters

__all__ = ["LoadConfig", "LoadResult", "read_records"]

# Callers opened before the first arrival.
FIRST_CALLERS: Final = 50


class LoadConfig(BaseModel):
    """What one load process is told."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    trace: Path
    # By service name.
    targets: dict[str, Target]
    # This process takes every `shares`-th arrival, beginning with number `share`.
    share: int = 0
    shares: int = 1
    # Unix seconds at which the trace begins.
    start_at: float
    # Where the records go.
    records: Path
    # How often a request told "not run" is sent anew.
    repeats: int = DEFAULT_REPEATS


class LoadResult(BaseModel):
    """The last line of a records file."""

    counters: dict[str, int]
    # Longest time an arrival came after its due time.
    lateness_s: float


class Load:
    """The callers of one process."""

    config: LoadConfig
    counters: Counters
    # Callers without an open request.
    idle: list[LightweightCaller]
    opened: int
    lateness_s: float

    def __init__(self, config: LoadConfig) -> None:
        self.config = config
        self.counters = Counters()
        self.idle = []
        self.opened = 0
        self.lateness_s = 0.0

    async def run(self) -> list[Record]:
        """Replay the arrivals; returns the records in their order."""
        trace = read_trace(self.config.trace)
        arrivals = trace.arrivals[self.config.share :: self.config.shares]
        for _ in range(FIRST_CALLERS):
            self.idle.append(await self.open_caller())
        begins = time.monotonic() + self.config.start_at - time.time()
        async with asyncio.TaskGroup() as group:
            tasks = []
            for arrival in arrivals:
                await self.wait_due(begins + arrival.at_s)
                tasks.append(group.create_task(self.serve(arrival)))
        for caller in self.idle:
            await caller.close()
        return [task.result() for task in tasks]

    async def wait_due(self, due: float) -> None:
        """Wait for a monotonic time; notes how late it already is."""
        now = time.monotonic()
        self.lateness_s = max(self.lateness_s, now - due)
        if due > now:
            await asyncio.sleep(due - now)

    async def open_caller(self) -> LightweightCaller:
        """Return a new caller."""
        self.opened += 1
        name = f"{self.config.share}-{self.opened}"
        return await LightweightCaller.open(
            name, self.config.targets, self.counters, self.config.repeats
        )

    async def serve(self, arrival: Arrival) -> Record:
        """Have an idle caller ask for one thing."""
        caller = self.idle.pop(0) if self.idle else await self.open_caller()
        record = await caller.send_with_retries(add_work(arrival))
        self.idle.append(caller)
        return record


def add_work(arrival: Arrival) -> Request:
    """Return the request with its work in the query; downloads stay as they are."""
    request = arrival.request
    if request.kind is Kind.DOWNLOAD:
        return request
    return replace(request, query=(*request.query, f"{WORK_PREFIX}{arrival.work}"))


def encode_record(record: Record) -> dict[str, Any]:
    """Return a record as JSON values."""
    fields = asdict(record)
    fields["outcome"] = record.outcome.value
    fields["request"]["kind"] = record.request.kind.value
    return fields


def decode_record(fields: dict[str, Any]) -> Record:
    """Return the record with these JSON values."""
    request = decode_request(fields["request"])
    outcome = Outcome(fields["outcome"])
    return Record(**{**fields, "request": request, "outcome": outcome})


def write_records(path: Path, records: list[Record], result: LoadResult) -> None:
    """Write records and the last line."""
    lines = [json.dumps(encode_record(record)) for record in records]
    path.write_text("\n".join([*lines, result.model_dump_json()]), encoding="utf-8")


def read_records(path: Path) -> tuple[list[Record], LoadResult]:
    """Read what a load process wrote; raises OSError or ValueError."""
    *lines, last = path.read_text(encoding="utf-8").splitlines()
    records = [decode_record(json.loads(line)) for line in lines]
    return records, LoadResult.model_validate_json(last)


async def run(config: LoadConfig) -> None:
    """Replay a share of a trace and write the records."""
    load = Load(config)
    records = await load.run()
    result = LoadResult(counters=load.counters.dump(), lateness_s=load.lateness_s)
    write_records(config.records, records, result)


def main() -> None:
    """Run the load described by the file given as the first argument."""
    text = Path(sys.argv[1]).read_text(encoding="utf-8")
    asyncio.run(run(LoadConfig.model_validate_json(text)))


if __name__ == "__main__":
    main()
