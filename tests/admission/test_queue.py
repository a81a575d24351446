"""Admission control: requests that would be late are refused; no slot is leaked."""

import asyncio
import time

import pytest

from lentilfork.admission import EndpointWeight
from lentilfork.admission import RefusalReason
from lentilfork.admission import RetryBudget
from lentilfork.admission import SlotQueue
from lentilfork.state.model import Preset

LIMITS = Preset("test", 2, 1000, 10, 0, 1000, 1000, 0)


async def fill_slot(queue: SlotQueue, service_time_s: float = 0.2) -> None:
    for _ in range(queue.slots + queue.prefetch):
        assert (await queue.acquire(time.monotonic() + 10, LIMITS)).is_ok()
    queue.record_service_time(time.monotonic() - service_time_s)


@pytest.mark.parametrize(
    ("service_time_s", "left_s", "reason"),
    [
        (2.0, 10, RefusalReason.QUEUE_TIME),
        (0.2, 0.3, RefusalReason.DEADLINE),
    ],
)
async def test_request_that_would_be_late_is_refused_without_waiting(
    service_time_s: float, left_s: float, reason: RefusalReason
) -> None:
    queue = SlotQueue(1)
    await fill_slot(queue, service_time_s)
    refused = await queue.acquire(time.monotonic() + left_s, LIMITS)
    assert refused.unwrap_err().reason is reason
    assert not queue.waiting


async def test_full_queue_refuses() -> None:
    queue = SlotQueue(1)
    await fill_slot(queue)
    deadline = time.monotonic() + 10
    waiting = [asyncio.create_task(queue.acquire(deadline, LIMITS)) for _ in range(2)]
    await asyncio.sleep(0)
    refused = await queue.acquire(deadline, LIMITS)
    assert refused.unwrap_err().reason is RefusalReason.QUEUE_FULL
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


async def test_slot_of_a_cancelled_waiter_is_assigned_to_the_next() -> None:
    queue = SlotQueue(1)
    await fill_slot(queue)
    deadline = time.monotonic() + 10
    first = asyncio.create_task(queue.acquire(deadline, LIMITS))
    second = asyncio.create_task(queue.acquire(deadline, LIMITS))
    await asyncio.sleep(0)
    # The slot is assigned to the first, which is cancelled before its task resumes.
    queue.release()
    first.cancel()
    assert (await second).is_ok()
    for _ in range(queue.slots + queue.prefetch):
        queue.release()
    assert queue.running == 0


async def test_wait_is_bounded_by_queue_time_while_no_slot_is_released() -> None:
    queue = SlotQueue(1)
    await fill_slot(queue, 0.01)
    limits = Preset("short", 2, 50, 10, 0, 1000, 1000, 0)
    refused = await queue.acquire(time.monotonic() + 10, limits)
    assert refused.unwrap_err().reason is RefusalReason.QUEUE_TIME
    for _ in range(queue.slots + queue.prefetch):
        queue.release()
    assert queue.running == 0


async def test_shed_prefetched_call_turns_prefetching_off() -> None:
    queue = SlotQueue(1)
    await fill_slot(queue)
    assert queue.stop_prefetch()
    queue.release()
    assert queue.running == 1
    assert not queue.stop_prefetch()
    waiting = asyncio.create_task(queue.acquire(time.monotonic() + 10, LIMITS))
    await asyncio.sleep(0)
    assert not waiting.done()
    queue.release()
    assert (await waiting).is_ok()


def test_retries_stay_within_the_budget() -> None:
    budget = RetryBudget()
    while budget.try_acquire():
        pass
    spent = 0
    for _ in range(1000):
        budget.record_request(10)
        spent += budget.try_acquire()
    assert 90 <= spent <= 100


def test_endpoint_that_fails_fast_loses_its_weight() -> None:
    weight = EndpointWeight()
    assert weight.compute_percent(0) == 100
    for _ in range(20):
        weight.record_outcome(failed=True)
    assert weight.compute_percent(0) == 1
