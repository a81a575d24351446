"""The owner's side: where each of its flows is served, and offers of new ones.

An owner places a SYN on the agent whose answer is expected first and remembers
it. The agent's note tells that the flow opened there; without a note in time the
SYN is offered to another agent as well. The caller picks one of the answers, so a
second offer is harmless. What an owner does not know, such as flows of a former
owner, it passes along the agents until one holds it.
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
from lentilfork.forwarding.loads import LoadTable
from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import PacketCodec
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.placement import Choice
from lentilfork.forwarding.placement import choose_agent
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster

__all__ = ["FlowOwner", "Offer"]

SocketName = tuple[str, int]
# An agent that is there opens a flow within a few round trips between data
# centres; the caller's first copy of the SYN follows after 200 ms.
OFFER_TIMEOUT_S: Final = 0.08
# A SYN is offered to so many agents before it is left to the caller's copies.
MAXIMUM_OFFERS: Final = 3
# Agents that pass a rejected SYN on before the caller is told.
# Agents that pass a SYN on because their queue grew; the last one decides.
MAXIMUM_QUEUE_HOPS: Final = 2
MAXIMUM_SYN_HOPS: Final = 4


@dataclass(slots=True)
class Offer:
    """A SYN that was offered and has not opened a flow yet."""

    envelope: Envelope
    packet: FlowPacket
    sent_at: float
    # Agents it was offered to, in order.
    agents: list[str]


class FlowOwner:
    """Directory and placement of the flows that one agent owns."""

    # Name of this agent.
    name: str
    codec: PacketCodec
    roster: Roster
    loads: LoadTable
    directory: Directory
    # Oldest first, by flow.
    offers: OrderedDict[bytes, Offer]
    admission: Admission
    counters: Counters
    decisions: DecisionLog
    send: Callable[[bytes, SocketName], None]
    send_to_caller: Callable[[bytes, int], None]
    # Hands an envelope to the delivery of this agent.
    deliver: Callable[[Envelope, FlowPacket, float], None]

    def __init__(
        self,
        name: str,
        codec: PacketCodec,
        roster: Roster,
        loads: LoadTable,
        counters: Counters,
        decisions: DecisionLog,
        idle_timeout_s: float,
    ) -> None:
        self.name = name
        self.codec = codec
        self.roster = roster
        self.loads = loads
        self.directory = Directory(idle_timeout_s)
        self.offers = OrderedDict()
        self.admission = Admission()
        self.counters = counters
        self.decisions = decisions

    def route(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        """Send a packet to where its flow is served; place a new flow."""
        key = make_caller_key(packet)
        agent = self.find_agent(key, now)
        if agent is not None:
            self.forward_to_agent(agent, envelope, packet, now)
        elif packet.is_opening:
            self.place(envelope, packet, now)
        else:
            self.counters.add("flows_searched")
            self.deliver(envelope, packet, now)

    def find_agent(self, key: bytes, now: float) -> AgentRecord | None:
        """Return the agent that serves a flow, None if it is not known."""
        name = self.directory.find(key, now)
        return self.roster.agents.get(name) if name is not None else None

    def forward_to_agent(
        self, agent: AgentRecord, envelope: Envelope, packet: FlowPacket, now: float
    ) -> None:
        """Hand an envelope to an agent, which may be this one."""
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
        """Return where a new flow is offered."""
        ranked = self.roster.rank_owners(envelope.service, envelope.ingress, key)
        return choose_agent(
            ranked,
            self.loads,
            envelope.ingress,
            excluded,
            now,
            all_agents=all_agents,
        )

    def place(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        """Offer a new flow to the agent whose answer is expected first."""
        key = make_caller_key(packet)
        choice = self.choose_target(envelope, key, [], now)
        if choice.agent is None:
            self.refuse(packet, "no agent takes new flows")
            return
        if not self.admission.is_in_time(envelope, choice):
            choice = self.choose_target(envelope, key, [], now, all_agents=True)
        if choice.agent is None or not self.admission.admit(envelope, choice):
            self.refuse(
                packet,
                "answer expected too late",
                expected_ms=round(choice.expected_s * MS_PER_S),
                limit_ms=round(self.admission.get_limit_ms(envelope)),
                priority=envelope.priority,
            )
            return
        self.offers[key] = Offer(envelope, packet, now, [choice.agent.name])
        self.send_offer(choice, envelope, packet, now)

    def send_offer(
        self, choice: Choice, envelope: Envelope, packet: FlowPacket, now: float
    ) -> None:
        """Offer a flow to the agent chosen."""
        assert choice.agent is not None
        key = make_caller_key(packet)
        self.directory.record(key, choice.agent.name, now)
        self.loads.record_placement(choice.agent.name)
        self.counters.add("flows_placed")
        self.decisions.write(
            "placed",
            key,
            "answer expected first",
            agent=choice.agent.name,
            expected_ms=round(choice.expected_s * MS_PER_S, 1),
        )
        self.forward_to_agent(choice.agent, envelope, packet, now)

    def refuse(self, packet: FlowPacket, reason: str, **inputs: object) -> None:
        """Tell a caller at once that its flow is not taken.

        A copy of a SYN is left alone: its flow may have opened meanwhile.
        """
        key = make_caller_key(packet)
        if packet.acknowledgement > 0:
            self.counters.add("packets_dropped", "copy_not_placed")
            return
        self.counters.add("flows_refused", reason)
        self.decisions.write("refused", key, reason, **inputs)
        self.send_to_caller(self.codec.make_reset(packet), packet.source)

    def refuse_offer(
        self, envelope: Envelope, packet: FlowPacket, reason: str, **inputs: object
    ) -> None:
        """Refuse a flow where it was offered.

        One that was offered twice may have opened at the other agent, and a reset
        would break it.
        """
        if envelope.repeated:
            self.counters.add("packets_dropped", "repeated_offer")
            return
        self.refuse(packet, reason, **inputs)

    def place_elsewhere(
        self, envelope: Envelope, packet: FlowPacket, now: float, reason: str
    ) -> None:
        """Offer a SYN that this agent's backend server does not take to another."""
        key = make_caller_key(packet)
        if envelope.hops >= MAXIMUM_SYN_HOPS:
            self.refuse_offer(envelope, packet, "rejected by every agent asked")
            return
        choice = self.choose_target(envelope, key, [self.name], now)
        if choice.agent is None:
            self.refuse_offer(envelope, packet, "no other agent takes new flows")
            return
        self.counters.add("flows_placed_elsewhere", reason)
        passed = replace(envelope, hops=envelope.hops + 1)
        self.send_offer(choice, passed, packet, now)

    def place_or_refuse(
        self, envelope: Envelope, packet: FlowPacket, here: Choice, now: float
    ) -> bool:
        """Offer a SYN that this agent would answer late elsewhere, or refuse it.

        Returns whether it was offered.
        """
        key = make_caller_key(packet)
        other = self.choose_target(envelope, key, [self.name], now)
        in_time = self.admission.is_still_in_time(envelope, other)
        if other.agent and in_time and envelope.hops < MAXIMUM_QUEUE_HOPS:
            self.counters.add("flows_placed_elsewhere", "queue")
            passed = replace(envelope, hops=envelope.hops + 1)
            self.send_offer(other, passed, packet, now)
            return True
        self.refuse_offer(
            envelope,
            packet,
            "queue grew meanwhile",
            expected_ms=round(here.expected_s * MS_PER_S),
            target_ms=envelope.target_ms,
        )
        return False

    def handle_placement_notice(self, key: bytes, agent: str, now: float) -> None:
        """Remember where a flow opened or was found; "" means that it was refused."""
        if not agent:
            self.offers.pop(key, None)
            self.directory.entries.pop(key, None)
            return
        self.directory.record(key, agent, now)
        send_offer = self.offers.pop(key, None)
        if send_offer is not None:
            self.loads.record_opening(agent)
            self.counters.observe("opening_time", now - send_offer.sent_at)

    def retry_offers(self, now: float) -> None:
        """Offer flows that did not open in time to other agents as well."""
        while self.offers:
            key, send_offer = next(iter(self.offers.items()))
            if now - send_offer.sent_at < OFFER_TIMEOUT_S:
                return
            del self.offers[key]
            silent = send_offer.agents[-1]
            self.loads.record_unanswered_offer(silent, now)
            if len(send_offer.agents) >= MAXIMUM_OFFERS:
                self.counters.add("offers_given_up")
                continue
            choice = self.choose_target(
                send_offer.envelope, key, send_offer.agents, now
            )
            if choice.agent is None:
                continue
            self.counters.add("flows_offered_again")
            self.decisions.write(
                "offered again",
                key,
                "no answer to the offer",
                silent=silent,
                waited_ms=round((now - send_offer.sent_at) * MS_PER_S),
            )
            send_offer.agents.append(choice.agent.name)
            send_offer.sent_at = now
            self.offers[key] = send_offer
            repeated = replace(send_offer.envelope, repeated=True)
            self.send_offer(choice, repeated, send_offer.packet, now)
