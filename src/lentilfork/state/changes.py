"""Application of a change to the replicated state.

`apply_change` depends only on the state and the change (it is deterministic), so every
controller that applies the same log computes the same states and results. Time is taken
from `time_ms` of the change, which the leader sets.

A change that takes effect raises the generation (revision of the replicated state) by
one. A change that is refused leaves the cluster state unchanged. The result is stored
in both cases, so that a change that is sent again gets its first result.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import Final

from lentilfork.schema import state_pb2
from lentilfork.state.effects import Effect
from lentilfork.state.member_changes import put_agent
from lentilfork.state.member_changes import put_balancer
from lentilfork.state.member_changes import put_claim_shard
from lentilfork.state.member_changes import put_controllers
from lentilfork.state.member_changes import remove_agent
from lentilfork.state.member_changes import remove_balancer
from lentilfork.state.model import ClusterState
from lentilfork.state.operator_changes import apply_preset
from lentilfork.state.operator_changes import apply_service
from lentilfork.state.operator_changes import put_evacuation
from lentilfork.state.operator_changes import put_route_table
from lentilfork.state.operator_changes import remove_preset
from lentilfork.state.operator_changes import remove_service
from lentilfork.state.operator_changes import use_preset
from lentilfork.state.replicated import HISTORY_KEPT
from lentilfork.state.replicated import OPERATOR_RESULTS_KEPT
from lentilfork.state.replicated import SYSTEM_RESULTS_KEPT
from lentilfork.state.replicated import ReplicatedState

__all__ = ["apply_change", "describe_change", "get_subject", "get_version"]

ACTIVE_PRESET: Final = "active-preset"


@dataclass(frozen=True, slots=True)
class ChangeKind:
    """How one kind of change is applied and described."""

    apply: Callable[[ReplicatedState, state_pb2.Change], Effect]
    # What the change concerns, such as "service/chairs".
    get_subject: Callable[[state_pb2.Change], str]
    # Verb for the history, such as "apply".
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
    "put_route_table": ChangeKind(
        put_route_table, lambda _change: "route-table", "put"
    ),
    "put_controllers": ChangeKind(
        put_controllers, lambda _change: "controllers", "put"
    ),
    "put_evacuation": ChangeKind(
        put_evacuation,
        lambda change: f"evacuation/{change.put_evacuation.data_centre}",
        "put",
    ),
}


def get_subject(change: state_pb2.Change) -> str:
    """Return what a change concerns, such as "service/chairs"; "" if it is empty."""
    kind = CHANGE_KINDS.get(change.WhichOneof("kind") or "")
    return kind.get_subject(change) if kind else ""


def describe_change(change: state_pb2.Change) -> str:
    """Return one line for the history, such as "apply service/chairs"."""
    name = change.WhichOneof("kind") or ""
    kind = CHANGE_KINDS.get(name)
    if kind is None:
        return "nothing"
    detail = f" {change.use_preset}" if name == "use_preset" else ""
    verb = kind.verb
    if name == "put_evacuation":
        verb = "start" if change.put_evacuation.active else "end"
    return f"{verb} {kind.get_subject(change)}{detail}"


def get_version(cluster: ClusterState, subject: str) -> int:
    """Return the version of a subject; 0 if it does not exist or has no version."""
    if subject == ACTIVE_PRESET:
        return cluster.active_preset_version
    kind, _, name = subject.partition("/")
    if kind == "service" and name in cluster.services:
        return cluster.services[name].version
    if kind == "preset" and name in cluster.presets:
        return cluster.presets[name].version
    if kind == "evacuation" and name in cluster.evacuations:
        return cluster.evacuations[name].version
    return 0


def make_conflict(
    state: ReplicatedState, change: state_pb2.Change, version: int
) -> state_pb2.ChangeResult:
    """Return the result of a change that expected another version."""
    subject = get_subject(change)
    return state_pb2.ChangeResult(
        change_id=change.change_id,
        outcome=state_pb2.VERSION_CONFLICT,
        generation=state.cluster.generation,
        message=(
            f"{subject} is at version {version}, expected {change.expected_version}"
        ),
        # The change that won may have been dropped from the history; its generation is
        # still known.
        conflict=state.find_last_entry(subject)
        or state_pb2.HistoryEntry(generation=version, subject=subject),
    )


def make_invalid(
    state: ReplicatedState, change: state_pb2.Change, problem: str
) -> state_pb2.ChangeResult:
    """Return the result of a change that cannot be applied."""
    return state_pb2.ChangeResult(
        change_id=change.change_id,
        outcome=state_pb2.INVALID,
        generation=state.cluster.generation,
        message=problem,
    )


def append_history(state: ReplicatedState, change: state_pb2.Change) -> ReplicatedState:
    """Return the state with an operator's accepted change in its history."""
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


def store_result(
    state: ReplicatedState, change: state_pb2.Change, result: state_pb2.ChangeResult
) -> ReplicatedState:
    """Return the state with the first result of a change stored."""
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


def apply_new_change(
    state: ReplicatedState, change: state_pb2.Change
) -> tuple[ReplicatedState, state_pb2.ChangeResult]:
    """Return the next state and the result of a change that is not yet known."""
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
    next_state = replace(effect.state, cluster=cluster)
    if change.operator:
        next_state = append_history(next_state, change)
    result = state_pb2.ChangeResult(
        change_id=change.change_id,
        outcome=state_pb2.ACCEPTED,
        generation=generation,
    )
    return next_state, result


def apply_change(
    state: ReplicatedState, change: state_pb2.Change
) -> tuple[ReplicatedState, state_pb2.ChangeResult]:
    """Return the state after a change and the result of the change.

    A change whose id already has a stored result changes nothing and gets that result.
    """
    known = state.find_result(change.change_id)
    if known is not None:
        return state, known
    next_state, result = apply_new_change(state, change)
    return store_result(next_state, change, result), result
