"""One round of requests to the voters of a shard's epoch, and what it decides.

Votes count only within the one epoch a round asks about. Each function here
returns the same whatever the replies still missing would be.
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

__all__ = ["Round", "judge_claim", "judge_settlement", "judge_wait"]


@dataclass(slots=True)
class Round:
    """The replies of one epoch's voters to one request."""

    shard: ClaimShard
    replies: dict[Voter, ClaimReply] = field(default_factory=dict)

    @property
    def majority(self) -> int:
        """Votes needed."""
        return compute_majority(self.shard.voters)

    def count(self, verdict: Verdict) -> int:
        """Return the number of voters that gave this verdict."""
        return sum(reply.verdict == verdict for reply in self.replies.values())

    def find_done(self) -> AlreadyDone | None:
        """Return the answer if some voter knows that the request ran."""
        done = [reply.record for reply in self.replies.values() if reply.record.done]
        if not done:
            return None
        answers = [record.answer for record in done if record.HasField("answer")]
        return AlreadyDone(answers[0] if answers else None)

    def count_holders(self) -> Counter[bytes]:
        """Return the number of voters at which each attempt is a holder."""
        return Counter(
            holder.id
            for reply in self.replies.values()
            for holder in reply.record.holders
        )

    def list_runners(self, but: bytes) -> tuple[Voter, ...]:
        """Return the runners of all holders other than attempt `but`, sorted."""
        runners = {
            Voter(holder.runner, holder.runner_incarnation)
            for reply in self.replies.values()
            for holder in reply.record.holders
            if holder.id != but
        }
        return tuple(sorted(runners))


def judge_claim(votes: Round, grant: Grant) -> ClaimOutcome | None:
    """Return what a round of claims decides; None while it may be asked again."""
    done = votes.find_done()
    if done is not None:
        return done
    if votes.count(ClaimReply.GRANTED) >= votes.majority:
        return Granted(grant)
    if votes.count(ClaimReply.REFUSED) >= votes.majority:
        return RefusedBefore()
    others = votes.count_holders()
    del others[grant.attempt.id]
    if any(count >= votes.majority for count in others.values()):
        return HeldElsewhere(votes.list_runners(but=grant.attempt.id))
    return None


def judge_split(votes: Round, grant: Grant) -> ClaimOutcome | None:
    """Return whether an attempt without a majority gives way to another.

    The lowest id asks again. Any rule is safe here, as a runner gives up only
    its own attempt.
    """
    if any(holder < grant.attempt.id for holder in votes.count_holders()):
        return HeldElsewhere(votes.list_runners(but=grant.attempt.id))
    return None


def judge_settlement(votes: Round) -> bool | None:
    """Return whether a majority recorded an attempt's end; None: ask again."""
    if votes.count(ClaimReply.GRANTED) >= votes.majority:
        return True
    return None


def judge_wait(votes: Round, exchange: bytes) -> WaitOutcome | None:
    """Return what a round of reads decides for a copy of `exchange`."""
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
    """Tell whether a voter knows that this exchange was told "not run"."""
    held = any(holder.exchange == exchange for holder in record.holders)
    return exchange in record.refused and not held
