"""Changes the system makes: agents, balancers, claim shards and controllers."""

from dataclasses import replace

from lentilfork.schema import state_pb2
from lentilfork.state.codec import decode_agent
from lentilfork.state.codec import decode_balancer
from lentilfork.state.codec import decode_claim_shard
from lentilfork.state.codec import decode_controller
from lentilfork.state.effects import Effect
from lentilfork.state.effects import change_cluster
from lentilfork.state.effects import refuse
from lentilfork.state.effects import remove_key
from lentilfork.state.replicated import AGENT_NAMES_KEPT
from lentilfork.state.replicated import INCARNATIONS_KEPT
from lentilfork.state.replicated import ReplicatedState
from lentilfork.state.replicated import drop_oldest
from lentilfork.state.validation import check_agent
from lentilfork.state.validation import check_claim_shard
from lentilfork.state.validation import check_name

__all__ = [
    "put_agent",
    "put_balancer",
    "put_claim_shard",
    "put_controllers",
    "remove_agent",
    "remove_balancer",
]


def check_incarnation(state: ReplicatedState, agent: state_pb2.Agent) -> str:
    """Check that an agent's incarnation has not been replaced by a later one.

    Returns the problem, or an empty text.
    """
    known = state.incarnations.get(agent.name, ())
    if agent.incarnation in known[:-1]:
        return (
            f"incarnation {agent.incarnation} of agent {agent.name} "
            f"was replaced by {known[-1]}"
        )
    current = state.cluster.agents.get(agent.name)
    if current is None or current.incarnation == agent.incarnation:
        return ""
    if 0 < agent.joined <= current.joined:
        return (
            f"incarnation {agent.incarnation} of agent {agent.name} joined "
            f"before {current.incarnation}"
        )
    return ""


def put_agent(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Add or replace an agent; a replaced incarnation is refused."""
    message = change.put_agent
    problem = check_agent(message) or check_incarnation(state, message)
    if problem:
        return refuse(state, problem)
    current = state.cluster.agents.get(message.name)
    same_incarnation = (
        current is not None and current.incarnation == message.incarnation
    )
    joined = (
        current.joined if current and same_incarnation else state.cluster.generation + 1
    )
    agent = replace(decode_agent(message), joined=joined)
    known = state.incarnations.get(agent.name, ())
    if agent.incarnation not in known:
        known = (*known, agent.incarnation)[-INCARNATIONS_KEPT:]
    # The name moves to the end, so that the least recently put names are dropped first.
    incarnations = remove_key(state.incarnations, agent.name) | {agent.name: known}
    return change_cluster(
        replace(state, incarnations=drop_oldest(incarnations, AGENT_NAMES_KEPT)),
        agents=state.cluster.agents | {agent.name: agent},
    )


def remove_agent(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Remove an agent if it has the given incarnation."""
    name, incarnation = change.remove_agent.agent, change.remove_agent.incarnation
    agent = state.cluster.agents.get(name)
    if agent is None or agent.incarnation != incarnation:
        return refuse(state, f"no agent {name!r} with incarnation {incarnation}")
    return change_cluster(state, agents=remove_key(state.cluster.agents, name))


def put_balancer(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Add or replace a balancer."""
    balancer = decode_balancer(change.put_balancer)
    problem = check_name("balancer", balancer.name)
    if problem:
        return refuse(state, problem)
    balancers = state.cluster.balancers | {balancer.name: balancer}
    return change_cluster(state, balancers=balancers)


def remove_balancer(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Remove a balancer if it has the given incarnation."""
    voter = change.remove_balancer
    balancer = state.cluster.balancers.get(voter.agent)
    if balancer is None or balancer.incarnation != voter.incarnation:
        text = f"no balancer {voter.agent!r} with incarnation {voter.incarnation}"
        return refuse(state, text)
    return change_cluster(
        state, balancers=remove_key(state.cluster.balancers, voter.agent)
    )


def put_claim_shard(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Add or replace a claim shard; an empty list of voters removes it."""
    shard = decode_claim_shard(change.put_claim_shard)
    current = state.cluster.claim_shards.get(shard.name)
    problem = check_claim_shard(current, shard)
    if problem:
        return refuse(state, problem)
    others = remove_key(state.cluster.claim_shards, shard.name)
    return change_cluster(
        state, claim_shards=others | ({shard.name: shard} if shard.voters else {})
    )


def put_controllers(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Replace the whole set of controllers.

    The leader refuses an unsafe set before writing it to the log (see
    `agreement.voters`), so a set in the log is always applied.
    """
    controllers = map(decode_controller, change.put_controllers.controllers)
    return change_cluster(state, controllers={item.name: item for item in controllers})
