"""The log of one replica: entries in memory, written to disk by one task.

Entries are appended to memory immediately and written to disk in batches: the next
batch accumulates while the current one is synced. Only entries up to
`synced_index`, where memory and disk are known to agree, may be acknowledged.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from itertools import accumulate
from typing import Final

from lentilfork.agreement.storage import Storage
from lentilfork.agreement.storage import StorageError
from lentilfork.agreement.storage import StoredLog
from lentilfork.schema import agreement_pb2

__all__ = ["Log"]

# Entries kept before a snapshot, so that a follower that lags slightly can catch up
# from the log instead of receiving the snapshot.
TRAILING_ENTRIES: Final = 512
# Well below `COMPACTION_BYTES`: otherwise a log of large entries would exceed that
# size again right after its compaction.
TRAILING_BYTES: Final = 1024 * 1024


class Log:
    """Log entries after a base index, in memory and on disk."""

    storage: Storage
    # Index and term of the entry before the first one in `entries`.
    base_index: int
    base_term: int
    entries: list[agreement_pb2.LogEntry]
    snapshot: agreement_pb2.StoredSnapshot | None
    # Entries not yet passed to storage. On disk they replace all entries from the
    # index of the first pending one.
    pending: list[agreement_pb2.LogEntry]
    # Last index up to which memory and disk agree.
    synced_index: int
    # Last index known to be committed, and the last one recorded as such on disk.
    commit_index: int
    synced_commit_index: int
    # Called by the writer task after each sync.
    on_synced: Callable[[], None]
    # Serialises writes to the log file.
    write_lock: asyncio.Lock
    # Set when there are entries or a commit index to write.
    wake: asyncio.Event
    # Notified when `synced_index` or the storage's failure changes.
    changed: asyncio.Condition

    def __init__(self, storage: Storage, stored: StoredLog) -> None:
        self.storage = storage
        self.base_index = stored.base_index
        self.base_term = stored.base_term
        self.entries = stored.entries
        self.snapshot = stored.snapshot
        self.pending = []
        # Without a sync of the files that were read, a power loss may still take them.
        self.synced_index = 0 if storage.failure else self.last_index
        snapshot_index = stored.snapshot.last_index if stored.snapshot else 0
        self.commit_index = min(
            max(stored.commit_index, snapshot_index), self.last_index
        )
        self.synced_commit_index = self.commit_index
        self.on_synced = lambda: None
        self.write_lock = asyncio.Lock()
        self.wake = asyncio.Event()
        self.changed = asyncio.Condition()

    @property
    def last_index(self) -> int:
        """Index of the last entry in memory."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry in memory."""
        return self.entries[-1].term if self.entries else self.base_term

    def get_term(self, index: int) -> int | None:
        """Return the term of an entry, or None if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        position = index - self.base_index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def get_entries(
        self, first: int, maximum_bytes: int
    ) -> list[agreement_pb2.LogEntry]:
        """Return entries from index `first` on, at most `maximum_bytes` in total.

        Returns at least one entry, even if that one is larger.
        """
        selected: list[agreement_pb2.LogEntry] = []
        total = 0
        for entry in self.entries[first - self.base_index - 1 :]:
            total += entry.ByteSize()
            if selected and total > maximum_bytes:
                break
            selected.append(entry)
        return selected

    def exceeds(self, first: int, limit_bytes: int) -> bool:
        """Return whether the entries from index `first` on are larger than a limit."""
        position = first - self.base_index - 1
        sizes = (entry.ByteSize() for entry in self.entries[position:])
        return any(total > limit_bytes for total in accumulate(sizes))

    def append(self, entries: Sequence[agreement_pb2.LogEntry]) -> None:
        """Append entries, replacing all from the index of the first one on."""
        if not entries:
            return
        first = entries[0].index
        position = first - self.base_index - 1
        if position < len(self.entries):
            del self.entries[position:]
            self.pending = [entry for entry in self.pending if entry.index < first]
        self.synced_index = min(self.synced_index, first - 1)
        self.entries.extend(entries)
        self.pending.extend(entries)
        self.wake.set()

    def record_commit(self, index: int) -> None:
        """Record that entries up to an index are committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.wake.set()

    async def run_writer(self) -> None:
        """Write pending entries whenever there are some, until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            async with self.write_lock:
                await self.write_pending()
            self.on_synced()
            await self.notify_waiters()

    async def write_pending(self) -> None:
        """Write pending entries as one batch; after a failure they stay unsynced."""
        batch, self.pending = self.pending, []
        commit_index = self.commit_index
        if not batch and commit_index == self.synced_commit_index:
            return
        try:
            await self.storage.append_entries(batch, commit_index)
        except StorageError:
            # `recover` rewrites the whole log.
            return
        self.synced_commit_index = commit_index
        self.update_synced_index()

    def update_synced_index(self) -> None:
        """Mark all entries before the first pending one as synced."""
        self.synced_index = (
            self.pending[0].index - 1 if self.pending else self.last_index
        )

    async def notify_waiters(self) -> None:
        """Wake the tasks that wait for a sync."""
        async with self.changed:
            self.changed.notify_all()

    async def wait_synced(self, index: int) -> None:
        """Wait until the entry at an index is synced or was dropped.

        Raises StorageError if the disk failed.
        """
        async with self.changed:
            await self.changed.wait_for(
                lambda: (
                    self.synced_index >= index
                    or self.last_index < index
                    or self.storage.failure is not None
                )
            )
        self.storage.check_writable()

    async def compact(self, snapshot: agreement_pb2.StoredSnapshot) -> None:
        """Store a snapshot and drop old entries, except the trailing ones.

        Does nothing if a newer snapshot was installed in the meantime.
        """
        async with self.write_lock:
            if self.snapshot and self.snapshot.last_index > snapshot.last_index:
                return
            base = self.find_trailing_base(snapshot.last_index)
            term = self.get_term(base)
            if term is None:
                return
            del self.entries[: base - self.base_index]
            self.base_index, self.base_term = base, term
            await self.rewrite(snapshot)

    def find_trailing_base(self, last_index: int) -> int:
        """Return the base index of the log after compaction to a snapshot.

        The entries between it and `last_index` are limited by `TRAILING_ENTRIES`
        and `TRAILING_BYTES`.
        """
        base = max(last_index, self.base_index)
        lowest = max(self.base_index, last_index - TRAILING_ENTRIES)
        kept_bytes = 0
        while base > lowest:
            kept_bytes += self.entries[base - self.base_index - 1].ByteSize()
            if kept_bytes > TRAILING_BYTES:
                break
            base -= 1
        return base

    async def install_snapshot(self, snapshot: agreement_pb2.StoredSnapshot) -> None:
        """Store a snapshot of the leader; drop all entries if they conflict with it.

        Raises StorageError, and changes nothing in memory, if it cannot be synced: the
        caller's state then still belongs to the entries.
        """
        async with self.write_lock:
            stored = self.make_stored(snapshot)
            if self.get_term(snapshot.last_index) != snapshot.last_term:
                stored.entries = []
                stored.base_index = snapshot.last_index
                stored.base_term = snapshot.last_term
            stored.commit_index = max(self.commit_index, snapshot.last_index)
            await self.write_files(stored, snapshot_changed=True)
            self.snapshot = snapshot
            self.entries = stored.entries
            self.base_index, self.base_term = stored.base_index, stored.base_term
            self.commit_index = stored.commit_index
            self.pending = []
            self.synced_index = self.last_index

    async def rewrite(
        self,
        snapshot: agreement_pb2.StoredSnapshot | None,
        recovering: bool = False,
    ) -> None:
        """Write the log and the snapshot to new files; needs the write lock held."""
        snapshot_changed = recovering or snapshot is not self.snapshot
        self.snapshot = snapshot
        self.pending = []
        self.synced_index = min(self.synced_index, self.last_index)
        await self.write_files(self.make_stored(snapshot), snapshot_changed, recovering)
        self.update_synced_index()

    def make_stored(self, snapshot: agreement_pb2.StoredSnapshot | None) -> StoredLog:
        """Return the log in memory together with a snapshot."""
        return StoredLog(
            self.base_index,
            self.base_term,
            self.commit_index,
            list(self.entries),
            snapshot,
        )

    async def write_files(
        self, stored: StoredLog, snapshot_changed: bool, recovering: bool = False
    ) -> None:
        """Write log and snapshot to new files and wake the tasks that wait for it."""
        try:
            await self.storage.rewrite(stored, snapshot_changed, recovering)
            self.synced_commit_index = stored.commit_index
        finally:
            await self.notify_waiters()

    async def recover(self) -> bool:
        """Rewrite all files after a failed write; return whether it succeeded."""
        async with self.write_lock:
            try:
                await self.rewrite(self.snapshot, recovering=True)
            except StorageError:
                return False
        self.on_synced()
        return True
