"""What a member's streams to controllers need: pauses between them, and reading."""

import asyncio
import random
from collections.abc import AsyncIterator
from typing import Final

import grpc.aio

from lentilfork.schema import control_pb2

__all__ = ["draw_backoff_s", "read_updates"]

# Longest pause before the next attempt; the pause is drawn at random below it.
# While the lease may still be saved, attempts follow each other closely.
FIRST_BACKOFF_MS: Final = 50
LEASED_BACKOFF_MS: Final = 200
MAXIMUM_BACKOFF_MS: Final = 2_000
MS_PER_S: Final = 1_000


def draw_backoff_s(failures: int, leased: bool, generator: random.Random) -> float:
    """Return the pause before the next attempt, in seconds.

    `failures` counts streams in a row, at least one; `leased` tells whether the
    lease may still be saved.
    """
    doubled_ms = FIRST_BACKOFF_MS * 2 ** min(failures - 1, 8)
    limit_ms = min(doubled_ms, LEASED_BACKOFF_MS if leased else MAXIMUM_BACKOFF_MS)
    return generator.uniform(0, limit_ms) / MS_PER_S


async def read_updates(
    call: "grpc.aio.StreamStreamCall[control_pb2.Heartbeat, control_pb2.Update]",
    patience_s: float,
) -> AsyncIterator[control_pb2.Update]:
    """Yield updates; raises TimeoutError when none came for `patience_s`."""
    while True:
        # Unlike `wait_for`, this loses no cancellation that comes with a message.
        async with asyncio.timeout(patience_s):
            update = await call.read()
        if not isinstance(update, control_pb2.Update):
            return
        yield update
