"""Control of a bench process at run time, by lines on its standard input.

Each line is one JSON object, which is passed to `apply`. The process answers with a
line on standard output, so that the launcher knows when the change is applied. The
process exits at the end of its input, so it never outlives its launcher.
"""

import asyncio
import json
import os
import signal
import stat
import sys
from collections.abc import Callable
from typing import Any
from typing import Final

__all__ = ["ANSWER_APPLIED", "ANSWER_READY", "ControlChange", "serve_control"]

ANSWER_READY: Final = "ready"
ANSWER_APPLIED: Final = "applied"
ANSWER_REFUSED: Final = "refused"

ControlChange = dict[str, Any]


def print_line(text: str) -> None:
    """Write one line to standard output without buffering."""
    print(text, flush=True)


async def serve_control(apply: Callable[[ControlChange], None]) -> None:
    """Apply control lines until the input ends or a signal asks to stop.

    Returns on SIGTERM, on SIGINT and at the end of the input. Standard input that is
    not a pipe (a terminal, /dev/null) is not read.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    print_line(ANSWER_READY)
    reader_task = asyncio.create_task(read_changes(apply, stopped))
    await stopped.wait()
    reader_task.cancel()


async def read_changes(
    apply: Callable[[ControlChange], None], stopped: asyncio.Event
) -> None:
    """Apply lines from standard input; sets `stopped` at its end."""
    if not stat.S_ISFIFO(os.fstat(sys.stdin.fileno()).st_mode):
        return
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: protocol, sys.stdin)
    while line := await reader.readline():
        print_line(apply_line(apply, line))
    stopped.set()


def apply_line(apply: Callable[[ControlChange], None], line: bytes) -> str:
    """Apply one control line; returns the answer to it."""
    try:
        apply(json.loads(line))
    except (ValueError, TypeError, KeyError) as error:
        return f"{ANSWER_REFUSED}: {error}"
    return ANSWER_APPLIED
