"""The follower's side of replication: accepting entries and snapshots.

A follower acknowledges entries only after it synced them, and only if the term in
which they were sent is still the current one.
"""

from collections.abc import AsyncIterator
from itertools import dropwhile
from typing import Final

from result import Err

from lentilfork.agreement.core import Core
from lentilfork.agreement.core import Role
from lentilfork.agreement.core import log
from lentilfork.agreement.election import Election
from lentilfork.agreement.state_versions import STATE_VERSION
from lentilfork.agreement.storage import StorageError
from lentilfork.agreement.voters import Configurations
from lentilfork.errors import Failure
from lentilfork.schema import agreement_pb2
from lentilfork.state.snapshots import parse_replicated

__all__ = ["Follower"]

MAXIMUM_SNAPSHOT_BYTES: Final = 128 * 1024 * 1024


class Follower:
    """Accepts entries, heartbeats and snapshots from a leader."""

    core: Core
    election: Election

    def __init__(self, core: Core, election: Election) -> None:
        self.core = core
        self.election = election

    def make_reply(self, success: bool, match_index: int) -> agreement_pb2.AppendReply:
        """Return a reply to the leader."""
        return agreement_pb2.AppendReply(
            term=self.core.term,
            success=success,
            match_index=match_index,
            disk_id=self.core.storage.disk_id,
            state_version=STATE_VERSION,
            leaving=self.core.leaving,
        )

    async def accept_leader(self, term: int, leader: str, address: str) -> bool:
        """Follow a leader unless its term is outdated; needs the lock held.

        Returns whether the leader was accepted.
        """
        core = self.core
        if term < core.term:
            return False
        if term > core.term:
            await core.adopt_term(term)
        core.change_role(Role.FOLLOWER)
        if core.leader != leader:
            log.info("leader changed", leader=leader, term=term)
        core.leader = leader
        core.leader_address = address
        core.leader_contact_s = core.get_time_s()
        return True

    async def handle_append(
        self, request: agreement_pb2.AppendRequest
    ) -> agreement_pb2.AppendReply:
        """Append entries of a leader; raises StorageError if syncing them fails."""
        core = self.core
        core.storage.check_writable()
        async with core.lock:
            if not await self.accept_leader(
                request.term, request.leader, request.leader_address
            ):
                return self.make_reply(False, 0)
            if request.distrusted_disk_id == core.storage.disk_id:
                log.error(
                    "data folder lost acknowledged entries; drawing a new folder id"
                )
                await core.storage.renew_identity()
            retry_index = self.find_mismatch(request)
            if retry_index is not None:
                return self.make_reply(False, retry_index)
            match_index = self.append_entries(request)
        await core.log.wait_synced(match_index)
        if core.term != request.term:
            return self.make_reply(False, 0)
        core.leader_contact_s = core.get_time_s()
        if request.campaign:
            self.election.campaign_requested.set()
        return self.make_reply(True, match_index)

    def find_mismatch(self, request: agreement_pb2.AppendRequest) -> int | None:
        """Return None if the log contains the entry before the new ones.

        Otherwise return the index after which the leader should retry.
        """
        core = self.core
        previous = request.previous_index
        if previous < core.log.base_index:
            # Everything up to the base is committed and therefore identical.
            return None
        term = core.log.get_term(previous)
        if term == request.previous_term:
            return None
        if term is None:
            return core.log.last_index
        # Skips all entries of the conflicting term, so that the leader does not probe
        # them one by one. Committed entries never conflict.
        while previous > core.commit_index and core.log.get_term(previous) == term:
            previous -= 1
        return previous

    def append_entries(self, request: agreement_pb2.AppendRequest) -> int:
        """Append missing entries and advance the commit index.

        Returns the last index up to which the log matches the leader's.
        """
        core = self.core
        entries = [
            entry for entry in request.entries if entry.index > core.log.base_index
        ]
        new = list(
            dropwhile(
                lambda entry: core.log.get_term(entry.index) == entry.term, entries
            )
        )
        if new and new[0].index <= core.commit_index:
            raise RuntimeError(f"entry {new[0].index} conflicts with a committed entry")
        if new:
            core.append(new)
        match_index = request.previous_index + len(request.entries)
        core.commit(min(request.commit_index, match_index))
        return match_index

    async def handle_snapshot(
        self, chunks: AsyncIterator[agreement_pb2.SnapshotChunk]
    ) -> agreement_pb2.AppendReply:
        """Receive a snapshot in chunks and install it.

        Raises StorageError if it is too large or cannot be synced.
        """
        core = self.core
        core.storage.check_writable()
        data = bytearray()
        last_chunk = agreement_pb2.SnapshotChunk()
        async for chunk in chunks:
            async with core.lock:
                if not await self.accept_leader(
                    chunk.term, chunk.leader, chunk.leader_address
                ):
                    return self.make_reply(False, 0)
            data += chunk.data
            last_chunk = chunk
            if len(data) > MAXIMUM_SNAPSHOT_BYTES:
                text = f"larger than {MAXIMUM_SNAPSHOT_BYTES} bytes"
                raise StorageError(Failure("install snapshot", chunk.leader, text))
        async with core.lock:
            if last_chunk.term != core.term or not data:
                return self.make_reply(False, 0)
            await self.install_snapshot(last_chunk, bytes(data))
            return self.make_reply(True, last_chunk.last_index)

    async def install_snapshot(
        self, last_chunk: agreement_pb2.SnapshotChunk, data: bytes
    ) -> None:
        """Replace the log and the state by a snapshot; needs the lock held."""
        core = self.core
        if last_chunk.last_index <= core.commit_index:
            return
        state = parse_replicated(data, last_chunk.leader)
        if isinstance(state, Err):
            raise StorageError(state.err_value)
        snapshot = agreement_pb2.StoredSnapshot(
            last_index=last_chunk.last_index, last_term=last_chunk.last_term, data=data
        )
        await core.log.install_snapshot(snapshot)
        core.configurations = Configurations(
            last_chunk.last_index, state.ok_value.cluster.controllers
        )
        core.configurations.add_entries(
            entry for entry in core.log.entries if entry.index > last_chunk.last_index
        )
        core.restore_snapshot(last_chunk.last_index, state.ok_value)
        core.counters.add("agreement_snapshots", "installed")
