"""Slots of one backend server and the queue in front of them.

One call more than there are slots is sent to the backend server (prefetch), so that a
slot does not idle between the answer to one call and the arrival of the next. If the
backend server sheds a prefetched call, prefetching is turned off.

A request is refused immediately when the queue is full or when it would miss its
deadline. Every decision uses the limits of the preset that is active at that moment, so
switching presets needs no restart.
"""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from enum import unique
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork.state.model import Preset

__all__ = ["Refusal", "RefusalReason", "SlotQueue"]

# Weight of one sample in the moving average; low, as service times vary widely.
SMOOTHING: Final = 0.05
# Calls sent to the backend server beyond its slots.
PREFETCH_CALLS: Final = 1
MINIMUM_RETRY_AFTER_S: Final = 1
US_PER_S: Final = 1_000_000


@unique
class RefusalReason(StrEnum):
    """Why a request was not admitted."""

    QUEUE_FULL = "queue-full"
    QUEUE_TIME = "queue-time"
    DEADLINE = "deadline"
    NOT_SERVING = "not-serving"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not admitted, and when the caller may retry."""

    reason: RefusalReason
    retry_after_s: int


class SlotQueue:
    """Admits requests to the slots of one backend server, first come first served."""

    slots: int
    # Calls that may be in flight beyond the slots.
    prefetch: int
    # Calls in flight, prefetched ones included.
    running: int
    # Monotonic time at which the last call ended, in seconds.
    released_at: float
    # Requests waiting for a slot, in order of arrival.
    waiting: deque[asyncio.Future[None]]
    # Moving average of the time of a successful request in its slot, microseconds;
    # 0: none has ended yet.
    service_time_us: float

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.prefetch = PREFETCH_CALLS
        self.running = 0
        self.released_at = 0.0
        self.waiting = deque()
        self.service_time_us = 0.0

    def predict_wait_s(self) -> float:
        """Return the expected time until a new request gets a slot."""
        if self.running < self.slots:
            return 0.0
        rounds = (len(self.waiting) + self.running + 1 - self.slots) / self.slots
        return rounds * self.service_time_us / US_PER_S

    def make_refusal(self, reason: RefusalReason) -> Err[Refusal]:
        """Return a refusal to be retried after the expected wait for a slot."""
        wait = max(MINIMUM_RETRY_AFTER_S, round(self.predict_wait_s()))
        return Err(Refusal(reason, wait))

    def make_unavailable_refusal(self) -> Err[Refusal]:
        """Return the refusal of an agent that accepts no work at present."""
        return self.make_refusal(RefusalReason.NOT_SERVING)

    def find_refusal_reason(
        self, deadline: float, limits: Preset
    ) -> RefusalReason | None:
        """Return why a new request would be refused now; None if it would be admitted.

        `deadline` is on the monotonic clock, in seconds.
        """
        wait = self.predict_wait_s()
        if len(self.waiting) >= limits.queue_per_slot * self.slots:
            return RefusalReason.QUEUE_FULL
        if wait * 1000 > limits.queue_time_ms:
            return RefusalReason.QUEUE_TIME
        predicted_end = time.monotonic() + wait + self.service_time_us / US_PER_S
        return RefusalReason.DEADLINE if predicted_end > deadline else None

    async def acquire(self, deadline: float, limits: Preset) -> Result[None, Refusal]:
        """Wait for a slot; `deadline` is on the monotonic clock, in seconds.

        On Ok the caller holds a slot and must call `release`.
        """
        reason = self.find_refusal_reason(deadline, limits)
        if reason is not None:
            return self.make_refusal(reason)
        if self.running < self.slots + self.prefetch and not self.waiting:
            self.running += 1
            return Ok(None)
        remaining_s = deadline - time.monotonic()
        return await self.wait_for_slot(min(remaining_s, limits.queue_time_ms / 1000))

    async def acquire_admitted(self, deadline: float) -> Result[None, Refusal]:
        """Wait for a slot for work that was admitted earlier.

        Only its deadline limits the wait, not the preset. On Ok the caller holds a
        slot and must call `release`.
        """
        if self.running < self.slots + self.prefetch and not self.waiting:
            self.running += 1
            return Ok(None)
        return await self.wait_for_slot(deadline - time.monotonic())

    async def wait_for_slot(self, timeout_s: float) -> Result[None, Refusal]:
        """Wait in the queue until a slot is assigned or the timeout expires."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                await waiter
        except TimeoutError:
            self.cancel_wait(waiter)
            return self.make_refusal(RefusalReason.QUEUE_TIME)
        except asyncio.CancelledError:
            self.cancel_wait(waiter)
            raise
        return Ok(None)

    def cancel_wait(self, waiter: asyncio.Future[None]) -> None:
        """Leave the queue, or release the slot if one was already assigned."""
        if waiter.done() and not waiter.cancelled():
            self.release()
        elif waiter in self.waiting:
            self.waiting.remove(waiter)

    def release(self) -> None:
        """Free a slot, or assign it to the next request in the queue."""
        self.released_at = time.monotonic()
        if self.running > self.slots + self.prefetch:
            # Prefetching was turned off during this call, so nothing replaces it.
            self.running -= 1
            return
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1
        assert self.running >= 0

    def stop_prefetch(self) -> bool:
        """Turn prefetching off if a call is prefetched; return whether one was."""
        was_prefetched = self.prefetch > 0 and self.running > self.slots
        if was_prefetched:
            self.prefetch = 0
        return was_prefetched

    def record_service_time(self, started_at: float) -> None:
        """Add the duration of a call that ended now to the moving average.

        A prefetched call waits at the backend server, so it is assumed to begin
        when the previous call ended. `started_at` is on the monotonic clock, in
        seconds.
        """
        call_started_at = (
            max(started_at, self.released_at) if self.prefetch else started_at
        )
        sample = (time.monotonic() - call_started_at) * US_PER_S
        if self.service_time_us == 0:
            self.service_time_us = sample
        else:
            self.service_time_us += SMOOTHING * (sample - self.service_time_us)
