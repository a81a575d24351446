"""The agreed state as every process stores it.

The generation is the revision of this state and only increases. A `ClusterState` is
immutable: applying a change or a delta returns a new one that shares the unchanged
parts, so a reader may keep one across awaits.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

__all__ = [
    "BUILT_IN_PRESETS",
    "DEFAULT_TRANSFER_COST",
    "DEFAULT_TRANSFER_MS_PER_MB",
    "Agent",
    "Balancer",
    "ClaimShard",
    "ClusterState",
    "Controller",
    "Evacuation",
    "Preset",
    "Service",
    "ShardName",
    "TransferCost",
    "Voter",
]


@dataclass(frozen=True, slots=True)
class Service:
    """A service as its operators have defined it."""

    id: int
    name: str
    # IPv4 address and UDP port callers send to.
    address: str
    port: int
    # Time within which a caller gets its answer.
    deadline_ms: int
    # First path segments whose answers are long and served block-wise.
    long_paths: tuple[str, ...]
    # Generation of the last accepted change.
    version: int


@dataclass(frozen=True, slots=True)
class TransferCost:
    """Price of the bytes that a flow causes between data centres."""

    # Waiting time that the transfer of a megabyte is worth; None: no new flow leaves
    # its data centre.
    ms_per_mb: int | None


# A flow with 20 kB of answers then leaves for a gain of more than 20 ms, a small part
# of any target, so serving callers has priority over saving bytes.
DEFAULT_TRANSFER_MS_PER_MB: Final = 1_000
DEFAULT_TRANSFER_COST: Final = TransferCost(DEFAULT_TRANSFER_MS_PER_MB)


@dataclass(frozen=True, slots=True)
class Preset:
    """Limits that apply while this preset is active."""

    name: str
    # Requests that may wait for each slot.
    queue_per_slot: int
    # Longest wait of a request before it is refused.
    queue_time_ms: int
    # Retries allowed per 100 requests.
    retry_budget_percent: int
    # Time after which an idempotent request is also tried at a second agent; 0: never.
    hedge_after_ms: int
    # Longest wait for running work when a process leaves the system.
    drain_ms: int
    # Time in which the weight of a new endpoint ramps up to its full value.
    cold_start_ms: int
    # Generation of the last accepted change.
    version: int
    transfer_cost: TransferCost = DEFAULT_TRANSFER_COST


@dataclass(frozen=True, slots=True)
class Agent:
    """One agent process and its backend server."""

    name: str
    # Epoch of one process start; each start has a new number.
    incarnation: int
    service: str
    data_centre: str
    # "ip:port" of the UDP packet socket and of the gRPC server.
    packet_address: str
    control_address: str
    # Requests that the backend server runs at the same time.
    slots: int
    # Whether it accepts no new work.
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
    """Identifies one claim shard by its service and its index."""

    service: str
    index: int


@dataclass(frozen=True, slots=True)
class ClaimShard:
    """The replica group that stores the claims of one part of a service's requests.

    A claim is a write-once record that makes a request run at most once.
    """

    name: ShardName
    # Increases by one with each change of the voters.
    epoch: int
    voters: tuple[Voter, ...]
    # Voters of the previous epoch; empty once the voters of this epoch are synced.
    previous: tuple[Voter, ...]


@dataclass(frozen=True, slots=True)
class Controller:
    """A controller with the address at which others reach it.

    A voter counts towards the quorum; a learner only receives the log.
    """

    name: str
    control_address: str
    voter: bool
    # Id of its data folder, drawn when the folder is created. A voter counts only with
    # this folder.
    disk_id: int = 0


@dataclass(frozen=True, slots=True)
class Evacuation:
    """Whether new flows avoid the backend servers of a data centre.

    It is kept with `active` false after its end, so that a delayed command to start it
    again meets a later version.
    """

    data_centre: str
    active: bool
    # Generation of the last accepted change.
    version: int = 0


BUILT_IN_PRESETS: Final = (
    Preset("ordinary-day", 16, 1500, 10, 0, 60_000, 5_000, 0),
    Preset("peak", 6, 600, 5, 0, 60_000, 5_000, 0),
    Preset("maintenance", 32, 3000, 20, 0, 120_000, 10_000, 0),
)


@dataclass(frozen=True, slots=True)
class ClusterState:
    """The part of the agreed state that all processes need."""

    generation: int = 0
    services: dict[str, Service] = field(default_factory=dict)
    presets: dict[str, Preset] = field(
        default_factory=lambda: {preset.name: preset for preset in BUILT_IN_PRESETS}
    )
    active_preset: str = BUILT_IN_PRESETS[0].name
    # Generation in which the active preset was selected.
    active_preset_version: int = 0
    agents: dict[str, Agent] = field(default_factory=dict)
    balancers: dict[str, Balancer] = field(default_factory=dict)
    claim_shards: dict[ShardName, ClaimShard] = field(default_factory=dict)
    controllers: dict[str, Controller] = field(default_factory=dict)
    # Evacuations by data centre, including ended ones.
    evacuations: dict[str, Evacuation] = field(default_factory=dict)

    @property
    def limits(self) -> Preset:
        """The active preset."""
        return self.presets[self.active_preset]

    @property
    def evacuated(self) -> tuple[str, ...]:
        """The names of the evacuated data centres, sorted."""
        active = (item for item in self.evacuations.values() if item.active)
        return tuple(sorted(item.data_centre for item in active))

    @property
    def evacuation_version(self) -> int:
        """Generation of the last change of an evacuation; 0: there was never one."""
        return max((item.version for item in self.evacuations.values()), default=0)

    def list_agents(self, service: str) -> list[Agent]:
        """Return the agents of a service, including draining ones, sorted by name."""
        agents = (agent for agent in self.agents.values() if agent.service == service)
        return sorted(agents, key=lambda agent: agent.name)
