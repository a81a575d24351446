"""Background tasks of a process, whose errors are logged.

A process whose heartbeats or timers have ended looks alive but does not work, so tasks
that must run until the process stops are restarted after an unexpected error.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final

from lentilfork.logs import Logger

__all__ = ["raise_if_cancelled", "start_supervised", "start_task"]

# Limits the log lines and the processor time of a task that fails again and again.
RESTART_DELAY_S: Final = 0.2

log = Logger("tasks")


def start_task(work: Coroutine[Any, Any, None], name: str) -> "asyncio.Task[None]":
    """Start a task and log the error if it fails."""
    task = asyncio.create_task(work, name=name)
    task.add_done_callback(log_failed_task)
    return task


def start_supervised(
    run: Callable[[], Coroutine[Any, Any, None]], name: str
) -> "asyncio.Task[None]":
    """Start a task that calls `run` again whenever that raises an exception."""
    return asyncio.create_task(restart_after_errors(run, name), name=name)


async def restart_after_errors(
    run: Callable[[], Coroutine[Any, Any, None]], name: str
) -> None:
    """Call `run` until it returns; log each exception and call it again."""
    while True:
        try:
            await run()
        except Exception as error:
            log.critical(
                "task failed; restarting it",
                task=name,
                error=repr(error),
                exc_info=True,
            )
        else:
            return
        await asyncio.sleep(RESTART_DELAY_S)


def raise_if_cancelled() -> None:
    """Raise CancelledError if the current task has been cancelled.

    For handlers of errors of gRPC calls: a call whose connection breaks while its
    caller is being cancelled raises its own error in place of CancelledError, and a
    task that continued would never end.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


def log_failed_task(task: "asyncio.Task[None]") -> None:
    """Log the exception that ended a task, if any."""
    if not task.cancelled() and task.exception() is not None:
        log.critical("task failed", task=task.get_name(), error=repr(task.exception()))
