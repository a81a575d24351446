"""At-most-once execution in random schedules, with intact and broken protocols."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

import pytest

from lentilfork.claims import keys
from lentilfork.claims import plan
from lentilfork.claims import records
from lentilfork.claims import rounds
from lentilfork.claims import voter
from lentilfork.claims.records import Attempt
from lentilfork.claims.records import Record
from lentilfork.claims.records import RecordTable
from lentilfork.claims.voter import ClaimVoter
from lentilfork.state.model import ClaimShard
from tests.claims.simulation import Profile
from tests.claims.simulation import Simulation
from tests.claims.virtual import run_virtually

SEED = 20261204
BLOCKS = 8
SCHEDULES_PER_BLOCK = 64
# A broken protocol must be detected within this many schedules.
SCHEDULES_FOR_BROKEN = 100

ORDINARY = Profile()
# Records and leases expire after a few seconds, and processes pause for longer, so that
# shards are restarted without records and grants outlive their records.
SHORT_LIVES = Profile(
    length=24.0, copies=2.0, later=2.0, pause=9.0, fault_every=0.4, lag=12.0
)
PROFILES = {"ordinary": ORDINARY, "short lives": SHORT_LIVES}
Patch = pytest.MonkeyPatch


@pytest.fixture(autouse=True)
def _one_shard(monkeypatch: Patch) -> None:
    """Use one shard with three voters: short schedules, little overlap of epochs."""
    for module in (keys, plan):
        monkeypatch.setattr(module, "CLAIM_SHARDS_PER_SERVICE", 1)
    monkeypatch.setattr(plan, "CLAIM_VOTERS", 3)


def shorten_lives(monkeypatch: Patch) -> None:
    """Let records and voter leases expire within a schedule."""
    monkeypatch.setattr(records, "RECORD_LIFETIME_S", 6.0)
    monkeypatch.setattr(plan, "RECORD_LIFETIME_MS", 6_000)
    monkeypatch.setattr(voter, "VOTER_LEASE_S", 4.0)
    monkeypatch.setattr(plan, "VOTER_LEASE_MS", 4_000)


def explore(profile: Profile, first: int, count: int) -> tuple[list[str], Counter[str]]:
    """Run schedules until one has violations; return these and the event counts."""
    events: Counter[str] = Counter()
    for seed in range(first, first + count):
        simulation = Simulation(seed, profile)
        run_virtually(simulation.run())
        events += simulation.journal.events
        violations = simulation.journal.find_violations()
        if violations:
            return [f"seed {seed}: {text}" for text in violations], events
    return [], events


@pytest.mark.parametrize("block", range(BLOCKS))
@pytest.mark.parametrize("lives", PROFILES)
def test_no_schedule_breaks_a_promise(
    lives: str, block: int, monkeypatch: Patch
) -> None:
    if lives == "short lives":
        shorten_lives(monkeypatch)
    first = SEED + block * SCHEDULES_PER_BLOCK
    violations, events = explore(PROFILES[lives], first, SCHEDULES_PER_BLOCK)
    assert not violations
    # Each outcome must occur often enough for the schedules to cover it.
    for event in ("Granted", "AlreadyDone", "RefusedBefore", "NoQuorum", "refused"):
        assert events[event] > SCHEDULES_PER_BLOCK // 4, event
    assert events["epochs"] > SCHEDULES_PER_BLOCK
    assert lives == "ordinary" or events["started anew"] > SCHEDULES_PER_BLOCK // 4


def count_a_minority(monkeypatch: Patch) -> None:
    """Let runners accept one of three votes as a majority."""
    monkeypatch.setattr(rounds, "compute_majority", lambda voters: len(voters) // 2)


def forget_refusals(monkeypatch: Patch) -> None:
    """Release a claim on NOT_RUN without recording the refused exchange."""
    settle = RecordTable.settle_not_run

    def settle_not_run(
        table: RecordTable, key: bytes, attempt: Attempt, now: float
    ) -> records.Verdict:
        verdict = settle(table, key, attempt, now)
        record = table.find(key, now)
        if record is not None:
            record.refused = record.refused - {attempt.exchange}
        return verdict

    monkeypatch.setattr(RecordTable, "settle_not_run", settle_not_run)


def refuse_what_others_hold(monkeypatch: Patch) -> None:
    """Record NOT_RUN while another attempt of the exchange holds the claim."""
    monkeypatch.setattr(Record, "has_holder_of", lambda *_args, **_kwargs: False)


def vote_before_sync(monkeypatch: Patch) -> None:
    """Let new voters vote before they are synced."""
    apply_shard = ClaimVoter.apply_shard

    def vote_at_once(claim_voter: ClaimVoter, shard: ClaimShard) -> None:
        apply_shard(claim_voter, replace(shard, previous=()))

    monkeypatch.setattr(ClaimVoter, "apply_shard", vote_at_once)


def grant_again(monkeypatch: Patch) -> None:
    """Grant another attempt of an exchange to the runner that already holds it."""

    def claim_by_runner(
        table: RecordTable, key: bytes, attempt: Attempt, now: float
    ) -> records.Verdict:
        same = Attempt(attempt.exchange, attempt.exchange, attempt.runner)
        return claim(table, key, same, now)

    claim = RecordTable.claim
    monkeypatch.setattr(RecordTable, "claim", claim_by_runner)


def start_anew_at_once(monkeypatch: Patch) -> None:
    """Restart a shard that lost its quorum without waiting."""
    monkeypatch.setattr(plan, "RECORD_LIFETIME_MS", 0)
    monkeypatch.setattr(plan, "VOTER_LEASE_MS", 0)


BROKEN: dict[str, list[Callable[[Patch], None]]] = {
    "ordinary": [
        count_a_minority,
        forget_refusals,
        refuse_what_others_hold,
        vote_before_sync,
        grant_again,
    ],
    "short lives": [start_anew_at_once],
}


@pytest.mark.parametrize(
    ("lives", "break_protocol"),
    [(lives, change) for lives, changes in BROKEN.items() for change in changes],
)
def test_a_broken_protocol_is_found_out(
    lives: str, break_protocol: Callable[[Patch], None], monkeypatch: Patch
) -> None:
    if lives == "short lives":
        shorten_lives(monkeypatch)
    break_protocol(monkeypatch)
    violations, _ = explore(PROFILES[lives], SEED, SCHEDULES_FOR_BROKEN)
    assert violations
