"""Claim records that one voter stores for the requests of one claim shard.

A holder of a record is an attempt to which this voter has granted the claim.
Invariants:

- a record without holders is granted to the first attempt that claims it; a record
  with one holder is granted to this attempt again and to no other; a record with
  several holders, merged from voters that granted different attempts, is granted
  to no attempt until all holders but one have withdrawn;
- an exchange in `refused` is never granted again, and it is added only while no
  other attempt of the exchange is a holder;
- no attempt is granted after `done` is set;
- a record expires `RECORD_LIFETIME_S` after its last use and is never evicted
  earlier: a full table refuses new records instead.
"""

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import TypeAlias

from lentilfork.schema.claims_pb2 import Attempt as AttemptMessage
from lentilfork.schema.claims_pb2 import ClaimRecord
from lentilfork.schema.claims_pb2 import ClaimReply
from lentilfork.state.model import Voter

__all__ = [
    "MAXIMUM_ANSWER_BYTES",
    "MAXIMUM_RECORDS",
    "MAXIMUM_REFUSED_EXCHANGES",
    "RECORD_LIFETIME_S",
    "REQUEST_LIFETIME_S",
    "Attempt",
    "Record",
    "RecordTable",
    "Verdict",
    "decode_attempt",
    "decode_record",
    "encode_attempt",
    "encode_record",
]

# EXCHANGE_LIFETIME of RFC 7252: no retransmission of a request arrives later.
REQUEST_LIFETIME_S: Final = 247.0
# A caller may repeat a request with the same `id` within one request lifetime, and
# retransmissions of that exchange can arrive for another one.
RECORD_LIFETIME_S: Final = 2 * REQUEST_LIFETIME_S
# Longer answers are not stored, so later duplicates of their requests get no answer.
MAXIMUM_ANSWER_BYTES: Final = 1_280
# Records of one shard; 50,000 in 494 s allow 100 non-idempotent requests a second.
MAXIMUM_RECORDS: Final = 50_000
# Exchanges of one request key whose callers were told "not run".
MAXIMUM_REFUSED_EXCHANGES: Final = 64

Verdict: TypeAlias = "ClaimReply.Verdict.ValueType"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of one runner to execute one exchange."""

    # Random for each attempt, so a runner that claims twice is granted only once.
    id: bytes
    exchange: bytes
    runner: Voter


@dataclass(slots=True)
class Record:
    """The state of one request key."""

    key: bytes
    # Time of the last use, in seconds of the voter's monotonic clock.
    last_used_at: float
    # Attempts to which the claim was granted, by attempt id.
    holders: dict[bytes, Attempt] = field(default_factory=dict)
    # Exchanges whose callers may be told "not run".
    refused: set[bytes] = field(default_factory=set)
    # The attempt that completed; it is then the only holder.
    done: Attempt | None = None
    answer: bytes | None = None

    def has_holder_of(self, exchange: bytes, excluded_id: bytes = b"") -> bool:
        """Return whether an attempt of `exchange` is a holder, ignoring one id."""
        return any(
            holder.exchange == exchange and holder.id != excluded_id
            for holder in self.holders.values()
        )


class RecordTable:
    """The records of one claim shard at one voter.

    `now` is the time in seconds of a monotonic clock. Methods that look up a record
    remove expired records first.
    """

    # Records by request key, least recently used first.
    records: OrderedDict[bytes, Record]
    maximum_records: int

    def __init__(self, maximum_records: int = MAXIMUM_RECORDS) -> None:
        self.records = OrderedDict()
        self.maximum_records = maximum_records

    def find(self, key: bytes, now: float) -> Record | None:
        """Return the record of a request key, if any, and update its time of use."""
        self.expire(now)
        record = self.records.get(key)
        if record is not None:
            record.last_used_at = now
            self.records.move_to_end(key)
        return record

    def find_or_add(self, key: bytes, now: float) -> Record | None:
        """Return the record of a key, created if missing; None if the table is full."""
        record = self.find(key, now)
        if record is None and len(self.records) < self.maximum_records:
            record = self.records[key] = Record(key, now)
        return record

    def claim(self, key: bytes, attempt: Attempt, now: float) -> Verdict:
        """Grant the claim to `attempt` unless another attempt may hold it."""
        record = self.find_or_add(key, now)
        if record is None:
            return ClaimReply.FULL
        if record.done is not None:
            return ClaimReply.HELD
        if attempt.exchange in record.refused:
            # Checked before the holders: the merged record of an exchange that a
            # majority has refused may still list an attempt that only a minority
            # granted.
            has_holder = record.has_holder_of(attempt.exchange)
            return ClaimReply.HELD if has_holder else ClaimReply.REFUSED
        if not record.holders:
            record.holders[attempt.id] = attempt
        granted = list(record.holders) == [attempt.id]
        return ClaimReply.GRANTED if granted else ClaimReply.HELD

    def settle_done(
        self, key: bytes, attempt: Attempt, answer: bytes | None, now: float
    ) -> Verdict:
        """Record that `attempt` ran; later duplicates of its request get `answer`."""
        record = self.find_or_add(key, now)
        if record is None:
            return ClaimReply.FULL
        if record.done is not None and record.done.id != attempt.id:
            return ClaimReply.HELD
        record.done = attempt
        record.holders = {attempt.id: attempt}
        if answer is not None and len(answer) <= MAXIMUM_ANSWER_BYTES:
            record.answer = answer
        return ClaimReply.GRANTED

    def settle_not_run(self, key: bytes, attempt: Attempt, now: float) -> Verdict:
        """Record that the exchange of `attempt` did not run and must never run."""
        record = self.find_or_add(key, now)
        if record is None:
            return ClaimReply.FULL
        if record.has_holder_of(attempt.exchange, excluded_id=attempt.id):
            return ClaimReply.HELD
        if record.done is not None and record.done.id == attempt.id:
            return ClaimReply.HELD
        refused = record.refused | {attempt.exchange}
        if len(refused) > MAXIMUM_REFUSED_EXCHANGES:
            return ClaimReply.FULL
        record.refused = refused
        record.holders.pop(attempt.id, None)
        return ClaimReply.GRANTED

    def withdraw(self, key: bytes, attempt: Attempt, now: float) -> Verdict:
        """Remove an attempt that its runner gave up from the holders."""
        record = self.find(key, now)
        if record is not None and record.done is None:
            record.holders.pop(attempt.id, None)
            if not record.holders and not record.refused:
                del self.records[key]
        return ClaimReply.GRANTED

    def merge(self, records: Iterable[Record], now: float) -> None:
        """Add records of another voter; a full table grows instead of evicting."""
        for other in records:
            record = self.records.setdefault(
                other.key, Record(other.key, other.last_used_at)
            )
            merge_record(record, other)
        by_last_use = sorted(
            self.records.values(), key=lambda record: record.last_used_at
        )
        self.records = OrderedDict((record.key, record) for record in by_last_use)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Remove records that were last used `RECORD_LIFETIME_S` ago or earlier."""
        while self.records:
            oldest = next(iter(self.records.values()))
            if now - oldest.last_used_at < RECORD_LIFETIME_S:
                break
            del self.records[oldest.key]

    def __iter__(self) -> Iterator[Record]:
        return iter(list(self.records.values()))

    def __len__(self) -> int:
        return len(self.records)


def merge_record(record: Record, other: Record) -> None:
    """Merge into `record` another voter's record of the same request key."""
    record.last_used_at = max(record.last_used_at, other.last_used_at)
    record.refused |= other.refused
    record.holders |= other.holders
    if record.done is None and other.done is not None:
        record.done = other.done
        record.answer = other.answer
    if record.done is not None:
        # This attempt ran, so no majority ever granted another one.
        record.holders = {record.done.id: record.done}


def encode_attempt(attempt: Attempt) -> AttemptMessage:
    """Return the message for an attempt."""
    return AttemptMessage(
        id=attempt.id,
        exchange=attempt.exchange,
        runner=attempt.runner.agent,
        runner_incarnation=attempt.runner.incarnation,
    )


def decode_attempt(message: AttemptMessage) -> Attempt:
    """Return the attempt of a message."""
    runner = Voter(message.runner, message.runner_incarnation)
    return Attempt(message.id, message.exchange, runner)


def encode_record(record: Record, now: float) -> ClaimRecord:
    """Return the message for a record, with its age at time `now`."""
    return ClaimRecord(
        key=record.key,
        holders=[encode_attempt(holder) for holder in record.holders.values()],
        refused=sorted(record.refused),
        done=record.done is not None,
        answer=record.answer,
        age_ms=max(0, int((now - record.last_used_at) * 1000)),
    )


def decode_record(message: ClaimRecord, now: float) -> Record:
    """Return the record of a message that arrived at time `now`."""
    holders = [decode_attempt(holder) for holder in message.holders]
    return Record(
        key=message.key,
        last_used_at=now - message.age_ms / 1000,
        holders={holder.id: holder for holder in holders},
        refused=set(message.refused),
        done=holders[0] if message.done and holders else None,
        answer=message.answer if message.HasField("answer") else None,
    )
