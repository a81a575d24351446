"""Directory of an owner: the agent that serves each exchange, download or flow.

An exchange is one CoAP request with its retransmissions; a download is a long answer
that is fetched block by block. Keys are opaque bytes, see `make_exchange_key` and
`make_download_key`. Entries expire after a time without use and are bounded in number.
Losing an entry costs an extra execution of an idempotent request or another fetch, but
never gives a wrong answer.
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

# A retransmission that arrives later is placed again like a new request. Claims prevent
# requests that are not idempotent from running twice.
EXCHANGE_LIFETIME_S: Final = 30.0
# Longest time between the first transmission of a message and the moment at which its
# caller gives up (RFC 7252, MAX_TRANSMIT_WAIT).
DOWNLOAD_LIFETIME_S: Final = 93.0
MAXIMUM_ENTRIES: Final = 100_000


def make_exchange_key(
    caller_key: bytes, message_id: int, token: bytes, content_digest: bytes
) -> bytes:
    """Return the key of one message of a caller and of its retransmissions.

    The key includes the token and a digest of the request, since a busy or restarted
    caller, or another one at its address, may reuse a message id while the earlier
    exchange is still known.
    """
    return b"x" + caller_key + message_id.to_bytes(2, "big") + token + content_digest


def make_download_key(caller_key: bytes, target: str) -> bytes:
    """Return the key of a download; `target` is its path and query."""
    return b"d" + caller_key + xxhash.xxh3_64_digest(target.encode())


@dataclass(slots=True)
class Entry:
    """The agent that serves one exchange, download or flow."""

    agent: str
    used_at: float
    # Whether the caller is known to use the flow with this agent's backend server.
    chosen: bool = False


class Directory:
    """Placements known to one owner, in the order of their last use."""

    entries: OrderedDict[bytes, Entry]
    # Time without use after which an entry expires.
    lifetime_s: float

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self.entries = OrderedDict()

    def get(self, key: bytes, now: float) -> Entry | None:
        """Return the entry of `key` unless it has expired; this is no use of it."""
        entry = self.entries.get(key)
        if entry is None or now - entry.used_at > self.lifetime_s:
            return None
        return entry

    def find(self, key: bytes, now: float) -> str | None:
        """Return the agent that serves `key`, or None if it is not known."""
        entry = self.get(key, now)
        if entry is None:
            return None
        entry.used_at = now
        self.entries.move_to_end(key)
        return entry.agent

    def record(
        self, key: bytes, agent: str, now: float, *, chosen: bool = False
    ) -> None:
        """Record the agent that serves `key`, and drop expired entries."""
        self.entries[key] = Entry(agent, now, chosen)
        self.entries.move_to_end(key)
        self.expire_entries(now)

    def record_all(self, keys: Iterable[bytes], agent: str, now: float) -> None:
        """Record an agent that serves several keys."""
        for key in keys:
            self.record(key, agent, now)

    def remove_agent(self, agent: str) -> None:
        """Drop all entries of an agent."""
        keys = [key for key, entry in self.entries.items() if entry.agent == agent]
        for key in keys:
            del self.entries[key]

    def expire_entries(self, now: float) -> None:
        """Drop expired entries, and the least recently used ones above the bound."""
        while self.entries:
            key, entry = next(iter(self.entries.items()))
            expired = now - entry.used_at > self.lifetime_s
            if not expired and len(self.entries) <= MAXIMUM_ENTRIES:
                return
            del self.entries[key]
