"""Which members of a controller's roster have applied the newest evacuations."""

from typing import Final

from lentilfork.counters import Counters
from lentilfork.logs import Logger

__all__ = ["EvacuationProgress"]

# A member announces itself several times a second; a silent one no longer counts after
# this time, as with its subscription.
MEMBER_TIMEOUT_S: Final = 3.0
# Members that have not applied a change after this time are logged. Deployments require
# that no new flow reaches an evacuated data centre after 5 s.
LATE_S: Final = 3.0
# Names of members in a dump or a log line.
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
    # Whether the members that were late with the version were logged.
    is_reported: bool
    # Version that each member announced last, and when.
    members: dict[str, tuple[int, float]]
    counters: Counters

    def __init__(self, counters: Counters) -> None:
        self.version = 0
        self.evacuated = ()
        self.changed_at = 0.0
        self.is_applied = True
        self.is_reported = False
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
        self.is_reported = False
        log.info("evacuations changed", version=version, evacuated=", ".join(evacuated))
        return True

    def record(self, member: str, version: int, now: float) -> None:
        """Store the version that a member announces."""
        self.members[member] = (version, now)
        if version >= self.version:
            self.check_applied(now)

    def check_applied(self, now: float) -> None:
        """Log once that all members have applied the version."""
        if self.is_applied or not self.members or self.lowest < self.version:
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
        """Forget members that are silent for a while, and log those that are late."""
        silent = [
            name
            for name, (_, heard_at) in self.members.items()
            if now - heard_at > MEMBER_TIMEOUT_S
        ]
        for name in silent:
            del self.members[name]
        self.check_applied(now)
        if self.is_applied or self.is_reported or now - self.changed_at < LATE_S:
            return
        names = self.list_lagging()
        if not names:
            return
        self.is_reported = True
        log.warning(
            "evacuations not applied by all members",
            version=self.version,
            lagging=len(names),
            names=", ".join(names[:MAXIMUM_NAMES]),
        )

    def list_lagging(self) -> list[str]:
        """Return the members that announce an older version, sorted."""
        return sorted(
            name
            for name, (version, _) in self.members.items()
            if version < self.version
        )

    @property
    def lowest(self) -> int:
        """The lowest version of a member; that of the controller without members."""
        versions = (version for version, _ in self.members.values())
        return min(versions, default=self.version)

    def dump(self) -> dict[str, object]:
        """Return the progress as JSON values."""
        lagging = self.list_lagging()
        return {
            "version": self.version,
            "evacuated": list(self.evacuated),
            "members": len(self.members),
            "lowest_version": self.lowest,
            "lagging": len(lagging),
            "lagging_names": lagging[:MAXIMUM_NAMES],
        }
