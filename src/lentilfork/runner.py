"""Runner's side of an agent: takes a request to its answer.

Each request is one task, written straight down: look for an answer that is kept,
claim it if it may not be repeated, wait for a slot, call the backend server, tell
the caller. Copies are absorbed while it runs. A caller is told "not run" only when
that is certain and stays so; in doubt it is told that the outcome is unknown.
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

from lentilfork.admission import EndpointWeight
from lentilfork.admission import Refusal
from lentilfork.admission import RefusalReason
from lentilfork.admission import RetryBudget
from lentilfork.admission import SlotQueue
from lentilfork.borders.backends import BackendError
from lentilfork.borders.backends import BackendFailure
from lentilfork.borders.backends import BackendServer
from lentilfork.borders.callers import MAXIMUM_BLOCK_SIZE
from lentilfork.borders.callers import NOT_RUN_CODE
from lentilfork.borders.callers import Answer
from lentilfork.borders.callers import encode_answer
from lentilfork.borders.callers import make_failure_answer
from lentilfork.borders.callers import make_not_run_answer
from lentilfork.borders.callers import make_outcome_unknown_answer
from lentilfork.borders.packets import build_packet
from lentilfork.downloads import Downloads
from lentilfork.errors import DropReason
from lentilfork.exchanges import Exchanges
from lentilfork.jobs import Job
from lentilfork.logs import Logger

if TYPE_CHECKING:
    from lentilfork.counters import Counters
    from lentilfork.state.model import ClusterState
    from lentilfork.state.model import Preset

__all__ = ["COME_BACK_S", "OnceRunner", "Runner", "explain_failure"]

LOG: Final = Logger("runner")
# Requests taken in at once; more are dropped, and their callers send them again.
MAXIMUM_JOBS: Final = 256
# Time after which a refused caller may come back, unless the queue tells better.
COME_BACK_S: Final = 1
# Answers from this code number on tell of an error: 4.00.
FIRST_ERROR_CODE: Final = 128
# A call that would have less time than this is not begun.
MINIMUM_CALL_S: Final = 0.001


class OnceRunner(Protocol):
    """Runs a non-idempotent request at most once; see `once.ClaimedRunner`."""

    async def run(self, job: Job, runner: "Runner") -> Answer | None:
        """Return the answer; None if another agent gives it."""

    async def refuse_new(self, job: Job) -> Answer | None:
        """Return the answer that a request did not run; None: say nothing."""


class Runner:
    """Serves the requests that were placed at this agent."""

    backend: BackendServer
    queue: SlotQueue
    weight: EndpointWeight
    budget: RetryBudget
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
        once: OnceRunner,
        read_state: Callable[[], "ClusterState"],
        may_run: Callable[[], bool],
        takes_work: Callable[[], bool],
        send: Callable[[bytes], None],
        pass_on: Callable[[Job], bool],
        report_end: Callable[[Job], None],
    ) -> None:
        self.backend = backend
        self.queue = SlotQueue(slots)
        self.weight = EndpointWeight()
        self.budget = RetryBudget()
        self.exchanges = Exchanges()
        self.downloads = Downloads()
        self.counters = counters
        self.once = once
        self.read_state = read_state
        self.may_run = may_run
        self.takes_work = takes_work
        self.send = send
        self.pass_on = pass_on
        self.report_end = report_end
        self.jobs = {}
        self.tasks = set()

    @property
    def limits(self) -> "Preset":
        """The limits in force now."""
        return self.read_state().limits

    def accept(self, job: Job) -> None:
        """Begin to serve a request, or answer a copy of one."""
        self.begin(job, self.find_answer)

    def refuse(self, job: Job) -> None:
        """Refuse a request for which no agent has room, or answer a copy of one."""
        self.begin(job, self.find_refusal)

    async def find_refusal(self, job: Job) -> Answer | None:
        """Return the answer to a request for which no agent has room."""
        if not job.request.idempotent:
            return await self.once.refuse_new(job)
        return make_not_run_answer(COME_BACK_S, RefusalReason.QUEUE_FULL)

    def begin(
        self, job: Job, find_answer: Callable[[Job], Awaitable[Answer | None]]
    ) -> None:
        """Start the task of a request, unless it is a copy of one that is known."""
        key = job.exchange_key
        known = self.exchanges.find(key)
        if known is not None:
            self.counters.add("copies", "answered" if known.answer else "absorbed")
            if known.answer is not None:
                self.send(build_packet(job.pair, known.answer, to_caller=True))
            return
        if len(self.jobs) >= MAXIMUM_JOBS:
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
            # The caller is told in any case; what failed is in the log.
            self.counters.add("failures", "internal")
            LOG.exception("serving a request failed", caller=job.pair.describe_caller())
        finally:
            del self.jobs[key]
            if answer is None:
                self.exchanges.abandon(key)
            else:
                self.reply(job, key, answer)
            self.report_end(job)

    def reply(self, job: Job, key: bytes, answer: Answer) -> None:
        """Send an answer to the caller and keep it for copies."""
        if job.request.block_number and answer.code >= FIRST_ERROR_CODE:
            self.counters.add("flows", "cut")
            caller, reason = job.pair.describe_caller(), answer.payload.decode()
            LOG.warning("a running flow was cut", caller=caller, reason=reason)
        data = encode_answer(job.request, answer)
        if job.is_long or job.request.block_number:
            # A copy is answered from the download.
            self.exchanges.abandon(key)
        else:
            self.exchanges.finish(key, data)
        self.counters.add("answers", str(answer.code))
        self.send(build_packet(job.pair, data, to_caller=True))

    async def find_answer(self, job: Job) -> Answer | None:
        """Return the answer; None if another agent gives it."""
        if job.request.block_number:
            return await self.answer_block(job)
        begun = self.downloads.find_first(job.download_key, job.exchange_key)
        if begun is not None:
            return begun
        if not self.takes_work() and self.pass_on(job):
            # The sender has not heard yet that this agent takes no new work.
            self.counters.add("retries", "not taking work")
            return None
        if job.request.idempotent:
            answer = await self.run_idempotent(job)
        else:
            answer = await self.once.run(job, self)
        return answer and self.keep_long(job, answer)

    def keep_long(self, job: Job, answer: Answer) -> Answer:
        """Hold an answer that takes more than one block."""
        size = min(MAXIMUM_BLOCK_SIZE, 2 ** (job.request.size_exponent + 4))
        if len(answer.payload) <= size:
            return answer
        return self.downloads.keep(job, answer)

    async def answer_block(self, job: Job) -> Answer | None:
        """Return the answer from which a later block is cut."""
        answer = self.downloads.find(job.download_key)
        if answer is None:
            if not job.request.idempotent:
                return make_outcome_unknown_answer()
            self.counters.add("downloads", "resumed")
            answer = await self.run_idempotent(job)
            if answer is None:
                return None
            if answer.code == NOT_RUN_CODE:
                # An error would cut the flow; the caller's next copy is tried again.
                self.counters.add("flows", "held back")
                return None
            answer = self.keep_long(job, answer)
        size = 2 ** (job.request.size_exponent + 4)
        if (job.request.block_number + 1) * size >= len(answer.payload):
            self.downloads.finish(job.download_key)
        return answer

    async def run_idempotent(self, job: Job) -> Answer | None:
        """Run a request that may be repeated; another agent may be asked."""
        limits = self.limits
        self.budget.record_request(limits.retry_budget_percent)
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
        """Arrange a second try at another agent if this one takes long."""
        if not limits.hedge_after_ms or job.tried:
            return None
        loop = asyncio.get_running_loop()
        return loop.call_later(limits.hedge_after_ms / 1000, self.retry_elsewhere, job)

    def retry_elsewhere(self, job: Job) -> bool:
        """Pass a request to another agent if time and budget allow it.

        A running flow that has moved here needs no budget: it is not a retry.
        """
        if time.monotonic() >= job.deadline:
            return False
        if not job.request.block_number and not self.budget.try_acquire():
            return False
        passed = self.pass_on(job)
        self.counters.add("retries", "passed on" if passed else "no agent")
        return passed

    def can_take(self, job: Job) -> bool:
        """Return whether a request would get a slot in time as things stand."""
        if not self.may_run() or not self.backend.serving:
            return False
        return self.queue.find_refusal_reason(job.deadline, self.limits) is None

    async def run_in_slot(
        self, job: Job, key: bytes, begin: Callable[[], bool] = lambda: True
    ) -> Result[Answer, BackendFailure | Refusal]:
        """Wait for a slot and call the backend server.

        `begin` is asked right before the call; if it says no, nothing is run.
        """
        if not self.may_run() or not self.backend.serving:
            self.counters.add("refused", "not serving")
            return self.queue.make_unavailable_refusal()
        if job.request.block_number:
            # A running flow that has moved here is not cut by limits for new work.
            entered = await self.queue.acquire_admitted(job.deadline)
        else:
            entered = await self.queue.acquire(job.deadline, self.limits)
        if isinstance(entered, Err):
            self.counters.add("refused", entered.err_value.reason)
            return entered
        try:
            return await self.call_backend(job, key, begin)
        finally:
            self.queue.release()

    async def call_backend(
        self, job: Job, key: bytes, begin: Callable[[], bool]
    ) -> Result[Answer, BackendFailure | Refusal]:
        """Call the backend server within what is left of the deadline."""
        started_at = time.monotonic()
        timeout_s = job.deadline - started_at
        # A process that was stopped may hold a slot long after its lease ended.
        if timeout_s < MINIMUM_CALL_S or not self.may_run() or not begin():
            return self.queue.make_unavailable_refusal()
        self.counters.add("calls")
        call = self.backend.fetch if job.is_long else self.backend.call
        outcome = await call(job.request, key, timeout_s)
        self.note_outcome(outcome, started_at)
        return outcome

    def note_outcome(
        self, outcome: Result[Answer, BackendFailure], started_at: float
    ) -> None:
        """Let the outcome of a call weigh in the load this agent reports."""
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
    """Return what the caller of a request that was not answered is told."""
    if isinstance(failure, Refusal):
        return make_not_run_answer(failure.retry_after_s, failure.reason)
    if failure.error in {BackendError.SHED, BackendError.UNREACHABLE}:
        return make_not_run_answer(COME_BACK_S, failure.error.value)
    if failure.error is BackendError.UNKNOWN:
        return make_outcome_unknown_answer()
    return make_failure_answer("backend server failed")
