"""What one voter remembers about the requests of one claim shard.

Invariants:

- a record without holders grants itself to the first attempt that asks; one with
  a single holder grants itself to that attempt again and to no other; one with
  several holders (merged from voters that had granted different attempts) grants
  itself to nobody until all but one have withdrawn;
- an exchange in `refused` is never granted again, and gets there only while no
  other attempt of it is a holder;
- `done` ends all granting;
- a record is forgotten `RECORD_LIFETIME_S` after its last use and not before: a
  full table refuses new records.
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
    "MAXIMUM_REFUSED",
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

# EXCHANGE_LIFETIME of RFC 7252: no copy of a request is on its way for longer.
REQUEST_LIFETIME_S: Final = 247.0
# A caller may send a request again with its `id` within one lifetime, and copies
# of that exchange are on their way for another.
RECORD_LIFETIME_S: Final = 2 * REQUEST_LIFETIME_S
# Longer answers are not kept; later copies of their requests get no answer.
MAXIMUM_ANSWER_BYTES: Final = 1_280
# Of one shard. 50,000 in 494 s are 100 non-idempotent requests a second.
MAXIMUM_RECORDS: Final = 50_000
# Exchanges told "not run" under one request key.
MAXIMUM_REFUSED: Final = 64

Verdict: TypeAlias = "ClaimReply.Verdict.ValueType"


@dataclass(frozen=True, slots=True)
class Attempt:
    """One try of one runner to run one exchange."""

    # Drawn anew for each try, so a runner that asks twice is not granted twice.
    id: bytes
    exchange: bytes
    runner: Voter


@dataclass(slots=True)
class Record:
    """What is known about one request key."""

    key: bytes
    # Time of the last use, in seconds of the table's clock.
    used: float
    # Attempts granted here, by id.
    holders: dict[bytes, Attempt] = field(default_factory=dict)
    # Exchanges that were told "not run".
    refused: set[bytes] = field(default_factory=set)
    # The attempt that ran to its end; then it is the only holder.
    done: Attempt | None = None
    answer: bytes | None = None

    def holds_exchange(self, exchange: bytes, but: bytes = b"") -> bool:
        """Tell whether an attempt other than `but` of this exchange is a holder."""
        return any(
            holder.exchange == exchange and holder.id != but
            for holder in self.holders.values()
        )


class RecordTable:
    """The records of one claim shard at one voter.

    Each method that takes `now` (seconds of a monotonic clock) first forgets what
    has expired.
    """

    # By request key, least recently used first.
    records: OrderedDict[bytes, Record]
    maximum_records: int

    def __init__(self, maximum_records: int = MAXIMUM_RECORDS) -> None:
        self.records = OrderedDict()
        self.maximum_records = maximum_records

    def find(self, key: bytes, now: float) -> Record | None:
        """Return the record of a request key and marks it as used."""
        self.expire(now)
        record = self.records.get(key)
        if record is not None:
            record.used = now
            self.records.move_to_end(key)
        return record

    def find_or_add(self, key: bytes, now: float) -> Record | None:
        """Return the record of a request key, a new one if needed; None if full."""
        record = self.find(key, now)
        if record is None and len(self.records) < self.maximum_records:
            record = self.records[key] = Record(key, now)
        return record

    def claim(self, key: bytes, attempt: Attempt, now: float) -> Verdict:
        """Grant the request to `attempt` if nobody else may have it."""
        record = self.find_or_add(key, now)
        if record is None:
            return ClaimReply.FULL
        if record.done is not None:
            return ClaimReply.HELD
        if attempt.exchange in record.refused:
            # Before the check for holders: the merged record of an exchange that
            # was refused by a majority may still list a minority's attempt.
            held = record.holds_exchange(attempt.exchange)
            return ClaimReply.HELD if held else ClaimReply.REFUSED
        if not record.holders:
            record.holders[attempt.id] = attempt
        granted = list(record.holders) == [attempt.id]
        return ClaimReply.GRANTED if granted else ClaimReply.HELD

    def settle_done(
        self, key: bytes, attempt: Attempt, answer: bytes | None, now: float
    ) -> Verdict:
        """Record that `attempt` ran; `answer` is what later copies get."""
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
        """Record that the exchange of `attempt` did not run and never may."""
        record = self.find_or_add(key, now)
        if record is None:
            return ClaimReply.FULL
        if record.holds_exchange(attempt.exchange, but=attempt.id):
            return ClaimReply.HELD
        if record.done is not None and record.done.id == attempt.id:
            return ClaimReply.HELD
        refused = record.refused | {attempt.exchange}
        if len(refused) > MAXIMUM_REFUSED:
            return ClaimReply.FULL
        record.refused = refused
        record.holders.pop(attempt.id, None)
        return ClaimReply.GRANTED

    def withdraw(self, key: bytes, attempt: Attempt, now: float) -> Verdict:
        """Free the request of an attempt that its runner gave up."""
        record = self.find(key, now)
        if record is not None and record.done is None:
            record.holders.pop(attempt.id, None)
            if not record.holders and not record.refused:
                del self.records[key]
        return ClaimReply.GRANTED

    def merge(self, records: Iterable[Record], now: float) -> None:
        """Add what another voter knew; a full table grows rather than forgets."""
        for other in records:
            record = self.records.setdefault(other.key, Record(other.key, other.used))
            merge_record(record, other)
        by_use = sorted(self.records.values(), key=lambda record: record.used)
        self.records = OrderedDict((record.key, record) for record in by_use)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Forget the records that were last used a record lifetime ago."""
        while self.records:
            first = next(iter(self.records.values()))
            if now - first.used < RECORD_LIFETIME_S:
                break
            del self.records[first.key]

    def __iter__(self) -> Iterator[Record]:
        return iter(list(self.records.values()))

    def __len__(self) -> int:
        return len(self.records)


def merge_record(record: Record, other: Record) -> None:
    """Add to `record` what `other` knows about the same request key."""
    record.used = max(record.used, other.used)
    record.refused |= other.refused
    record.holders |= other.holders
    if record.done is None and other.done is not None:
        record.done = other.done
        record.answer = other.answer
    if record.done is not None:
        # It ran, so none of the others was ever granted by a majority.
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
    """Return the message for a record; its age is that at `now`."""
    return ClaimRecord(
        key=record.key,
        holders=[encode_attempt(holder) for holder in record.holders.values()],
        refused=sorted(record.refused),
        done=record.done is not None,
        answer=record.answer,
        age_ms=max(0, int((now - record.used) * 1000)),
    )


def decode_record(message: ClaimRecord, now: float) -> Record:
    """Return the record of a message that arrived at `now`."""
    holders = [decode_attempt(holder) for holder in message.holders]
    return Record(
        key=message.key,
        used=now - message.age_ms / 1000,
        holders={holder.id: holder for holder in holders},
        refused=set(message.refused),
        done=holders[0] if message.done and holders else None,
        answer=message.answer if message.HasField("answer") else None,
    )
