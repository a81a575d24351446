"""Assignment of voters to claim shards, planned by the leader of the controllers.

The plan is a pure function of its arguments. Invariants:

- the voters of a shard change only while `previous` is empty, that is, while a
  majority of the voters holds every record; the only exception is a shard that
  lost its quorum;
- a shard that lost its quorum is restarted without records only after every
  process that could still vote in it has stopped and the lifetime of a record has
  passed since then;
- epochs only increase, also when a service is removed and applied again: the first
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

__all__ = ["CLAIM_VOTERS", "is_live", "plan_shards", "track_lost_voters"]

# A majority is left when two voters are lost at the same time.
CLAIM_VOTERS: Final = 5
# Shards whose voters change at the same time.
MAXIMUM_CHANGING_SHARDS: Final = 64
# Changes returned by one call of `plan_shards`.
MAXIMUM_PLANNED_CHANGES: Final = 16
RECORD_LIFETIME_MS: Final = int(RECORD_LIFETIME_S * 1000)
VOTER_LEASE_MS: Final = int(VOTER_LEASE_S * 1000)


def is_live(state: ClusterState, voter: Voter) -> bool:
    """Return whether the agreed state contains a voter at its incarnation."""
    agent = state.agents.get(voter.agent)
    return agent is not None and agent.incarnation == voter.incarnation


def track_lost_voters(
    state: ClusterState, lost_since_ms: Mapping[Voter, int], now_ms: int
) -> dict[Voter, int]:
    """Return when each voter that is not live was first found lost, in milliseconds.

    The leader passes the result as `lost_since_ms` to its next call; a new leader
    starts with an empty one.
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
    """Return the next changes of claim shards, most urgent first.

    The caller is the leader and passes its latest applied state. `reports` has
    the epoch that each voter's heartbeats report as synced (`LeaseTable.list_synced`).
    `lost_since_ms` is the result of `track_lost_voters` for this state, and `now_ms` is
    the time of the same clock, which must not go back while the caller leads. A
    returned shard without voters means that the shard is to be removed.
    """
    planner = Planner(state, reports, lost_since_ms, now_ms)
    return planner.plan()


class Planner:
    """One call of `plan_shards`, with data derived from the state."""

    state: ClusterState
    reports: Mapping[ShardName, Mapping[Voter, int]]
    lost_since_ms: Mapping[Voter, int]
    now_ms: int
    # Data centre of each agent that may become a voter.
    candidates: dict[Voter, str]
    # The agents of `candidates` by agent name.
    agents_by_name: dict[str, Agent]
    # The agents of `candidates` by data centre.
    agents_by_data_centre: dict[str, list[Agent]]
    # Number of candidates in each data centre.
    candidate_counts: Counter[str]

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
        self.agents_by_name = {
            agent.name: agent for agent in state.agents.values() if not agent.draining
        }
        self.candidates = {
            Voter(agent.name, agent.incarnation): agent.data_centre
            for agent in self.agents_by_name.values()
        }
        self.agents_by_data_centre = group_by_data_centre(self.agents_by_name.values())
        self.candidate_counts = Counter(self.candidates.values())

    def plan(self) -> list[ClaimShard]:
        """Return the changes to make now, within the limits on their number."""
        existing, removed = self.split_by_service()
        finished = sorted(self.finish_changes(existing), key=lambda shard: shard.name)
        removals = (
            replace(shard, epoch=shard.epoch + 1, voters=(), previous=())
            for shard in removed
        )
        changing = sum(bool(shard.previous) for shard in existing) - len(finished)
        started = self.start_changes(
            existing, max(0, MAXIMUM_CHANGING_SHARDS - changing)
        )
        # Evaluated lazily, because choosing voters is the expensive part.
        plan = chain(finished, removals, started, self.create_missing())
        return list(islice(plan, MAXIMUM_PLANNED_CHANGES))

    def split_by_service(self) -> tuple[list[ClaimShard], list[ClaimShard]]:
        """Return the shards of existing services and those of removed services."""
        existing: list[ClaimShard] = []
        removed: list[ClaimShard] = []
        for name, shard in self.state.claim_shards.items():
            exists = name.service in self.state.services
            (existing if exists else removed).append(shard)
        # Only the removed shards are sorted, because there are few of them.
        removed.sort(key=lambda shard: shard.name)
        return existing, removed

    # Shards whose voters are changing.

    def finish_changes(self, shards: Iterable[ClaimShard]) -> Iterator[ClaimShard]:
        """Yield the shards whose change is complete or must be abandoned."""
        for shard in shards:
            if not shard.previous:
                continue
            if self.count_synced(shard) >= compute_majority(shard.voters):
                yield replace(shard, previous=())
            elif self.can_restart(shard):
                yield self.make_restart_epoch(shard)

    def count_synced(self, shard: ClaimShard) -> int:
        """Return the number of voters that report the shard's epoch as synced."""
        reported_epochs = self.reports.get(shard.name, {})
        return sum(reported_epochs.get(voter) == shard.epoch for voter in shard.voters)

    def count_live(self, voters: Iterable[Voter]) -> int:
        """Return the number of voters that are live members."""
        return sum(is_live(self.state, voter) for voter in voters)

    def can_restart(self, shard: ClaimShard) -> bool:
        """Return whether a shard is stalled and all its claims have expired."""
        if not self.is_stalled(shard):
            return False
        stopped = filter(self.has_stopped_voting, (*shard.voters, *shard.previous))
        last_vote_ms = max(map(self.find_vote_end_ms, stopped))
        return self.now_ms - last_vote_ms >= RECORD_LIFETIME_MS

    def is_stalled(self, shard: ClaimShard) -> bool:
        """Return whether neither this epoch nor the previous one can grant a claim."""
        previous_lost = self.has_lost_quorum(shard.previous)
        if self.has_lost_quorum(shard.voters):
            # If the previous voters still have a quorum, the next epoch syncs from
            # them and so seals the previous one.
            return previous_lost or self.has_quorum(shard.previous)
        if not shard.previous:
            return False
        possible_votes = self.count_possible_votes(shard)
        return previous_lost and possible_votes < compute_majority(shard.voters)

    def make_restart_epoch(self, shard: ClaimShard) -> ClaimShard:
        """Return the next epoch of a stalled shard.

        It syncs from the previous voters if they have a quorum. Otherwise the shard
        is restarted without records.
        """
        previous = shard.previous if self.has_quorum(shard.previous) else ()
        voters = self.choose_voters(shard.name, self.list_retained(shard.voters))
        return replace(shard, epoch=shard.epoch + 1, voters=voters, previous=previous)

    # Stable shards.

    def start_changes(
        self, shards: Iterable[ClaimShard], limit: int
    ) -> Iterator[ClaimShard]:
        """Yield next epochs of stable shards, those with the fewest voters first."""
        stable = (shard for shard in shards if not shard.previous)
        due = [shard for shard in stable if self.needs_change(shard)]
        due.sort(key=lambda shard: (self.count_live(shard.voters), shard.name))
        for shard in due[:limit]:
            if not self.has_quorum(shard.voters):
                yield self.make_restart_epoch(shard)
                continue
            voters = self.choose_voters(shard.name, self.list_retained(shard.voters))
            epoch = shard.epoch + 1
            yield replace(shard, epoch=epoch, voters=voters, previous=shard.voters)

    def needs_change(self, shard: ClaimShard) -> bool:
        """Return whether the voters of a stable shard should change now."""
        if self.is_well_placed(shard):
            return False
        if not self.has_quorum(shard.voters):
            return self.can_restart(shard)
        retained = self.list_retained(shard.voters)
        return (
            len(retained) < len(shard.voters) or len(retained) < self.target_voter_count
        )

    @property
    def target_voter_count(self) -> int:
        """Number of voters that each shard should have."""
        return min(CLAIM_VOTERS, len(self.candidates))

    def is_well_placed(self, shard: ClaimShard) -> bool:
        """Return whether a shard has enough live voters, spread over data centres."""
        if len(shard.voters) < self.target_voter_count:
            return False
        # This runs for each shard in each call, so agents are looked up by name:
        # names hash faster than voters.
        agents = [self.agents_by_name.get(voter.agent) for voter in shard.voters]
        voter_counts: dict[str, int] = {}
        for agent, voter in zip(agents, shard.voters, strict=True):
            if agent is None or agent.incarnation != voter.incarnation:
                return False
            voter_counts[agent.data_centre] = voter_counts.get(agent.data_centre, 0) + 1
        if max(voter_counts.values()) < compute_majority(shard.voters):
            return True
        return self.find_surplus(shard.voters) is None

    def create_missing(self) -> Iterator[ClaimShard]:
        """Yield the shards that the services do not have yet."""
        for service in sorted(self.state.services):
            for index in range(CLAIM_SHARDS_PER_SERVICE):
                name = ShardName(service, index)
                if name in self.state.claim_shards or not self.candidates:
                    continue
                voters = self.choose_voters(name, [])
                yield ClaimShard(name, self.state.generation + 1, voters, ())

    # Quorums.

    def has_quorum(self, voters: tuple[Voter, ...]) -> bool:
        """Return whether a majority of the voters are live members."""
        return self.count_live(voters) >= compute_majority(voters)

    def has_lost_quorum(self, voters: tuple[Voter, ...]) -> bool:
        """Return whether the voters can never form a majority again."""
        stopped = sum(self.has_stopped_voting(voter) for voter in voters)
        return len(voters) - stopped < compute_majority(voters)

    def count_possible_votes(self, shard: ClaimShard) -> int:
        """Return how many voters are synced, or are cut off but may be synced."""
        reported_epochs = self.reports.get(shard.name, {})
        return sum(
            reported_epochs.get(voter) == shard.epoch
            if is_live(self.state, voter)
            else not self.has_stopped_voting(voter)
            for voter in shard.voters
        )

    def has_stopped_voting(self, voter: Voter) -> bool:
        """Return whether a voter certainly casts no further votes."""
        if is_live(self.state, voter):
            return False
        return self.find_vote_end_ms(voter) <= self.now_ms

    def find_vote_end_ms(self, voter: Voter) -> int:
        """Return the time in milliseconds after which a lost voter casts no vote.

        A process that was replaced by a later one with the same agent name has
        ended. Any other lost process may only be cut off and votes until its lease
        expires.
        """
        lost_at_ms = self.lost_since_ms.get(voter, self.now_ms)
        replaced = voter.agent in self.state.agents
        return lost_at_ms if replaced else lost_at_ms + VOTER_LEASE_MS

    # Placement.

    def list_retained(self, voters: Iterable[Voter]) -> list[Voter]:
        """Return the voters that remain when the voters of a shard change."""
        live = [voter for voter in voters if is_live(self.state, voter)]
        staying = [voter for voter in live if voter in self.candidates]
        leaving = [voter for voter in live if voter not in self.candidates]
        # Draining voters remain as far as there are no candidates to replace them,
        # so that a shard does not end up with fewer voters than before.
        replacement_count = len(self.candidates) - len(staying)
        retained = [*staying, *leaving[replacement_count:]]
        surplus = self.find_surplus(tuple(retained))
        return [voter for voter in retained if voter != surplus]

    def find_surplus(self, voters: tuple[Voter, ...]) -> Voter | None:
        """Return a voter to move to another data centre; None if there is none.

        A data centre with a majority of the voters loses one if another data
        centre has an agent that can replace it, so that the loss of one data centre
        leaves a majority.
        """
        voter_counts = Counter(self.get_data_centre(voter) for voter in voters)
        data_centre, highest_count = max(
            voter_counts.items(), key=lambda item: item[::-1], default=("", 0)
        )
        if highest_count < compute_majority(voters) or highest_count == 1:
            return None
        can_move = any(
            voter_counts[other] + 1 < highest_count
            and self.candidate_counts[other] > voter_counts[other]
            for other in self.candidate_counts
        )
        if not can_move:
            return None
        return max(
            voter for voter in voters if self.get_data_centre(voter) == data_centre
        )

    def get_data_centre(self, voter: Voter) -> str:
        """Return the data centre of a live voter."""
        return self.state.agents[voter.agent].data_centre

    def choose_voters(
        self, name: ShardName, retained: list[Voter]
    ) -> tuple[Voter, ...]:
        """Return `retained` and the best candidates for the remaining places.

        Rendezvous hashing ranks the candidates, and each place goes to a data
        centre with the fewest voters. All agents have equal weight, because the
        size of a backend server does not show how many claims its host can store.
        """
        voters = list(retained)
        voter_counts = Counter(self.get_data_centre(voter) for voter in retained)
        retained_names = {voter.agent for voter in retained}
        prefix = f"{name.service}/{name.index}/".encode()
        ranked = [
            agent
            for agents in self.agents_by_data_centre.values()
            for agent in self.rank_agents(agents, prefix, retained_names)
        ]
        while ranked and len(voters) < CLAIM_VOTERS:
            # The best-ranked agent of a data centre with the fewest voters.
            best = min(
                ranked,
                key=lambda agent: (
                    voter_counts[agent.data_centre],
                    compute_score(prefix, agent),
                ),
            )
            ranked.remove(best)
            voter_counts[best.data_centre] += 1
            voters.append(Voter(best.name, best.incarnation))
        return tuple(sorted(voters))

    def rank_agents(
        self, agents: list[Agent], prefix: bytes, excluded_names: set[str]
    ) -> list[Agent]:
        """Return the best `CLAIM_VOTERS` agents that are not excluded."""
        eligible = (agent for agent in agents if agent.name not in excluded_names)
        return nsmallest(
            CLAIM_VOTERS, eligible, key=lambda agent: compute_score(prefix, agent)
        )


def group_by_data_centre(agents: Iterable[Agent]) -> dict[str, list[Agent]]:
    """Return the agents of each data centre."""
    groups: dict[str, list[Agent]] = defaultdict(list)
    for agent in agents:
        groups[agent.data_centre].append(agent)
    return groups


def compute_score(prefix: bytes, agent: Agent) -> int:
    """Return the hash by which an agent ranks for a shard; the lowest is best.

    `prefix` names the shard. The incarnation is not part of the hash, so that a
    restarted agent keeps its rank.
    """
    return xxh3_64_intdigest(prefix + agent.name.encode())
