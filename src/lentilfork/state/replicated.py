"""What the controllers replicate: the cluster state and the memory of changes.

A `ReplicatedState` is never changed in place. It is a function of the log alone,
so every controller that applied the same entries holds an equal one. First
answers to changes are part of it: a resend is answered from here on whichever
controller leads, after restarts and after compaction.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from itertools import islice
from typing import Final
from typing import TypeVar

from lentilfork.schema import state_pb2
from lentilfork.state.model import ClusterState

__all__ = [
    "OPERATOR_RESULTS_KEPT",
    "SYSTEM_RESULTS_KEPT",
    "ReplicatedState",
]

OPERATOR_RESULTS_KEPT: Final = 10_000
SYSTEM_RESULTS_KEPT: Final = 1_000
HISTORY_KEPT: Final = 10_000
INCARNATIONS_KEPT: Final = 8
AGENT_NAMES_KEPT: Final = 4_096

K = TypeVar("K")
V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class ReplicatedState:
    """The cluster state, first answers, history and counters of ids."""

    cluster: ClusterState = field(default_factory=ClusterState)
    # First answers by change id, oldest first: of operators' changes and of the
    # system's own, bounded apart so that the latter never push out the former.
    operator_results: dict[str, state_pb2.ChangeResult] = field(default_factory=dict)
    system_results: dict[str, state_pb2.ChangeResult] = field(default_factory=dict)
    # Operators' accepted changes, oldest first.
    history: tuple[state_pb2.HistoryEntry, ...] = ()
    # Number of entries before those kept.
    history_dropped: int = 0
    next_service_id: int = 1
    # For each agent name the incarnations accepted, oldest first.
    incarnations: dict[str, tuple[int, ...]] = field(default_factory=dict)

    def find_result(self, change_id: str) -> state_pb2.ChangeResult | None:
        """Return the first answer to a change, None if it is not known."""
        if change_id in self.operator_results:
            return self.operator_results[change_id]
        return self.system_results.get(change_id)

    def find_last_entry(self, subject: str) -> state_pb2.HistoryEntry | None:
        """Return the last accepted change of a subject among those kept."""
        matching: Iterator[state_pb2.HistoryEntry] = (
            entry for entry in reversed(self.history) if entry.subject == subject
        )
        return next(matching, None)


def bound(items: dict[K, V], limit: int) -> dict[K, V]:
    """Return `items` without its oldest ones beyond `limit`."""
    excess = len(items) - limit
    return dict(islice(items.items(), excess, None)) if excess > 0 else items
