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
from tests.claims.virtual_loop import run_in_virtual_time

SEED = 20261204
BLOCKS = 8
SCHEDULES_PER_BLOCK = 64
# A broken protocol must be detected within this many schedules.
SCHEDULES_PER_FAULT = 100

ORDINARY = Profile()
# Records and leases expire after a few seconds, and processes pause for longer, so that
# shards are restarted without records and grants outlive their records.
SHORT_LIFETIMES = Profile(
    duration_s=24.0,
    duplicate_window_s=2.0,
    exchange_window_s=2.0,
    maximum_pause_s=9.0,
    mean_fault_interval_s=0.4,
    maximum_cut_off_s=12.0,
)
PROFILES = {"ordinary": ORDINARY, "short lifetimes": SHORT_LIFETIMES}
Patch = pytest.MonkeyPatch


@pytest.fixture(autouse=True)
def _one_shard(monkeypatch: Patch) -> None:
    """Use one shard with three voters: short schedules, little overlap of epochs."""
    for module in (keys, plan):
        monkeypatch.setattr(module, "CLAIM_SHARDS_PER_SERVICE", 1)
    monkeypatch.setattr(plan, "CLAIM_VOTERS", 3)


def shorten_lifetimes(monkeypatch: Patch) -> None:
    """Let records and voter leases expire within a schedule."""
    monkeypatch.setattr(records, "RECORD_LIFETIME_S", 6.0)
    monkeypatch.setattr(plan, "RECORD_LIFETIME_MS", 6_000)
    monkeypatch.setattr(voter, "VOTER_LEASE_S", 4.0)
    monkeypatch.setattr(plan, "VOTER_LEASE_MS", 4_000)


def run_schedules(
    profile: Profile, first_seed: int, count: int
) -> tuple[list[str], Counter[str]]:
    """Run schedules until one has violations; return these and the event counts."""
    event_counts: Counter[str] = Counter()
    for seed in range(first_seed, first_seed + count):
        simulation = Simulation(seed, profile)
        run_in_virtual_time(simulation.run())
        event_counts += simulation.journal.event_counts
        violations = simulation.journal.find_violations()
        if violations:
            return [f"seed {seed}: {text}" for text in violations], event_counts
    return [], event_counts


@pytest.mark.parametrize("block", range(BLOCKS))
@pytest.mark.parametrize("lifetimes", PROFILES)
def test_no_schedule_violates_at_most_once(
    lifetimes: str, block: int, monkeypatch: Patch
) -> None:
    if lifetimes == "short lifetimes":
        shorten_lifetimes(monkeypatch)
    first_seed = SEED + block * SCHEDULES_PER_BLOCK
    violations, event_counts = run_schedules(
        PROFILES[lifetimes], first_seed, SCHEDULES_PER_BLOCK
    )
    assert not violations
    # Each outcome must occur often enough for the schedules to cover it.
    for event in ("Granted", "AlreadyDone", "RefusedBefore", "NoQuorum", "refused"):
        assert event_counts[event] > SCHEDULES_PER_BLOCK // 4, event
    assert event_counts["epochs"] > SCHEDULES_PER_BLOCK
    assert (
        lifetimes == "ordinary" or event_counts["restarted"] > SCHEDULES_PER_BLOCK // 4
    )


def accept_minority(monkeypatch: Patch) -> None:
    """Let runners accept one of three votes as a majority."""
    monkeypatch.setattr(rounds, "compute_majority", lambda voters: len(voters) // 2)


def omit_refusals(monkeypatch: Patch) -> None:
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


def refuse_held_exchanges(monkeypatch: Patch) -> None:
    """Record NOT_RUN while another attempt of the exchange holds the claim."""
    monkeypatch.setattr(Record, "has_holder_of", lambda *_args, **_kwargs: False)


def vote_before_sync(monkeypatch: Patch) -> None:
    """Let new voters vote before they are synced."""
    apply_shard = ClaimVoter.apply_shard

    def apply_without_sync(claim_voter: ClaimVoter, shard: ClaimShard) -> None:
        apply_shard(claim_voter, replace(shard, previous=()))

    monkeypatch.setattr(ClaimVoter, "apply_shard", apply_without_sync)


def grant_to_same_runner(monkeypatch: Patch) -> None:
    """Grant another attempt of an exchange to the runner that already holds it."""

    def claim_by_runner(
        table: RecordTable, key: bytes, attempt: Attempt, now: float
    ) -> records.Verdict:
        same = Attempt(attempt.exchange, attempt.exchange, attempt.runner)
        return claim(table, key, same, now)

    claim = RecordTable.claim
    monkeypatch.setattr(RecordTable, "claim", claim_by_runner)


def restart_without_waiting(monkeypatch: Patch) -> None:
    """Restart a shard that lost its quorum without waiting."""
    monkeypatch.setattr(plan, "RECORD_LIFETIME_MS", 0)
    monkeypatch.setattr(plan, "VOTER_LEASE_MS", 0)


PROTOCOL_FAULTS: dict[str, list[Callable[[Patch], None]]] = {
    "ordinary": [
        accept_minority,
        omit_refusals,
        refuse_held_exchanges,
        vote_before_sync,
        grant_to_same_runner,
    ],
    "short lifetimes": [restart_without_waiting],
}


@pytest.mark.parametrize(
    ("lifetimes", "apply_fault"),
    [
        (lifetimes, change)
        for lifetimes, changes in PROTOCOL_FAULTS.items()
        for change in changes
    ],
)
def test_a_broken_protocol_is_detected(
    lifetimes: str, apply_fault: Callable[[Patch], None], monkeypatch: Patch
) -> None:
    if lifetimes == "short lifetimes":
        shorten_lifetimes(monkeypatch)
    apply_fault(monkeypatch)
    violations, _ = run_schedules(PROFILES[lifetimes], SEED, SCHEDULES_PER_FAULT)
    assert violations
