"""Backoff between a member's streams to controllers, and reading from a stream."""

import asyncio
import random
from collections.abc import AsyncIterator
from typing import Final

import grpc.aio

from lentilfork.schema import control_pb2

__all__ = ["draw_backoff_s", "read_updates"]

# Upper bounds of the random pause before the next attempt. While the lease has not
# expired yet, a lower bound applies, so that the member can still renew it in time.
FIRST_BACKOFF_MS: Final = 50
LEASED_BACKOFF_MS: Final = 200
MAXIMUM_BACKOFF_MS: Final = 2_000
MS_PER_S: Final = 1_000


def draw_backoff_s(failures: int, leased: bool, generator: random.Random) -> float:
    """Return the pause before the next attempt, in seconds.

    `failures` is the number of consecutive failed streams, at least one; `leased`
    tells whether the lease may still be renewed in time.
    """
    doubled_ms = FIRST_BACKOFF_MS * 2 ** min(failures - 1, 8)
    limit_ms = min(doubled_ms, LEASED_BACKOFF_MS if leased else MAXIMUM_BACKOFF_MS)
    return generator.uniform(0, limit_ms) / MS_PER_S


async def read_updates(
    call: "grpc.aio.StreamStreamCall[control_pb2.Heartbeat, control_pb2.Update]",
    patience_s: float,
) -> AsyncIterator[control_pb2.Update]:
    """Yield updates; raise TimeoutError if none arrives for `patience_s`."""
    while True:
        # `wait_for` would lose a cancellation that coincides with a message.
        async with asyncio.timeout(patience_s):
            update = await call.read()
        if not isinstance(update, control_pb2.Update):
            return
        yield update
