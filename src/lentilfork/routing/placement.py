"""Choice of the agent for a new request.

The owner of a bucket sends each new request to the agent with the shortest
expected wait. Draining agents and those that already failed the request are left
out; among equals the choice is random, so that owners do not herd.
"""

import random
from collections.abc import Collection
from collections.abc import Sequence
from typing import Final

from lentilfork.routing.loads import LoadBook
from lentilfork.state.model import Agent

__all__ = ["MAXIMUM_CANDIDATES", "choose_agent"]

# Agents compared for one request; more bring little and cost time.
MAXIMUM_CANDIDATES: Final = 16


def choose_agent(
    agents: Sequence[Agent],
    loads: LoadBook,
    excluded: Collection[str],
    now: float,
    chance: random.Random,
) -> Agent | None:
    """Return the agent to serve a new request; None if none may.

    `now` is the monotonic clock in seconds.
    """
    able = [
        agent for agent in agents if not agent.draining and agent.name not in excluded
    ]
    if not able:
        return None
    if len(able) > MAXIMUM_CANDIDATES:
        able = chance.sample(able, MAXIMUM_CANDIDATES)

    def rate(agent: Agent) -> tuple[float, float]:
        wait = loads.estimate_wait_us(agent.name, agent.slots, now)
        return wait, chance.random()

    return min(able, key=rate)
