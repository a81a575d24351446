"""Measures the cost of each further member, change, packet, flow or record.

The result file holds the measured points and the slopes fitted to them. The tables
of docs/CAPACITY.md are computed from these slopes.
"""

import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any
from typing import Final

import matplotlib as mpl

from lentilfork.bench.capacity_members import measure_members
from lentilfork.bench.capacity_packets import measure_packets
from lentilfork.bench.capacity_requests import measure_requests
from lentilfork.bench.capacity_slopes import Slope
from lentilfork.bench.capacity_slopes import fit_slope
from lentilfork.bench.capacity_tables import KINDS
from lentilfork.bench.description import DeploymentDescription

__all__ = ["measure_capacity", "plot_capacity", "write_capacity"]

TABLE_SIZES: Final = (5_000, 10_000, 20_000)
TABLE_TIMEOUT_S: Final = 60.0
COLUMNS: Final = 4
PANEL_INCHES: Final = (4.0, 2.8)
DOTS_PER_INCH: Final = 80


def measure_tables() -> list[Slope]:
    """Return slopes of memory and message bytes for each kind of record."""
    slopes = []
    for kind in KINDS:
        results = [(count, measure_table(kind, count)) for count in TABLE_SIZES]
        for measure in ("memory", "message"):
            points = [(count, result[measure]) for count, result in results]
            if any(value for _, value in points):
                slopes.append(fit_slope(f"{kind}, {measure}", "B", kind, points))
    return slopes


def measure_table(kind: str, count: int) -> dict[str, float]:
    """Return the bytes that a separate process measured for one table."""
    command = [sys.executable, "-m", "lentilfork.bench.capacity_tables"]
    process_result = subprocess.run(
        [*command, kind, str(count)],
        capture_output=True,
        check=True,
        timeout=TABLE_TIMEOUT_S,
    )
    result: dict[str, float] = json.loads(process_result.stdout)
    return result


async def measure_capacity(description: DeploymentDescription) -> dict[str, Any]:
    """Measure for about two minutes; return slopes and totals as JSON values."""
    started_s = time.monotonic()
    slopes = measure_tables()
    with tempfile.TemporaryDirectory() as folder:
        slopes += await measure_members(Path(folder))
    with tempfile.TemporaryDirectory() as folder:
        packets, totals = await measure_packets(Path(folder))
    with tempfile.TemporaryDirectory() as folder:
        requests, idle = await measure_requests(description, Path(folder))
    slopes += [*packets, *requests]
    return {
        "seconds": round(time.monotonic() - started_s, 1),
        "slopes": {slope.name: describe_slope(slope) for slope in slopes},
        "totals": {**totals, **idle},
    }


def describe_slope(slope: Slope) -> dict[str, Any]:
    """Return a slope as JSON values, rounded to four significant digits."""
    document = asdict(slope)
    document["points"] = [[size, float(f"{value:.4g}")] for size, value in slope.points]
    document["slope"] = float(f"{slope.slope:.4g}")
    document["base"] = float(f"{slope.base:.4g}")
    return document


def plot_capacity(slopes: Iterable[dict[str, Any]], path: Path) -> None:
    """Plot each slope and its measured points to a PNG file."""
    mpl.use("Agg")
    from matplotlib import pyplot

    slopes_to_plot = list(slopes)
    rows = -(-len(slopes_to_plot) // COLUMNS)
    size = (PANEL_INCHES[0] * COLUMNS, PANEL_INCHES[1] * rows)
    figure: Any
    figure, panels = pyplot.subplots(rows, COLUMNS, figsize=size, layout="constrained")
    for panel in panels.flat[len(slopes_to_plot) :]:
        panel.axis("off")
    for panel, slope in zip(panels.flat, slopes_to_plot, strict=False):
        sizes = [point[0] for point in slope["points"]]
        panel.plot(sizes, [point[1] for point in slope["points"]], "o")
        panel.plot(
            sizes,
            [slope["base"] + slope["slope"] * size for size in sizes],
        )
        panel.set_title(slope["name"] + (" (bends)" if slope["bends"] else ""))
        panel.set_xlabel(slope["per"] + "s")
        panel.set_ylabel(slope["unit"])
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def write_capacity(document: dict[str, Any], folder: Path) -> None:
    """Write capacity.json and capacity.png to a folder."""
    text = json.dumps(document, indent=1) + "\n"
    (folder / "capacity.json").write_text(text, encoding="utf-8")
    plot_capacity(document["slopes"].values(), folder / "capacity.png")
