"""What a change would do, and the few ways in which changes do it."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import TypeVar

from lentilfork.state.replicated import ReplicatedState

__all__ = ["Effect", "change_cluster", "refuse", "remove_key"]

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


def remove_key(items: Mapping[K, V], key: K) -> dict[K, V]:
    """Return `items` without one key."""
    return {other: item for other, item in items.items() if other != key}
