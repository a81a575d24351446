"""Choice of the agent for a new request.

While some agents have a free slot, one of them is drawn with a probability in
proportion to its speed, so that all are equally busy whatever their speeds. When
none is free, the request goes where the expected wait is shortest. Draining agents
and those that already failed the request are left out.
"""

import random
from collections.abc import Collection
from collections.abc import Sequence
from typing import Final

from lentilfork.routing.loads import LoadTable
from lentilfork.state.model import Agent

__all__ = ["MAXIMUM_CANDIDATES", "choose_agent"]

# Agents compared for one request; more bring little and cost time.
MAXIMUM_CANDIDATES: Final = 16


def choose_agent(
    agents: Sequence[Agent],
    loads: LoadTable,
    excluded: Collection[str],
    now: float,
    rng: random.Random,
) -> Agent | None:
    """Return the agent to serve a new request; None if none may.

    `now` is the monotonic clock in seconds.
    """
    candidates = [
        agent for agent in agents if not agent.draining and agent.name not in excluded
    ]
    if not candidates:
        return None
    if len(candidates) > MAXIMUM_CANDIDATES:
        candidates = rng.sample(candidates, MAXIMUM_CANDIDATES)
    free = [agent for agent in candidates if loads.has_free_slot(agent, now)]
    if free:
        speeds = [loads.estimate_speed(agent.name) for agent in free]
        return rng.choices(free, speeds)[0]
    return min(candidates, key=lambda agent: loads.estimate_wait_us(agent, now))
