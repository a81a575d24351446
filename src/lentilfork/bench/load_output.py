"""Output of a load table: text, JSON values and a picture."""

from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
from pathlib import Path
from typing import Any
from typing import Final

import matplotlib as mpl

from lentilfork.bench.load_table import LoadRow
from lentilfork.bench.log_lines import format_second
from lentilfork.cli.output import format_table

__all__ = ["format_rows", "plot_rows", "to_row_values"]

WIDTH_INCHES: Final = 11.0
HEIGHT_INCHES: Final = 4.5
DOTS_PER_INCH: Final = 120
UNKNOWN: Final = "-"
NUMBER_HEADINGS: Final = (
    "ASKED",
    "PLACED",
    "AGAIN",
    "ELSEWHERE",
    "REFUSED",
    "RESET",
    "FAILED",
    "OMITTED",
    "REFUSED BY REASON",
)


def list_keys(row: LoadRow) -> dict[str, str]:
    """Return the keys of a row that its grouping uses, by heading."""
    keys = {
        "SECOND": None if row.second is None else format_second(row.second),
        "ROUTE": row.route,
        "PROCESS": row.process,
        "DATA CENTRE": row.data_centre,
    }
    return {heading: key for heading, key in keys.items() if key is not None}


def list_numbers(row: LoadRow, *, has_data_centres: bool) -> list[object]:
    """Return the numbers of a row in the order of `NUMBER_HEADINGS`."""
    reasons = ", ".join(f"{number} {reason}" for reason, number in sort_counts(row))
    return [
        row.asked,
        row.placed,
        row.placed_again,
        row.placed_elsewhere if has_data_centres else UNKNOWN,
        sum(row.refused.values()),
        row.reset,
        row.failed,
        sum(row.omitted.values()),
        reasons or UNKNOWN,
    ]


def sort_counts(row: LoadRow) -> list[tuple[str, int]]:
    """Return the reasons of refusals with their numbers, the most frequent first."""
    return sorted(row.refused.items(), key=lambda item: (-item[1], item[0]))


def format_rows(rows: Sequence[LoadRow], *, has_data_centres: bool) -> str:
    """Return a table of rows of one grouping with their total."""
    if not rows:
        return "no decisions about flows"
    keys = [list_keys(row) for row in rows]
    total = LoadRow(None, None, None, "")
    for row in rows:
        total.add(row)
    total_keys = ["total", *[""] * (len(keys[0]) - 1)]
    lines = [
        [*row_keys, *list_numbers(row, has_data_centres=has_data_centres)]
        for row_keys, row in zip(
            [*(list(item.values()) for item in keys), total_keys],
            [*rows, total],
            strict=True,
        )
    ]
    return format_table((*keys[0], *NUMBER_HEADINGS), lines)


def to_row_values(row: LoadRow, *, has_data_centres: bool) -> dict[str, object]:
    """Return a row as JSON values; numbers that are not known are null."""
    keys = {"second": row.second, "route": row.route, "process": row.process}
    return {
        **{name: key for name, key in keys.items() if key is not None},
        "data_centre": row.data_centre if has_data_centres else None,
        "asked": row.asked,
        "placed": row.placed,
        "placed_again": row.placed_again,
        "placed_elsewhere": row.placed_elsewhere if has_data_centres else None,
        "refused": dict(sort_counts(row)),
        "reset": row.reset,
        "failed": row.failed,
        "omitted": dict(row.omitted),
    }


def plot_rows(rows: Sequence[LoadRow], path: Path) -> None:
    """Plot asked, placed and refused flows by second to a PNG file."""
    mpl.use("Agg")
    from matplotlib import pyplot

    numbers = {
        "asked": Counter[int](),
        "placed": Counter[int](),
        "refused": Counter[int](),
    }
    for row in rows:
        second = row.second or 0
        numbers["asked"][second] += row.asked
        numbers["placed"][second] += row.placed
        numbers["refused"][second] += sum(row.refused.values())
    first = min((row.second or 0 for row in rows), default=0)
    figure: Any
    axes: Any
    figure, axes = pyplot.subplots(
        figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained"
    )
    for label, counts in numbers.items():
        seconds = list_seconds(counts)
        points = [second - first for second in seconds]
        values = [counts[second] for second in seconds]
        axes.plot(points, values, label=label, drawstyle="steps-post")
    axes.set_xlabel(f"seconds since {format_second(first)}")
    axes.set_ylabel("flows a second")
    axes.set_title("load")
    axes.legend()
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def list_seconds(counts: Mapping[int, int]) -> list[int]:
    """Return the seconds with lines and those after them, so that gaps show as 0."""
    return sorted({second + after for second in counts for after in (0, 1)})
