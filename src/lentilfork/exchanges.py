"""Table of exchanges that this agent is serving or has answered.

An exchange is one CoAP request with its retransmissions. A retransmission of a
running request is absorbed; one of an answered request gets the same bytes again.
Answered exchanges are kept while a retransmission may still arrive (EXCHANGE_LIFETIME
of RFC 7252), as long as their total size is within a limit.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

__all__ = ["Exchanges"]

ANSWER_LIFETIME_S: Final = 247.0
MAXIMUM_BYTES: Final = 8 * 1024 * 1024
# Estimated memory of an entry without its answer.
ENTRY_BYTES: Final = 300


@dataclass(slots=True)
class Exchange:
    """One exchange; `answer` is None while the request is being served."""

    answer: bytes | None
    ended_at: float

    def estimate_bytes(self) -> int:
        """Return the estimated memory of this entry, in bytes."""
        return ENTRY_BYTES + len(self.answer or b"")


class Exchanges:
    """Running and answered exchanges by key."""

    running: dict[bytes, Exchange]
    # Answered exchanges, oldest first.
    answered: OrderedDict[bytes, Exchange]
    answered_bytes: int

    def __init__(self) -> None:
        self.running = {}
        self.answered = OrderedDict()
        self.answered_bytes = 0

    def find(self, key: bytes) -> Exchange | None:
        """Return the exchange with this key, if it is known."""
        return self.running.get(key) or self.answered.get(key)

    def begin(self, key: bytes) -> None:
        """Add an exchange that is now being served."""
        self.running[key] = Exchange(None, 0.0)

    def finish(self, key: bytes, answer: bytes) -> None:
        """Store the answer of a running exchange for its retransmissions."""
        exchange = self.running.pop(key)
        exchange.answer = answer
        exchange.ended_at = time.monotonic()
        self.answered[key] = exchange
        self.answered_bytes += exchange.estimate_bytes()
        self.evict_entries(exchange.ended_at)

    def abandon(self, key: bytes) -> None:
        """Remove a running exchange without storing an answer for it."""
        self.running.pop(key, None)

    def evict_entries(self, now: float) -> None:
        """Remove expired exchanges, and the oldest ones above the size limit."""
        while self.answered:
            key, oldest = next(iter(self.answered.items()))
            expired = now - oldest.ended_at > ANSWER_LIFETIME_S
            if not expired and self.answered_bytes <= MAXIMUM_BYTES:
                return
            del self.answered[key]
            self.answered_bytes -= oldest.estimate_bytes()
