"""Placement of new flows by the state of the data centres.

Translates rosters, load reports and envelopes into the inputs of
`scheduling.decide_placement`, and its result into a `Choice`. Used where the settings
ask for `places`; `placement.choose_agent` decides elsewhere.
"""

import math
from collections.abc import Collection
from collections.abc import Iterable
from typing import Final

import xxhash

from lentilfork.counters import Counters
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.flows import BUSY_TIME_S
from lentilfork.forwarding.loads import FULL_PERCENT
from lentilfork.forwarding.loads import US_PER_S
from lentilfork.forwarding.loads import LoadTable
from lentilfork.forwarding.packets import KEY
from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.placement import Choice
from lentilfork.forwarding.placement import find_earliest
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.scheduling import AgentLoad
from lentilfork.scheduling import Candidate
from lentilfork.scheduling import DataCentreState
from lentilfork.scheduling import DataCentreTable
from lentilfork.scheduling import EvacuationView
from lentilfork.scheduling import LoadSums
from lentilfork.scheduling import RouteDemand
from lentilfork.scheduling import decide_placement
from lentilfork.scheduling.service_times import RouteWork
from lentilfork.scheduling.service_times import ServiceTimes
from lentilfork.schema import roster_pb2
from lentilfork.state.model import DEFAULT_TRANSFER_COST
from lentilfork.state.model import TransferCost

__all__ = ["FlowPlacement"]

# What the path to another data centre and back adds to an answer: two round trips, for
# the SYN and for the request.
PATH_S: Final = 0.003
# Interval between two reports with the sums over this data centre. They change more
# slowly than the load of one server, and most reports follow the last within 5 ms.
SUMS_INTERVAL_S: Final = 0.02
FULL_PERMILLE: Final = 1_000
MS_PER_S: Final = 1_000
HASH_RANGE: Final = 1 << 64
DRAW_SEED: Final = 1


class FlowPlacement:
    """What one agent knows for placing flows by the state of the data centres."""

    name: str
    # Identifier of this agent's data centre.
    data_centre: int
    roster: Roster
    # The watched agents and this one.
    watched: Roster
    loads: LoadTable
    evacuations: EvacuationView
    counters: Counters
    table: DataCentreTable
    # Averages of the routes that this agent's server has served.
    times: ServiceTimes
    # Time of the last report with sums.
    summed_at: float
    # Members of the forwarding path get no presets, so the default applies there.
    transfer_cost: TransferCost
    # Busy share that the long flows placed by this process will add to each agent, and
    # when it was computed; it decays as the agent's own mean takes over.
    placed_shares: dict[str, tuple[float, float]]

    def __init__(
        self,
        name: str,
        data_centre: str,
        roster: Roster,
        watched: Roster,
        loads: LoadTable,
        evacuations: EvacuationView,
        counters: Counters,
    ) -> None:
        self.name = name
        self.data_centre = hash_name(data_centre)
        self.roster = roster
        self.watched = watched
        self.loads = loads
        self.evacuations = evacuations
        self.counters = counters
        self.table = DataCentreTable()
        self.times = ServiceTimes()
        self.summed_at = float("-inf")
        self.transfer_cost = DEFAULT_TRANSFER_COST
        self.placed_shares = {}

    def record_report(self, report: roster_pb2.LoadUpdate, now: float) -> None:
        """Record a load report, unless the load table has found it out of date."""
        load = self.loads.get_or_create(report.agent)
        version = load.incarnation, load.sequence
        if version == (report.incarnation, report.sequence):
            self.table.record(report.agent, decode_load(report, now))

    def add_to_report(self, report: roster_pb2.LoadUpdate, now: float) -> None:
        """Add the sums over this data centre to some of this agent's reports."""
        self.table.record(self.name, decode_load(report, now))
        if now - self.summed_at < SUMS_INTERVAL_S:
            return
        self.summed_at = now
        sums = self.table.sum_agents(self.list_watched(self.data_centre), now)
        report.nearby.CopyFrom(
            roster_pb2.DataCentreLoad(
                agents=sums.agents,
                capacity_per_s=sums.capacity_per_s,
                busy_slots=sums.busy_slots,
                slots=sums.slots,
                outstanding=sums.outstanding,
            )
        )

    def retain_loads(self) -> None:
        """Remove what is known of agents whose reports no longer arrive."""
        self.table.retain_agents(self.watched.agents)
        self.placed_shares = {
            name: share
            for name, share in self.placed_shares.items()
            if name in self.watched.agents
        }

    def list_watched(self, data_centre: int) -> list[str]:
        """Return the names of the watched agents of a data centre."""
        return [
            agent.name
            for agent in self.watched.agents.values()
            if hash_name(agent.data_centre) == data_centre
        ]

    def get_busy_share(self, agent: str, now: float) -> float:
        """Return the recent mean of the share of an agent's slots that is in use.

        Flows placed since by this process are added.
        """
        load = self.table.loads.get(agent)
        return (load.busy_share if load else 0.0) + self.get_placed_share(agent, now)

    def get_placed_share(self, agent: str, now: float) -> float:
        """Return the busy share that long flows placed by this process will add."""
        share, placed_at = self.placed_shares.get(agent, (0.0, now))
        return share * math.exp((placed_at - now) / BUSY_TIME_S)

    def record_placement(self, agent: str, key: bytes, now: float) -> None:
        """Record a flow that this process has placed on an agent."""
        profile = self.find_route(key)
        if not profile.has_long_flows:
            return
        load = self.loads.get_or_create(agent)
        added = profile.requests_per_flow * load.service_time_s / load.slots
        share = self.get_placed_share(agent, now) + added / BUSY_TIME_S
        self.placed_shares[agent] = share, now

    def count_crossing(self, packet: FlowPacket, ingress: int, direction: str) -> None:
        """Count the bytes of a packet if its caller is in another data centre."""
        if ingress not in {0, self.data_centre}:
            amount = len(packet.data)
            self.counters.add("bytes_between_data_centres", direction, amount)

    def find_route(self, key: bytes) -> RouteWork:
        """Return what is known of a flow's route; no samples if it is unknown."""
        _, _, address, port = KEY.unpack(key)
        return self.times.routes.get((address, port)) or RouteWork()

    def choose(
        self,
        envelope: Envelope,
        key: bytes,
        excluded: Collection[str],
        now: float,
        *,
        near_refused: bool = False,
    ) -> Choice:
        """Return the agent that a new flow should be offered to.

        A flow that has come from another data centre's balancer has crossed already. It
        is handed on to a third data centre only if no agent here can take it, and never
        back.
        """
        near, far = self.find_candidates(envelope, key, excluded, now)
        has_crossed = envelope.ingress != self.data_centre
        if has_crossed:
            far = [item for item in far if item.data_centre != envelope.ingress]
            if near:
                far = []
        placement = decide_placement(
            near,
            far,
            self.compute_states(envelope.service, far, now),
            self.describe_route(envelope, key),
            self.transfer_cost,
            PATH_S,
            xxhash.xxh3_64_intdigest(key, seed=DRAW_SEED) / HASH_RANGE,
            near_refused=near_refused,
        )
        chosen = placement.candidate
        if chosen is None:
            return self.find_last_resort(envelope, key, excluded, now)
        return Choice(
            self.roster.agents.get(chosen.name) or self.watched.agents[chosen.name],
            chosen.expected_s,
            chosen.has_free_slot,
            str(placement.reason) if placement.is_far else "",
        )

    def find_candidates(
        self, envelope: Envelope, key: bytes, excluded: Collection[str], now: float
    ) -> tuple[list[Candidate], list[Candidate]]:
        """Return the usable agents of this data centre, and those of others.

        Agents of this data centre that are not watched count only if no other is left.
        """
        usable = self.list_usable(self.watched, envelope, key, excluded, now)
        near = [item for item in usable if item.data_centre == self.data_centre]
        far = [item for item in usable if item.data_centre != self.data_centre]
        if not near:
            usable = self.list_usable(self.roster, envelope, key, excluded, now)
            near = [item for item in usable if item.data_centre == self.data_centre]
        return near, far

    def list_usable(
        self,
        roster: Roster,
        envelope: Envelope,
        key: bytes,
        excluded: Collection[str],
        now: float,
    ) -> list[Candidate]:
        """Return the agents that may get a new flow, in the flow's order."""
        return [
            self.make_candidate(agent, now)
            for agent in roster.rank_owners(envelope.service, envelope.ingress, key)
            if agent.is_available
            and agent.name not in excluded
            and self.loads.is_usable(agent.name, now)
            and not self.is_evacuated(agent)
        ]

    def is_evacuated(self, agent: AgentRecord) -> bool:
        """Return whether an agent's data centre is evacuated, here or by its report."""
        load = self.table.loads.get(agent.name)
        return self.evacuations.contains(agent.data_centre) or (
            load is not None and load.evacuated
        )

    def make_candidate(self, agent: AgentRecord, now: float) -> Candidate:
        """Return an agent with its load."""
        load = self.loads.get_or_create(agent.name)
        return Candidate(
            agent.name,
            hash_name(agent.data_centre),
            load.estimate_s(),
            self.get_busy_share(agent.name, now),
            load.slots / (load.service_time_s * load.slowdown_factor),
            load.has_free_slot,
            load.failed_share,
            load.slowdown_factor > 1,
        )

    def compute_states(
        self, service: int, far: Iterable[Candidate], now: float
    ) -> dict[int, DataCentreState | None]:
        """Return the states of the data centres of candidates."""
        return {
            data_centre: self.compute_state(service, data_centre, now)
            for data_centre in {item.data_centre for item in far}
        }

    def compute_state(
        self, service: int, data_centre: int, now: float
    ) -> DataCentreState | None:
        """Return the state of a data centre; None if it can take no load."""
        available = sum(
            agent.is_available and hash_name(agent.data_centre) == data_centre
            for agent in self.roster.list_agents(service)
        )
        watched = self.list_watched(data_centre)
        return self.table.compute_state(watched, available, now)

    def describe_route(self, envelope: Envelope, key: bytes) -> RouteDemand:
        """Return what the route of a flow demands, and what its flows cause."""
        profile = self.find_route(key)
        return RouteDemand(
            envelope.target_ms / MS_PER_S,
            envelope.deadline_ms / MS_PER_S,
            profile.bytes_per_flow,
            profile.requests_per_flow,
            profile.has_long_flows,
        )

    def find_last_resort(
        self, envelope: Envelope, key: bytes, excluded: Collection[str], now: float
    ) -> Choice:
        """Return an agent that seems unusable, as its reports may be out of date.

        Agents of this data centre come first, if their servers accept flows.
        """
        others = [
            agent
            for agent in self.roster.rank_owners(
                envelope.service, envelope.ingress, key
            )
            if agent.name not in excluded and not self.is_evacuated(agent)
        ]
        near = [item for item in others if self.is_near(item)]
        far = [item for item in others if self.may_receive(item, envelope)]
        available = [
            [agent for agent in group if agent.is_available] for group in (near, far)
        ]
        present = [item for item in near if not item.lost and not item.leaving]
        agents = next(filter(None, (*available, present)), [])
        return find_earliest(agents, self.loads, envelope.ingress)

    def is_near(self, agent: AgentRecord) -> bool:
        """Return whether an agent is in this data centre."""
        return hash_name(agent.data_centre) == self.data_centre

    def may_receive(self, agent: AgentRecord, envelope: Envelope) -> bool:
        """Return whether a flow without a near server may go to a far agent."""
        return (
            self.transfer_cost.ms_per_mb is not None
            and not self.is_near(agent)
            and hash_name(agent.data_centre) != envelope.ingress
        )


def decode_load(report: roster_pb2.LoadUpdate, now: float) -> AgentLoad:
    """Return the load in a report that has arrived now."""
    service_time_s = max(report.service_time_us, 1) / US_PER_S
    service_time_s *= 1 + report.slow_percent / FULL_PERCENT
    slots = max(report.slots, 1)
    nearby = report.nearby
    return AgentLoad(
        now,
        report.accepting,
        report.evacuated,
        slots,
        slots / service_time_s,
        report.busy_permille / FULL_PERMILLE,
        report.outstanding,
        LoadSums(
            nearby.agents,
            nearby.capacity_per_s,
            nearby.busy_slots,
            nearby.slots,
            nearby.outstanding,
        ),
    )
