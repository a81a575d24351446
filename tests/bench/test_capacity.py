"""Tests that docs/CAPACITY.md matches docs/capacity.json and that slopes fit."""

import json
import re
from pathlib import Path

import pytest

from lentilfork.bench.capacity_page import MARKED_TABLE
from lentilfork.bench.capacity_page import fill_page
from lentilfork.bench.capacity_page import make_tables
from lentilfork.bench.capacity_slopes import MINIMUM_SIZES
from lentilfork.bench.capacity_slopes import fit_slope

DOCS = Path(__file__).parents[2] / "docs"


def read_result() -> dict[str, object]:
    document: dict[str, object] = json.loads((DOCS / "capacity.json").read_text())
    return document


def test_page_quotes_the_result_file(tmp_path: Path) -> None:
    page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
    copy = tmp_path / "CAPACITY.md"
    copy.write_text(page, encoding="utf-8")
    fill_page(copy, read_result())
    assert copy.read_text(encoding="utf-8") == page
    assert {found[2] for found in MARKED_TABLE.finditer(page)} == set(
        make_tables(read_result())
    )


def test_handwritten_text_contains_no_measured_figure() -> None:
    page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
    handwritten_text = MARKED_TABLE.sub("", page)
    assert not re.findall(
        r"\d+\.\d+ (?:MB|B|core|s)\b", handwritten_text.replace("0.5 s", "")
    )


def test_each_slope_has_three_sizes() -> None:
    slopes = read_result()["slopes"]
    assert isinstance(slopes, dict)
    assert slopes
    for name, slope in slopes.items():
        points = [(size, value) for size, value in slope["points"]]
        assert len({size for size, _ in points}) >= MINIMUM_SIZES, name
        fitted = fit_slope(name, slope["unit"], slope["per"], points)
        # The points and the slope are rounded to four significant digits.
        spread = max(abs(value) for _, value in points) / points[-1][0]
        assert fitted.slope == pytest.approx(slope["slope"], abs=0.01 * spread), name


@pytest.mark.parametrize(
    ("values", "bends"),
    [((10.0, 20.0, 40.0), False), ((10.0, 20.0, 80.0), True), ((9.0, 9.0, 8.0), False)],
)
def test_superlinear_slope_is_marked_as_bending(
    values: tuple[float, ...], *, bends: bool
) -> None:
    points = list(zip((50.0, 100.0, 200.0), values, strict=True))
    assert fit_slope("trial", "B", "member", points).bends == bends
