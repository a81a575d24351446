"""A process is killed between a write and its sync; later the host loses power."""

import asyncio
import errno
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

import pytest

from lentilfork.agreement.log import Log
from lentilfork.agreement.storage import Storage
from lentilfork.agreement.storage import StoredLog
from lentilfork.schema import agreement_pb2
from tests.agreement.fakes import Disk
from tests.agreement.fakes import FakeFiles
from tests.agreement.test_storage import make_entry


class KeepingRandom(Random):
    """Draws that keep all of a pending write at a crash."""

    def randint(self, a: int, b: int) -> int:
        """Return the upper limit."""
        return max(a, b)

    def random(self) -> float:
        """Return the lower limit."""
        return 0.0


async def open_disk(disk: Disk) -> tuple[Storage, Log, FakeFiles]:
    """Start a process on a disk."""
    files = FakeFiles(disk)
    storage = Storage(files)
    stored = (await storage.open()).unwrap()
    return storage, Log(storage, stored), files


async def append(storage: Storage) -> None:
    """Append an entry."""
    await storage.append_entries([make_entry(2)])


async def vote(storage: Storage) -> None:
    """Cast a vote in a new term."""
    await storage.save_vote(2, "c2")


async def rewrite(storage: Storage) -> None:
    """Replace the log by another file."""
    entries = [make_entry(1), make_entry(2)]
    await storage.rewrite(StoredLog(entries=entries), snapshot_changed=False)


async def write_and_kill(
    disk: Disk, write: Callable[[Storage], Awaitable[None]]
) -> None:
    """Kill a process when all of a write has reached the disk's cache."""
    storage, _, files = await open_disk(disk)
    await storage.save_vote(1, "c1")
    await storage.append_entries([make_entry(1)])

    async def start_write() -> None:
        await write(storage)

    task = asyncio.create_task(start_write())
    await asyncio.sleep(0)
    assert files.pending_write is not None
    files.crash()
    await asyncio.gather(task, return_exceptions=True)


# Guards against an entry or a vote that a controller acknowledged and then lost: the
# process before had written it but was killed before the sync.
@pytest.mark.parametrize("write", [append, vote, rewrite])
async def test_what_a_start_counts_on_survives_a_power_loss(
    write: Callable[[Storage], Awaitable[None]],
) -> None:
    disk = Disk(KeepingRandom())
    await write_and_kill(disk, write)
    storage, log, files = await open_disk(disk)
    vote_before = storage.vote
    assert (log.synced_index, vote_before.term) == ((1, 2) if write is vote else (2, 1))
    files.crash()
    disk.lose_power()
    storage, log, _ = await open_disk(disk)
    assert (log.synced_index, storage.vote) == (
        (1 if write is vote else 2),
        vote_before,
    )


# Guards against entries that count as synced although the sync at the start failed.
async def test_start_whose_sync_fails_counts_on_nothing_until_it_is_rewritten() -> None:
    disk = Disk(KeepingRandom())
    await write_and_kill(disk, append)
    disk.error, disk.failing_call = errno.EIO, "fsync"
    storage, log, files = await open_disk(disk)
    assert storage.failure is not None
    assert (log.last_index, log.synced_index) == (2, 0)
    assert not await log.recover()
    assert log.synced_index == 0
    disk.error = 0
    assert await log.recover()
    assert log.synced_index == 2
    files.crash()
    disk.lose_power()
    _, log, _ = await open_disk(disk)
    assert log.synced_index == 2


# Guards against a test that can't fail: the fake really loses what was not synced.
async def test_power_loss_takes_what_no_start_has_synced() -> None:
    disk = Disk(KeepingRandom())
    await write_and_kill(disk, append)
    disk.lose_power()
    _, log, _ = await open_disk(disk)
    assert [entry.index for entry in log.entries] == [1]
    assert agreement_pb2.StoredVote(term=1, candidate="c1") == log.storage.vote
