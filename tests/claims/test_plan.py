"""Tests of the planner: voters of claim shards when agents are lost, drain or join."""

from collections import Counter
from dataclasses import replace

import pytest

from lentilfork.claims import CLAIM_VOTERS
from lentilfork.claims import plan_shards
from lentilfork.claims.plan import RECORD_LIFETIME_MS
from lentilfork.claims.plan import VOTER_LEASE_MS
from lentilfork.state.model import Agent
from lentilfork.state.model import ClaimShard
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Service
from lentilfork.state.model import ShardName
from lentilfork.state.model import Voter

NAME = ShardName("reports", 0)
SERVICE = Service(1, "reports", "10.0.0.1", 5683, 3000, (), 1)
DATA_CENTRES = ("kandy-a", "nuwara-b", "badulla-c")


def make_agent(number: int, incarnation: int = 1, draining: bool = False) -> Agent:
    """Return the agent `a<number>`, in a data centre that depends on its number."""
    return Agent(
        f"a{number}",
        incarnation,
        "reports",
        DATA_CENTRES[number % 3],
        "",
        "",
        1,
        draining,
        1,
    )


def make_state(*agents: Agent, shard: ClaimShard | None = None) -> ClusterState:
    """Return a state with one service and, if given, its first shard."""
    return ClusterState(
        7,
        services={"reports": SERVICE},
        agents={agent.name: agent for agent in agents},
        claim_shards={} if shard is None else {NAME: shard},
    )


def plan_first_shard(
    state: ClusterState,
    synced: tuple[Voter, ...] = (),
    lost_ms: int = 0,
    now_ms: int = 0,
) -> ClaimShard | None:
    """Return the planned change of the first shard, if any."""
    current = state.claim_shards.get(NAME)
    epoch = current.epoch if current else 0
    voters = (*current.voters, *current.previous) if current else ()
    reports = {NAME: dict.fromkeys(synced, epoch)}
    lost = dict.fromkeys(voters, lost_ms)
    planned = plan_shards(state, reports, lost, now_ms)
    return next((shard for shard in planned if shard.name == NAME), None)


AGENTS = tuple(make_agent(number) for number in range(9))
FIRST = plan_first_shard(make_state(*AGENTS))
assert FIRST is not None
VOTERS = FIRST.voters
OTHERS = tuple(agent for agent in AGENTS if Voter(agent.name, 1) not in VOTERS)


def lose_voters(count: int, incarnation: int = 0) -> tuple[Agent, ...]:
    """Return the agents after the loss of the first `count` voters.

    With `incarnation`, the lost agents have restarted at this incarnation instead.
    """
    lost = {voter.agent for voter in VOTERS[:count]}
    return tuple(
        replace(agent, incarnation=incarnation) if agent.name in lost else agent
        for agent in AGENTS
        if agent.name not in lost or incarnation
    )


def test_voters_are_spread_and_the_epoch_is_new() -> None:
    large_state = make_state(*map(make_agent, range(60)))
    for shard in plan_shards(large_state, {}, {}, 0):
        assert len(shard.voters) == CLAIM_VOTERS
        voter_counts = Counter(
            DATA_CENTRES[int(voter.agent[1:]) % 3] for voter in shard.voters
        )
        assert sorted(voter_counts.values()) == [1, 2, 2]
    # The epoch is the next generation, which no earlier shard of this name had.
    assert FIRST is not None
    assert FIRST.epoch == 8


def test_voters_stay_when_agents_join() -> None:
    joined = (*AGENTS, *(make_agent(number) for number in range(9, 40)))
    assert plan_first_shard(make_state(*joined, shard=FIRST)) is None


@pytest.mark.parametrize("incarnation", [0, 2])
def test_two_lost_voters_are_replaced(incarnation: int) -> None:
    state = make_state(*lose_voters(2, incarnation), shard=FIRST)
    planned = plan_first_shard(state)
    assert planned is not None
    assert planned.previous == VOTERS
    assert set(VOTERS[2:]) < set(planned.voters)
    assert len(planned.voters) == CLAIM_VOTERS
    # The change does not end until a majority of the new voters is synced.
    changing = replace(state, claim_shards={NAME: planned})
    assert plan_first_shard(changing, planned.voters[:2]) is None
    synced = plan_first_shard(changing, planned.voters[:3])
    assert synced == replace(planned, previous=())


def test_a_draining_voter_is_replaced_and_a_small_shard_grows() -> None:
    leaving = VOTERS[0].agent
    drained = [replace(agent, draining=agent.name == leaving) for agent in AGENTS]
    planned = plan_first_shard(make_state(*drained, shard=FIRST))
    assert planned is not None
    assert set(planned.voters) > set(VOTERS[1:])
    assert VOTERS[0] not in planned.voters
    small = ClaimShard(NAME, 3, VOTERS[:2], ())
    grown = plan_first_shard(make_state(*AGENTS, shard=small))
    assert grown is not None
    assert len(grown.voters) == CLAIM_VOTERS
    assert set(VOTERS[:2]) < set(grown.voters)


@pytest.mark.parametrize(
    ("incarnation", "wait_ms"),
    # A restarted process has lost its votes; a missing one may only be cut off and
    # votes until its lease expires.
    [(2, RECORD_LIFETIME_MS), (0, VOTER_LEASE_MS + RECORD_LIFETIME_MS)],
)
def test_a_lost_quorum_restarts_after_all_claims_have_expired(
    incarnation: int, wait_ms: int
) -> None:
    state = make_state(*lose_voters(3, incarnation), shard=FIRST)
    assert plan_first_shard(state, lost_ms=500, now_ms=500 + wait_ms - 1) is None
    planned = plan_first_shard(state, lost_ms=500, now_ms=500 + wait_ms)
    assert planned is not None
    assert planned.previous == ()
    assert planned.epoch == 9
    assert set(VOTERS[3:]) < set(planned.voters)


def test_a_change_that_lost_its_voters_returns_to_the_previous_ones() -> None:
    new = (Voter("b1", 1), Voter("b2", 1), Voter("b3", 1))
    shard = ClaimShard(NAME, 9, new, VOTERS)
    state = make_state(*AGENTS, shard=shard)
    wait_ms = VOTER_LEASE_MS + RECORD_LIFETIME_MS
    assert plan_first_shard(state, now_ms=wait_ms - 1) is None
    planned = plan_first_shard(state, now_ms=wait_ms)
    assert planned is not None
    # Some previous voters may still vote in the previous epoch, so it must be sealed.
    assert planned.previous == VOTERS


def test_a_stable_shard_waits_for_voters_that_may_be_cut_off() -> None:
    shard = ClaimShard(NAME, 8, VOTERS[:4], ())
    assert (
        plan_first_shard(make_state(*lose_voters(2), shard=shard), now_ms=10_000)
        is None
    )


def test_a_shard_of_a_removed_service_is_removed() -> None:
    state = replace(make_state(*AGENTS, shard=FIRST), services={})
    assert plan_first_shard(state) == ClaimShard(NAME, 9, (), ())
