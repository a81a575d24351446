"""Proposals: submitting a change and waiting for its result.

A change is retried with the same id until the timeout: locally while this replica
leads, otherwise at the leader that it knows. Retries are idempotent because the
first result of each id is part of the replicated state.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork.agreement.core import Core
from lentilfork.agreement.core import Role
from lentilfork.agreement.core import read_wall_clock_ms
from lentilfork.agreement.leadership import Leadership
from lentilfork.agreement.state_versions import find_needed_version
from lentilfork.agreement.state_versions import is_recorded
from lentilfork.agreement.state_versions import list_unprepared
from lentilfork.agreement.state_versions import make_record
from lentilfork.agreement.transport import TransportError
from lentilfork.agreement.voters import check_transition
from lentilfork.agreement.voters import encode_configuration
from lentilfork.errors import Failure
from lentilfork.schema import agreement_pb2
from lentilfork.schema import state_pb2
from lentilfork.state.codec import decode_controller
from lentilfork.state.model import Controller
from lentilfork.state.validation import check_controllers

__all__ = ["PROPOSE_TIMEOUT_S", "Proposals", "ProposeFailure"]

# Leaves time for the answer to reach the caller within 5 s.
PROPOSE_TIMEOUT_S: Final = 4.5
FORWARD_TIMEOUT_S: Final = 1.5
RECORD_TIMEOUT_S: Final = 1.0
RETRY_INTERVAL_S: Final = 0.05
MAXIMUM_PENDING: Final = 1_024
STEP: Final = "propose change"


@dataclass(frozen=True, slots=True)
class ProposeFailure:
    """Why a change has no result."""

    failure: Failure
    # True: the change may still be accepted; retry with the same id. False: it was not
    # accepted and will not be.
    unknown: bool


@dataclass(frozen=True, slots=True)
class Pending:
    """A change in the log of this leader that is not applied yet."""

    term: int
    # Result of the change; None if the leadership ended and the outcome is unknown.
    answer: "asyncio.Future[state_pb2.ChangeResult | None]"


class Proposals:
    """Submits the changes proposed at one replica."""

    core: Core
    # Returns the leadership of this replica, or None if it does not lead.
    get_leadership: Callable[[], Leadership | None]
    # Changes that wait for their result, by log index.
    pending: dict[int, Pending]

    def __init__(
        self, core: Core, get_leadership: Callable[[], Leadership | None]
    ) -> None:
        self.core = core
        self.get_leadership = get_leadership
        self.pending = {}
        core.apply_listeners.append(self.handle_applied)
        core.role_listeners.append(self.handle_role_change)

    def handle_applied(
        self, entry: agreement_pb2.LogEntry, result: state_pb2.ChangeResult | None
    ) -> None:
        """Deliver the result of an applied entry to the call that waits for it.

        If another entry was applied at the index, the outcome is unknown.
        """
        pending = self.pending.pop(entry.index, None)
        if pending is None or pending.answer.done():
            return
        pending.answer.set_result(result if entry.term == pending.term else None)

    def handle_role_change(self, role: Role) -> None:
        """End all waits with an unknown outcome when this replica stops leading."""
        if role is Role.LEADER:
            return
        for pending in self.pending.values():
            if not pending.answer.done():
                pending.answer.set_result(None)
        self.pending.clear()

    async def propose(
        self, change: state_pb2.Change, timeout_s: float
    ) -> Result[state_pb2.ChangeResult, ProposeFailure]:
        """Retry a change, here or at the leader, until it has a result."""
        core = self.core
        identified = state_pb2.Change()
        identified.CopyFrom(change)
        if not identified.change_id:
            identified.change_id = f"{core.name}-{core.rng.getrandbits(64):016x}"
        deadline_s = core.get_time_s() + timeout_s
        unknown = False
        reason = "no leader is known"
        while (remaining_s := deadline_s - core.get_time_s()) > 0:
            reply = await self.submit_once(identified, remaining_s)
            body = reply.WhichOneof("body")
            if body == "result":
                return Ok(reply.result)
            unknown = unknown or body == "unknown"
            reason = reply.unknown or reply.refused or "no leader is known"
            pause_s = min(RETRY_INTERVAL_S, max(deadline_s - core.get_time_s(), 0))
            await asyncio.sleep(pause_s)
        if unknown:
            reason = f"{reason}; retry with change id {identified.change_id}"
        failure = Failure(STEP, core.leader_address or "-", reason)
        return Err(ProposeFailure(failure, unknown))

    async def submit_once(
        self, change: state_pb2.Change, timeout_s: float
    ) -> agreement_pb2.ProposeReply:
        """Submit a change once, here or at the leader."""
        core = self.core
        previous_result = core.state.find_result(change.change_id)
        if previous_result is not None:
            return agreement_pb2.ProposeReply(result=previous_result)
        if core.role is Role.LEADER:
            return await self.submit(change, timeout_s)
        if not core.leader_address:
            return agreement_pb2.ProposeReply(refused="no leader is known")
        return await self.forward(change, min(timeout_s, FORWARD_TIMEOUT_S))

    async def forward(
        self, change: state_pb2.Change, timeout_s: float
    ) -> agreement_pb2.ProposeReply:
        """Forward a change to the leader."""
        core = self.core
        address = core.leader_address
        version = find_needed_version(change)
        try:
            if not is_recorded(core, version):
                # A leader of an older build would append a change that it ignores.
                probe = agreement_pb2.AppendRequest()
                reply = await core.transport.append_entries(address, probe, timeout_s)
                if reply.state_version < version:
                    text = f"{address} does not know this kind of change"
                    return agreement_pb2.ProposeReply(refused=text)
            return await core.transport.propose(address, change, timeout_s)
        except TransportError as error:
            core.counters.add("agreement_call_errors", "propose")
            return agreement_pb2.ProposeReply(unknown=f"{address}: {error}")

    async def submit(
        self, change: state_pb2.Change, timeout_s: float
    ) -> agreement_pb2.ProposeReply:
        """Append a change to the log if this replica leads, and wait for its result."""
        core = self.core
        previous_result = core.state.find_result(change.change_id)
        if previous_result is not None:
            return agreement_pb2.ProposeReply(result=previous_result)
        leadership = self.get_leadership()
        if leadership is None:
            return agreement_pb2.ProposeReply(leader_address=core.leader_address)
        if core.storage.failure is not None:
            return agreement_pb2.ProposeReply(refused=str(core.storage.failure))
        if not leadership.is_established or leadership.transferring:
            return agreement_pb2.ProposeReply(refused="the leader is changing")
        if len(self.pending) >= MAXIMUM_PENDING:
            return agreement_pb2.ProposeReply(refused="too many changes are waiting")
        unprepared = self.list_unprepared(leadership, change)
        if unprepared:
            text = f"not known to support this change: {', '.join(unprepared)}"
            return agreement_pb2.ProposeReply(refused=text)
        stamped = state_pb2.Change()
        stamped.CopyFrom(change)
        stamped.time_ms = read_wall_clock_ms()
        problem = self.prepare_controllers(leadership, stamped)
        if problem:
            return agreement_pb2.ProposeReply(
                result=state_pb2.ChangeResult(
                    change_id=change.change_id,
                    outcome=state_pb2.INVALID,
                    generation=core.state.cluster.generation,
                    message=problem,
                )
            )
        return await self.wait_applied(leadership, stamped, timeout_s)

    async def wait_applied(
        self, leadership: Leadership, change: state_pb2.Change, timeout_s: float
    ) -> agreement_pb2.ProposeReply:
        """Append a change and wait for its result."""
        answer: asyncio.Future[state_pb2.ChangeResult | None]
        answer = asyncio.get_running_loop().create_future()
        index = leadership.append(change)
        self.pending[index] = Pending(leadership.term, answer)
        try:
            async with asyncio.timeout(timeout_s):
                result = await answer
        except TimeoutError:
            result = None
        finally:
            self.pending.pop(index, None)
        if result is not None:
            return agreement_pb2.ProposeReply(result=result)
        return agreement_pb2.ProposeReply(
            unknown="written to the log but not confirmed by a majority"
        )

    def list_unprepared(
        self, leadership: Leadership, change: state_pb2.Change
    ) -> list[str]:
        """Return the voters that may not know the kind of a change."""
        version = find_needed_version(change)
        recorded = is_recorded(self.core, version)
        return list_unprepared(self.core, leadership, version, recorded=recorded)

    async def record_version(self, version: int) -> bool:
        """Record in the state that all voters know a version; return whether it is.

        Does nothing unless this replica leads and every voter has stated it.
        """
        core = self.core
        if is_recorded(core, version):
            return True
        leadership = self.get_leadership()
        if leadership is None or list_unprepared(
            core, leadership, version, recorded=False
        ):
            return False
        await self.submit(make_record(version), RECORD_TIMEOUT_S)
        return is_recorded(core, version)

    def prepare_controllers(
        self, leadership: Leadership, change: state_pb2.Change
    ) -> str:
        """Complete a change of the controllers; return why it is refused, or ""."""
        core = self.core
        if change.WhichOneof("kind") != "put_controllers":
            return ""
        if core.configurations.current_index > core.commit_index:
            return "an earlier change of the controllers is not committed yet"
        problem = check_controllers(change.put_controllers)
        if problem:
            return problem
        # Prevents a version conflict when the entry is applied: the configuration takes
        # effect when it is appended and could not be refused any more.
        change.ClearField("expected_version")
        members = map(decode_controller, change.put_controllers.controllers)
        completed = {item.name: fill_disk_id(item, leadership) for item in members}
        change.put_controllers.CopyFrom(encode_configuration(completed.values()))
        return check_transition(
            core.configuration, completed, core.name, leadership.list_caught_up()
        )


def fill_disk_id(controller: Controller, leadership: Leadership) -> Controller:
    """Fill in the known data folder id of a controller if none is given."""
    known = leadership.core.configuration.get(controller.name)
    if controller.disk_id or known is None:
        return controller
    return Controller(
        controller.name, controller.control_address, controller.voter, known.disk_id
    )
