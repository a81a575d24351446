"""Admission control of new flows by their owner.

A flow is admitted if a slot is free, or if its answer is expected within a share of
the route's target. Callers may retry a refused flow immediately, and most of them do.
"""

from typing import Final

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.placement import Choice

__all__ = ["MS_PER_S", "Admission"]

MS_PER_S: Final = 1_000
# Share of a route's target that queueing and service may take. The rest covers the
# network and delays that the estimate does not include.
ADMITTED_SHARE: Final = 0.7
PRIORITY_STEP: Final = 0.1
MINIMUM_ADMITTED_SHARE: Final = 0.4
REFUSED_SHARE_WEIGHT: Final = 0.6
# Weight of one flow in the moving average `refused_share`, which thus covers about
# fifty flows.
REFUSED_SHARE_SMOOTHING: Final = 0.02


class Admission:
    """Decides which new flows an owner admits."""

    # Moving average of the share of new flows that were refused.
    refused_share: float

    def __init__(self) -> None:
        self.refused_share = 0.0

    def is_in_time(self, envelope: Envelope, choice: Choice) -> bool:
        """Return whether an answer is expected within the limit or a slot is free.

        A free slot is always used: a late answer is better than none.
        """
        expected_ms = choice.expected_s * MS_PER_S
        return choice.has_free_slot or expected_ms <= self.get_limit_ms(envelope)

    def admit(self, envelope: Envelope, choice: Choice) -> bool:
        """Return whether a new flow is admitted, and update `refused_share`."""
        refused = not self.is_in_time(envelope, choice)
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

    def get_limit_ms(self, envelope: Envelope) -> float:
        """Return the longest expected time to an answer with which a flow is admitted.

        A request that would miss its target also delays the requests behind it, so with
        a queue longer than the target no request is answered in time. Less urgent flows
        (those with a higher `priority` number) have a lower limit, which leaves the
        rest of the queue to the urgent ones. The limit also falls as `refused_share`
        rises: the queue never runs empty then, and a long one only makes answers late.
        """
        share = max(
            ADMITTED_SHARE - PRIORITY_STEP * envelope.priority, MINIMUM_ADMITTED_SHARE
        )
        share *= 1 - REFUSED_SHARE_WEIGHT * self.refused_share
        limit_ms = envelope.target_ms * share
        return min(limit_ms, envelope.deadline_ms) if limit_ms else envelope.deadline_ms
