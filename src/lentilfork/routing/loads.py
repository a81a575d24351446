"""Load of the agents of a service, as one of them estimates it.

Load reports are piggybacked on packets between agents. Between two reports an agent
counts the requests that it has placed itself, so that it does not send a burst to an
agent that looked idle. The load endpoint of a backend server is not used, because its
figures may be outdated or wrong.
"""

from dataclasses import dataclass
from typing import Final

from lentilfork.state.model import Agent
from lentilfork.state.model import Preset

__all__ = ["LoadReport", "LoadTable"]

# Assumed until an agent has reported a service time.
DEFAULT_SERVICE_TIME_US: Final = 20_000
MINIMUM_WEIGHT_PERCENT: Final = 1
FULL_WEIGHT_PERCENT: Final = 100
US_PER_S: Final = 1_000_000
US_PER_MS: Final = 1_000
# A placement whose end is not reported is no longer counted after this time.
PLACEMENT_LIFETIME_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of one agent as it reported it."""

    agent: str
    running: int
    queued: int
    # Moving average of the time of a request in its slot, microseconds; 0: none has
    # ended yet.
    service_time_us: int
    # Share of its normal work that the agent should get, 1 to 100.
    weight_percent: int
    # Number of the report; reports older than the latest one are ignored.
    sequence: int


class AgentLoad:
    """Load of one agent as the local agent estimates it."""

    # Latest report; None until one has arrived.
    report: LoadReport | None
    # Monotonic time at which the report arrived, in seconds.
    reported_at: float
    # Requests that other agents had placed there at the time of the report.
    placed_by_others: int
    # Monotonic start times of the exchanges that the local agent placed there and
    # that have not ended, by exchange key.
    placements: dict[bytes, float]

    def __init__(self) -> None:
        self.report = None
        self.reported_at = 0.0
        self.placed_by_others = 0
        self.placements = {}

    def count_outstanding(self, slots: int, now: float) -> float:
        """Return the estimated number of requests that run or wait there.

        Requests placed by other agents are assumed to have been completed at the
        agent's service rate since its report. `now` is monotonic, in seconds.
        """
        self.expire_placements(now)
        ended = 0.0
        if self.report is not None:
            time_us = self.report.service_time_us or DEFAULT_SERVICE_TIME_US
            ended = (now - self.reported_at) * US_PER_S / time_us * slots
        return len(self.placements) + max(0.0, self.placed_by_others - ended)

    def expire_placements(self, now: float) -> None:
        """Drop placements whose end has not been reported within their lifetime."""
        for key, start in list(self.placements.items()):
            if now - start < PLACEMENT_LIFETIME_S:
                break
            del self.placements[key]

    def record_report(self, report: LoadReport, now: float) -> None:
        """Store a report unless it is older than the latest one."""
        if self.report is not None and report.sequence <= self.report.sequence:
            return
        self.report = report
        self.reported_at = now
        self.placed_by_others = max(
            0, report.running + report.queued - len(self.placements)
        )


class LoadTable:
    """Estimated loads of all agents of one service."""

    # Loads by agent name.
    loads: dict[str, AgentLoad]

    def __init__(self) -> None:
        self.loads = {}

    def get_or_create(self, agent: str) -> AgentLoad:
        """Return the load of an agent; an unknown agent is added as idle."""
        return self.loads.setdefault(agent, AgentLoad())

    def retain_agents(self, agents: set[str]) -> None:
        """Remove all agents that are not among `agents`."""
        for name in self.loads.keys() - agents:
            del self.loads[name]

    def record_placement(self, agent: str, key: bytes, now: float) -> None:
        """Count an exchange that the local agent placed."""
        self.get_or_create(agent).placements[key] = now

    def record_end(self, agent: str, key: bytes) -> None:
        """Stop counting an exchange that the local agent placed and that has ended."""
        self.get_or_create(agent).placements.pop(key, None)

    def has_free_slot(self, agent: Agent, now: float) -> bool:
        """Return whether a new request there would probably run immediately."""
        outstanding = self.get_or_create(agent.name).count_outstanding(agent.slots, now)
        return round(outstanding) < agent.slots

    def has_capacity(self, agent: Agent, limits: Preset, now: float) -> bool:
        """Return whether a new request there would probably be admitted."""
        outstanding = self.get_or_create(agent.name).count_outstanding(agent.slots, now)
        capacity = agent.slots * (1 + limits.queue_per_slot)
        wait_us = self.estimate_wait_us(agent, now)
        return outstanding < capacity and wait_us <= limits.queue_time_ms * US_PER_MS

    def estimate_speed(self, agent: str) -> float:
        """Return the requests per second that one slot of an agent should get."""
        report = self.get_or_create(agent).report
        time_us = self.compute_mean_service_time_us()
        weight = FULL_WEIGHT_PERCENT
        if report is not None:
            time_us = report.service_time_us or time_us
            weight = max(MINIMUM_WEIGHT_PERCENT, report.weight_percent)
        return US_PER_S / time_us * weight / FULL_WEIGHT_PERCENT

    def estimate_wait_us(self, agent: Agent, now: float) -> float:
        """Return the expected time until a new request there ends, in microseconds."""
        outstanding = self.get_or_create(agent.name).count_outstanding(agent.slots, now)
        rounds = max(1.0, (outstanding + 1) / agent.slots)
        return rounds * US_PER_S / self.estimate_speed(agent.name)

    def compute_mean_service_time_us(self) -> float:
        """Return the mean reported service time, or the default if there is none."""
        reported_us = [
            load.report.service_time_us
            for load in self.loads.values()
            if load.report is not None and load.report.service_time_us
        ]
        return (
            sum(reported_us) / len(reported_us)
            if reported_us
            else DEFAULT_SERVICE_TIME_US
        )
