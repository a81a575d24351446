"""At-most-once execution of non-idempotent requests, based on claims.

A request is claimed, admitted to a slot, begun and settled, in this order. Settling
stores the final outcome of its claim. A caller is told "not run" only after a
majority of the claim's voters has recorded that this exchange will never run. A
duplicate that finds the claim held waits for the answer of the attempt that holds it.
"""

import asyncio
import time
from collections.abc import Callable
from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import Final

from google.protobuf.message import DecodeError
from result import Ok

from lentilfork import claims
from lentilfork.adapters.backends import BackendError
from lentilfork.adapters.backends import BackendFailure
from lentilfork.adapters.callers import Answer
from lentilfork.adapters.callers import make_not_run_answer
from lentilfork.adapters.callers import make_outcome_unknown_answer
from lentilfork.admission import RateLimit
from lentilfork.admission import Refusal
from lentilfork.errors import DropReason
from lentilfork.jobs import Job
from lentilfork.runner import RETRY_AFTER_S
from lentilfork.runner import Runner
from lentilfork.runner import explain_failure
from lentilfork.schema import claims_pb2

if TYPE_CHECKING:
    from lentilfork.counters import Counters
    from lentilfork.state.model import ClusterState

__all__ = ["ClaimingRunner"]

# Time limit for recording the outcome of a request after its caller was answered.
SETTLE_TIMEOUT_S: Final = 10.0
# Part of the deadline that is reserved for recording a refusal and answering.
REFUSAL_MARGIN_S: Final = 0.2
REFUSAL_TIMEOUT_S: Final = 1.0
# Longest time after which a message is first retransmitted (RFC 7252: ACK_TIMEOUT times
# ACK_RANDOM_FACTOR). The caller of a retransmission gives up earlier by up to this time
# than its deadline, which is counted from the arrival, says.
FIRST_RETRANSMISSION_S: Final = 3.0
# Interval at which a duplicate that waits checks whether the holder is still a member.
HOLDER_CHECK_INTERVAL_S: Final = 0.5
MAXIMUM_REFUSALS_PER_S: Final = 20.0
# Limits the claims that wait for votes, so that slow voters do not get more of them.
MAXIMUM_PENDING_CLAIMS: Final = 32
NOT_RUN_ERRORS: Final = frozenset({BackendError.SHED, BackendError.UNREACHABLE})


class ClaimingRunner:
    """Runs the non-idempotent requests of one agent at most once."""

    client: claims.ClaimClient
    read_state: "Callable[[], ClusterState]"
    counters: "Counters"
    # A majority of voters records each refusal, which can cost more than running the
    # request. Above this rate requests are dropped without an answer, so that overload
    # does not use up the processor.
    refusal_limit: RateLimit
    # Number of pending claims.
    pending_claims: int
    # Tasks that record outcomes whose callers have already been answered.
    pending_settlements: set[asyncio.Task[bool]]

    def __init__(
        self,
        client: claims.ClaimClient,
        read_state: "Callable[[], ClusterState]",
        counters: "Counters",
    ) -> None:
        self.client = client
        self.read_state = read_state
        self.counters = counters
        self.refusal_limit = RateLimit(MAXIMUM_REFUSALS_PER_S)
        self.pending_claims = 0
        self.pending_settlements = set()

    async def run(self, job: Job, runner: Runner) -> Answer | None:
        """Return the answer; None if this agent sends none."""
        if not runner.can_accept(job):
            if not job.tried and runner.retry_elsewhere(job):
                # This agent has not claimed the request, so another one may do so.
                return None
            return await self.refuse_unclaimed(job)
        if self.pending_claims >= MAXIMUM_PENDING_CLAIMS:
            self.counters.add("dropped", DropReason.OVERLOADED)
            return None
        key, exchange = make_keys(job)
        while time.monotonic() < job.deadline:
            outcome = await self.claim(job, key, exchange)
            if isinstance(outcome, claims.HeldElsewhere):
                answer = await self.wait_for_answer(job, key, exchange, outcome)
                if answer is not None:
                    return answer
                continue
            return await self.handle_outcome(outcome, job, runner)
        return make_outcome_unknown_answer()

    async def claim(self, job: Job, key: bytes, exchange: bytes) -> claims.ClaimOutcome:
        """Claim the right to run a request from the voters."""
        self.pending_claims += 1
        try:
            return await self.client.claim(
                job.service.name, key, exchange, job.deadline
            )
        finally:
            self.pending_claims -= 1

    @singledispatchmethod
    async def handle_outcome(self, outcome: object, job: Job, runner: Runner) -> Answer:
        """Return the answer for the outcome of a claim; run the request if granted."""
        raise TypeError(f"no such outcome: {outcome!r}")

    @handle_outcome.register
    async def handle_granted(
        self, outcome: claims.Granted, job: Job, runner: Runner
    ) -> Answer:
        """Run the request, record its outcome and return the answer."""
        grant = outcome.grant
        result = await runner.run_in_slot(job, grant.key, grant.begin)
        if isinstance(result, Ok):
            self.settle_done(grant, job, result.ok_value)
            return result.ok_value
        failure = result.err_value
        if isinstance(failure, Refusal):
            return await self.refuse(grant, job, failure)
        if failure.error in NOT_RUN_ERRORS:
            grant.record_not_run()
            return await self.refuse(grant, job, failure)
        answer = explain_failure(failure)
        self.settle_done(grant, job, answer)
        return answer

    @handle_outcome.register
    async def handle_already_done(
        self, outcome: claims.AlreadyDone, job: Job, _runner: Runner
    ) -> Answer:
        """Return the stored answer of the attempt that ran."""
        self.counters.add("copies", "answered by claim")
        return decode_stored_answer(job, outcome.answer)

    @handle_outcome.register
    async def handle_refused_before(
        self, _outcome: claims.RefusedBefore, _job: Job, _runner: Runner
    ) -> Answer:
        """Return "not run", which was recorded for this exchange before."""
        return make_not_run_answer(RETRY_AFTER_S)

    @handle_outcome.register
    async def handle_no_quorum(
        self, _outcome: claims.NoQuorum, _job: Job, _runner: Runner
    ) -> Answer:
        """Return "outcome unknown": another attempt may have run."""
        return make_outcome_unknown_answer()

    async def wait_for_answer(
        self, job: Job, key: bytes, exchange: bytes, held: claims.HeldElsewhere
    ) -> Answer | None:
        """Return the answer of the attempt with the claim; None to claim it again."""
        while self.may_be_running(held):
            now = time.monotonic()
            limit = job.deadline - REFUSAL_MARGIN_S
            if held.same_exchange and self.is_removed(held):
                limit -= FIRST_RETRANSMISSION_S
            if now >= limit:
                break
            wait_outcome = await self.client.wait_for_answer(
                job.service.name,
                key,
                exchange,
                min(limit, now + HOLDER_CHECK_INTERVAL_S),
            )
            if isinstance(wait_outcome, claims.AlreadyDone):
                self.counters.add("copies", "answered by claim")
                return decode_stored_answer(job, wait_outcome.answer)
            if isinstance(wait_outcome, claims.RefusedBefore):
                return make_not_run_answer(RETRY_AFTER_S)
            if isinstance(wait_outcome, claims.Released):
                return None
        self.counters.add("copies", "runner lost")
        return make_outcome_unknown_answer()

    def is_removed(self, held: claims.HeldElsewhere) -> bool:
        """Return whether no runner that holds the claim is a member any more."""
        agents = self.read_state().agents
        return not any(runner.agent in agents for runner in held.runners)

    def may_be_running(self, held: claims.HeldElsewhere) -> bool:
        """Return whether any runner that holds the claim may still answer.

        A runner that was removed for its silence may only be slow to report. One that
        was replaced by a later incarnation has ended.
        """
        agents = self.read_state().agents
        return any(
            runner.agent not in agents
            or agents[runner.agent].incarnation <= runner.incarnation
            for runner in held.runners
        )

    async def refuse_unclaimed(self, job: Job) -> Answer | None:
        """Refuse a request that was not claimed here; return None to drop it.

        Dropping it costs nothing: the caller retransmits it later.
        """
        if not self.refusal_limit.try_acquire():
            self.counters.add("dropped", DropReason.OVERLOADED)
            return None
        key, exchange = make_keys(job)
        deadline = min(job.deadline, time.monotonic() + REFUSAL_TIMEOUT_S)
        service = job.service.name
        if await self.client.refuse(service, key, exchange, deadline):
            return make_not_run_answer(RETRY_AFTER_S, "overloaded")
        # Another attempt may run the request, or no majority replied.
        return None

    async def refuse(
        self, grant: claims.Grant, job: Job, failure: Refusal | BackendFailure
    ) -> Answer:
        """Record that a request did not run and return the answer for its failure.

        If no majority records it, the answer is "outcome unknown".
        """
        deadline = max(job.deadline, time.monotonic() + REFUSAL_MARGIN_S)
        if await self.client.settle_not_run(grant, deadline):
            return explain_failure(failure)
        return make_outcome_unknown_answer()

    def settle_done(self, grant: claims.Grant, job: Job, answer: Answer) -> None:
        """Record an answer for later duplicates in the background."""
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        stored_answer = encode_stored_answer(job, answer)
        work = self.client.settle_done(grant, stored_answer, deadline)
        task = asyncio.create_task(work)
        self.pending_settlements.add(task)
        task.add_done_callback(self.pending_settlements.discard)


def make_keys(job: Job) -> tuple[bytes, bytes]:
    """Return the digests of a request and of its exchange."""
    caller, request = job.pair.describe_caller(), job.request
    request_id = request.request_id
    # A request id is unique only among the requests to one path.
    scope = None if request_id is None else f"/{'/'.join(request.path)}?{request_id}"
    key = claims.request_key(caller, request.message_id, request.token, scope)
    return key, claims.exchange_key(caller, request.message_id, request.token)


def encode_stored_answer(job: Job, answer: Answer) -> bytes:
    """Return the bytes in which a claim stores the answer to a request.

    Requests with the same id count as the same even if their content differs.
    """
    has_id = job.request.request_id is not None
    stored = claims_pb2.StoredAnswer(
        code=answer.code,
        payload=answer.payload,
        etag=answer.etag,
        content_digest=b"" if has_id else job.request.content_digest,
    )
    return stored.SerializeToString()


def decode_stored_answer(job: Job, data: bytes | None) -> Answer:
    """Return the stored answer for a request with the same key.

    Returns "outcome unknown" if there is none or it is malformed, and "not run" if it
    answers another request with the same message id and token: under that key, this
    one never runs.
    """
    if data is None:
        return make_outcome_unknown_answer()
    try:
        stored = claims_pb2.StoredAnswer.FromString(data)
    except DecodeError:
        return make_outcome_unknown_answer()
    if stored.content_digest not in {b"", job.request.content_digest}:
        return make_not_run_answer(RETRY_AFTER_S, "message id in use")
    return Answer(stored.code, stored.payload, stored.etag)
