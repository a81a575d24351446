"""How a change leads to the next generation.

`apply_change` is a function of the state and the change alone, so that every
controller that applies the same log computes the same states and answers. Time
comes from `time_ms` of the change, which the leader sets.

A change that took effect raises the generation by one. One that was refused
leaves the cluster state as it is; its answer is remembered all the same, so that
a resend gets the first answer again.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import Final
from typing import TypeVar

from lentilfork.schema import state_pb2
from lentilfork.state.codec import decode_agent
from lentilfork.state.codec import decode_balancer
from lentilfork.state.codec import decode_claim_shard
from lentilfork.state.codec import decode_controller
from lentilfork.state.codec import decode_preset
from lentilfork.state.codec import decode_service
from lentilfork.state.model import ClusterState
from lentilfork.state.replicated import AGENT_NAMES_KEPT
from lentilfork.state.replicated import HISTORY_KEPT
from lentilfork.state.replicated import INCARNATIONS_KEPT
from lentilfork.state.replicated import OPERATOR_RESULTS_KEPT
from lentilfork.state.replicated import SYSTEM_RESULTS_KEPT
from lentilfork.state.replicated import ReplicatedState
from lentilfork.state.replicated import bound
from lentilfork.state.validation import check_agent
from lentilfork.state.validation import check_claim_shard
from lentilfork.state.validation import check_name
from lentilfork.state.validation import check_preset
from lentilfork.state.validation import check_service

__all__ = ["apply_change", "describe_change", "get_subject", "get_version"]

ACTIVE_PRESET: Final = "active-preset"

K = TypeVar("K")
V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class Effect:
    """What a change would do: the next state, or why it is refused."""

    state: ReplicatedState
    # Empty when the change is valid.
    problem: str = ""


def refuse(state: ReplicatedState, problem: str) -> Effect:
    """Return the effect of an invalid change."""
    return Effect(state, problem)


def change_cluster(state: ReplicatedState, **fields: object) -> Effect:
    """Return the effect of replacing fields of the cluster state."""
    # The names and types of the fields are those of ClusterState.
    cluster = replace(state.cluster, **fields)  # type: ignore[arg-type]
    return Effect(replace(state, cluster=cluster))


def omit(items: Mapping[K, V], key: K) -> dict[K, V]:
    """Return `items` without one key."""
    return {other: item for other, item in items.items() if other != key}


def apply_service(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Create or replace a service; the id of an existing one stays."""
    message = change.apply_service
    problem = check_service(state.cluster, message)
    if problem:
        return refuse(state, problem)
    known = state.cluster.services.get(message.name)
    service = replace(
        decode_service(message),
        id=known.id if known else state.next_service_id,
        version=state.cluster.generation + 1,
    )
    following = state.next_service_id + (0 if known else 1)
    services = state.cluster.services | {service.name: service}
    return change_cluster(replace(state, next_service_id=following), services=services)


def remove_service(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Remove a service; its agents stay and serve it if it is applied again."""
    name = change.remove_service
    if name not in state.cluster.services:
        return refuse(state, f"no service named {name!r}")
    return change_cluster(state, services=omit(state.cluster.services, name))


def apply_preset(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Create or replace a preset."""
    problem = check_preset(change.apply_preset)
    if problem:
        return refuse(state, problem)
    version = state.cluster.generation + 1
    preset = replace(decode_preset(change.apply_preset), version=version)
    return change_cluster(state, presets=state.cluster.presets | {preset.name: preset})


def remove_preset(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Remove a preset that is not in force."""
    name = change.remove_preset
    if name not in state.cluster.presets:
        return refuse(state, f"no preset named {name!r}")
    if name == state.cluster.active_preset:
        return refuse(state, f"preset {name!r} is in force")
    return change_cluster(state, presets=omit(state.cluster.presets, name))


def use_preset(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Put a preset in force."""
    name = change.use_preset
    if name not in state.cluster.presets:
        known = ", ".join(sorted(state.cluster.presets))
        return refuse(state, f"no preset named {name!r}; there are {known}")
    return change_cluster(
        state,
        active_preset=name,
        active_preset_version=state.cluster.generation + 1,
    )


def check_incarnation(state: ReplicatedState, agent: state_pb2.Agent) -> str:
    """Check that an agent's incarnation is not one that a later one replaced."""
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
    """Put an agent; a new incarnation replaces the former, never the reverse."""
    message = change.put_agent
    problem = check_agent(message) or check_incarnation(state, message)
    if problem:
        return refuse(state, problem)
    current = state.cluster.agents.get(message.name)
    same = current is not None and current.incarnation == message.incarnation
    joined = current.joined if current and same else state.cluster.generation + 1
    agent = replace(decode_agent(message), joined=joined)
    known = state.incarnations.get(agent.name, ())
    if agent.incarnation not in known:
        known = (*known, agent.incarnation)[-INCARNATIONS_KEPT:]
    # The name moves to the end: names not heard of for longest are dropped first.
    incarnations = omit(state.incarnations, agent.name) | {agent.name: known}
    return change_cluster(
        replace(state, incarnations=bound(incarnations, AGENT_NAMES_KEPT)),
        agents=state.cluster.agents | {agent.name: agent},
    )


def remove_agent(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Remove an agent if it is still at the incarnation named."""
    name, incarnation = change.remove_agent.agent, change.remove_agent.incarnation
    agent = state.cluster.agents.get(name)
    if agent is None or agent.incarnation != incarnation:
        return refuse(state, f"no agent {name!r} with incarnation {incarnation}")
    return change_cluster(state, agents=omit(state.cluster.agents, name))


def put_balancer(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Put a balancer."""
    balancer = decode_balancer(change.put_balancer)
    problem = check_name("balancer", balancer.name)
    if problem:
        return refuse(state, problem)
    balancers = state.cluster.balancers | {balancer.name: balancer}
    return change_cluster(state, balancers=balancers)


def remove_balancer(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Remove a balancer if it is still at the incarnation named."""
    voter = change.remove_balancer
    balancer = state.cluster.balancers.get(voter.agent)
    if balancer is None or balancer.incarnation != voter.incarnation:
        text = f"no balancer {voter.agent!r} with incarnation {voter.incarnation}"
        return refuse(state, text)
    return change_cluster(state, balancers=omit(state.cluster.balancers, voter.agent))


def put_claim_shard(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Put the voters of a claim shard; none at all removes the shard."""
    shard = decode_claim_shard(change.put_claim_shard)
    current = state.cluster.claim_shards.get(shard.name)
    problem = check_claim_shard(current, shard)
    if problem:
        return refuse(state, problem)
    others = omit(state.cluster.claim_shards, shard.name)
    return change_cluster(
        state, claim_shards=others | ({shard.name: shard} if shard.voters else {})
    )


def put_controllers(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Put the whole set of controllers.

    The leader refuses a set that is unsafe before it is written to the log (see
    `agreement.voters`), so one that stands in the log is always applied.
    """
    controllers = map(decode_controller, change.put_controllers.controllers)
    return change_cluster(state, controllers={item.name: item for item in controllers})


@dataclass(frozen=True, slots=True)
class ChangeKind:
    """How one kind of change is applied, named and described."""

    apply: Callable[[ReplicatedState, state_pb2.Change], Effect]
    # What the change concerns, such as "service/chairs".
    get_subject: Callable[[state_pb2.Change], str]
    # Verb phrase for the history.
    verb: str


CHANGE_KINDS: Final[Mapping[str, ChangeKind]] = {
    "apply_service": ChangeKind(
        apply_service, lambda change: f"service/{change.apply_service.name}", "apply"
    ),
    "remove_service": ChangeKind(
        remove_service, lambda change: f"service/{change.remove_service}", "remove"
    ),
    "apply_preset": ChangeKind(
        apply_preset, lambda change: f"preset/{change.apply_preset.name}", "apply"
    ),
    "remove_preset": ChangeKind(
        remove_preset, lambda change: f"preset/{change.remove_preset}", "remove"
    ),
    "use_preset": ChangeKind(use_preset, lambda _change: ACTIVE_PRESET, "use"),
    "put_agent": ChangeKind(
        put_agent, lambda change: f"agent/{change.put_agent.name}", "put"
    ),
    "remove_agent": ChangeKind(
        remove_agent, lambda change: f"agent/{change.remove_agent.agent}", "remove"
    ),
    "put_balancer": ChangeKind(
        put_balancer, lambda change: f"balancer/{change.put_balancer.name}", "put"
    ),
    "remove_balancer": ChangeKind(
        remove_balancer,
        lambda change: f"balancer/{change.remove_balancer.agent}",
        "remove",
    ),
    "put_claim_shard": ChangeKind(
        put_claim_shard,
        lambda change: (
            f"claim-shard/{change.put_claim_shard.service}/"
            f"{change.put_claim_shard.index}"
        ),
        "put",
    ),
    "put_controllers": ChangeKind(
        put_controllers, lambda _change: "controllers", "put"
    ),
}


def get_subject(change: state_pb2.Change) -> str:
    """Return what a change concerns, such as "service/chairs"; "" for nothing."""
    kind = CHANGE_KINDS.get(change.WhichOneof("kind") or "")
    return kind.get_subject(change) if kind else ""


def describe_change(change: state_pb2.Change) -> str:
    """Return one line for the history, such as "apply service/chairs"."""
    name = change.WhichOneof("kind") or ""
    kind = CHANGE_KINDS.get(name)
    if kind is None:
        return "nothing"
    detail = f" {change.use_preset}" if name == "use_preset" else ""
    return f"{kind.verb} {kind.get_subject(change)}{detail}"


def get_version(cluster: ClusterState, subject: str) -> int:
    """Return the version of a subject: 0 if it does not exist or has none."""
    if subject == ACTIVE_PRESET:
        return cluster.active_preset_version
    kind, _, name = subject.partition("/")
    if kind == "service" and name in cluster.services:
        return cluster.services[name].version
    if kind == "preset" and name in cluster.presets:
        return cluster.presets[name].version
    return 0


def make_conflict(
    state: ReplicatedState, change: state_pb2.Change, version: int
) -> state_pb2.ChangeResult:
    """Return the answer to a change that expected another version."""
    subject = get_subject(change)
    return state_pb2.ChangeResult(
        change_id=change.change_id,
        outcome=state_pb2.VERSION_CONFLICT,
        generation=state.cluster.generation,
        message=(
            f"{subject} is at version {version}, expected {change.expected_version}"
        ),
        # The winner may be older than the history kept: its generation remains.
        conflict=state.find_last_entry(subject)
        or state_pb2.HistoryEntry(generation=version, subject=subject),
    )


def make_invalid(
    state: ReplicatedState, change: state_pb2.Change, problem: str
) -> state_pb2.ChangeResult:
    """Return the answer to a change that cannot be applied."""
    return state_pb2.ChangeResult(
        change_id=change.change_id,
        outcome=state_pb2.INVALID,
        generation=state.cluster.generation,
        message=problem,
    )


def add_history(state: ReplicatedState, change: state_pb2.Change) -> ReplicatedState:
    """Return the state with an operator's accepted change added to its history."""
    entry = state_pb2.HistoryEntry(
        generation=state.cluster.generation,
        change_id=change.change_id,
        operator=change.operator,
        time_ms=change.time_ms,
        summary=describe_change(change),
        subject=get_subject(change),
    )
    entries = state.entries.add(entry.generation, entry, HISTORY_KEPT)
    return replace(state, entries=entries)


def remember_result(
    state: ReplicatedState, change: state_pb2.Change, result: state_pb2.ChangeResult
) -> ReplicatedState:
    """Return the state with the first answer to a change kept."""
    if not change.change_id:
        return state
    if change.operator:
        operator_results = state.operator_results.add(
            change.change_id, result, OPERATOR_RESULTS_KEPT
        )
        return replace(state, operator_results=operator_results)
    system_results = state.system_results.add(
        change.change_id, result, SYSTEM_RESULTS_KEPT
    )
    return replace(state, system_results=system_results)


def decide(
    state: ReplicatedState, change: state_pb2.Change
) -> tuple[ReplicatedState, state_pb2.ChangeResult]:
    """Return the next state and the answer to a change not seen before."""
    kind = CHANGE_KINDS.get(change.WhichOneof("kind") or "")
    if kind is None:
        return state, make_invalid(state, change, "the change asks for nothing")
    version = get_version(state.cluster, kind.get_subject(change))
    if change.HasField("expected_version") and change.expected_version != version:
        return state, make_conflict(state, change, version)
    effect = kind.apply(state, change)
    if effect.problem:
        return state, make_invalid(state, change, effect.problem)
    generation = state.cluster.generation + 1
    cluster = replace(effect.state.cluster, generation=generation)
    following = replace(effect.state, cluster=cluster)
    if change.operator:
        following = add_history(following, change)
    result = state_pb2.ChangeResult(
        change_id=change.change_id,
        outcome=state_pb2.ACCEPTED,
        generation=generation,
    )
    return following, result


def apply_change(
    state: ReplicatedState, change: state_pb2.Change
) -> tuple[ReplicatedState, state_pb2.ChangeResult]:
    """Return the state after a change and the answer to it.

    A change whose id was answered before changes nothing and gets its first
    answer again.
    """
    known = state.find_result(change.change_id)
    if known is not None:
        return state, known
    following, result = decide(state, change)
    return remember_result(following, change, result), result
