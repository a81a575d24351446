"""Totals of a whole run, from callers' records and backend servers' journals."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from lentilfork.bench.journals import Run
from lentilfork.bench.journals import count_rerun_requests
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.outcomes import find_answered_changes_never_run
from lentilfork.bench.outcomes import find_changes_misreported_as_not_run

__all__ = ["Verdict", "evaluate_run", "is_broken"]


@dataclass(frozen=True, slots=True)
class Verdict:
    """Counts of requests by result, for one run."""

    sent: int
    complete: int
    # Ended early, timed out without an answer, or had to be fetched again.
    broken: int
    # Answers that are incomplete, mixed or another request's, and contradicted ones.
    wrong: int
    # Changes that ran more than once.
    doubled: int
    # Changes that ran although answered "not run", and changes that never ran although
    # answered with success; included in `wrong`.
    contradicted: tuple[Record, ...] = ()

    @property
    def passed(self) -> bool:
        """Whether nothing was broken, wrong or doubled."""
        return self.broken == self.wrong == self.doubled == 0

    def __str__(self) -> str:
        return (
            f"{self.sent} sent, {self.complete} complete, {self.broken} broken, "
            f"{self.wrong} wrong, {self.doubled} doubled"
        )


def is_broken(record: Record) -> bool:
    """Return whether a request ended early, timed out or had to be fetched again."""
    return record.outcome in (Outcome.BROKEN, Outcome.RESTART) or record.restarts > 0


def evaluate_run(records: Sequence[Record], runs: Sequence[Run]) -> Verdict:
    """Return the totals of a run during which no content changed."""
    outcomes = Counter(record.outcome for record in records)
    contradicted = [
        *find_changes_misreported_as_not_run(records, runs),
        *find_answered_changes_never_run(records, runs),
    ]
    return Verdict(
        sent=len(records),
        complete=outcomes[Outcome.COMPLETE],
        broken=sum(map(is_broken, records)),
        wrong=outcomes[Outcome.WRONG] + len(contradicted),
        doubled=count_rerun_requests(runs),
        contradicted=tuple(contradicted),
    )
