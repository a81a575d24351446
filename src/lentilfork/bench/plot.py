"""Plots the reports of several systems side by side."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any
from typing import Final

import matplotlib as mpl
from hdrh.histogram import HdrHistogram

from lentilfork.bench.report import Report

__all__ = ["plot_reports"]

WIDTH_INCHES: Final = 13.0
HEIGHT_INCHES: Final = 4.0
DOTS_PER_INCH: Final = 120
PERCENTILES: Final = tuple(number / 10 for number in range(1000))


def plot_reports(reports: Sequence[Report], path: Path) -> None:
    """Plot failures, imbalance and latencies of all systems to a PNG file."""
    mpl.use("Agg")
    from matplotlib import pyplot

    figure: Any
    figure, (failures, imbalance, latencies) = pyplot.subplots(
        1, 3, figsize=(WIDTH_INCHES, HEIGHT_INCHES), layout="constrained"
    )
    plot_failures(failures, reports)
    plot_imbalance(imbalance, reports)
    plot_latencies(latencies, reports)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def plot_failures(axes: Any, reports: Sequence[Report]) -> None:
    """Draw broken, wrong and doubled requests as grouped bars."""
    kinds = ("broken", "wrong", "doubled")
    width = 1 / (len(reports) + 1)
    for number, report in enumerate(reports):
        positions = [index + number * width for index in range(len(kinds))]
        values = [getattr(report, kind) for kind in kinds]
        bars = axes.bar(positions, values, width, label=report.system)
        axes.bar_label(bars)
    axes.set_xticks([index + width for index in range(len(kinds))], kinds)
    axes.set_ylabel("requests")
    axes.set_title("failures")
    axes.legend()


def plot_imbalance(axes: Any, reports: Sequence[Report]) -> None:
    """Draw the ratio of the highest to the mean utilisation, by service."""
    width = 1 / (len(reports) + 1)
    services = list(reports[0].imbalance)
    for number, report in enumerate(reports):
        positions = [index + number * width for index in range(len(services))]
        values = [report.imbalance.get(service, 0.0) for service in services]
        bars = axes.bar(positions, values, width, label=report.system)
        axes.bar_label(bars, fmt="%.2f")
    axes.set_xticks([index + width for index in range(len(services))], services)
    axes.set_ylabel("busiest over mean utilisation")
    axes.set_title("imbalance")


def plot_latencies(axes: Any, reports: Sequence[Report]) -> None:
    """Draw the latency of lookups by percentile, on a logarithmic scale."""
    for report in reports:
        histogram: Any = HdrHistogram.decode(report.latencies["lookup"].histogram)
        times_ms = [
            histogram.get_value_at_percentile(percentile) / 1000
            for percentile in PERCENTILES
        ]
        axes.plot(PERCENTILES, times_ms, label=report.system)
    axes.set_yscale("log")
    axes.set_xlabel("percentile")
    axes.set_ylabel("ms")
    axes.set_title("lookups")
