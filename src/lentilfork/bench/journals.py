"""Journals of simulated backend servers: which requests ran, and how often.

A server writes one line when a request gets a slot and one when it releases it. Lines
are flushed as they are written, so the journal of a killed process contains every
request that it started. Checks of "not run" answers and of requests that ran twice
rely on the journals.
"""

import json
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Final
from typing import TextIO

__all__ = [
    "Journal",
    "Run",
    "count_rerun_requests",
    "find_request_id",
    "list_request_ids",
    "read_journals",
]

IDEMPOTENT_METHODS: Final = frozenset({"GET"})
ID_PREFIX: Final = "id="


@dataclass(slots=True)
class Run:
    """One request that got a slot."""

    server: str
    request_key: str
    method: str
    path: str
    query: tuple[str, ...]
    # Unix time in seconds; `ended` is None if the process exited during the run.
    started: float
    ended: float | None = None
    # "done", "cancelled", or "" if no end is recorded.
    outcome: str = ""


def find_request_id(query: Iterable[str]) -> str | None:
    """Return the value of the `id` query, if there is one."""
    found = (part for part in query if part.startswith(ID_PREFIX))
    text = next(found, None)
    return None if text is None else text.removeprefix(ID_PREFIX)


class Journal:
    """Writes the journal of one backend server."""

    server: str
    file: TextIO
    # Number of the latest run; both lines of a run contain its number.
    last_run: int

    def __init__(self, path: Path, server: str) -> None:
        self.server = server
        self.file = path.open("a", buffering=1, encoding="utf-8")
        # The clock keeps run numbers distinct from those of an earlier process.
        self.last_run = time.time_ns()

    def write(self, **fields: object) -> None:
        """Append one line."""
        self.file.write(json.dumps(fields) + "\n")

    def begin(
        self, request_key: bytes, method: str, path: str, query: Iterable[str]
    ) -> int:
        """Record that a request got a slot; returns the number of the run."""
        self.last_run += 1
        self.write(
            event="begin",
            run=self.last_run,
            server=self.server,
            request_key=request_key.hex(),
            method=method,
            path=path,
            query=list(query),
            time=time.time(),
        )
        return self.last_run

    def end(self, run: int, outcome: str) -> None:
        """Record that a request released its slot."""
        self.write(event="end", run=run, outcome=outcome, time=time.time())

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def read_journal(path: Path) -> list[Run]:
    """Return the runs of one journal; ignores incomplete lines of a killed process."""
    runs: dict[int, Run] = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            fields = json.loads(line)
        except ValueError:
            continue
        if fields["event"] == "begin":
            runs[fields["run"]] = Run(
                server=fields["server"],
                request_key=fields["request_key"],
                method=fields["method"],
                path=fields["path"],
                query=tuple(fields["query"]),
                started=fields["time"],
            )
        elif fields["run"] in runs:
            runs[fields["run"]].ended = fields["time"]
            runs[fields["run"]].outcome = fields["outcome"]
    return list(runs.values())


def read_journals(paths: Iterable[Path]) -> list[Run]:
    """Return the runs of all journals in order of their start times."""
    runs = [run for path in paths if path.exists() for run in read_journal(path)]
    return sorted(runs, key=lambda run: run.started)


def list_request_ids(runs: Iterable[Run]) -> list[tuple[str, str]]:
    """Return path and id of each run of a non-idempotent request, repeats included."""
    return [
        (run.path, request_id)
        for run in runs
        if run.method not in IDEMPOTENT_METHODS
        and (request_id := find_request_id(run.query)) is not None
    ]


def count_rerun_requests(runs: Iterable[Run]) -> int:
    """Return the number of non-idempotent requests that ran more than once."""
    return sum(count > 1 for count in Counter(list_request_ids(runs)).values())
