"""An event loop with virtual time, which advances only while no callback is ready."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

__all__ = ["VirtualLoop", "run_in_virtual_time"]


class SkippingSelector(selectors.SelectSelector):
    """Selector that advances the virtual time instead of waiting for a timer."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the loop's time by `timeout`; report no file as ready."""
        if timeout is None:
            raise RuntimeError("the event loop has neither callbacks nor timers left")
        self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers without waiting, in a deterministic order."""

    now: float

    def __init__(self) -> None:
        self.now = 0.0
        selector = SkippingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self.now


def run_in_virtual_time(work: Coroutine[Any, Any, None]) -> None:
    """Run `work` in a new virtual loop, then cancel the tasks that remain."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(work)
        while remaining := asyncio.all_tasks(loop):
            for task in remaining:
                task.cancel()
            loop.run_until_complete(asyncio.gather(*remaining, return_exceptions=True))
    finally:
        loop.close()
