"""The leader's leases and the changes of the agreed state that follow from them.

The leader keeps one lease per member, for its current incarnation, in memory only.
Members are added to and removed from the agreed state by changes planned from the
leases. A controller that becomes leader grants every member of the state a full
lease, so that the loss of a controller removes no member. A lower incarnation never
replaces a higher one whose lease is valid, so a process that was stopped and
replaced is not admitted when it resumes.
"""

from collections import defaultdict
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from itertools import chain
from typing import Final

from lentilfork.membership.lease import LEASE_MS
from lentilfork.membership.silence import Removal
from lentilfork.membership.silence import SilenceLimit
from lentilfork.schema import control_pb2
from lentilfork.schema import state_pb2
from lentilfork.state.codec import decode_agent
from lentilfork.state.codec import decode_balancer
from lentilfork.state.codec import decode_shard_name
from lentilfork.state.codec import encode_agent
from lentilfork.state.codec import encode_balancer
from lentilfork.state.model import Agent
from lentilfork.state.model import Balancer
from lentilfork.state.model import ClusterState
from lentilfork.state.model import ShardName
from lentilfork.state.model import Voter

__all__ = ["Lease", "LeaseTable", "MemberKey", "get_member_key"]

# The lease of a member that is not in the agreed state is dropped after this time
# without a heartbeat. Removals older than this are dropped as well.
EXPIRY_MS: Final = 60_000
MAXIMUM_MEMBERS: Final = 16_384


@dataclass(frozen=True, slots=True, order=True)
class MemberKey:
    """Role and name of a member; the same for all its incarnations."""

    # "agent" or "balancer".
    role: str
    name: str


@dataclass(slots=True)
class Lease:
    """What the leader knows about one member."""

    # The member's last announcement; its entry in the agreed state before that.
    member: Agent | Balancer
    # When the last heartbeat arrived, or when the lease was granted.
    last_heartbeat_ms: int
    # False while the member is known from the agreed state only.
    announced: bool = False
    # Last reported by the member.
    generation: int = 0
    # The member has reported that its work has ended.
    ended: bool = False
    # The object of the agreed state that was last found equal to `member`; avoids
    # comparing the fields again on every tick.
    matching_member: Agent | Balancer | None = None
    # Claim shards the member has synced completely, each with its epoch.
    synced: tuple[tuple[ShardName, int], ...] = ()


def get_member_key(member: Agent | Balancer) -> MemberKey:
    """Return the key of a member."""
    role = "agent" if isinstance(member, Agent) else "balancer"
    return MemberKey(role, member.name)


def decode_member(heartbeat: control_pb2.Heartbeat) -> Agent | Balancer | None:
    """Return the member that a full heartbeat describes, None if it has none."""
    match heartbeat.WhichOneof("member"):
        case "agent":
            agent = decode_agent(heartbeat.agent)
            draining = agent.draining or heartbeat.leaving
            return replace(agent, draining=draining, joined=0)
        case "balancer":
            return decode_balancer(heartbeat.balancer)
        case _:
            return None


def decode_synced(texts: list[str]) -> Iterator[tuple[ShardName, int]]:
    """Yield shard and epoch of each "service/index/epoch"; skip malformed texts."""
    for text in texts:
        name, _, epoch = text.rpartition("/")
        try:
            yield decode_shard_name(name), int(epoch)
        except ValueError:
            continue


def list_members(state: ClusterState) -> Iterator[Agent | Balancer]:
    """Return all agents and balancers of a state."""
    return chain(state.agents.values(), state.balancers.values())


def find_member(state: ClusterState, key: MemberKey) -> Agent | Balancer | None:
    """Return a member of the state, None if the state does not contain it."""
    if key.role == "agent":
        return state.agents.get(key.name)
    return state.balancers.get(key.name)


class LeaseTable:
    """The leases that the leader keeps, and the plan of changes that they require."""

    limit: SilenceLimit
    leases: dict[MemberKey, Lease]
    # Recent removals of agents whose lease expired, by service.
    removals: dict[str, list[Removal]]
    # Agents with an expired lease that the limit keeps in the state; shown to
    # operators.
    held_back: set[MemberKey]

    def __init__(self, limit: SilenceLimit) -> None:
        self.limit = limit
        self.leases = {}
        self.removals = defaultdict(list)
        self.held_back = set()

    def grant_leases(self, state: ClusterState, now_ms: int) -> None:
        """Grant every member of the state a full lease at the start of a term."""
        self.leases = {
            get_member_key(member): Lease(member, now_ms)
            for member in list_members(state)
        }
        self.removals.clear()
        self.held_back.clear()

    def extend_all(self, time_ms: int) -> None:
        """Extend all leases by a time in which this process read no heartbeats."""
        for lease in self.leases.values():
            lease.last_heartbeat_ms += time_ms

    def handle_announcement(
        self, heartbeat: control_pb2.Heartbeat, now_ms: int
    ) -> tuple[MemberKey, int] | None:
        """Handle a full heartbeat; return the member's key and incarnation.

        Return None if the heartbeat describes no member, if there are too many
        members, or if a later incarnation has a valid lease.
        """
        member = decode_member(heartbeat)
        if member is None:
            return None
        key = get_member_key(member)
        lease = self.leases.get(key)
        if lease is None and len(self.leases) >= MAXIMUM_MEMBERS:
            return None
        if lease is not None and self.has_later_incarnation(lease, member, now_ms):
            return None
        synced = tuple(decode_synced(list(heartbeat.synced_shards)))
        self.leases[key] = Lease(
            member, now_ms, True, heartbeat.generation, heartbeat.ended, synced=synced
        )
        return key, member.incarnation

    def has_later_incarnation(
        self, lease: Lease, member: Agent | Balancer, now_ms: int
    ) -> bool:
        """Return whether `lease` is a valid lease of a later incarnation."""
        later = lease.member.incarnation > member.incarnation
        return later and now_ms - lease.last_heartbeat_ms <= LEASE_MS

    def renew(
        self, key: MemberKey, incarnation: int, generation: int | None, now_ms: int
    ) -> None:
        """Renew a lease; `generation` is None if it is only known to lag behind."""
        lease = self.leases.get(key)
        if lease is None or lease.member.incarnation != incarnation:
            return
        lease.last_heartbeat_ms = now_ms
        lease.generation = lease.generation if generation is None else generation

    def is_admitted(
        self, state: ClusterState, key: MemberKey, incarnation: int
    ) -> bool:
        """Return whether the state contains a member with this incarnation."""
        member = find_member(state, key)
        return member is not None and member.incarnation == incarnation

    def is_expired(self, lease: Lease, now_ms: int) -> bool:
        """Return whether a lease has expired."""
        return now_ms - lease.last_heartbeat_ms > LEASE_MS

    def plan(self, state: ClusterState, now_ms: int) -> list[state_pb2.Change]:
        """Return the changes that make the state match the leases."""
        self.update_leases(state, now_ms)
        return [
            *self.plan_puts(state, now_ms),
            *self.plan_ended_removals(state, now_ms),
            *self.plan_silence_removals(state, now_ms),
        ]

    def update_leases(self, state: ClusterState, now_ms: int) -> None:
        """Add leases for new members of the state; expire those of absent members."""
        for member in list_members(state):
            self.leases.setdefault(get_member_key(member), Lease(member, now_ms))
        self.leases = {
            key: lease
            for key, lease in self.leases.items()
            if now_ms - lease.last_heartbeat_ms < EXPIRY_MS or find_member(state, key)
        }

    def plan_puts(self, state: ClusterState, now_ms: int) -> Iterator[state_pb2.Change]:
        """Yield a change for each live member that the state lacks or has outdated."""
        for key, lease in self.leases.items():
            if not lease.announced or lease.ended or self.is_expired(lease, now_ms):
                continue
            agreed = find_member(state, key)
            if agreed is not None and agreed is lease.matching_member:
                continue
            if matches_announcement(agreed, lease.member):
                lease.matching_member = agreed
            else:
                yield make_put(lease.member)

    def plan_ended_removals(
        self, state: ClusterState, now_ms: int
    ) -> Iterator[state_pb2.Change]:
        """Yield removals of members that need no limit on their number.

        These are members that have ended, draining agents whose lease has expired
        and balancers whose lease has expired.
        """
        for key, lease in self.leases.items():
            if not self.is_admitted(state, key, lease.member.incarnation):
                continue
            expired = self.is_expired(lease, now_ms)
            draining = isinstance(lease.member, Agent) and lease.member.draining
            if lease.ended or (expired and (draining or key.role == "balancer")):
                yield make_removal(lease.member)

    def plan_silence_removals(
        self, state: ClusterState, now_ms: int
    ) -> Iterator[state_pb2.Change]:
        """Yield removals of agents with expired leases, as the limit allows."""
        silent_since_ms = {
            key.name: lease.last_heartbeat_ms
            for key, lease in self.leases.items()
            if key.role == "agent" and self.is_expired(lease, now_ms)
        }
        by_service: dict[str, list[Agent]] = defaultdict(list)
        for agent in state.agents.values():
            by_service[agent.service].append(agent)
        self.held_back = set()
        for service, agents in by_service.items():
            yield from self.plan_service_removals(
                service, agents, silent_since_ms, now_ms
            )

    def plan_service_removals(
        self,
        service: str,
        agents: list[Agent],
        silent_since_ms: Mapping[str, int],
        now_ms: int,
    ) -> Iterator[state_pb2.Change]:
        """Yield removals of one service's agents with expired leases."""
        chosen = self.limit.choose_removals(
            agents, silent_since_ms, self.removals[service], now_ms
        )
        names = {agent.name for agent in chosen}
        self.held_back.update(
            get_member_key(agent)
            for agent in agents
            if agent.name in silent_since_ms and agent.name not in names
        )
        yield from map(make_removal, chosen)

    def record_removal(self, agent: Agent, now_ms: int) -> None:
        """Record an accepted removal of a silent agent; it counts against the limit."""
        self.removals[agent.service] = [
            *(r for r in self.removals[agent.service] if now_ms - r.at_ms < EXPIRY_MS),
            Removal(agent.name, agent.data_centre, now_ms),
        ]

    def list_synced(self) -> dict[ShardName, dict[Voter, int]]:
        """Return, by shard, the epoch that each voter has reported as synced."""
        reports: dict[ShardName, dict[Voter, int]] = defaultdict(dict)
        for key, lease in self.leases.items():
            voter = Voter(key.name, lease.member.incarnation)
            for name, epoch in lease.synced:
                reports[name][voter] = epoch
        return dict(reports)


def matches_announcement(
    agreed: Agent | Balancer | None, member: Agent | Balancer
) -> bool:
    """Return whether a member's entry in the state equals its announcement."""
    if isinstance(agreed, Agent) and isinstance(member, Agent):
        return replace(agreed, joined=0) == replace(member, joined=0)
    return agreed == member


def make_put(member: Agent | Balancer) -> state_pb2.Change:
    """Return the change that puts a member into the state."""
    if isinstance(member, Agent):
        return state_pb2.Change(put_agent=encode_agent(member))
    return state_pb2.Change(put_balancer=encode_balancer(member))


def make_removal(member: Agent | Balancer) -> state_pb2.Change:
    """Return the change that removes a member from the state."""
    voter = state_pb2.Voter(agent=member.name, incarnation=member.incarnation)
    if isinstance(member, Agent):
        return state_pb2.Change(remove_agent=voter)
    return state_pb2.Change(remove_balancer=voter)
