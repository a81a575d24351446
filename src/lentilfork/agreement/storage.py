"""Durable state of one replica: identity, vote, log and snapshot.

Files of the data folder, all made of checksummed frames:

- `identity`: the random id that the folder got when it was created;
- `seal`: inode and change time of `identity`; they differ in a copy of the folder;
- `vote`: the current term and the candidate that got this replica's vote in it;
- `snapshot-INDEX`: the state after applying the entry at that index;
- `log-NUMBER`: the entries after a base index; only the highest number is used.

Nothing may be acknowledged before it was synced. After a failed write the content
of the file is unknown, so `failure` stays set until all state was rewritten to new
files.
"""

import secrets
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import TypeVar

from google.protobuf.message import DecodeError
from google.protobuf.message import Message
from result import Err
from result import Ok
from result import Result

from lentilfork.agreement.files import Files
from lentilfork.agreement.frames import encode_frame
from lentilfork.agreement.frames import scan_frames
from lentilfork.errors import Failure
from lentilfork.schema import agreement_pb2

__all__ = ["Storage", "StorageError", "StoredLog"]

IDENTITY: Final = "identity"
SEAL: Final = "seal"
VOTE: Final = "vote"
LOG_PREFIX: Final = "log-"
SNAPSHOT_PREFIX: Final = "snapshot-"
TEMPORARY_SUFFIX: Final = ".tmp"
MAXIMUM_DISK_ID: Final = 2**63 - 1

M = TypeVar("M", bound=Message)


class StorageError(Exception):
    """A write or a sync failed; none of the data may be treated as stored."""

    failure: Failure

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


@dataclass(slots=True)
class StoredLog:
    """Log and snapshot as stored in the data folder."""

    base_index: int = 0
    base_term: int = 0
    # Last index known to be committed.
    commit_index: int = 0
    entries: list[agreement_pb2.LogEntry] = field(default_factory=list)
    snapshot: agreement_pb2.StoredSnapshot | None = None


class Storage:
    """The data folder of one replica."""

    files: Files
    # Random id, drawn when the folder was created and again when it turns out to be
    # a copy or to have lost entries.
    disk_id: int
    vote: agreement_pb2.StoredVote
    # Number of the current log file.
    log_number: int
    # Size of the current log file in bytes.
    log_bytes: int
    # The failed write that no rewrite has repaired yet; None if writing works.
    failure: Failure | None
    # Whether a copy of the folder is detected by inode and change time.
    sealed: bool
    # Whether the folder got a new id when it was opened, because it was a copy or had
    # lost its identity.
    renewed: bool

    def __init__(self, files: Files, *, sealed: bool = True) -> None:
        self.files = files
        self.sealed = sealed
        self.disk_id = 0
        self.vote = agreement_pb2.StoredVote()
        self.log_number = 0
        self.log_bytes = 0
        self.failure = None
        self.renewed = False

    async def open(self) -> Result[StoredLog, Failure]:
        """Lock the folder and read it.

        A torn last frame of the log is truncated; other damage is a failure.
        """
        try:
            self.files.open()
        except BlockingIOError:
            return self.make_open_failure("in use by another process")
        except OSError as error:
            return self.make_open_failure(error.strerror or str(error))
        try:
            return await self.read_folder()
        except StorageError as error:
            return Err(error.failure)
        except OSError as error:
            return self.make_open_failure(error.strerror or str(error))

    def make_open_failure(self, message: str) -> Err[Failure]:
        """Return the failure for a folder that cannot be opened."""
        return Err(Failure("open data folder", self.files.location, message))

    async def read_folder(self) -> Result[StoredLog, Failure]:
        """Read all files of the folder and remove those no longer in use."""
        names = self.files.list_names()
        for name in names:
            if name.endswith(TEMPORARY_SUFFIX):
                self.files.remove(name)
        await self.sync_found(
            [name for name in names if not name.endswith(TEMPORARY_SUFFIX)]
        )
        if VOTE in names:
            self.vote = self.read_message(VOTE, agreement_pb2.StoredVote())
        stored = StoredLog()
        snapshots = [name for name in names if is_numbered(name, SNAPSHOT_PREFIX)]
        logs = [name for name in names if is_numbered(name, LOG_PREFIX)]
        if snapshots:
            message = agreement_pb2.StoredSnapshot()
            stored.snapshot = self.read_message(snapshots[-1], message)
        if logs:
            self.read_log(logs[-1], stored)
        for name in (*snapshots[:-1], *logs[:-1]):
            self.files.remove(name)
        if SEAL not in names:
            await self.initialize_folder(names)
        elif VOTE not in names or not logs:
            missing = self.get_path(VOTE if VOTE not in names else LOG_PREFIX)
            return Err(Failure("read records", missing, "the file is missing"))
        else:
            await self.read_identity()
        problem = reconcile_log(stored)
        if problem:
            return Err(Failure("read records", self.get_path(logs[-1]), problem))
        return Ok(stored)

    async def sync_found(self, names: Sequence[str]) -> None:
        """Sync the files of an earlier process, which may have ended before its sync.

        A failure is recorded: the files are then read, but count as unsynced until
        they are rewritten.
        """
        try:
            await self.files.sync(names)
        except OSError as error:
            message = error.strerror or str(error)
            self.failure = Failure("sync", self.files.location, message)

    def get_path(self, name: str) -> str:
        """Return the path of a file for error messages."""
        return f"{self.files.location}/{name}"

    def read_message(self, name: str, message: M) -> M:
        """Read a file of one frame; raises StorageError if it is damaged."""
        scan = scan_frames(self.files.read(name), self.get_path(name))
        if isinstance(scan, Err):
            raise StorageError(scan.err_value)
        if len(scan.ok_value.payloads) != 1:
            text = f"damaged record at offset {scan.ok_value.intact_bytes}"
            raise StorageError(Failure("read records", self.get_path(name), text))
        self.parse(name, scan.ok_value.payloads[0], message)
        return message

    def parse(self, name: str, payload: bytes, message: Message) -> None:
        """Parse a payload into `message`; raises StorageError if it is malformed."""
        try:
            message.ParseFromString(payload)
        except DecodeError as error:
            failure = Failure("read records", self.get_path(name), str(error))
            raise StorageError(failure) from error

    def read_log(self, name: str, stored: StoredLog) -> None:
        """Read a log file into `stored` and truncate a torn last frame."""
        content = self.files.read(name)
        scan = scan_frames(content, self.get_path(name))
        if isinstance(scan, Err):
            raise StorageError(scan.err_value)
        if scan.ok_value.intact_bytes < len(content):
            self.files.truncate(name, scan.ok_value.intact_bytes)
        self.log_number = int(name.removeprefix(LOG_PREFIX))
        self.log_bytes = scan.ok_value.intact_bytes
        for number, payload in enumerate(scan.ok_value.payloads):
            batch = agreement_pb2.StoredEntries()
            self.parse(name, payload, batch)
            if number == 0:
                stored.base_index = batch.base_index
                stored.base_term = batch.base_term
            stored.commit_index = max(stored.commit_index, batch.commit_index)
            for entry in batch.entries:
                self.store_entry(name, stored, entry)

    def store_entry(
        self, name: str, stored: StoredLog, entry: agreement_pb2.LogEntry
    ) -> None:
        """Store an entry at its index and drop all entries from that index on."""
        position = entry.index - stored.base_index - 1
        if not 0 <= position <= len(stored.entries):
            text = f"entry {entry.index} is not adjacent to the entries before it"
            raise StorageError(Failure("read records", self.get_path(name), text))
        stored.entries[position:] = [entry]

    async def initialize_folder(self, names: Sequence[str]) -> None:
        """Create the files that a new folder lacks, the seal last.

        A folder with a seal is therefore complete: a file missing from it was
        removed from outside.
        """
        logs = [name for name in names if is_numbered(name, LOG_PREFIX)]
        self.renewed = bool(logs) and self.vote.term > 0
        if VOTE not in names:
            await self.replace(VOTE, [self.vote])
        if not logs:
            empty = agreement_pb2.StoredEntries()
            await self.replace(make_log_name(self.log_number), [empty])
        await self.renew_identity()

    async def read_identity(self) -> None:
        """Read the id of the folder, or draw a new one if the folder is a copy."""
        identity = agreement_pb2.StoredIdentity()
        if IDENTITY in self.files.list_names():
            self.read_message(IDENTITY, identity)
            seal = self.read_message(SEAL, agreement_pb2.StoredSeal())
            fingerprint = (seal.inode, seal.changed_ns)
            is_original = not self.sealed or fingerprint == self.files.get_fingerprint(
                IDENTITY
            )
            if seal.disk_id == identity.disk_id and is_original:
                self.disk_id = identity.disk_id
                return
        self.renewed = True
        await self.renew_identity()

    async def renew_identity(self) -> None:
        """Draw a new id for the folder.

        The peers no longer count acknowledgements given under the old id.
        """
        # Not drawn from a seeded generator, with which an emptied folder could get its
        # old id again.
        disk_id = 1 + secrets.randbelow(MAXIMUM_DISK_ID)
        identity = agreement_pb2.StoredIdentity(disk_id=disk_id)
        await self.replace(IDENTITY, [identity])
        inode, changed_ns = self.files.get_fingerprint(IDENTITY)
        seal = agreement_pb2.StoredSeal(
            disk_id=disk_id, inode=inode, changed_ns=changed_ns
        )
        await self.replace(SEAL, [seal])
        self.disk_id = disk_id

    async def save_vote(self, term: int, candidate: str) -> None:
        """Sync the term and the vote given in it; raises StorageError on failure."""
        self.vote = agreement_pb2.StoredVote(term=term, candidate=candidate)
        await self.replace(VOTE, [self.vote])

    async def append_entries(
        self, entries: Sequence[agreement_pb2.LogEntry], commit_index: int = 0
    ) -> None:
        """Append and sync entries as one frame; raises StorageError on failure."""
        self.check_writable()
        batch = agreement_pb2.StoredEntries(entries=entries, commit_index=commit_index)
        data = encode_frame(batch.SerializeToString())
        name = make_log_name(self.log_number)
        try:
            await self.files.append(name, data)
        except OSError as error:
            raise self.record_failure(name, error) from error
        self.log_bytes += len(data)

    async def rewrite(
        self, stored: StoredLog, snapshot_changed: bool, recovering: bool = False
    ) -> None:
        """Write snapshot and log to new files, then remove the previous ones.

        The snapshot is written first, because the new log depends on it.
        """
        snapshot = stored.snapshot
        snapshot_name = make_snapshot_name(snapshot.last_index) if snapshot else ""
        if snapshot and snapshot_changed:
            await self.replace(snapshot_name, [snapshot], recovering)
        number = self.log_number + 1
        first = agreement_pb2.StoredEntries(
            base_index=stored.base_index,
            base_term=stored.base_term,
            entries=stored.entries,
            commit_index=stored.commit_index,
        )
        self.log_bytes = await self.replace(make_log_name(number), [first], recovering)
        self.log_number = number
        if recovering:
            await self.rewrite_vote()
            self.failure = None
        self.remove_obsolete_files(snapshot_name, make_log_name(number))

    async def rewrite_vote(self) -> None:
        """Write the vote file until it contains the vote in memory.

        A vote that was cast during the write was refused by `check_writable`, but
        remains the one of its term.
        """
        written = None
        while written is not self.vote:
            written = self.vote
            await self.replace(VOTE, [written], recovering=True)

    def remove_obsolete_files(self, snapshot_name: str, log_name: str) -> None:
        """Remove all snapshots and logs except the two given ones.

        A file that cannot be removed is left to the next rewrite or start.
        """
        kept = {snapshot_name, log_name}
        with suppress(OSError):
            for name in self.files.list_names():
                numbered = is_numbered(name, SNAPSHOT_PREFIX) or is_numbered(
                    name, LOG_PREFIX
                )
                if numbered and name not in kept:
                    self.files.remove(name)

    async def replace(
        self, name: str, messages: Sequence[Message], recovering: bool = False
    ) -> int:
        """Replace a file by one frame per message; return its size in bytes.

        Raises StorageError on failure.
        """
        if not recovering:
            self.check_writable()
        data = b"".join(
            encode_frame(message.SerializeToString()) for message in messages
        )
        try:
            await self.files.replace(name, data)
        except OSError as error:
            raise self.record_failure(name, error) from error
        return len(data)

    def check_writable(self) -> None:
        """Raise StorageError if an earlier write failed."""
        if self.failure is not None:
            raise StorageError(self.failure)

    def record_failure(self, name: str, error: OSError) -> StorageError:
        """Record a failed write and return the error to raise."""
        message = error.strerror or str(error)
        self.failure = Failure("sync", self.get_path(name), message)
        return StorageError(self.failure)

    def close(self) -> None:
        """Close the files and release the lock of the folder."""
        self.files.close()


def is_numbered(name: str, prefix: str) -> bool:
    """Return whether a name consists of the prefix and a number."""
    return name.startswith(prefix) and name.removeprefix(prefix).isdigit()


def make_log_name(number: int) -> str:
    """Return the name of a log file."""
    return f"{LOG_PREFIX}{number:016d}"


def make_snapshot_name(index: int) -> str:
    """Return the file name of the snapshot up to an index."""
    return f"{SNAPSHOT_PREFIX}{index:020d}"


def reconcile_log(stored: StoredLog) -> str:
    """Drop entries that conflict with the snapshot; return a problem or "".

    A crash after writing a snapshot received from a leader, but before writing the
    log that continues it, leaves a log whose entries may differ from that leader's.
    """
    snapshot = stored.snapshot
    if snapshot is None:
        return "" if stored.base_index == 0 else "the snapshot before it is missing"
    if stored.base_index > snapshot.last_index:
        return "the snapshot before it is missing"
    position = snapshot.last_index - stored.base_index
    term = (
        stored.base_term
        if position == 0
        else stored.entries[position - 1].term
        if position <= len(stored.entries)
        else None
    )
    if term != snapshot.last_term:
        stored.base_index = snapshot.last_index
        stored.base_term = snapshot.last_term
        stored.entries.clear()
    return ""
