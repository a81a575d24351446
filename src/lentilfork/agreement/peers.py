"""What the leader knows about the progress of one other controller."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from lentilfork.agreement.core import log
from lentilfork.agreement.transport import TransportError
from lentilfork.state.model import Controller

__all__ = ["Peer"]

# Timeout of a call with one batch.
APPEND_TIMEOUT_S: Final = 1.0
# Timeout of a call with something much larger, such as a snapshot.
MAXIMUM_TIMEOUT_S: Final = 20.0
MAXIMUM_BATCH_BYTES: Final = 512 * 1024
MINIMUM_BATCH_BYTES: Final = 16 * 1024
# A batch without a reply divides the size of the next one by this; a large one with a
# reply doubles it.
BATCH_DIVISOR: Final = 4


@dataclass(slots=True)
class Peer:
    """Replication progress of another controller, as known to the leader."""

    controller: Controller
    # Index of the next entry to send.
    next_index: int
    # Loop time at which the latest acknowledged request was sent.
    last_ack_s: float
    # Index of the last entry known to be synced to the data folder `disk_id`.
    match_index: int = 0
    # Id of the data folder in its latest reply; 0 before the first reply.
    disk_id: int = 0
    # Id of a data folder that lost entries it had acknowledged; 0 for none.
    distrusted_disk_id: int = 0
    # Newest kinds of changes that it knows, according to its latest reply.
    state_version: int = 0
    # Whether it is about to stop, according to its latest reply.
    leaving: bool = False
    # Most bytes of entries that the peer is likely to confirm within one call.
    batch_bytes: int = MAXIMUM_BATCH_BYTES
    # The peer is asked to campaign and take over the leadership.
    campaign: bool = False
    # Set when there are entries to send.
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    @contextmanager
    def adapt_batch(self, size: int) -> Iterator[float]:
        """Learn from a call with `size` bytes how much the next ones should carry.

        The value is the timeout of the call in seconds. The same batch would otherwise
        be sent again and again over a slow link without ever arriving.
        """
        timeout_s = APPEND_TIMEOUT_S * max(size / self.batch_bytes, 1.0)
        try:
            yield min(timeout_s, MAXIMUM_TIMEOUT_S)
        except TransportError as error:
            if size > MINIMUM_BATCH_BYTES:
                self.reduce_batch(size, error)
            raise
        if 2 * size > self.batch_bytes:
            self.batch_bytes = min(2 * self.batch_bytes, MAXIMUM_BATCH_BYTES)

    def reduce_batch(self, size: int, error: Exception) -> None:
        """Send less, and allow more time for what can't be divided."""
        former = self.batch_bytes
        self.batch_bytes = max(former // BATCH_DIVISOR, MINIMUM_BATCH_BYTES)
        if self.batch_bytes < former:
            log.info(
                "batch of entries reduced",
                peer=self.controller.name,
                batch_bytes=self.batch_bytes,
                sent_bytes=size,
                error=str(error),
            )

    def dump(self, now_s: float) -> dict[str, object]:
        """Return the progress as JSON values."""
        return {
            "match_index": self.match_index,
            "next_index": self.next_index,
            "batch_bytes": self.batch_bytes,
            "silent_ms": round((now_s - self.last_ack_s) * 1000),
        }
