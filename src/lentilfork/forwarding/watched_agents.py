"""Choice of the watched agents such that each agent is watched by equally many.

A server gets flows from the owners that watch its agent. In a random sample, some
agents are watched by no other and stay idle while the rest are busy. Here the agents of
each data centre form a ring in the order of their hashes, and each watches those at
fixed distances.
"""

from collections.abc import Collection
from collections.abc import Sequence
from itertools import chain
from typing import Final

import xxhash

from lentilfork.forwarding.roster import AgentRecord

__all__ = ["choose_evenly"]

# Agents watched in the same data centre and in all others, as in `load_exchange`.
NEARBY: Final = 4
REMOTE: Final = 3

Ring = list[AgentRecord]


def choose_evenly(
    name: str,
    data_centre: str,
    agents: Sequence[AgentRecord],
    evacuated: Collection[str] = (),
) -> list[AgentRecord]:
    """Return the agents whose load the agent `name` follows.

    Agents that accept no flows, or in an evacuated data centre, are chosen only where
    there are too few others.
    """
    available = [
        agent
        for agent in agents
        if agent.is_available
        and agent.name != name
        and agent.data_centre not in evacuated
    ]
    rings = make_rings(available)
    ring = rings.pop(data_centre, [])
    # Neighbours have different positions also while none of them is available.
    own = [agent for agent in agents if agent.data_centre == data_centre]
    remote_position = find_position(name, own)
    nearby = choose_nearby(ring, find_position(name, ring))
    remote = choose_remote(rings, remote_position, NEARBY + REMOTE - len(nearby))
    chosen = nearby + remote
    names = {agent.name for agent in chosen} | {name}
    others = sorted(
        (agent for agent in agents if agent.name not in names),
        key=lambda agent: (not agent.is_available, hash_position(name + agent.name)),
    )
    return chosen + others[: NEARBY + REMOTE - len(chosen)]


def hash_position(name: str) -> int:
    """Return the place of an agent in its ring."""
    return xxhash.xxh3_64_intdigest(name.encode())


def make_rings(agents: Sequence[AgentRecord]) -> dict[str, Ring]:
    """Return the agents of each data centre in the order of their hashes."""
    rings: dict[str, Ring] = {}
    for agent in sorted(agents, key=lambda item: hash_position(item.name)):
        rings.setdefault(agent.data_centre, []).append(agent)
    return rings


def find_position(name: str, ring: Ring) -> int:
    """Return the index at which an agent would stand in a ring of the others."""
    place = hash_position(name)
    return sum(hash_position(agent.name) < place for agent in ring)


def choose_nearby(ring: Ring, position: int) -> list[AgentRecord]:
    """Return the agents at growing distances after a position.

    With distances in geometric progression, load spreads to all agents in a few steps.
    """
    distances: list[int] = []
    for number in range(min(NEARBY, len(ring))):
        wanted = round(len(ring) ** (number / NEARBY))
        distances.append(max(wanted, distances[-1] + 1 if distances else 1))
    return [ring[(position + distance - 1) % len(ring)] for distance in distances]


def choose_remote(
    rings: dict[str, Ring], position: int, count: int
) -> list[AgentRecord]:
    """Return agents of the other data centres, in turn, starting at the position."""
    ordered = [rings[name] for name in sorted(rings)]
    total = sum(map(len, ordered))
    chosen: list[AgentRecord] = []
    for number in range(min(count, total)):
        # Neighbours in the own ring divide each other ring among themselves.
        first = (position + number) % len(ordered)
        in_turn = chain(ordered[first:], ordered[:first])
        ring = next(ring for ring in in_turn if not all(a in chosen for a in ring))
        index = position // len(ordered) + number * len(ring) // len(ordered)
        rotated = (ring[(index + step) % len(ring)] for step in range(len(ring)))
        chosen.append(next(agent for agent in rotated if agent not in chosen))
    return chosen
