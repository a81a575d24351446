"""A bounded, immutable, append-only map that is cheap to extend.

Adding an item copies only the last chunk and shares the chunks before it. Whole chunks
are dropped from the front, so the oldest item is always the first of a chunk, and a
ledger rebuilt from its items has the same chunks. A replica restored from a snapshot
therefore drops the same items at the same time as the other replicas.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain
from typing import Final
from typing import Generic
from typing import TypeVar

__all__ = ["CHUNK_ITEMS", "Ledger"]

CHUNK_ITEMS: Final = 128

K = TypeVar("K")
V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class Ledger(Generic[K, V]):
    """Items by key in the order in which they were added."""

    # Chunks of CHUNK_ITEMS items, oldest first; the last one may be shorter.
    chunks: tuple[dict[K, V], ...] = ()
    # Number of items that have been dropped.
    dropped: int = 0

    @classmethod
    def restore(cls, items: Iterable[tuple[K, V]], dropped: int = 0) -> "Ledger[K, V]":
        """Return a ledger of `items`, oldest first, after `dropped` earlier ones."""
        pending = list(items)
        starts = range(0, len(pending), CHUNK_ITEMS)
        chunks = (dict(pending[start : start + CHUNK_ITEMS]) for start in starts)
        return cls(tuple(chunks), dropped)

    def __len__(self) -> int:
        """Return the number of stored items."""
        if not self.chunks:
            return 0
        return (len(self.chunks) - 1) * CHUNK_ITEMS + len(self.chunks[-1])

    def get(self, key: K) -> V | None:
        """Return the item of a key; None if it is not stored."""
        matches = (chunk[key] for chunk in self.chunks if key in chunk)
        return next(matches, None)

    def get_items(self) -> Iterator[V]:
        """Return the items, oldest first."""
        return chain.from_iterable(chunk.values() for chunk in self.chunks)

    def get_latest(self) -> Iterator[V]:
        """Return the items, latest first."""
        return chain.from_iterable(
            reversed(chunk.values()) for chunk in reversed(self.chunks)
        )

    def add(self, key: K, item: V, limit: int) -> "Ledger[K, V]":
        """Return a ledger with one more item.

        Old chunks are dropped such that at least the latest `limit` items remain.
        """
        if self.chunks and len(self.chunks[-1]) < CHUNK_ITEMS:
            chunks = (*self.chunks[:-1], self.chunks[-1] | {key: item})
        else:
            chunks = (*self.chunks, {key: item})
        if len(self) + 1 - CHUNK_ITEMS < limit:
            return Ledger(chunks, self.dropped)
        return Ledger(chunks[1:], self.dropped + CHUNK_ITEMS)
