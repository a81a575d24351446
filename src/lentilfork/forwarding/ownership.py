"""Placement of new flows and lookup of known flows by the agent that owns them.

An owner offers a SYN to the agent whose answer is expected first and records that
placement. The agent confirms an answered SYN with a placement notice; if the notice
does not arrive in time, the SYN is also offered to another agent. The caller uses
only one of the SYN-ACKs, and the owner learns which one from the agent that delivers
the caller's next packet. Until then it forwards packets of the flow to all agents that
the flow was offered to. A server that was not chosen sends its SYN-ACK again for some
seconds, so once the caller has chosen, notices of SYN-ACKs change nothing.

Packets of flows that the owner does not know, such as flows of a previous owner, are
forwarded from agent to agent until one of them holds the flow.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from typing import Final

from lentilfork.counters import Counters
from lentilfork.directory import Directory
from lentilfork.forwarding.admission import MS_PER_S
from lentilfork.forwarding.admission import Admission
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.explanation import explain_placement
from lentilfork.forwarding.flow_placement import FlowPlacement
from lentilfork.forwarding.loads import LoadTable
from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import PacketCodec
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.placement import Choice
from lentilfork.forwarding.placement import choose_agent
from lentilfork.forwarding.read_delays import ReadDelays
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.scheduling import EvacuationView
from lentilfork.scheduling.shedding import Reason

__all__ = ["OFFER_TIMEOUT_S", "FlowOwner", "Offer"]

SocketName = tuple[str, int]
# A running agent opens a flow within a few round trips between data centres, and the
# caller retransmits its SYN for the first time after 200 ms.
OFFER_TIMEOUT_S: Final = 0.08
# Offers of one SYN; after that, only the caller's retransmissions can open the flow.
MAXIMUM_OFFERS: Final = 3
# Times a SYN is offered to yet another agent because a queue grew; after that, the
# agent that holds the offer refuses the flow.
MAXIMUM_QUEUE_HOPS: Final = 2
# Times a SYN that a backend server does not accept is offered to yet another agent
# before the flow is refused.
MAXIMUM_SYN_HOPS: Final = 4
# Lifetime of a contest: a caller gives up 1.4 s after its first SYN, and later packets
# of an open flow end the contest.
CONTEST_LIFETIME_S: Final = 2.0


@dataclass(slots=True)
class Offer:
    """A SYN that was offered to agents and whose flow is not confirmed as open yet."""

    envelope: Envelope
    packet: FlowPacket
    sent_at: float
    # Names of the agents that it was offered to, in order.
    agents: list[str]


@dataclass(slots=True)
class Contest:
    """Agents that a SYN was offered to, of which the caller chooses one."""

    agents: list[str]
    offered_at: float


class FlowOwner:
    """Directory and placement of the flows that one agent owns.

    The owner of a flow is the agent responsible for the flow's hash bucket; the
    flow may be served by another agent.
    """

    # Name of this agent.
    name: str
    codec: PacketCodec
    roster: Roster
    # The agents that are compared for new flows.
    candidates: Roster
    loads: LoadTable
    placement: FlowPlacement
    # Whether flows are placed by the state of the data centres, see `FlowPlacement`.
    places: bool
    directory: Directory
    # Pending offers by flow key, ordered by the time of the last offer.
    offers: OrderedDict[bytes, Offer]
    # Flows that were offered to several agents, oldest first.
    contests: OrderedDict[bytes, Contest]
    admission: Admission
    counters: Counters
    decisions: DecisionLog
    evacuations: EvacuationView
    # Whether packets may have waited for long before this process read them.
    delays: ReadDelays
    send: Callable[[bytes, SocketName], None]
    send_to_caller: Callable[[bytes, int], None]
    # Passes an envelope to the `FlowDelivery` of this agent.
    deliver: Callable[[Envelope, FlowPacket, float], None]

    def __init__(
        self,
        name: str,
        data_centre: str,
        codec: PacketCodec,
        roster: Roster,
        candidates: Roster,
        loads: LoadTable,
        counters: Counters,
        decisions: DecisionLog,
        idle_timeout_s: float,
        evacuations: EvacuationView,
        *,
        places: bool = False,
    ) -> None:
        self.name = name
        self.codec = codec
        self.roster = roster
        self.candidates = candidates
        self.loads = loads
        self.placement = FlowPlacement(
            name, data_centre, roster, candidates, loads, evacuations, counters
        )
        self.places = places
        self.directory = Directory(idle_timeout_s)
        self.offers = OrderedDict()
        self.contests = OrderedDict()
        self.admission = Admission()
        self.counters = counters
        self.decisions = decisions
        self.evacuations = evacuations
        self.delays = ReadDelays()

    def route(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        """Forward a packet to the agent that serves its flow; place a new flow."""
        key = make_caller_key(packet)
        if not packet.is_opening:
            # The caller has a SYN-ACK, so it needs no other one.
            self.offers.pop(key, None)
        if self.forward_contested(key, envelope, packet, now):
            return
        agent = self.find_agent(key, now)
        if agent is not None:
            self.record_choice(key, packet)
        if (
            agent is not None
            and packet.is_opening
            and hash_name(agent.service) != envelope.service
        ):
            # Only open flows stay with the service that their route had before.
            self.place(replace(envelope, repeated=True), packet, now)
        elif agent is not None:
            self.forward_to_agent(agent, envelope, packet, now)
        elif packet.is_opening:
            self.place(envelope, packet, now)
        else:
            self.counters.add("flows_searched")
            self.deliver(envelope, packet, now)

    def record_choice(self, key: bytes, packet: FlowPacket) -> None:
        """Record whether the caller has chosen a server, by its next packet.

        If it is another server than the recorded one, that one's agent notifies.
        """
        if not packet.is_opening:
            self.directory.entries[key].chosen = True
        elif packet.acknowledgement == 0:
            # The caller uses its port again.
            self.directory.entries[key].chosen = False

    def forward_contested(
        self, key: bytes, envelope: Envelope, packet: FlowPacket, now: float
    ) -> bool:
        """Forward a packet to all agents of which the caller has chosen one.

        A retransmitted SYN goes to the last of them, as the others were silent. Returns
        whether the flow was offered to several agents that are known.
        """
        contest = self.contests.get(key)
        if contest is None:
            return False
        names = contest.agents
        if packet.is_opening:
            names = names[-1:]
        agents = [
            self.roster.agents[name] for name in names if name in self.roster.agents
        ]
        contested = replace(envelope, repeated=True)
        for agent in agents:
            self.forward_to_agent(agent, contested, packet, now)
        return bool(agents)

    def find_agent(self, key: bytes, now: float) -> AgentRecord | None:
        """Return the agent that serves a flow, or None if it is not known."""
        name = self.directory.find(key, now)
        return self.roster.agents.get(name) if name is not None else None

    def forward_to_agent(
        self, agent: AgentRecord, envelope: Envelope, packet: FlowPacket, now: float
    ) -> None:
        """Forward an envelope to an agent, which may be this one."""
        if agent.name == self.name:
            self.deliver(envelope, packet, now)
            return
        forwarded = replace(envelope, kind=Kind.DELIVER, data=packet.data)
        self.send(encode_envelope(forwarded), agent.address)

    def choose_target(
        self,
        envelope: Envelope,
        key: bytes,
        excluded: list[str],
        now: float,
        *,
        all_agents: bool = False,
    ) -> Choice:
        """Return the agent that a new flow should be offered to.

        `excluded` lists the names of agents that are not considered; `all_agents`
        compares every candidate instead of a few, or says that the flow would be
        refused in its data centre.
        """
        if self.places:
            return self.placement.choose(
                envelope, key, excluded, now, near_refused=all_agents
            )
        service, ingress = envelope.service, envelope.ingress
        return choose_agent(
            self.candidates.rank_owners(service, ingress, key),
            self.roster.rank_owners(service, ingress, key),
            self.loads,
            envelope.ingress,
            excluded,
            now,
            all_agents=all_agents,
            evacuated=self.evacuations.data_centres,
        )

    # Returns where a new flow would be placed now; changes nothing.
    explain = explain_placement

    def place(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        """Offer a new flow to the agent expected to answer first, or refuse it."""
        key = make_caller_key(packet)
        if not self.roster.list_agents(envelope.service):
            # The balancer knows this agent, but no roster has arrived here yet.
            self.deliver(envelope, packet, now)
            return
        claim = self.admission.examine(envelope, packet, now)
        choice = self.choose_target(envelope, key, [], now)
        if choice.agent is None:
            self.refuse_offer(envelope, packet, self.explain_refusal("no agent"))
            return
        if not self.admission.is_in_time(envelope, choice, claim):
            choice = self.choose_target(envelope, key, [], now, all_agents=True)
        if choice.agent is None or not self.admission.admit(envelope, choice, claim):
            self.refuse_offer(
                envelope,
                packet,
                Reason.HEAVY_CALLER if claim.heavy_caller else Reason.LATE,
                expected_ms=round(choice.expected_s * MS_PER_S),
                limit_ms=round(self.admission.get_limit_ms(envelope, claim)),
                priority=envelope.priority,
            )
            return
        self.contests.pop(key, None)
        self.offers[key] = Offer(envelope, packet, now, [choice.agent.name])
        self.send_offer(choice, envelope, packet, now)

    def send_offer(
        self, choice: Choice, envelope: Envelope, packet: FlowPacket, now: float
    ) -> None:
        """Offer a flow to the given agent and record the placement.

        A repeated offer changes no directory entry: the flow may be open already.
        """
        assert choice.agent is not None
        key = make_caller_key(packet)
        if not envelope.repeated:
            self.directory.record(key, choice.agent.name, now)
        self.loads.record_placement(choice.agent.name)
        self.counters.add("flows_placed")
        if choice.crossing:
            self.counters.add("flows_left_data_centre", choice.crossing)
        if self.places:
            self.placement.record_placement(choice.agent.name, key, now)
        self.decisions.write(
            "placed",
            key,
            "answer expected first",
            agent=choice.agent.name,
            expected_ms=round(choice.expected_s * MS_PER_S, 1),
        )
        self.forward_to_agent(choice.agent, envelope, packet, now)

    def may_reset(self, envelope: Envelope, packet: FlowPacket) -> bool:
        """Return whether a SYN is the only one of its flow that may have opened it.

        Another agent may have got a copy of it, also while this one waited for as long
        as a caller does before it sends one.
        """
        is_first = packet.acknowledgement == 0 and not self.delays.is_late
        return is_first and not envelope.repeated

    def refuse(self, packet: FlowPacket, reason: str, **inputs: object) -> None:
        """Reset a new flow, so that its caller need not wait for a timeout.

        A retransmitted SYN is dropped instead: an earlier one may have opened the flow.
        So is a late one, as its copy may have done so.
        """
        key = make_caller_key(packet)
        if packet.acknowledgement > 0:
            self.counters.add("packets_dropped", "copy_not_placed")
            return
        if self.delays.is_late:
            self.counters.add("packets_dropped", "late_syn")
            return
        self.counters.add("flows_refused", reason)
        self.decisions.write("refused", key, reason, **inputs)
        self.send_to_caller(self.codec.make_reset(packet), packet.source)

    def refuse_offer(
        self, envelope: Envelope, packet: FlowPacket, reason: str, **inputs: object
    ) -> None:
        """Refuse a flow that was offered to this agent.

        A SYN that was offered to several agents is dropped instead: its flow may have
        opened at another agent, and a reset would break it.
        """
        if envelope.repeated:
            self.counters.add("packets_dropped", "repeated_offer")
            return
        if self.may_reset(envelope, packet):
            self.count_refusal(envelope)
        self.refuse(packet, reason, **inputs)

    def count_refusal(self, envelope: Envelope) -> None:
        """Count a refused flow by priority and by the data centre of its balancer."""
        self.counters.add("flows_refused_by_priority", str(envelope.priority))
        data_centre = self.roster.find_data_centre(envelope.ingress)
        self.counters.add("flows_refused_by_data_centre", data_centre)

    def explain_refusal(self, agents: str) -> str:
        """Return the reason to refuse a flow that no agent can get.

        `agents` names the agents that could get it without evacuations.
        """
        if self.evacuations.data_centres:
            return f"{agents} outside evacuated data centres takes new flows"
        return f"{agents} takes new flows"

    def place_elsewhere(
        self, envelope: Envelope, packet: FlowPacket, now: float, reason: str
    ) -> bool:
        """Offer a SYN that this agent's backend server does not accept elsewhere.

        Returns False if no other agent can get it.
        """
        key = make_caller_key(packet)
        if envelope.hops >= MAXIMUM_SYN_HOPS:
            self.refuse_offer(envelope, packet, "rejected by every agent asked")
            return False
        choice = self.choose_target(envelope, key, [self.name], now)
        if choice.agent is None:
            self.refuse_offer(envelope, packet, self.explain_refusal("no other agent"))
            return False
        self.counters.add("flows_placed_elsewhere", reason)
        forwarded = replace(envelope, hops=envelope.hops + 1)
        self.send_offer(choice, forwarded, packet, now)
        return True

    def place_or_refuse(
        self, envelope: Envelope, packet: FlowPacket, local_choice: Choice, now: float
    ) -> bool:
        """Offer a SYN that this agent would answer too late to another, or refuse it.

        Returns whether it was offered to another agent. `local_choice` is the
        estimate for this agent.
        """
        key = make_caller_key(packet)
        other_choice = self.choose_target(envelope, key, [self.name], now)
        in_time = self.admission.is_still_in_time(envelope, other_choice)
        if other_choice.agent and in_time and envelope.hops < MAXIMUM_QUEUE_HOPS:
            self.counters.add("flows_placed_elsewhere", "queue")
            forwarded = replace(envelope, hops=envelope.hops + 1)
            self.send_offer(other_choice, forwarded, packet, now)
            return True
        self.refuse_offer(
            envelope,
            packet,
            "queue grew meanwhile",
            expected_ms=round(local_choice.expected_s * MS_PER_S),
            target_ms=envelope.target_ms,
        )
        return False

    def handle_placement_notice(
        self, key: bytes, agent: str, now: float, *, chosen: bool = False
    ) -> None:
        """Record where a SYN was answered; "" means that the flow was refused.

        A refusal without a pending offer is late: the flow has opened meanwhile.
        `chosen` says that the caller uses the flow with the agent's backend server.
        Otherwise another server's SYN-ACK may reach the caller first, or has done so.
        """
        offer = self.offers.pop(key, None)
        contest = self.contests.get(key)
        if not agent:
            if offer is not None and contest is None:
                self.directory.entries.pop(key, None)
            return
        if offer is not None:
            self.loads.record_opening(agent)
            self.counters.observe("opening_time", now - offer.sent_at)
        if not chosen and (contest is not None or self.is_chosen(key, now)):
            return
        self.contests.pop(key, None)
        self.directory.record(key, agent, now, chosen=chosen)

    def is_chosen(self, key: bytes, now: float) -> bool:
        """Return whether the caller has chosen the recorded agent, which still runs."""
        entry = self.directory.get(key, now)
        return entry is not None and entry.chosen and entry.agent in self.roster.agents

    def expire_contests(self, now: float) -> None:
        """Remove contests that the caller has left undecided."""
        while self.contests:
            key, contest = next(iter(self.contests.items()))
            if now - contest.offered_at <= CONTEST_LIFETIME_S:
                return
            del self.contests[key]

    @property
    def next_retry_at(self) -> float:
        """Time at which the oldest pending offer times out; infinite without one."""
        oldest = next(iter(self.offers.values()), None)
        return float("inf") if oldest is None else oldest.sent_at + OFFER_TIMEOUT_S

    def retry_offers(self, now: float) -> None:
        """Offer flows that were not confirmed in time to other agents as well."""
        self.expire_contests(now)
        while self.offers:
            key, offer = next(iter(self.offers.items()))
            if now - offer.sent_at < OFFER_TIMEOUT_S:
                return
            del self.offers[key]
            silent = offer.agents[-1]
            self.loads.record_unanswered_offer(silent, now)
            if len(offer.agents) >= MAXIMUM_OFFERS:
                self.counters.add("offers_given_up")
                continue
            choice = self.choose_target(offer.envelope, key, offer.agents, now)
            if choice.agent is None:
                continue
            self.counters.add("flows_offered_again")
            self.decisions.write(
                "offered again",
                key,
                "no answer to the offer",
                silent=silent,
                waited_ms=round((now - offer.sent_at) * MS_PER_S),
            )
            offer.agents.append(choice.agent.name)
            offer.sent_at = now
            self.offers[key] = offer
            self.contests.setdefault(key, Contest(offer.agents, now))
            repeated = replace(offer.envelope, repeated=True)
            self.send_offer(choice, repeated, offer.packet, now)
