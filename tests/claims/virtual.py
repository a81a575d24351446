"""An event loop whose time passes only when nothing is left to run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

__all__ = ["VirtualLoop", "run_virtually"]


class SkippingSelector(selectors.SelectSelector):
    """Skips the wait for the next timer."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the loop's time by `timeout`; no file is ever ready."""
        if timeout is None:
            raise RuntimeError("nothing is left to run")
        self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs hours of timers in an instant, in the same order each time."""

    now: float

    def __init__(self) -> None:
        self.now = 0.0
        selector = SkippingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now


def run_virtually(work: Coroutine[Any, Any, None]) -> None:
    """Run `work` in a loop of its own, then cancel what it left behind."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(work)
        while left := asyncio.all_tasks(loop):
            for task in left:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
    finally:
        loop.close()
