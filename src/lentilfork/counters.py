"""Counters of one process: plain numbers, read by metrics and by state dumps.

A counter is a name and, where events differ in kind, a reason. Counting is a
dictionary update, cheap enough for each packet; `metrics` exports the values.
"""

from collections import Counter

__all__ = ["Counters"]


class Counters:
    """Count events by name and reason."""

    # Number of events for each (name, reason); the reason is "" for plain counters.
    values: Counter[tuple[str, str]]

    def __init__(self) -> None:
        self.values = Counter()

    def add(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Count `amount` events."""
        self.values[name, reason] += amount

    def get(self, name: str, reason: str = "") -> int:
        """Return the number of events counted so far."""
        return self.values[name, reason]

    def dump(self) -> dict[str, int]:
        """Return all counters by "name" or "name.reason", sorted."""
        return {
            f"{name}.{reason}" if reason else name: count
            for (name, reason), count in sorted(self.values.items())
        }
