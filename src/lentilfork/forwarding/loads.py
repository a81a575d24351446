"""What an agent knows of the load of the other agents of its service.

Agents report to each other when their load changes. Between two reports an owner
counts what it has placed itself, so that a burst does not all go to the agent
that looked idle. Silence and unanswered offers keep new flows away for a while.
"""

from dataclasses import dataclass
from typing import Final

from lentilfork.forwarding.flows import DEFAULT_SERVICE_TIME_S
from lentilfork.forwarding.flows import estimate_answer_s
from lentilfork.schema import roster_pb2

__all__ = ["FULL_PERCENT", "US_PER_S", "LoadTable", "PeerLoad"]

US_PER_S: Final = 1_000_000
FULL_PERCENT: Final = 100
# Reports come every 0.25 s at the latest; two may get lost.
REPORT_TIMEOUT_S: Final = 0.7
# How long an agent that left an offer unanswered gets no new flows.
AVOID_S: Final = 0.4
MAXIMUM_AVOID_S: Final = 3.0


@dataclass(slots=True)
class PeerLoad:
    """Load of one agent as last reported."""

    incarnation: int = 0
    sequence: int = 0
    outstanding: int = 0
    slots: int = 1
    service_time_s: float = DEFAULT_SERVICE_TIME_S
    accepting: bool = True
    # Factor on the service time while the backend server warms up.
    slowdown_factor: float = 1.0
    # Share of its requests that failed lately.
    failed_share: float = 0.0
    last_report_at: float | None = None
    # Flows placed there from here since the report.
    placed: int = 0
    # Offers in a row that got no answer.
    unanswered: int = 0
    avoided_until: float = 0.0

    @property
    def requests_ahead(self) -> int:
        """Work that a new request would find there."""
        return self.outstanding + self.placed

    @property
    def has_free_slot(self) -> bool:
        """Whether a new request would run at once."""
        return self.requests_ahead < self.slots

    def estimate_s(self) -> float:
        """Return the time after which a new request would be answered."""
        return estimate_answer_s(
            self.service_time_s * self.slowdown_factor, self.requests_ahead, self.slots
        )


class LoadTable:
    """Loads by agent name."""

    loads: dict[str, PeerLoad]

    def __init__(self) -> None:
        self.loads = {}

    def find(self, agent: str) -> PeerLoad:
        """Return the load of an agent; a new one counts as idle."""
        load = self.loads.get(agent)
        if load is None:
            load = self.loads[agent] = PeerLoad()
        return load

    def retain_agents(self, agents: set[str]) -> None:
        """Forget agents that are gone."""
        for name in self.loads.keys() - agents:
            del self.loads[name]

    def record_report(self, report: roster_pb2.LoadUpdate, now: float) -> None:
        """Take a report unless a newer one was taken before."""
        load = self.find(report.agent)
        age = (report.incarnation, report.sequence)
        if age <= (load.incarnation, load.sequence):
            return
        load.incarnation, load.sequence = age
        load.outstanding = report.outstanding
        load.slots = max(report.slots, 1)
        load.service_time_s = report.service_time_us / US_PER_S
        load.accepting = report.accepting
        load.slowdown_factor = 1 + report.slow_percent / FULL_PERCENT
        load.failed_share = report.failed_percent / FULL_PERCENT
        load.last_report_at = now
        load.placed = 0

    def is_usable(self, agent: str, now: float) -> bool:
        """Tell whether an agent may get new flows as far as its reports tell."""
        load = self.find(agent)
        silent = (
            load.last_report_at is not None
            and now - load.last_report_at > REPORT_TIMEOUT_S
        )
        return load.accepting and not silent and now >= load.avoided_until

    def record_placement(self, agent: str) -> None:
        """Count a flow that was placed from here."""
        self.find(agent).placed += 1

    def record_unanswered_offer(self, agent: str, now: float) -> None:
        """Keep new flows away from an agent that left an offer unanswered."""
        load = self.find(agent)
        load.unanswered += 1
        pause_s = min(AVOID_S * load.unanswered, MAXIMUM_AVOID_S)
        load.avoided_until = now + pause_s

    def record_opening(self, agent: str) -> None:
        """Note that a flow opened where it was offered."""
        load = self.find(agent)
        load.unanswered = 0
        load.avoided_until = 0.0
