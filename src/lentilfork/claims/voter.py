"""The voter: the replica of claim shards at one agent.

An agent votes for the shards whose voters name it at its own incarnation. Each
vote belongs to one epoch of the shard; invariants:

- a voter votes in an epoch only after it has merged the records of a majority of
  the voters before (or when the agreed state says that a majority already has);
- whoever hands its records to a new voter seals every earlier epoch first: it
  casts no further vote there, so the records it handed out are all its votes;
- a process that starts again has another incarnation and no vote of the old one;
- a voter votes only while its lease runs, so a shard whose voters are cut off
  from the controllers may be started anew once the lease has run out.

One task for each shard that syncs.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import singledispatch
from itertools import islice
from typing import Any
from typing import Final

from lentilfork.claims.peers import Peers
from lentilfork.claims.peers import VoterRequest
from lentilfork.claims.peers import compute_majority
from lentilfork.claims.peers import find_control_address
from lentilfork.claims.records import Record
from lentilfork.claims.records import RecordTable
from lentilfork.claims.records import Verdict
from lentilfork.claims.records import decode_attempt
from lentilfork.claims.records import decode_record
from lentilfork.claims.records import encode_record
from lentilfork.counters import Counters
from lentilfork.logs import Logger
from lentilfork.schema.claims_pb2 import ClaimReply
from lentilfork.schema.claims_pb2 import ClaimRequest
from lentilfork.schema.claims_pb2 import FindRequest
from lentilfork.schema.claims_pb2 import SettleRequest
from lentilfork.schema.claims_pb2 import ShardEpoch
from lentilfork.schema.claims_pb2 import SyncReply
from lentilfork.schema.claims_pb2 import SyncRequest
from lentilfork.schema.claims_pb2_grpc import ClaimsServicer
from lentilfork.state.model import ClaimShard
from lentilfork.state.model import ClusterState
from lentilfork.state.model import ShardName
from lentilfork.state.model import Voter

__all__ = ["VOTER_LEASE_S", "ClaimVoter", "Replica"]

# A voter that has heard nothing from the leader for this long stops voting.
VOTER_LEASE_S: Final = 900.0
RECORDS_PER_PART: Final = 200
SYNC_RETRY_S: Final = 0.2

log = Logger("claims")


@dataclass(slots=True)
class Replica:
    """One claim shard at this voter."""

    table: RecordTable
    # The shard as the latest generation has it.
    shard: ClaimShard
    # Latest epoch this voter was synced for; 0: none yet.
    synced_epoch: int = 0
    # Up to this epoch no vote is cast any more.
    sealed_epoch: int = 0
    # Merges the records of the voters before; None unless it is needed.
    task: asyncio.Task[None] | None = None
    # Earlier voters whose records this epoch has merged.
    merged: set[Voter] = field(default_factory=set)


def encode_epoch(name: ShardName, epoch: int) -> ShardEpoch:
    """Return the message for one epoch of a shard."""
    return ShardEpoch(service=name.service, index=name.index, epoch=epoch)


def name_shard(message: ShardEpoch) -> ShardName:
    """Return the shard a message is about."""
    return ShardName(message.service, message.index)


def stop_sync(replica: Replica) -> None:
    """Cancel the task that syncs a shard."""
    if replica.task is not None:
        replica.task.cancel()
        replica.task = None


@singledispatch
def apply_request(request: VoterRequest, table: RecordTable, now: float) -> Verdict:
    """Apply a request to the records of its shard; returns the verdict."""
    raise NotImplementedError(type(request))


@apply_request.register(ClaimRequest)
def apply_claim(request: ClaimRequest, table: RecordTable, now: float) -> Verdict:
    """Ask for a request."""
    return table.claim(request.key, decode_attempt(request.attempt), now)


@apply_request.register(FindRequest)
def apply_find(request: FindRequest, table: RecordTable, now: float) -> Verdict:
    """Read a record: the reply carries it."""
    return ClaimReply.GRANTED


@apply_request.register(SettleRequest)
def apply_settle(request: SettleRequest, table: RecordTable, now: float) -> Verdict:
    """Record how an attempt ended."""
    attempt = decode_attempt(request.attempt)
    match request.end:
        case SettleRequest.DONE:
            answer = request.answer if request.HasField("answer") else None
            return table.settle_done(request.key, attempt, answer, now)
        case SettleRequest.NOT_RUN:
            return table.settle_not_run(request.key, attempt, now)
        case SettleRequest.WITHDRAWN:
            return table.withdraw(request.key, attempt, now)
        case _:
            return ClaimReply.VERDICT_UNSPECIFIED


def is_final(request: VoterRequest) -> bool:
    """Tell whether a request is true in any epoch: only the runner decides it."""
    return isinstance(request, SettleRequest) and request.end in {
        SettleRequest.DONE,
        SettleRequest.WITHDRAWN,
    }


class ClaimVoter(ClaimsServicer):
    """The claim shards of which this agent is a voter."""

    own: Voter
    peers: Peers
    counters: Counters
    # Seconds of a monotonic clock that goes on while the process is stopped.
    clock: Callable[[], float]
    # Latest agreed state this process has.
    state: ClusterState
    replicas: dict[ShardName, Replica]
    # Time at which the lease was last renewed.
    renewed: float

    def __init__(
        self,
        own: Voter,
        peers: Peers,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.own = own
        self.peers = peers
        self.counters = counters
        self.clock = clock
        self.state = ClusterState()
        self.replicas = {}
        self.renewed = clock()

    def renew_lease(self, generation: int) -> None:
        """Go on voting for `VOTER_LEASE_S`.

        To be called on a sign of life from the leader of the controllers that is
        at `generation`; a process that is behind it may miss an epoch and gets no
        longer lease.
        """
        if generation <= self.state.generation:
            self.renewed = self.clock()

    def update(self, state: ClusterState) -> None:
        """Take over a new generation of the agreed state."""
        if state.generation <= self.state.generation:
            return
        self.state = state
        duties = {
            name: shard
            for name, shard in state.claim_shards.items()
            if self.own in shard.voters or self.own in shard.previous
        }
        for name in self.replicas.keys() - duties.keys():
            self.drop(name)
        for shard in duties.values():
            self.update_shard(shard)

    def update_shard(self, shard: ClaimShard) -> None:
        """Take over a new epoch of one shard, or the end of its change."""
        replica = self.replicas.get(shard.name)
        if replica is None:
            replica = self.replicas[shard.name] = Replica(RecordTable(), shard)
        elif shard.epoch != replica.shard.epoch:
            stop_sync(replica)
        replica.shard = shard
        if self.own not in shard.voters or replica.synced_epoch == shard.epoch:
            return
        if not shard.previous:
            # The shard starts empty, or a majority of its voters is synced; any
            # majority that this voter is part of holds one of those.
            stop_sync(replica)
            replica.synced_epoch = shard.epoch
        elif replica.task is None:
            replica.task = asyncio.create_task(self.sync_shard(replica, shard))

    def drop(self, name: ShardName) -> None:
        """Forget a shard of which this agent is no voter any more."""
        stop_sync(self.replicas.pop(name))

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = [replica.task for replica in self.replicas.values() if replica.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def has_duties(self) -> bool:
        """Tell whether some shard still needs the records of this process.

        A process that leaves waits until this is false: its shards then have
        other voters, which hold the records.
        """
        return bool(self.replicas)

    def synced_shards(self) -> list[str]:
        """Return "service/index/epoch" of each shard in change that is synced here."""
        return [
            f"{name.service}/{name.index}/{replica.synced_epoch}"
            for name, replica in sorted(self.replicas.items())
            if replica.shard.previous and replica.synced_epoch == replica.shard.epoch
        ]

    # Syncing as a new voter.

    async def sync_shard(self, replica: Replica, shard: ClaimShard) -> None:
        """Merge the records of a majority of the earlier voters, then vote."""
        replica.merged = set()
        while len(replica.merged) < compute_majority(shard.previous):
            missing = [voter for voter in shard.previous if voter not in replica.merged]
            results = await asyncio.gather(
                *(self.merge_from(voter, replica, shard) for voter in missing)
            )
            replica.merged |= {
                voter for voter, ok in zip(missing, results, strict=True) if ok
            }
            if not any(results):
                self.counters.add("claims_sync_retries")
                await asyncio.sleep(SYNC_RETRY_S)
        replica.synced_epoch = shard.epoch
        replica.task = None
        self.counters.add("claims_shards_synced")
        log.info(
            "claim shard synced",
            service=shard.name.service,
            index=shard.name.index,
            epoch=shard.epoch,
            records=len(replica.table),
        )

    async def merge_from(
        self, voter: Voter, replica: Replica, shard: ClaimShard
    ) -> bool:
        """Merge the records of one earlier voter; tells whether they are whole."""
        if voter == self.own:
            # Its own records are in the table already, and the new epoch of the
            # shard keeps it from voting in the one before.
            return replica.synced_epoch > 0
        address = find_control_address(self.state, voter)
        if address is None:
            return False
        request = SyncRequest(shard=encode_epoch(shard.name, shard.epoch))
        parts = await self.peers.sync(address, request)
        # The process at this address may be another one and know nothing.
        if not parts or any(
            part.verdict != ClaimReply.GRANTED or part.incarnation != voter.incarnation
            for part in parts
        ):
            return False
        now = self.clock()
        replica.table.merge(
            (decode_record(record, now) for part in parts for record in part.records),
            now,
        )
        return True

    # Votes.

    def check_vote(self, shard: ShardEpoch) -> tuple[Verdict, Replica | None]:
        """Return GRANTED and the replica if this process votes in this epoch."""
        replica = self.replicas.get(name_shard(shard))
        if replica is None or self.clock() - self.renewed >= VOTER_LEASE_S:
            return ClaimReply.NOT_VOTING, None
        if shard.epoch < replica.shard.epoch or shard.epoch <= replica.sealed_epoch:
            return ClaimReply.STALE, None
        if shard.epoch != replica.shard.epoch or shard.epoch != replica.synced_epoch:
            return ClaimReply.NOT_VOTING, None
        return ClaimReply.GRANTED, replica

    def answer(self, request: VoterRequest) -> ClaimReply:
        """Return this voter's reply, also to a request of its own process."""
        verdict, replica = self.check_vote(request.shard)
        if replica is None:
            self.apply_late(request)
            return self.make_reply(verdict, None)
        now = self.clock()
        verdict = apply_request(request, replica.table, now)
        return self.make_reply(verdict, replica.table.find(request.key, now))

    def apply_late(self, request: VoterRequest) -> None:
        """Take note of an attempt's end outside the epoch in which it was granted."""
        replica = self.replicas.get(name_shard(request.shard))
        if replica is not None and is_final(request):
            apply_request(request, replica.table, self.clock())

    def make_reply(self, verdict: Verdict, record: Record | None) -> ClaimReply:
        """Return the message for a verdict, and counts it."""
        self.counters.add("claims_votes", ClaimReply.Verdict.Name(verdict).lower())
        message = None if record is None else encode_record(record, self.clock())
        return ClaimReply(
            verdict=verdict,
            record=message,
            voter=self.own.agent,
            incarnation=self.own.incarnation,
        )

    async def Claim(self, request: ClaimRequest, context: Any) -> ClaimReply:  # noqa: N802
        """Grant a request to an attempt."""
        return self.answer(request)

    async def Settle(self, request: SettleRequest, context: Any) -> ClaimReply:  # noqa: N802
        """Record how an attempt ended."""
        return self.answer(request)

    async def Find(self, request: FindRequest, context: Any) -> ClaimReply:  # noqa: N802
        """Return a record."""
        return self.answer(request)

    async def Sync(  # noqa: N802
        self, request: SyncRequest, context: Any
    ) -> AsyncIterator[SyncReply]:
        """Seal the epochs before the new one and hand over all records."""
        replica = self.replicas.get(name_shard(request.shard))
        if replica is None or replica.synced_epoch == 0:
            yield self.make_part(ClaimReply.NOT_VOTING, [])
            return
        if replica.shard.epoch > request.shard.epoch:
            yield self.make_part(ClaimReply.STALE, [])
            return
        replica.sealed_epoch = max(replica.sealed_epoch, request.shard.epoch - 1)
        # The vote that may follow in the new epoch need not be in the parts.
        records = iter(replica.table)
        yield self.make_part(ClaimReply.GRANTED, [])
        while part := list(islice(records, RECORDS_PER_PART)):
            yield self.make_part(ClaimReply.GRANTED, part)

    def make_part(self, verdict: Verdict, records: list[Record]) -> SyncReply:
        """Return one part of the answer to a new voter."""
        now = self.clock()
        return SyncReply(
            verdict=verdict,
            voter=self.own.agent,
            incarnation=self.own.incarnation,
            records=[encode_record(record, now) for record in records],
        )

    def dump(self) -> dict[str, object]:
        """Return the shards of this voter as JSON values."""
        return {
            f"{name.service}/{name.index}": {
                "epoch": replica.shard.epoch,
                "synced_epoch": replica.synced_epoch,
                "sealed_epoch": replica.sealed_epoch,
                "records": len(replica.table),
                "syncing": replica.task is not None,
            }
            for name, replica in sorted(self.replicas.items())
        }
