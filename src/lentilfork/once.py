"""Execution of requests that may run at most once, guarded by claims.

A request is claimed, admitted, begun and settled, in this order. A caller is told
"not run" only after a majority of the claim's voters has recorded that this
exchange never will; a copy that finds the claim held waits for the first answer.
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
from lentilfork.admission import RateLimit
from lentilfork.admission import Refusal
from lentilfork.borders.backends import BackendError
from lentilfork.borders.backends import BackendFailure
from lentilfork.borders.callers import Answer
from lentilfork.borders.callers import make_not_run_answer
from lentilfork.borders.callers import make_outcome_unknown_answer
from lentilfork.errors import DropReason
from lentilfork.jobs import Job
from lentilfork.runner import COME_BACK_S
from lentilfork.runner import Runner
from lentilfork.runner import explain_failure
from lentilfork.schema import backend_pb2

if TYPE_CHECKING:
    from lentilfork.counters import Counters
    from lentilfork.state.model import ClusterState

__all__ = ["ClaimedRunner"]

# Time to record how a request ended, beyond its caller's deadline.
SETTLE_TIMEOUT_S: Final = 10.0
# Time kept back from the deadline to record a refusal and tell the caller.
REFUSAL_MARGIN_S: Final = 0.2
REFUSAL_TIMEOUT_S: Final = 1.0
MAXIMUM_REFUSALS_PER_S: Final = 20.0
# Voters that are slow get no more claims to vote on meanwhile.
MAXIMUM_CLAIMS: Final = 32
NOT_RUN_ERRORS: Final = frozenset({BackendError.SHED, BackendError.UNREACHABLE})


class ClaimedRunner:
    """Runs non-idempotent requests for one agent."""

    client: claims.ClaimClient
    read_state: "Callable[[], ClusterState]"
    counters: "Counters"
    # Each refusal is recorded by a majority of voters, which costs more than many a
    # request; above this rate requests are dropped, so that overload does not use up
    # the processor.
    refusals: RateLimit
    # Claims under way.
    claiming: int
    # Settlements under way after the caller was answered.
    settling: set[asyncio.Task[bool]]

    def __init__(
        self,
        client: claims.ClaimClient,
        read_state: "Callable[[], ClusterState]",
        counters: "Counters",
    ) -> None:
        self.client = client
        self.read_state = read_state
        self.counters = counters
        self.refusals = RateLimit(MAXIMUM_REFUSALS_PER_S)
        self.claiming = 0
        self.settling = set()

    async def run(self, job: Job, runner: Runner) -> Answer | None:
        """Return the answer; None if another agent gives it, or nobody."""
        if not runner.can_take(job):
            if not job.tried and runner.retry_elsewhere(job):
                # Nothing was claimed here, so another agent may claim it.
                return None
            return await self.refuse_new(job)
        if self.claiming >= MAXIMUM_CLAIMS:
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
            return await self.conclude(outcome, job, runner)
        return make_outcome_unknown_answer()

    async def claim(self, job: Job, key: bytes, exchange: bytes) -> claims.ClaimOutcome:
        """Ask the voters for the right to run a request."""
        self.claiming += 1
        try:
            return await self.client.claim(
                job.service.name, key, exchange, job.deadline
            )
        finally:
            self.claiming -= 1

    @singledispatchmethod
    async def conclude(self, outcome: object, job: Job, runner: Runner) -> Answer:
        """Return the answer that follows from the outcome of a claim."""
        raise TypeError(f"no such outcome: {outcome!r}")

    @conclude.register
    async def conclude_granted(
        self, outcome: claims.Granted, job: Job, runner: Runner
    ) -> Answer:
        """Run the request and record how it ended."""
        grant = outcome.grant
        result = await runner.run_in_slot(job, grant.key, grant.begin)
        if isinstance(result, Ok):
            self.settle_done(grant, result.ok_value)
            return result.ok_value
        failure = result.err_value
        if isinstance(failure, Refusal):
            return await self.refuse(grant, job, failure)
        if failure.error in NOT_RUN_ERRORS:
            grant.cancel_begin()
            return await self.refuse(grant, job, failure)
        answer = explain_failure(failure)
        self.settle_done(grant, answer)
        return answer

    @conclude.register
    async def conclude_done(
        self, outcome: claims.AlreadyDone, _job: Job, _runner: Runner
    ) -> Answer:
        """Return the answer of the first copy."""
        self.counters.add("copies", "answered by claim")
        return decode_answer(outcome.answer)

    @conclude.register
    async def conclude_refused(
        self, _outcome: claims.RefusedBefore, _job: Job, _runner: Runner
    ) -> Answer:
        """Repeat that the request did not run."""
        return make_not_run_answer(COME_BACK_S)

    @conclude.register
    async def conclude_no_quorum(
        self, _outcome: claims.NoQuorum, _job: Job, _runner: Runner
    ) -> Answer:
        """Say that nothing is known: another copy may have run."""
        return make_outcome_unknown_answer()

    async def wait_for_answer(
        self, job: Job, key: bytes, exchange: bytes, held: claims.HeldElsewhere
    ) -> Answer | None:
        """Return the answer of the copy that runs; None to claim again."""
        if not self.is_any_alive(held):
            self.counters.add("copies", "runner lost")
            return make_outcome_unknown_answer()
        waited = await self.client.wait_for_answer(
            job.service.name, key, exchange, job.deadline - REFUSAL_MARGIN_S
        )
        if isinstance(waited, claims.AlreadyDone):
            self.counters.add("copies", "answered by claim")
            return decode_answer(waited.answer)
        if isinstance(waited, claims.RefusedBefore):
            return make_not_run_answer(COME_BACK_S)
        if isinstance(waited, claims.Released):
            return None
        return make_outcome_unknown_answer()

    def is_any_alive(self, held: claims.HeldElsewhere) -> bool:
        """Return whether a runner that holds the claim is still a member."""
        agents = self.read_state().agents
        return any(
            agents[runner.agent].incarnation == runner.incarnation
            for runner in held.runners
            if runner.agent in agents
        )

    async def refuse_new(self, job: Job) -> Answer | None:
        """Refuse a request that was not claimed here; None: say nothing.

        Silence costs nothing, and the caller's next copy comes later.
        """
        if not self.refusals.try_acquire():
            self.counters.add("dropped", DropReason.OVERLOADED)
            return None
        key, exchange = make_keys(job)
        deadline = min(job.deadline, time.monotonic() + REFUSAL_TIMEOUT_S)
        service = job.service.name
        if await self.client.refuse(service, key, exchange, deadline):
            return make_not_run_answer(COME_BACK_S, "overloaded")
        # Another copy may run, or no majority answered.
        return None

    async def refuse(
        self, grant: claims.Grant, job: Job, failure: Refusal | BackendFailure
    ) -> Answer:
        """Record that a request did not run, then say so; else it is unknown."""
        deadline = max(job.deadline, time.monotonic() + REFUSAL_MARGIN_S)
        if await self.client.settle_not_run(grant, deadline):
            return explain_failure(failure)
        return make_outcome_unknown_answer()

    def settle_done(self, grant: claims.Grant, answer: Answer) -> None:
        """Record an answer for later copies while the caller gets it."""
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        work = self.client.settle_done(grant, encode_kept_answer(answer), deadline)
        task = asyncio.create_task(work)
        self.settling.add(task)
        task.add_done_callback(self.settling.discard)


def make_keys(job: Job) -> tuple[bytes, bytes]:
    """Return the digests of a request and of its exchange."""
    caller, request = job.pair.describe_caller(), job.request
    named = request.request_id
    # An id is unique among the requests to one path.
    scope = None if named is None else f"/{'/'.join(request.path)}?{named}"
    key = claims.request_key(caller, request.message_id, request.token, scope)
    return key, claims.exchange_key(caller, request.message_id, request.token)


def encode_kept_answer(answer: Answer) -> bytes:
    """Return the bytes under which a claim keeps an answer."""
    reply = backend_pb2.BackendReply(
        code=answer.code, payload=answer.payload, etag=answer.etag
    )
    return reply.SerializeToString()


def decode_answer(data: bytes | None) -> Answer:
    """Return a kept answer; without one the outcome is unknown to this copy."""
    if data is None:
        return make_outcome_unknown_answer()
    try:
        reply = backend_pb2.BackendReply.FromString(data)
    except DecodeError:
        return make_outcome_unknown_answer()
    return Answer(reply.code, reply.payload, reply.etag)
