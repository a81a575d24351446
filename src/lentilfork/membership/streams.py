"""Backoff between a member's streams to controllers, and reading from a stream."""

import asyncio
import random
from collections.abc import AsyncIterator
from typing import Final

import grpc.aio

from lentilfork.schema import control_pb2

__all__ = ["draw_backoff_s", "read_updates"]

# Upper bounds of the random pause before the next attempt. The bound is smaller while
# the lease has not expired yet, so that the member can still renew it in time.
FIRST_BACKOFF_MS: Final = 50
RENEWAL_BACKOFF_MS: Final = 200
MAXIMUM_BACKOFF_MS: Final = 2_000
MS_PER_S: Final = 1_000


def draw_backoff_s(
    failed_streams: int, is_renewable: bool, rng: random.Random
) -> float:
    """Return the pause before the next attempt, in seconds.

    `failed_streams` is the number of consecutive failed streams, at least one;
    `is_renewable` tells whether the lease may still be renewed in time.
    """
    doubled_ms = FIRST_BACKOFF_MS * 2 ** min(failed_streams - 1, 8)
    limit_ms = min(
        doubled_ms, RENEWAL_BACKOFF_MS if is_renewable else MAXIMUM_BACKOFF_MS
    )
    return rng.uniform(0, limit_ms) / MS_PER_S


async def read_updates(
    call: "grpc.aio.StreamStreamCall[control_pb2.Heartbeat, control_pb2.Update]",
    timeout_s: float,
) -> AsyncIterator[control_pb2.Update]:
    """Yield updates; raise TimeoutError if none arrives for `timeout_s`."""
    while True:
        # `wait_for` would lose a cancellation that coincides with a message.
        async with asyncio.timeout(timeout_s):
            update = await call.read()
        if not isinstance(update, control_pb2.Update):
            return
        yield update
