"""Operators' commands to evacuate a data centre or to return it to service.

Commands have no sequence number, and operators send a command again at another
controller if its answer is late. A delayed command must not undo a later one, so a
controller confirms a read, remembers the version of the evacuation at that moment, and
proposes the change for this version only. It drops a command whose operator may have
given up before the read.

A command that is already in effect is proposed as well, which raises the version.
Otherwise a proposal for the opposite, which was never acknowledged but is still under
way, would take effect after the acknowledgement.
"""

import asyncio
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork.agreement import Replica
from lentilfork.counters import Counters
from lentilfork.errors import Failure
from lentilfork.logs import Logger
from lentilfork.schema import state_pb2
from lentilfork.state import get_subject
from lentilfork.state import get_version

__all__ = ["EvacuationCommand", "EvacuationOrders"]

# An operator waits for an answer for 1 s and then asks another controller. What the
# read confirmed later than this may be older than the answer of that one.
READ_LIMIT_S: Final = 0.9
# If a request was held up on its way, the end of its connection follows within a round
# trip. Data centres are a few milliseconds apart.
SETTLE_S: Final = 0.1
# The operator has asked another controller by then; its command finds the outcome.
PROPOSE_TIMEOUT_S: Final = 1.5
# Evacuations are the kind of change that state version 1 adds.
STATE_VERSION: Final = 1
PREPARATION_INTERVAL_S: Final = 1.0
STEP: Final = "order evacuation"

log = Logger("evacuations")


@dataclass(frozen=True, slots=True)
class EvacuationCommand:
    """A command of an operator."""

    data_centre: str
    # True evacuates the data centre, False returns it to service.
    active: bool
    # Returns whether the operator has closed the connection of the call.
    is_disconnected: Callable[[], bool] = lambda: False

    def make_change(self) -> state_pb2.Change:
        """Return the change with an id of its own."""
        return state_pb2.Change(
            change_id=f"evacuation-{uuid.uuid4().hex}",
            put_evacuation=state_pb2.Evacuation(
                data_centre=self.data_centre, active=self.active
            ),
        )


@dataclass(frozen=True, slots=True)
class Reading:
    """The evacuation of a data centre at the moment of a confirmed read."""

    version: int
    in_effect: bool


class EvacuationOrders:
    """Carries out the commands that arrive at one controller."""

    replica: Replica
    counters: Counters
    get_time_s: Callable[[], float]
    # Returns whether the process did not run for a while until just now.
    was_paused: Callable[[], bool]

    def __init__(
        self,
        replica: Replica,
        counters: Counters,
        get_time_s: Callable[[], float],
        was_paused: Callable[[], bool],
    ) -> None:
        self.replica = replica
        self.counters = counters
        self.get_time_s = get_time_s
        self.was_paused = was_paused

    async def execute(self, command: EvacuationCommand) -> Result[None, Failure]:
        """Return once a command is in effect and survives the tolerated losses.

        After a failure the outcome is unknown; the operator sends the command again.
        """
        started_s = self.get_time_s()
        outcome = await self.try_execute(command, started_s)
        took_s = self.get_time_s() - started_s
        details = {
            "data_centre": command.data_centre,
            "active": command.active,
            "took_ms": round(took_s * 1000),
        }
        if isinstance(outcome, Err):
            log.warning(
                "evacuation not acknowledged", failure=outcome.err_value, **details
            )
            return outcome
        self.counters.observe("evacuation_time", took_s)
        version = self.replica.state.cluster.evacuation_version
        log.info("evacuation acknowledged", version=version, **details)
        return outcome

    async def try_execute(
        self, command: EvacuationCommand, started_s: float
    ) -> Result[None, Failure]:
        """Confirm a read and propose the change for the version that it showed."""
        if self.was_paused():
            return self.fail("paused", "the process was suspended")
        reading = await self.read(command)
        if isinstance(reading, Err):
            return reading
        settled_s = started_s + SETTLE_S - self.get_time_s()
        await asyncio.sleep(max(settled_s, 0.0))
        dropped = self.check_caller(command, started_s)
        if isinstance(dropped, Err):
            return dropped
        return await self.propose(command, reading.ok_value)

    def check_caller(
        self, command: EvacuationCommand, started_s: float
    ) -> Result[None, Failure]:
        """Fail if the operator may have asked another controller before the read."""
        if command.is_disconnected():
            return self.fail("disconnected", "the operator closed the connection")
        if self.was_paused():
            return self.fail("paused", "the process was suspended")
        if self.get_time_s() - started_s > READ_LIMIT_S:
            return self.fail("late", f"the read took longer than {READ_LIMIT_S} s")
        return Ok(None)

    async def read(self, command: EvacuationCommand) -> Result[Reading, Failure]:
        """Return the evacuation after a majority has confirmed that it is the newest.

        A data centre that was never evacuated is in service.
        """
        confirmed = await self.replica.confirm_read()
        if isinstance(confirmed, Err):
            self.counters.add("evacuation_commands", "unconfirmed")
            return confirmed
        cluster = self.replica.state.cluster
        subject = get_subject(command.make_change())
        active = command.data_centre in cluster.evacuated
        return Ok(Reading(get_version(cluster, subject), active == command.active))

    async def propose(
        self, command: EvacuationCommand, reading: Reading
    ) -> Result[None, Failure]:
        """Propose the change; it takes effect only for the version that was read."""
        change = command.make_change()
        change.expected_version = reading.version
        proposed = await self.replica.propose(change, PROPOSE_TIMEOUT_S)
        if isinstance(proposed, Err):
            self.counters.add("evacuation_commands", "unconfirmed")
            return Err(proposed.err_value.failure)
        result = proposed.ok_value
        if result.outcome == state_pb2.ACCEPTED:
            reason = "repeated" if reading.in_effect else "accepted"
            self.counters.add("evacuation_commands", reason)
            return Ok(None)
        if reading.in_effect and await self.is_repeated(command, reading):
            self.counters.add("evacuation_commands", "repeated")
            return Ok(None)
        return self.fail("conflict", result.message)

    async def is_repeated(self, command: EvacuationCommand, before: Reading) -> bool:
        """Return whether another command with the same effect came first.

        It raised the version as the refused proposal would have.
        """
        reading = await self.read(command)
        return (
            isinstance(reading, Ok)
            and reading.ok_value.in_effect
            and reading.ok_value.version > before.version
        )

    def fail(self, reason: str, message: str) -> Err[Failure]:
        """Count a command that is not carried out and return its failure."""
        self.counters.add("evacuation_commands", reason)
        return Err(Failure(STEP, "-", message))

    async def run_preparation(self) -> None:
        """While this controller leads, record that all voters know evacuations.

        Without the record, a leader that takes over after the loss of a voter refuses
        the first evacuation.
        """
        while True:
            if self.replica.is_leader:
                await self.replica.record_state_version(STATE_VERSION)
            await asyncio.sleep(PREPARATION_INTERVAL_S)
