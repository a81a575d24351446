"""Load by second, route and data centre, counted from the decision lines of a run.

A flow counts as asked in the second of its first line and as placed in that of its
first `placed` line, whichever process wrote it; lines of several processes needn't be
in the order of their times. Lines that the rate limit has omitted name no flow, so they
count for their process and second only, under the route `NO_ROUTE`.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from lentilfork.bench.log_lines import Decision

__all__ = ["GROUPINGS", "DataCentres", "LoadCounter", "LoadRow"]

# Route of lines without one, and data centre of processes without one.
NO_ROUTE: Final = "-"
UNKNOWN_DATA_CENTRE: Final = "-"
# Outcomes of decision lines that have columns of their own.
PLACED: Final = "placed"
REFUSED: Final = "refused"
RESET: Final = "reset"
FAILED: Final = "failed"


class DataCentres:
    """Data centres of processes by the prefixes of their names."""

    prefixes: list[tuple[str, str]]
    # Data centres found so far by process name.
    found: dict[str, str]

    def __init__(self, prefixes: Mapping[str, str]) -> None:
        # The longest prefix that fits decides.
        self.prefixes = sorted(prefixes.items(), key=lambda item: -len(item[0]))
        self.found = {}

    def find(self, process: str) -> str:
        """Return the data centre of a process or agent, or `UNKNOWN_DATA_CENTRE`."""
        data_centre = self.found.get(process)
        if data_centre is None:
            matching = (
                name for prefix, name in self.prefixes if process.startswith(prefix)
            )
            data_centre = next(matching, UNKNOWN_DATA_CENTRE)
            self.found[process] = data_centre
        return data_centre


@dataclass(slots=True)
class LoadRow:
    """Numbers of one row; a key that the grouping doesn't use is None."""

    second: int | None
    route: str | None
    process: str | None
    data_centre: str
    # Flows whose first line is here, and those whose first `placed` line is here.
    asked: int = 0
    placed: int = 0
    # Further `placed` lines of flows that had been placed before.
    placed_again: int = 0
    # `placed` lines with an agent in another known data centre than the process.
    placed_elsewhere: int = 0
    # By reason.
    refused: dict[str, int] = field(default_factory=dict)
    reset: int = 0
    failed: int = 0
    # Lines that the rate limit has omitted, by outcome.
    omitted: dict[str, int] = field(default_factory=dict)

    def add(self, other: "LoadRow") -> None:
        """Add the numbers of another row."""
        self.asked += other.asked
        self.placed += other.placed
        self.placed_again += other.placed_again
        self.placed_elsewhere += other.placed_elsewhere
        add_counts(self.refused, other.refused)
        self.reset += other.reset
        self.failed += other.failed
        add_counts(self.omitted, other.omitted)


# Keys of the rows by the name of the grouping: second, route, process.
GROUPINGS: Final[dict[str, tuple[bool, bool, bool]]] = {
    "second-route": (True, True, False),
    "second": (True, False, False),
    "route": (False, True, False),
    "process": (False, False, True),
}


class LoadCounter:
    """Counts decisions by second, route and process."""

    data_centres: DataCentres
    # Rows of the finest grouping.
    rows: dict[tuple[int, str, str], LoadRow]
    # Time and row of the first line, and of the first `placed` line, of each flow.
    first_lines: dict[str, tuple[float, LoadRow]]
    first_placements: dict[str, tuple[float, LoadRow]]

    def __init__(self, data_centres: DataCentres) -> None:
        self.data_centres = data_centres
        self.rows = {}
        self.first_lines = {}
        self.first_placements = {}

    def find_row(self, at_s: float, route: str, process: str) -> LoadRow:
        """Return the row of a second, route and process."""
        key = (int(at_s), route, process)
        row = self.rows.get(key)
        if row is None:
            row = self.rows[key] = LoadRow(*key, self.data_centres.find(process))
        return row

    def add_decision(self, at_s: float, process: str, decision: Decision) -> None:
        """Count one decision."""
        flow, outcome = decision.flow, decision.message
        row = self.find_row(at_s, flow.partition(">")[2] or NO_ROUTE, process)
        known = self.first_lines.get(flow)
        if known is None or at_s < known[0]:
            self.first_lines[flow] = at_s, row
            row.asked += 1
            if known is not None:
                known[1].asked -= 1
        if outcome == PLACED:
            self.add_placement(at_s, row, decision)
        elif outcome == REFUSED:
            row.refused[decision.reason] = row.refused.get(decision.reason, 0) + 1
        elif outcome == RESET:
            row.reset += 1
        elif outcome == FAILED:
            row.failed += 1

    def add_placement(self, at_s: float, row: LoadRow, decision: Decision) -> None:
        """Count a `placed` line."""
        row.placed_elsewhere += self.is_elsewhere(row, decision.agent)
        known = self.first_placements.get(decision.flow)
        if known is not None and known[0] <= at_s:
            row.placed_again += 1
            return
        self.first_placements[decision.flow] = at_s, row
        row.placed += 1
        if known is not None:
            known[1].placed -= 1
            known[1].placed_again += 1

    def is_elsewhere(self, row: LoadRow, agent: str) -> bool:
        """Return whether an agent is in another known data centre than the process."""
        there = self.data_centres.find(agent)
        return there != row.data_centre and UNKNOWN_DATA_CENTRE not in (
            there,
            row.data_centre,
        )

    def add_omitted(self, at_s: float, process: str, counts: Mapping[str, int]) -> None:
        """Count the lines that a process has omitted."""
        add_counts(self.find_row(at_s, NO_ROUTE, process).omitted, counts)

    def make_rows(self, grouping: str) -> list[LoadRow]:
        """Return the rows of a grouping by data centre, in the order of their keys."""
        uses_second, uses_route, uses_process = GROUPINGS[grouping]
        rows: dict[tuple[int | None, str | None, str | None, str], LoadRow] = {}
        for item in self.rows.values():
            key = (
                item.second if uses_second else None,
                item.route if uses_route else None,
                item.process if uses_process else None,
                item.data_centre,
            )
            if key not in rows:
                rows[key] = LoadRow(*key)
            rows[key].add(item)
        # A part of the key is None in all rows of a grouping or in none.
        return sorted(
            rows.values(),
            key=lambda row: (
                row.second or 0,
                row.route or "",
                row.process or "",
                row.data_centre,
            ),
        )


def add_counts(total: dict[str, int], counts: Mapping[str, int]) -> None:
    """Add numbers by name to others."""
    for name, number in counts.items():
        total[name] = total.get(name, 0) + number
