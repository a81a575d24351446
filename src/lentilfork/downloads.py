"""Long answers that callers fetch block by block.

All blocks of a download are taken from one answer with one ETag, even if the content
at the backend server changes meanwhile. Flows with equal answers share the bytes.
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

# A flow ends if its caller requests no block for this time, in which a caller would
# have sent the last retransmission of a request.
IDLE_LIFETIME_S: Final = 93.0
# A flow is active while its caller requested a block within this time. A caller that
# lost two messages in a row retransmits after 9 s (RFC 7252).
ACTIVE_PERIOD_S: Final = 12.0
MAXIMUM_BYTES: Final = 64 * 1024 * 1024


@dataclass(slots=True)
class Download:
    """The answer of one flow and the state of its download."""

    answer: Answer
    # Key of the exchange that was answered with the first block.
    exchange: bytes
    last_used_at: float
    # The last block has been sent at least once.
    finished: bool = False


class Downloads:
    """Table of the long answers that callers are fetching."""

    # Downloads by download key, least recently used first.
    entries: OrderedDict[bytes, Download]
    # Answers in use, by request target and digest of the content.
    contents: WeakValueDictionary[tuple[str, bytes], Answer]

    def __init__(self) -> None:
        self.entries = OrderedDict()
        self.contents = WeakValueDictionary()

    def find(self, key: bytes) -> Answer | None:
        """Return the stored answer of a flow, if any, and update its time of use."""
        download = self.entries.get(key)
        if download is None:
            return None
        download.last_used_at = time.monotonic()
        self.entries.move_to_end(key)
        return download.answer

    def has_answer(self, key: bytes) -> bool:
        """Return whether the answer of a flow is stored here."""
        return key in self.entries

    def find_first_answer(self, key: bytes, exchange: bytes) -> Answer | None:
        """Return the answer for a retransmission of a flow's first request, if any."""
        download = self.entries.get(key)
        if download is None or download.exchange != exchange:
            return None
        return self.find(key)

    def store(self, job: Job, answer: Answer) -> Answer:
        """Store an answer for a flow and return the equal answer that flows share."""
        shared_answer = self.share_content(job.request.target, answer)
        self.entries[job.download_key] = Download(
            shared_answer, job.exchange_key, time.monotonic()
        )
        self.entries.move_to_end(job.download_key)
        self.evict_entries()
        return shared_answer

    def share_content(self, target: str, answer: Answer) -> Answer:
        """Return an equal answer that is already stored, else `answer` itself."""
        version = (target, xxhash.xxh3_128_digest(answer.etag + answer.payload))
        return self.contents.setdefault(version, answer)

    def finish(self, key: bytes) -> None:
        """Record that the last block of a flow was sent."""
        download = self.entries.get(key)
        if download is not None:
            download.finished = True

    def list_active(self) -> list[bytes]:
        """Return the download keys of flows whose callers are still fetching blocks."""
        now = time.monotonic()
        return [
            key
            for key, download in self.entries.items()
            if not download.finished and now - download.last_used_at < ACTIVE_PERIOD_S
        ]

    def count_bytes(self) -> int:
        """Return the number of stored bytes; shared bytes count once."""
        return sum(len(answer.payload) for answer in self.contents.values())

    def evict_entries(self) -> None:
        """Remove ended flows, and the least recently used ones above the limit."""
        now = time.monotonic()
        while self.entries:
            key, oldest = next(iter(self.entries.items()))
            expired = now - oldest.last_used_at > IDLE_LIFETIME_S
            full = len(self.entries) > 1 and self.count_bytes() > MAXIMUM_BYTES
            if not expired and not full:
                return
            del self.entries[key]
