"""How a request ended for its caller, and whether the journals agree.

An outcome is what the caller can tell by itself. The functions that
take runs hold the callers' records against the journals of the backend servers.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Final

from lentilfork.bench.content import LONG_CONTENT_BYTES
from lentilfork.bench.content import check_content
from lentilfork.bench.content import check_short_answer
from lentilfork.bench.journals import Run
from lentilfork.bench.journals import find_request_id
from lentilfork.bench.journals import list_request_ids
from lentilfork.bench.workload import Kind
from lentilfork.bench.workload import Request

__all__ = [
    "Outcome",
    "Record",
    "Reply",
    "find_changes_lost",
    "find_changes_run_untold",
    "judge_reply",
]

CODE_INCOMPLETE: Final = 136
CODE_NOT_RUN: Final = 163
CODE_UNKNOWN: Final = 164
SUCCESS_CODES: Final = range(64, 96)


@unique
class Outcome(Enum):
    """How a request ended for its caller."""

    # Its own whole answer came in time.
    COMPLETE = "complete"
    # The answer is another request's, or mixes versions.
    WRONG = "wrong"
    # A long flow was cut, or the caller was told nothing in time.
    BROKEN = "broken"
    # Told that it did not run.
    NOT_RUN = "not run"
    # Told that it may have run.
    UNKNOWN = "unknown"
    # Told to fetch a long answer anew from its start.
    RESTART = "restart"
    # Told that the backend server failed.
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer as a caller got it."""

    # CoAP code number.
    code: int
    # Whole: all blocks of a long answer.
    payload: bytes
    # Number of the block it answers; above 0 where a long flow ended early.
    block: int = 0
    # When to come again, where it tells.
    max_age_s: int = 0


@dataclass(slots=True)
class Record:
    """One request as its caller saw it, all its sendings together."""

    request: Request
    # Unix seconds of the first sending.
    started: float
    latency_s: float
    outcome: Outcome
    # How often it was sent anew after "not run" or "restart".
    repeats: int = 0
    # How many of these were long flows told to start anew.
    restarts: int = 0
    # What was told, for the report.
    detail: str = ""


def judge_reply(
    request: Request, reply: Reply, long_bytes: int = LONG_CONTENT_BYTES
) -> Outcome:
    """Return the outcome that a reply makes of a request."""
    if reply.code in SUCCESS_CODES:
        whole = check_payload(request, reply.payload, long_bytes)
        return Outcome.COMPLETE if whole else Outcome.WRONG
    if reply.code == CODE_INCOMPLETE:
        return Outcome.RESTART
    if reply.block > 0:
        return Outcome.BROKEN
    told = {CODE_NOT_RUN: Outcome.NOT_RUN, CODE_UNKNOWN: Outcome.UNKNOWN}
    return told.get(reply.code, Outcome.FAILED)


def check_payload(request: Request, payload: bytes, long_bytes: int) -> bool:
    """Tell whether a payload is the whole answer to this request."""
    if request.kind is Kind.DOWNLOAD:
        return check_content(payload, request.path, long_bytes)
    return check_short_answer(payload, request.method, request.path, request.query)


def find_changes_run_untold(
    records: Iterable[Record], runs: Iterable[Run]
) -> list[Record]:
    """Return the changes whose callers were last told "not run" though they ran."""
    ran = set(list_request_ids(runs))
    return [
        record
        for record in records
        if record.outcome is Outcome.NOT_RUN and get_change(record.request) in ran
    ]


def find_changes_lost(records: Iterable[Record], runs: Iterable[Run]) -> list[Record]:
    """Return the changes whose callers got an answer though they never ran."""
    ran = set(list_request_ids(runs))
    return [
        record
        for record in records
        if record.outcome is Outcome.COMPLETE
        and record.request.kind is Kind.CHANGE
        and get_change(record.request) not in ran
    ]


def get_change(request: Request) -> tuple[str, str | None]:
    """Return path and id of a request, as `list_request_ids` has them."""
    return request.path, find_request_id(request.query)
