"""The state that controllers replicate: the cluster state and results of changes.

A `ReplicatedState` is immutable and depends only on the log, so all controllers that
applied the same entries have equal states. It includes the first result of each change.
A change that is sent again therefore gets its first result from any leader, also after
restarts and after log compaction.
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

# Numbers of results and history entries that are retained at least.
OPERATOR_RESULTS_KEPT: Final = 10_000
SYSTEM_RESULTS_KEPT: Final = 1_000
HISTORY_KEPT: Final = 10_000
# Numbers of incarnations retained per agent name, and of agent names.
INCARNATIONS_KEPT: Final = 8
AGENT_NAMES_KEPT: Final = 4_096

K = TypeVar("K")
V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class ReplicatedState:
    """The cluster state, results of changes, history, route table and id counter."""

    cluster: ClusterState = field(default_factory=ClusterState)
    # First results by change id, oldest first. Operators' and the system's own changes
    # are bounded separately, so that system changes never evict operators' results.
    operator_results: Ledger[str, state_pb2.ChangeResult] = field(
        default_factory=Ledger
    )
    system_results: Ledger[str, state_pb2.ChangeResult] = field(default_factory=Ledger)
    # History: operators' accepted changes by generation.
    entries: Ledger[int, state_pb2.HistoryEntry] = field(default_factory=Ledger)
    next_service_id: int = 1
    # Routes of forwarded flows; version 0 until a table is put.
    route_table: state_pb2.RouteTable = field(default_factory=state_pb2.RouteTable)
    # Accepted incarnations by agent name, oldest first.
    incarnations: dict[str, tuple[int, ...]] = field(default_factory=dict)

    @property
    def history(self) -> tuple[state_pb2.HistoryEntry, ...]:
        """Operators' accepted changes that are still stored, oldest first."""
        return tuple(self.entries.get_items())

    @property
    def history_dropped(self) -> int:
        """Number of operators' accepted changes that have been dropped."""
        return self.entries.dropped

    def find_result(self, change_id: str) -> state_pb2.ChangeResult | None:
        """Return the first result of a change; None if it is not stored."""
        result = self.operator_results.get(change_id)
        return result or self.system_results.get(change_id)

    def find_last_entry(self, subject: str) -> state_pb2.HistoryEntry | None:
        """Return the last accepted change of a subject; None if it is not stored."""
        latest = self.entries.get_latest()
        return next((entry for entry in latest if entry.subject == subject), None)


def drop_oldest(items: dict[K, V], limit: int) -> dict[K, V]:
    """Return `items` reduced to its latest `limit` items."""
    excess = len(items) - limit
    return dict(islice(items.items(), excess, None)) if excess > 0 else items
