"""Ends the processes of a run when whoever started them is gone.

Reads `+PID` and `-PID` lines from standard input and, when the input ends, kills
what is left of the list. The input ends with its writer, however that one dies.
"""

import contextlib
import os
import signal
import sys
from collections.abc import Iterable

__all__ = ["kill_leftovers", "read_leftovers"]


def read_leftovers(lines: Iterable[str]) -> set[int]:
    """Return the process ids that were added and not taken off again."""
    pids: set[int] = set()
    for line in lines:
        sign, pid = line[:1], int(line[1:])
        if sign == "+":
            pids.add(pid)
        else:
            pids.discard(pid)
    return pids


def kill_leftovers(pids: Iterable[int]) -> None:
    """Kill processes; those already gone are passed over."""
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


if __name__ == "__main__":
    kill_leftovers(read_leftovers(sys.stdin))
