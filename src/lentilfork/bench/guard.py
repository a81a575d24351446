"""Kills the remaining processes of a run when the launcher has exited.

Reads `+PID` and `-PID` lines, which add and remove processes, from standard input and
kills those still listed at the end of the input. The operating system closes the pipe
when the launcher exits, so this also works if the launcher is killed.
"""

import contextlib
import os
import signal
import sys
from collections.abc import Iterable

__all__ = ["kill_processes", "read_remaining_pids"]


def read_remaining_pids(lines: Iterable[str]) -> set[int]:
    """Return the process ids that were added and not removed."""
    pids: set[int] = set()
    for line in lines:
        sign, pid = line[:1], int(line[1:])
        if sign == "+":
            pids.add(pid)
        else:
            pids.discard(pid)
    return pids


def kill_processes(pids: Iterable[int]) -> None:
    """Kill processes; those that have already exited are ignored."""
    for pid in pids:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


if __name__ == "__main__":
    kill_processes(read_remaining_pids(sys.stdin))
