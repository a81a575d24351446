"""Roster of one controller: collects announcements of agents and sends updates.

Agents announce themselves to every controller, so each controller has its own roster
and none depends on another. A member subscribes to one controller and receives the
changes since the revision that it has. The roster is not written to disk: after a
restart, the announcements of one second fill it again.
"""

import secrets
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import Final

from lentilfork.counters import Counters
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.evacuation_progress import EvacuationProgress
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import decode_agent
from lentilfork.forwarding.roster import encode_agent
from lentilfork.logs import Logger
from lentilfork.schema import roster_pb2

__all__ = ["RosterServer"]

SocketName = tuple[str, int]
# An agent counts as lost after this time without an announcement; with one every 0.2 s,
# four consecutive announcements may get lost.
AGENT_LOST_S: Final = 0.85
# A lost agent is marked as removed after this time; if it announces itself before, it
# keeps its entry.
AGENT_REMOVE_S: Final = 20.0
# The entry of a removed agent is kept for this time after its last announcement, so
# that members that were disconnected are notified of the removal.
TOMBSTONE_S: Final = 120.0
SUBSCRIBER_TIMEOUT_S: Final = 3.0
# Every agent announces itself several times within this time, so the roster of a
# controller that has run for longer is complete.
WARM_UP_S: Final = 0.6
# An agent that restarted does not know that its backend server is leaving until the
# server announces itself again, which it does about once a second. Until then the state
# that the earlier process announced holds, but no longer than this.
SERVER_MEMORY_S: Final = 5.0
# Limits an update to one unfragmented datagram.
AGENTS_PER_UPDATE: Final = 9
# Changes within this time of a notification are sent together. After a power loss all
# agents announce themselves within a second, and all members need all of them.
NOTIFICATION_INTERVAL_S: Final = 0.02

log = Logger("roster")


@dataclass(slots=True)
class Entry:
    """State of an agent at this controller."""

    record: AgentRecord
    revision: int
    last_heard_at: float
    removed: bool = False
    # Until this time the backend server counts as leaving if the agent does not know.
    server_leaving_until: float = float("-inf")


@dataclass(slots=True)
class Subscriber:
    """A member that receives changes as they occur."""

    address: SocketName
    epoch: int
    revision: int
    last_heard_at: float


class RosterServer:
    """Roster of one controller and the members that subscribe to it."""

    # "ip:port" that members announce to.
    address: str
    data_centre: str
    # Random number drawn at the start of this process; revisions count within an epoch.
    epoch: int
    revision: int
    started_at: float
    entries: dict[str, Entry]
    subscribers: dict[str, Subscriber]
    # The newest evacuations, and which members have applied them.
    evacuations: EvacuationProgress
    # Whether only members whose settings name this controller announce themselves.
    partial: bool
    # Return the version of the newest route table and the addresses of the controllers.
    get_table_version: Callable[[], int]
    list_controllers: Callable[[], list[str]]
    notified_at: float
    # Whether a notification of further changes is scheduled.
    notification_scheduled: bool
    send: Callable[[bytes, SocketName], None]
    # Calls `notify_subscribers` after a delay in seconds.
    schedule_notification: Callable[[float], None]
    counters: Counters

    def __init__(
        self,
        address: str,
        data_centre: str,
        get_table_version: Callable[[], int],
        list_controllers: Callable[[], list[str]],
        counters: Counters,
        now: float,
        *,
        partial: bool = False,
    ) -> None:
        self.address = address
        self.partial = partial
        self.data_centre = data_centre
        self.epoch = 1 + secrets.randbits(62)
        self.revision = 0
        self.started_at = now
        self.entries = {}
        self.subscribers = {}
        self.evacuations = EvacuationProgress(counters)
        self.notified_at = float("-inf")
        self.notification_scheduled = False
        self.get_table_version = get_table_version
        self.list_controllers = list_controllers
        self.counters = counters

    def handle_announcement(
        self, announcement: roster_pb2.Announcement, sender: SocketName, now: float
    ) -> None:
        """Handle an announcement and reply with the changes that the member lacks."""
        if announcement.HasField("agent"):
            self.apply_agent(announcement.agent, now)
        self.evacuations.record(announcement.name, announcement.evacuation_version, now)
        same_epoch = announcement.epoch == self.epoch
        subscriber = Subscriber(
            sender, self.epoch, announcement.revision if same_epoch else 0, now
        )
        if announcement.subscribe:
            if announcement.name not in self.subscribers:
                log.info("member subscribed", member=announcement.name)
            self.subscribers[announcement.name] = subscriber
            self.send_changes(subscriber, self.encode_changes(subscriber.revision, now))
            return
        self.subscribers.pop(announcement.name, None)
        if not announcement.quiet:
            header = self.make_update_header(now)
            self.send_update(subscriber.address, encode_update(header))

    def apply_agent(self, message: roster_pb2.FlowAgent, now: float) -> None:
        """Apply the record of an agent unless the current one is newer."""
        try:
            record = decode_agent(message)
        except ValueError:
            self.counters.add("announcements_dropped", "malformed")
            return
        entry = self.entries.get(record.name)
        if entry is None:
            self.put_record(record, now)
            return
        # A process whose clock was set back before its start has a lower incarnation
        # than the one before it. It is admitted once that one is lost.
        if record.version < entry.record.version and not (
            entry.record.lost and record.incarnation != entry.record.incarnation
        ):
            self.counters.add("announcements_dropped", "older")
            return
        entry.last_heard_at = now
        if record.server_leaving is not None:
            memory_s = SERVER_MEMORY_S if record.server_leaving else 0.0
            entry.server_leaving_until = now + memory_s
        elif now < entry.server_leaving_until:
            record = replace(record, accepting=False, server_leaving=True)
        if record != entry.record or entry.removed:
            self.put_record(record, now)

    def put_record(self, record: AgentRecord, now: float) -> None:
        """Store a record as the next revision and notify the subscribers."""
        previous = self.entries.get(record.name)
        self.revision += 1
        self.entries[record.name] = Entry(
            record,
            self.revision,
            previous.last_heard_at if record.lost and previous else now,
            server_leaving_until=(
                previous.server_leaving_until if previous else float("-inf")
            ),
        )
        log.info(
            "agent changed",
            agent=record.name,
            accepting=record.accepting,
            leaving=record.leaving,
            lost=record.lost,
            incarnation=record.incarnation,
            sequence=record.sequence,
            silent_ms=round((now - self.entries[record.name].last_heard_at) * 1000),
        )
        self.request_notification(now)

    def request_notification(self, now: float) -> None:
        """Notify the subscribers, or schedule it if they were notified just now."""
        next_at = self.notified_at + NOTIFICATION_INTERVAL_S
        if now >= next_at:
            self.notify_subscribers(now)
        elif not self.notification_scheduled:
            self.notification_scheduled = True
            self.schedule_notification(next_at - now)

    def notify_subscribers(self, now: float) -> None:
        """Send all subscribers the changes that they lack."""
        self.notified_at = now
        self.notification_scheduled = False
        # Most subscribers have the same revision, so the changes are encoded once.
        updates: dict[int, list[bytes]] = {}
        for subscriber in self.subscribers.values():
            base = subscriber.revision
            if base not in updates:
                updates[base] = self.encode_changes(base, now)
            self.send_changes(subscriber, updates[base])

    def expire_members(self, now: float) -> None:
        """Mark silent agents as lost or removed; drop expired entries and members."""
        for entry in list(self.entries.values()):
            silent_s = now - entry.last_heard_at
            name = entry.record.name
            if silent_s > AGENT_LOST_S and not entry.record.lost:
                self.put_record(replace(entry.record, lost=True), now)
            elif silent_s > TOMBSTONE_S:
                del self.entries[name]
            elif silent_s > AGENT_REMOVE_S and not entry.removed:
                self.revision += 1
                entry.revision = self.revision
                entry.removed = True
                self.request_notification(now)
        self.evacuations.expire(now)
        unresponsive = [
            name
            for name, subscriber in self.subscribers.items()
            if now - subscriber.last_heard_at > SUBSCRIBER_TIMEOUT_S
        ]
        for name in unresponsive:
            del self.subscribers[name]
            log.info("subscription of a member timed out", member=name)

    def make_update_header(self, now: float) -> roster_pb2.RosterUpdate:
        """Return an update with everything but agents."""
        return roster_pb2.RosterUpdate(
            controller=self.address,
            epoch=self.epoch,
            table_version=self.get_table_version(),
            controllers=self.list_controllers(),
            data_centre=self.data_centre,
            warm=now - self.started_at >= WARM_UP_S,
            partial=self.partial,
            evacuation_version=self.evacuations.version,
            evacuated=self.evacuations.evacuated,
        )

    def list_changes(self, revision: int) -> Iterator[Entry]:
        """Return the entries that changed after a revision, oldest change first."""
        changed = (
            entry
            for entry in self.entries.values()
            if entry.revision > revision and (revision > 0 or not entry.removed)
        )
        return iter(sorted(changed, key=lambda entry: entry.revision))

    def encode_changes(self, base: int, now: float) -> list[bytes]:
        """Return the updates with all changes after a revision, as datagrams.

        Without changes, it is one update that confirms the revision.
        """
        pages = list(paginate_entries(self.list_changes(base))) or [[]]
        updates = []
        for number, page in enumerate(pages, start=1):
            update = self.make_update_header(now)
            update.base = base
            last = number == len(pages)
            update.revision = self.revision if last else page[-1].revision
            update.complete = last
            for entry in page:
                message = encode_agent(entry.record)
                message.removed = entry.removed
                update.agents.append(message)
            updates.append(encode_update(update))
            base = update.revision
        return updates

    def send_changes(self, subscriber: Subscriber, updates: list[bytes]) -> None:
        """Send a subscriber the updates with all changes that it lacks."""
        for update in updates:
            self.send_update(subscriber.address, update)
        # Assumes that the updates arrive. If not, the member's next announcement
        # carries the older revision, and the changes are sent again.
        subscriber.revision = self.revision

    def send_update(self, address: SocketName, update: bytes) -> None:
        """Send an encoded update to a member."""
        self.counters.add("updates_sent")
        self.send(update, address)

    def dump(self) -> dict[str, object]:
        """Return the roster as JSON values."""
        return {
            "epoch": f"{self.epoch:016x}",
            "revision": self.revision,
            "subscribers": sorted(self.subscribers),
            "evacuations": self.evacuations.dump(),
            "agents": {
                name: {
                    "revision": entry.revision,
                    "accepting": entry.record.accepting,
                    "lost": entry.record.lost,
                    "removed": entry.removed,
                }
                for name, entry in self.entries.items()
            },
        }


def encode_update(update: roster_pb2.RosterUpdate) -> bytes:
    """Return the datagram of an update."""
    return bytes((Kind.UPDATE,)) + update.SerializeToString()


def paginate_entries(entries: Iterator[Entry]) -> Iterator[list[Entry]]:
    """Return the entries in pages that each fit into one update."""
    page: list[Entry] = []
    for entry in entries:
        page.append(entry)
        if len(page) == AGENTS_PER_UPDATE:
            yield page
            page = []
    if page:
        yield page
