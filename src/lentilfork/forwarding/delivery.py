"""Delivery: between an agent and the backend server beside it.

Packets of flows the backend server holds are handed over, and its answers go
straight to the callers. A packet it returns is passed on to the next agent; the
tag that comes back with it counts the agents that were asked.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from lentilfork.counters import Counters
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.envelopes import encode_note
from lentilfork.forwarding.failures import FailureRate
from lentilfork.forwarding.flows import Flow
from lentilfork.forwarding.flows import FlowBook
from lentilfork.forwarding.loads import FULL_PERCENT
from lentilfork.forwarding.ownership import FlowOwner
from lentilfork.forwarding.packets import KEY
from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import PacketCodec
from lentilfork.forwarding.packets import PacketFlags
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.packets import make_server_key
from lentilfork.forwarding.placement import Choice
from lentilfork.forwarding.roster import Roster

__all__ = ["FlowDelivery"]

SocketName = tuple[str, int]
OPENED: Final = PacketFlags.SYN | PacketFlags.ACK
ENDED: Final = PacketFlags.FIN | PacketFlags.RST
# Flows older than this may be dropped, so that an agent that has run for longer
# has seen the opening of every flow its backend server holds.
LONGEST_FLOW_S: Final = 60.0


class FlowDelivery:
    """Hands packets to one backend server and takes its answers."""

    name: str
    # Identifier of the service and of the agent's own data centre.
    service: int
    data_centre: int
    codec: PacketCodec
    roster: Roster
    owner: FlowOwner
    book: FlowBook
    # The backend server takes new flows.
    accepting: bool
    # It has announced itself to this process.
    server_known: bool
    # Every flow that the backend server holds has passed this process.
    knows_all_since: float
    counters: Counters
    decisions: DecisionLog
    failures: FailureRate
    # SYNs handed over since the backend server last sent anything, and the first.
    unanswered: int
    unanswered_since: float
    send: Callable[[bytes, SocketName], None]
    send_to_caller: Callable[[bytes, int], None]
    send_to_server: Callable[[bytes], None]

    def __init__(
        self,
        name: str,
        service: int,
        data_centre: int,
        codec: PacketCodec,
        roster: Roster,
        owner: FlowOwner,
        book: FlowBook,
        counters: Counters,
        decisions: DecisionLog,
        knows_all_since: float,
    ) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.codec = codec
        self.roster = roster
        self.owner = owner
        self.book = book
        self.counters = counters
        self.decisions = decisions
        self.accepting = False
        self.server_known = False
        self.knows_all_since = knows_all_since
        self.failures = FailureRate()
        self.unanswered = 0
        self.unanswered_since = 0.0

    def deliver(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        """Hand a packet to the backend server, or pass it on."""
        if envelope.service != self.service:
            self.counters.add("packets_dropped", "other_service")
            return
        if packet.is_opening:
            self.deliver_opening(envelope, packet, now)
        else:
            self.deliver_following(envelope, packet, now)

    def deliver_opening(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> None:
        """Offer a new flow to the backend server."""
        key = make_caller_key(packet)
        flow = self.book.find(key)
        if flow is None and not self.takes_new_flows():
            self.owner.place_elsewhere(envelope, packet, now, "not accepting")
            return
        if flow is None and not self.confirm_placement(envelope, packet, now):
            return
        flow = self.book.offer(key, envelope.ingress, now)
        flow.offered_by = envelope.sender
        if self.unanswered == 0:
            self.unanswered_since = now
        self.unanswered += 1
        self.hand_over(packet, envelope.hops)

    def confirm_placement(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> bool:
        """Tell whether a SYN offered here is still expected to be answered in time.

        Many owners may have chosen this agent since it last told its load.
        """
        own = self.roster.agents.get(self.name)
        if own is None or envelope.deadline_ms == 0:
            return True
        here = Choice(own, self.book.estimate_s(), self.book.has_free_slot)
        if self.owner.admission.is_still_in_time(envelope, here):
            return True
        if not self.owner.place_or_refuse(envelope, packet, here, now):
            self.tell_refused(envelope, make_caller_key(packet), now)
        return False

    def tell_refused(self, envelope: Envelope, key: bytes, now: float) -> None:
        """Tell owners that they need not offer a flow again."""
        owners = self.roster.rank_owners(self.service, envelope.ingress, key)
        addresses = {agent.address for agent in owners[:1] if agent.name != self.name}
        if envelope.sender is not None:
            addresses.add(envelope.sender)
        self.owner.take_note(key, "", now)
        for address in addresses:
            self.send(encode_note(key, ""), address)

    def takes_new_flows(self) -> bool:
        """Tell whether new flows may be offered to the backend server.

        One that has not announced itself to this process yet is tried: after a
        restart of the agent it may well be there.
        """
        return self.accepting or not self.server_known

    def deliver_following(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> None:
        """Hand over a packet of an open flow, if the flow may be here."""
        flow = self.book.find(make_caller_key(packet))
        if flow is None:
            if now >= self.knows_all_since:
                self.pass_on(packet, envelope)
                return
        elif not flow.matches(packet.acknowledgement):
            self.pass_on(packet, envelope)
            return
        else:
            self.book.touch(flow, now)
            flow.acknowledged = packet.acknowledgement
            if packet.payload_bytes and self.book.take_request(flow, now):
                self.decisions.write(
                    "handed over",
                    flow.key,
                    "the flow is open here",
                    request=self.codec.read_request_id(packet),
                    running=self.book.running,
                    hops=envelope.hops,
                )
            if packet.flags & PacketFlags.RST:
                self.book.close(flow)
        self.hand_over(packet, envelope.hops)

    def hand_over(self, packet: FlowPacket, hops: int) -> None:
        """Send a packet to the backend server; the tag carries the hops."""
        self.counters.add("packets_delivered")
        self.send_to_server(self.codec.write_tag(packet.data, hops))

    def pass_on(self, packet: FlowPacket, envelope: Envelope) -> None:
        """Ask the next agent for a flow that is not here."""
        agents = [
            agent
            for agent in self.roster.list_agents(self.service)
            if not agent.lost or agent.name == self.name
        ]
        hops = envelope.hops + 1
        if hops >= len(agents):
            self.counters.add("packets_dropped", "flow_not_found")
            key = make_caller_key(packet)
            self.decisions.write("dropped", key, "no agent holds the flow", hops=hops)
            return
        position = next(
            (index for index, agent in enumerate(agents) if agent.name == self.name), 0
        )
        following = agents[(position + 1) % len(agents)]
        self.counters.add("packets_passed_on")
        passed = replace(envelope, kind=Kind.DELIVER, hops=hops, data=packet.data)
        self.send(encode_envelope(passed), following.address)

    def take_server_packet(self, data: bytes, now: float) -> None:
        """Forward a packet of the backend server, or handle one it returned."""
        packet = self.codec.parse(data)
        if packet is None:
            self.counters.add("packets_dropped", "malformed")
            return
        if packet.flags & PacketFlags.REJECTED:
            self.take_rejected(packet, now)
            return
        self.unanswered = 0
        key = make_server_key(packet)
        flow = self.book.find(key)
        if flow is None:
            flow = self.book.adopt(key, now)
        self.book.touch(flow, now)
        self.note_progress(flow, packet, now)
        self.counters.add("packets_answered")
        self.send_to_caller(data, packet.destination)

    def note_progress(self, flow: Flow, packet: FlowPacket, now: float) -> None:
        """Update what is known of a flow from a packet of the backend server."""
        if packet.flags & OPENED == OPENED:
            flow.sequence = packet.sequence
            flow.owner = ""
            self.confirm_offer(flow, now)
        if flow.requested_at is not None:
            broken = bool(packet.flags & PacketFlags.RST)
            if broken or packet.payload_bytes:
                failed = broken or self.codec.tells_failure(packet)
                self.take_outcome(flow, now, failed=failed)
        if packet.payload_bytes:
            taken_s = self.book.take_answer(flow, now)
            if taken_s is not None:
                self.counters.observe("answer_time", taken_s)
        if packet.flags & ENDED:
            self.book.close(flow)
        if not flow.owner:
            self.tell_owner(flow, now)

    def take_outcome(self, flow: Flow, now: float, *, failed: bool) -> None:
        """Note how a request ended at the backend server."""
        self.failures.record(now, failed=failed)
        if failed:
            self.counters.add("requests_failed", "by_backend_server")
            self.decisions.write(
                "failed",
                flow.key,
                "the backend server did not serve it",
                failed_percent=round(self.failures.get_share(now) * FULL_PERCENT),
                running=self.book.running,
            )

    def confirm_offer(self, flow: Flow, now: float) -> None:
        """Tell the agent that offered a flow here that it opened."""
        if flow.offered_by is None:
            self.owner.take_note(flow.key, self.name, now)
        else:
            self.send(encode_note(flow.key, self.name), flow.offered_by)

    def tell_owner(self, flow: Flow, now: float) -> None:
        """Tell the owner of a flow where it is served, if it is another one now."""
        opening = not flow.owner
        ingress = flow.ingress or self.data_centre
        owners = self.roster.rank_owners(self.service, ingress, flow.key)
        if not owners or owners[0].name == flow.owner:
            return
        flow.owner = owners[0].name
        if flow.owner == self.name:
            self.owner.take_note(flow.key, self.name, now)
        elif owners[0].address != flow.offered_by or not opening:
            self.send(encode_note(flow.key, self.name), owners[0].address)

    def tell_new_owners(self, now: float) -> None:
        """Tell owners that the roster made new ones of the flows served here."""
        for flow in self.book.list_open():
            self.tell_owner(flow, now)

    def take_rejected(self, packet: FlowPacket, now: float) -> None:
        """Handle a packet that the backend server does not take."""
        data = self.codec.write_tag(packet.data, 0)
        returned = replace(
            packet,
            flags=packet.flags & ~PacketFlags.REJECTED,
            data=data,
        )
        key = make_caller_key(returned)
        flow = self.book.find(key)
        ingress = flow.ingress if flow is not None else 0
        envelope = Envelope(
            Kind.DELIVER,
            packet.tag,
            self.service,
            ingress or self.data_centre,
            0,
            0,
            0,
            data,
        )
        if returned.is_opening:
            self.book.forget(key)
            self.owner.place_elsewhere(envelope, returned, now, "rejected")
        elif flow is not None and flow.sequence is not None:
            self.reset_lost(flow, returned)
        else:
            self.pass_on(returned, envelope)

    def reset_all(self, reason: str) -> None:
        """Tell callers that all flows of the backend server have ended."""
        for flow in self.book.list_open():
            self.counters.add("flows_reset", "backend_server_restarted")
            self.decisions.write("reset", flow.key, reason)
            self.book.forget(flow.key)
            source, port, destination, destination_port = KEY.unpack(flow.key)
            packet = FlowPacket(
                source,
                port,
                destination,
                destination_port,
                PacketFlags.ACK,
                0,
                flow.acknowledged,
                0,
                0,
                b"",
            )
            self.send_to_caller(self.codec.make_reset(packet), source)

    def reset_lost(self, flow: Flow, packet: FlowPacket) -> None:
        """Tell a caller that the backend server has lost its flow."""
        self.counters.add("flows_reset", "lost_by_backend_server")
        self.decisions.write("reset", flow.key, "the backend server lost the flow")
        self.book.forget(flow.key)
        self.send_to_caller(self.codec.make_reset(packet), packet.source)
