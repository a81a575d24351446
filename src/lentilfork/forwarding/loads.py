"""Table of the load of the agents of a service, kept by each of its agents.

Agents report their load to each other when it changes. Between two reports an owner
adds the flows that it has placed itself, so that a burst does not all go to an agent
that was idle at its last report. Agents whose reports are overdue, or that left an
offer unanswered, get no new flows for a while.
"""

from collections.abc import Container
from dataclasses import dataclass
from statistics import median
from typing import Final

from lentilfork.forwarding.flows import DEFAULT_SERVICE_TIME_S
from lentilfork.forwarding.flows import estimate_answer_s
from lentilfork.schema import roster_pb2

__all__ = [
    "ASSUMED_SERVICE_TIME_US",
    "FULL_PERCENT",
    "FULL_PERMILLE",
    "US_PER_S",
    "LoadTable",
    "PeerLoad",
]

US_PER_S: Final = 1_000_000
FULL_PERCENT: Final = 100
FULL_PERMILLE: Final = 1_000
# Reports are sent at least every 0.25 s, so two of them may get lost.
REPORT_TIMEOUT_S: Final = 0.7
# Reported by agents whose server has answered hardly any request yet. A moving average
# that was measured is hardly ever equal to it, and then just once.
ASSUMED_SERVICE_TIME_US: Final = round(DEFAULT_SERVICE_TIME_S * US_PER_S)
# Time for which an agent that left an offer unanswered gets no new flows, for each
# unanswered offer in a row.
AVOID_S: Final = 0.4
MAXIMUM_AVOID_S: Final = 3.0


@dataclass(slots=True)
class PeerLoad:
    """Load of one agent as last reported, and the flows placed on it since."""

    incarnation: int = 0
    sequence: int = 0
    outstanding: int = 0
    slots: int = 1
    service_time_s: float = DEFAULT_SERVICE_TIME_S
    # Whether the service time was measured, not assumed.
    measured: bool = False
    accepting: bool = True
    # Factor on the service time while the backend server warms up.
    slowdown_factor: float = 1.0
    # Share of its recent requests that failed, 0 to 1.
    failed_share: float = 0.0
    # Recent mean of the share of its slots in use, 0 to 1; 0 if its build is older.
    busy_share: float = 0.0
    last_report_at: float | None = None
    # Number of flows that this process has placed on the agent since the report.
    placed: int = 0
    # Number of consecutive offers that were not answered.
    unanswered_offers: int = 0
    avoided_until: float = 0.0
    # Whether its data centre is evacuated.
    evacuated: bool = False
    # New flows that its cold backend server may get after the report; None: any number.
    openings_left: int | None = None

    @property
    def has_openings(self) -> bool:
        """Whether its backend server may get a new flow."""
        return self.openings_left is None or self.placed < self.openings_left

    @property
    def requests_ahead(self) -> int:
        """Number of requests that a new request would have before it."""
        return self.outstanding + self.placed

    @property
    def has_free_slot(self) -> bool:
        """Whether a new request would run immediately."""
        return self.requests_ahead < self.slots

    def estimate_s(self) -> float:
        """Return the expected seconds until a new request would be answered."""
        return estimate_answer_s(
            self.service_time_s * self.slowdown_factor, self.requests_ahead, self.slots
        )


def is_overdue(load: PeerLoad, now: float) -> bool:
    """Return whether the next report of an agent should have arrived by now."""
    return load.last_report_at is not None and (
        now - load.last_report_at > REPORT_TIMEOUT_S
    )


class LoadTable:
    """Loads of agents by name."""

    loads: dict[str, PeerLoad]

    def __init__(self) -> None:
        self.loads = {}

    def get_or_create(self, agent: str) -> PeerLoad:
        """Return the load of an agent; an unknown agent is added as idle."""
        load = self.loads.get(agent)
        if load is None:
            load = self.loads[agent] = PeerLoad()
        return load

    def retain_agents(self, agents: set[str]) -> None:
        """Remove the loads of all agents except the given ones."""
        for name in self.loads.keys() - agents:
            del self.loads[name]

    def record_report(self, report: roster_pb2.LoadUpdate, now: float) -> None:
        """Record a load report unless it is older than the last one.

        A process whose clock was set back before its start has a lower incarnation; its
        reports count once those of the process before it are overdue.
        """
        load = self.get_or_create(report.agent)
        version = (report.incarnation, report.sequence)
        restarted = report.incarnation != load.incarnation and is_overdue(load, now)
        if version <= (load.incarnation, load.sequence) and not restarted:
            return
        load.incarnation, load.sequence = version
        load.outstanding = report.outstanding
        load.slots = max(report.slots, 1)
        load.measured = report.service_time_us != ASSUMED_SERVICE_TIME_US
        load.service_time_s = (
            report.service_time_us / US_PER_S
            if load.measured
            else self.get_median_service_time_s(self.loads)
        )
        load.accepting = report.accepting
        load.slowdown_factor = 1 + report.slow_percent / FULL_PERCENT
        load.failed_share = report.failed_percent / FULL_PERCENT
        load.busy_share = report.busy_permille / FULL_PERMILLE
        load.evacuated = report.evacuated
        load.openings_left = (
            report.openings_left if report.HasField("openings_left") else None
        )
        load.last_report_at = now
        load.placed = 0

    def get_median_service_time_s(self, agents: Container[str]) -> float:
        """Return the median of the service times measured by some agents.

        The default if none of them has measured one.
        """
        measured = [
            load.service_time_s
            for name, load in self.loads.items()
            if load.measured and name in agents
        ]
        return median(measured) if measured else DEFAULT_SERVICE_TIME_S

    def is_usable(self, agent: str, now: float) -> bool:
        """Return whether an agent may get new flows by its reports and past offers."""
        load = self.get_or_create(agent)
        if load.evacuated or not load.has_openings:
            return False
        return (
            load.accepting and not is_overdue(load, now) and now >= load.avoided_until
        )

    def record_placement(self, agent: str) -> None:
        """Count a flow that this process has placed on an agent."""
        self.get_or_create(agent).placed += 1

    def record_unanswered_offer(self, agent: str, now: float) -> None:
        """Record that an agent left an offer unanswered, and avoid it for a while."""
        load = self.get_or_create(agent)
        load.unanswered_offers += 1
        avoid_s = min(AVOID_S * load.unanswered_offers, MAXIMUM_AVOID_S)
        load.avoided_until = now + avoid_s

    def record_opening(self, agent: str) -> None:
        """Record that an agent opened a flow that was offered to it."""
        load = self.get_or_create(agent)
        load.unanswered_offers = 0
        load.avoided_until = 0.0
