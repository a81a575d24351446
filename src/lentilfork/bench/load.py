"""Load process: replays its share of a trace with lightweight callers.

Started as `python -m lentilfork.bench.load FILE`. Each request is sent at the time
given in the trace, whether or not earlier requests have ended. The records file has
one JSON line per request, and a last line with the counters and the longest delay
of an arrival.
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

# Number of callers opened before the first arrival.
INITIAL_CALLERS: Final = 50


class LoadConfig(BaseModel):
    """Configuration of one load process."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    trace: Path
    # By service name.
    targets: dict[str, Target]
    # The process sends every `shares`-th arrival, beginning with index `share`.
    share: int = 0
    shares: int = 1
    # Unix time in seconds at which the trace begins.
    start_at: float
    # Path of the records file to write.
    records: Path
    # Maximum number of retries of a request after "not run" or "restart".
    repeats: int = DEFAULT_REPEATS


class LoadResult(BaseModel):
    """The last line of a records file."""

    counters: dict[str, int]
    # Longest delay between the due time of an arrival and its sending.
    lateness_s: float


class LoadGenerator:
    """Replays a share of a trace with a growing pool of callers."""

    config: LoadConfig
    counters: Counters
    # Callers without a pending request.
    idle: list[LightweightCaller]
    # Number of callers opened so far.
    opened: int
    lateness_s: float

    def __init__(self, config: LoadConfig) -> None:
        self.config = config
        self.counters = Counters()
        self.idle = []
        self.opened = 0
        self.lateness_s = 0.0

    async def run(self) -> list[Record]:
        """Replay the arrivals; return their records in the same order."""
        trace = read_trace(self.config.trace)
        arrivals = trace.arrivals[self.config.share :: self.config.shares]
        for _ in range(INITIAL_CALLERS):
            self.idle.append(await self.open_caller())
        started_at = time.monotonic() + self.config.start_at - time.time()
        async with asyncio.TaskGroup() as group:
            tasks = []
            for arrival in arrivals:
                await self.wait_until(started_at + arrival.at_s)
                tasks.append(group.create_task(self.send_arrival(arrival)))
        for caller in self.idle:
            await caller.close()
        return [task.result() for task in tasks]

    async def wait_until(self, due_at: float) -> None:
        """Wait until a monotonic time, and record the delay if it has passed."""
        now = time.monotonic()
        self.lateness_s = max(self.lateness_s, now - due_at)
        if due_at > now:
            await asyncio.sleep(due_at - now)

    async def open_caller(self) -> LightweightCaller:
        """Open a new caller with a unique name."""
        self.opened += 1
        name = f"{self.config.share}-{self.opened}"
        return await LightweightCaller.open(
            name, self.config.targets, self.counters, self.config.repeats
        )

    async def send_arrival(self, arrival: Arrival) -> Record:
        """Send one request with an idle caller, or a new one if none is idle."""
        caller = self.idle.pop(0) if self.idle else await self.open_caller()
        record = await caller.send_with_retries(add_work(arrival))
        self.idle.append(caller)
        return record


def add_work(arrival: Arrival) -> Request:
    """Return the request with its work in the query; downloads stay unchanged."""
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
    """Return the record encoded by `encode_record`."""
    request = decode_request(fields["request"])
    outcome = Outcome(fields["outcome"])
    return Record(**{**fields, "request": request, "outcome": outcome})


def write_records(path: Path, records: list[Record], result: LoadResult) -> None:
    """Write a records file: one line per record, then the result."""
    lines = [json.dumps(encode_record(record)) for record in records]
    path.write_text("\n".join([*lines, result.model_dump_json()]), encoding="utf-8")


def read_records(path: Path) -> tuple[list[Record], LoadResult]:
    """Read the file of `write_records`; raises OSError or ValueError."""
    *lines, last = path.read_text(encoding="utf-8").splitlines()
    records = [decode_record(json.loads(line)) for line in lines]
    return records, LoadResult.model_validate_json(last)


async def run(config: LoadConfig) -> None:
    """Replay a share of a trace and write the records."""
    generator = LoadGenerator(config)
    records = await generator.run()
    result = LoadResult(
        counters=generator.counters.dump(), lateness_s=generator.lateness_s
    )
    write_records(config.records, records, result)


def main() -> None:
    """Run the load described by the file given as the first argument."""
    text = Path(sys.argv[1]).read_text(encoding="utf-8")
    asyncio.run(run(LoadConfig.model_validate_json(text)))


if __name__ == "__main__":
    main()
