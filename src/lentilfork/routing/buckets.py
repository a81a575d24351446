"""Buckets of flows and the agent that owns each.

Every process derives the same owner from the same generation: rendezvous hashing
gives each bucket to the live agent with the highest score, so a change of one
agent moves only that agent's share.
"""

from collections.abc import Sequence

import xxhash

from lentilfork.buckets import BUCKET_COUNT
from lentilfork.buckets import find_bucket
from lentilfork.state.model import Agent

__all__ = ["BUCKET_COUNT", "find_bucket", "rank_agents", "score_agent"]


def score_agent(agent: Agent, bucket: int) -> int:
    """Return the rendezvous score of an agent for a bucket."""
    return xxhash.xxh3_64_intdigest(agent.name.encode(), seed=bucket)


def rank_agents(agents: Sequence[Agent], bucket: int) -> list[Agent]:
    """Return the agents in the order in which they would own the bucket.

    Draining agents come last, so that they own nothing while others live.
    """
    return sorted(
        agents,
        key=lambda agent: (agent.draining, -score_agent(agent, bucket), agent.name),
    )
