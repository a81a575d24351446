"""Which members of a controller's roster have applied the newest evacuations."""

from typing import Final

from lentilfork.counters import Counters
from lentilfork.logs import Logger

__all__ = ["EvacuationProgress"]

# A member announces itself several times a second; a silent one no longer counts after
# this time, as with its subscription.
MEMBER_TIMEOUT_S: Final = 3.0
# Names of members in a dump.
MAXIMUM_NAMES: Final = 20

log = Logger("evacuations")


class EvacuationProgress:
    """The newest evacuations that one controller knows, and who has applied them."""

    # Generation of the last change of an evacuation; 0: there was never one.
    version: int
    # Names of the evacuated data centres, sorted.
    evacuated: tuple[str, ...]
    # Time of the last change, seconds.
    changed_at: float
    # Whether all members had applied the version.
    is_applied: bool
    # Version that each member announced last, and when.
    members: dict[str, tuple[int, float]]
    counters: Counters

    def __init__(self, counters: Counters) -> None:
        self.version = 0
        self.evacuated = ()
        self.changed_at = 0.0
        self.is_applied = True
        self.members = {}
        self.counters = counters

    def update(self, version: int, evacuated: tuple[str, ...], now: float) -> bool:
        """Store evacuations if they are newer; return whether they are."""
        if version <= self.version:
            return False
        self.version = version
        self.evacuated = evacuated
        self.changed_at = now
        self.is_applied = False
        log.info("evacuations changed", version=version, evacuated=list(evacuated))
        return True

    def record(self, member: str, version: int, now: float) -> None:
        """Store the version that a member announces."""
        self.members[member] = (version, now)
        if self.is_applied or version < self.version or self.lowest < self.version:
            return
        self.is_applied = True
        took_s = now - self.changed_at
        self.counters.observe("evacuation_applied", took_s)
        log.info(
            "evacuations applied by all members",
            version=self.version,
            members=len(self.members),
            took_ms=round(took_s * 1000),
        )

    def expire(self, now: float) -> None:
        """Forget members that have not announced themselves for a while."""
        silent = [
            name
            for name, (_, heard_at) in self.members.items()
            if now - heard_at > MEMBER_TIMEOUT_S
        ]
        for name in silent:
            del self.members[name]

    @property
    def lowest(self) -> int:
        """The lowest version of a member; that of the controller without members."""
        versions = (version for version, _ in self.members.values())
        return min(versions, default=self.version)

    def dump(self) -> dict[str, object]:
        """Return the progress as JSON values."""
        lagging = sorted(
            name
            for name, (version, _) in self.members.items()
            if version < self.version
        )
        return {
            "version": self.version,
            "evacuated": list(self.evacuated),
            "members": len(self.members),
            "lowest_version": self.lowest,
            "lagging": len(lagging),
            "lagging_names": lagging[:MAXIMUM_NAMES],
        }
