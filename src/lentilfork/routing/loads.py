"""What an agent knows of the load of the other agents of its service.

Reports ride on packets between agents. Between two reports an agent counts what
it has placed itself, so that it never sends a burst to one that looked idle.
A backend server's own load endpoint is not used: it may lag or mislead.
"""

from dataclasses import dataclass
from typing import Final

from lentilfork.state.model import Agent
from lentilfork.state.model import Preset

__all__ = ["LoadReport", "LoadTable"]

DEFAULT_SERVICE_TIME_US: Final = 20_000
MINIMUM_WEIGHT_PERCENT: Final = 1
FULL_WEIGHT_PERCENT: Final = 100
US_PER_S: Final = 1_000_000
US_PER_MS: Final = 1_000
# A placement whose end was never reported stops counting after this time.
PLACEMENT_LIFETIME_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one agent as it stated it."""

    agent: str
    running: int
    queued: int
    # Smoothed time of one request in its slot, microseconds; 0: none ran yet.
    service_time_us: int
    # Share of its normal work it should get, 1 to 100.
    weight_percent: int
    # Reports of one agent are numbered; older ones are ignored.
    sequence: int


class AgentLoad:
    """Load of one agent as seen from here."""

    report: LoadReport | None
    # When the report came, seconds of the monotonic clock.
    reported_at: float
    # Work others had placed there when the report was made.
    placed_by_others: int
    # Start times of exchanges placed from here that have not ended, by key.
    placements: dict[bytes, float]

    def __init__(self) -> None:
        self.report = None
        self.reported_at = 0.0
        self.placed_by_others = 0
        self.placements = {}

    def count_outstanding(self, slots: int, now: float) -> float:
        """Return the requests believed to run or wait there.

        What others placed is worked off at the agent's pace since its report.
        """
        self.expire_placements(now)
        ended = 0.0
        if self.report is not None:
            time_us = self.report.service_time_us or DEFAULT_SERVICE_TIME_US
            ended = (now - self.reported_at) * US_PER_S / time_us * slots
        return len(self.placements) + max(0.0, self.placed_by_others - ended)

    def expire_placements(self, now: float) -> None:
        """Drop placements whose end was never reported."""
        for key, start in list(self.placements.items()):
            if now - start < PLACEMENT_LIFETIME_S:
                break
            del self.placements[key]

    def record_report(self, report: LoadReport, now: float) -> None:
        """Take a report unless a newer one was taken before."""
        if self.report is not None and report.sequence <= self.report.sequence:
            return
        self.report = report
        self.reported_at = now
        self.placed_by_others = max(
            0, report.running + report.queued - len(self.placements)
        )


class LoadTable:
    """Loads of all agents of one service, by agent name."""

    loads: dict[str, AgentLoad]

    def __init__(self) -> None:
        self.loads = {}

    def get_or_create(self, agent: str) -> AgentLoad:
        """Return the load of an agent; a new one counts as idle."""
        return self.loads.setdefault(agent, AgentLoad())

    def retain(self, agents: set[str]) -> None:
        """Forget agents that are gone."""
        for name in self.loads.keys() - agents:
            del self.loads[name]

    def record_placement(self, agent: str, key: bytes, now: float) -> None:
        """Count an exchange that was placed from here."""
        self.get_or_create(agent).placements[key] = now

    def record_end(self, agent: str, key: bytes) -> None:
        """Count the end of an exchange that was placed from here."""
        self.get_or_create(agent).placements.pop(key, None)

    def has_free_slot(self, agent: Agent, now: float) -> bool:
        """Return whether a new request there would probably run at once."""
        outstanding = self.get_or_create(agent.name).count_outstanding(agent.slots, now)
        return round(outstanding) < agent.slots

    def has_capacity(self, agent: Agent, limits: Preset, now: float) -> bool:
        """Return whether a new request there would probably be admitted."""
        outstanding = self.get_or_create(agent.name).count_outstanding(agent.slots, now)
        capacity = agent.slots * (1 + limits.queue_per_slot)
        wait_us = self.estimate_wait_us(agent, now)
        return outstanding < capacity and wait_us <= limits.queue_time_ms * US_PER_MS

    def estimate_speed(self, agent: str) -> float:
        """Return the requests per second a slot of an agent should be given."""
        report = self.get_or_create(agent).report
        time_us = self.compute_mean_service_time_us()
        weight = FULL_WEIGHT_PERCENT
        if report is not None:
            time_us = report.service_time_us or time_us
            weight = max(MINIMUM_WEIGHT_PERCENT, report.weight_percent)
        return US_PER_S / time_us * weight / FULL_WEIGHT_PERCENT

    def estimate_wait_us(self, agent: Agent, now: float) -> float:
        """Return the expected time until a new request there has ended."""
        outstanding = self.get_or_create(agent.name).count_outstanding(agent.slots, now)
        rounds = max(1.0, (outstanding + 1) / agent.slots)
        return rounds * US_PER_S / self.estimate_speed(agent.name)

    def compute_mean_service_time_us(self) -> float:
        """Return the mean service time of the agents that reported one."""
        known = [
            load.report.service_time_us
            for load in self.loads.values()
            if load.report is not None and load.report.service_time_us
        ]
        return sum(known) / len(known) if known else DEFAULT_SERVICE_TIME_US
