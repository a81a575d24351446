"""State shared by the parts of one replica: term, role, log and applied state.

Invariants:

- a vote or a term is synced before the replica answers or acts on it;
- `lock` is held while the term changes or entries of a leader are appended;
- `commit_index` never decreases, and entries are applied after it was synced;
- the state changes only by applying entries and installing snapshots.
"""

import asyncio
import time
from collections.abc import Callable
from enum import Enum
from enum import unique
from random import Random
from typing import Final

from lentilfork.agreement.log import Log
from lentilfork.agreement.settings import AgreementSettings
from lentilfork.agreement.storage import Storage
from lentilfork.agreement.transport import Transport
from lentilfork.agreement.voters import Configuration
from lentilfork.agreement.voters import Configurations
from lentilfork.counters import Counters
from lentilfork.logs import Logger
from lentilfork.schema import agreement_pb2
from lentilfork.schema import state_pb2
from lentilfork.state import ReplicatedState
from lentilfork.state import apply_change
from lentilfork.state.model import ClusterState

__all__ = [
    "ELECTION_TIMEOUT_MAX_S",
    "ELECTION_TIMEOUT_MIN_S",
    "Core",
    "Role",
]

ELECTION_TIMEOUT_MIN_S: Final = 0.7
ELECTION_TIMEOUT_MAX_S: Final = 1.3

StateListener = Callable[[ClusterState, ClusterState], None]
ApplyListener = Callable[[agreement_pb2.LogEntry, state_pb2.ChangeResult | None], None]

log = Logger("agreement")


@unique
class Role(Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


def read_wall_clock_ms() -> int:
    """Return the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Core:
    """Shared state of one replica and the operations that change it."""

    settings: AgreementSettings
    transport: Transport
    counters: Counters
    rng: Random
    storage: Storage
    log: Log
    configurations: Configurations
    state: ReplicatedState
    # Current term and the candidate that got the vote in it, or "". Both are synced
    # before any answer that depends on them is sent.
    term: int
    voted_for: str
    role: Role
    leader: str
    leader_address: str
    commit_index: int
    applied_index: int
    # Whether this replica is about to stop. It asks for no vote and gives its own up.
    leaving: bool
    # Loop time of the latest message from a leader or of the latest granted vote.
    leader_contact_s: float
    # Event loop of the process; set when the replica starts.
    loop: asyncio.AbstractEventLoop
    # Serialises term changes and the handling of entries and snapshots of a leader.
    lock: asyncio.Lock
    # Called with the previous and the new state after each change of generation.
    state_listeners: list[StateListener]
    # Called with each applied entry and the result of its change.
    apply_listeners: list[ApplyListener]
    # Called whenever the role changes.
    role_listeners: list[Callable[[Role], None]]

    def __init__(
        self,
        settings: AgreementSettings,
        transport: Transport,
        counters: Counters,
        rng: Random,
        storage: Storage,
    ) -> None:
        self.settings = settings
        self.transport = transport
        self.counters = counters
        self.rng = rng
        self.storage = storage
        self.state = ReplicatedState()
        self.configurations = Configurations(0, {})
        self.term = 0
        self.voted_for = ""
        self.role = Role.FOLLOWER
        self.leader = ""
        self.leader_address = ""
        self.commit_index = 0
        self.applied_index = 0
        self.leaving = False
        self.leader_contact_s = 0.0
        self.lock = asyncio.Lock()
        self.state_listeners = []
        self.apply_listeners = []
        self.role_listeners = []

    @property
    def name(self) -> str:
        """Name of this replica."""
        return self.settings.name

    @property
    def configuration(self) -> Configuration:
        """The effective configuration: controllers by name."""
        return self.configurations.current

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote with its present data folder."""
        return self.is_admitted and self.configuration[self.name].voter

    @property
    def is_admitted(self) -> bool:
        """Whether this replica is in the configuration with its present folder."""
        member = self.configuration.get(self.name)
        return member is not None and member.disk_id == self.storage.disk_id

    @property
    def has_disk(self) -> bool:
        """Whether what this replica syncs is kept when its process ends."""
        return self.settings.data_folder is not None

    @property
    def is_fresh(self) -> bool:
        """Whether the data folder contains no entry and no snapshot."""
        return self.log.last_index == 0

    def get_time_s(self) -> float:
        """Return the monotonic time of the event loop."""
        return self.loop.time()

    def change_role(self, role: Role) -> None:
        """Set the role and call the role listeners if it changed."""
        if role is self.role:
            return
        log.info("role changed", role=role.value, term=self.term)
        self.role = role
        self.counters.add("agreement_roles", role.value)
        for listener in self.role_listeners:
            listener(role)

    def clear_leader(self) -> None:
        """Clear the known leader: it timed out, stepped down or its term ended."""
        self.leader = ""
        self.leader_address = ""

    async def adopt_term(self, term: int, candidate: str = "") -> None:
        """Adopt a term and optionally vote for a candidate in it, and sync both.

        Needs the lock held; raises StorageError on failure. Memory is updated first,
        so that nothing is acknowledged in the previous term while the vote is being
        synced.
        """
        if term > self.term:
            self.clear_leader()
        self.term = term
        self.voted_for = candidate
        if candidate != self.name:
            self.change_role(Role.FOLLOWER)
        await self.storage.save_vote(term, candidate)

    def append(self, entries: list[agreement_pb2.LogEntry]) -> None:
        """Append entries to the log and apply the configurations in them."""
        self.log.append(entries)
        self.configurations.add_entries(entries)

    def commit(self, index: int) -> None:
        """Advance the commit index, at most to the end of the log.

        The entries are applied after the commit index was synced.
        """
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))
        self.log.record_commit(self.commit_index)

    def apply_committed(self) -> None:
        """Apply the entries that are recorded on disk as committed.

        Entries are not applied earlier, so that after a restart the replica never
        shows an older state than before.
        """
        while self.log.base_index <= self.applied_index < self.log.synced_commit_index:
            position = self.applied_index - self.log.base_index
            self.apply(self.log.entries[position])

    def apply(self, entry: agreement_pb2.LogEntry) -> None:
        """Apply the next entry and notify the listeners."""
        self.applied_index = entry.index
        result = None
        before = self.state.cluster
        if entry.HasField("change"):
            self.state, result = apply_change(self.state, entry.change)
            self.counters.add("agreement_applied")
        for listener in self.apply_listeners:
            listener(entry, result)
        if self.state.cluster.generation != before.generation:
            self.notify_listeners(before)

    def notify_listeners(self, before: ClusterState) -> None:
        """Notify the listeners of a new generation.

        A listener that raises does not keep the others from being called.
        """
        for listener in list(self.state_listeners):
            try:
                listener(before, self.state.cluster)
            except Exception as error:
                self.counters.add("agreement_listener_errors")
                log.error("state listener failed", error=repr(error))

    def restore_snapshot(self, index: int, state: ReplicatedState) -> None:
        """Replace the applied state by that of a more recent snapshot."""
        before = self.state.cluster
        self.state = state
        self.applied_index = index
        self.commit_index = max(self.commit_index, index)
        if state.cluster.generation != before.generation:
            self.notify_listeners(before)
