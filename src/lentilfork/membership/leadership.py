"""What membership must know of the agreement between controllers."""

from collections.abc import Callable
from dataclasses import dataclass

from lentilfork.state.model import ClusterState

__all__ = ["Leadership"]


@dataclass(frozen=True, slots=True)
class Leadership:
    """Who leads, and the state; asked anew each time."""

    # Tells whether this controller leads.
    leads: Callable[[], bool]
    # Returns "ip:port" of the leader, "" for none known.
    find_leader: Callable[[], str]
    # Returns the newest state applied here.
    get_state: Callable[[], ClusterState]
