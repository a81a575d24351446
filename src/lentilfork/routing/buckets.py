"""Hash buckets of flows and the agent that owns each bucket.

A bucket is a fixed share of all flows; its owner decides which agent serves them.
Owners are found by rendezvous hashing: each bucket belongs to the live agent with the
highest score. All processes derive the same owners from the same generation (revision
of the replicated state), and a change of one agent moves only that agent's buckets.
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
    """Return the agents by preference as owners of the bucket, best first.

    Draining agents come last, so that they own nothing while others are available.
    """
    return sorted(
        agents,
        key=lambda agent: (agent.draining, -score_agent(agent, bucket), agent.name),
    )
