"""The client of claims: obtains a majority's grant before a runner runs a request.

A runner is an agent that executes a request. A round sends one request to all
voters of an epoch in parallel and ends as soon as the replies decide it, usually
when a majority agrees. Invariants:

- an attempt runs at most once, only after a majority of one epoch has granted it,
  and before its grant expires;
- an attempt is abandoned, so that it can no longer begin, before it is withdrawn
  or settled as not run;
- a caller is told "not run" only after a majority of one epoch has recorded it.

If attempts split the vote, the one with the lowest id retries until its deadline.
The others withdraw, which makes their votes available to it.

Times are in seconds of the client's clock.
"""

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Final
from typing import TypeAlias
from typing import TypeVar

from lentilfork.claims.keys import get_shard_name
from lentilfork.claims.outcomes import GRANT_LIFETIME_S
from lentilfork.claims.outcomes import AlreadyDone
from lentilfork.claims.outcomes import ClaimOutcome
from lentilfork.claims.outcomes import Grant
from lentilfork.claims.outcomes import Granted
from lentilfork.claims.outcomes import NoQuorum
from lentilfork.claims.outcomes import WaitOutcome
from lentilfork.claims.peers import Peers
from lentilfork.claims.peers import VoterRequest
from lentilfork.claims.peers import find_control_address
from lentilfork.claims.records import MAXIMUM_ANSWER_BYTES
from lentilfork.claims.records import Attempt
from lentilfork.claims.records import encode_attempt
from lentilfork.claims.rounds import Round
from lentilfork.claims.rounds import evaluate_claim
from lentilfork.claims.rounds import evaluate_settlement
from lentilfork.claims.rounds import evaluate_split_vote
from lentilfork.claims.rounds import evaluate_wait
from lentilfork.claims.voter import ClaimVoter
from lentilfork.claims.voter import encode_epoch
from lentilfork.counters import Counters
from lentilfork.schema.claims_pb2 import ClaimReply
from lentilfork.schema.claims_pb2 import ClaimRequest
from lentilfork.schema.claims_pb2 import FindRequest
from lentilfork.schema.claims_pb2 import SettleRequest
from lentilfork.schema.claims_pb2 import ShardEpoch
from lentilfork.state.model import Voter

__all__ = ["ClaimClient"]

CALL_TIMEOUT_S: Final = 1.0
FIRST_BACKOFF_S: Final = 0.01
MAXIMUM_BACKOFF_S: Final = 1.0
ATTEMPT_ID_BYTES: Final = 16
# Withdrawals, and calls of decided rounds that have not returned yet.
MAXIMUM_BACKGROUND_TASKS: Final = 2_000

End: TypeAlias = "SettleRequest.End.ValueType"
Outcome = TypeVar("Outcome")
# Makes the request that is sent to the voters of an epoch.
RequestFactory = Callable[[ShardEpoch], VoterRequest]
# Returns the outcome of a round; None while it is undecided.
Evaluator = Callable[[Round], Outcome | None]


class ClaimClient:
    """Claims requests and records their outcomes for one agent."""

    local_voter: Voter
    peers: Peers
    # The voter of this process; it has the agreed state and is called directly.
    voter: ClaimVoter
    counters: Counters
    # Monotonic clock in seconds that also advances while the process is stopped.
    clock: Callable[[], float]
    rng: random.Random
    background_tasks: set[asyncio.Task[object]]

    def __init__(
        self,
        local_voter: Voter,
        peers: Peers,
        voter: ClaimVoter,
        counters: Counters,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.local_voter = local_voter
        self.peers = peers
        self.voter = voter
        self.counters = counters
        self.clock = clock
        self.rng = rng or random.Random(secrets.randbits(64))
        self.background_tasks = set()

    async def claim(
        self, service: str, key: bytes, exchange: bytes, deadline: float
    ) -> ClaimOutcome:
        """Claim the right to run a request.

        Retries until `deadline` while no majority has decided. On `Granted`, call
        the grant's `begin` immediately before the request runs and `settle_done`
        after it. If the request is not to run, call `settle_not_run` or `withdraw`
        instead. If this call is cancelled, it withdraws the attempt.
        """
        grant = self.make_grant(service, key, exchange, deadline)
        try:
            outcome = await self.request_grant(grant)
        except asyncio.CancelledError:
            self.withdraw(grant)
            raise
        if not isinstance(outcome, Granted | AlreadyDone):
            self.withdraw(grant)
        self.counters.add("claims", type(outcome).__name__.lower())
        return outcome

    def make_grant(
        self, service: str, key: bytes, exchange: bytes, deadline: float
    ) -> Grant:
        """Return a grant for a new attempt that no voter has granted yet."""
        attempt_id = self.rng.randbytes(ATTEMPT_ID_BYTES)
        attempt = Attempt(attempt_id, exchange, self.local_voter)
        expires_at = min(deadline, self.clock() + GRANT_LIFETIME_S)
        return Grant(service, key, attempt, expires_at, self.clock)

    async def request_grant(self, grant: Grant) -> ClaimOutcome:
        """Repeat rounds of claims until one decides or the grant expires."""

        def make_request(shard: ShardEpoch) -> VoterRequest:
            attempt = encode_attempt(grant.attempt)
            return ClaimRequest(shard=shard, key=grant.key, attempt=attempt)

        def evaluate(votes: Round) -> ClaimOutcome | None:
            return evaluate_claim(votes, grant)

        def evaluate_complete(votes: Round) -> ClaimOutcome | None:
            return evaluate_split_vote(votes, grant)

        outcome: ClaimOutcome | None = await self.repeat_rounds(
            grant, make_request, evaluate, evaluate_complete, grant.expires_at
        )
        return NoQuorum() if outcome is None else outcome

    async def settle_done(
        self, grant: Grant, answer: bytes | None, deadline: float
    ) -> bool:
        """Record that a request ran; return whether a majority recorded it.

        Later duplicates of the request get `answer`. They get none if it is None
        or longer than `MAXIMUM_ANSWER_BYTES`.
        """
        if answer is not None and len(answer) > MAXIMUM_ANSWER_BYTES:
            answer = None
        return await self.settle(grant, SettleRequest.DONE, answer, deadline)

    async def settle_not_run(self, grant: Grant, deadline: float) -> bool:
        """Record that a request did not run and that its exchange never will.

        The caller may be told "not run" only if this returns True. It returns
        False if the request has begun, if it may have run at another agent, or if
        no majority replied in time.
        """
        if not grant.abandon():
            return False
        recorded = await self.settle(grant, SettleRequest.NOT_RUN, None, deadline)
        if not recorded:
            self.withdraw(grant)
        return recorded

    async def refuse(
        self, service: str, key: bytes, exchange: bytes, deadline: float
    ) -> bool:
        """Do what `settle_not_run` does for a request that was not claimed here."""
        grant = self.make_grant(service, key, exchange, deadline)
        return await self.settle_not_run(grant, deadline)

    async def settle(
        self,
        grant: Grant,
        end: End,
        answer: bytes | None,
        deadline: float,
    ) -> bool:
        """Send an attempt's outcome until a majority of one epoch has recorded it."""

        def make_request(shard: ShardEpoch) -> VoterRequest:
            attempt = encode_attempt(grant.attempt)
            return SettleRequest(
                shard=shard, key=grant.key, attempt=attempt, end=end, answer=answer
            )

        recorded = await self.repeat_rounds(
            grant, make_request, evaluate_settlement, evaluate_settlement, deadline
        )
        self.counters.add(
            "claims_settled", SettleRequest.End.Name(end).lower(), int(bool(recorded))
        )
        return bool(recorded)

    def withdraw(self, grant: Grant) -> None:
        """Abandon a grant that has not begun; release its votes in the background."""
        if not grant.abandon():
            return
        deadline = self.clock() + CALL_TIMEOUT_S
        self.start_in_background(
            self.settle(grant, SettleRequest.WITHDRAWN, None, deadline)
        )

    async def wait_for_answer(
        self, service: str, key: bytes, exchange: bytes, deadline: float
    ) -> WaitOutcome:
        """Wait until the attempt that holds a request has ended.

        `NoQuorum` means that the outcome is unknown at `deadline`.
        """
        grant = self.make_grant(service, key, exchange, deadline)

        def make_request(shard: ShardEpoch) -> VoterRequest:
            return FindRequest(shard=shard, key=key)

        def evaluate(votes: Round) -> WaitOutcome | None:
            return evaluate_wait(votes, exchange)

        outcome: WaitOutcome | None = await self.repeat_rounds(
            grant, make_request, evaluate, evaluate, deadline
        )
        return NoQuorum() if outcome is None else outcome

    async def repeat_rounds(
        self,
        grant: Grant,
        make_request: RequestFactory,
        evaluate: Evaluator[Outcome],
        evaluate_complete: Evaluator[Outcome],
        deadline: float,
    ) -> Outcome | None:
        """Repeat rounds until one decides; return None if `deadline` passes first.

        `evaluate` is applied to a round after each reply, `evaluate_complete` to a
        round that is still undecided after all calls have returned. Each round uses
        the shard's latest epoch.
        """
        backoff_s = FIRST_BACKOFF_S
        name = get_shard_name(grant.service, grant.key)
        while self.clock() < deadline:
            shard = self.voter.state.claim_shards.get(name)
            if shard is not None:
                request = make_request(encode_epoch(name, shard.epoch))
                votes = Round(shard)
                await self.run_round(votes, request, evaluate, deadline)
                outcome = evaluate(votes)
                if outcome is None:
                    outcome = evaluate_complete(votes)
                if outcome is not None:
                    return outcome
            jitter = self.rng.uniform(0.5, 1.0)
            remaining_s = max(0.0, deadline - self.clock())
            await asyncio.sleep(min(backoff_s * jitter, remaining_s))
            backoff_s = min(2 * backoff_s, MAXIMUM_BACKOFF_S)
        return None

    async def run_round(
        self,
        votes: Round,
        request: VoterRequest,
        evaluate: Evaluator[Outcome],
        deadline: float,
    ) -> None:
        """Send one request to all voters and collect replies until they decide.

        Calls that are still pending then continue in the background, so that more
        voters record the outcome.
        """
        timeout_s = min(CALL_TIMEOUT_S, deadline - self.clock())
        calls = {
            asyncio.create_task(self.call_voter(voter, request, timeout_s)): voter
            for voter in votes.shard.voters
        }
        pending = set(calls)
        try:
            while pending and evaluate(votes) is None:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                replies = {calls[call]: call.result() for call in done}
                votes.replies |= {
                    voter: reply for voter, reply in replies.items() if reply
                }
        except asyncio.CancelledError:
            for call in pending:
                call.cancel()
            raise
        for call in pending:
            self.track_task(call)

    async def call_voter(
        self, voter: Voter, request: VoterRequest, timeout_s: float
    ) -> ClaimReply | None:
        """Return the reply of one voter; None if it gave none."""
        if voter == self.local_voter:
            return self.voter.handle_request(request)
        address = find_control_address(self.voter.state, voter)
        if address is None:
            return None
        reply = await self.peers.call(address, request, timeout_s)
        if reply is None or Voter(reply.voter, reply.incarnation) != voter:
            # Another process uses this address now; its vote does not count for
            # this voter.
            return None
        return reply

    def start_in_background(self, work: Coroutine[object, object, object]) -> None:
        """Run a coroutine in the background; drop it if too many are running."""
        if len(self.background_tasks) >= MAXIMUM_BACKGROUND_TASKS:
            self.counters.add("claims_background_dropped")
            work.close()
            return
        self.track_task(asyncio.create_task(work))

    def track_task(self, task: asyncio.Task[object]) -> None:
        """Keep a reference to a task until it ends, so that it is not collected."""
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def stop(self) -> None:
        """Cancel all background tasks and wait until they have ended."""
        tasks = list(self.background_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
