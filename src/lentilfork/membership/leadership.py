"""The view of the controllers' consensus that membership needs."""

from collections.abc import Callable
from dataclasses import dataclass

from lentilfork.state.model import ClusterState

__all__ = ["Leadership"]


@dataclass(frozen=True, slots=True)
class Leadership:
    """Functions that return the current leader and the applied state."""

    # Returns whether this controller is the leader.
    is_leader: Callable[[], bool]
    # Returns "ip:port" of the leader, "" if none is known.
    find_leader: Callable[[], str]
    # Returns the newest state that this controller has applied.
    get_state: Callable[[], ClusterState]
