"""Limit on how many silent agents of a service are removed within a short time.

An agent is silent when its lease has expired because no heartbeats arrived.

Many agents that miss their heartbeats together are more likely cut off by a network
fault than dead, so only some of them are removed and the others are kept until time
has passed. The default limit allows the removal of one whole data centre of the
service. When every agent of a service is silent, none is removed.
"""

import math
from collections import Counter
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from lentilfork.state.model import Agent

__all__ = ["Removal", "SilenceLimit"]

# Removals within this time count together against the limit.
WINDOW_MS: Final = 30_000
PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class Removal:
    """A removal of an agent whose lease had expired."""

    name: str
    data_centre: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class SilenceLimit:
    """The share of a service's agents that may be removed within `WINDOW_MS`."""

    # Percentage of the agents, removed ones included; None allows as many as the
    # service has in its largest data centre.
    percent: int | None

    def choose_removals(
        self,
        agents: Collection[Agent],
        silent_since_ms: Mapping[str, int],
        recent: Collection[Removal],
        now_ms: int,
    ) -> list[Agent]:
        """Return the silent agents of one service to remove now.

        `silent_since_ms` gives the time of the last heartbeat of each silent agent by
        name; `recent` are earlier removals of this service. Agents that have been
        silent the longest are removed first.
        """
        working = [agent for agent in agents if not agent.draining]
        silent = [agent for agent in working if agent.name in silent_since_ms]
        names = {agent.name for agent in agents}
        recent_removals = [
            item
            for item in recent
            if now_ms - item.at_ms < WINDOW_MS and item.name not in names
        ]
        if len(silent) == len(working):
            return []
        allowed = self.get_removal_limit(working, recent_removals) - len(
            recent_removals
        )
        ordered = sorted(
            silent, key=lambda agent: (silent_since_ms[agent.name], agent.name)
        )
        return ordered[: max(allowed, 0)]

    def get_removal_limit(self, agents: list[Agent], recent: list[Removal]) -> int:
        """Return how many agents may be removed within the window."""
        if self.percent is not None:
            return math.floor((len(agents) + len(recent)) * self.percent / PERCENT)
        sizes = Counter(agent.data_centre for agent in agents)
        sizes.update(removal.data_centre for removal in recent)
        return max(sizes.values(), default=0)
