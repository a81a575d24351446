"""Counts of load tables, their output, and the time that a large log takes."""

import json
import random
import time
from collections.abc import Iterable
from pathlib import Path

import pytest
from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from lentilfork.bench.load_table import GROUPINGS
from lentilfork.bench.load_table import DataCentres
from lentilfork.bench.load_table import LoadCounter
from lentilfork.bench.load_table_command import LoadTableCommand
from lentilfork.bench.load_table_command import count_files
from lentilfork.bench.log_lines import LineReader
from lentilfork.errors import ExitCode

ROUTE = "198.18.0.1:443"
DATA_CENTRES = {"edge-": "north", "edge-far-": "south"}
# Requirement: what 200 processes write in a minute, 500,000 lines, in 5 s of one core.
LINES_PER_S = 500_000 / 5
BENCH_LINES = 50_000
PNG_START = b"\x89PNG"


def make_line(at_s: float, process: str, message: str, flow: int, **more: str) -> str:
    """Return a decision line about the flow of a caller's port."""
    values = {
        "time": at_s,
        "level": "info",
        "process": process,
        "logger": "flows",
        "message": message,
        "flow": f"100.64.0.7:{flow}>{ROUTE}",
        **more,
    }
    return json.dumps(values)


LINES = [
    make_line(1.1, "edge-1/agent", "placed", 1, agent="edge-2", reason="first"),
    make_line(2.2, "edge-2/agent", "handed over", 1, reason="open"),
    make_line(1.2, "edge-1/agent", "placed", 2, agent="edge-far-1", reason="first"),
    make_line(1.3, "edge-far-1/agent", "placed", 2, agent="edge-far-2", reason="x"),
    make_line(2.1, "edge-1/agent", "refused", 3, reason="answer expected too late"),
    make_line(2.1, "edge-1/agent", "refused", 4, reason="answer expected too late"),
    make_line(2.2, "edge-far-1/agent", "refused", 5, reason="queue grew meanwhile"),
    make_line(2.3, "edge-2/agent", "failed", 1, reason="not served"),
    make_line(2.4, "edge-2/agent", "reset", 1, reason="lost"),
    json.dumps(
        {"time": 2.9, "process": "edge-1/agent", "message": "lines left out"}
        | {"placed": 7}
    ),
    "no JSON",
]


def run(*arguments: str) -> CommandTester:
    """Run the command and return its output and exit code."""
    application = Application()
    application.add(LoadTableCommand())
    tester = CommandTester(application.find("load-table"))
    tester.execute(" ".join(arguments))
    return tester


@pytest.fixture
def log(tmp_path: Path) -> Path:
    """Write the lines of `LINES` to a file."""
    path = tmp_path / "run.log"
    path.write_text("\n".join(LINES), encoding="utf-8")
    return path


@pytest.fixture
def sites(tmp_path: Path) -> Path:
    """Write the data centres to a file."""
    path = tmp_path / "sites.json"
    path.write_text(json.dumps(DATA_CENTRES), encoding="utf-8")
    return path


def count(lines: Iterable[str]) -> LoadCounter:
    counter = LoadCounter(DataCentres(DATA_CENTRES))
    LineReader(counter).read(line.encode() for line in lines)
    return counter


def get_json(tester: CommandTester) -> list[dict[str, object]]:
    rows = json.loads(tester.io.fetch_output())["rows"]
    assert isinstance(rows, list)
    return rows


# Guards against flows that count once for each of their lines, seconds or processes.
def test_each_flow_counts_once_in_its_first_second(log: Path, sites: Path) -> None:
    rows = get_json(run(str(log), "--json", "--data-centres", str(sites)))
    empty = {"placed": 0, "placed_again": 0, "placed_elsewhere": 0}
    empty |= {"reset": 0, "failed": 0}
    north = {"data_centre": "north", "omitted": {}, **empty}
    south = {**north, "data_centre": "south"}
    assert rows == [
        {"second": 1, "route": ROUTE, "asked": 2, "refused": {}}
        | {**north, "placed": 2, "placed_elsewhere": 1},
        {"second": 1, "route": ROUTE, "asked": 0, "refused": {}}
        | {**south, "placed_again": 1},
        {"second": 2, "route": "-", "asked": 0, "refused": {}}
        | {**north, "omitted": {"placed": 7}},
        {"second": 2, "route": ROUTE, "asked": 2}
        | {**north, "refused": {"answer expected too late": 2}, "failed": 1}
        | {"reset": 1},
        {"second": 2, "route": ROUTE, "asked": 1}
        | {**south, "refused": {"queue grew meanwhile": 1}},
    ]


# Guards against numbers that depend on the order in which files of processes are read.
def test_order_of_the_lines_does_not_matter() -> None:
    expected = count(LINES)
    for seed in range(20):
        shuffled = random.Random(seed).sample(LINES, len(LINES))
        for grouping in GROUPINGS:
            rows = count(shuffled).make_rows(grouping)
            assert rows == expected.make_rows(grouping)


# Guards against lines that are lost or doubled by a grouping.
def test_groupings_have_the_same_sums() -> None:
    counter = count(LINES)
    sums = {
        grouping: tuple(
            sum(getattr(row, name) for row in counter.make_rows(grouping))
            for name in ("asked", "placed", "placed_again", "reset", "failed")
        )
        for grouping in GROUPINGS
    }
    assert set(sums.values()) == {(5, 2, 1, 1, 1)}


def test_text_shows_totals_lines_and_unknown_data_centres(log: Path) -> None:
    text = run(str(log), "--by", "route").io.fetch_output()
    lines = [line.split() for line in text.splitlines()]
    reasons = "2 answer expected too late, 1 queue grew meanwhile"
    total = f"total 5 2 1 - 3 1 1 7 {reasons}".split()
    assert total in lines
    assert lines[2][:10] == [ROUTE, "-", "5", "2", "1", "-", "3", "1", "1", "0"]
    assert "lines: 9 decision, 1 not json, 1 omitted" in text


# Guards against a report of another form that makes the table unusable.
@pytest.mark.parametrize(
    ("report", "summary"),
    [
        (
            '{"score": 0.91, "sent": 7, "ok": true, "odd": NaN, "in": {"a": 1}}',
            {"score": 0.91, "sent": 7},
        ),
        ("[1, 2]", {}),
        ("3", {}),
    ],
)
def test_numbers_at_the_top_of_a_report_are_the_summary(
    log: Path, tmp_path: Path, report: str, summary: dict[str, float]
) -> None:
    path = tmp_path / "report.json"
    path.write_text(report, encoding="utf-8")
    document = json.loads(
        run(str(log), "--json", "--report", str(path)).io.fetch_output()
    )
    assert document["report"] == summary
    text = run(str(log), "--report", str(path)).io.fetch_output()
    assert all(f"{key}" in text for key in summary)


# Guards against a stack trace, or a table without a part that was asked for.
@pytest.mark.parametrize(
    "arguments",
    [
        ["missing.log"],
        ["{log}", "--by", "hour"],
        ["{log}", "--report", "{log}"],
        ["{log}", "--report", "missing.json"],
        ["{log}", "--data-centres", "{log}"],
        ["{log}", "--data-centres", "missing.json"],
        ["{log}", "--plot", "missing/load.png"],
        ["{log}", "--plot", "{log}.odd"],
    ],
)
def test_unusable_arguments_are_named(log: Path, arguments: list[str]) -> None:
    tester = run(*(argument.format(log=log) for argument in arguments))
    assert tester.status_code == ExitCode.USAGE
    assert tester.io.fetch_error().startswith("lentilfork-bench: ")


@pytest.mark.parametrize("lines", [LINES, []])
def test_picture_is_written(tmp_path: Path, lines: list[str]) -> None:
    log = tmp_path / "run.log"
    log.write_text("\n".join(lines), encoding="utf-8")
    picture = tmp_path / "load.png"
    assert run(str(log), "--plot", str(picture)).status_code == ExitCode.OK
    assert picture.read_bytes().startswith(PNG_START)


def write_large_log(path: Path) -> None:
    """Write a minute of 200 processes, in which most flows have two or three lines."""
    rng = random.Random(1)
    outcomes = ("placed", "handed over", "placed", "handed over", "refused")
    with path.open("w", encoding="utf-8") as file:
        for number in range(BENCH_LINES):
            at_s = 60 * number / BENCH_LINES
            fields = {
                "time": f"2026-12-04T10:05:{at_s:06.3f}Z",
                "level": "info",
                "process": f"edge-{rng.randrange(200)}/agent",
                "logger": "flows",
                "message": rng.choice(outcomes),
                "flow": f"100.64.0.7:{rng.randrange(20_000)}>198.18.0.1:443",
                "reason": "answer expected first",
                "agent": f"edge-far-{rng.randrange(200)}",
                "expected_ms": round(rng.uniform(10, 300), 1),
            }
            file.write(json.dumps(fields) + "\n")


# Guards against a table that takes longer than the run whose logs it reads.
def test_large_log_is_counted_within_its_share_of_five_seconds(tmp_path: Path) -> None:
    path = tmp_path / "large.log"
    write_large_log(path)
    elapsed_s = []
    # The shortest of a few runs, since other processes on the same core add to each.
    for _ in range(3):
        counter = LoadCounter(DataCentres(DATA_CENTRES))
        reader = LineReader(counter)
        started_at = time.process_time()
        count_files([str(path)], reader).unwrap()
        counter.make_rows("second-route")
        elapsed_s.append(time.process_time() - started_at)
        assert reader.lines == {"decision": BENCH_LINES}
    assert min(elapsed_s) <= BENCH_LINES / LINES_PER_S
