"""Admission control of new flows by their owner.

A flow is admitted if a slot is free, or if its answer is expected within a share of
the route's target. Callers may retry a refused flow immediately, and most of them do.
"""

from typing import Final

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.placement import Choice
from lentilfork.scheduling.service_times import ServiceTimes
from lentilfork.scheduling.shedding import MS_PER_S
from lentilfork.scheduling.shedding import ORDINARY
from lentilfork.scheduling.shedding import RANKED_TARGET_MS
from lentilfork.scheduling.shedding import REFUSED_SHARE_SMOOTHING
from lentilfork.scheduling.shedding import CallerShares
from lentilfork.scheduling.shedding import Claim
from lentilfork.scheduling.shedding import RefusedShares
from lentilfork.scheduling.shedding import get_limit_ms
from lentilfork.scheduling.shedding import is_in_time

__all__ = ["MS_PER_S", "Admission"]

# Changes of the factor for a SYN that the server rejects and for each new flow. In
# balance, one flow in 25 or so is rejected.
QUEUE_FACTOR_DECREASE: Final = 0.95
QUEUE_FACTOR_INCREASE: Final = 0.001
MINIMUM_QUEUE_FACTOR: Final = 0.3


class Admission:
    """Decides which new flows an owner admits."""

    # Moving average of the share of new flows that were refused, without those that are
    # ranked.
    refused_share: float
    # The same of ranked flows, by priority.
    refused: RefusedShares
    # Factor on the limits of ranked flows, lowered when the own server rejects SYNs
    # because its queue is full.
    queue_factor: float
    callers: CallerShares
    # Service times of this agent's server, which is like the others of its service.
    times: ServiceTimes

    def __init__(self) -> None:
        self.refused_share = 0.0
        self.refused = RefusedShares()
        self.queue_factor = 1.0
        self.callers = CallerShares()
        self.times = ServiceTimes()

    def examine(self, envelope: Envelope, packet: FlowPacket, now: float) -> Claim:
        """Return what is known of a new flow, and count it for its caller."""
        if envelope.target_ms < RANKED_TARGET_MS:
            return ORDINARY
        heavy = self.callers.record(packet.source, now)
        route = packet.destination, packet.destination_port
        return Claim(heavy, self.times.get_relative_work(route))

    def is_in_time(
        self, envelope: Envelope, choice: Choice, claim: Claim = ORDINARY
    ) -> bool:
        """Return whether an answer is expected within the limit or a slot is free."""
        limit_ms = self.get_limit_ms(envelope, claim)
        return is_in_time(
            choice.expected_s, limit_ms, has_free_slot=choice.has_free_slot
        )

    def admit(
        self, envelope: Envelope, choice: Choice, claim: Claim = ORDINARY
    ) -> bool:
        """Return whether a new flow is admitted, and update `refused_share`."""
        refused = not self.is_in_time(envelope, choice, claim)
        if envelope.target_ms >= RANKED_TARGET_MS:
            self.refused.record(envelope.priority, claim, refused=refused)
            recovered = self.queue_factor + QUEUE_FACTOR_INCREASE
            self.queue_factor = min(recovered, 1.0)
            return not refused
        self.refused_share += REFUSED_SHARE_SMOOTHING * (refused - self.refused_share)
        return not refused

    def is_still_in_time(self, envelope: Envelope, choice: Choice) -> bool:
        """Return whether a flow that an owner admitted can still be answered in time.

        The agent that the flow was offered to knows its own queue exactly, so this
        limit needs no allowance for flows that other owners place at the same moment.
        """
        expected_ms = choice.expected_s * MS_PER_S
        limit_ms = envelope.target_ms or envelope.deadline_ms
        return choice.has_free_slot or expected_ms <= limit_ms

    def record_rejection(self) -> None:
        """Record that this agent's server rejected a SYN, as its queue was full."""
        self.queue_factor = max(
            self.queue_factor * QUEUE_FACTOR_DECREASE, MINIMUM_QUEUE_FACTOR
        )

    def get_limit_ms(self, envelope: Envelope, claim: Claim = ORDINARY) -> float:
        """Return the longest expected time to an answer with which it is admitted."""
        refused_share = self.refused_share
        if envelope.target_ms >= RANKED_TARGET_MS:
            refused_share = self.refused.get(envelope.priority)
        return get_limit_ms(
            envelope.target_ms,
            envelope.deadline_ms,
            envelope.priority,
            refused_share,
            claim,
            self.queue_factor,
        )
