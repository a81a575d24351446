"""Fits slopes, the cost of each further unit of load, to measured points."""

import itertools
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import psutil

from lentilfork.bench.processes import Process

__all__ = ["Reading", "Slope", "fit_slope", "read_process"]

# A slope bends if its last segment is more than this factor steeper than its first.
BEND_FACTOR: Final = 1.25
# Minimum number of sizes at which a slope is measured.
MINIMUM_SIZES: Final = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line fitted to measured points."""

    name: str
    # Unit of the values, and the item that the size counts.
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    # Least-squares fit: value = base + slope * size.
    slope: float
    base: float
    # Whether the values grow faster than linearly over the measured sizes.
    bends: bool


@dataclass(frozen=True, slots=True)
class Reading:
    """Resources that one process has used so far."""

    at_s: float
    processor_s: float
    rss_bytes: int
    # Unique set size: memory of this process alone, without shared pages.
    uss_bytes: int


def fit_slope(
    name: str, unit: str, per: str, points: Sequence[tuple[float, float]]
) -> Slope:
    """Fit at least three points of growing size; raises ValueError for fewer."""
    if len(points) < MINIMUM_SIZES:
        raise ValueError(
            f"{name}: {len(points)} points, at least {MINIMUM_SIZES} are needed"
        )
    sizes, values = zip(*points, strict=True)
    line = statistics.linear_regression(sizes, values)
    steps = [
        (after[1] - before[1]) / (after[0] - before[0])
        for before, after in itertools.pairwise(points)
    ]
    bends = steps[-1] > BEND_FACTOR * max(steps[0], 0.0) and line.slope > 0
    return Slope(name, unit, per, tuple(points), line.slope, line.intercept, bends)


def read_process(process: Process) -> Reading:
    """Return the resources that a running process has used."""
    handle = psutil.Process(process.pid)
    cpu_times = handle.cpu_times()
    memory = handle.memory_full_info()
    return Reading(
        time.monotonic(), cpu_times.user + cpu_times.system, memory.rss, memory.uss
    )
