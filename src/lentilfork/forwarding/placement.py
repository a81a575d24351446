"""Selection of the agent that a new flow is offered to.

A flow is offered to the agent whose answer is expected first, given its service time,
the requests ahead of the flow, its failure rate and its distance. Only a few agents
are compared, in an order that depends on the flow: if every owner compared all
agents, all would send their flows to the same idle agent before its next load report.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import islice
from typing import Final

from lentilfork.forwarding.loads import LoadTable
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.roster import AgentRecord

__all__ = ["Choice", "choose_agent", "find_earliest"]

# Added to the estimate of an agent in another data centre, so that a nearer agent is
# preferred if both answers are expected at about the same time.
DISTANCE_COST_S: Final = 0.003
# Cost of a failed request, which uses up one of the caller's three tries and often
# fails for good. At a failure rate of one tenth, a server is avoided until the others
# have a queue of some requests.
FAILURE_COST_S: Final = 0.5
# Agents compared for one flow, the first ones in rendezvous order. Agents in the data
# centre of the flow's balancer come first; the others take load that its data centre
# has no capacity for.
FIRST_CANDIDATES: Final = 3
REMOTE_CANDIDATES: Final = 2


@dataclass(frozen=True, slots=True)
class Choice:
    """The agent to offer a flow to, with its estimate."""

    # None if no agent can accept the flow.
    agent: AgentRecord | None
    # Expected time to the answer in seconds; 0 without an agent.
    expected_s: float
    # Whether the agent has a slot in which the request would run immediately.
    has_free_slot: bool = False
    # Why the flow leaves its data centre; "" if it stays, or if that is not known.
    crossing: str = ""


def choose_agent(
    candidates: Sequence[AgentRecord],
    ranked: Sequence[AgentRecord],
    loads: LoadTable,
    ingress: int,
    excluded: Collection[str],
    now: float,
    *,
    all_agents: bool = False,
    evacuated: Collection[str] = (),
) -> Choice:
    """Return the agent whose answer to a new flow is expected first.

    `candidates` are the agents whose load is known and `ranked` all agents, both in the
    flow's rendezvous order. The first few candidates are compared, or every one if
    `all_agents` is set. If none is usable, all agents are considered; those that seem
    unusable only if no other is left, since their load reports may be out of date.
    Agents in the data centres `evacuated` are never returned.
    """
    if evacuated:
        candidates = [
            agent for agent in candidates if agent.data_centre not in evacuated
        ]
        ranked = [agent for agent in ranked if agent.data_centre not in evacuated]
    for agents in (candidates, ranked):
        usable = (
            agent
            for agent in agents
            if agent.is_available
            and agent.name not in excluded
            and loads.is_usable(agent.name, now)
        )
        if all_agents:
            compared = list(usable)
        else:
            compared = list(islice(usable, FIRST_CANDIDATES))
            remote = (agent for agent in usable if is_remote(agent, ingress))
            compared += islice(remote, REMOTE_CANDIDATES)
        if compared:
            return find_earliest(compared, loads, ingress)
    others = [agent for agent in ranked if agent.name not in excluded]
    available = [agent for agent in others if agent.is_available]
    present = [agent for agent in others if not agent.lost and not agent.leaving]
    return find_earliest(available or present, loads, ingress)


def is_remote(agent: AgentRecord, ingress: int) -> bool:
    """Return whether an agent is in another data centre than the balancer."""
    return hash_name(agent.data_centre) != ingress


def find_earliest(
    agents: Iterable[AgentRecord], loads: LoadTable, ingress: int
) -> Choice:
    """Return the agent with the lowest expected cost, with its expected time."""
    best: AgentRecord | None = None
    best_s, expected_s = float("inf"), 0.0
    for agent in agents:
        load = loads.get_or_create(agent.name)
        cost_s = load.estimate_s()
        cost_s += is_remote(agent, ingress) * DISTANCE_COST_S
        cost_s += load.failed_share * FAILURE_COST_S
        if cost_s < best_s:
            best, best_s, expected_s = agent, cost_s, load.estimate_s()
    if best is None:
        return Choice(None, 0.0)
    return Choice(best, expected_s, loads.get_or_create(best.name).has_free_slot)
