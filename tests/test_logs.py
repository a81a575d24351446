"""Log records: one line each, whatever their fields or messages contain."""

import json
import subprocess
import sys

import pytest

# Run in a separate process, because log handlers are installed for a whole process.
SCRIPT = """
import logging, sys
from lentilfork.logs import Logger, configure_logs
from lentilfork.settings import LogSettings
configure_logs(LogSettings(format=sys.argv[1], level="notice"), "entry-1")
log = Logger("test")
log.info("too low")
log.warning("joined", term=7, text="a b\\nc", empty="", done=True)
logging.getLogger("library").warning("two\\nlines %d", 3)
try:
    1 / 0
except ZeroDivisionError:
    log.exception("failed")
"""


def run_script(log_format: str) -> list[str]:
    """Run the script with a log format; return the lines that it logs."""
    command = [sys.executable, "-c", SCRIPT, log_format]
    finished = subprocess.run(command, capture_output=True, check=True, text=True)
    return finished.stderr.splitlines()


def test_json_records_keep_the_types_of_fields() -> None:
    joined, library, failed = map(json.loads, run_script("json"))
    assert joined["process"] == "entry-1"
    assert (joined["term"], joined["text"]) == (7, "a b\nc")
    assert joined["done"] is True
    assert (library["logger"], library["message"]) == ("library", "two\nlines 3")
    assert "ZeroDivisionError" in failed["exception"]


@pytest.mark.parametrize(
    ("number", "expected"),
    [
        (0, 'warning entry-1 test: joined term=7 text="a b\\nc" empty="" done=True'),
        (1, "warning entry-1 library: two lines 3"),
        (2, 'error entry-1 test: failed exception="Traceback'),
    ],
)
def test_text_records_are_one_line_each(number: int, expected: str) -> None:
    lines = run_script("text")
    assert len(lines) == 3
    assert expected in lines[number]
