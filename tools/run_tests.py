"""Run the test suite and reconciles its failures with KNOWN-RED.txt.

A listed test that fails is printed and does not fail the run; every other failure
does. A listed test that passed is printed too, so that its entry is looked at.
"""

import os
import re
import subprocess
import sys
import xml.etree.ElementTree as ElementTree
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent
KNOWN_RED: Final = ROOT / "KNOWN-RED.txt"
REPORT: Final = ROOT / "build" / "tests.xml"
PYTEST_NO_FAILURE_CODES: Final = {0, 1}
WORKERS: Final = "4"


def read_known_red() -> set[str]:
    """Return the ids of the tests listed as failing."""
    if not KNOWN_RED.exists():
        return set()
    text = KNOWN_RED.read_text(encoding="utf-8")
    return set(re.findall(r"^test: (\S+)", text, flags=re.MULTILINE))


def read_failures() -> set[str]:
    """Return the ids of the tests that failed in the last run."""
    cases = ElementTree.parse(REPORT).getroot().iter("testcase")
    return {
        f"{case.get('classname', '').replace('.', '/')}.py::{case.get('name')}"
        for case in cases
        if case.find("failure") is not None or case.find("error") is not None
    }


def main() -> int:
    """Run pytest; returns its exit code, corrected by the list."""
    REPORT.parent.mkdir(exist_ok=True)
    command = [sys.executable, "-m", "pytest", f"--junitxml={REPORT}"]
    command += ["-n", os.environ.get("TEST_WORKERS", WORKERS), *sys.argv[1:]]
    code = subprocess.run(command, cwd=ROOT, check=False).returncode
    if code not in PYTEST_NO_FAILURE_CODES:
        return code
    known, failures = read_known_red(), read_failures()
    for test in sorted(known & failures):
        print(f"known red: {test}")
    fresh = sorted(failures - known)
    mended = sorted(known - failures)
    for test in mended:
        print(f"listed in KNOWN-RED.txt but did not fail: {test}")
    for test in fresh:
        print(f"failed: {test}")
    return 1 if fresh else 0


if __name__ == "__main__":
    sys.exit(main())
