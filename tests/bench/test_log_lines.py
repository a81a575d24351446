"""What is read from log lines of several forms, and what is skipped."""

import json
from collections.abc import Mapping

import pytest

from lentilfork.bench.log_lines import Decision
from lentilfork.bench.log_lines import LineReader
from lentilfork.bench.log_lines import format_second

FLOW = "100.64.0.7:40001>198.18.0.1:443"
AT_S = 1_796_378_713


class Recorder:
    """Records what a reader passes on."""

    def __init__(self) -> None:
        self.decisions: list[tuple[float, str, str]] = []
        self.omitted: list[tuple[float, str, Mapping[str, int]]] = []

    def add_decision(self, at_s: float, process: str, decision: Decision) -> None:
        """Record a decision."""
        self.decisions.append((at_s, process, decision.message))

    def add_omitted(self, at_s: float, process: str, counts: Mapping[str, int]) -> None:
        """Record omitted lines."""
        self.omitted.append((at_s, process, counts))


def make_line(message: str = "placed", **fields: object) -> bytes:
    """Return a line as `logs` writes it."""
    values: dict[str, object] = {
        "time": "2026-12-04T10:05:13.250Z",
        "level": "info",
        "process": "edge-1/agent",
        "logger": "flows",
        "message": message,
        "flow": FLOW,
        "reason": "answer expected first",
        **fields,
    }
    return json.dumps(values).encode() + b"\n"


def read(*lines: bytes) -> tuple[Recorder, LineReader]:
    recorder = Recorder()
    reader = LineReader(recorder)
    reader.read(lines)
    return recorder, reader


# Guards against rows in the wrong second, for each form of time that logs have.
@pytest.mark.parametrize(
    ("time", "at_s"),
    [
        ("2026-12-04T10:05:13.250Z", AT_S + 0.25),
        ("2026-12-04T10:05:13Z", AT_S),
        ("2026-12-04T10:05:13.250", AT_S + 0.25),
        ("2026-12-04T11:05:13.250+01:00", AT_S + 0.25),
        (8.4596, 8.4596),
        ("8.4596", 8.4596),
    ],
)
def test_time_is_read_in_each_form(time: object, at_s: float) -> None:
    recorder, _ = read(make_line(time=time), make_line(time=time))
    assert [item[0] for item in recorder.decisions] == [at_s, at_s]


# Guards against lines of a simulation that are counted at the time of the machine.
@pytest.mark.parametrize(
    ("prefix", "at_s", "process"),
    [
        (b"8.4596 side-nuwara-b-2 ", 8.4596, "side-nuwara-b-2"),
        (b"[8.4596] side-nuwara-b-2/agent: ", 8.4596, "side-nuwara-b-2/agent"),
        (b"side-2 | 12.5s | ", 12.5, "side-2"),
        (b"2026-12-04T10:05:13.250Z ", AT_S + 0.25, "edge-1/agent"),
        (b"side-2 ", AT_S + 0.25, "side-2"),
        (b"\xff ", AT_S + 0.25, "\N{REPLACEMENT CHARACTER}"),
    ],
)
def test_prefix_replaces_time_and_process(
    prefix: bytes, at_s: float, process: str
) -> None:
    recorder, _ = read(prefix + make_line())
    assert recorder.decisions == [(at_s, process, "placed")]


# Guards against a run that can't be read because of one damaged line.
def test_lines_that_cannot_be_counted_are_skipped_and_counted() -> None:
    recorder, reader = read(
        b"Traceback (most recent call last):\n",
        b"\n",
        make_line()[:60] + b"\n",
        b'{"flow": "\xff", "message": "placed"}\n',
        b'{"flow": ' + b"[" * 100_000 + b"\n",
        b'{"message": "started"}\n',
        make_line(flow=7),
        make_line(time="yesterday"),
        make_line(time="2026-12-04T10:05:13.x5Z"),
        b'"flow"\n',
        make_line(),
        make_line(time="2026-12-04T10:05:13.x5Z"),
    )
    assert [item[2] for item in recorder.decisions] == ["placed"]
    assert reader.lines == {
        "not_json": 5,
        "other": 2,
        "without_time": 3,
        "decision": 1,
    }


# Guards against omitted lines that are counted as decisions or not at all.
def test_omitted_lines_are_read_by_outcome() -> None:
    line = {
        "time": 3.5,
        "level": "info",
        "process": "edge-1/agent",
        "logger": "flows",
        "message": "lines left out",
        "placed": 460,
        "offered again": 3,
    }
    other = {**line, "message": 'says "lines left out"', "odd": '"lines left out"'}
    recorder, reader = read(json.dumps(line).encode(), json.dumps(other).encode())
    assert recorder.omitted == [
        (3.5, "edge-1/agent", {"placed": 460, "offered again": 3})
    ]
    assert reader.lines == {"omitted": 1, "other": 1}


def test_seconds_are_shown_as_simulated_or_as_utc() -> None:
    assert format_second(8) == "8"
    assert format_second(AT_S) == "2026-12-04T10:05:13Z"
