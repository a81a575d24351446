"""Generates the tables of docs/CAPACITY.md from measured slopes.

Each table stands between two marker comments of the page. The rest of the page is
written by hand and contains no measured figure.
"""

import re
from collections.abc import Iterable
from collections.abc import Sequence
from pathlib import Path
from typing import Any
from typing import Final

from lentilfork.bench.capacity_events import list_event_costs
from lentilfork.bench.capacity_target import Capacity
from lentilfork.bench.capacity_target import Row
from lentilfork.bench.capacity_target import list_role_costs
from lentilfork.bench.capacity_target import list_target_rows

__all__ = ["fill_page", "make_tables"]

MARKED_TABLE: Final = re.compile(r"(<!-- (\w+) -->\n).*?(<!-- end -->)", re.DOTALL)


def make_tables(document: dict[str, Any]) -> dict[str, str]:
    """Return each Markdown table by the name of its marker."""
    capacity = Capacity(document)
    return {
        "slopes": format_table(
            ("slope", "each", "sizes", "slope", "base", "bends"),
            map(describe_slope, document["slopes"].values()),
        ),
        "roles": format_table(
            ("role", "of", "slope times count", "comes to", "mechanism"),
            list_role_costs(capacity),
        ),
        "targets": format_table(
            ("target", "needed", "worked out", "margin", "verdict"),
            map(describe_row, list_target_rows(capacity)),
        ),
        "events": format_table(
            ("event", "at the busiest process", "messages", "bytes"),
            list_event_costs(capacity),
        ),
    }


def format_table(titles: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table with a title row."""
    lines = [titles, ["---"] * len(titles), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def describe_slope(slope: dict[str, Any]) -> tuple[str, ...]:
    """Return the table cells of a measured slope."""
    sizes = ", ".join(f"{size:,.0f}" for size, _ in slope["points"])
    unit = slope["unit"]
    return (
        slope["name"],
        slope["per"],
        sizes,
        f"{slope['slope']:.4g} {unit}",
        f"{slope['base']:.4g} {unit}",
        "yes" if slope["bends"] else "no",
    )


def describe_row(row: Row) -> tuple[str, ...]:
    """Return the table cells of a capacity target."""
    margin = f"{row.margin:.2f} times"
    verdict = "met" if row.margin >= 1 else "**not met**"
    verdict = verdict if row.is_conclusive else "**not shown**, a slope falls"
    return (
        row.name,
        f"{row.needed:,.4g} {row.unit}",
        f"{row.predicted:,.4g} {row.unit}",
        margin,
        verdict,
    )


def fill_page(path: Path, document: dict[str, Any]) -> None:
    """Replace the tables between the markers of a page."""
    tables = make_tables(document)
    text = MARKED_TABLE.sub(
        lambda found: f"{found[1]}\n{tables[found[2]]}\n{found[3]}",
        path.read_text(encoding="utf-8"),
    )
    path.write_text(text, encoding="utf-8")
