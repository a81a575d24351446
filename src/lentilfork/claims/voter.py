"""The voter: stores this agent's replicas of claim shards and answers claim calls.

A claim is a write-once record for at-most-once execution. A claim shard is a group
of claims that is replicated at several voters. An agent votes in a shard if the
shard's voters include the agent at its current incarnation, which is the epoch of
one process start. Each vote belongs to one epoch of the shard. Invariants:

- a voter votes in an epoch only after it has merged the records of a majority of
  the previous voters, or when the agreed state says that a majority of the current
  voters already has;
- a voter that sends its records to a new voter seals all earlier epochs first: it
  casts no further vote in them, so the records that it sends include all its votes;
- a restarted process has another incarnation and none of its previous votes;
- a voter votes only while its lease is valid, so a shard whose voters are cut off
  from the controllers can be restarted without records after the lease has expired.

Each shard that is being synced has one task.
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

# A voter that receives nothing from the leader for this long stops voting.
VOTER_LEASE_S: Final = 900.0
RECORDS_PER_SYNC_REPLY: Final = 200
SYNC_RETRY_S: Final = 0.2

log = Logger("claims")


@dataclass(slots=True)
class Replica:
    """This voter's replica of one claim shard."""

    table: RecordTable
    # The shard as described by the latest applied generation.
    shard: ClaimShard
    # Latest epoch for which this replica is synced; 0 if there is none yet.
    synced_epoch: int = 0
    # The voter casts no further votes in this epoch and all earlier ones.
    sealed_epoch: int = 0
    # Merges the records of the previous voters; None if no sync is running.
    task: asyncio.Task[None] | None = None
    # Previous voters whose records have been merged for the current epoch.
    merged_voters: set[Voter] = field(default_factory=set)


def encode_epoch(name: ShardName, epoch: int) -> ShardEpoch:
    """Return the message for one epoch of a shard."""
    return ShardEpoch(service=name.service, index=name.index, epoch=epoch)


def get_message_shard(message: ShardEpoch) -> ShardName:
    """Return the name of the shard that a message refers to."""
    return ShardName(message.service, message.index)


def cancel_sync(replica: Replica) -> None:
    """Cancel the task that syncs a replica, if one is running."""
    if replica.task is not None:
        replica.task.cancel()
        replica.task = None


@singledispatch
def apply_request(request: VoterRequest, table: RecordTable, now: float) -> Verdict:
    """Apply a request to the records of its shard and return the verdict."""
    raise NotImplementedError(type(request))


@apply_request.register(ClaimRequest)
def apply_claim(request: ClaimRequest, table: RecordTable, now: float) -> Verdict:
    """Try to grant the claim to the attempt."""
    return table.claim(request.key, decode_attempt(request.attempt), now)


@apply_request.register(FindRequest)
def apply_find(request: FindRequest, table: RecordTable, now: float) -> Verdict:
    """Return GRANTED: the caller adds the record to the reply."""
    return ClaimReply.GRANTED


@apply_request.register(SettleRequest)
def apply_settle(request: SettleRequest, table: RecordTable, now: float) -> Verdict:
    """Record the outcome of an attempt."""
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


def is_epoch_independent(request: VoterRequest) -> bool:
    """Return whether a request holds in every epoch.

    Only the attempt's own runner decides whether the attempt ran or was withdrawn,
    so these outcomes do not depend on the votes of an epoch.
    """
    return isinstance(request, SettleRequest) and request.end in {
        SettleRequest.DONE,
        SettleRequest.WITHDRAWN,
    }


class ClaimVoter(ClaimsServicer):
    """Stores the claim shards of which this agent is a voter and votes in them."""

    local_voter: Voter
    peers: Peers
    counters: Counters
    # Monotonic clock in seconds that also advances while the process is stopped.
    clock: Callable[[], float]
    # Latest agreed state that this process has applied.
    state: ClusterState
    replicas: dict[ShardName, Replica]
    # Time of the latest lease renewal, in seconds of `clock`.
    lease_renewed_at: float

    def __init__(
        self,
        local_voter: Voter,
        peers: Peers,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.local_voter = local_voter
        self.peers = peers
        self.counters = counters
        self.clock = clock
        self.state = ClusterState()
        self.replicas = {}
        self.lease_renewed_at = clock()

    def renew_lease(self, generation: int) -> None:
        """Extend the right to vote by `VOTER_LEASE_S` from now.

        Call this for each message from the leader of the controllers, with the
        leader's `generation`. A process that has not applied this generation may
        not know the latest epoch of a shard, so its lease is not extended.
        """
        if generation <= self.state.generation:
            self.lease_renewed_at = self.clock()

    def apply_state(self, state: ClusterState) -> None:
        """Apply a new generation of the agreed state; ignore an older one."""
        if state.generation <= self.state.generation:
            return
        self.state = state
        served_shards = {
            name: shard
            for name, shard in state.claim_shards.items()
            if self.local_voter in shard.voters or self.local_voter in shard.previous
        }
        for name in self.replicas.keys() - served_shards.keys():
            self.remove_shard(name)
        for shard in served_shards.values():
            self.apply_shard(shard)

    def apply_shard(self, shard: ClaimShard) -> None:
        """Apply a new epoch of one shard, or the end of a change of its voters."""
        replica = self.replicas.get(shard.name)
        if replica is None:
            replica = self.replicas[shard.name] = Replica(RecordTable(), shard)
        elif shard.epoch != replica.shard.epoch:
            cancel_sync(replica)
        replica.shard = shard
        if self.local_voter not in shard.voters or replica.synced_epoch == shard.epoch:
            return
        if not shard.previous:
            # Either the shard starts empty, or a majority of its voters is synced.
            # In the second case every majority includes a synced voter, so this
            # one may vote without a sync of its own.
            cancel_sync(replica)
            replica.synced_epoch = shard.epoch
        elif replica.task is None:
            replica.task = asyncio.create_task(self.sync_shard(replica, shard))

    def remove_shard(self, name: ShardName) -> None:
        """Remove the replica of a shard of which this agent is no longer a voter."""
        cancel_sync(self.replicas.pop(name))

    async def stop(self) -> None:
        """Cancel all tasks."""
        tasks = [replica.task for replica in self.replicas.values() if replica.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def has_shards(self) -> bool:
        """Return whether some shard still needs the records of this process.

        A process that is shutting down waits until this is false: other voters
        then hold the records of its shards.
        """
        return bool(self.replicas)

    def list_synced_shards(self) -> list[str]:
        """Return "service/index/epoch" of each changing shard that is synced here.

        A shard is changing while the agreed state lists its previous voters.
        """
        return [
            f"{name.service}/{name.index}/{replica.synced_epoch}"
            for name, replica in sorted(self.replicas.items())
            if replica.shard.previous and replica.synced_epoch == replica.shard.epoch
        ]

    # Sync of a new voter.

    async def sync_shard(self, replica: Replica, shard: ClaimShard) -> None:
        """Merge the records of a majority of the previous voters, then start voting."""
        replica.merged_voters = set()
        while len(replica.merged_voters) < compute_majority(shard.previous):
            unmerged = [
                voter for voter in shard.previous if voter not in replica.merged_voters
            ]
            results = await asyncio.gather(
                *(self.merge_from(voter, replica, shard) for voter in unmerged)
            )
            replica.merged_voters |= {
                voter for voter, ok in zip(unmerged, results, strict=True) if ok
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
        """Merge the records of a previous voter; return whether they were complete."""
        if voter == self.local_voter:
            # The table already contains this voter's own records, and the new epoch
            # prevents it from voting in the previous one.
            return replica.synced_epoch > 0
        address = find_control_address(self.state, voter)
        if address is None:
            return False
        request = SyncRequest(shard=encode_epoch(shard.name, shard.epoch))
        parts = await self.peers.sync(address, request)
        # Another process may use this address now and have none of the records.
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
        """Return GRANTED and the replica if this process may vote in this epoch."""
        replica = self.replicas.get(get_message_shard(shard))
        if replica is None or self.clock() - self.lease_renewed_at >= VOTER_LEASE_S:
            return ClaimReply.NOT_VOTING, None
        if shard.epoch < replica.shard.epoch or shard.epoch <= replica.sealed_epoch:
            return ClaimReply.STALE, None
        if shard.epoch != replica.shard.epoch or shard.epoch != replica.synced_epoch:
            return ClaimReply.NOT_VOTING, None
        return ClaimReply.GRANTED, replica

    def handle_request(self, request: VoterRequest) -> ClaimReply:
        """Return this voter's reply to a request, local or from another process."""
        verdict, replica = self.check_vote(request.shard)
        if replica is None:
            self.apply_final_outcome(request)
            return self.make_reply(verdict, None)
        now = self.clock()
        verdict = apply_request(request, replica.table, now)
        return self.make_reply(verdict, replica.table.find(request.key, now))

    def apply_final_outcome(self, request: VoterRequest) -> None:
        """Record a final outcome although this voter cannot vote in the epoch."""
        replica = self.replicas.get(get_message_shard(request.shard))
        if replica is not None and is_epoch_independent(request):
            apply_request(request, replica.table, self.clock())

    def make_reply(self, verdict: Verdict, record: Record | None) -> ClaimReply:
        """Return the message for a verdict and count the verdict."""
        self.counters.add("claims_votes", ClaimReply.Verdict.Name(verdict).lower())
        message = None if record is None else encode_record(record, self.clock())
        return ClaimReply(
            verdict=verdict,
            record=message,
            voter=self.local_voter.agent,
            incarnation=self.local_voter.incarnation,
        )

    async def Claim(self, request: ClaimRequest, context: Any) -> ClaimReply:  # noqa: N802
        """Grant a claim to an attempt, or return who holds it."""
        return self.handle_request(request)

    async def Settle(self, request: SettleRequest, context: Any) -> ClaimReply:  # noqa: N802
        """Record the outcome of an attempt."""
        return self.handle_request(request)

    async def Find(self, request: FindRequest, context: Any) -> ClaimReply:  # noqa: N802
        """Return the record of a request key."""
        return self.handle_request(request)

    async def Sync(  # noqa: N802
        self, request: SyncRequest, context: Any
    ) -> AsyncIterator[SyncReply]:
        """Seal all epochs before the requested one and send all records."""
        replica = self.replicas.get(get_message_shard(request.shard))
        if replica is None or replica.synced_epoch == 0:
            yield self.make_sync_reply(ClaimReply.NOT_VOTING, [])
            return
        if replica.shard.epoch > request.shard.epoch:
            yield self.make_sync_reply(ClaimReply.STALE, [])
            return
        replica.sealed_epoch = max(replica.sealed_epoch, request.shard.epoch - 1)
        # Votes in the requested epoch may follow; the parts need not include them.
        records = iter(replica.table)
        yield self.make_sync_reply(ClaimReply.GRANTED, [])
        while part := list(islice(records, RECORDS_PER_SYNC_REPLY)):
            yield self.make_sync_reply(ClaimReply.GRANTED, part)

    def make_sync_reply(self, verdict: Verdict, records: list[Record]) -> SyncReply:
        """Return one part of the reply to a new voter."""
        now = self.clock()
        return SyncReply(
            verdict=verdict,
            voter=self.local_voter.agent,
            incarnation=self.local_voter.incarnation,
            records=[encode_record(record, now) for record in records],
        )

    def dump(self) -> dict[str, object]:
        """Return the state of this voter's shards as JSON values."""
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
