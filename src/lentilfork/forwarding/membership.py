"""Membership of a balancer or agent: announcements, roster and route table.

A member announces itself to every controller it knows, but accepts the roster only
from one of them, its primary, preferably in its own data centre. If the primary stops
responding, the member chooses another. The route table is the newest version that any
controller has; an older version is never applied, even if it comes from the primary.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from lentilfork.addresses import parse_address
from lentilfork.counters import Counters
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.roster import decode_agent
from lentilfork.forwarding.roster import encode_agent
from lentilfork.forwarding.routes import RouteIndex
from lentilfork.forwarding.routes import index_routes
from lentilfork.logs import Logger
from lentilfork.scheduling import EvacuationView
from lentilfork.schema import roster_pb2
from lentilfork.schema import state_pb2

__all__ = [
    "ANNOUNCE_INTERVAL_S",
    "DISCOVERY_INTERVAL_S",
    "Membership",
]

SocketName = tuple[str, int]
# An agent counts as lost after 0.85 s, so three consecutive announcements may get lost.
ANNOUNCE_INTERVAL_S: Final = 0.2
# Interval until a first controller responds. It is shorter than the usual one, since a
# member cannot serve without a roster.
DISCOVERY_INTERVAL_S: Final = 0.08
# Interval at which controllers other than the primary are asked for their table
# version and the list of controllers.
STATUS_INTERVAL_S: Final = 0.6
# A primary that is silent for longer has missed an announcement. All controllers are
# asked then, since one that responds may have to replace it.
PRIMARY_LATE_S: Final = 0.3
CONTROLLER_TIMEOUT_S: Final = 0.7
# A controller that the others no longer list is removed after this time without a
# response.
CONTROLLER_REMOVE_S: Final = 10.0
# A table counts as the newest while most controllers have confirmed it within this
# time.
FRESH_TABLE_S: Final = 1.5
# A controller that sent no table in time is avoided for this time while others have the
# same table.
AVOID_CONTROLLER_S: Final = 3.0

log = Logger("membership")


@dataclass(slots=True)
class ControllerView:
    """State of a controller as seen by this member."""

    address: SocketName
    last_heard_at: float = float("-inf")
    # Time of the last announcement that requested a reply.
    asked_at: float = float("-inf")
    # Whether it has run long enough to know all agents.
    warm: bool = False
    # Whether some agents don't announce themselves to it.
    partial: bool = False
    data_centre: str = ""
    table_version: int = 0
    # Time at which a fetch of a table last failed or was found to take long.
    fetch_failed_at: float = float("-inf")


class Membership:
    """The controllers, the roster and the route table that one member knows."""

    name: str
    data_centre: str
    # Controllers of the settings; used while no controller responds.
    seeds: list[SocketName]
    controllers: dict[SocketName, ControllerView]
    # The controller whose roster is applied; None while no controller has responded.
    primary: SocketName | None
    # Epoch of the primary's roster (drawn at the start of that controller) and the
    # revision of it that this member has.
    epoch: int
    revision: int
    # Names of the agents in that roster.
    listed: set[str]
    records: dict[str, AgentRecord]
    roster: Roster
    routes: RouteIndex
    evacuations: EvacuationView
    # Record that this member announces; None for a balancer.
    agent: AgentRecord | None
    send: Callable[[bytes, SocketName], None]
    counters: Counters

    def __init__(
        self,
        name: str,
        data_centre: str,
        seeds: Iterable[SocketName],
        roster: Roster,
        counters: Counters,
        evacuations: EvacuationView | None = None,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.seeds = list(seeds)
        self.controllers = {}
        self.primary = None
        self.epoch = 0
        self.revision = 0
        self.listed = set()
        self.records = {}
        self.roster = roster
        self.routes = RouteIndex()
        self.evacuations = evacuations or EvacuationView()
        self.agent = None
        self.counters = counters
        self.add_seeds()

    @property
    def is_synced(self) -> bool:
        """Whether a roster and a route table have been applied."""
        return self.epoch != 0 and self.routes.version > 0

    def add_seeds(self) -> None:
        """Add the controllers of the settings to the known ones."""
        for seed in self.seeds:
            self.controllers.setdefault(seed, ControllerView(seed))

    def has_fresh_table(self, now: float) -> bool:
        """Return whether most controllers recently had no newer table than this one.

        Those that don't vote are left out: a majority is one of the voters.
        """
        voters = [view for view in self.controllers.values() if not view.partial]
        fresh = [
            view
            for view in voters
            if now - view.last_heard_at <= FRESH_TABLE_S
            and view.table_version <= self.routes.version
        ]
        return 2 * len(fresh) > len(voters)

    def find_newer_table(self, now: float) -> tuple[SocketName, int] | None:
        """Return a controller with the newest table and its version.

        Returns None if this member's table is as new. Voters in the member's data
        centre are preferred, unless a fetch from them has failed lately.
        """
        responsive = [
            view
            for view in self.controllers.values()
            if now - view.last_heard_at <= FRESH_TABLE_S
        ]
        best = max(responsive, key=lambda view: view.table_version, default=None)
        if best is None or best.table_version <= self.routes.version:
            return None
        same = [view for view in responsive if view.table_version == best.table_version]
        chosen = min(
            same,
            key=lambda view: (
                now - view.fetch_failed_at <= AVOID_CONTROLLER_S,
                view.partial,
                view.data_centre != self.data_centre,
                self.rank_controller(view),
            ),
        )
        return chosen.address, best.table_version

    def record_failed_fetch(self, controller: SocketName, now: float) -> None:
        """Avoid a controller for some time, since it sent no table in time."""
        view = self.controllers.get(controller)
        if view is not None:
            view.fetch_failed_at = now

    def rank_controller(self, view: ControllerView) -> int:
        """Return the rank of a controller among equally good ones.

        It differs between members, so that they don't all choose the same controller.
        """
        return hash_name(f"{self.name} {view.address}")

    def announce(self, now: float, *, immediate: bool = False) -> None:
        """Announce this member to the controllers.

        Between two status intervals, controllers other than the primary are skipped by
        balancers and needn't reply to agents, whose heartbeats they watch, unless
        `immediate` is set.
        """
        self.choose_primary(now)
        current = self.controllers.get(self.primary) if self.primary else None
        late = current is None or now - current.last_heard_at > PRIMARY_LATE_S
        for view in list(self.controllers.values()):
            primary = view.address == self.primary
            due = now - view.asked_at >= STATUS_INTERVAL_S
            if immediate or primary or late or due:
                view.asked_at = now
                self.send_announcement(view.address, subscribe=primary)
            elif self.agent is not None:
                self.send_announcement(view.address, subscribe=False, quiet=True)

    def send_announcement(
        self, address: SocketName, *, subscribe: bool, quiet: bool = False
    ) -> None:
        """Send one announcement; a quiet one requests no reply."""
        announcement = roster_pb2.Announcement(
            name=self.name,
            table_version=self.routes.version,
            subscribe=subscribe,
            quiet=quiet,
            evacuation_version=self.evacuations.version,
        )
        if subscribe:
            announcement.epoch = self.epoch
            announcement.revision = self.revision
        if self.agent is not None:
            announcement.agent.CopyFrom(encode_agent(self.agent))
        self.send(
            bytes((Kind.ANNOUNCEMENT,)) + announcement.SerializeToString(), address
        )

    def choose_primary(self, now: float) -> None:
        """Choose another primary if the current one has stopped responding."""
        current = self.controllers.get(self.primary) if self.primary else None
        if current is not None and now - current.last_heard_at <= CONTROLLER_TIMEOUT_S:
            return
        responsive = [
            view
            for view in self.controllers.values()
            if now - view.last_heard_at <= CONTROLLER_TIMEOUT_S and not view.partial
        ]
        if not responsive:
            self.add_seeds()
            return
        best = min(
            responsive,
            key=lambda view: (
                not view.warm,
                view.data_centre != self.data_centre,
                self.rank_controller(view),
            ),
        )
        log.info(
            "primary controller changed",
            controller=best.address[0],
            former=self.primary[0] if self.primary else "",
            silent_ms=round((now - current.last_heard_at) * 1000) if current else "",
        )
        self.primary = best.address

    def handle_update(
        self, update: roster_pb2.RosterUpdate, sender: SocketName, now: float
    ) -> None:
        """Handle an update of a controller."""
        try:
            address = parse_address(update.controller)
        except ValueError:
            self.counters.add("updates_dropped", "malformed")
            return
        view = self.controllers.setdefault(address, ControllerView(address))
        view.last_heard_at = now
        view.warm = update.warm
        view.partial = update.partial
        view.data_centre = update.data_centre
        view.table_version = max(view.table_version, update.table_version)
        self.update_controllers(update, now)
        self.record_evacuations(update, address, now)
        if self.primary is None and self.is_suitable_primary(view):
            # Subscribes without waiting for the next announcement, since no roster is
            # known.
            self.choose_primary(now)
            self.send_announcement(address, subscribe=address == self.primary)
        if address == self.primary:
            self.apply_agents(update)

    def record_evacuations(
        self, update: roster_pb2.RosterUpdate, controller: SocketName, now: float
    ) -> None:
        """Record the evacuations that any controller states.

        A controller without a route table has not recovered its state yet.
        """
        if update.table_version == 0 and update.evacuation_version == 0:
            return
        voters = [
            view.address for view in self.controllers.values() if not view.partial
        ]
        former = self.evacuations.data_centres
        if self.evacuations.record(
            controller, update.evacuation_version, update.evacuated, voters, now
        ):
            log.info(
                "evacuations changed",
                version=self.evacuations.version,
                begun=sorted(self.evacuations.data_centres - former),
                ended=sorted(former - self.evacuations.data_centres),
                controller=controller[0],
            )

    def is_suitable_primary(self, view: ControllerView) -> bool:
        """Return whether a controller may become the first primary immediately."""
        nearby = view.data_centre == self.data_centre
        return (view.warm or nearby) and not view.partial

    def update_controllers(self, update: roster_pb2.RosterUpdate, now: float) -> None:
        """Add the controllers that an update lists.

        Those that it does not list are removed once they have not responded for
        `CONTROLLER_REMOVE_S`.
        """
        listed: dict[SocketName, None] = {}
        for text in update.controllers:
            try:
                listed[parse_address(text)] = None
            except ValueError:
                self.counters.add("updates_dropped", "malformed")
        for address in listed:
            self.controllers.setdefault(address, ControllerView(address))
        if not listed:
            return
        for view in list(self.controllers.values()):
            silent_s = now - view.last_heard_at
            if view.address not in listed and silent_s > CONTROLLER_REMOVE_S:
                del self.controllers[view.address]

    def apply_agents(self, update: roster_pb2.RosterUpdate) -> None:
        """Apply the roster changes that follow the current revision.

        Agents that are not in the roster are removed only if the controller has run
        long enough to know all of them.
        """
        if update.epoch != self.epoch and update.base == 0 and update.revision > 0:
            self.epoch, self.revision, self.listed = update.epoch, 0, set()
        if update.epoch != self.epoch or update.base > self.revision:
            return
        changed = False
        if update.revision > self.revision:
            for message in update.agents:
                changed = self.apply_agent(message) or changed
            self.revision = update.revision
        if update.complete and update.warm and update.revision == self.revision:
            unlisted = self.records.keys() - self.listed
            for name in unlisted:
                del self.records[name]
            changed = changed or bool(unlisted)
        if changed:
            self.roster.replace(self.records.values())

    def apply_agent(self, message: roster_pb2.FlowAgent) -> bool:
        """Apply one agent's record; return whether the roster changed.

        Records of one controller arrive in the order of its revisions. The first one of
        another controller may be older than the one that is known.
        """
        if message.removed:
            self.listed.discard(message.name)
            return self.records.pop(message.name, None) is not None
        supersedes = message.name in self.listed
        self.listed.add(message.name)
        try:
            record = decode_agent(message)
        except ValueError:
            self.counters.add("updates_dropped", "malformed")
            return False
        known = self.records.get(record.name)
        if known is not None and (known.lost or supersedes):
            known = known if known == record else None
        if known is not None and (known == record or record.version < known.version):
            return False
        self.records[record.name] = record
        return True

    def apply_table(self, table: state_pb2.RouteTable) -> bool:
        """Apply a route table if it is newer; return whether it was."""
        if table.version <= self.routes.version:
            return False
        self.routes = index_routes(table)
        return True
