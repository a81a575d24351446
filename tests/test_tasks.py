"""Background tasks: one error does not end the work of a process."""

import asyncio
from collections.abc import Callable

import pytest

from lentilfork import tasks
from lentilfork.tasks import raise_if_cancelled
from lentilfork.tasks import start_supervised


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


async def test_task_is_restarted_after_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.01)
    steps: list[int] = []

    async def run() -> None:
        while True:
            steps.append(len(steps))
            if len(steps) in {2, 5}:
                raise ValueError("unexpected")
            await asyncio.sleep(0.001)

    task = start_supervised(run, "steps")
    await wait_until(lambda: len(steps) > 10)
    assert not task.done()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_task_that_returns_is_not_restarted() -> None:
    runs = 0

    async def run() -> None:
        nonlocal runs
        runs += 1

    await start_supervised(run, "once")
    assert runs == 1


class BrokenCallError(Exception):
    """Raised by a call in place of CancelledError."""


async def test_call_that_breaks_while_it_is_cancelled_does_not_keep_its_task() -> None:
    waiting = asyncio.Event()

    async def call() -> None:
        waiting.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            raise BrokenCallError from None

    async def run() -> None:
        while True:
            try:
                await call()
            except BrokenCallError:
                raise_if_cancelled()

    task = asyncio.create_task(run())
    await waiting.wait()
    task.cancel()
    async with asyncio.timeout(5.0):
        await asyncio.wait([task])
    assert task.cancelled()


async def test_broken_call_of_a_task_that_is_not_cancelled_is_ignored() -> None:
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await asyncio.sleep(60)
    raise_if_cancelled()
