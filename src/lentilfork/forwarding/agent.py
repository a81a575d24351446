"""Agent of forwarded flows: owns some flows and serves others.

`FlowAgent` handles the datagrams of other processes, announces changes of its record,
reports its load to the agents that subscribe to it, and runs the timers of the owner
and of the delivery.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import Final

from google.protobuf.message import DecodeError

from lentilfork.counters import Counters
from lentilfork.forwarding.backend_server import BackendServer
from lentilfork.forwarding.backend_server import ServerAnnouncement
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.delivery import FlowDelivery
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import decode_envelope
from lentilfork.forwarding.envelopes import decode_placement_notice
from lentilfork.forwarding.failures import FailureRate
from lentilfork.forwarding.flows import FlowTable
from lentilfork.forwarding.load_exchange import LoadExchange
from lentilfork.forwarding.load_exchange import choose_report_interval
from lentilfork.forwarding.loads import ASSUMED_SERVICE_TIME_US
from lentilfork.forwarding.loads import FULL_PERCENT
from lentilfork.forwarding.loads import FULL_PERMILLE
from lentilfork.forwarding.loads import US_PER_S
from lentilfork.forwarding.loads import LoadTable
from lentilfork.forwarding.ownership import FlowOwner
from lentilfork.forwarding.packets import PacketCodec
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.routes import RouteIndex
from lentilfork.forwarding.syn_guard import SynBuffer
from lentilfork.forwarding.syn_guard import SynGuard
from lentilfork.logs import Logger
from lentilfork.scheduling import EvacuationView
from lentilfork.scheduling import WarmUpBounds
from lentilfork.scheduling import WarmUpLimit
from lentilfork.schema import roster_pb2

__all__ = ["FlowAgent"]

SocketName = tuple[str, int]
# A backend server counts as down if this many consecutive SYNs are unanswered, the
# first of them for this time.
MAXIMUM_UNANSWERED_SYNS: Final = 3
UNANSWERED_TIMEOUT_S: Final = 0.15
EXPIRY_INTERVAL_S: Final = 1.0
MS_PER_S: Final = 1_000
# Bounds of the interval between two checks of the timers. The upper one is shorter than
# the timeouts of offers and of requests, so timers that start meanwhile are not missed.
MINIMUM_TICK_S: Final = 0.001
MAXIMUM_TICK_S: Final = 0.025
# Samples from which on a service time is reported. In the mean of fewer, the assumed
# value weighs a quarter or more, and other agents would assume it in turn.
REPORTED_SAMPLES: Final = 4

log = Logger("agent")


class FlowAgent:
    """Logic of one agent process, without its sockets."""

    record: AgentRecord
    roster: Roster
    server: BackendServer
    loads: LoadTable
    exchange: LoadExchange
    flows: FlowTable
    owner: FlowOwner
    delivery: FlowDelivery
    guard: SynGuard
    # SYNs that arrived before the evacuations were known.
    buffer: SynBuffer
    counters: Counters
    decisions: DecisionLog
    idle_timeout_s: float
    # Shortest target of the routes to this service, 0 without any.
    shortest_target_s: float
    last_expiry_at: float
    # Sends a datagram to another process.
    send: Callable[[bytes, SocketName], None]
    # Notifies controllers of a changed record.
    announce: Callable[[], None]

    def __init__(
        self,
        record: AgentRecord,
        codec: PacketCodec,
        roster: Roster,
        server: BackendServer,
        counters: Counters,
        flows_complete_since: float,
        evacuations: EvacuationView | None = None,
        bounds: WarmUpBounds | None = None,
        started_at: float = 0.0,
        *,
        places: bool = False,
    ) -> None:
        self.record = record
        self.roster = roster
        self.server = server
        self.counters = counters
        self.decisions = DecisionLog()
        self.guard = SynGuard(
            record.data_centre,
            evacuations or EvacuationView(),
            WarmUpLimit(started_at, bounds),
        )
        self.buffer = SynBuffer(counters)
        self.loads = LoadTable()
        self.exchange = LoadExchange(record, roster, self.loads, self.make_load_report)
        self.flows = FlowTable(record.slots)
        self.idle_timeout_s = 15.0
        self.shortest_target_s = 0.0
        self.owner = FlowOwner(
            record.name,
            record.data_centre,
            codec,
            roster,
            self.exchange.candidates,
            self.loads,
            counters,
            self.decisions,
            self.idle_timeout_s,
            self.guard.evacuations,
            places=places,
        )
        self.owner.admission.times = self.flows.times
        self.owner.placement.times = self.flows.times
        self.exchange.watches_evenly = places
        self.delivery = FlowDelivery(
            record.name,
            hash_name(record.service),
            hash_name(record.data_centre),
            codec,
            roster,
            self.owner,
            self.flows,
            counters,
            self.decisions,
            flows_complete_since,
            self.guard,
        )
        self.owner.deliver = self.delivery.deliver
        self.last_expiry_at = float("-inf")

    def connect(
        self,
        send: Callable[[bytes, SocketName], None],
        send_to_caller: Callable[[bytes, int], None],
        send_to_server: Callable[[bytes], None],
        announce: Callable[[], None],
        schedule_report: Callable[[float], None],
    ) -> None:
        """Set the functions that send datagrams and packets.

        `schedule_report` calls `report_load_if_due` after a delay in seconds.
        """
        self.send = send
        self.announce = announce
        self.owner.send = self.delivery.send = self.exchange.send = send
        self.owner.send_to_caller = self.delivery.send_to_caller = send_to_caller
        self.delivery.send_to_server = send_to_server
        self.exchange.schedule_check = schedule_report

    def handle_datagram(
        self, kind: Kind, data: bytes, sender: SocketName, now: float
    ) -> None:
        """Handle a datagram of a balancer or of another agent."""
        self.owner.delays.record_step(now)
        match kind:
            case Kind.ROUTE | Kind.DELIVER | Kind.SEARCH_BACK:
                self.handle_envelope(kind, data, sender, now)
            case Kind.NOTE | Kind.CHOICE:
                notice = decode_placement_notice(data)
                if notice is None:
                    self.counters.add("datagrams_dropped", "malformed")
                else:
                    chosen = kind is Kind.CHOICE
                    self.owner.handle_placement_notice(*notice, now, chosen=chosen)
            case Kind.LOAD:
                self.handle_load_update(data, now)
            case Kind.LOAD_SUBSCRIPTION:
                self.exchange.handle_subscription(sender, now)
            case _:
                self.counters.add("datagrams_dropped", "unexpected")

    def handle_envelope(
        self, kind: Kind, data: bytes, sender: SocketName, now: float
    ) -> None:
        """Handle an envelope with a caller's packet."""
        envelope = decode_envelope(data, sender)
        packet = self.owner.codec.parse(envelope.data) if envelope else None
        if envelope is None or packet is None:
            self.counters.add("datagrams_dropped", "malformed")
            return
        if packet.is_opening and not self.guard.evacuations.is_settled(now):
            self.buffer.add(make_caller_key(packet), kind, envelope, now)
            return
        if kind is Kind.ROUTE:
            # The sender is a balancer. If this agent serves the flow itself, its own
            # owner is notified instead of the sender.
            envelope.sender = None
            self.owner.route(envelope, packet, now)
        else:
            self.delivery.deliver(envelope, packet, now)
        self.report_load_if_due(now)

    def forward_buffered(self, now: float) -> None:
        """Handle the buffered SYNs once the evacuations are known."""
        if not self.buffer.syns or not self.guard.evacuations.is_settled(now):
            return
        for kind, envelope in self.buffer.remove_all(now):
            packet = self.owner.codec.parse(envelope.data)
            if packet is None:
                continue
            if kind is Kind.ROUTE:
                self.owner.route(envelope, packet, now)
            else:
                self.delivery.deliver(envelope, packet, now)

    def apply_evacuations(self, now: float) -> None:
        """Apply newer evacuations to the watched agents and to this agent's report."""
        self.guard.apply_evacuations(now)
        self.exchange.evacuated = self.guard.evacuations.data_centres
        self.exchange.apply_roster()
        self.exchange.report(now)

    def handle_load_update(self, data: bytes, now: float) -> None:
        """Handle a load report of another agent."""
        try:
            report = roster_pb2.LoadUpdate.FromString(data[1:])
        except DecodeError:
            self.counters.add("datagrams_dropped", "malformed")
            return
        self.loads.record_report(report, now)
        if self.flows.samples == 0:
            peers = self.roster.list_agents(self.delivery.service)
            self.flows.service_time_s = self.loads.get_median_service_time_s(
                {agent.name for agent in peers}
            )
        if self.owner.places:
            self.owner.placement.record_report(report, now)

    def handle_announcement(
        self, announcement: ServerAnnouncement, now: float, age_s: float = 0.0
    ) -> None:
        """Handle an announcement of the backend server, which started `age_s` ago."""
        is_new_start = self.server.handle_announcement(announcement, now)
        if is_new_start:
            # The flows of the previous incarnation ended with it.
            self.delivery.reset_all_flows("backend server started anew", now - age_s)
            self.delivery.flows_complete_since = now
            self.delivery.failures = FailureRate()
        if self.server.latest is announcement:
            self.flows.slots = announcement.slots
            self.delivery.unanswered_syns = 0
            self.guard.limit.record_heartbeat(
                self.server.cold_left_s, now, is_new_start=is_new_start
            )
        self.update_record(now)

    def handle_leave(self, server_id: str, born_ms: int | None, now: float) -> None:
        """Handle the backend server's message that it stops."""
        self.server.handle_leave(server_id, born_ms)
        self.update_record(now)

    def apply_routes(self, routes: RouteIndex, now: float) -> None:
        """Apply a newer route table with the limits of its flows."""
        self.delivery.apply_routes(routes, now)
        self.idle_timeout_s = routes.idle_timeout_ms / MS_PER_S
        self.owner.directory.lifetime_s = self.idle_timeout_s
        self.shortest_target_s = routes.get_shortest_target_s(self.record.service)
        self.guard.limit.apply_rate(routes.warm_ups.get(self.record.service))

    def leave(self, now: float) -> None:
        """Announce that this process is about to stop."""
        self.record = replace(
            self.record, leaving=True, sequence=self.record.sequence + 1
        )
        self.delivery.accepting = False
        self.delivery.server_has_announced = True
        self.announce()
        self.exchange.report(now)

    def update_record(self, now: float) -> None:
        """Update this agent's record, and announce it immediately if it changed."""
        unanswered = (
            self.delivery.unanswered_syns >= MAXIMUM_UNANSWERED_SYNS
            and now - self.delivery.unanswered_since > UNANSWERED_TIMEOUT_S
        )
        if unanswered and self.delivery.accepting:
            # The server may have failed and come back before its next heartbeat.
            self.guard.limit.expect_cold(now)
        accepting = (
            self.server.is_accepting(now) and not unanswered and not self.record.leaving
        )
        self.delivery.accepting = accepting
        self.delivery.server_has_announced = (
            self.server.has_announced or self.record.leaving
        )
        slots = self.server.latest.slots if self.server.latest else self.record.slots
        record = replace(
            self.record,
            accepting=accepting,
            slots=slots,
            server_leaving=self.server.is_leaving,
        )
        if record == self.record:
            return
        log.info(
            "accepting" if accepting else "not accepting",
            unanswered=self.delivery.unanswered_syns,
            silent_ms=round(min(now - self.server.last_heard_at, 1e6) * 1000),
        )
        self.record = replace(record, sequence=record.sequence + 1)
        self.announce()
        self.exchange.report(now)

    def tick(self, now: float) -> float:
        """Run the timers that are due; return after how many seconds to call again."""
        self.owner.delays.record_step(now)
        self.forward_buffered(now)
        self.owner.retry_offers(now)
        self.flows.expire_awaited_requests(now)
        self.flows.slowdown_factor = (
            1 + self.server.get_slow_percent(now) / FULL_PERCENT
        )
        self.update_record(now)
        self.exchange.minimum_interval_s = choose_report_interval(
            self.shortest_target_s, self.flows.service_time_s
        )
        self.exchange.renew(now)
        self.report_load_if_due(now)
        if now - self.last_expiry_at >= EXPIRY_INTERVAL_S:
            self.last_expiry_at = now
            self.flows.expire_flows(now, self.idle_timeout_s)
            self.decisions.reset_limits()
        next_timer_at = min(self.owner.next_retry_at, self.flows.next_expiry_at)
        return min(max(next_timer_at - now, MINIMUM_TICK_S), MAXIMUM_TICK_S)

    def handle_server_packet(self, data: bytes, now: float) -> None:
        """Handle a packet of the backend server."""
        self.owner.delays.record_step(now)
        self.delivery.handle_server_packet(data, now)
        self.report_load_if_due(now)

    def report_load_if_due(self, now: float) -> None:
        """Report the load if it changed, or if the last report is too old."""
        self.exchange.report_if_due(
            self.flows.outstanding, now, accepting=self.accepts_work
        )

    @property
    def accepts_work(self) -> bool:
        """Whether owners may place new flows here; the roster does not show it all.

        Agents in an evacuated data centre still own flows, so their record stays.
        """
        return self.record.accepting and not self.guard.is_evacuated

    def make_load_report(self, now: float) -> roster_pb2.LoadUpdate:
        """Return a report of the load of the backend server."""
        report = roster_pb2.LoadUpdate(
            agent=self.record.name,
            incarnation=self.record.incarnation,
            outstanding=self.flows.outstanding,
            slots=self.flows.slots,
            service_time_us=(
                round(self.flows.service_time_s * US_PER_S)
                if self.flows.samples >= REPORTED_SAMPLES
                else ASSUMED_SERVICE_TIME_US
            ),
            accepting=self.accepts_work,
            slow_percent=self.server.get_slow_percent(now),
            failed_percent=round(self.delivery.failures.get_share(now) * FULL_PERCENT),
            busy_permille=round(self.flows.busy_share(now) * FULL_PERMILLE),
            openings_left=self.guard.limit.count_openings(now),
            evacuated=self.guard.is_evacuated,
        )
        if self.owner.places:
            self.owner.placement.add_to_report(report, now)
        return report

    def apply_roster(self, now: float) -> None:
        """Apply a changed roster to the loads and to the owners of open flows."""
        own = self.roster.agents.get(self.record.name)
        self.server.left_before = own is not None and own.server_leaving is True
        self.exchange.apply_roster()
        self.owner.placement.retain_loads()
        self.delivery.notify_new_owners(now)

    def dump(self) -> dict[str, object]:
        """Return the state of the agent as JSON values."""
        return {
            "outstanding": self.flows.outstanding,
            "running": self.flows.running,
            "flows": len(self.flows.flows),
            "owned": len(self.owner.directory.entries),
            "offers": len(self.owner.offers),
            "watched": sorted(self.exchange.subscribed),
            "subscribers": len(self.exchange.subscribers),
            "service_time_ms": round(self.flows.service_time_s * 1000, 2),
            "routes": len(self.flows.times.routes),
            "accepting": self.record.accepting,
            "evacuated": self.guard.is_evacuated,
            "evacuation_version": self.guard.evacuations.version,
        }
