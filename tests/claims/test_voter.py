"""Tests of voters and records in interleavings that could let a request run twice."""

import asyncio

import pytest

from lentilfork.claims import ClaimClient
from lentilfork.claims import ClaimVoter
from lentilfork.claims import Grant
from lentilfork.claims import NoQuorum
from lentilfork.claims import get_shard_name
from lentilfork.claims.peers import VoterRequest
from lentilfork.claims.records import RECORD_LIFETIME_S
from lentilfork.claims.records import Attempt
from lentilfork.claims.records import Record
from lentilfork.claims.records import RecordTable
from lentilfork.claims.records import decode_record
from lentilfork.claims.records import encode_attempt
from lentilfork.claims.records import encode_record
from lentilfork.claims.voter import VOTER_LEASE_S
from lentilfork.claims.voter import encode_epoch
from lentilfork.counters import Counters
from lentilfork.schema.claims_pb2 import ClaimReply
from lentilfork.schema.claims_pb2 import ClaimRequest
from lentilfork.schema.claims_pb2 import SyncReply
from lentilfork.schema.claims_pb2 import SyncRequest
from lentilfork.state.model import Agent
from lentilfork.state.model import ClaimShard
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Voter

KEY = b"key"
SHARD = get_shard_name("reports", KEY)
NAMES = ("a1", "a2", "a3", "a4", "a5")
OLD_VOTERS = tuple(Voter(name, 1) for name in NAMES[:3])
NEW_VOTERS = tuple(Voter(name, 1) for name in NAMES[2:])
FIRST = Attempt(b"first", b"exchange", OLD_VOTERS[0])
SECOND = Attempt(b"second", b"other exchange", OLD_VOTERS[1])
NOT_RUN = Attempt(b"third", FIRST.exchange, OLD_VOTERS[2])
TIMEOUT_S = 5.0


class VoterGroup:
    """Voters in one process that call each other directly."""

    voters: dict[str, ClaimVoter]
    # Names of the voters from which records can be synced.
    reachable: set[str]
    now: float

    def __init__(self) -> None:
        self.now = 0.0
        self.reachable = set(NAMES)
        self.voters = {
            name: ClaimVoter(Voter(name, 1), self, Counters(), lambda: self.now)
            for name in NAMES
        }

    async def call(
        self, address: str, request: VoterRequest, timeout_s: float
    ) -> ClaimReply | None:
        """Return the reply of a voter."""
        return self.voters[address].handle_request(request)

    async def sync(self, address: str, request: SyncRequest) -> list[SyncReply] | None:
        """Return the records of a voter; None if it cannot be reached."""
        if address not in self.reachable:
            return None
        return [part async for part in self.voters[address].Sync(request, None)]

    def apply_epoch(self, epoch: int, *names: str) -> None:
        """Apply an epoch at some voters: 1 has the old voters, 2 the new ones."""
        shard = ClaimShard(SHARD, 1, OLD_VOTERS, ())
        if epoch == 2:
            shard = ClaimShard(SHARD, 2, NEW_VOTERS, OLD_VOTERS)
        agents = {
            name: Agent(name, 1, "reports", "kandy-a", name, name, 1, False, 1)
            for name in NAMES
        }
        state = ClusterState(epoch, agents=agents, claim_shards={SHARD: shard})
        for name in names:
            self.voters[name].apply_state(state)

    def claim(self, name: str, epoch: int, attempt: Attempt) -> str:
        """Return the name of one voter's verdict on a claim."""
        request = ClaimRequest(
            shard=encode_epoch(SHARD, epoch), key=KEY, attempt=encode_attempt(attempt)
        )
        return ClaimReply.Verdict.Name(
            self.voters[name].handle_request(request).verdict
        )

    async def wait_synced(self, *names: str) -> None:
        """Wait until the named voters have synced the new epoch."""
        async with asyncio.timeout(TIMEOUT_S):
            while not all(self.voters[name].list_synced_shards() for name in names):
                await asyncio.sleep(0.01)


@pytest.fixture
async def group() -> VoterGroup:
    """Return voters that have all applied the first epoch."""
    group = VoterGroup()
    group.apply_epoch(1, *NAMES)
    return group


async def test_old_epoch_of_lagging_voters_is_sealed(group: VoterGroup) -> None:
    group.apply_epoch(2, "a3", "a4", "a5")
    await group.wait_synced("a3", "a4", "a5")
    assert [group.claim(name, 2, FIRST) for name in ("a4", "a5")] == ["GRANTED"] * 2
    # a1 and a2 are a majority of the old voters and have not applied the change.
    assert [group.claim(name, 1, SECOND) for name in ("a1", "a2")] == ["STALE"] * 2


async def test_a_new_voter_needs_a_majority_of_the_old(group: VoterGroup) -> None:
    assert [group.claim(name, 1, FIRST) for name in ("a1", "a2")] == ["GRANTED"] * 2
    group.reachable = {"a3"}
    group.apply_epoch(2, "a4")
    await asyncio.sleep(0.1)
    assert group.claim("a4", 2, SECOND) == "NOT_VOTING"
    group.reachable = {"a2", "a3"}
    await group.wait_synced("a4")
    assert group.claim("a4", 2, SECOND) == "HELD"


async def test_another_agent_at_the_address_of_an_old_voter_is_not_merged_from(
    group: VoterGroup,
) -> None:
    # a1 and a2 were replaced by agents that reuse their addresses and, by chance, their
    # incarnations.
    for name in ("a1", "a2"):
        replacement = ClaimVoter(
            Voter(f"new-{name}", 1), group, Counters(), lambda: group.now
        )
        group.voters[name] = replacement
        group.apply_epoch(1, name)
    group.reachable = {"a1", "a2"}
    group.apply_epoch(2, "a4")
    await asyncio.sleep(0.1)
    assert not group.voters["a4"].list_synced_shards()


@pytest.mark.parametrize("winner", [("a1", "a2"), ("a1", "a3")])
async def test_contested_records_are_not_granted_to_another_attempt(
    group: VoterGroup, winner: tuple[str, str]
) -> None:
    loser = ({"a1", "a2", "a3"} - set(winner)).pop()
    assert [group.claim(name, 1, FIRST) for name in winner] == ["GRANTED"] * 2
    assert group.claim(loser, 1, SECOND) == "GRANTED"
    group.reachable = {"a2", "a3"}
    group.apply_epoch(2, "a4")
    await group.wait_synced("a4")
    assert group.claim("a4", 2, SECOND) == "HELD"


async def test_a_voter_that_applied_a_change_does_not_vote_in_the_old_epoch(
    group: VoterGroup,
) -> None:
    group.apply_epoch(2, "a3")
    await group.wait_synced("a3")
    assert group.claim("a3", 1, FIRST) == "STALE"


async def test_a_voter_stops_when_its_lease_ends(group: VoterGroup) -> None:
    group.now = VOTER_LEASE_S
    assert group.claim("a1", 1, FIRST) == "NOT_VOTING"
    # The leader has a later generation, so this voter may have missed an epoch.
    group.voters["a1"].renew_lease(2)
    assert group.claim("a1", 1, FIRST) == "NOT_VOTING"
    group.voters["a1"].renew_lease(1)
    assert group.claim("a1", 1, FIRST) == "GRANTED"


async def test_a_later_process_at_an_address_does_not_vote(group: VoterGroup) -> None:
    first = group.voters["a1"]
    client = ClaimClient(first.local_voter, group, first, Counters())
    group.voters["a2"] = ClaimVoter(Voter("a2", 2), group, Counters())
    group.voters["a3"] = ClaimVoter(Voter("a3", 2), group, Counters())
    for name in ("a2", "a3"):
        # These processes accept claims of this epoch although they are not its voters.
        group.voters[name].replicas = first.replicas
    deadline = client.clock() + 0.2
    outcome = await client.claim("reports", KEY, FIRST.exchange, deadline)
    assert outcome == NoQuorum()


def test_an_exchange_refused_elsewhere_is_not_granted_to_its_merged_holder() -> None:
    # FIRST was granted by a minority in the previous epoch, and a majority recorded
    # NOT_RUN.
    table, minority = RecordTable(), RecordTable()
    table.settle_not_run(KEY, NOT_RUN, 0.0)
    minority.claim(KEY, FIRST, 0.0)
    table.merge(minority, 0.0)
    assert table.claim(KEY, FIRST, 0.0) == ClaimReply.HELD


def test_a_full_table_refuses_instead_of_evicting() -> None:
    table = RecordTable(maximum_records=1)
    assert table.claim(KEY, FIRST, 0.0) == ClaimReply.GRANTED
    assert table.claim(b"other", SECOND, 1.0) == ClaimReply.FULL
    assert table.settle_not_run(b"other", SECOND, 1.0) == ClaimReply.FULL
    later = RECORD_LIFETIME_S - 0.1
    assert table.claim(KEY, SECOND, later) == ClaimReply.HELD
    assert table.claim(KEY, SECOND, later + RECORD_LIFETIME_S) == ClaimReply.GRANTED


def test_a_merged_record_keeps_its_age() -> None:
    table = RecordTable()
    record = Record(KEY, last_used_at=5.0, holders={FIRST.id: FIRST})
    table.merge([decode_record(encode_record(record, 10.0), 10.0)], 10.0)
    table.expire(4.9 + RECORD_LIFETIME_S)
    assert len(table) == 1
    table.expire(5.0 + RECORD_LIFETIME_S)
    assert len(table) == 0


@pytest.mark.parametrize(
    ("now", "may_begin"), [(9.9, True), (10.0, False), (600.0, False)]
)
def test_a_grant_begins_once_and_in_time(now: float, may_begin: bool) -> None:
    grant = Grant("reports", KEY, FIRST, expires_at=10.0, clock=lambda: now)
    assert grant.begin() is may_begin
    assert not grant.begin()
    # "Not run" may be recorded only for a request that has not begun.
    assert grant.abandon() is not may_begin
