"""Packet exchange between an agent and its backend server on the same host.

Packets of flows that the backend server may hold are delivered to it, and its answers
are sent directly to the callers. A packet that the backend server rejects is forwarded
to the next agent. The packet's tag carries the number of agents that have already
forwarded it, so that a packet of an unknown flow is dropped after all were asked.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from lentilfork.counters import Counters
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_placement_notice
from lentilfork.forwarding.failures import FailureRate
from lentilfork.forwarding.flows import Flow
from lentilfork.forwarding.flows import FlowTable
from lentilfork.forwarding.flows import is_within
from lentilfork.forwarding.loads import FULL_PERCENT
from lentilfork.forwarding.ownership import OFFER_TIMEOUT_S
from lentilfork.forwarding.ownership import FlowOwner
from lentilfork.forwarding.packets import KEY
from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import PacketCodec
from lentilfork.forwarding.packets import PacketFlags
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.packets import make_server_key
from lentilfork.forwarding.placement import Choice
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.routes import FormerServices
from lentilfork.forwarding.routes import RouteIndex
from lentilfork.forwarding.search import FlowSearch
from lentilfork.forwarding.search import decode_tag
from lentilfork.forwarding.search import encode_tag
from lentilfork.forwarding.syn_guard import Obstacle
from lentilfork.forwarding.syn_guard import SynGuard

__all__ = ["FlowDelivery"]

SocketName = tuple[str, int]
OPENED: Final = PacketFlags.SYN | PacketFlags.ACK
ENDED: Final = PacketFlags.FIN | PacketFlags.RST
# Packets whose sequence number may be any.
STARTS_OR_RESETS: Final = PacketFlags.SYN | PacketFlags.RST
# Flows older than this may be dropped, so an agent that has run for longer has seen the
# opening of every flow that its backend server holds.
MAXIMUM_FLOW_AGE_S: Final = 60.0
# A SYN that is rejected later than this isn't answered with a reset. The rest of the
# time until the owner repeats its offer is for the way from the owner.
REJECTION_TIMEOUT_S: Final = OFFER_TIMEOUT_S / 2
# Interval of notices to an owner that forwards packets as if it didn't know the flow:
# longer than a notice takes, shorter than the caller's first retransmission.
CONFIRMATION_INTERVAL_S: Final = 0.1


class FlowDelivery:
    """Delivers packets to one backend server and handles the packets it sends."""

    name: str
    # Identifiers of the service and of the agent's data centre, see `hash_name`.
    service: int
    data_centre: int
    codec: PacketCodec
    roster: Roster
    owner: FlowOwner
    flows: FlowTable
    # The newest route table that this agent has; balancers may have another one.
    routes: RouteIndex
    former_services: FormerServices
    # Whether the backend server accepts new flows.
    accepting: bool
    # Whether the backend server has announced itself to this process.
    server_has_announced: bool
    # From this time on, `flows` contains every flow that the backend server holds.
    flows_complete_since: float
    counters: Counters
    decisions: DecisionLog
    failures: FailureRate
    guard: SynGuard
    # Number of SYNs delivered since the backend server last announced itself or sent a
    # packet other than a rejected one, and the time of the first of them.
    unanswered_syns: int
    unanswered_since: float
    search: FlowSearch
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
        flows: FlowTable,
        counters: Counters,
        decisions: DecisionLog,
        flows_complete_since: float,
        guard: SynGuard,
    ) -> None:
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.codec = codec
        self.roster = roster
        self.owner = owner
        self.flows = flows
        self.routes = RouteIndex()
        self.former_services = FormerServices()
        self.counters = counters
        self.decisions = decisions
        self.accepting = False
        self.server_has_announced = False
        self.flows_complete_since = flows_complete_since
        self.failures = FailureRate()
        self.guard = guard
        self.unanswered_syns = 0
        self.unanswered_since = 0.0
        self.search = FlowSearch(
            name,
            service,
            roster,
            counters,
            decisions,
            self.send_searched,
        )

    def deliver(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        """Deliver a packet to the backend server, or forward it to another agent.

        An envelope may name another service if the flow's route has changed since the
        flow opened. A balancer's envelope of a flow that is not here is misdirected.
        """
        other = envelope.service != self.service
        if packet.is_opening and not other:
            self.deliver_syn(envelope, packet, now)
        elif other and (
            packet.is_opening
            or (
                envelope.kind is Kind.ROUTE
                and self.flows.find(make_caller_key(packet)) is None
            )
        ):
            self.counters.add("packets_dropped", "other_service")
        else:
            self.deliver_subsequent(envelope, packet, now)

    def deliver_syn(self, envelope: Envelope, packet: FlowPacket, now: float) -> None:
        """Offer a new flow to the backend server."""
        key = make_caller_key(packet)
        flow = self.flows.find(key)
        if flow is None and not self.accepts_new_flows():
            self.owner.place_elsewhere(envelope, packet, now, "not accepting")
            return
        obstacle = self.guard.find_obstacle(flow, now)
        if obstacle is not None:
            self.pass_on_syn(envelope, packet, obstacle, now)
            return
        if flow is None and not self.confirm_placement(envelope, packet, now):
            return
        self.guard.record_syn(now)
        flow = self.flows.record_offer(key, envelope.ingress, now)
        flow.record_syn(packet.sequence)
        flow.offered_by = envelope.sender
        flow.repeated = flow.repeated or envelope.repeated
        if self.unanswered_syns == 0:
            self.unanswered_since = now
        self.unanswered_syns += 1
        self.deliver_to_server(packet, envelope)

    def pass_on_syn(
        self, envelope: Envelope, packet: FlowPacket, obstacle: Obstacle, now: float
    ) -> None:
        """Offer a SYN that the backend server may not get to another agent.

        It is dropped if its flow may open here, or if no roster has arrived yet.
        """
        if obstacle is Obstacle.WARM_UP_COPY:
            self.counters.add("packets_dropped", obstacle)
            return
        if not self.roster.list_agents(self.service):
            self.counters.add("packets_dropped", "not_synced")
            return
        placed = self.owner.place_elsewhere(envelope, packet, now, obstacle)
        if not placed and self.owner.may_reset(envelope, packet):
            self.notify_refused(envelope, make_caller_key(packet), now)

    def confirm_placement(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> bool:
        """Return whether a SYN offered here is still expected to be answered in time.

        Several owners may have placed flows here since this agent last reported its
        load. A SYN that would be late is offered to another agent or refused.
        """
        if envelope.deadline_ms == 0:
            return True
        # The roster, which may not have arrived yet, is not needed for this agent.
        expected_s = self.flows.estimate_s(make_caller_key(packet))
        local_choice = Choice(None, expected_s, self.flows.has_free_slot)
        if self.owner.admission.is_still_in_time(envelope, local_choice):
            return True
        placed = self.owner.place_or_refuse(envelope, packet, local_choice, now)
        # Other SYNs are dropped, not refused, as they may have opened a flow elsewhere.
        if not placed and self.owner.may_reset(envelope, packet):
            self.notify_refused(envelope, make_caller_key(packet), now)
        return False

    def notify_refused(self, envelope: Envelope, key: bytes, now: float) -> None:
        """Notify owners that a flow was refused, so that they do not offer it again."""
        owners = self.roster.rank_owners(self.service, envelope.ingress, key)
        addresses = {agent.address for agent in owners[:1] if agent.name != self.name}
        if envelope.sender is not None:
            addresses.add(envelope.sender)
        self.owner.handle_placement_notice(key, "", now)
        for address in addresses:
            self.send(encode_placement_notice(key, ""), address)

    def accepts_new_flows(self) -> bool:
        """Return whether new flows may be offered to the backend server.

        A backend server that has not announced itself to this process yet is tried:
        after a restart of the agent it may be running.
        """
        return self.accepting or not self.server_has_announced

    def deliver_subsequent(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> None:
        """Deliver a packet of an open flow if the backend server may hold the flow."""
        key = make_caller_key(packet)
        flow = self.flows.find(key)
        if flow is None:
            envelope = self.search_other_services(envelope, packet, now)
            if now >= self.flows_complete_since or (
                envelope.hops == 0 and self.search.is_next_elsewhere(key)
            ):
                self.search.forward_to_next_agent(packet, envelope)
                return
            self.search.record_ingress(key, envelope.ingress)
        elif not flow.accepts_acknowledgement(packet.acknowledgement):
            envelope = self.search_other_services(envelope, packet, now)
            self.search.forward_to_next_agent(packet, envelope)
            return
        else:
            self.flows.record_use(flow, now)
            # Callers move, and after a restart the ingress isn't known yet.
            flow.ingress = envelope.ingress or flow.ingress
            flow.route.bytes_received += len(packet.data)
            flow.record_acknowledgement(packet.acknowledgement)
            if flow.opened and (envelope.repeated or envelope.hops):
                self.confirm_flow(flow, envelope, now)
            if packet.payload_bytes:
                self.record_payload(flow, packet, envelope, now)
            if packet.flags & PacketFlags.RST:
                self.flows.close(flow)
            elif packet.flags & PacketFlags.FIN:
                self.flows.end_caller_side(flow)
        self.deliver_to_server(packet, envelope)

    def record_payload(
        self, flow: Flow, packet: FlowPacket, envelope: Envelope, now: float
    ) -> None:
        """Record a packet of a request, and the request once it has arrived."""
        arrival = flow.arrival
        if (
            flow.requested_at is not None
            or not flow.takes_requests
            or arrival.is_former(packet.sequence)
        ):
            return
        if not arrival.ranges:
            flow.answer_sequence = packet.acknowledgement
        length = None
        if arrival.length is None:
            length = self.codec.measure_request(packet)
        complete = arrival.record(packet.sequence, packet.payload_bytes, length)
        if not arrival.request_id:
            arrival.request_id = self.codec.read_request_id(packet)
        if not complete:
            self.flows.record_arriving_request(flow)
            return
        if not arrival.answered and self.flows.record_request(flow, now):
            self.decisions.write(
                "handed over",
                flow.key,
                "the flow is open here",
                request=arrival.request_id,
                running=self.flows.running,
                hops=envelope.hops,
            )
        arrival.expect_next()

    def confirm_flow(self, flow: Flow, envelope: Envelope, now: float) -> None:
        """Notify the owner of a flow, which does not know that it is open here."""
        if now - flow.confirmed_at < CONFIRMATION_INTERVAL_S:
            return
        flow.confirmed_at = now
        address = envelope.sender
        if envelope.hops:
            # The sender is not the owner, but another agent that was asked.
            owners = self.rank_owners_by_route(flow.key, flow.ingress)
            local = not owners or owners[0].name == self.name
            address = None if local else owners[0].address
        self.send_placement_notice(flow, address, now)

    def deliver_to_server(self, packet: FlowPacket, envelope: Envelope) -> None:
        """Send a packet to the backend server; its tag keeps the state of a search."""
        self.counters.add("packets_delivered")
        if self.owner.places:
            self.owner.placement.count_crossing(packet, envelope.ingress, "to_server")
        self.send_to_server(self.codec.write_tag(packet.data, encode_tag(envelope)))

    def send_searched(self, data: bytes, address: SocketName) -> None:
        """Send an envelope of a search; `send` is set after the search was made."""
        self.send(data, address)

    def search_other_services(
        self, envelope: Envelope, packet: FlowPacket, now: float
    ) -> Envelope:
        """Ask the owners of a flow that is not here under its route's other services.

        Returns the envelope for the search in this agent's own service.
        """
        address = packet.destination, packet.destination_port
        services = self.former_services.list_all_services(
            address, self.routes, self.roster.services, now
        )
        return self.search.ask_other_services(envelope, packet, services)

    def handle_server_packet(self, data: bytes, now: float) -> None:
        """Forward a packet of the backend server, or handle one that it rejected."""
        packet = self.codec.parse(data)
        if packet is None:
            self.counters.add("packets_dropped", "malformed")
            return
        if packet.flags & PacketFlags.REJECTED:
            self.handle_rejected(packet, now)
            return
        self.unanswered_syns = 0
        key = make_server_key(packet)
        flow = self.flows.find(key)
        if flow is None:
            flow = self.flows.add_existing(key, now)
            flow.ingress = self.search.take_ingress(key)
        elif not packet.flags & STARTS_OR_RESETS and not flow.accepts_sequence(
            packet.sequence
        ):
            self.counters.add("packets_dropped", "former_flow")
            return
        self.flows.record_use(flow, now)
        flow.route.bytes_sent += len(data)
        self.record_progress(flow, packet, now)
        self.counters.add("packets_answered")
        if self.owner.places:
            self.owner.placement.count_crossing(packet, flow.ingress, "to_caller")
        self.send_to_caller(data, packet.destination)

    def record_progress(self, flow: Flow, packet: FlowPacket, now: float) -> None:
        """Update the state of a flow from a packet that the backend server sent."""
        if packet.flags & OPENED == OPENED:
            flow.record_syn_answer(packet.sequence, now)
            self.confirm_offer(flow, now)
        if packet.payload_bytes:
            # After a restart of this agent, the SYN-ACK of the flow is not known.
            flow.opened = True
        if packet.payload_bytes or packet.flags & ENDED:
            self.record_answer(flow, packet, now)
        if packet.flags & PacketFlags.RST:
            self.flows.close(flow)
        elif packet.flags & PacketFlags.FIN:
            self.flows.end_server_side(flow)
        if not flow.notified_owner:
            self.notify_owner(flow, now)

    def record_answer(self, flow: Flow, packet: FlowPacket, now: float) -> None:
        """Record a packet of an answer, and the outcome with the one that shows it.

        The status is in the packet with which the answer begins; later ones, and the
        one that ends the flow, may overtake it.
        """
        arrival = flow.arrival
        if arrival.ranges and packet.payload_bytes:
            # Packets of the answer to the request before this one may still arrive.
            is_former = not is_within(packet.sequence, flow.answer_sequence)
            arrival.answered = arrival.answered or not is_former
        elapsed_s = self.flows.record_answer(flow, now)
        if elapsed_s is not None:
            self.counters.observe("answer_time", elapsed_s)
        if flow.elapsed_s is None:
            return
        if packet.flags & PacketFlags.RST:
            self.record_outcome(flow, now, failed=True)
        elif packet.payload_bytes and packet.sequence == flow.answer_sequence:
            self.record_outcome(flow, now, failed=self.codec.is_failure(packet))

    def record_outcome(self, flow: Flow, now: float, *, failed: bool) -> None:
        """Record whether the backend server served or failed a request."""
        self.flows.record_outcome(flow, failed=failed)
        self.failures.record(now, failed=failed)
        if failed:
            self.counters.add("requests_failed", "by_backend_server")
            self.decisions.write(
                "failed",
                flow.key,
                "the backend server did not serve it",
                failed_percent=round(self.failures.get_share(now) * FULL_PERCENT),
                running=self.flows.running,
            )

    def confirm_offer(self, flow: Flow, now: float) -> None:
        """Notify the agent that offered a flow here that its SYN was answered."""
        self.send_placement_notice(flow, flow.offered_by, now)

    def send_placement_notice(
        self, flow: Flow, address: SocketName | None, now: float
    ) -> None:
        """Notify an owner that a flow is served here; None is this agent itself."""
        chosen = flow.opened
        if address is None:
            self.owner.handle_placement_notice(flow.key, self.name, now, chosen=chosen)
        else:
            notice = encode_placement_notice(flow.key, self.name, chosen=chosen)
            self.send(notice, address)

    def notify_owner(self, flow: Flow, now: float) -> None:
        """Notify the owner of a flow where it is served, if the owner has changed.

        An owner whose process was replaced counts as changed.
        """
        opening = not flow.notified_owner
        ingress = flow.ingress or self.data_centre
        owners = self.rank_owners_by_route(flow.key, ingress)
        if not owners:
            return
        owner = owners[0]
        notified = flow.notified_owner, flow.notified_incarnation
        if (owner.name, owner.incarnation) == notified:
            return
        flow.notified_owner = owner.name
        flow.notified_incarnation = owner.incarnation
        if owner.name == self.name:
            self.send_placement_notice(flow, None, now)
        elif owner.address != flow.offered_by or not opening:
            self.send_placement_notice(flow, owner.address, now)

    def rank_owners_by_route(self, key: bytes, ingress: int) -> list[AgentRecord]:
        """Return the owners of a flow under the service that its route has now.

        Without a route, or without agents of that service, the flow's owners are those
        of this agent's service.
        """
        _, _, destination, destination_port = KEY.unpack(key)
        route = self.routes.routes.get((destination, destination_port))
        service = self.service
        if route is not None:
            service = hash_name(route.choose_service(key))
        owners = self.roster.rank_owners(service, ingress, key)
        return owners or self.roster.rank_owners(self.service, ingress, key)

    def apply_routes(self, routes: RouteIndex, now: float) -> None:
        """Apply a newer route table, which may give open flows other owners."""
        self.former_services.record(self.routes, routes, now)
        self.routes = routes
        self.notify_new_owners(now)

    def notify_new_owners(self, now: float) -> None:
        """Notify the owners of open flows whose owner changed with roster or routes.

        Flows whose caller may have chosen another backend server are left out.
        """
        for flow in self.flows.list_open():
            if flow.opened or flow.sequence is None:
                self.notify_owner(flow, now)

    def handle_rejected(self, packet: FlowPacket, now: float) -> None:
        """Handle a packet that the backend server rejected.

        A SYN is offered to another agent, a flow that was open at the server is reset,
        and any other packet is forwarded to the next agent.
        """
        data = self.codec.write_tag(packet.data, 0)
        returned = replace(
            packet,
            flags=packet.flags & ~PacketFlags.REJECTED,
            data=data,
        )
        key = make_caller_key(returned)
        flow = self.flows.find(key)
        kind, hops, ingress = decode_tag(packet.tag, self.roster.data_centres)
        if not ingress and flow is not None:
            ingress = flow.ingress
        self.search.take_ingress(key)
        envelope = Envelope(
            kind,
            hops,
            self.service,
            ingress or self.data_centre,
            0,
            0,
            0,
            data,
        )
        if returned.is_opening:
            envelope.repeated = self.may_be_open_elsewhere(flow, now)
            if not self.flows.has_free_slot:
                self.owner.admission.record_rejection()
            self.flows.remove(key)
            self.owner.place_elsewhere(envelope, returned, now, "rejected")
        elif (
            flow is not None
            and flow.opened
            and flow.sequence is not None
            and flow.accepts_acknowledgement(returned.acknowledgement)
        ):
            self.reset_lost_flow(flow, returned, now)
        else:
            self.search.forward_to_next_agent(returned, envelope)

    def may_be_open_elsewhere(self, flow: Flow | None, now: float) -> bool:
        """Return whether a flow whose SYN was rejected may be open at another agent.

        If the rejection took long, the owner may have offered the flow again.
        """
        return (
            flow is None or flow.repeated or now - flow.offered_at > REJECTION_TIMEOUT_S
        )

    def reset_all_flows(self, reason: str, started_at: float) -> None:
        """Reset the flows that were open at the backend server before it started.

        Others that it was offered are only removed: they may be open elsewhere. Flows
        whose SYN it has answered since `started_at` stay.
        """
        for flow in self.flows.list_active():
            if flow.answered_at >= started_at:
                continue
            if flow.acknowledged is None:
                self.flows.remove(flow.key)
                continue
            self.counters.add("flows_reset", "backend_server_restarted")
            self.decisions.write("reset", flow.key, reason)
            self.flows.remove(flow.key)
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

    def reset_lost_flow(self, flow: Flow, packet: FlowPacket, now: float) -> None:
        """Reset a flow that the backend server has opened and then lost."""
        # It may have restarted since its last announcement.
        self.guard.limit.expect_cold(now)
        self.counters.add("flows_reset", "lost_by_backend_server")
        self.decisions.write("reset", flow.key, "the backend server lost the flow")
        self.flows.remove(flow.key)
        self.send_to_caller(self.codec.make_reset(packet), packet.source)
