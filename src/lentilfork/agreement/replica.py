"""Life cycle and public interface of one replica of the controllers' Raft-style log.

Code outside this package uses only `Replica`. The parts have their own modules:
`election`, `follower`, `leadership`, `proposals`, `joining` and `reads` share one
`Core`; `log` and `storage` implement the durable state.
"""

import asyncio
from functools import partial
from random import Random
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork.agreement.core import ApplyListener
from lentilfork.agreement.core import Core
from lentilfork.agreement.core import Role
from lentilfork.agreement.core import StateListener
from lentilfork.agreement.core import log
from lentilfork.agreement.election import Election
from lentilfork.agreement.files import Files
from lentilfork.agreement.files import open_files
from lentilfork.agreement.follower import Follower
from lentilfork.agreement.joining import Joining
from lentilfork.agreement.leadership import HEARTBEAT_INTERVAL_S
from lentilfork.agreement.leadership import Leadership
from lentilfork.agreement.log import Log
from lentilfork.agreement.proposals import PROPOSE_TIMEOUT_S
from lentilfork.agreement.proposals import Proposals
from lentilfork.agreement.proposals import ProposeFailure
from lentilfork.agreement.reads import Reads
from lentilfork.agreement.servicer import AgreementServicer
from lentilfork.agreement.settings import AgreementSettings
from lentilfork.agreement.storage import Storage
from lentilfork.agreement.storage import StorageError
from lentilfork.agreement.storage import StoredLog
from lentilfork.agreement.transport import GrpcTransport
from lentilfork.agreement.transport import Transport
from lentilfork.agreement.voters import Configurations
from lentilfork.agreement.voters import list_voters
from lentilfork.channels import Channels
from lentilfork.counters import Counters
from lentilfork.errors import Failure
from lentilfork.schema import agreement_pb2
from lentilfork.schema import state_pb2
from lentilfork.state import ReplicatedState
from lentilfork.state import encode_replicated
from lentilfork.state.snapshots import parse_replicated
from lentilfork.tasks import start_supervised
from lentilfork.tasks import start_task

__all__ = ["Replica"]

RECOVERY_INTERVAL_S: Final = 1.0
COMPACTION_INTERVAL_S: Final = 1.0
COMPACTION_ENTRIES: Final = 4_096
COMPACTION_BYTES: Final = 4 * 1024 * 1024
TRANSFER_TIMEOUT_S: Final = 2.0
RELEASE_INTERVAL_S: Final = 0.1


class Replica:
    """One controller's replica in the Raft-style agreement.

    Register `servicer` on the gRPC server of the process, and start that server
    before `start` or soon after it, because peers need it to reach this replica.
    """

    settings: AgreementSettings
    counters: Counters
    core: Core
    election: Election
    follower: Follower
    proposals: Proposals
    joining: Joining
    reads: Reads
    servicer: AgreementServicer
    # Leader state of the current term; None while this replica does not lead.
    leadership: Leadership | None
    # Whether `start` succeeded and `stop` was not called since.
    running: bool
    tasks: list[asyncio.Task[None]]

    def __init__(
        self,
        settings: AgreementSettings,
        channels: Channels,
        counters: Counters,
        rng: Random,
        *,
        transport: Transport | None = None,
        files: Files | None = None,
    ) -> None:
        self.settings = settings
        self.counters = counters
        storage = Storage(
            files or open_files(settings.data_folder), sealed=settings.sealed_folder
        )
        routes = {peer.address: peer.via for peer in settings.controllers if peer.via}
        transport = transport or GrpcTransport(channels, routes)
        self.core = Core(settings, transport, counters, rng, storage)
        self.core.log = Log(storage, StoredLog())
        self.election = Election(self.core, self.start_leadership)
        self.follower = Follower(self.core, self.election)
        self.proposals = Proposals(self.core, lambda: self.leadership)
        self.joining = Joining(self.core, self.proposals, lambda: self.leadership)
        self.reads = Reads(self.core, lambda: self.leadership)
        self.servicer = AgreementServicer(self)
        self.leadership = None
        self.running = False
        self.tasks = []
        self.core.role_listeners.append(self.end_leadership)

    @property
    def state(self) -> ReplicatedState:
        """The state applied locally, which contains committed changes only."""
        return self.core.state

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and a majority responded recently."""
        leadership = self.leadership
        return (
            leadership is not None
            and leadership.is_established
            and leadership.has_quorum()
        )

    @property
    def leader_address(self) -> str | None:
        """Address of the leader, "ip:port"; None while no leader is known."""
        return self.core.leader_address or None

    @property
    def term(self) -> int:
        """Current term of this replica."""
        return self.core.term

    @property
    def failure(self) -> Failure | None:
        """The failed write that is not yet repaired; None if the disk works."""
        return self.core.storage.failure

    def subscribe(self, listener: StateListener) -> None:
        """Call `listener` with the previous and the new state of each generation.

        It runs in the event loop and must neither block nor raise.
        """
        self.core.state_listeners.append(listener)

    def subscribe_applied(self, listener: ApplyListener) -> None:
        """Call `listener` with each applied entry and the result of its change."""
        self.core.apply_listeners.append(listener)

    async def start(self) -> Result[None, Failure]:
        """Open the data folder and start the tasks; on failure the folder is closed."""
        core = self.core
        core.loop = asyncio.get_running_loop()
        opened = await core.storage.open()
        loaded = opened.and_then(self.load_state)
        if isinstance(loaded, Err):
            core.storage.close()
            return loaded
        if core.storage.renewed:
            log.error("data folder is a copy; this controller must be admitted anew")
            self.counters.add("agreement_unknown_disks", "own")
        core.leader_contact_s = core.get_time_s()
        self.running = True
        log.info(
            "log opened",
            disk_id=f"{core.storage.disk_id:016x}",
            voter=core.is_voter,
            voters=len(list_voters(core.configuration)),
            term=core.term,
            last_index=core.log.last_index,
            commit_index=core.commit_index,
        )
        self.tasks = [
            start_task(core.log.run_writer(), "write log"),
            start_supervised(self.election.run, "elections"),
            start_supervised(self.joining.run, "joining"),
            start_supervised(self.run_compaction, "compaction"),
            start_supervised(self.run_disk_recovery, "disk recovery"),
        ]
        tolerated = self.settings.tolerated_losses
        if tolerated is not None:
            removals = partial(self.joining.run_removals, tolerated)
            self.tasks.append(start_supervised(removals, "removals"))
        return Ok(None)

    def load_state(self, stored: StoredLog) -> Result[None, Failure]:
        """Restore the state that was read from the data folder."""
        core = self.core
        core.term = core.storage.vote.term
        core.voted_for = core.storage.vote.candidate
        core.log = Log(core.storage, stored)
        core.log.on_synced = core.apply_committed
        core.commit_index = core.log.commit_index
        index = 0
        if stored.snapshot is not None:
            peer = core.storage.files.location
            state = parse_replicated(stored.snapshot.data, peer)
            if isinstance(state, Err):
                return state
            index = stored.snapshot.last_index
            core.restore_snapshot(index, state.ok_value)
        core.configurations = Configurations(index, core.state.cluster.controllers)
        core.configurations.add_entries(
            entry for entry in stored.entries if entry.index > index
        )
        # The log may contain entries of a later term than the vote file; that term has
        # begun in any case, without a vote of this replica.
        if core.log.last_term > core.term:
            core.term = core.log.last_term
            core.voted_for = ""
        core.apply_committed()
        return Ok(None)

    async def stop(self) -> None:
        """Cancel all tasks and close the data folder."""
        if not self.running:
            return
        self.running = False
        await self.servicer.stop()
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            await leadership.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.core.storage.close()

    def start_leadership(self) -> None:
        """Become the leader of the current term; needs the lock held."""
        core = self.core
        core.leader = core.name
        core.leader_address = core.settings.control_address
        core.change_role(Role.LEADER)
        self.leadership = Leadership(core)
        self.leadership.start()

    def end_leadership(self, role: Role) -> None:
        """Cancel the leader's tasks when this replica stops leading."""
        leadership = self.leadership
        if role is Role.LEADER or leadership is None:
            return
        self.leadership = None
        leadership.cancel()

    async def step_down(self) -> None:
        """Transfer leadership to the most up-to-date voter.

        Called before a graceful stop; returns when the transfer is done. If no other
        voter took over within `TRANSFER_TIMEOUT_S`, this replica just stops leading.
        """
        leadership = self.leadership
        if leadership is None:
            return
        leadership.transferring = True
        if not leadership.peers:
            return
        deadline_s = self.core.get_time_s() + TRANSFER_TIMEOUT_S
        while leadership.is_current and self.core.get_time_s() < deadline_s:
            leadership.transfer_leadership()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        await leadership.step_down("leaving")

    async def leave(self, timeout_s: float) -> None:
        """Hand over the leadership, and the vote if the other voters suffice.

        Called before a planned stop; takes at most `timeout_s`. Until its vote is taken
        this replica votes, and leads if the others need it to.
        """
        self.core.leaving = True
        try:
            async with asyncio.timeout(timeout_s):
                await self.step_down()
                while (
                    self.joining.has_surplus_vote()
                    and not await self.joining.request_release()
                ):
                    await asyncio.sleep(RELEASE_INTERVAL_S)
                    await self.step_down()
        except TimeoutError:
            log.warning("stopping without a release of the vote", term=self.term)

    async def propose(
        self, change: state_pb2.Change, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> Result[state_pb2.ChangeResult, ProposeFailure]:
        """Return the result of a change after it was applied here or at the leader.

        A change without an id gets one. `ProposeFailure.unknown` is set if the change
        may still be accepted.
        """
        return await self.proposals.propose(change, timeout_s)

    async def confirm_read(self) -> Result[None, Failure]:
        """Wait until `state` contains every change acknowledged before this call."""
        return await self.reads.confirm()

    async def record_state_version(self, version: int) -> bool:
        """Record that all voters know a version of changes; return whether it is.

        Without the record a leader must have heard from every voter in its term before
        it appends such a change.
        """
        return await self.proposals.record_version(version)

    async def submit(
        self, change: state_pb2.Change, timeout_s: float | None
    ) -> agreement_pb2.ProposeReply:
        """Submit a change forwarded by another replica."""
        limit_s = PROPOSE_TIMEOUT_S if timeout_s is None else timeout_s
        return await self.proposals.submit(change, min(limit_s, PROPOSE_TIMEOUT_S))

    def identify(self) -> agreement_pb2.IdentifyReply:
        """Return the name of this replica and the id of its data folder.

        The id is 0 without a disk.
        """
        core = self.core
        return agreement_pb2.IdentifyReply(
            name=core.name,
            disk_id=core.storage.disk_id if core.has_disk else 0,
            fresh=self.running and core.is_fresh,
        )

    async def run_compaction(self) -> None:
        """Write a snapshot whenever the log has grown past its limits."""
        core = self.core
        while True:
            await asyncio.sleep(COMPACTION_INTERVAL_S)
            snapshot = core.log.snapshot
            snapshot_index = snapshot.last_index if snapshot else 0
            grown = core.applied_index - snapshot_index >= COMPACTION_ENTRIES
            if grown or core.storage.log_bytes >= COMPACTION_BYTES:
                await self.write_snapshot()

    async def write_snapshot(self) -> None:
        """Write a snapshot of the applied state and compact the log."""
        core = self.core
        index = core.applied_index
        term = core.log.get_term(index)
        if term is None or core.storage.failure is not None:
            return
        data = encode_replicated(core.state).SerializeToString()
        snapshot = agreement_pb2.StoredSnapshot(
            last_index=index, last_term=term, data=data
        )
        core.configurations.discard_before(index)
        try:
            await core.log.compact(snapshot)
        except StorageError as error:
            log.error("failed to write snapshot", failure=error)
            return
        self.counters.add("agreement_snapshots", "written")

    async def run_disk_recovery(self) -> None:
        """Retry rewriting all files after a failed write, and log both transitions."""
        core = self.core
        reported: Failure | None = None
        while True:
            await asyncio.sleep(RECOVERY_INTERVAL_S)
            failure = core.storage.failure
            if failure is not None and reported is None:
                log.error("disk takes no writes; not voting", failure=failure)
                self.counters.add("agreement_disk_failures")
            reported = failure
            if failure is not None and await core.log.recover():
                log.info("disk takes writes again")

    def dump(self) -> dict[str, object]:
        """Return the state of this replica as JSON values for debugging."""
        core = self.core
        leadership = self.leadership
        return {
            "name": core.name,
            "role": core.role.value,
            "voter": core.is_voter,
            "term": core.term,
            "voted_for": core.voted_for,
            "leader": core.leader,
            "leader_address": core.leader_address,
            "disk_id": f"{core.storage.disk_id:016x}",
            "disk_failure": str(core.storage.failure or ""),
            "base_index": core.log.base_index,
            "last_index": core.log.last_index,
            "synced_index": core.log.synced_index,
            "commit_index": core.commit_index,
            "applied_index": core.applied_index,
            "generation": core.state.cluster.generation,
            "controllers": {
                item.name: {
                    "address": item.control_address,
                    "voter": item.voter,
                    "disk_id": f"{item.disk_id:016x}",
                }
                for item in core.configuration.values()
            },
            "peers": leadership.dump_peers() if leadership else {},
        }
