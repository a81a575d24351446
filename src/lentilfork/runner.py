"""The runner of an agent: executes the requests that were placed here.

Each request is served by one task, in this order: look for a stored answer, claim
the request if it is not idempotent, wait for a slot, call the backend server, answer
the caller. Duplicates that arrive meanwhile are absorbed. A caller is told "not run"
only if the request certainly did not run and never will. Otherwise it is told that
the outcome is unknown.
"""

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Final
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from lentilfork.adapters.backends import BackendError
from lentilfork.adapters.backends import BackendFailure
from lentilfork.adapters.backends import BackendServer
from lentilfork.adapters.callers import MAXIMUM_BLOCK_BYTES
from lentilfork.adapters.callers import NOT_RUN_CODE
from lentilfork.adapters.callers import Answer
from lentilfork.adapters.callers import encode_answer
from lentilfork.adapters.callers import make_failure_answer
from lentilfork.adapters.callers import make_not_run_answer
from lentilfork.adapters.callers import make_outcome_unknown_answer
from lentilfork.adapters.packets import build_packet
from lentilfork.admission import EndpointWeight
from lentilfork.admission import Refusal
from lentilfork.admission import RefusalReason
from lentilfork.admission import RetryBudget
from lentilfork.admission import SlotQueue
from lentilfork.downloads import Downloads
from lentilfork.errors import DropReason
from lentilfork.exchanges import Exchanges
from lentilfork.jobs import Job
from lentilfork.logs import Logger

if TYPE_CHECKING:
    from lentilfork.counters import Counters
    from lentilfork.state.model import ClusterState
    from lentilfork.state.model import Preset

__all__ = ["RETRY_AFTER_S", "AtMostOnceRunner", "Runner", "explain_failure"]

LOG: Final = Logger("runner")
# Requests served at the same time; more are dropped, and their callers retransmit them.
MAXIMUM_CONCURRENT_JOBS: Final = 256
# Time after which a refused caller may retry, if the queue gives no better estimate.
RETRY_AFTER_S: Final = 1
# The lowest CoAP response code of an error, 4.00.
FIRST_ERROR_CODE: Final = 128
# A call is not started with less time than this left before its deadline.
MINIMUM_CALL_S: Final = 0.001


class AtMostOnceRunner(Protocol):
    """Runs a non-idempotent request at most once; see `at_most_once.ClaimingRunner`."""

    async def run(self, job: Job, runner: "Runner") -> Answer | None:
        """Return the answer; None if this agent sends none."""

    async def refuse_unclaimed(self, job: Job) -> Answer | None:
        """Refuse a request that was not claimed here; return None to drop it."""


class Runner:
    """Serves the requests that were placed at this agent."""

    backend: BackendServer
    queue: SlotQueue
    weight: EndpointWeight
    retry_budget: RetryBudget
    exchanges: Exchanges
    downloads: Downloads
    # Requests being served, by exchange key.
    jobs: dict[bytes, Job]
    tasks: set[asyncio.Task[None]]

    def __init__(
        self,
        backend: BackendServer,
        slots: int,
        counters: "Counters",
        at_most_once: AtMostOnceRunner,
        read_state: Callable[[], "ClusterState"],
        may_run: Callable[[], bool],
        accepts_work: Callable[[], bool],
        send: Callable[[bytes], None],
        forward_job: Callable[[Job], bool],
        notify_job_end: Callable[[Job], None],
    ) -> None:
        self.backend = backend
        self.queue = SlotQueue(slots)
        self.weight = EndpointWeight()
        self.retry_budget = RetryBudget()
        self.exchanges = Exchanges()
        self.downloads = Downloads()
        self.counters = counters
        self.at_most_once = at_most_once
        self.read_state = read_state
        self.may_run = may_run
        self.accepts_work = accepts_work
        self.send = send
        self.forward_job = forward_job
        self.notify_job_end = notify_job_end
        self.jobs = {}
        self.tasks = set()

    @property
    def limits(self) -> "Preset":
        """The limits of the active preset."""
        return self.read_state().limits

    def accept(self, job: Job) -> None:
        """Start serving a request, or answer a duplicate of a known one."""
        self.start_job(job, self.find_answer)

    def refuse(self, job: Job) -> None:
        """Refuse a request that no agent has room for, or answer a known duplicate."""
        self.start_job(job, self.find_refusal)

    async def find_refusal(self, job: Job) -> Answer | None:
        """Return the refusal of a request; None to drop the request."""
        if not job.request.idempotent:
            return await self.at_most_once.refuse_unclaimed(job)
        return make_not_run_answer(RETRY_AFTER_S, RefusalReason.QUEUE_FULL)

    def start_job(
        self, job: Job, find_answer: Callable[[Job], Awaitable[Answer | None]]
    ) -> None:
        """Start the task that serves a request, unless its exchange is known."""
        key = job.exchange_key
        exchange = self.exchanges.find(key)
        if exchange is not None:
            self.counters.add("copies", "answered" if exchange.answer else "absorbed")
            if exchange.answer is not None:
                self.send(build_packet(job.pair, exchange.answer, to_caller=True))
            return
        if len(self.jobs) >= MAXIMUM_CONCURRENT_JOBS:
            self.counters.add("dropped", DropReason.OVERLOADED)
            return
        self.exchanges.begin(key)
        self.jobs[key] = job
        task = asyncio.create_task(self.serve(job, key, find_answer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(
        self,
        job: Job,
        key: bytes,
        find_answer: Callable[[Job], Awaitable[Answer | None]],
    ) -> None:
        """Find the answer of one request and send it."""
        answer: Answer | None = make_outcome_unknown_answer()
        try:
            answer = await find_answer(job)
        except Exception:
            # The caller gets an answer in any case; the log has the failure.
            self.counters.add("failures", "internal")
            LOG.exception("serving a request failed", caller=job.pair.describe_caller())
        finally:
            del self.jobs[key]
            if answer is None:
                self.exchanges.abandon(key)
            else:
                self.send_answer(job, key, answer)
            self.notify_job_end(job)

    def send_answer(self, job: Job, key: bytes, answer: Answer) -> None:
        """Send an answer to the caller and store it for retransmissions."""
        if job.request.block_number and answer.code >= FIRST_ERROR_CODE:
            self.counters.add("flows", "cut")
            caller, reason = job.pair.describe_caller(), answer.payload.decode()
            LOG.warning(
                "ended a running flow with an error answer",
                caller=caller,
                reason=reason,
            )
        data = encode_answer(job.request, answer)
        if job.is_long or job.request.block_number:
            # Retransmissions are answered from the stored download instead.
            self.exchanges.abandon(key)
        else:
            self.exchanges.finish(key, data)
        self.counters.add("answers", str(answer.code))
        self.send(build_packet(job.pair, data, to_caller=True))

    async def find_answer(self, job: Job) -> Answer | None:
        """Return the answer; None if this agent sends none."""
        if job.request.block_number:
            return await self.answer_block(job)
        first_answer = self.downloads.find_first_answer(
            job.download_key, job.exchange_key
        )
        if first_answer is not None:
            return first_answer
        if not self.accepts_work() and self.forward_job(job):
            # The agent that placed the job does not know yet that this agent accepts
            # no new work.
            self.counters.add("retries", "not taking work")
            return None
        if job.request.idempotent:
            answer = await self.run_idempotent(job)
        else:
            answer = await self.at_most_once.run(job, self)
        return answer and self.store_long_answer(job, answer)

    def store_long_answer(self, job: Job, answer: Answer) -> Answer:
        """Store an answer that needs more than one block, and return the answer."""
        size = min(MAXIMUM_BLOCK_BYTES, 2 ** (job.request.size_exponent + 4))
        if len(answer.payload) <= size:
            return answer
        return self.downloads.store(job, answer)

    async def answer_block(self, job: Job) -> Answer | None:
        """Return the answer that contains a later block, or None to send nothing."""
        answer = self.downloads.find(job.download_key)
        if answer is None:
            if not job.request.idempotent:
                return make_outcome_unknown_answer()
            self.counters.add("downloads", "resumed")
            answer = await self.run_idempotent(job)
            if answer is None:
                return None
            if answer.code == NOT_RUN_CODE:
                # An error would end the flow. The caller's retransmission is another
                # attempt.
                self.counters.add("flows", "held back")
                return None
            answer = self.store_long_answer(job, answer)
        size = 2 ** (job.request.size_exponent + 4)
        if (job.request.block_number + 1) * size >= len(answer.payload):
            self.downloads.finish(job.download_key)
        return answer

    async def run_idempotent(self, job: Job) -> Answer | None:
        """Run an idempotent request; None if it was forwarded to another agent."""
        limits = self.limits
        self.retry_budget.record_request(limits.retry_budget_percent)
        hedge = self.start_hedge(job, limits)
        try:
            outcome = await self.run_in_slot(job, job.exchange_key)
        finally:
            if hedge is not None:
                hedge.cancel()
        if isinstance(outcome, Ok):
            return outcome.ok_value
        if self.retry_elsewhere(job):
            return None
        return explain_failure(outcome.err_value)

    def start_hedge(self, job: Job, limits: "Preset") -> asyncio.TimerHandle | None:
        """Schedule a second attempt at another agent, if the preset has hedging."""
        if not limits.hedge_after_ms or job.tried:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(limits.hedge_after_ms / 1000, self.retry_elsewhere, job)

    def retry_elsewhere(self, job: Job) -> bool:
        """Forward a request to another agent if its deadline and retry budget allow it.

        Return whether it was forwarded. A later block of a long answer needs no retry
        budget: its flow was moved to this agent, which is not a retry.
        """
        if time.monotonic() >= job.deadline:
            return False
        if not job.request.block_number and not self.retry_budget.try_acquire():
            return False
        forwarded = self.forward_job(job)
        self.counters.add("retries", "passed on" if forwarded else "no agent")
        return forwarded

    def can_accept(self, job: Job) -> bool:
        """Return whether a request would currently get a slot before its deadline."""
        if not self.may_run() or not self.backend.serving:
            return False
        return self.queue.find_refusal_reason(job.deadline, self.limits) is None

    async def run_in_slot(
        self, job: Job, key: bytes, begin: Callable[[], bool] = lambda: True
    ) -> Result[Answer, BackendFailure | Refusal]:
        """Wait for a slot and call the backend server.

        `begin` is called immediately before the backend call. If it returns False,
        the request does not run.
        """
        if not self.may_run() or not self.backend.serving:
            self.counters.add("refused", "not serving")
            return self.queue.make_unavailable_refusal()
        if job.request.block_number:
            # The limits for new work do not apply to a running flow that moved here.
            admission = await self.queue.acquire_admitted(job.deadline)
        else:
            admission = await self.queue.acquire(job.deadline, self.limits)
        if isinstance(admission, Err):
            self.counters.add("refused", admission.err_value.reason)
            return admission
        try:
            return await self.call_backend(job, key, begin)
        finally:
            self.queue.release()

    async def call_backend(
        self, job: Job, key: bytes, begin: Callable[[], bool]
    ) -> Result[Answer, BackendFailure | Refusal]:
        """Call the backend server within the time left before the deadline."""
        started_at = time.monotonic()
        timeout_s = job.deadline - started_at
        # A process that was stopped may still hold a slot long after its lease expired.
        if timeout_s < MINIMUM_CALL_S or not self.may_run() or not begin():
            return self.queue.make_unavailable_refusal()
        self.counters.add("calls")
        call = self.backend.fetch if job.is_long else self.backend.call
        outcome = await call(job.request, key, timeout_s)
        self.record_outcome(outcome, started_at)
        return outcome

    def record_outcome(
        self, outcome: Result[Answer, BackendFailure], started_at: float
    ) -> None:
        """Record the outcome of a call for the load that this agent reports."""
        if isinstance(outcome, Ok):
            self.weight.record_outcome(failed=False)
            self.queue.record_service_time(started_at)
            return
        error = outcome.err_value.error
        self.counters.add("failures", error.value)
        if error is BackendError.SHED and self.queue.stop_prefetch():
            return
        self.weight.record_outcome(failed=True)


def explain_failure(failure: BackendFailure | Refusal) -> Answer:
    """Return the answer to the caller of a request that was refused or failed."""
    if isinstance(failure, Refusal):
        return make_not_run_answer(failure.retry_after_s, failure.reason)
    if failure.error in {BackendError.SHED, BackendError.UNREACHABLE}:
        return make_not_run_answer(RETRY_AFTER_S, failure.error.value)
    if failure.error is BackendError.UNKNOWN:
        return make_outcome_unknown_answer()
    return make_failure_answer("backend server failed")
