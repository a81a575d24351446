"""The target size of a system, and the predicted figure for each target."""

from dataclasses import dataclass
from typing import Any
from typing import Final

__all__ = ["Capacity", "Row", "list_role_costs", "list_target_rows"]

NODES: Final = 450
ENDPOINTS: Final = 2_300
ADDRESSES: Final = 1_100
MEMBERS: Final = NODES + ENDPOINTS
FLOWS: Final = 4_200_000
NEW_FLOWS_PER_S: Final = 48_000
CHANGES_PER_DAY: Final = 230
RESTARTS_PER_DAY: Final = 400
CONTROLLERS: Final = 3
DAY_S: Final = 86_400
LONGEST_SPREAD_S: Final = 11.0
PROCESSOR_SHARE: Final = 0.035
MEMORY_MB: Final = 32.0
CONTROL_BYTES_PER_S: Final = 10_000
PACKET_RATE_RATIO: Final = 0.5
BYTES_PER_MB: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Row:
    """One capacity target and the figure predicted for it."""

    name: str
    unit: str
    needed: float
    predicted: float
    # Whether `needed` is a lower bound, as for a rate; otherwise it is an upper bound.
    is_lower_bound: bool = False
    # Whether every slope used grows with its size, as a cost must. A falling slope
    # is noise in the measurement, so a figure predicted from it shows nothing.
    is_conclusive: bool = True

    @property
    def margin(self) -> float:
        """Factor by which the target is met; below 1 it is missed."""
        if self.is_lower_bound:
            return self.predicted / self.needed
        return self.needed / self.predicted


class Capacity:
    """Predicts costs at given counts from the slopes of a result file."""

    document: dict[str, Any]

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document

    def get_slope(self, name: str) -> float:
        """Return a slope by name, at least 0; raises KeyError."""
        return max(0.0, float(self.document["slopes"][name]["slope"]))

    def is_growing(self, name: str) -> bool:
        """Return whether a slope is positive and all its values are above zero."""
        slope = self.document["slopes"][name]
        values = [value for _, value in slope["points"]]
        return float(slope["slope"]) > 0 and min(values) > 0

    def get_total(self, name: str) -> float:
        """Return a total by name; raises KeyError."""
        return float(self.document["totals"][name])

    def extrapolate(self, name: str, count: float) -> float:
        """Return base + slope * count, but at least the last measured value."""
        slope = self.document["slopes"][name]
        extrapolated = float(slope["base"]) + self.get_slope(name) * count
        return max(extrapolated, float(slope["points"][-1][1]))

    @property
    def state_memory_mb(self) -> float:
        """Memory of the whole replicated state at a member, in megabytes."""
        state_bytes = self.get_slope("endpoint, memory") * ENDPOINTS
        state_bytes += self.get_slope("address, memory") * ADDRESSES
        return state_bytes / BYTES_PER_MB

    @property
    def snapshot_bytes(self) -> float:
        """Bytes of a snapshot of the whole replicated state."""
        size = self.get_slope("endpoint, message") * ENDPOINTS
        return size + self.get_slope("address, message") * ADDRESSES

    @property
    def rate_ratio(self) -> float:
        """Packet rate of a balancer divided by that of the minimal forwarder."""
        forwarder_s = self.get_slope("bare forwarder, packets processor")
        return forwarder_s / self.get_slope("balancer, packets processor")

    def get_memory_mb(self, role: str) -> float:
        """Return the resident megabytes of a role that holds the whole state."""
        idle = self.get_total(f"{role}, idle resident memory") / BYTES_PER_MB
        return idle + self.state_memory_mb


def list_target_rows(capacity: Capacity) -> list[Row]:
    """Return a row for each capacity target."""
    flows = NEW_FLOWS_PER_S / NODES
    change_bytes = capacity.extrapolate("balancer, change bytes", MEMBERS)
    steady_bytes = capacity.extrapolate("balancer, steady bytes", MEMBERS)
    packet_rate = 1 / capacity.get_slope("balancer, packets processor")
    return [
        Row(
            "packet rate over a bare forwarder's",
            "",
            PACKET_RATE_RATIO,
            capacity.rate_ratio,
            is_lower_bound=True,
        ),
        Row(
            "first packets of new flows at a node",
            "/s",
            flows,
            packet_rate,
            is_lower_bound=True,
        ),
        Row(
            "processor for control, balancer",
            "core",
            PROCESSOR_SHARE,
            capacity.extrapolate("balancer, steady processor", MEMBERS),
        ),
        Row(
            "memory of the process, balancer",
            "MB",
            MEMORY_MB,
            capacity.get_memory_mb("balancer"),
        ),
        Row(
            "memory of the process, agent",
            "MB",
            MEMORY_MB,
            capacity.get_memory_mb("agent"),
        ),
        Row(
            "control bytes, steady with 230 changes a day",
            "B/s",
            CONTROL_BYTES_PER_S,
            steady_bytes + change_bytes * CHANGES_PER_DAY / DAY_S,
            is_conclusive=capacity.is_growing("balancer, steady bytes")
            and capacity.is_growing("balancer, change bytes"),
        ),
        Row(
            "processor of the busiest controller, steady",
            "core",
            1.0,
            capacity.extrapolate("controller, steady processor", MEMBERS),
        ),
        Row(
            "processor time to spread one change",
            "s",
            LONGEST_SPREAD_S,
            capacity.extrapolate("controller, change processor", MEMBERS),
            is_conclusive=capacity.is_growing("controller, change processor"),
        ),
        Row("hosts set aside for control", "hosts", 7, CONTROLLERS),
    ]


def list_role_costs(capacity: Capacity) -> list[tuple[str, ...]]:
    """Return rows of table cells: role, item, formula, result and mechanism."""
    steady = capacity.extrapolate("controller, steady processor", MEMBERS)
    entries = FLOWS / ENDPOINTS
    directory = capacity.get_slope("directory entry, memory")
    lookup = capacity.get_slope("agents, lookup processor")
    change = capacity.get_slope("agents, change processor")
    packet = capacity.get_slope("balancer, packets processor")
    flow = capacity.get_slope("balancer, memory of flows")
    endpoint = capacity.get_slope("endpoint, memory")
    address = capacity.get_slope("address, memory")
    requests_per_s = NEW_FLOWS_PER_S / ENDPOINTS
    return [
        (
            "all members",
            "state",
            f"{endpoint:.4g} B * {ENDPOINTS:,} + {address:.4g} B * {ADDRESSES:,}",
            f"{capacity.state_memory_mb:.2f} MB",
            "`state.model`",
        ),
        (
            "balancer",
            "flows",
            f"{flow:.4g} B * {FLOWS / NODES:,.0f}",
            f"{flow * FLOWS / NODES / BYTES_PER_MB:.2f} MB",
            "`balancer`, `routing.table`",
        ),
        (
            "balancer",
            "new flows",
            f"{packet:.4g} s * {NEW_FLOWS_PER_S / NODES:.0f}/s",
            f"{packet * NEW_FLOWS_PER_S / NODES:.4f} core",
            "`balancer`, `adapters.packets`",
        ),
        (
            "agent",
            "directory",
            f"{directory:.4g} B * {entries:,.0f}",
            f"{directory * entries / BYTES_PER_MB:.2f} MB",
            "`routing.directory`",
        ),
        (
            "agent",
            "lookups",
            f"{lookup:.4g} s * {requests_per_s:.1f}/s",
            f"{lookup * requests_per_s:.3f} core",
            "`dispatcher`, `runner`",
        ),
        (
            "agent",
            "non-idempotent requests",
            f"{change:.4g} s * {requests_per_s:.1f}/s",
            f"{change * requests_per_s:.3f} core",
            "`claims.runner`, `claims.voter`",
        ),
        (
            "controller",
            "heartbeats",
            f"{capacity.get_slope('controller, steady processor'):.4g} core "
            f"* {MEMBERS:,}",
            f"{steady:.2f} core",
            "`membership.relay`, `membership.sessions`",
        ),
    ]
