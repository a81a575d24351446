"""Which agents vote for which claim shard; decided by the leader's controller.

Pure: the same arguments give the same plan. Invariants:

- a shard changes only while `previous` is empty, that is, while a majority of its
  voters holds every record; the one exception is a shard that lost its quorum;
- a shard that lost its quorum starts without records only after every process
  that could still vote in it has stopped, and after that the lifetime of a record;
- epochs only grow, also when a service is removed and applied again: the first
  epoch of a shard is the generation that creates it.
"""

from collections import Counter
from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import replace
from heapq import nsmallest
from itertools import chain
from itertools import islice
from typing import Final

from xxhash import xxh3_64_intdigest

from lentilfork.claims.keys import CLAIM_SHARDS_PER_SERVICE
from lentilfork.claims.peers import compute_majority
from lentilfork.claims.records import RECORD_LIFETIME_S
from lentilfork.claims.voter import VOTER_LEASE_S
from lentilfork.state.model import Agent
from lentilfork.state.model import ClaimShard
from lentilfork.state.model import ClusterState
from lentilfork.state.model import ShardName
from lentilfork.state.model import Voter

__all__ = ["CLAIM_VOTERS", "is_live", "plan_shards", "track_lost"]

# Two lost at once leave a majority.
CLAIM_VOTERS: Final = 5
# Shards whose voters change at the same time.
MAXIMUM_CHANGING: Final = 64
# Changes returned by one call.
MAXIMUM_CHANGES: Final = 16
RECORD_LIFETIME_MS: Final = int(RECORD_LIFETIME_S * 1000)
VOTER_LEASE_MS: Final = int(VOTER_LEASE_S * 1000)


def is_live(state: ClusterState, voter: Voter) -> bool:
    """Tell whether a voter is a member of the agreed state at its incarnation."""
    agent = state.agents.get(voter.agent)
    return agent is not None and agent.incarnation == voter.incarnation


def track_lost(
    state: ClusterState, lost_since_ms: Mapping[Voter, int], now_ms: int
) -> dict[Voter, int]:
    """Return since when each voter of the state that is not live was seen lost.

    The leader keeps the result between ticks; a new leader begins with none.
    """
    voters = {
        voter
        for shard in state.claim_shards.values()
        for voter in (*shard.voters, *shard.previous)
    }
    return {
        voter: lost_since_ms.get(voter, now_ms)
        for voter in voters
        if not is_live(state, voter)
    }


def plan_shards(
    state: ClusterState,
    reports: Mapping[ShardName, Mapping[Voter, int]],
    lost_since_ms: Mapping[Voter, int],
    now_ms: int,
) -> list[ClaimShard]:
    """Return the claim shards to put next, most urgent first.

    The caller is the leader and gives its latest applied state; `reports`, the
    epoch that each voter's heartbeats name as synced (`LeaseTable.list_synced`);
    `lost_since_ms`, what `track_lost` returned for this state; and `now_ms`, of
    the clock of `lost_since_ms`, which must not go back while it leads. A shard
    without voters stands for its removal.
    """
    planner = Planner(state, reports, lost_since_ms, now_ms)
    return planner.plan()


class Planner:
    """One call to `plan_shards`, with what it derives from the state."""

    state: ClusterState
    reports: Mapping[ShardName, Mapping[Voter, int]]
    lost_since_ms: Mapping[Voter, int]
    now_ms: int
    # Data centre of each agent that may become a voter.
    candidates: dict[Voter, str]
    # The agents of `candidates`, by name.
    by_name: dict[str, Agent]
    # The same by data centre.
    by_centre: dict[str, list[Agent]]
    # Number of candidates in each data centre.
    available: Counter[str]

    def __init__(
        self,
        state: ClusterState,
        reports: Mapping[ShardName, Mapping[Voter, int]],
        lost_since_ms: Mapping[Voter, int],
        now_ms: int,
    ) -> None:
        self.state = state
        self.reports = reports
        self.lost_since_ms = lost_since_ms
        self.now_ms = now_ms
        self.by_name = {
            agent.name: agent for agent in state.agents.values() if not agent.draining
        }
        self.candidates = {
            Voter(agent.name, agent.incarnation): agent.data_centre
            for agent in self.by_name.values()
        }
        self.by_centre = group_by_centre(self.by_name.values())
        self.available = Counter(self.candidates.values())

    def plan(self) -> list[ClaimShard]:
        """Return all changes, as far as the limits allow."""
        kept, removed = self.split_shards()
        ends = sorted(self.end_changes(kept), key=lambda shard: shard.name)
        removals = (
            replace(shard, epoch=shard.epoch + 1, voters=(), previous=())
            for shard in removed
        )
        changing = sum(bool(shard.previous) for shard in kept) - len(ends)
        begins = self.begin_changes(kept, max(0, MAXIMUM_CHANGING - changing))
        # Lazily: choosing voters is what costs.
        plan = chain(ends, removals, begins, self.create())
        return list(islice(plan, MAXIMUM_CHANGES))

    def split_shards(self) -> tuple[list[ClaimShard], list[ClaimShard]]:
        """Return the shards of services that stand, and of those removed."""
        kept: list[ClaimShard] = []
        removed: list[ClaimShard] = []
        for name, shard in self.state.claim_shards.items():
            stands = name.service in self.state.services
            (kept if stands else removed).append(shard)
        # Sorting the few, not the many.
        removed.sort(key=lambda shard: shard.name)
        return kept, removed

    # Shards in change.

    def end_changes(self, shards: Iterable[ClaimShard]) -> Iterator[ClaimShard]:
        """Yield the shards whose change ends or is given up."""
        for shard in shards:
            if not shard.previous:
                continue
            if self.count_synced(shard) >= compute_majority(shard.voters):
                yield replace(shard, previous=())
            elif self.can_give_up(shard):
                yield self.start_again(shard)

    def count_synced(self, shard: ClaimShard) -> int:
        """Return the number of voters that reported the epoch as synced."""
        reported = self.reports.get(shard.name, {})
        return sum(reported.get(voter) == shard.epoch for voter in shard.voters)

    def count_live(self, voters: Iterable[Voter]) -> int:
        """Return the number of voters that are members."""
        return sum(is_live(self.state, voter) for voter in voters)

    def can_give_up(self, shard: ClaimShard) -> bool:
        """Tell whether a shard can't go on and no claim of it can matter any more."""
        if not self.stands_still(shard):
            return False
        ended = filter(self.has_ended, (*shard.voters, *shard.previous))
        last_vote_ms = max(map(self.find_end, ended))
        return self.now_ms - last_vote_ms >= RECORD_LIFETIME_MS

    def stands_still(self, shard: ClaimShard) -> bool:
        """Tell whether neither this epoch nor the one before can grant a claim."""
        before_lost = self.has_lost_quorum(shard.previous)
        if self.has_lost_quorum(shard.voters):
            # The next epoch seals the one before, unless that is at its end too.
            return before_lost or self.has_quorum(shard.previous)
        if not shard.previous:
            return False
        possible = self.count_possible_votes(shard)
        return before_lost and possible < compute_majority(shard.voters)

    def start_again(self, shard: ClaimShard) -> ClaimShard:
        """Return the next epoch of a shard whose change can't end."""
        previous = shard.previous if self.has_quorum(shard.previous) else ()
        voters = self.choose_voters(shard.name, self.list_kept(shard.voters))
        return replace(shard, epoch=shard.epoch + 1, voters=voters, previous=previous)

    # Stable shards.

    def begin_changes(
        self, shards: Iterable[ClaimShard], limit: int
    ) -> Iterator[ClaimShard]:
        """Yield the next epochs of stable shards, those with fewest voters first."""
        stable = (shard for shard in shards if not shard.previous)
        needy = [shard for shard in stable if self.needs_change(shard)]
        needy.sort(key=lambda shard: (self.count_live(shard.voters), shard.name))
        for shard in needy[:limit]:
            if not self.has_quorum(shard.voters):
                yield self.start_again(shard)
                continue
            voters = self.choose_voters(shard.name, self.list_kept(shard.voters))
            epoch = shard.epoch + 1
            yield replace(shard, epoch=epoch, voters=voters, previous=shard.voters)

    def needs_change(self, shard: ClaimShard) -> bool:
        """Tell whether a stable shard is to have other voters now."""
        if self.is_settled(shard):
            return False
        if not self.has_quorum(shard.voters):
            return self.can_give_up(shard)
        kept = self.list_kept(shard.voters)
        return len(kept) < len(shard.voters) or len(kept) < self.wanted

    @property
    def wanted(self) -> int:
        """Number of voters each shard should have."""
        return min(CLAIM_VOTERS, len(self.candidates))

    def is_settled(self, shard: ClaimShard) -> bool:
        """Tell whether a shard has all the voters it should, well spread."""
        if len(shard.voters) < self.wanted:
            return False
        # Runs for each shard in each call: names hash faster than voters.
        agents = [self.by_name.get(voter.agent) for voter in shard.voters]
        held: dict[str, int] = {}
        for agent, voter in zip(agents, shard.voters, strict=True):
            if agent is None or agent.incarnation != voter.incarnation:
                return False
            held[agent.data_centre] = held.get(agent.data_centre, 0) + 1
        if max(held.values()) < compute_majority(shard.voters):
            return True
        return self.find_surplus(shard.voters) is None

    def create(self) -> Iterator[ClaimShard]:
        """Yield the shards that services lack."""
        for service in sorted(self.state.services):
            for index in range(CLAIM_SHARDS_PER_SERVICE):
                name = ShardName(service, index)
                if name in self.state.claim_shards or not self.candidates:
                    continue
                voters = self.choose_voters(name, [])
                yield ClaimShard(name, self.state.generation + 1, voters, ())

    # Quorums.

    def has_quorum(self, voters: tuple[Voter, ...]) -> bool:
        """Tell whether a majority of the voters are members."""
        return self.count_live(voters) >= compute_majority(voters)

    def has_lost_quorum(self, voters: tuple[Voter, ...]) -> bool:
        """Tell whether the voters can form no majority any more, come what may."""
        ended = sum(self.has_ended(voter) for voter in voters)
        return len(voters) - ended < compute_majority(voters)

    def count_possible_votes(self, shard: ClaimShard) -> int:
        """Return how many voters are synced, or may be and are cut off."""
        reported = self.reports.get(shard.name, {})
        return sum(
            reported.get(voter) == shard.epoch
            if is_live(self.state, voter)
            else not self.has_ended(voter)
            for voter in shard.voters
        )

    def has_ended(self, voter: Voter) -> bool:
        """Tell whether a voter certainly casts no vote any more."""
        if is_live(self.state, voter):
            return False
        return self.find_end(voter) <= self.now_ms

    def find_end(self, voter: Voter) -> int:
        """Return the time from which on a lost voter casts no vote.

        A process that was replaced by a later one of its name is gone; another
        may only be cut off, and votes until its lease runs out.
        """
        since_ms = self.lost_since_ms.get(voter, self.now_ms)
        replaced = voter.agent in self.state.agents
        return since_ms if replaced else since_ms + VOTER_LEASE_MS

    # Placement.

    def list_kept(self, voters: Iterable[Voter]) -> list[Voter]:
        """Return the voters that stay where the voters are chosen anew."""
        live = [voter for voter in voters if is_live(self.state, voter)]
        staying = [voter for voter in live if voter in self.candidates]
        leaving = [voter for voter in live if voter not in self.candidates]
        # Better a draining voter than fewer voters than before.
        spare = len(self.candidates) - len(staying)
        kept = [*staying, *leaving[spare:]]
        surplus = self.find_surplus(tuple(kept))
        return [voter for voter in kept if voter != surplus]

    def find_surplus(self, voters: tuple[Voter, ...]) -> Voter | None:
        """Return a voter to move to another data centre; None if well spread.

        A data centre that holds a majority gives one away if another has an agent
        to spare, so that the loss of one data centre leaves a majority.
        """
        held = Counter(self.find_centre(voter) for voter in voters)
        centre, most = max(held.items(), key=lambda item: item[::-1], default=("", 0))
        if most < compute_majority(voters) or most == 1:
            return None
        better = any(
            held[other] + 1 < most and self.available[other] > held[other]
            for other in self.available
        )
        if not better:
            return None
        return max(voter for voter in voters if self.find_centre(voter) == centre)

    def find_centre(self, voter: Voter) -> str:
        """Return the data centre of a live voter."""
        return self.state.agents[voter.agent].data_centre

    def choose_voters(self, name: ShardName, kept: list[Voter]) -> tuple[Voter, ...]:
        """Return `kept` and the best candidates for the places left.

        Rendezvous hashing ranks the candidates; each place goes to a data centre
        with the fewest voters. Agents count alike: the size of a backend server
        says nothing about the host's room for claims.
        """
        voters = list(kept)
        held = Counter(self.find_centre(voter) for voter in kept)
        names = {voter.agent for voter in kept}
        prefix = f"{name.service}/{name.index}/".encode()
        ranked = [
            agent
            for members in self.by_centre.values()
            for agent in self.rank_agents(members, prefix, names)
        ]
        while ranked and len(voters) < CLAIM_VOTERS:
            # The best ranked of a data centre with the fewest voters.
            best = min(
                ranked,
                key=lambda agent: (
                    held[agent.data_centre],
                    compute_score(prefix, agent),
                ),
            )
            ranked.remove(best)
            held[best.data_centre] += 1
            voters.append(Voter(best.name, best.incarnation))
        return tuple(sorted(voters))

    def rank_agents(
        self, members: list[Agent], prefix: bytes, kept: set[str]
    ) -> list[Agent]:
        """Return as many of the best agents of one data centre as there are places."""
        others = (agent for agent in members if agent.name not in kept)
        return nsmallest(
            CLAIM_VOTERS, others, key=lambda agent: compute_score(prefix, agent)
        )


def group_by_centre(agents: Iterable[Agent]) -> dict[str, list[Agent]]:
    """Return the agents of each data centre."""
    groups: dict[str, list[Agent]] = defaultdict(list)
    for agent in agents:
        groups[agent.data_centre].append(agent)
    return groups


def compute_score(prefix: bytes, agent: Agent) -> int:
    """Return the rank of an agent for a shard; the lowest comes first.

    `prefix` names the shard. The incarnation does not count: an agent that starts
    again ranks as before.
    """
    return xxh3_64_intdigest(prefix + agent.name.encode())
