"""Tests for the classification of replies and the totals of a run."""

import json
from pathlib import Path

import pytest

from lentilfork.bench.content import ShortAnswer
from lentilfork.bench.content import make_content
from lentilfork.bench.journals import Journal
from lentilfork.bench.journals import read_journals
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.outcomes import Reply
from lentilfork.bench.outcomes import classify_reply
from lentilfork.bench.verdict import evaluate_run
from lentilfork.bench.workload import Kind
from lentilfork.bench.workload import Request

CHANGE = Request("warnings", Kind.CHANGE, "POST", "/reports", ("id=a",))
DOWNLOAD = Request("artwork", Kind.DOWNLOAD, "GET", "/artwork/pack-1", ())
OWN_ANSWER = ShortAnswer("POST", "/reports", ("id=a",), "server", 1).encode()
OTHER_ANSWER = ShortAnswer("POST", "/reports", ("id=b",), "server", 1).encode()
FIRST_VERSION = make_content("/artwork/pack-1", 1)
SECOND_VERSION = make_content("/artwork/pack-1", 2)
MIXED_VERSIONS = FIRST_VERSION[:20_480] + SECOND_VERSION[20_480:]
OTHER_PACK = make_content("/artwork/pack-2", 1)

REPLIES: dict[str, tuple[Request, Reply, Outcome]] = {
    "own answer": (CHANGE, Reply(68, OWN_ANSWER), Outcome.COMPLETE),
    "another's answer": (CHANGE, Reply(68, OTHER_ANSWER), Outcome.WRONG),
    "no JSON": (CHANGE, Reply(68, b"\xff"), Outcome.WRONG),
    "not run": (CHANGE, Reply(163, b"not run"), Outcome.NOT_RUN),
    "outcome unknown": (CHANGE, Reply(164, b""), Outcome.UNKNOWN),
    "failed": (CHANGE, Reply(160, b""), Outcome.FAILED),
    "whole pack": (DOWNLOAD, Reply(69, SECOND_VERSION), Outcome.COMPLETE),
    "two versions": (DOWNLOAD, Reply(69, MIXED_VERSIONS), Outcome.WRONG),
    "last block missing": (DOWNLOAD, Reply(69, FIRST_VERSION[:-64]), Outcome.WRONG),
    "another pack": (DOWNLOAD, Reply(69, OTHER_PACK), Outcome.WRONG),
    "cut at a later block": (DOWNLOAD, Reply(163, b"not run", 7), Outcome.BROKEN),
    "told to fetch again": (DOWNLOAD, Reply(136, b"", 7), Outcome.RESTART),
}  # fmt: skip


@pytest.mark.parametrize("case", REPLIES)
def test_reply_is_classified_by_its_content(case: str) -> None:
    request, reply, outcome = REPLIES[case]
    assert classify_reply(request, reply) is outcome


def write_journal(path: Path, server: str, ids: list[str]) -> Path:
    """Write a journal in which each request begins and ends."""
    journal = Journal(path, server)
    for request_id in ids:
        run = journal.begin(b"key", "POST", "/reports", [f"id={request_id}"])
        journal.end(run, "done")
    journal.close()
    return path


# Request ids in the journals of two servers, the caller's outcome, and the expected
# counts of wrong answers and doubled changes.
RUNS: dict[str, tuple[list[str], list[str], Outcome, int, int]] = {
    "ran once": (["a"], [], Outcome.COMPLETE, 0, 0),
    "ran on two servers": (["a"], ["a"], Outcome.COMPLETE, 0, 1),
    "ran twice on one server": (["a", "a"], [], Outcome.COMPLETE, 0, 1),
    "told not run and did not": (["b"], [], Outcome.NOT_RUN, 0, 0),
    "told not run but ran": ([], ["a"], Outcome.NOT_RUN, 1, 0),
    "answered but never ran": (["b"], [], Outcome.COMPLETE, 1, 0),
    "told unknown and ran": (["a"], [], Outcome.UNKNOWN, 0, 0),
}


@pytest.mark.parametrize("case", RUNS)
def test_verdict_compares_journals_with_outcomes(tmp_path: Path, case: str) -> None:
    first, second, outcome, wrong, doubled = RUNS[case]
    paths = [
        write_journal(tmp_path / "1.journal", "server-1", first),
        write_journal(tmp_path / "2.journal", "server-2", second),
    ]
    record = Record(CHANGE, 0.0, 0.1, outcome)
    verdict = evaluate_run([record], read_journals(paths))
    assert (verdict.wrong, verdict.doubled) == (wrong, doubled)


def test_journal_of_a_killed_server_keeps_begun_runs(tmp_path: Path) -> None:
    """A journal cut in the middle of its last line still lists the run that began."""
    path = write_journal(tmp_path / "1.journal", "server-1", ["a"])
    ended = path.read_text().splitlines()[1]
    path.write_text(path.read_text().replace(ended, ended[: len(ended) // 2]))
    (run,) = read_journals([path])
    assert (run.query, run.outcome, run.ended) == (("id=a",), "", None)
    assert json.loads(path.read_text().splitlines()[0])["event"] == "begin"
