"""Effects of changes, and helpers to make them."""

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
    """The effect of a change: the next state, or why the change is refused."""

    state: ReplicatedState
    # Why the change is refused; empty if it is valid. Replicated as part of the result.
    problem: str = ""


def refuse(state: ReplicatedState, problem: str) -> Effect:
    """Return the effect of an invalid change: an unchanged state and the problem."""
    return Effect(state, problem)


def change_cluster(state: ReplicatedState, **fields: object) -> Effect:
    """Return the effect of replacing fields of the cluster state."""
    # The names and types of the fields are those of ClusterState.
    cluster = replace(state.cluster, **fields)  # type: ignore[arg-type]
    return Effect(replace(state, cluster=cluster))


def remove_key(items: Mapping[K, V], key: K) -> dict[K, V]:
    """Return a copy of `items` without one key."""
    return {other: item for other, item in items.items() if other != key}
