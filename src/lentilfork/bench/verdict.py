"""Judgement of a whole run from what callers saw and backend servers ran."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from lentilfork.bench.journals import Run
from lentilfork.bench.journals import count_rerun_requests
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.outcomes import find_changes_lost
from lentilfork.bench.outcomes import find_changes_run_untold

__all__ = ["Verdict", "is_broken", "judge_run"]


@dataclass(frozen=True, slots=True)
class Verdict:
    """The figures of a run."""

    sent: int
    complete: int
    # Cut, left without an answer, or made to start anew.
    broken: int
    # Another's answer, a mixed one, or one that the journals contradict.
    wrong: int
    # Changes that ran more than once.
    doubled: int
    # Changes told "not run" that ran, and answered that never ran; part of `wrong`.
    contradicted: tuple[Record, ...] = ()

    @property
    def good(self) -> bool:
        """Whether nothing was broken, wrong or doubled."""
        return self.broken == self.wrong == self.doubled == 0

    def __str__(self) -> str:
        return (
            f"{self.sent} sent, {self.complete} complete, {self.broken} broken, "
            f"{self.wrong} wrong, {self.doubled} doubled"
        )


def is_broken(record: Record) -> bool:
    """Tell whether a flow was cut, left without an answer or had to start anew."""
    return record.outcome in (Outcome.BROKEN, Outcome.RESTART) or record.restarts > 0


def judge_run(records: Sequence[Record], runs: Sequence[Run]) -> Verdict:
    """Return the figures of a run in which no content changed."""
    outcomes = Counter(record.outcome for record in records)
    contradicted = [
        *find_changes_run_untold(records, runs),
        *find_changes_lost(records, runs),
    ]
    return Verdict(
        sent=len(records),
        complete=outcomes[Outcome.COMPLETE],
        broken=sum(map(is_broken, records)),
        wrong=outcomes[Outcome.WRONG] + len(contradicted),
        doubled=count_rerun_requests(runs),
        contradicted=tuple(contradicted),
    )
