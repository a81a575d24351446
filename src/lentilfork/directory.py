"""Directory of an owner: which agent serves an exchange or a block-wise answer.

Keys are opaque bytes, see `make_exchange_key` and `make_download_key`. Entries expire
after a time without use and are bounded in number; losing one costs an extra
execution of an idempotent request or one more fetch, never a wrong answer.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import xxhash

__all__ = [
    "DOWNLOAD_LIFETIME_S",
    "EXCHANGE_LIFETIME_S",
    "Directory",
    "make_download_key",
    "make_exchange_key",
]

# Copies of a request that come later are placed anew: claims keep one that may not
# be repeated from running twice.
EXCHANGE_LIFETIME_S: Final = 30.0
# A caller sends the last copy of a message this long after the first (RFC 7252,
# MAX_TRANSMIT_WAIT).
DOWNLOAD_LIFETIME_S: Final = 93.0
MAXIMUM_ENTRIES: Final = 100_000


def make_exchange_key(caller_key: bytes, message_id: int, token: bytes) -> bytes:
    """Return the key of one message of a caller and its copies.

    The token is part of it, since a busy caller may use a message id again while
    the earlier exchange is still remembered.
    """
    return b"x" + caller_key + message_id.to_bytes(2, "big") + token


def make_download_key(caller_key: bytes, target: str) -> bytes:
    """Return the key of a block-wise answer; `target` is its path and query."""
    return b"d" + caller_key + xxhash.xxh3_64_digest(target.encode())


@dataclass(slots=True)
class Entry:
    """Where one exchange or download is served."""

    agent: str
    used_at: float


class Directory:
    """Placements known to one owner, least recently used first."""

    entries: OrderedDict[bytes, Entry]
    # Time without use after which an entry is forgotten.
    lifetime_s: float

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self.entries = OrderedDict()

    def find(self, key: bytes, now: float) -> str | None:
        """Return the agent that serves `key`, if it is known."""
        entry = self.entries.get(key)
        if entry is None or now - entry.used_at > self.lifetime_s:
            return None
        entry.used_at = now
        self.entries.move_to_end(key)
        return entry.agent

    def record(self, key: bytes, agent: str, now: float) -> None:
        """Remember where `key` is served; forgets what expired."""
        self.entries[key] = Entry(agent, now)
        self.entries.move_to_end(key)
        self.expire_entries(now)

    def record_all(self, keys: Iterable[bytes], agent: str, now: float) -> None:
        """Remember what a runner says it serves."""
        for key in keys:
            self.record(key, agent, now)

    def remove_agent(self, agent: str) -> None:
        """Drop all that an agent that is gone has served."""
        gone = [key for key, entry in self.entries.items() if entry.agent == agent]
        for key in gone:
            del self.entries[key]

    def expire_entries(self, now: float) -> None:
        """Drop expired entries and those above the bound."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            expired = now - entry.used_at > self.lifetime_s
            if not expired and len(self.entries) <= MAXIMUM_ENTRIES:
                return
            del self.entries[key]
