"""Whether an owner takes a new flow or refuses it at once.

A flow is taken if a slot is free, or if its answer is expected within a part of the
route's target. The caller of one that is refused may come back at once, and most do.
"""

from typing import Final

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.placement import Choice

__all__ = ["MS_PER_S", "Admission"]

MS_PER_S: Final = 1_000
# Part of a route's target that work and waiting may take; the rest is for the way
# and for what the estimate does not see.
ADMITTED_SHARE: Final = 0.7
PRIORITY_STEP: Final = 0.1
MINIMUM_ADMITTED_SHARE: Final = 0.4
REFUSED_SHARE_WEIGHT: Final = 0.6
# Weight of one flow in the share refused lately; some fifty flows make it up.
REFUSED_SHARE_SMOOTHING: Final = 0.02


class Admission:
    """What an owner admits flows by."""

    # Share of new flows refused lately.
    refused_share: float

    def __init__(self) -> None:
        self.refused_share = 0.0

    def is_in_time(self, envelope: Envelope, choice: Choice) -> bool:
        """Tell whether an answer is expected in time, or as soon as can be.

        A free slot is never left idle: an answer that is late is better than none.
        """
        expected_ms = choice.expected_s * MS_PER_S
        return choice.has_free_slot or expected_ms <= self.get_limit_ms(envelope)

    def admit(self, envelope: Envelope, choice: Choice) -> bool:
        """Tell whether a new flow is placed where it would be answered first."""
        refused = not self.is_in_time(envelope, choice)
        self.refused_share += REFUSED_SHARE_SMOOTHING * (refused - self.refused_share)
        return not refused

    def is_still_in_time(self, envelope: Envelope, choice: Choice) -> bool:
        """Tell whether a flow that an owner admitted can still be on time.

        The agent that it was offered to knows its own queue exactly, so this limit
        needs no allowance for what others place at the same moment.
        """
        expected_ms = choice.expected_s * MS_PER_S
        limit_ms = envelope.target_ms or envelope.deadline_ms
        return choice.has_free_slot or expected_ms <= limit_ms

    def get_limit_ms(self, envelope: Envelope) -> float:
        """Return how late an answer may be expected for a flow to be placed at once.

        Work that would miss its target makes what comes after it miss as well, so a
        queue longer than the target serves nobody in time. What is less urgent gives
        way earlier, so that the rest of the queue is left to what is more urgent.
        Under `pressure` the queue is kept shorter still: it is never empty then, and
        a long one only makes answers late.
        """
        share = max(
            ADMITTED_SHARE - PRIORITY_STEP * envelope.priority, MINIMUM_ADMITTED_SHARE
        )
        share *= 1 - REFUSED_SHARE_WEIGHT * self.refused_share
        limit_ms = envelope.target_ms * share
        return min(limit_ms, envelope.deadline_ms) if limit_ms else envelope.deadline_ms
