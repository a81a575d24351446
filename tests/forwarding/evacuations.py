"""Simulation of evacuated data centres and cold servers.

Three controllers tell every agent their evacuations, each after a delay of its own.
Load reports get lost. Servers are cold after the end of an evacuation, which agents
learn from the next heartbeat only.
"""

from collections import Counter
from functools import partial

from lentilfork.forwarding.envelopes import Kind
from lentilfork.scheduling import WarmUpBounds
from lentilfork.scheduling import WarmUpRate
from tests.forwarding.simulation import DATA_CENTRES
from tests.forwarding.simulation import AgentHost
from tests.forwarding.simulation import Request
from tests.forwarding.simulation import World

CONTROLLERS = ("controller-1", "controller-2", "controller-3")
# Longest time until a controller's evacuations have reached an agent.
SPREAD_S = 0.3
# Time of a packet from an agent to its server.
LOCAL_S = 0.001
COLD_S = 4.0
COLD_RATE = WarmUpRate(12.0, COLD_S)
COLD_BOUNDS = WarmUpBounds(1.5, 5.0)
COLD_BOUND = COLD_BOUNDS.compute_maximum(COLD_RATE)
# In each data centre, servers have these speeds in rotation.
SPEEDS = (0.7, 0.7, 1.7)
REPORT_LOSS = 0.2
TARGET_S = 0.1


def make_speeds(agents: int) -> list[float]:
    """Return the speeds of agents that belong to the data centres in rotation."""
    return [SPEEDS[number // len(DATA_CENTRES) % 3] for number in range(agents)]


class EvacuationWorld(World):
    """Simulated deployment whose data centres may be evacuated."""

    bounds = COLD_BOUNDS
    rate = COLD_RATE
    awaits_majority = True

    def __init__(
        self,
        speeds: list[float],
        seed: int = 1,
        *,
        places: bool = False,
        target_ms: int = 100,
    ) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self.version = 0
        # Times at which evacuations began and ended: data centre, version, begin, end.
        self.periods: list[tuple[str, int, float, float]] = []
        # Time at which the agent of a host first heard of a version.
        self.told_at: dict[tuple[str, int], float] = {}
        self.report_loss = 0.0
        self.roster_update_scheduled = False
        super().__init__(speeds, seed=seed, places=places, target_ms=target_ms)

    def add_host(self, *args: object, **options: object) -> AgentHost:
        """Add a host and tell its agent the evacuations."""
        host = super().add_host(*args, **options)  # type: ignore[arg-type]
        self.tell(host)
        return host

    def restart_agent(self, name: str) -> AgentHost:
        """Replace the agent of a host by one that knows no evacuation."""
        host = super().restart_agent(name)
        self.tell(host)
        return host

    def schedule_roster_update(self) -> None:
        """Schedule one update of all rosters for changes that are close together."""
        if not self.roster_update_scheduled:
            self.roster_update_scheduled = True
            super().schedule_roster_update()

    def update_rosters(self) -> None:
        """Replace the rosters of all agents and balancers."""
        self.roster_update_scheduled = False
        super().update_rosters()

    def tell(self, host: AgentHost) -> None:
        """Let each controller tell an agent the evacuations after a random delay."""
        for controller in CONTROLLERS:
            record = partial(
                self.record, host, controller, self.version, self.evacuated
            )
            self.clock.call_in(self.rng.uniform(0.002, SPREAD_S), record)

    def record(
        self, host: AgentHost, controller: str, version: int, names: frozenset[str]
    ) -> None:
        """Record a controller's evacuations at an agent."""
        now = self.clock.now
        self.told_at.setdefault((host.name, version), now)
        view = host.agent.guard.evacuations
        if view.record(controller, version, names, CONTROLLERS, now):
            host.agent.apply_evacuations(now)

    def evacuate(self, *names: str) -> None:
        """Change the evacuated data centres; servers of the others become cold."""
        now = self.clock.now
        ended = self.evacuated - set(names)
        self.periods = [
            (name, version, begin, min(end, now) if name in ended else end)
            for name, version, begin, end in self.periods
        ]
        begun = set(names) - self.evacuated
        self.evacuated = frozenset(names)
        self.version += 1
        self.periods += [(name, self.version, now, float("inf")) for name in begun]
        for host in self.hosts.values():
            if host.data_centre in ended:
                host.cold_until = now + COLD_S
            self.tell(host)

    def send(
        self,
        data: bytes,
        sender: tuple[str, int],
        data_centre: str,
        address: tuple[str, int],
    ) -> None:
        """Transmit a datagram between hosts; load reports may get lost."""
        if data[0] == Kind.LOAD and self.rng.random() < self.report_loss:
            return
        super().send(data, sender, data_centre, address)

    def find_late_syns(self) -> list[tuple[str, float]]:
        """Return the SYNs that servers got during an evacuation of their data centre.

        Those that they got before their agents first heard of it are left out, but no
        later ones of agents that restart.
        """
        late = []
        for name, version, begin, end in self.periods:
            for host in self.hosts.values():
                if host.data_centre != name:
                    continue
                heard = [
                    at_s
                    for (told, number), at_s in self.told_at.items()
                    if told == host.name and number >= version
                ]
                from_s = min(heard, default=begin + SPREAD_S) + LOCAL_S
                late += [
                    (host.name, at_s)
                    for at_s, _ in host.server.syns
                    if from_s < at_s <= end
                ]
        return late

    def count_most_cold_syns(self) -> int:
        """Return the most SYNs that a cold server got in any sliding second."""
        most = 0
        for host in self.hosts.values():
            times = [at_s for at_s, cold in host.server.syns if cold]
            first = 0
            for last, at_s in enumerate(times):
                while times[first] < at_s - 1:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def compute_shares(self, from_s: float, until_s: float) -> dict[str, float]:
        """Return the share of the SYNs of a period that each data centre got."""
        counts = Counter(
            host.data_centre
            for host in self.hosts.values()
            for at_s, _ in host.server.syns
            if from_s <= at_s < until_s
        )
        return {name: counts[name] / max(counts.total(), 1) for name in DATA_CENTRES}

    def count(self, name: str, reason: str = "") -> int:
        """Return the sum of a counter over all agents."""
        return sum(
            host.agent.counters.get(name, reason) for host in self.hosts.values()
        )


def compute_timely_share(
    requests: list[Request], from_s: float, until_s: float
) -> float:
    """Return the share of the requests of a period that were answered in time."""
    chosen = [item for item in requests if from_s <= item.at_s < until_s]
    return sum(item.latency_s < TARGET_S for item in chosen) / max(len(chosen), 1)
