"""Estimated state of each data centre for one service, from load reports.

Each agent reports its own load and the sums over the agents of its own data centre that
it watches. An agent that watches a few agents of another data centre thus has a sample
of some fifteen of its servers, for a few bytes in each report. Only the monotonic time
at which a report arrived counts, not the clock of its sender.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
from typing import Final

__all__ = [
    "AgentLoad",
    "DataCentreState",
    "DataCentreTable",
    "LoadSums",
    "add_sums",
]

# Agents report at least every 0.25 s, so two reports may get lost.
UNKNOWN_AFTER_S: Final = 0.7
# Share of its capacity that a data centre is assumed to have left at least, as long as
# its callers do not wait. The mean use of slots lags behind the end of a shortage.
MINIMUM_SPARE_SHARE: Final = 0.02


@dataclass(frozen=True, slots=True)
class LoadSums:
    """Sums over some agents of one service in one data centre."""

    agents: int = 0
    # Requests that their servers can answer in a second.
    capacity_per_s: float = 0.0
    # Recent mean of their slots in use.
    busy_slots: float = 0.0
    slots: int = 0
    # Flows that wait for an answer.
    outstanding: int = 0


def add_sums(sums: Iterable[LoadSums]) -> LoadSums:
    """Return the total of several sums."""
    items = list(sums)
    return LoadSums(
        sum(item.agents for item in items),
        sum(item.capacity_per_s for item in items),
        sum(item.busy_slots for item in items),
        sum(item.slots for item in items),
        sum(item.outstanding for item in items),
    )


@dataclass(frozen=True, slots=True)
class AgentLoad:
    """The part of an agent's last load report that states are computed from."""

    heard_at: float
    accepting: bool
    evacuated: bool
    slots: int
    capacity_per_s: float
    # Recent mean of the share of slots in use, 0 to 1.
    busy_share: float
    outstanding: int
    # The last sums that it has reported over its data centre; without agents if none.
    nearby: LoadSums

    def is_known(self, now: float) -> bool:
        """Return whether the report is recent enough to be used."""
        return now - self.heard_at <= UNKNOWN_AFTER_S

    def to_sums(self) -> LoadSums:
        """Return the sums over this agent alone; empty if it takes no flows."""
        if not self.accepting or self.evacuated:
            return LoadSums()
        return LoadSums(
            1,
            self.capacity_per_s,
            self.busy_share * self.slots,
            self.slots,
            self.outstanding,
        )


@dataclass(frozen=True, slots=True)
class DataCentreState:
    """What is known of one data centre, for one service."""

    # Agents that new flows may be placed on.
    agents: int
    capacity_per_s: float
    # Recent mean of the share of slots in use, 0 to 1.
    busy_share: float
    # Mean time that a new request waits for a slot.
    expected_wait_s: float
    # When the newest report arrived, in monotonic seconds.
    heard_at: float

    @property
    def spare_per_s(self) -> float:
        """Requests a second that it can answer for other data centres."""
        return self.capacity_per_s * max(1 - self.busy_share, MINIMUM_SPARE_SHARE)


class DataCentreTable:
    """Last reports of the watched agents, and the states computed from them."""

    loads: dict[str, AgentLoad]

    def __init__(self) -> None:
        self.loads = {}

    def record(self, agent: str, load: AgentLoad) -> None:
        """Record an agent's newest report; without sums, its last ones still count."""
        last = self.loads.get(agent)
        if last is not None and last.is_known(load.heard_at) and not load.nearby.agents:
            load = replace(load, nearby=last.nearby)
        self.loads[agent] = load

    def retain_agents(self, agents: Iterable[str]) -> None:
        """Remove the reports of all agents except the given ones."""
        for name in self.loads.keys() - set(agents):
            del self.loads[name]

    def find_known(self, agents: Iterable[str], now: float) -> list[AgentLoad]:
        """Return the reports of the given agents that are recent enough."""
        loads = (self.loads.get(name) for name in agents)
        return [load for load in loads if load is not None and load.is_known(now)]

    def sum_agents(self, agents: Iterable[str], now: float) -> LoadSums:
        """Return the sums over the given agents; unknown ones are left out."""
        return add_sums(load.to_sums() for load in self.find_known(agents, now))

    def compute_state(
        self, watched: Iterable[str], available: int, now: float
    ) -> DataCentreState | None:
        """Return the state of a data centre, None if it can take no load.

        `watched` are the agents there whose reports this process receives, and
        `available` is the number of agents there that accept flows by the roster. A
        data centre is unable to take load if it is silent, evacuated or has no agent
        that accepts flows.
        """
        known = self.find_known(watched, now)
        if not known or not available or any(load.evacuated for load in known):
            return None
        # Two samples may contain the same agent; only means are derived from the total.
        total = add_sums(
            load.nearby if load.nearby.agents else load.to_sums() for load in known
        )
        if not total.agents or not total.slots or total.capacity_per_s <= 0:
            return None
        return DataCentreState(
            available,
            total.capacity_per_s / total.agents * available,
            min(total.busy_slots / total.slots, 1.0),
            max(total.outstanding - total.slots, 0) / total.capacity_per_s,
            max(load.heard_at for load in known),
        )
