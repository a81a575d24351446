"""The leader's side of replication during one term.

One task per peer sends log entries, heartbeats, or a snapshot if the log no longer
contains the entries that the peer needs. An acknowledgement counts towards a
majority only if it came from the data folder with which the voter was admitted. A
leader that no majority acknowledged for `QUORUM_TIMEOUT_S` steps down.
"""

import asyncio
from collections.abc import Iterator
from functools import partial
from typing import Final

from lentilfork.agreement.core import Core
from lentilfork.agreement.core import Role
from lentilfork.agreement.core import log
from lentilfork.agreement.peers import Peer
from lentilfork.agreement.snapshots import Snapshots
from lentilfork.agreement.storage import StorageError
from lentilfork.agreement.transport import TransportError
from lentilfork.agreement.voters import find_majority_index
from lentilfork.agreement.voters import has_majority
from lentilfork.schema import agreement_pb2
from lentilfork.schema import state_pb2
from lentilfork.tasks import start_supervised

__all__ = ["Leadership"]

HEARTBEAT_INTERVAL_S: Final = 0.15
QUORUM_TIMEOUT_S: Final = 1.5
QUORUM_CHECK_INTERVAL_S: Final = 0.1
SNAPSHOT_CHUNK_BYTES: Final = 64 * 1024


class Leadership:
    """State and tasks of one term in which this replica is the leader."""

    core: Core
    term: int
    # Index of the entry without a change that opens the term. Entries of earlier
    # terms become committed only together with this entry.
    opening_index: int
    peers: dict[str, Peer]
    tasks: list[asyncio.Task[None]]
    # Leadership is being transferred to another replica; new changes are refused.
    transferring: bool
    snapshots: Snapshots

    def __init__(self, core: Core) -> None:
        self.core = core
        self.term = core.term
        self.opening_index = core.log.last_index + 1
        self.peers = {}
        self.tasks = []
        self.transferring = False
        self.snapshots = Snapshots(core)

    @property
    def is_current(self) -> bool:
        """Whether this replica still leads in this term."""
        return self.core.role is Role.LEADER and self.core.term == self.term

    @property
    def is_established(self) -> bool:
        """Whether the entry that opens the term is committed and applied."""
        return self.is_current and self.core.applied_index >= self.opening_index

    def start(self) -> None:
        """Append the entry that opens the term and start the tasks."""
        opening = agreement_pb2.LogEntry(index=self.opening_index, term=self.term)
        self.core.append([opening])
        self.update_peers()
        self.tasks = [
            start_supervised(self.track_local_syncs, "watch syncs"),
            start_supervised(self.monitor_quorum, "watch quorum"),
        ]

    def cancel(self) -> list[asyncio.Task[None]]:
        """Cancel all tasks except the calling one; return the cancelled tasks."""
        peer_tasks = (peer.task for peer in self.peers.values() if peer.task)
        current = asyncio.current_task()
        tasks = [task for task in (*self.tasks, *peer_tasks) if task is not current]
        for task in tasks:
            task.cancel()
        return tasks

    async def stop(self) -> None:
        """Cancel all tasks and wait until they ended."""
        await asyncio.gather(*self.cancel(), return_exceptions=True)

    def transfer_leadership(self) -> None:
        """Ask the most up-to-date voter to campaign if it holds the whole log.

        One that is about to stop is asked only if all others are, too.
        """
        voters = (
            peer
            for peer in self.peers.values()
            if peer.controller.voter
            and self.has_admitted_disk(peer)
            and self.is_responsive(peer)
        )
        successor = max(
            voters,
            key=lambda peer: (not peer.leaving, peer.match_index),
            default=None,
        )
        if successor and successor.match_index == self.core.log.last_index:
            successor.campaign = True
            successor.wake.set()

    def dump_peers(self) -> dict[str, object]:
        """Return the replication progress of each peer as JSON values."""
        now_s = self.core.get_time_s()
        return {
            name: peer.dump(now_s) | {"counted": self.has_admitted_disk(peer)}
            for name, peer in self.peers.items()
        }

    def append(self, change: state_pb2.Change) -> int:
        """Append a change to the log and return its index."""
        index = self.core.log.last_index + 1
        self.core.append(
            [agreement_pb2.LogEntry(index=index, term=self.term, change=change)]
        )
        if change.WhichOneof("kind") == "put_controllers":
            self.update_peers()
        self.wake_peers()
        return index

    def wake_peers(self) -> None:
        """Make all peer tasks send immediately."""
        for peer in self.peers.values():
            peer.wake.set()

    def update_peers(self) -> None:
        """Start tasks for added controllers and cancel those of removed ones."""
        configuration = self.core.configuration
        for name in [name for name in self.peers if name not in configuration]:
            removed = self.peers.pop(name)
            if removed.task is not None:
                removed.task.cancel()
        for name, controller in configuration.items():
            if name == self.core.name:
                continue
            if name in self.peers:
                self.peers[name].controller = controller
                continue
            next_index = self.core.log.last_index + 1
            peer = Peer(controller, next_index, self.core.get_time_s())
            self.peers[name] = peer
            peer.task = start_supervised(
                partial(self.replicate, peer), f"replicate {name}"
            )

    def has_admitted_disk(self, peer: Peer) -> bool:
        """Return whether a peer uses the data folder with which it was admitted."""
        member = self.core.configuration.get(peer.controller.name)
        return (
            member is not None
            and member.disk_id == peer.disk_id
            and peer.disk_id != peer.distrusted_disk_id
        )

    def list_caught_up(self) -> Iterator[str]:
        """Return the responsive peers that synced all committed entries."""
        return (
            name
            for name, peer in self.peers.items()
            if self.has_admitted_disk(peer)
            and self.is_responsive(peer)
            and peer.match_index >= self.core.commit_index
        )

    def measure_silence(self) -> dict[str, float]:
        """Return for each peer the seconds since the request it last acknowledged."""
        now_s = self.core.get_time_s()
        return {name: now_s - peer.last_ack_s for name, peer in self.peers.items()}

    def is_responsive(self, peer: Peer) -> bool:
        """Return whether a peer acknowledged a request within the quorum timeout."""
        return self.core.get_time_s() - peer.last_ack_s < QUORUM_TIMEOUT_S

    def has_quorum(self) -> bool:
        """Return whether a majority responded within the quorum timeout."""
        responsive = {
            name
            for name, peer in self.peers.items()
            if self.is_responsive(peer)
            # A peer that has not replied yet counts until its timeout, so that a new
            # leader does not step down before the first replies arrive.
            and (peer.disk_id == 0 or self.has_admitted_disk(peer))
        }
        return has_majority(self.core.configuration, responsive | {self.core.name})

    def was_confirmed_since(self, started_s: float) -> bool:
        """Return whether a majority acknowledged requests sent after `started_s`."""
        confirmed = {
            name
            for name, peer in self.peers.items()
            if self.has_admitted_disk(peer) and peer.last_ack_s > started_s
        }
        if self.core.is_voter:
            confirmed.add(self.core.name)
        return has_majority(self.core.configuration, confirmed)

    async def monitor_quorum(self) -> None:
        """Step down after a disk failure, or without a majority or a vote."""
        while self.is_current:
            await asyncio.sleep(QUORUM_CHECK_INTERVAL_S)
            if self.core.storage.failure is not None:
                await self.step_down(str(self.core.storage.failure))
            elif not self.has_quorum():
                await self.step_down("no acknowledgements from a majority")
            elif self.is_established and not self.core.is_voter:
                await self.step_down("not a voter")

    async def step_down(self, reason: str) -> None:
        """Become a follower in the current term."""
        core = self.core
        async with core.lock:
            if not self.is_current:
                return
            log.warning("stepped down", term=self.term, reason=reason)
            core.counters.add("agreement_step_downs")
            core.clear_leader()
            core.change_role(Role.FOLLOWER)

    async def track_local_syncs(self) -> None:
        """Advance the commit index when the local disk synced more entries."""
        changed = self.core.log.changed
        seen_index = -1
        while self.is_current:
            async with changed:
                await changed.wait_for(
                    lambda: self.core.log.synced_index != seen_index  # noqa: B023
                )
            seen_index = self.core.log.synced_index
            self.advance_commit()

    def advance_commit(self) -> None:
        """Commit the entries that a majority holds, up to one of this term.

        An entry of an earlier term is not committed by counting its replicas
        alone, because a later leader may still overwrite it.
        """
        core = self.core
        if not self.is_current:
            return
        indexes = {
            name: peer.match_index
            for name, peer in self.peers.items()
            if self.has_admitted_disk(peer)
        }
        if core.is_voter:
            indexes[core.name] = core.log.synced_index
        index = find_majority_index(core.configuration, indexes)
        if index <= core.commit_index or core.log.get_term(index) != self.term:
            return
        core.commit(index)
        self.wake_peers()

    async def replicate(self, peer: Peer) -> None:
        """Send entries, snapshots and heartbeats to one peer."""
        while self.is_current:
            peer.wake.clear()
            sent_s = self.core.get_time_s()
            try:
                reply = await self.send(peer)
            except TransportError:
                self.core.counters.add("agreement_call_errors", "append")
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                continue
            await self.handle_reply(peer, reply, sent_s)
            if peer.next_index > self.core.log.last_index or not reply.success:
                await self.wait_for_work(peer, reply.success)

    async def wait_for_work(self, peer: Peer, success: bool) -> None:
        """Wait until there are entries to send or a heartbeat is due."""
        if not success and peer.next_index <= self.core.log.last_index:
            # Retries immediately from the point where the logs may agree.
            await asyncio.sleep(0)
            return
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                await peer.wake.wait()
        except TimeoutError:
            return

    async def send(self, peer: Peer) -> agreement_pb2.AppendReply:
        """Send the entries or the snapshot that a peer needs next.

        A peer that is silent gets a heartbeat first, which fails sooner.
        """
        if not self.is_responsive(peer):
            return await self.send_entries(peer, [])
        if self.snapshots.is_needed(peer):
            return await self.send_snapshot(peer)
        entries = self.core.log.get_entries(peer.next_index, peer.batch_bytes)
        return await self.send_entries(peer, entries)

    async def send_entries(
        self, peer: Peer, entries: list[agreement_pb2.LogEntry]
    ) -> agreement_pb2.AppendReply:
        """Send the next entries, or an empty request as a heartbeat."""
        core = self.core
        previous_index = max(peer.next_index - 1, core.log.base_index)
        request = agreement_pb2.AppendRequest(
            term=self.term,
            leader=core.name,
            leader_address=core.settings.control_address,
            previous_index=previous_index,
            previous_term=core.log.get_term(previous_index) or 0,
            entries=entries,
            commit_index=core.commit_index,
            distrusted_disk_id=peer.distrusted_disk_id,
            campaign=peer.campaign,
        )
        with peer.adapt_batch(request.ByteSize()) as timeout_s:
            return await core.transport.append_entries(
                peer.controller.control_address, request, timeout_s
            )

    async def send_snapshot(self, peer: Peer) -> agreement_pb2.AppendReply:
        """Send a snapshot in chunks; the log continues after it."""
        core = self.core
        snapshot = self.snapshots.make()
        chunks = (
            agreement_pb2.SnapshotChunk(
                term=self.term,
                leader=core.name,
                leader_address=core.settings.control_address,
                last_index=snapshot.last_index,
                last_term=snapshot.last_term,
                data=snapshot.data[start : start + SNAPSHOT_CHUNK_BYTES],
            )
            for start in range(0, len(snapshot.data), SNAPSHOT_CHUNK_BYTES)
        )
        core.counters.add("agreement_snapshots", "sent")
        with peer.adapt_batch(len(snapshot.data)) as timeout_s:
            return await core.transport.install_snapshot(
                peer.controller.control_address, chunks, timeout_s
            )

    async def handle_reply(
        self, peer: Peer, reply: agreement_pb2.AppendReply, sent_s: float
    ) -> None:
        """Update the progress of a peer from its reply."""
        if reply.term > self.term:
            await self.observe_term(reply.term)
            return
        if not self.is_current or reply.term < self.term:
            return
        if reply.disk_id != peer.disk_id:
            peer.disk_id = reply.disk_id
            peer.match_index = 0
        peer.last_ack_s = sent_s
        peer.state_version = reply.state_version
        peer.leaving = reply.leaving
        if reply.success:
            peer.match_index = max(peer.match_index, reply.match_index)
            peer.next_index = peer.match_index + 1
            self.advance_commit()
            return
        if reply.match_index < peer.match_index:
            log.error(
                "peer lost entries that it had acknowledged", peer=peer.controller.name
            )
            self.core.counters.add("agreement_unknown_disks", "append")
            peer.distrusted_disk_id = peer.disk_id
            peer.match_index = 0
        peer.next_index = min(reply.match_index + 1, self.core.log.last_index + 1)

    async def observe_term(self, term: int) -> None:
        """Adopt the later term of a peer and become a follower."""
        core = self.core
        async with core.lock:
            if term <= core.term:
                return
            try:
                await core.adopt_term(term)
            except StorageError as error:
                log.error("failed to sync term to disk", failure=error)
