"""State of a backend server from its announcements.

Announcements may arrive late, twice, or after the end of their incarnation (one run of
the backend server). They are ordered by the start time of the incarnation and by a
sequence number within it.
"""

from dataclasses import dataclass
from enum import StrEnum
from enum import unique
from typing import Final

from lentilfork.logs import Logger

__all__ = ["BackendServer", "ServerAnnouncement", "ServerState"]

# Announcement intervals without an announcement after which the backend server no
# longer accepts new flows.
MAXIMUM_SILENT_INTERVALS: Final = 3.5
# Announcement intervals for which a backend server that accepted a connection counts as
# ready. If it keeps running, it announces itself within one of them.
CONNECTION_TRUST_INTERVALS: Final = 1.5
MS_PER_S: Final = 1_000
# Factor on the service time while the backend server warms up. Announcements contain
# only the remaining warm-up time.
WARM_UP_SLOWDOWN_FACTOR: Final = 1.7
FULL_PERCENT: Final = 100

log = Logger("backend-server")


@unique
class ServerState(StrEnum):
    """Whether a backend server accepts new flows, drains or has stopped."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ServerAnnouncement:
    """One announcement of a backend server."""

    id: str
    # Start of this incarnation, Unix milliseconds; 0 if unknown.
    born_ms: int
    # Grows with each announcement of one incarnation.
    sequence: int
    service: str
    slots: int
    state: ServerState
    # Remaining warm-up time in milliseconds.
    cold_left_ms: int


class BackendServer:
    """State of the backend server of one agent, as last announced."""

    service: str
    interval_s: float
    latest: ServerAnnouncement | None
    last_heard_at: float
    # Until this time it counts as ready without an announcement.
    trusted_until: float
    # Whether the backend server had announced to an earlier process of this agent that
    # it leaves. Until it announces itself again, it is not used then.
    left_before: bool
    # Ids and start times of incarnations that announced their end. Late announcements
    # of them are ignored.
    ended: set[tuple[str, int]]

    def __init__(self, service: str, interval_s: float) -> None:
        self.service = service
        self.interval_s = interval_s
        self.latest = None
        self.last_heard_at = float("-inf")
        self.trusted_until = float("-inf")
        self.left_before = False
        self.ended = set()

    @property
    def has_announced(self) -> bool:
        """Whether it has announced itself to this process or to the one before."""
        return self.latest is not None or self.left_before

    @property
    def is_leaving(self) -> bool | None:
        """Whether it drains or has stopped; None until it has announced itself."""
        if self.latest is None:
            return None
        return self.latest.state is not ServerState.READY

    @property
    def cold_left_s(self) -> float:
        """Warm-up time that remained at the latest announcement, in seconds."""
        return self.latest.cold_left_ms / MS_PER_S if self.latest is not None else 0.0

    def handle_announcement(self, announcement: ServerAnnouncement, now: float) -> bool:
        """Handle an announcement; return whether it begins a new incarnation.

        Announcements of other services, of ended incarnations and older ones are
        ignored.
        """
        if announcement.service != self.service:
            return False
        if (announcement.id, announcement.born_ms) in self.ended:
            return False
        latest = self.latest
        is_new_incarnation = (
            latest is not None and announcement.born_ms > latest.born_ms
        )
        if latest is not None and not is_new_incarnation:
            if announcement.born_ms < latest.born_ms:
                return False
            if (
                announcement.id == latest.id
                and announcement.sequence <= latest.sequence
            ):
                return False
        if (
            latest is None
            or is_new_incarnation
            or latest.state is not announcement.state
        ):
            log.info(
                "backend server changed",
                id=announcement.id,
                state=announcement.state,
                born_ms=announcement.born_ms,
                sequence=announcement.sequence,
                former=latest.state if latest else "",
            )
        if (
            latest is not None
            and not is_new_incarnation
            and latest.id == announcement.id
            and latest.state is ServerState.DRAINING
        ):
            # An incarnation never leaves the draining state except by its end.
            announcement = ServerAnnouncement(
                announcement.id,
                announcement.born_ms,
                announcement.sequence,
                announcement.service,
                announcement.slots,
                ServerState.DRAINING,
                announcement.cold_left_ms,
            )
        self.latest = announcement
        self.last_heard_at = now
        return is_new_incarnation

    def handle_leave(self, server_id: str, born_ms: int | None) -> None:
        """Handle the end of an incarnation, if it is the latest one."""
        latest = self.latest
        if latest is None or latest.id != server_id:
            return
        if born_ms is not None and born_ms != latest.born_ms:
            return
        self.ended.add((latest.id, latest.born_ms))
        log.info("backend server changed", id=server_id, state=ServerState.GONE)
        self.latest = ServerAnnouncement(
            latest.id,
            latest.born_ms,
            latest.sequence,
            latest.service,
            latest.slots,
            ServerState.GONE,
            0,
        )

    def record_connection(self, now: float) -> None:
        """Record that the backend server accepted a connection.

        It then counts as ready for a while, even without an announcement.
        """
        self.trusted_until = now + CONNECTION_TRUST_INTERVALS * self.interval_s

    def is_accepting(self, now: float) -> bool:
        """Return whether the backend server accepts new flows."""
        if self.latest is None:
            return now < self.trusted_until and not self.left_before
        if self.latest.state is not ServerState.READY:
            return False
        return now - self.last_heard_at <= MAXIMUM_SILENT_INTERVALS * self.interval_s

    def get_slow_percent(self, now: float) -> int:
        """Return by how many percent requests take longer during the warm-up."""
        if self.latest is None:
            return 0
        left_s = self.latest.cold_left_ms / MS_PER_S - (now - self.last_heard_at)
        return round((WARM_UP_SLOWDOWN_FACTOR - 1) * FULL_PERCENT) if left_s > 0 else 0
