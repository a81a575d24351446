"""The agreed state as every process holds it.

Generations only grow. A `ClusterState` is never changed in place: applying a
change or a delta makes a new one that shares the unchanged parts, so a reader
may keep one across awaits.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

__all__ = [
    "BUILT_IN_PRESETS",
    "Agent",
    "Balancer",
    "ClaimShard",
    "ClusterState",
    "Controller",
    "Preset",
    "Service",
    "ShardName",
    "Voter",
]


@dataclass(frozen=True, slots=True)
class Service:
    """A service as its operators define it."""

    id: int
    name: str
    # IPv4 address and UDP port callers send to.
    address: str
    port: int
    # A caller gets its answer within this time.
    deadline_ms: int
    # First path segments whose answers are long and served block-wise.
    long_paths: tuple[str, ...]
    # Generation of the last accepted change.
    version: int


@dataclass(frozen=True, slots=True)
class Preset:
    """The limits in force while this preset is selected."""

    name: str
    # Requests that may wait for each slot.
    queue_per_slot: int
    # Longest wait of a request before it is refused.
    queue_time_ms: int
    # Retries allowed per hundred requests.
    retry_budget_percent: int
    # A second try of an idempotent request starts after this time; 0: never.
    hedge_after_ms: int
    # Longest wait for running work when a process leaves.
    drain_ms: int
    # Time in which a new endpoint grows to its full share.
    cold_start_ms: int
    version: int


@dataclass(frozen=True, slots=True)
class Agent:
    """One agent process and the backend server beside it."""

    name: str
    # Drawn anew at each start of the process.
    incarnation: int
    service: str
    data_centre: str
    # "ip:port" of the UDP packet socket and of the gRPC server.
    packet_address: str
    control_address: str
    slots: int
    # Takes no new work.
    draining: bool
    # Generation at which this incarnation was accepted.
    joined: int


@dataclass(frozen=True, slots=True)
class Balancer:
    """One balancer process."""

    name: str
    incarnation: int
    data_centre: str
    control_address: str


@dataclass(frozen=True, slots=True, order=True)
class Voter:
    """A replica of a claim shard: an agent at one incarnation."""

    agent: str
    incarnation: int


@dataclass(frozen=True, slots=True, order=True)
class ShardName:
    """Identifies one claim shard."""

    service: str
    index: int


@dataclass(frozen=True, slots=True)
class ClaimShard:
    """The voters that remember the claims of one part of a service's requests."""

    name: ShardName
    # Grows by one with each change of the voters.
    epoch: int
    voters: tuple[Voter, ...]
    # The voters of the epoch before; empty once this epoch's voters are synced.
    previous: tuple[Voter, ...]


@dataclass(frozen=True, slots=True)
class Controller:
    """A controller as the others reach it; a learner does not vote."""

    name: str
    control_address: str
    voter: bool
    # Drawn when its data folder was made; a voter counts only with this folder.
    disk_id: int = 0


BUILT_IN_PRESETS: Final = (
    Preset("ordinary-day", 16, 1500, 10, 0, 60_000, 5_000, 0),
    Preset("peak", 6, 600, 5, 0, 60_000, 5_000, 0),
    Preset("maintenance", 32, 3000, 20, 0, 120_000, 10_000, 0),
)


@dataclass(frozen=True, slots=True)
class ClusterState:
    """Everything the controllers agree on that other processes need."""

    generation: int = 0
    services: dict[str, Service] = field(default_factory=dict)
    presets: dict[str, Preset] = field(
        default_factory=lambda: {preset.name: preset for preset in BUILT_IN_PRESETS}
    )
    active_preset: str = BUILT_IN_PRESETS[0].name
    # Generation at which the active preset was selected.
    active_preset_version: int = 0
    agents: dict[str, Agent] = field(default_factory=dict)
    balancers: dict[str, Balancer] = field(default_factory=dict)
    claim_shards: dict[ShardName, ClaimShard] = field(default_factory=dict)
    controllers: dict[str, Controller] = field(default_factory=dict)

    @property
    def limits(self) -> Preset:
        """The preset in force."""
        return self.presets[self.active_preset]

    def list_agents(self, service: str) -> list[Agent]:
        """Return the agents of a service, draining ones included, by name."""
        agents = (agent for agent in self.agents.values() if agent.service == service)
        return sorted(agents, key=lambda agent: agent.name)
