"""Who is served while demand exceeds the capacity.

A flow is placed while the answer is expected within a limit, a share of its target.
The limits rank the flows: those with a lower limit are refused first, and the rest of
the queue is left to the others. A caller retries a refused flow at once and has three
attempts, so a refusal is final within some 50 ms; the queue that a limit allows is what
bridges a short excess of demand.
"""

from dataclasses import dataclass
from enum import StrEnum
from enum import unique
from typing import Final

__all__ = [
    "ORDINARY",
    "CallerShares",
    "Claim",
    "Reason",
    "RefusedShares",
    "get_limit_ms",
    "is_in_time",
]

MS_PER_S: Final = 1_000
# Share of a route's target that queueing and service may take. The rest covers the
# network and delays that the estimate does not include.
ADMITTED_SHARE: Final = 0.7
PRIORITY_STEP: Final = 0.1
MINIMUM_ADMITTED_SHARE: Final = 0.4
REFUSED_SHARE_WEIGHT: Final = 0.6
# Weight of one flow in the moving averages of the share refused, which thus cover about
# fifty flows.
REFUSED_SHARE_SMOOTHING: Final = 0.02
# Higher priority numbers are ranked like the last of these.
PRIORITIES: Final = 4
# Targets from which on flows are also ranked by caller and by work. Below, a queue
# within the target has too few requests for a ranking to matter.
RANKED_TARGET_MS: Final = 250
# Factor on the limit of callers with many times their share: about two requests of
# 26 ms with a target of 429 ms.
HEAVY_CALLER_FACTOR: Final = 0.3
# Share of the target for requests of small work. They hardly delay those behind them.
SMALL_WORK_SHARE: Final = 0.8
# Work in terms of the server's mean up to which a request counts as small.
SMALL_WORK: Final = 0.5
# Requests of an address in terms of the mean of the other addresses from which on it
# counts as heavy, if it also has this share of all requests.
HEAVY_RATIO: Final = 4.0
HEAVY_SHARE: Final = 0.2
# Recent requests below which nobody is heavy.
MINIMUM_REQUESTS: Final = 40.0
# Interval after which the counts of requests are halved.
HALVING_INTERVAL_S: Final = 1.0
MAXIMUM_ADDRESSES: Final = 1_024


@unique
class Reason(StrEnum):
    """Why an owner refuses a flow."""

    LATE = "answer expected too late"
    HEAVY_CALLER = "caller exceeds its share"


@dataclass(frozen=True, slots=True)
class Claim:
    """What is known of a new flow besides the limits of its route."""

    # Whether its caller has sent many times its share of the recent requests.
    heavy_caller: bool = False
    # Expected work of its request in terms of the mean of all requests of the server.
    work: float = 1.0


ORDINARY: Final = Claim()


def get_limit_ms(
    target_ms: int,
    deadline_ms: int,
    priority: int,
    refused_share: float,
    claim: Claim,
    queue_factor: float = 1.0,
) -> float:
    """Return the longest expected time to an answer with which a flow is placed.

    A request that would miss its target also delays the requests behind it, so with
    a queue longer than the target no request is answered in time. Less urgent flows
    (those with a higher `priority` number) have a lower limit, which leaves the
    rest of the queue to the urgent ones. The limit also falls as `refused_share`
    rises: the queue never runs empty then, and a long one only makes answers late.
    """
    share = max(ADMITTED_SHARE - PRIORITY_STEP * priority, MINIMUM_ADMITTED_SHARE)
    share *= 1 - REFUSED_SHARE_WEIGHT * refused_share
    if target_ms >= RANKED_TARGET_MS:
        if priority > 0:
            share *= queue_factor
        if claim.heavy_caller:
            share *= HEAVY_CALLER_FACTOR
        elif claim.work <= SMALL_WORK:
            share = max(share, SMALL_WORK_SHARE - PRIORITY_STEP * priority)
    limit_ms = target_ms * share
    return min(limit_ms, deadline_ms) if limit_ms else deadline_ms


def is_in_time(expected_s: float, limit_ms: float, *, has_free_slot: bool) -> bool:
    """Return whether a flow is placed. A free slot is used: late beats never."""
    return has_free_slot or expected_s * MS_PER_S <= limit_ms


class RefusedShares:
    """Moving averages of the share of flows refused, of each priority or a higher one.

    Refusals of less urgent flows don't lower the limits of urgent ones. Those of heavy
    callers are not counted.
    """

    shares: list[float]

    def __init__(self) -> None:
        self.shares = [0.0] * PRIORITIES

    def get(self, priority: int) -> float:
        """Return the share refused of the flows that are at least as urgent."""
        return self.shares[min(priority, PRIORITIES - 1)]

    def record(self, priority: int, claim: Claim, *, refused: bool) -> None:
        """Record whether a flow of a priority was refused."""
        if claim.heavy_caller:
            return
        for level in range(min(priority, PRIORITIES - 1), PRIORITIES):
            change = REFUSED_SHARE_SMOOTHING * (refused - self.shares[level])
            self.shares[level] += change


class CallerShares:
    """Recent requests of each caller's address at one owner.

    Owners get flows by hash, so each sees a sample of all callers.
    """

    counts: dict[int, float]
    total: float
    halved_at: float

    def __init__(self) -> None:
        self.counts = {}
        self.total = 0.0
        self.halved_at = 0.0

    def record(self, address: int, now: float) -> bool:
        """Count a request of an address and return whether it is heavy."""
        if now - self.halved_at >= HALVING_INTERVAL_S:
            self.halve(now)
        count = self.counts.get(address, 0.0) + 1
        if count > 1 or len(self.counts) < MAXIMUM_ADDRESSES:
            self.counts[address] = count
        self.total += 1
        others = len(self.counts) - 1
        return (
            others > 0
            and self.total >= MINIMUM_REQUESTS
            and count >= HEAVY_SHARE * self.total
            and count * others >= HEAVY_RATIO * (self.total - count)
        )

    def halve(self, now: float) -> None:
        """Halve all counts once for each interval that has passed."""
        intervals = min(int((now - self.halved_at) / HALVING_INTERVAL_S), 60)
        factor = 0.5**intervals
        self.counts = {
            address: count * factor
            for address, count in self.counts.items()
            if count * factor >= 0.25
        }
        self.total *= factor
        self.halved_at = now
