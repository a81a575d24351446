"""Duplicates of a non-idempotent request whose claim another agent holds."""

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import pytest

from lentilfork import claims
from lentilfork.adapters.callers import NOT_RUN_CODE
from lentilfork.adapters.callers import OUTCOME_UNKNOWN_CODE
from lentilfork.adapters.callers import Answer
from lentilfork.adapters.callers import Request
from lentilfork.at_most_once import ClaimingRunner
from lentilfork.at_most_once import decode_stored_answer
from lentilfork.at_most_once import encode_stored_answer
from lentilfork.counters import Counters
from lentilfork.schema import backend_pb2
from lentilfork.state.model import Agent
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Voter

HOLDER = Voter("depot-1", 7)


@dataclass
class Case:
    """Incarnation of the holder in the agreed state, and whether it may answer."""

    incarnation: int | None
    may_answer: bool


CASES = {
    "still a member": Case(7, True),
    "removed, so silent or slow to report": Case(None, True),
    "older in a state that lags": Case(6, True),
    "replaced by a later start": Case(8, False),
}


@dataclass
class FakeClient:
    """A claim client that records whether it was asked to wait."""

    waited: list[bytes] = field(default_factory=list)

    async def wait_for_answer(
        self, _service: str, key: bytes, _exchange: bytes, _deadline: float
    ) -> claims.WaitOutcome:
        """Return that the attempt was released."""
        self.waited.append(key)
        return claims.Released()


@dataclass
class FakeService:
    """The service of a job."""

    name: str = "reports"


@dataclass
class FakeJob:
    """The part of a job that waiting needs."""

    service: FakeService = field(default_factory=FakeService)
    request: Request | None = None
    deadline: float = field(default_factory=lambda: time.monotonic() + 5.0)


@pytest.mark.parametrize("name", CASES)
async def test_duplicate_waits_while_the_holder_may_still_answer(name: str) -> None:
    case = CASES[name]
    agents = {}
    if case.incarnation is not None:
        agents[HOLDER.agent] = Agent(
            HOLDER.agent, case.incarnation, "reports", "a", "", "", 1, False, 1
        )
    client: Any = FakeClient()
    job: Any = FakeJob()
    runner = ClaimingRunner(client, lambda: ClusterState(agents=agents), Counters())
    answer = await runner.wait_for_answer(
        job, b"key", b"exchange", claims.HeldElsewhere((HOLDER,))
    )
    assert bool(client.waited) is case.may_answer
    assert (answer is None) is case.may_answer


class SilentClient(FakeClient):
    """A claim client whose holder never answers; waiting takes no time."""

    async def wait_for_answer(
        self, _service: str, key: bytes, _exchange: bytes, deadline: float
    ) -> claims.WaitOutcome:
        """Return that nothing is known at the deadline, once that has passed."""
        self.waited.append(key)
        await asyncio.sleep(max(deadline - time.monotonic(), 0))
        return claims.NoQuorum()


@pytest.mark.parametrize("same_exchange", [True, False])
async def test_caller_of_a_killed_runner_is_told_before_it_gives_up(
    *, same_exchange: bool
) -> None:
    # A retransmission arrives up to 3 s after the first message, so its caller gives up
    # that much earlier than the deadline counted from its arrival.
    client: Any = SilentClient()
    runner = ClaimingRunner(client, ClusterState, Counters())
    started_at = time.monotonic()
    job: Any = FakeJob(deadline=started_at + 4.0)
    held = claims.HeldElsewhere((HOLDER,), same_exchange)
    answer = await runner.wait_for_answer(job, b"key", b"exchange", held)
    waited_s = time.monotonic() - started_at
    assert answer is not None
    assert answer.code == OUTCOME_UNKNOWN_CODE
    if same_exchange:
        assert 0.5 <= waited_s <= 1.0
    else:
        assert 3.5 <= waited_s <= 4.0


def make_job(path: str, payload: bytes = b"", query: tuple[str, ...] = ()) -> Any:
    """Return a job of a report with the message id and token that all jobs have."""
    request = Request(7, b"tok", True, "POST", (path,), query, payload, 0, 6)
    return FakeJob(request=request)


def test_stored_answer_is_not_given_to_another_request_with_its_message_id() -> None:
    # Another operator's report: the next caller of a connection that was in use again
    # got an answer that was not its own. Callers that restart count from the same
    # message id, and an address may pass to another caller.
    answer = Answer(68, b"recorded", b"v1")
    stored = encode_stored_answer(make_job("reports", b"frost"), answer)
    assert decode_stored_answer(make_job("reports", b"frost"), stored) == answer
    for other in (make_job("reports", b"thaw"), make_job("signs", b"frost")):
        assert decode_stored_answer(other, stored).code == NOT_RUN_CODE


def test_stored_answer_is_given_to_each_request_with_its_id() -> None:
    answer = Answer(68, b"recorded")
    first = make_job("reports", b"sent at 7", ("id=9",))
    stored = encode_stored_answer(first, answer)
    repeated = make_job("reports", b"sent at 8", ("id=9",))
    assert decode_stored_answer(repeated, stored) == answer


def test_stored_answer_of_an_older_build_is_given() -> None:
    stored = backend_pb2.BackendReply(code=68, payload=b"recorded").SerializeToString()
    answer = decode_stored_answer(make_job("reports", b"frost"), stored)
    assert answer.payload == b"recorded"


@pytest.mark.parametrize("data", [None, b"\xff"])
def test_missing_or_malformed_stored_answer_is_an_unknown_outcome(
    data: bytes | None,
) -> None:
    answer = decode_stored_answer(make_job("reports"), data)
    assert answer.code == OUTCOME_UNKNOWN_CODE
