"""Which agent a new flow is offered to, and when it is refused.

The choice is the agent where the answer is expected first: its service time, the
work ahead of it in its slots and the way there. Only a few agents are compared, in
an order of the flow's own: owners that all knew the same idle agent would send it
their flows at the same moment, before its next report.
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

__all__ = ["Choice", "choose_agent"]

# What the way to another data centre costs in the estimate: it decides between
# agents whose answers are expected at about the same time.
DISTANCE_COST_S: Final = 0.003
# What a failed request costs: a try of three, and often the request. At a tenth of
# failures a server is passed by until the others have a queue of some requests.
FAILURE_COST_S: Final = 0.5
# Agents compared for one flow, the first ones in rendezvous order: those of its data
# centre come first, and some of others take what a data centre has too much of.
NEAR_AGENTS: Final = 3
FAR_AGENTS: Final = 2


@dataclass(frozen=True, slots=True)
class Choice:
    """Where a flow is offered."""

    # None: no agent can take it.
    agent: AgentRecord | None
    # Time to the answer as expected; 0 without an agent.
    expected_s: float
    # A slot is free there.
    has_free_slot: bool = False


def choose_agent(
    ranked: Sequence[AgentRecord],
    loads: LoadTable,
    ingress: int,
    excluded: Collection[str],
    now: float,
    *,
    all_agents: bool = False,
) -> Choice:
    """Return where the answer to a new flow is expected first.

    A few agents in the flow's own order are looked at, or all of them `everywhere`.
    Agents that seem unusable are taken only while no other is left, since what is
    known of them may be old.
    """
    candidates = [agent for agent in ranked if agent.name not in excluded]
    usable = (
        agent
        for agent in candidates
        if agent.is_available and loads.is_usable(agent.name, now)
    )
    if all_agents:
        compared = list(usable)
    else:
        compared = list(islice(usable, NEAR_AGENTS))
        distant = (agent for agent in usable if is_far(agent, ingress))
        compared += islice(distant, FAR_AGENTS)
    available = [agent for agent in candidates if agent.is_available]
    present = [agent for agent in candidates if not agent.lost and not agent.leaving]
    return find_earliest(compared or available or present, loads, ingress)


def is_far(agent: AgentRecord, ingress: int) -> bool:
    """Tell whether an agent is in another data centre than the balancer."""
    return hash_name(agent.data_centre) != ingress


def find_earliest(
    agents: Iterable[AgentRecord], loads: LoadTable, ingress: int
) -> Choice:
    """Return the agent whose answer is expected first."""
    chosen: AgentRecord | None = None
    best_s, expected_s = float("inf"), 0.0
    for agent in agents:
        load = loads.find(agent.name)
        cost_s = load.estimate_s()
        cost_s += is_far(agent, ingress) * DISTANCE_COST_S
        cost_s += load.failed_share * FAILURE_COST_S
        if cost_s < best_s:
            chosen, best_s, expected_s = agent, cost_s, load.estimate_s()
    if chosen is None:
        return Choice(None, 0.0)
    return Choice(chosen, expected_s, loads.find(chosen.name).has_free_slot)
