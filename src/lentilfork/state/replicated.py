"""What the controllers replicate: the cluster state and the memory of changes.

A `ReplicatedState` is never changed in place. It is a function of the log alone,
so every controller that applied the same entries holds an equal one. First
answers to changes are part of it: a resend is answered from here on whichever
controller leads, after restarts and after compaction.
"""

from dataclasses import dataclass
from dataclasses import field
from itertools import islice
from typing import Final
from typing import TypeVar

from lentilfork.schema import state_pb2
from lentilfork.state.ledger import Ledger
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
    operator_results: Ledger[str, state_pb2.ChangeResult] = field(
        default_factory=Ledger
    )
    system_results: Ledger[str, state_pb2.ChangeResult] = field(default_factory=Ledger)
    # Operators' accepted changes by generation.
    entries: Ledger[int, state_pb2.HistoryEntry] = field(default_factory=Ledger)
    next_service_id: int = 1
    # Routes of forwarded flows; version 0 while none were put.
    route_table: state_pb2.RouteTable = field(default_factory=state_pb2.RouteTable)
    # For each agent name the incarnations accepted, oldest first.
    incarnations: dict[str, tuple[int, ...]] = field(default_factory=dict)

    @property
    def history(self) -> tuple[state_pb2.HistoryEntry, ...]:
        """Operators' accepted changes that are kept, oldest first."""
        return tuple(self.entries.get_items())

    @property
    def history_dropped(self) -> int:
        """Number of operators' accepted changes before those kept."""
        return self.entries.dropped

    def find_result(self, change_id: str) -> state_pb2.ChangeResult | None:
        """Return the first answer to a change, None if it is not known."""
        result = self.operator_results.get(change_id)
        return result or self.system_results.get(change_id)

    def find_last_entry(self, subject: str) -> state_pb2.HistoryEntry | None:
        """Return the last accepted change of a subject among those kept."""
        latest = self.entries.get_latest()
        return next((entry for entry in latest if entry.subject == subject), None)


def drop_oldest(items: dict[K, V], limit: int) -> dict[K, V]:
    """Return `items` without its oldest ones beyond `limit`."""
    excess = len(items) - limit
    return dict(islice(items.items(), excess, None)) if excess > 0 else items
