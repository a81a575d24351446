"""Reading of the JSON log lines that processes write about flows.

A line is one JSON object, see `lentilfork.logs`. A simulation may write its own time
and a process name before the object; both then replace those of the object. Only the
lines that `load_table` counts are converted; all others are checked for being JSON.
"""

import re
from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from datetime import UTC
from datetime import datetime
from typing import Final
from typing import Protocol

import msgspec

__all__ = ["Decision", "LineReader", "format_second"]

# Text that every decision about a flow contains, and the line that counts the decisions
# above the limit of `DecisionLog`.
DECISION_MARK: Final = b'"flow"'
OMITTED_MARK: Final = b'"lines left out"'
OMITTED_MESSAGE: Final = "lines left out"
# Fields of such a line that are not numbers of omitted lines.
RECORD_FIELDS: Final = frozenset({"time", "level", "process", "logger", "message"})
# Length of an ISO 8601 time up to the whole second, such as 2026-12-04T10:05:13.
SECOND_CHARACTERS: Final = 19
# Times below this are simulated, in seconds; others are Unix times (after 1973).
FIRST_UNIX_TIME: Final = 100_000_000
SIMULATED_TIME: Final = re.compile(r"\d+(?:\.\d+)?s?", re.ASCII)
# A time whose first characters, up to the second, are a key of `LineReader.seconds`.
UTC_TIME: Final = re.compile(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(?:\.\d+)?Z", re.ASCII)
BRACKETS: Final = "[](){}<>|,;:="


class Decision(msgspec.Struct, gc=False):
    """The fields of a decision line that are counted."""

    # The outcome, such as "placed" or "refused".
    message: str
    # "caller:port>address:port".
    flow: str
    # ISO 8601 text or seconds.
    time: str | float = ""
    process: str = ""
    reason: str = ""
    # The agent that a placed flow was offered to.
    agent: str = ""


class LineHandler(Protocol):
    """Receives the contents of log lines."""

    def add_decision(self, at_s: float, process: str, decision: Decision) -> None:
        """Handle a decision about a flow."""

    def add_omitted(self, at_s: float, process: str, counts: Mapping[str, int]) -> None:
        """Handle the numbers of decision lines by outcome that were not written."""


def format_second(second: int) -> str:
    """Return a second as ISO 8601 text in UTC, or as a number if it is simulated."""
    if second < FIRST_UNIX_TIME:
        return str(second)
    return f"{datetime.fromtimestamp(second, UTC):%Y-%m-%dT%H:%M:%SZ}"


def read_prefix(prefix: bytes) -> tuple[str, str]:
    """Return the time and the process name before the object, "" for each missing one.

    The first word that is a number of seconds or an ISO 8601 time is the time; the
    first other word is the name.
    """
    words = [
        word
        for part in prefix.decode("utf-8", "replace").split()
        if (word := part.strip(BRACKETS))
    ]
    times = [word for word in words if is_time(word)]
    names = [word for word in words if not is_time(word)]
    return next(iter(times), "").removesuffix("s"), next(iter(names), "")


def is_time(word: str) -> bool:
    """Return whether a word of a prefix is a time."""
    if SIMULATED_TIME.fullmatch(word):
        return True
    try:
        datetime.fromisoformat(word)
    except ValueError:
        return False
    return True


class LineReader:
    """Passes decisions to a handler and counts the lines that are skipped."""

    handler: LineHandler
    # Numbers of lines by what they are: "decision", "omitted" (a number of omitted
    # lines), "other", "not_json" and "without_time".
    lines: Counter[str]
    # Unix times by the part of an ISO 8601 time up to the second, which most lines
    # share with others.
    seconds: dict[str, int]

    def __init__(self, handler: LineHandler) -> None:
        self.handler = handler
        self.lines = Counter()
        self.seconds = {}
        self.decode_decision = msgspec.json.Decoder(Decision).decode
        self.decode_object = msgspec.json.Decoder(dict[str, object]).decode
        # Checks the syntax without building objects.
        self.check = msgspec.json.Decoder(msgspec.Raw).decode

    def read(self, lines: Iterable[bytes]) -> None:
        """Read lines and count them by what they are."""
        count = Counter(map(self.read_line, lines))
        self.lines.update({kind: number for kind, number in count.items() if kind})

    def read_line(self, line: bytes) -> str:
        """Read one line; return what it is, "" if it is empty."""
        start = line.find(b"{")
        time, process = "", ""
        if start > 0:
            time, process = read_prefix(line[:start])
            line = line[start:]
        try:
            if start < 0:
                return "not_json" if line.strip() else ""
            if DECISION_MARK in line:
                return self.read_decision(line, time, process)
            if OMITTED_MARK in line:
                return self.read_omitted(line, time, process)
        except msgspec.ValidationError:
            # Not a line of `DecisionLog`; the rest of it has not been read.
            return self.classify_other(line)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return "not_json"
        return self.classify_other(line)

    def classify_other(self, line: bytes) -> str:
        """Return whether a line that is not counted is JSON: "other" or "not_json"."""
        try:
            self.check(line)
        except (msgspec.DecodeError, RecursionError):
            return "not_json"
        return "other"

    def read_decision(self, line: bytes, time: str, process: str) -> str:
        """Read a line with a decision; a time and process before it precede its own."""
        decision = self.decode_decision(line)
        at_s = self.read_time(time or decision.time)
        if at_s is None:
            return "without_time"
        self.handler.add_decision(at_s, process or decision.process, decision)
        return "decision"

    def read_omitted(self, line: bytes, time: str, process: str) -> str:
        """Read a line with the numbers of omitted lines by outcome."""
        fields = self.decode_object(line)
        if fields.get("message") != OMITTED_MESSAGE:
            return "other"
        at_s = self.read_time(time or fields.get("time"))
        if at_s is None:
            return "without_time"
        counts = {
            key: value
            for key, value in fields.items()
            if key not in RECORD_FIELDS and isinstance(value, int)
        }
        process = process or str(fields.get("process", ""))
        self.handler.add_omitted(at_s, process, counts)
        return "omitted"

    def read_time(self, time: object) -> float | None:
        """Return a time in seconds; None if it isn't one."""
        if not isinstance(time, str):
            return float(time) if isinstance(time, int | float) else None
        second = self.seconds.get(time[:SECOND_CHARACTERS])
        if second is None or not time.endswith("Z"):
            return self.parse_time(time)
        try:
            return second + float(time[SECOND_CHARACTERS:-1] or 0)
        except ValueError:
            return None

    def parse_time(self, time: str) -> float | None:
        """Return a time that is a number or ISO 8601 text, which is UTC by default."""
        try:
            if SIMULATED_TIME.fullmatch(time):
                return float(time.removesuffix("s"))
            moment = datetime.fromisoformat(time)
        except ValueError:
            return None
        if moment.tzinfo is None:
            moment = moment.replace(tzinfo=UTC)
        if UTC_TIME.fullmatch(time):
            whole = moment.replace(microsecond=0)
            self.seconds[time[:SECOND_CHARACTERS]] = int(whole.timestamp())
        return moment.timestamp()
