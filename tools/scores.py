"""Print the table rows of docs/SCORES.md for journal entries of scores.

python tools/scores.py journal/ID.json ...
"""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from typing import Final

HEAD: Final = (
    "| deployment | day | worth | served | worst kind | worst zone | worst windows "
    "| prices (largest first) | rules broken | gate | commit |"
)
ROW_SEPARATOR: Final = "|".join(["", *["---"] * 11, ""])
# Prices below this are summed up in the row's total only.
LISTED_PRICE: Final = 0.003


def get_minimum(values: list[float | None]) -> str:
    """Return the smallest share of a list, "" if there is none."""
    known = [value for value in values if value is not None]
    return f"{min(known):.3f}" if known else ""


def format_prices(prices: list[list[Any]]) -> str:
    """Return the total of the prices and the largest ones by name."""
    ordered = sorted(prices, key=lambda item: -item[2])
    listed = [
        f"{name} {price:.3f}" for name, _, price in ordered if price >= LISTED_PRICE
    ]
    total = sum(price for _, _, price in prices)
    return f"{total:.3f}: {', '.join(listed)}"


def make_rows(entry: dict[str, Any]) -> Iterator[str]:
    """Yield one row for each day of a journal entry."""
    for day in entry["days"]:
        parts = {name: value for name, _, value in day["parts"]}
        broken = sum(day["rules"].values()) if day["rules"] else 0
        size = " (small twin)" if "--small" in entry["argv"] else ""
        yield (
            "| "
            + " | ".join(
                [
                    entry["site"] + size,
                    day["name"],
                    f"{day['G']:.3f}",
                    f"{day['served']:.3f}",
                    get_minimum(day["by_class"]),
                    get_minimum(day["by_zone"]),
                    f"{parts['worst windows']:.3f}" if "worst windows" in parts else "",
                    format_prices(day["prices"]),
                    str(broken) + (f", fault: {day['fault']}" if day["fault"] else ""),
                    "passed" if day["gate"] else "failed",
                    entry["head"][:7],
                ]
            )
            + " |"
        )


def main() -> int:
    """Print a table with the days of all given entries."""
    print(HEAD)
    print(ROW_SEPARATOR)
    for path in sys.argv[1:]:
        entry = json.loads(Path(path).read_text(encoding="utf-8"))
        print("\n".join(make_rows(entry)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
