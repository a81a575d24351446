"""Exchanges an agent is serving or has answered, so that copies get one answer.

A copy of a request that is running is absorbed; a copy of one that was answered
gets the same bytes again. Entries live as long as a copy may arrive (RFC 7252,
EXCHANGE_LIFETIME) within a bound on their bytes.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

__all__ = ["Exchanges"]

LIFETIME_S: Final = 247.0
MAXIMUM_BYTES: Final = 8 * 1024 * 1024
# Memory of an entry besides its answer.
ENTRY_BYTES: Final = 300


@dataclass(slots=True)
class Exchange:
    """One exchange; `answer` is None while it runs."""

    answer: bytes | None
    ended_at: float

    def count_bytes(self) -> int:
        """Return the memory the entry is reckoned at."""
        return ENTRY_BYTES + len(self.answer or b"")


class Exchanges:
    """Running and answered exchanges by key."""

    running: dict[bytes, Exchange]
    # Answered ones, oldest first.
    answered: OrderedDict[bytes, Exchange]
    answered_bytes: int

    def __init__(self) -> None:
        self.running = {}
        self.answered = OrderedDict()
        self.answered_bytes = 0

    def find(self, key: bytes) -> Exchange | None:
        """Return the exchange of a copy, if it is known."""
        return self.running.get(key) or self.answered.get(key)

    def begin(self, key: bytes) -> None:
        """Note that an exchange is being served."""
        self.running[key] = Exchange(None, 0.0)

    def finish(self, key: bytes, answer: bytes) -> None:
        """Keep the answer of an exchange for its copies."""
        exchange = self.running.pop(key)
        exchange.answer = answer
        exchange.ended_at = time.monotonic()
        self.answered[key] = exchange
        self.answered_bytes += exchange.count_bytes()
        self.forget_old(exchange.ended_at)

    def abandon(self, key: bytes) -> None:
        """Forget a running exchange that another agent serves now."""
        self.running.pop(key, None)

    def forget_old(self, now: float) -> None:
        """Drop answers that no copy can ask for, and those above the bound."""
        while self.answered:
            key, oldest = next(iter(self.answered.items()))
            expired = now - oldest.ended_at > LIFETIME_S
            if not expired and self.answered_bytes <= MAXIMUM_BYTES:
                return
            del self.answered[key]
            self.answered_bytes -= oldest.count_bytes()
