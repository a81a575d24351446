"""Outcomes of requests as their callers saw them, checked against the journals.

An outcome depends only on what the caller received. The functions that take
runs compare the callers' records with the journals of the backend servers.
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
    "classify_reply",
    "find_answered_changes_never_run",
    "find_changes_misreported_as_not_run",
]

# CoAP codes 4.08, 5.03, 5.04 and the class 2.xx as numbers.
CODE_INCOMPLETE: Final = 136
CODE_NOT_RUN: Final = 163
CODE_UNKNOWN: Final = 164
SUCCESS_CODES: Final = range(64, 96)


@unique
class Outcome(Enum):
    """How a request ended for its caller."""

    # The caller received the whole answer to its own request in time.
    COMPLETE = "complete"
    # The answer belongs to another request, is incomplete or mixes content versions.
    WRONG = "wrong"
    # A download ended early, the exchange failed, or no answer arrived in time.
    BROKEN = "broken"
    # The answer said that the request did not run.
    NOT_RUN = "not run"
    # The answer said that the request may have run.
    UNKNOWN = "unknown"
    # The download has to be fetched again from its first block.
    RESTART = "restart"
    # The answer had any other error code, such as that of a failed backend server.
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer as its caller received it."""

    # CoAP code number.
    code: int
    # All blocks of a download, joined.
    payload: bytes
    # Number of the block that it answers; above 0 when a download ended early.
    block: int = 0
    # Seconds to wait before a retry, from the Max-Age option.
    max_age_s: int = 0


@dataclass(slots=True)
class Record:
    """The result of one request for its caller, including all its retries."""

    request: Request
    # Unix time in seconds at which the request was first sent.
    started: float
    latency_s: float
    outcome: Outcome
    # Number of retries after "not run" or "restart".
    repeats: int = 0
    # Number of these retries that fetched a download again from its first block.
    restarts: int = 0
    # Description of the last answer or error.
    detail: str = ""


def classify_reply(
    request: Request, reply: Reply, long_bytes: int = LONG_CONTENT_BYTES
) -> Outcome:
    """Return the outcome of a request that received this reply."""
    if reply.code in SUCCESS_CODES:
        is_whole = check_payload(request, reply.payload, long_bytes)
        return Outcome.COMPLETE if is_whole else Outcome.WRONG
    if reply.code == CODE_INCOMPLETE:
        return Outcome.RESTART
    if reply.block > 0:
        return Outcome.BROKEN
    outcomes_by_code = {CODE_NOT_RUN: Outcome.NOT_RUN, CODE_UNKNOWN: Outcome.UNKNOWN}
    return outcomes_by_code.get(reply.code, Outcome.FAILED)


def check_payload(request: Request, payload: bytes, long_bytes: int) -> bool:
    """Return whether a payload is the whole answer to this request."""
    if request.kind is Kind.DOWNLOAD:
        return check_content(payload, request.path, long_bytes)
    return check_short_answer(payload, request.method, request.path, request.query)


def find_changes_misreported_as_not_run(
    records: Iterable[Record], runs: Iterable[Run]
) -> list[Record]:
    """Return the changes that ran although their last answer said "not run"."""
    ran = set(list_request_ids(runs))
    return [
        record
        for record in records
        if record.outcome is Outcome.NOT_RUN and get_change_key(record.request) in ran
    ]


def find_answered_changes_never_run(
    records: Iterable[Record], runs: Iterable[Run]
) -> list[Record]:
    """Return the changes that never ran although their callers got an answer."""
    ran = set(list_request_ids(runs))
    return [
        record
        for record in records
        if record.outcome is Outcome.COMPLETE
        and record.request.kind is Kind.CHANGE
        and get_change_key(record.request) not in ran
    ]


def get_change_key(request: Request) -> tuple[str, str | None]:
    """Return path and id of a request, in the form that `list_request_ids` returns."""
    return request.path, find_request_id(request.query)
