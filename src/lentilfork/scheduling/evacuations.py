"""Evacuated data centres as one member knows them.

Every controller states the highest version of the agreed evacuations that it has
applied, and the set of data centres that belongs to it. A member uses the highest
version that it has received. After its start it waits until a majority of the voters
have stated theirs: an acknowledged evacuation is known to one of them at least.
"""

from collections.abc import Collection
from collections.abc import Hashable
from collections.abc import Iterable
from typing import Final

__all__ = ["SETTLE_TIMEOUT_S", "EvacuationView"]

# Time after the first statement of a controller after which a member places flows, even
# if most voters are silent. A lost majority must not end the service.
SETTLE_TIMEOUT_S: Final = 1.0


class EvacuationView:
    """The newest evacuations that a member has received."""

    # Generation of the last change; 0: none is known.
    version: int
    data_centres: frozenset[str]
    # Times at which this member learned that evacuations had ended, by data centre.
    ended_at: dict[str, float]
    # Whether flows have to wait until a majority of the voters is heard.
    awaits_majority: bool
    # Voters that have stated their version.
    heard: set[Hashable]
    first_heard_at: float

    def __init__(self, *, awaits_majority: bool = False) -> None:
        self.version = 0
        self.data_centres = frozenset()
        self.ended_at = {}
        self.awaits_majority = awaits_majority
        self.heard = set()
        self.first_heard_at = float("inf")

    def record(
        self,
        controller: Hashable,
        version: int,
        names: Iterable[str],
        voters: Collection[Hashable],
        now: float,
    ) -> bool:
        """Record the evacuations of a controller; return whether they are newer.

        `voters` are all controllers that vote, as far as this member knows them.
        """
        if self.awaits_majority:
            self.first_heard_at = min(self.first_heard_at, now)
            self.heard.add(controller)
            majority = sum(voter in self.heard for voter in voters)
            self.awaits_majority = 2 * majority <= len(voters)
        if version <= self.version:
            return False
        former, self.data_centres = self.data_centres, frozenset(names)
        self.version = version
        for name in self.data_centres:
            self.ended_at.pop(name, None)
        self.ended_at |= dict.fromkeys(former - self.data_centres, now)
        return True

    def is_settled(self, now: float) -> bool:
        """Return whether the evacuations are known well enough to place flows."""
        return not self.awaits_majority or (
            now - self.first_heard_at >= SETTLE_TIMEOUT_S
        )

    def contains(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated."""
        return data_centre in self.data_centres
