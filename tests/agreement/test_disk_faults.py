"""Disks of the voters that are full for some seconds each, one after another."""

import asyncio
from collections.abc import Iterator

import pytest
from result import Ok

from lentilfork.agreement import log
from lentilfork.agreement import replica
from lentilfork.agreement.storage import StorageError
from lentilfork.schema import agreement_pb2
from tests.agreement.cluster import Cluster
from tests.agreement.cluster import make_change

ENOSPC = 28
FULL_S = 4.0
ROOM_S = 1.0
CHANGE_INTERVAL_S = 0.05
# The shortest time within which a deployment has a change acknowledged.
ACKNOWLEDGEMENT_LIMIT_S = 5.0
CALLS = ["create", "write", "fsync", "rename", "fsync of folder", "unlink", "any"]


@pytest.fixture(autouse=True)
def frequent_snapshots(monkeypatch: pytest.MonkeyPatch) -> None:
    """Compact the log so often that a voter that was full needs a snapshot."""
    monkeypatch.setattr(replica, "COMPACTION_INTERVAL_S", 0.2)
    monkeypatch.setattr(replica, "COMPACTION_ENTRIES", 10)
    monkeypatch.setattr(log, "TRAILING_ENTRIES", 3)


def run_changes(cluster: Cluster, numbers: Iterator[int], seconds: float) -> None:
    """Run for some seconds while an operator sends changes to each controller."""
    ends_s = cluster.loop.time() + seconds
    while cluster.loop.time() < ends_s:
        number = next(numbers)
        names = sorted(cluster.replicas)
        cluster.propose(names[number % len(names)], make_change(number))
        cluster.run(CHANGE_INTERVAL_S)


@pytest.mark.parametrize("failure_rate", [1.0, 0.3], ids=["always", "often"])
@pytest.mark.parametrize("size", [3, 5])
@pytest.mark.parametrize("call", CALLS)
def test_disks_full_one_after_another_leave_all_voters_in_service(
    call: str, size: int, failure_rate: float
) -> None:
    cluster = Cluster(size, seed=11)
    cluster.start_all()
    cluster.get_leader()
    numbers = iter(range(1_000_000))
    for name in sorted(cluster.addresses) * 2:
        disk = cluster.disks[name]
        disk.error, disk.failing_call = ENOSPC, call
        disk.failure_rate = failure_rate
        run_changes(cluster, numbers, FULL_S)
        disk.error = 0
        run_changes(cluster, numbers, ROOM_S)
    for name in sorted(cluster.replicas):
        change = make_change(next(numbers))
        task = cluster.propose(name, change)
        cluster.run_until(task.done, ACKNOWLEDGEMENT_LIMIT_S)
        assert change.change_id in cluster.accepted, f"{name} refused a change"
    cluster.run_until(cluster.is_converged, ACKNOWLEDGEMENT_LIMIT_S)
    for item in cluster.replicas.values():
        assert item.failure is None
        assert not any(task.done() for task in item.tasks), "a task ended"
    # A later fault is repaired too.
    for name in sorted(cluster.addresses):
        cluster.disks[name].error = ENOSPC
        cluster.disks[name].failing_call = "write"
        cluster.disks[name].failure_rate = 1.0
        run_changes(cluster, numbers, ROOM_S)
        cluster.disks[name].error = 0
        cluster.run_until(lambda: cluster.replicas[name].failure is None)  # noqa: B023
    cluster.repair_and_check()
    cluster.close()


def test_failed_snapshot_installation_leaves_log_and_state_together() -> None:
    cluster = Cluster(3, seed=3)
    cluster.start_all()
    leader = cluster.get_leader().core.name
    follower = next(name for name in sorted(cluster.addresses) if name != leader)
    numbers = iter(range(1_000_000))
    run_changes(cluster, numbers, 0.5)
    cluster.network.isolate(cluster.addresses[follower])
    for _ in range(60):
        cluster.propose(leader, make_change(next(numbers)))
        cluster.run(CHANGE_INTERVAL_S)
    cluster.disks[follower].error = ENOSPC
    cluster.network.heal()
    stopped = cluster.replicas[follower]
    cluster.run_until(lambda: stopped.failure is not None)
    core = stopped.core
    cluster.run(2)
    assert core.log.base_index <= core.applied_index, "entries would be skipped"
    cluster.disks[follower].error = 0
    cluster.crash(leader)
    change = make_change(next(numbers))
    task = cluster.propose(follower, change)
    cluster.run_until(task.done, ACKNOWLEDGEMENT_LIMIT_S)
    assert change.change_id in cluster.accepted
    cluster.repair_and_check()
    cluster.close()


def test_copy_of_a_vote_request_does_not_count_a_vote_that_was_not_synced() -> None:
    cluster = Cluster(3, seed=5)
    cluster.start_all()
    leader = cluster.get_leader().core
    name = next(name for name in sorted(cluster.addresses) if name != leader.name)
    voter = cluster.replicas[name]
    request = agreement_pb2.VoteRequest(
        term=leader.term + 1,
        candidate=leader.name,
        last_index=leader.log.last_index + 1,
        last_term=leader.log.last_term + 1,
    )
    cluster.disks[name].error = ENOSPC

    async def request_twice() -> list[object]:
        votes = (voter.election.handle_vote(request) for _ in range(2))
        return list(await asyncio.gather(*votes, return_exceptions=True))

    replies = cluster.loop.run_until_complete(request_twice())
    assert [type(reply) for reply in replies] == [StorageError] * 2
    cluster.repair_and_check()
    cluster.close()


def test_vote_of_an_older_term_does_not_count_in_the_term_of_the_log() -> None:
    cluster = Cluster(3, seed=5)
    cluster.start_all()
    core = cluster.get_leader().core
    core.storage.vote = agreement_pb2.StoredVote(term=core.term - 1, candidate="c1")
    core.voted_for = "c1"
    stored = core.log.make_stored(core.log.snapshot)
    assert cluster.replicas[core.name].load_state(stored) == Ok(None)
    assert (core.term, core.voted_for) == (stored.entries[-1].term, "")
    cluster.close()


def test_vote_cast_while_the_disk_is_repaired_is_synced() -> None:
    cluster = Cluster(3, seed=5)
    cluster.start_all()
    storage = cluster.get_leader().core.storage
    name = cluster.get_leader().core.name
    follower_core = cluster.replicas[name].core

    async def vote_during_repair() -> None:
        cluster.disks[name].error = ENOSPC
        with pytest.raises(StorageError):
            await storage.save_vote(900, "c0")
        cluster.disks[name].error = 0
        cluster.disks[name].sync_s = 0.05
        repair = asyncio.create_task(follower_core.log.recover())
        for term in range(901, 1_000):
            if repair.done():
                break
            try:
                await storage.save_vote(term, "c1")
            except StorageError:
                await asyncio.sleep(0.01)
        assert await repair

    cluster.loop.run_until_complete(vote_during_repair())
    stored = storage.read_message("vote", type(storage.vote)())
    assert stored == storage.vote
    cluster.close()
