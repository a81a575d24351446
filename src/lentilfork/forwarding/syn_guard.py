"""Checks of a SYN before the backend server beside an agent gets it.

Owners leave out agents whose servers may not get new flows, but a SYN may have been on
its way, offered again or retransmitted. Only the agent sees every SYN.
"""

from collections import OrderedDict
from enum import StrEnum
from enum import unique
from typing import Final

from lentilfork.counters import Counters
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.flows import OPENING_TIMEOUT_S
from lentilfork.forwarding.flows import Flow
from lentilfork.scheduling import EvacuationView
from lentilfork.scheduling import WarmUpLimit

__all__ = ["Obstacle", "SynBuffer", "SynGuard"]

# Longest wait of a SYN that came from a balancer: the caller retransmits it after 200
# ms, to the next owner, where its flow may open.
BUFFER_TIMEOUT_S: Final = 0.18
# Longest wait of a SYN that an owner has offered: the owner offers it to another agent
# after 80 ms, and a reset from here would break the flow that opens there.
OFFER_BUFFER_TIMEOUT_S: Final = 0.04
MAXIMUM_BUFFERED_SYNS: Final = 1024


@unique
class Obstacle(StrEnum):
    """Why a backend server may not get a SYN; the value is a counter's reason."""

    EVACUATED = "evacuated"
    WARM_UP = "warm_up_limit"
    # The flow's earlier SYN was delivered, and the server is at its bound.
    WARM_UP_COPY = "warm_up_bound"


class SynGuard:
    """The evacuations and the warm-up limit that apply to one backend server."""

    data_centre: str
    evacuations: EvacuationView
    limit: WarmUpLimit
    # End of the last evacuation that `limit` takes into account.
    handled_end_at: float | None

    def __init__(
        self, data_centre: str, evacuations: EvacuationView, limit: WarmUpLimit
    ) -> None:
        self.data_centre = data_centre
        self.evacuations = evacuations
        self.limit = limit
        self.handled_end_at = None

    @property
    def is_evacuated(self) -> bool:
        """Whether the data centre of the backend server is evacuated."""
        return self.evacuations.contains(self.data_centre)

    def find_obstacle(self, flow: Flow | None, now: float) -> Obstacle | None:
        """Return why the server may not get a SYN, or None if it may.

        `flow` is the flow of this SYN in the table of the server's flows. A SYN of a
        flow that the server opens already is a copy; a later one reuses the port.
        """
        if (
            flow is not None
            and flow.takes_requests
            and now - flow.offered_at <= OPENING_TIMEOUT_S
        ):
            return None if self.limit.admits_copy(now) else Obstacle.WARM_UP_COPY
        if self.is_evacuated:
            return Obstacle.EVACUATED
        return None if self.limit.admits_new(now) else Obstacle.WARM_UP

    def record_syn(self, now: float) -> None:
        """Record that the backend server got a SYN."""
        self.limit.record_syn(now)

    def apply_evacuations(self, now: float) -> None:
        """Apply newer evacuations: after the end of one, the server may be cold."""
        ended_at = self.evacuations.ended_at.get(self.data_centre)
        if ended_at is not None and ended_at != self.handled_end_at:
            self.limit.expect_cold(now)
        self.handled_end_at = ended_at


class SynBuffer:
    """SYNs that wait until a started agent knows the evacuations."""

    # Kind, envelope and time of arrival by flow key, oldest first.
    syns: OrderedDict[bytes, tuple[Kind, Envelope, float]]
    counters: Counters

    def __init__(self, counters: Counters) -> None:
        self.syns = OrderedDict()
        self.counters = counters

    def add(self, key: bytes, kind: Kind, envelope: Envelope, now: float) -> None:
        """Add a SYN; a copy of one that waits already is dropped."""
        if key in self.syns:
            self.counters.add("packets_dropped", "unsettled")
            return
        self.counters.add("packets_held", "unsettled")
        self.syns[key] = kind, envelope, now
        if len(self.syns) > MAXIMUM_BUFFERED_SYNS:
            self.syns.popitem(last=False)
            self.counters.add("packets_dropped", "held_too_many")

    def remove_all(self, now: float) -> list[tuple[Kind, Envelope]]:
        """Remove the SYNs; return those that no other agent has got meanwhile."""
        syns, self.syns = self.syns, OrderedDict()
        recent = [
            (kind, envelope)
            for kind, envelope, arrived_at in syns.values()
            if now - arrived_at
            <= (BUFFER_TIMEOUT_S if kind is Kind.ROUTE else OFFER_BUFFER_TIMEOUT_S)
        ]
        if len(recent) < len(syns):
            late = len(syns) - len(recent)
            self.counters.add("packets_dropped", "held_too_long", late)
        return recent
