"""What a backend server says of itself: its state, by incarnation and sequence.

Announcements may arrive late or twice, also those of an incarnation that has
ended; the start of the backend server and its own counter tell which is newer.
"""

from dataclasses import dataclass
from enum import StrEnum
from enum import unique
from typing import Final

from lentilfork.logs import Logger

__all__ = ["BackendServer", "ServerAnnouncement", "ServerState"]

# Announcements in a row that may be missed before the backend server counts as
# gone; its answers to callers keep it alive as well.
MAXIMUM_SILENT_INTERVALS: Final = 3.5
# Intervals for which a backend server that took a connection counts as ready: it
# announces itself within one of them, if it goes on.
CONNECTION_TRUST_INTERVALS: Final = 1.5
MS_PER_S: Final = 1_000
# How much longer requests take at first, where only the remaining time is told.
WARM_UP_SLOWDOWN_FACTOR: Final = 1.7
FULL_PERCENT: Final = 100

log = Logger("backend-server")


@unique
class ServerState(StrEnum):
    """Whether a backend server takes new flows."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ServerAnnouncement:
    """One announcement of a backend server."""

    id: str
    # Start of this incarnation, Unix milliseconds; 0: not told.
    born_ms: int
    # Grows with each announcement of one incarnation.
    sequence: int
    service: str
    slots: int
    state: ServerState
    # How much longer it stays slow after its start.
    cold_left_ms: int


class BackendServer:
    """The backend server beside one agent, as last announced."""

    service: str
    interval_s: float
    latest: ServerAnnouncement | None
    last_heard_at: float
    # Until then it is taken to be there without an announcement.
    trusted_until: float
    # Ids that said they leave; a late announcement does not bring them back.
    gone: set[tuple[str, int]]

    def __init__(self, service: str, interval_s: float) -> None:
        self.service = service
        self.interval_s = interval_s
        self.latest = None
        self.last_heard_at = float("-inf")
        self.trusted_until = float("-inf")
        self.gone = set()

    def handle_announcement(self, announcement: ServerAnnouncement, now: float) -> bool:
        """Take an announcement; tells whether a new incarnation began."""
        if announcement.service != self.service:
            return False
        if (announcement.id, announcement.born_ms) in self.gone:
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
            # Leaving is final; an announcement that says otherwise is an old one.
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
        """Note that an incarnation ends; another one's end changes nothing."""
        latest = self.latest
        if latest is None or latest.id != server_id:
            return
        if born_ms is not None and born_ms != latest.born_ms:
            return
        self.gone.add((latest.id, latest.born_ms))
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
        """Note that it took a connection, though it has not announced itself yet."""
        self.trusted_until = now + CONNECTION_TRUST_INTERVALS * self.interval_s

    def is_accepting(self, now: float) -> bool:
        """Tell whether it takes new flows as far as is known."""
        if self.latest is None:
            return now < self.trusted_until
        if self.latest.state is not ServerState.READY:
            return False
        return now - self.last_heard_at <= MAXIMUM_SILENT_INTERVALS * self.interval_s

    def get_slow_percent(self, now: float) -> int:
        """Return how much longer requests take at present."""
        if self.latest is None:
            return 0
        left_s = self.latest.cold_left_ms / MS_PER_S - (now - self.last_heard_at)
        return round((WARM_UP_SLOWDOWN_FACTOR - 1) * FULL_PERCENT) if left_s > 0 else 0
