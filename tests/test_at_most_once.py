"""Duplicates of a non-idempotent request whose claim another agent holds."""

from dataclasses import dataclass
from dataclasses import field
from typing import Any

import pytest

from lentilfork import claims
from lentilfork.at_most_once import ClaimingRunner
from lentilfork.counters import Counters
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
    deadline: float = 5.0


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
