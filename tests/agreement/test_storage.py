"""Recovery of the data folder from torn, damaged, missing and copied files."""

import asyncio
import errno
import os
import shutil
from pathlib import Path

import pytest
from result import Err
from result import Ok

from lentilfork.agreement.files import OsFiles
from lentilfork.agreement.frames import HEADER
from lentilfork.agreement.log import Log
from lentilfork.agreement.storage import Storage
from lentilfork.agreement.storage import StorageError
from lentilfork.agreement.storage import StoredLog
from lentilfork.schema import agreement_pb2

FULL_DEVICE = Path("/dev/full")


def make_entry(index: int, term: int = 1) -> agreement_pb2.LogEntry:
    """Return an entry with a change."""
    entry = agreement_pb2.LogEntry(index=index, term=term)
    entry.change.change_id = f"change-{index}"
    return entry


async def open_folder(folder: Path) -> tuple[Storage, StoredLog]:
    """Open a data folder, which must succeed."""
    storage = Storage(OsFiles(folder))
    opened = await storage.open()
    assert isinstance(opened, Ok), opened
    return storage, opened.ok_value


async def fill_folder(folder: Path) -> int:
    """Write a vote and three batches of one entry each; return the disk id."""
    storage, _ = await open_folder(folder)
    await storage.save_vote(1, "c0")
    for index in (1, 2, 3):
        await storage.append_entries([make_entry(index)])
    storage.close()
    return storage.disk_id


def find_file(folder: Path, pattern: str = "log-*") -> Path:
    """Return a file of a folder that matches a pattern."""
    return next(folder.glob(pattern))


@pytest.mark.parametrize("cut", [1, 15, 25], ids=["payload", "header", "half"])
async def test_torn_last_record_is_truncated(tmp_path: Path, cut: int) -> None:
    await fill_folder(tmp_path)
    log = find_file(tmp_path)
    intact = log.read_bytes()
    log.write_bytes(intact[:-cut])
    storage, stored = await open_folder(tmp_path)
    assert [entry.index for entry in stored.entries] == [1, 2]
    # The next record is written in place of the torn one.
    await storage.append_entries([make_entry(3, term=2)])
    storage.close()
    storage, stored = await open_folder(tmp_path)
    assert [entry.term for entry in stored.entries] == [1, 1, 2]
    storage.close()


@pytest.mark.parametrize("position", [0, 5, 20], ids=["magic", "length", "payload"])
async def test_damaged_record_is_refused_with_file_and_offset(
    tmp_path: Path, position: int
) -> None:
    await fill_folder(tmp_path)
    log = find_file(tmp_path)
    content = bytearray(log.read_bytes())
    # The first record contains the base; three records of equal size follow.
    second = HEADER.size + (len(content) - HEADER.size) // 3
    content[second + position] ^= 0x55
    log.write_bytes(content)
    opened = await Storage(OsFiles(tmp_path)).open()
    assert isinstance(opened, Err)
    assert opened.err_value.peer == str(log)
    assert opened.err_value.message == f"damaged record at offset {second}"
    assert log.read_bytes() == content, "a damaged file must not be modified"


@pytest.mark.parametrize("name", ["vote", "snapshot-00000000000000000003"])
async def test_damaged_vote_or_snapshot_is_refused(tmp_path: Path, name: str) -> None:
    await fill_folder(tmp_path)
    storage, stored = await open_folder(tmp_path)
    stored.snapshot = agreement_pb2.StoredSnapshot(
        last_index=3, last_term=1, data=b"state"
    )
    await storage.rewrite(stored, snapshot_changed=True)
    storage.close()
    file = tmp_path / name
    file.write_bytes(file.read_bytes()[:-1] + b"\xff")
    opened = await Storage(OsFiles(tmp_path)).open()
    assert isinstance(opened, Err)
    assert opened.err_value.peer == str(file)


@pytest.mark.parametrize("pattern", ["vote", "log-*"])
async def test_missing_file_is_refused(tmp_path: Path, pattern: str) -> None:
    await fill_folder(tmp_path)
    find_file(tmp_path, pattern).unlink()
    opened = await Storage(OsFiles(tmp_path)).open()
    assert isinstance(opened, Err)
    assert opened.err_value.message == "the file is missing"


async def test_empty_and_copied_folders_get_another_id(tmp_path: Path) -> None:
    disk_id = await fill_folder(tmp_path / "a")
    storage, _ = await open_folder(tmp_path / "a")
    storage.close()
    assert storage.disk_id == disk_id
    assert not storage.renewed
    shutil.copytree(tmp_path / "a", tmp_path / "b")
    shutil.rmtree(tmp_path / "a")
    (tmp_path / "b").rename(tmp_path / "a")
    storage, stored = await open_folder(tmp_path / "a")
    storage.close()
    assert storage.renewed
    assert storage.disk_id != disk_id
    assert len(stored.entries) == 3, "the entries of a copy must be kept"


async def test_second_process_is_refused(tmp_path: Path) -> None:
    storage, _ = await open_folder(tmp_path)
    opened = await Storage(OsFiles(tmp_path)).open()
    assert isinstance(opened, Err)
    assert "another process" in opened.err_value.message
    storage.close()


async def test_full_disk_syncs_nothing_until_rewritten(tmp_path: Path) -> None:
    await fill_folder(tmp_path)
    files = OsFiles(tmp_path)
    storage = Storage(files)
    log = Log(storage, (await storage.open()).unwrap())
    files.append_descriptors[find_file(tmp_path).name] = os.open(
        FULL_DEVICE, os.O_WRONLY
    )
    log.append([make_entry(4)])
    await log.write_pending()
    assert log.synced_index == 3
    with pytest.raises(StorageError, match=os.strerror(errno.ENOSPC)):
        await log.wait_synced(4)
    with pytest.raises(StorageError):
        await storage.save_vote(2, "c1")
    assert await log.recover()
    assert log.synced_index == 4
    storage.close()
    storage, stored = await open_folder(tmp_path)
    assert [entry.index for entry in stored.entries] == [1, 2, 3, 4]
    storage.close()


async def test_crash_between_snapshot_and_log_drops_conflicting_entries(
    tmp_path: Path,
) -> None:
    await fill_folder(tmp_path)
    storage, _ = await open_folder(tmp_path)
    # The snapshot comes from another leader with another entry 2; the log is still
    # the old one.
    snapshot = agreement_pb2.StoredSnapshot(last_index=2, last_term=7, data=b"state")
    await storage.replace("snapshot-00000000000000000002", [snapshot])
    storage.close()
    storage, stored = await open_folder(tmp_path)
    assert (stored.base_index, stored.base_term, stored.entries) == (2, 7, [])
    storage.close()


# Guards against a log that begins after the end of its snapshot: a compaction waited
# while the leader's newer snapshot was installed, and then replaced it.
async def test_compaction_does_not_replace_a_newer_snapshot(tmp_path: Path) -> None:
    await fill_folder(tmp_path)
    storage, stored = await open_folder(tmp_path)
    log = Log(storage, stored)
    newer = agreement_pb2.StoredSnapshot(last_index=9, last_term=2, data=b"newer")
    older = agreement_pb2.StoredSnapshot(last_index=3, last_term=1, data=b"older")
    await asyncio.gather(log.install_snapshot(newer), log.compact(older))
    assert (log.snapshot, log.base_index, log.synced_index) == (newer, 9, 9)
    storage.close()
    storage, stored = await open_folder(tmp_path)
    assert (stored.snapshot, stored.base_index) == (newer, 9)
    storage.close()
