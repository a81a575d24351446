"""The flows of one backend server as the agent beside it sees them.

All packets of the backend server pass through its agent, so the agent knows which
flows are open there and how many requests wait for an answer, without asking the
backend server. A restarted agent knows nothing until packets pass.
"""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

from lentilfork.forwarding.packets import SEQUENCE_MODULUS

__all__ = ["Flow", "FlowTable", "estimate_answer_s"]

# Weight of a new sample of the service time. Requests differ by a factor of two
# among themselves, so that it takes some twenty to tell backend servers apart.
SAMPLE_WEIGHT: Final = 0.04
DEFAULT_SERVICE_TIME_S: Final = 0.02
MINIMUM_SERVICE_TIME_S: Final = 0.001
# A flow that was offered and never opened stops counting: three copies of a SYN
# are sent within 0.6 s and the caller gives up after 1.4 s.
OPENING_TIMEOUT_S: Final = 1.5
# A flow that opened counts as coming work for this long: a caller's request follows
# within one round trip, and one that does not come was opened elsewhere as well.
REQUEST_TIMEOUT_S: Final = 0.12
# A request that gets no answer for this long stops counting as outstanding.
ANSWER_TIMEOUT_S: Final = 10.0
# Late packets of a closed flow still find their backend server.
CLOSED_LIFETIME_S: Final = 5.0
# How far acknowledgements may run ahead of the first sequence number: more than
# any answer, far less than a random other flow's number is likely to hit.
MAXIMUM_ANSWER_BYTES: Final = 1 << 26


@dataclass(slots=True)
class Flow:
    """One flow of the backend server."""

    key: bytes
    # Data centre of the balancer it came in through; 0: not known.
    ingress: int
    # Last acknowledgement of the caller, which a reset must be near.
    acknowledged: int
    offered_at: float
    used_at: float
    # First sequence number of the backend server; None: not seen.
    sequence: int | None = None
    # It waits for an answer, to its SYN or to a request.
    outstanding: bool = False
    # A request was handed over at this time and has no answer yet.
    requested_at: float | None = None
    # Requests at the backend server when this one was handed over, itself included.
    running: int = 0
    closed: bool = False
    # Agent that offered it here; None for this one.
    offered_by: tuple[str, int] | None = None
    # Owner that was told where the flow is.
    owner: str = ""

    def accepts_acknowledgement(self, acknowledgement: int) -> bool:
        """Tell whether a caller's acknowledgement belongs to this flow's opening."""
        if self.sequence is None:
            return True
        ahead = (acknowledgement - self.sequence) % SEQUENCE_MODULUS
        return ahead <= MAXIMUM_ANSWER_BYTES


def estimate_answer_s(service_time_s: float, ahead: int, slots: int) -> float:
    """Return the time to the answer of a request that finds so many ahead of it."""
    return service_time_s * (1 + max(ahead + 1 - slots, 0) / slots)


class FlowTable:
    """Flows by key, and the load that they are."""

    flows: OrderedDict[bytes, Flow]
    # Flows whose request has not come, with the time they were offered.
    opening: OrderedDict[bytes, float]
    slots: int
    # Flows that wait for the answer to their SYN or to a request.
    outstanding: int
    # Requests handed over and not answered.
    running: int
    # Smoothed time that one request takes in its slot, once warm, and from how many.
    service_time_s: float
    samples: int
    # Factor on the service time while the backend server warms up.
    slowdown_factor: float

    def __init__(self, slots: int) -> None:
        self.flows = OrderedDict()
        self.opening = OrderedDict()
        self.slots = slots
        self.outstanding = 0
        self.running = 0
        self.service_time_s = DEFAULT_SERVICE_TIME_S
        self.samples = 0
        self.slowdown_factor = 1.0

    def estimate_s(self) -> float:
        """Return the time after which a new request would be answered."""
        return estimate_answer_s(
            self.service_time_s * self.slowdown_factor, self.outstanding, self.slots
        )

    @property
    def has_free_slot(self) -> bool:
        """Whether a new request would run at once."""
        return self.outstanding < self.slots

    def find(self, key: bytes) -> Flow | None:
        """Return a flow, None if it is not known."""
        return self.flows.get(key)

    def record_offer(self, key: bytes, ingress: int, now: float) -> Flow:
        """Note that a SYN was handed over; copies count once."""
        flow = self.flows.get(key)
        if flow is None or flow.closed:
            flow = Flow(key, ingress, 0, now, now)
            self.flows[key] = flow
            self.opening[key] = now
            flow.outstanding = True
            self.outstanding += 1
        self.record_use(flow, now)
        return flow

    def add_adopted(self, key: bytes, now: float) -> Flow:
        """Note a flow that was opened before this agent started."""
        flow = Flow(key, 0, 0, now, now)
        self.flows[key] = flow
        return flow

    def record_use(self, flow: Flow, now: float) -> None:
        """Note that a packet of a flow passed."""
        flow.used_at = now
        self.flows.move_to_end(flow.key)

    def record_request(self, flow: Flow, now: float) -> bool:
        """Note that payload of the caller was handed over; False for more of it."""
        if flow.requested_at is not None or flow.closed:
            return False
        flow.requested_at = now
        self.opening.pop(flow.key, None)
        self.running += 1
        flow.running = self.running
        if not flow.outstanding:
            flow.outstanding = True
            self.outstanding += 1
        return True

    def record_answer(self, flow: Flow, now: float) -> float | None:
        """Note payload of the backend server; returns the time it took, once."""
        taken = None
        if flow.requested_at is not None:
            taken = now - flow.requested_at
            queued = max(flow.running / self.slots, 1.0)
            sample = max(taken / queued / self.slowdown_factor, MINIMUM_SERVICE_TIME_S)
            self.samples += 1
            # The default counts as one sample, so that the first ones weigh more.
            weight = max(SAMPLE_WEIGHT, 1 / (self.samples + 1))
            self.service_time_s += weight * (sample - self.service_time_s)
        self.clear_outstanding(flow)
        return taken

    def clear_outstanding(self, flow: Flow) -> None:
        """Stop counting a flow as waiting."""
        if flow.requested_at is not None:
            flow.requested_at = None
            self.running -= 1
        if flow.outstanding:
            flow.outstanding = False
            self.outstanding -= 1

    def close(self, flow: Flow) -> None:
        """Note that a flow was closed or reset by the backend server."""
        self.clear_outstanding(flow)
        flow.closed = True

    def remove(self, key: bytes) -> None:
        """Drop a flow that the backend server does not hold."""
        flow = self.flows.pop(key, None)
        if flow is not None:
            self.clear_outstanding(flow)

    def expire_openings(self, now: float) -> None:
        """Stop counting flows whose request did not come in time."""
        while self.opening:
            key, offered_at = next(iter(self.opening.items()))
            if now - offered_at < REQUEST_TIMEOUT_S:
                return
            del self.opening[key]
            flow = self.flows.get(key)
            if flow is not None and flow.requested_at is None:
                self.clear_outstanding(flow)

    def list_open(self) -> list[Flow]:
        """Return the flows that are not closed."""
        return [flow for flow in self.flows.values() if not flow.closed]

    def expire_flows(self, now: float, idle_timeout_s: float) -> None:
        """Drop flows that ended, never opened or idled for too long."""
        for flow in list(self.flows.values()):
            idle_s = now - flow.used_at
            if idle_s <= OPENING_TIMEOUT_S:
                # The rest was used later still.
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
