"""How many silent agents of a service may be taken out at once.

Many agents that fall silent together are more likely cut off than dead, so the
first of them are taken out and the others are left in until time has passed. The
default lets one whole data centre of the service go. The last agents of a service
that are still heard are never outnumbered to nothing: when every agent is silent,
none is taken out.
"""

import math
from collections import Counter
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from lentilfork.state.model import Agent

__all__ = ["Removal", "SilenceLimit"]

# Agents taken out within this time count as taken out at once.
WINDOW_MS: Final = 30_000
PERCENT: Final = 100


@dataclass(frozen=True, slots=True)
class Removal:
    """An agent that was taken out for silence."""

    name: str
    data_centre: str
    at_ms: int


@dataclass(frozen=True, slots=True)
class SilenceLimit:
    """The part of a service's agents that may be taken out at once."""

    # Of the agents the service had; None: as many as its largest data centre has.
    percent: int | None

    def choose_removals(
        self,
        agents: Collection[Agent],
        silent_ms: Mapping[str, int],
        recent: Collection[Removal],
        now_ms: int,
    ) -> list[Agent]:
        """Return the silent agents of one service to take out now.

        `silent_ms` holds, by name, since when each silent agent is; `recent` are
        earlier removals of this service. Those silent the longest go first.
        """
        working = [agent for agent in agents if not agent.draining]
        silent = [agent for agent in working if agent.name in silent_ms]
        names = {agent.name for agent in agents}
        counted = [
            item
            for item in recent
            if now_ms - item.at_ms < WINDOW_MS and item.name not in names
        ]
        if len(silent) == len(working):
            return []
        allowed = self.count_allowed(working, counted) - len(counted)
        ordered = sorted(silent, key=lambda agent: (silent_ms[agent.name], agent.name))
        return ordered[: max(allowed, 0)]

    def count_allowed(self, agents: list[Agent], recent: list[Removal]) -> int:
        """Return how many agents may be out for silence at once."""
        if self.percent is not None:
            return math.floor((len(agents) + len(recent)) * self.percent / PERCENT)
        sizes = Counter(agent.data_centre for agent in agents)
        sizes.update(removal.data_centre for removal in recent)
        return max(sizes.values(), default=0)
