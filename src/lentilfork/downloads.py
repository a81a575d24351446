"""Long answers that callers fetch block by block.

A flow keeps the content it began with: all its blocks are cut from one answer
with one ETag, whatever the backend server serves meanwhile. Flows that began with
the same version share its bytes.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final
from weakref import WeakValueDictionary

import xxhash

from lentilfork.adapters.callers import Answer
from lentilfork.jobs import Job

__all__ = ["Downloads"]

# A flow whose caller asks for no further block is over after this time: the time
# in which a caller would have sent the last copy of its request.
IDLE_LIFETIME_S: Final = 93.0
# A flow is taken as running while its caller asked for a block this recently; a
# caller that lost two messages in a row asks again after 9 s (RFC 7252).
ACTIVE_S: Final = 12.0
MAXIMUM_BYTES: Final = 64 * 1024 * 1024


@dataclass(slots=True)
class Download:
    """One flow's answer and how far its caller has come."""

    answer: Answer
    # Key of the exchange whose answer was the first block.
    exchange: bytes
    used_at: float
    # The last block has been sent at least once.
    finished: bool = False


class Downloads:
    """Long answers in use, by download key, least recently used first."""

    entries: OrderedDict[bytes, Download]
    # Answers in use by target and digest.
    contents: WeakValueDictionary[tuple[str, bytes], Answer]

    def __init__(self) -> None:
        self.entries = OrderedDict()
        self.contents = WeakValueDictionary()

    def find(self, key: bytes) -> Answer | None:
        """Return the answer a flow began with, if it is held here."""
        download = self.entries.get(key)
        if download is None:
            return None
        download.used_at = time.monotonic()
        self.entries.move_to_end(key)
        return download.answer

    def holds(self, key: bytes) -> bool:
        """Return whether a flow is served here."""
        return key in self.entries

    def find_first(self, key: bytes, exchange: bytes) -> Answer | None:
        """Return the answer for a copy of the request that began a flow."""
        download = self.entries.get(key)
        if download is None or download.exchange != exchange:
            return None
        return self.find(key)

    def keep(self, job: Job, answer: Answer) -> Answer:
        """Hold an answer for a flow; returns it, with its bytes shared."""
        shared = self.share(job.request.target, answer)
        self.entries[job.download_key] = Download(
            shared, job.exchange_key, time.monotonic()
        )
        self.entries.move_to_end(job.download_key)
        self.forget_old()
        return shared

    def share(self, target: str, answer: Answer) -> Answer:
        """Return an equal answer that is already held, else `answer` itself."""
        version = (target, xxhash.xxh3_128_digest(answer.etag + answer.payload))
        return self.contents.setdefault(version, answer)

    def finish(self, key: bytes) -> None:
        """Note that the last block was sent."""
        download = self.entries.get(key)
        if download is not None:
            download.finished = True

    def list_active(self) -> list[bytes]:
        """Return the keys of the flows whose callers are still fetching."""
        now = time.monotonic()
        return [
            key
            for key, download in self.entries.items()
            if not download.finished and now - download.used_at < ACTIVE_S
        ]

    def count_bytes(self) -> int:
        """Return the bytes held; shared ones count once."""
        return sum(len(answer.payload) for answer in self.contents.values())

    def forget_old(self) -> None:
        """Drop flows that are over and, above the bound, the least recent ones."""
        now = time.monotonic()
        while self.entries:
            key, oldest = next(iter(self.entries.items()))
            expired = now - oldest.used_at > IDLE_LIFETIME_S
            full = len(self.entries) > 1 and self.count_bytes() > MAXIMUM_BYTES
            if not expired and not full:
                return
            del self.entries[key]
