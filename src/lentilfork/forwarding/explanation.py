"""Explanation of where an owner would place a new flow at this moment.

The flow's SYN runs through the code of real flows on a copy of the owner whose sockets,
log and counters record only. What the copy changes is discarded with it, so the owner
keeps its loads, its moving averages and its directory, and nothing is sent. Attributes
that hold the owner's state are copied in depth, also those added later; `copy_owner`
lists what is shared or replaced.
"""

import copy
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import fields
from typing import TYPE_CHECKING
from typing import Final

from lentilfork.counters import Counters
from lentilfork.directory import Directory
from lentilfork.forwarding.admission import MS_PER_S
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.decisions import format_flow
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.loads import FULL_PERCENT
from lentilfork.forwarding.loads import LoadTable
from lentilfork.forwarding.loads import PeerLoad
from lentilfork.forwarding.loads import is_overdue
from lentilfork.forwarding.packets import KEY
from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import PacketFlags
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster

if TYPE_CHECKING:
    from lentilfork.forwarding.ownership import FlowOwner

__all__ = ["Candidate", "Decision", "Explanation", "explain_placement"]

CHOSEN: Final = "chosen"
COMPARED: Final = "compared"
EXCLUDED: Final = "excluded"
# Reasons of compared agents that are not chosen.
COSTS_MORE: Final = "costs more by expected time, distance and failures"
EXPECTED_TOO_LATE: Final = "its answer is expected too late"
LOCAL: Final = "local"
REMOTE: Final = "remote"


@dataclass(frozen=True, slots=True)
class Decision:
    """What the owner would do with the flow."""

    # As in log lines: "placed" or "refused"; "delivered" if the owner knows no agent of
    # the service, "none" if it would do nothing yet.
    outcome: str
    # Agent that the flow would be offered to, "" if none.
    agent: str
    reason: str
    # Values that the decision was made from, as in its log line.
    inputs: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class Candidate:
    """One agent of the service as the owner sees it; None where it knows no load."""

    name: str
    data_centre: str
    # `LOCAL` if the agent is in the data centre of the flow's balancer, else `REMOTE`.
    distance: str
    # `CHOSEN`, `COMPARED` or `EXCLUDED`, and the reason.
    outcome: str
    reason: str
    # Requests that a new one would have before it: as reported, and placed since then.
    outstanding: int | None = None
    placed: int | None = None
    slots: int | None = None
    # Requests before a new one by slot; above 1 there is a queue.
    utilisation: float | None = None
    service_time_ms: float | None = None
    # Expected time to the answer.
    expected_ms: float | None = None
    failed_percent: int | None = None
    # Time since the last load report; None if there was none.
    report_age_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Decision about a new flow, and the agents that it was made from."""

    # "caller:port>address:port".
    flow: str
    # Agent that was asked, and the one that owns the flow: only its decision counts.
    asked: str
    owner: str
    # Agent that the owner has placed a flow with the same addresses on, "" if none.
    known_agent: str
    decision: Decision
    # All agents of the service in the flow's order.
    candidates: list[Candidate]


@dataclass(slots=True)
class RecordedLoad(PeerLoad):
    """Load of one agent that records whether its expected time was asked for."""

    agent: str = ""
    # Names of the agents whose expected time was asked for.
    compared: set[str] | None = None

    def estimate_s(self) -> float:
        """Return the expected seconds until a new request would be answered."""
        if self.compared is not None:
            self.compared.add(self.agent)
        # `super()` doesn't work in a dataclass with slots.
        return PeerLoad.estimate_s(self)


class RecordedLoads(LoadTable):
    """Copy of a table of loads that records which agents are compared."""

    compared: set[str]

    def __init__(self, loads: LoadTable) -> None:
        super().__init__()
        vars(self).update(copy.deepcopy(vars(loads)))
        self.compared = set()
        self.loads = {
            name: self.record(name, load) for name, load in self.loads.items()
        }

    def record(self, name: str, load: PeerLoad) -> RecordedLoad:
        """Return a load that records its use."""
        values = {item.name: getattr(load, item.name) for item in fields(load)}
        return RecordedLoad(**values, agent=name, compared=self.compared)

    def get_or_create(self, agent: str) -> PeerLoad:
        """Return the load of an agent; an unknown agent is added as idle."""
        if agent not in self.loads:
            self.loads[agent] = self.record(agent, PeerLoad())
        return self.loads[agent]


class RecordedDecisions(DecisionLog):
    """Log of decisions that writes nothing and keeps the last one."""

    # Outcome, reason and inputs; None before the first decision.
    last: tuple[str, str, dict[str, object]] | None

    def __init__(self) -> None:
        super().__init__()
        self.last = None

    def write(self, outcome: str, key: bytes, reason: str, **inputs: object) -> None:
        """Keep a decision."""
        self.last = outcome, reason, inputs


def discard(*_arguments: object) -> None:
    """Send nothing."""


def copy_roster(roster: Roster) -> Roster:
    """Return a roster with the same agents and an empty cache of ranks."""
    copied = copy.copy(roster)
    copied.ranked = {}
    copied.listeners = []
    return copied


def copy_owner(owner: "FlowOwner", loads: RecordedLoads) -> "FlowOwner":
    """Return an owner with the same state that sends, logs and counts nothing.

    It knows no flow, so that a SYN is always that of a new one.
    """
    replacements = {
        "codec": owner.codec,
        "roster": copy_roster(owner.roster),
        "candidates": copy_roster(owner.candidates),
        "loads": loads,
        "directory": Directory(owner.directory.lifetime_s),
        "offers": type(owner.offers)(),
        "contests": type(owner.contests)(),
        "counters": Counters(),
        "decisions": RecordedDecisions(),
        "send": discard,
        "send_to_caller": discard,
        "deliver": discard,
    }
    attributes = vars(owner)
    # Objects that other attributes refer to are replaced there as well.
    memo = {
        id(attributes[name]): value
        for name, value in replacements.items()
        if name in attributes
    }
    copied = copy.deepcopy(owner, memo)
    vars(copied).update(replacements)
    return copied


def make_syn(key: bytes) -> FlowPacket:
    """Return the SYN of a flow, without the datagram, which is not sent."""
    source, source_port, destination, destination_port = KEY.unpack(key)
    return FlowPacket(
        source,
        source_port,
        destination,
        destination_port,
        PacketFlags.SYN,
        0,
        0,
        0,
        0,
        b"",
    )


def explain_placement(
    owner: "FlowOwner", envelope: Envelope, key: bytes, now: float
) -> Explanation:
    """Return where an owner would place a new flow now, and why.

    The owner doesn't change.
    """
    loads = RecordedLoads(owner.loads)
    copied = copy_owner(owner, loads)
    copied.route(envelope, make_syn(key), now)
    ranked = copied.roster.rank_owners(envelope.service, envelope.ingress, key)
    decision = describe_decision(copied, key, has_agents=bool(ranked))
    entry = owner.directory.get(key, now)
    return Explanation(
        format_flow(key),
        owner.name,
        ranked[0].name if ranked else "",
        "" if entry is None else entry.agent,
        decision,
        [
            describe_candidate(
                owner, agent, envelope.ingress, decision, loads.compared, now
            )
            for agent in ranked
        ],
    )


def describe_decision(copied: "FlowOwner", key: bytes, *, has_agents: bool) -> Decision:
    """Return what the copy of an owner has done with a flow."""
    assert isinstance(copied.decisions, RecordedDecisions)
    offer = copied.offers.get(key)
    agent = offer.agents[-1] if offer is not None else ""
    if copied.decisions.last is not None:
        outcome, reason, inputs = copied.decisions.last
        return Decision(outcome, agent, reason, inputs)
    if not has_agents:
        reason = "no agent of the service is known here"
        return Decision("delivered", copied.name, reason, {})
    return Decision("none", agent, "the owner would not decide yet", {})


def describe_candidate(
    owner: "FlowOwner",
    agent: AgentRecord,
    ingress: int,
    decision: Decision,
    compared: set[str],
    now: float,
) -> Candidate:
    """Return what an owner knows of an agent, and why it would choose it or not."""
    load = owner.loads.loads.get(agent.name)
    distance = LOCAL if hash_name(agent.data_centre) == ingress else REMOTE
    if agent.name == decision.agent:
        outcome, reason = CHOSEN, decision.reason
    elif agent.name in compared:
        placed = bool(decision.agent)
        outcome, reason = COMPARED, COSTS_MORE if placed else EXPECTED_TOO_LATE
    else:
        outcome, reason = EXCLUDED, find_exclusion(owner, agent, load, now)
    head = (agent.name, agent.data_centre, distance, outcome, reason)
    if load is None:
        return Candidate(*head)
    return Candidate(
        *head,
        load.outstanding,
        load.placed,
        load.slots,
        round(load.requests_ahead / load.slots, 3),
        round(load.service_time_s * load.slowdown_factor * MS_PER_S, 2),
        round(load.estimate_s() * MS_PER_S, 2),
        round(load.failed_share * FULL_PERCENT),
        None
        if load.last_report_at is None
        else round((now - load.last_report_at) * MS_PER_S),
    )


def find_exclusion(
    owner: "FlowOwner", agent: AgentRecord, load: PeerLoad | None, now: float
) -> str:
    """Return why an owner wouldn't compare an agent for a flow."""
    if agent.lost:
        return "lost: its announcements do not arrive"
    if agent.leaving:
        return "it leaves"
    if not agent.accepting:
        return "its backend server accepts no new flows"
    if agent.name not in owner.candidates.agents:
        return "not watched here"
    if load is not None and not load.accepting:
        return "its last load report accepts no new flows"
    if load is not None and is_overdue(load, now):
        return "its load report is overdue"
    if load is not None and now < load.avoided_until:
        wait_ms = round((load.avoided_until - now) * MS_PER_S)
        return f"left {load.unanswered_offers} offers unanswered, avoided {wait_ms} ms"
    return "later in the flow's order than those compared"
