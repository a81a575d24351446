"""One round of requests to all voters of a shard's epoch, and its evaluation.

Votes count only within the epoch of the round. A decision of `evaluate_claim`,
`evaluate_settlement` or `evaluate_wait` stays valid whatever the missing replies are.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from lentilfork.claims.outcomes import AlreadyDone
from lentilfork.claims.outcomes import ClaimOutcome
from lentilfork.claims.outcomes import Grant
from lentilfork.claims.outcomes import Granted
from lentilfork.claims.outcomes import HeldElsewhere
from lentilfork.claims.outcomes import RefusedBefore
from lentilfork.claims.outcomes import Released
from lentilfork.claims.outcomes import WaitOutcome
from lentilfork.claims.peers import compute_majority
from lentilfork.claims.records import Verdict
from lentilfork.schema.claims_pb2 import ClaimRecord
from lentilfork.schema.claims_pb2 import ClaimReply
from lentilfork.state.model import ClaimShard
from lentilfork.state.model import Voter

__all__ = ["Round", "evaluate_claim", "evaluate_settlement", "evaluate_wait"]


@dataclass(slots=True)
class Round:
    """The replies of the voters of one epoch to one request."""

    shard: ClaimShard
    replies: dict[Voter, ClaimReply] = field(default_factory=dict)

    @property
    def majority(self) -> int:
        """Number of votes that form a majority."""
        return compute_majority(self.shard.voters)

    def count_verdicts(self, verdict: Verdict) -> int:
        """Return the number of voters that replied with this verdict."""
        return sum(reply.verdict == verdict for reply in self.replies.values())

    def find_done(self) -> AlreadyDone | None:
        """Return the stored answer if a voter recorded that the request ran."""
        done = [reply.record for reply in self.replies.values() if reply.record.done]
        if not done:
            return None
        answers = [record.answer for record in done if record.HasField("answer")]
        return AlreadyDone(answers[0] if answers else None)

    def count_holders(self) -> Counter[bytes]:
        """Return, by attempt id, at how many voters each attempt is a holder."""
        return Counter(
            holder.id
            for reply in self.replies.values()
            for holder in reply.record.holders
        )

    def describe_holders(self, grant: Grant) -> HeldElsewhere:
        """Return the holders other than the attempt of `grant`."""
        holders = [
            holder
            for reply in self.replies.values()
            for holder in reply.record.holders
            if holder.id != grant.attempt.id
        ]
        runners = {Voter(item.runner, item.runner_incarnation) for item in holders}
        exchanges = {item.exchange for item in holders}
        return HeldElsewhere(
            tuple(sorted(runners)), grant.attempt.exchange in exchanges
        )


def evaluate_claim(votes: Round, grant: Grant) -> ClaimOutcome | None:
    """Return the outcome of a round of claims; None if it is undecided."""
    done = votes.find_done()
    if done is not None:
        return done
    if votes.count_verdicts(ClaimReply.GRANTED) >= votes.majority:
        return Granted(grant)
    if votes.count_verdicts(ClaimReply.REFUSED) >= votes.majority:
        return RefusedBefore()
    other_holders = votes.count_holders()
    del other_holders[grant.attempt.id]
    if any(count >= votes.majority for count in other_holders.values()):
        return votes.describe_holders(grant)
    return None


def evaluate_split_vote(votes: Round, grant: Grant) -> ClaimOutcome | None:
    """Return HeldElsewhere if an attempt loses a split vote; None to retry it.

    Of several attempts without a majority, the one with the lowest id retries and
    the others give up. Any rule is safe here, because a runner only gives up its
    own attempt.
    """
    if any(holder < grant.attempt.id for holder in votes.count_holders()):
        return votes.describe_holders(grant)
    return None


def evaluate_settlement(votes: Round) -> bool | None:
    """Return True if a majority recorded the outcome of an attempt, else None."""
    if votes.count_verdicts(ClaimReply.GRANTED) >= votes.majority:
        return True
    return None


def evaluate_wait(votes: Round, exchange: bytes) -> WaitOutcome | None:
    """Return the outcome of a round of reads for a duplicate of `exchange`."""
    done = votes.find_done()
    if done is not None:
        return done
    records = [
        reply.record
        for reply in votes.replies.values()
        if reply.verdict == ClaimReply.GRANTED
    ]
    if sum(is_refused(record, exchange) for record in records) >= votes.majority:
        return RefusedBefore()
    if sum(not record.holders for record in records) >= votes.majority:
        return Released()
    return None


def is_refused(record: ClaimRecord, exchange: bytes) -> bool:
    """Return whether a voter recorded that this exchange must never run."""
    held = any(holder.exchange == exchange for holder in record.holders)
    return exchange in record.refused and not held
