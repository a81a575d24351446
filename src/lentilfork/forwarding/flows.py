"""Table of the flows of one backend server, kept by the agent on its host.

All packets of the backend server pass through its agent, so the agent knows which
flows are open and how many requests wait for an answer without asking the backend
server. A request counts from its last byte on; until then it occupies no slot. After a
restart of the agent, the table is empty until packets arrive.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from lentilfork.forwarding.arrivals import RequestArrival
from lentilfork.forwarding.packets import KEY
from lentilfork.forwarding.packets import SEQUENCE_MODULUS
from lentilfork.scheduling.service_times import RouteWork
from lentilfork.scheduling.service_times import ServiceTimes

__all__ = ["Flow", "FlowTable", "estimate_answer_s", "is_within"]

# Weight of a new sample in the moving average of the service time. Service times of
# single requests differ by a factor of two, so it takes about twenty samples to
# distinguish slow backend servers from fast ones.
SAMPLE_WEIGHT: Final = 0.04
DEFAULT_SERVICE_TIME_S: Final = 0.02
MINIMUM_SERVICE_TIME_S: Final = 0.001
# Lifetime of a flow that was offered and never opened. A caller sends its SYN three
# times within 0.6 s and gives up after 1.4 s.
OPENING_TIMEOUT_S: Final = 1.5
# Time for which an offered flow counts as outstanding before its request arrives. The
# request follows the SYN-ACK within one round trip; if it does not come, the caller
# uses the flow that another agent opened for the same SYN.
REQUEST_TIMEOUT_S: Final = 0.12
# A request without an answer stops counting as outstanding after this time.
ANSWER_TIMEOUT_S: Final = 10.0
# Closed flows are kept for this long, so that late packets still reach the backend
# server.
CLOSED_LIFETIME_S: Final = 5.0
# Time constant of the moving mean of the slots in use. It covers some fifty requests of
# 20 ms, and a burst of a second still shows in it.
BUSY_TIME_S: Final = 1.0
# Largest distance of a sequence number from the flow's first one: more than any answer,
# and small enough that a number of another flow is unlikely to match.
MAXIMUM_ANSWER_BYTES: Final = 1 << 26
# Sequence numbers that a SYN takes up (RFC 9293).
SYN_SEQUENCE_NUMBERS: Final = 1


@dataclass(slots=True)
class Flow:
    """One flow of the backend server."""

    key: bytes
    # Identifier of the data centre of the flow's balancer; 0 if it is not known.
    ingress: int
    # Last acknowledgement of the caller since the flow opened here, None before that; a
    # reset of the flow must carry a number near it.
    acknowledged: int | None
    offered_at: float
    used_at: float
    # First sequence number of the backend server; None if its SYN-ACK was not seen.
    sequence: int | None = None
    # Time at which the SYN-ACK with that number was first seen.
    answered_at: float = float("-inf")
    # The same of the closed flow that had this key before; None if there was none.
    former_sequence: int | None = None
    # Whether it waits for the answer to its SYN or to a request.
    outstanding: bool = False
    # Sequence number of the caller's SYN; None if it was not seen.
    syn_sequence: int | None = None
    # The request that arrives, or that is expected next.
    arrival: RequestArrival = field(default_factory=lambda: RequestArrival(None))
    # Averages of the flow's route.
    route: RouteWork = field(default_factory=RouteWork)
    # Number of requests that were delivered.
    requests: int = 0
    # Expected seconds of its request in a slot, while it is outstanding.
    work_s: float = 0.0
    # Time at which the last byte of a request without an answer yet was delivered, None
    # if there is none.
    requested_at: float | None = None
    # Sequence number at which the answer to the last request begins.
    answer_sequence: int = 0
    # Seconds that the last request took; None once it is known whether it failed.
    elapsed_s: float | None = None
    # Seconds that it took in its slot, and when its answer was seen.
    slot_s: float = 0.0
    served_at: float = 0.0
    # Number of requests at the backend server when the request was delivered, including
    # this one.
    running_at_start: int = 0
    # Whether it is known that the caller uses the flow with this backend server, not
    # with another one that answered its SYN as well.
    opened: bool = False
    # Whether the backend server or the caller has sent the packet that ends its side.
    server_ended: bool = False
    caller_ended: bool = False
    # Whether both sides have ended, or one has reset the flow.
    closed: bool = False
    # Address of the agent that offered the flow here; None for this agent.
    offered_by: tuple[str, int] | None = None
    # Whether its SYN was also offered to another agent, where the flow may be open.
    repeated: bool = False
    # Name of the owner that was last notified of this flow, "" if none was, and the
    # epoch of its process: one that starts again has forgotten the notice.
    notified_owner: str = ""
    notified_incarnation: int = 0
    # Time of the last notice that the caller uses the flow with this backend server.
    confirmed_at: float = float("-inf")

    def accepts_acknowledgement(self, acknowledgement: int) -> bool:
        """Return whether a caller's acknowledgement can belong to this flow.

        Until the flow is open, only that of the SYN-ACK can: the caller may use the
        flow with another backend server, whose numbers can be near.
        """
        if self.sequence is None:
            return True
        if not self.opened:
            return self.acknowledges_syn_answer(acknowledgement)
        return is_within(acknowledgement, self.sequence)

    def acknowledges_syn_answer(self, acknowledgement: int) -> bool:
        """Return whether an acknowledgement is that of the SYN-ACK.

        The backend server sends nothing after it until the caller has acknowledged it.
        """
        if self.sequence is None:
            return False
        beyond = (acknowledgement - self.sequence) % SEQUENCE_MODULUS
        return beyond <= SYN_SEQUENCE_NUMBERS

    @property
    def takes_requests(self) -> bool:
        """Whether the backend server may still answer requests on this flow."""
        return not (self.closed or self.server_ended)

    def record_syn(self, sequence: int) -> None:
        """Record the caller's SYN, which its first request follows."""
        if sequence != self.syn_sequence:
            self.syn_sequence = sequence
            first = (sequence + SYN_SEQUENCE_NUMBERS) % SEQUENCE_MODULUS
            self.arrival = RequestArrival(first)

    def record_syn_answer(self, sequence: int, now: float) -> None:
        """Record a SYN-ACK of the backend server, which may be sent repeatedly."""
        if sequence != self.sequence:
            self.answered_at = now
        self.sequence = sequence
        self.notified_owner = ""

    def record_acknowledgement(self, acknowledgement: int) -> None:
        """Record the acknowledgement in a caller's packet that was delivered."""
        self.opened = self.opened or self.acknowledges_syn_answer(acknowledgement)
        if self.opened:
            self.acknowledged = acknowledgement

    def accepts_sequence(self, sequence: int) -> bool:
        """Return whether a packet of the backend server can belong to this flow.

        A caller may use its port again while the server retransmits packets of the flow
        that it had before.
        """
        if self.sequence is not None:
            return is_within(sequence, self.sequence)
        former = self.former_sequence
        return former is None or not is_within(sequence, former)


def is_within(number: int, first: int) -> bool:
    """Return whether a sequence number belongs to a flow that began with `first`."""
    return (number - first) % SEQUENCE_MODULUS <= MAXIMUM_ANSWER_BYTES


def estimate_answer_s(service_time_s: float, requests_ahead: int, slots: int) -> float:
    """Return the expected seconds until the answer to a new request.

    `requests_ahead` is the number of requests that wait or run before it.
    """
    return service_time_s * (1 + max(requests_ahead + 1 - slots, 0) / slots)


class FlowTable:
    """Flows of a backend server by key, and the load that they cause."""

    flows: OrderedDict[bytes, Flow]
    # Keys of flows whose request has not arrived, with the time of their offer.
    awaiting_request: OrderedDict[bytes, float]
    slots: int
    # Number of flows that wait for the answer to their SYN or to a request.
    outstanding: int
    # Number of requests that were delivered and not answered.
    running: int
    # Moving average of the time that a request takes in its slot of a warmed-up server.
    service_time_s: float
    # Number of requests that `service_time_s` was computed from.
    samples: int
    # Factor on the service time while the backend server warms up.
    slowdown_factor: float
    times: ServiceTimes
    # Expected seconds in a slot of all outstanding requests.
    queued_s: float
    # When the last served request was answered.
    last_served_at: float
    # Moving mean of the share of slots in use until `busy_at`, and the share since.
    busy_mean: float
    busy_now: float
    busy_at: float

    def __init__(self, slots: int) -> None:
        self.flows = OrderedDict()
        self.awaiting_request = OrderedDict()
        self.slots = slots
        self.outstanding = 0
        self.running = 0
        self.service_time_s = DEFAULT_SERVICE_TIME_S
        self.samples = 0
        self.slowdown_factor = 1.0
        self.times = ServiceTimes()
        self.queued_s = 0.0
        self.last_served_at = float("-inf")
        self.busy_mean = 0.0
        self.busy_now = 0.0
        self.busy_at = 0.0

    def estimate_s(self, key: bytes | None = None) -> float:
        """Return the expected seconds until a new request would be answered.

        The estimate is that of the route of the flow `key` behind the requests that
        wait now, if the routes differ much.
        """
        if key is None or not self.times.mixed:
            return estimate_answer_s(
                self.service_time_s * self.slowdown_factor, self.outstanding, self.slots
            )
        own_s = self.times.get_service_time_s(self.find_route(key), self.service_time_s)
        waiting = max(self.outstanding + 1 - self.slots, 0)
        ahead_s = self.queued_s * waiting / max(self.outstanding, 1) / self.slots
        return (own_s + ahead_s) * self.slowdown_factor

    def find_route(self, key: bytes) -> RouteWork:
        """Return the averages of the route of a flow."""
        _, _, address, port = KEY.unpack(key)
        return self.times.get_or_create(address, port)

    def busy_share(self, now: float) -> float:
        """Return the mean share of the slots in use in the last seconds, 0 to 1."""
        passed = 1 - math.exp(min(self.busy_at - now, 0.0) / BUSY_TIME_S)
        return self.busy_mean + passed * (self.busy_now - self.busy_mean)

    def update_busy_share(self, now: float) -> None:
        """Record that the number of running requests has changed."""
        self.busy_mean = self.busy_share(now)
        self.busy_now = min(self.running / self.slots, 1.0)
        self.busy_at = now

    @property
    def has_free_slot(self) -> bool:
        """Whether a new request would run immediately."""
        return self.outstanding < self.slots

    def find(self, key: bytes) -> Flow | None:
        """Return a flow, or None if it is not known."""
        return self.flows.get(key)

    def record_offer(self, key: bytes, ingress: int, now: float) -> Flow:
        """Record that a SYN was delivered; retransmissions are counted once."""
        flow = self.flows.get(key)
        if flow is None or not flow.takes_requests:
            former_sequence = flow.sequence if flow is not None else None
            flow = Flow(key, ingress, None, now, now, former_sequence=former_sequence)
            flow.route = self.find_route(key)
            self.flows[key] = flow
            self.awaiting_request[key] = now
            self.set_outstanding(flow)
        self.record_use(flow, now)
        return flow

    def add_existing(self, key: bytes, now: float) -> Flow:
        """Add a flow that is not in the table, such as one opened before a restart."""
        flow = Flow(key, 0, None, now, now)
        flow.route = self.find_route(key)
        self.flows[key] = flow
        return flow

    def record_use(self, flow: Flow, now: float) -> None:
        """Record that a packet of a flow was sent or received."""
        flow.used_at = now
        self.flows.move_to_end(flow.key)

    def record_arriving_request(self, flow: Flow) -> None:
        """Record that a part of a request was delivered, which occupies no slot."""
        self.awaiting_request.pop(flow.key, None)
        self.clear_outstanding(flow)

    def record_request(self, flow: Flow, now: float) -> bool:
        """Record that a request of the caller was delivered completely.

        Returns False for further packets of a request, and for flows that take none.
        """
        if flow.requested_at is not None or not flow.takes_requests:
            return False
        flow.requested_at = now
        self.awaiting_request.pop(flow.key, None)
        self.running += 1
        flow.running_at_start = self.running
        if not flow.outstanding:
            self.set_outstanding(flow)
        flow.route.record_request(first=flow.requests == 0)
        flow.requests += 1
        self.update_busy_share(now)
        return True

    def set_outstanding(self, flow: Flow) -> None:
        """Count a flow as outstanding."""
        flow.outstanding = True
        flow.work_s = self.times.get_service_time_s(flow.route, self.service_time_s)
        self.outstanding += 1
        self.queued_s += flow.work_s

    def record_answer(self, flow: Flow, now: float) -> float | None:
        """Record the first packet of the answer to the flow's request.

        Packets may arrive in any order, so this need not be the one with which the
        answer begins. Returns the seconds since the request was delivered, or None if
        none is pending.
        """
        if flow.requested_at is None:
            return None
        flow.elapsed_s = now - flow.requested_at
        flow.slot_s = self.measure_slot_s(flow, flow.requested_at, now)
        flow.served_at = now
        self.clear_outstanding(flow)
        self.update_busy_share(now)
        return flow.elapsed_s

    def measure_slot_s(self, flow: Flow, requested_at: float, now: float) -> float:
        """Return the seconds that a request which is answered now took in its slot.

        A single slot was free from the last answer on. Requests that waited for one of
        several slots are assumed to be like those before them.
        """
        if self.slots == 1:
            return now - max(requested_at, self.last_served_at)
        return (now - requested_at) / max(flow.running_at_start / self.slots, 1.0)

    def record_outcome(self, flow: Flow, *, failed: bool) -> None:
        """Record whether the request that was answered last failed.

        A failed request says nothing about the service time: an overloaded server
        fails requests faster than it serves them.
        """
        elapsed_s, flow.elapsed_s = flow.elapsed_s, None
        if elapsed_s is None or failed:
            return
        self.last_served_at = max(self.last_served_at, flow.served_at)
        slot_s = max(flow.slot_s / self.slowdown_factor, MINIMUM_SERVICE_TIME_S)
        self.times.record_service_time(flow.route, slot_s)
        queued = max(flow.running_at_start / self.slots, 1.0)
        sample = max(elapsed_s / queued / self.slowdown_factor, MINIMUM_SERVICE_TIME_S)
        self.samples += 1
        # The default counts as one sample, so the first samples weigh more.
        weight = max(SAMPLE_WEIGHT, 1 / (self.samples + 1))
        self.service_time_s += weight * (sample - self.service_time_s)

    def clear_outstanding(self, flow: Flow) -> None:
        """Stop counting a flow and its request as outstanding."""
        if flow.requested_at is not None:
            flow.requested_at = None
            self.running -= 1
        if flow.outstanding:
            flow.outstanding = False
            self.outstanding -= 1
            # Without flows, it is set to zero, so that errors of rounding don't add up.
            self.queued_s = self.queued_s - flow.work_s if self.outstanding else 0.0

    def close(self, flow: Flow) -> None:
        """Record that a flow was closed or reset."""
        self.clear_outstanding(flow)
        flow.closed = True

    def end_server_side(self, flow: Flow) -> None:
        """Record that the backend server sends nothing more on a flow.

        The flow stays open until the caller has ended its side.
        """
        self.clear_outstanding(flow)
        flow.server_ended = True
        flow.closed = flow.closed or flow.caller_ended

    def end_caller_side(self, flow: Flow) -> None:
        """Record that the caller sends nothing more on a flow."""
        flow.caller_ended = True
        flow.closed = flow.closed or flow.server_ended

    def remove(self, key: bytes) -> None:
        """Remove a flow from the table and from the load."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.clear_outstanding(flow)

    @property
    def next_expiry_at(self) -> float:
        """Time at which the next awaited request is overdue; infinite without one."""
        offered_at = next(iter(self.awaiting_request.values()), float("inf"))
        return offered_at + REQUEST_TIMEOUT_S

    def expire_awaited_requests(self, now: float) -> None:
        """Stop counting flows as outstanding whose request did not arrive in time."""
        while self.awaiting_request:
            key, offered_at = next(iter(self.awaiting_request.items()))
            if now - offered_at < REQUEST_TIMEOUT_S:
                return
            del self.awaiting_request[key]
            flow = self.flows.get(key)
            if flow is not None and flow.requested_at is None:
                self.clear_outstanding(flow)

    def list_open(self) -> list[Flow]:
        """Return the flows that are not closed."""
        return [flow for flow in self.flows.values() if not flow.closed]

    def list_active(self) -> list[Flow]:
        """Return the flows that the backend server may still answer requests on."""
        return [flow for flow in self.flows.values() if flow.takes_requests]

    def expire_flows(self, now: float, idle_timeout_s: float) -> None:
        """Remove flows that were closed, never opened or were idle for too long."""
        for flow in list(self.flows.values()):
            idle_s = now - flow.used_at
            if idle_s <= OPENING_TIMEOUT_S:
                # The flows are ordered by their last use, so the rest is newer.
                return
            if flow.closed:
                expired = idle_s > CLOSED_LIFETIME_S
            elif flow.sequence is None and flow.outstanding:
                expired = idle_s > OPENING_TIMEOUT_S
            else:
                expired = idle_s > idle_timeout_s
            if expired:
                self.remove(flow.key)
            elif flow.outstanding and idle_s > ANSWER_TIMEOUT_S:
                self.clear_outstanding(flow)
