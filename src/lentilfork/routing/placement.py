"""Selection of the agent for a new request.

Among the agents with a free slot, one is picked at random, weighted by speed, so that
all agents are equally busy whatever their speeds. If no slot is free, the request goes
to the agent with the shortest expected wait. Draining agents and agents that already
failed to serve the request are excluded.
"""

import random
from collections.abc import Collection
from collections.abc import Sequence
from typing import Final

from lentilfork.routing.loads import LoadTable
from lentilfork.state.model import Agent

__all__ = ["MAXIMUM_CANDIDATES", "choose_agent"]

# Agents compared for one request; comparing more improves the choice little and costs
# time.
MAXIMUM_CANDIDATES: Final = 16


def choose_agent(
    agents: Sequence[Agent],
    loads: LoadTable,
    excluded: Collection[str],
    now: float,
    rng: random.Random,
    evacuated: Collection[str] = (),
) -> Agent | None:
    """Return the agent to serve a new request; None if no agent may serve it.

    `excluded` are names of agents and `evacuated` those of data centres that get no new
    requests; `now` is on the monotonic clock, in seconds.
    """
    candidates = [
        agent
        for agent in agents
        if not agent.draining
        and agent.name not in excluded
        and agent.data_centre not in evacuated
    ]
    if not candidates:
        return None
    if len(candidates) > MAXIMUM_CANDIDATES:
        candidates = rng.sample(candidates, MAXIMUM_CANDIDATES)
    free_agents = [agent for agent in candidates if loads.has_free_slot(agent, now)]
    if free_agents:
        speeds = [loads.estimate_speed(agent.name) for agent in free_agents]
        return rng.choices(free_agents, speeds)[0]
    return min(candidates, key=lambda agent: loads.estimate_wait_us(agent, now))
