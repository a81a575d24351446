"""The administration API: operators' changes and the view they have.

Changes go to the agreement with their id and expected version as they came. What
only the leader knows, the status of members, is asked from it; a controller that
cannot reach the leader answers from its own state and says so.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any
from typing import Final

import grpc.aio
from result import Ok

from lentilfork.agreement import Replica
from lentilfork.channels import Channels
from lentilfork.clocks import read_clock_ms
from lentilfork.counters import Counters
from lentilfork.membership.server import MembershipServer
from lentilfork.membership.status import describe_controllers
from lentilfork.membership.status import describe_members
from lentilfork.schema import admin_pb2
from lentilfork.schema import admin_pb2_grpc
from lentilfork.schema import state_pb2
from lentilfork.state import encode_snapshot

__all__ = ["OperatorService"]

STATUS_TIMEOUT_S: Final = 0.5
WATCH_INTERVAL_S: Final = 0.2
MAXIMUM_WATCHERS: Final = 64
MAXIMUM_SUBMITS: Final = 256
MAXIMUM_CHANGE_BYTES: Final = 65_536
# Marks a request that another controller passed on; it goes no further.
FORWARDED: Final = (("forwarded", "1"),)
# What operators may ask for; the others are the system's own.
OPERATOR_KINDS: Final = frozenset(
    (
        "apply_service",
        "remove_service",
        "apply_preset",
        "remove_preset",
        "use_preset",
        "put_controllers",
    )
)


class OperatorService(admin_pb2_grpc.AdministrationServicer):
    """Answer operators on one controller."""

    name: str
    replica: Replica
    membership: MembershipServer
    channels: Channels
    counters: Counters
    # Changes under way.
    submits: int
    watchers: int
    # No new changes are taken.
    closing: bool
    # Set while no change is under way.
    idle: asyncio.Event

    def __init__(
        self,
        name: str,
        replica: Replica,
        membership: MembershipServer,
        channels: Channels,
        counters: Counters,
    ) -> None:
        self.name = name
        self.replica = replica
        self.membership = membership
        self.channels = channels
        self.counters = counters
        self.submits = 0
        self.watchers = 0
        self.closing = False
        self.idle = asyncio.Event()
        self.idle.set()

    async def drain(self) -> None:
        """Take no new changes; return once those under way are answered."""
        self.closing = True
        await self.idle.wait()

    def find_problem(self, change: state_pb2.Change) -> str:
        """Return why a change is not taken at all, "" if it is."""
        kind = change.WhichOneof("kind")
        checks: tuple[tuple[Callable[[], bool], str], ...] = (
            (lambda: self.closing, "this controller is stopping; ask another one"),
            (lambda: self.submits >= MAXIMUM_SUBMITS, "too many changes are waiting"),
            (lambda: not change.change_id, "a change id is required"),
            (lambda: not change.operator, "the operator's name is required"),
            (lambda: kind not in OPERATOR_KINDS, f"operators cannot ask for {kind}"),
            (
                lambda: change.ByteSize() > MAXIMUM_CHANGE_BYTES,
                f"the change is larger than {MAXIMUM_CHANGE_BYTES} bytes",
            ),
        )
        return next((text for applies, text in checks if applies()), "")

    async def Submit(  # noqa: N802
        self, request: state_pb2.Change, context: Any
    ) -> admin_pb2.SubmitReply:
        """Return the answer to a change, within 5 s."""
        problem = self.find_problem(request)
        if problem:
            self.counters.add("operators.refused")
            return admin_pb2.SubmitReply(refused=f"not accepted: {problem}")
        self.submits += 1
        self.idle.clear()
        try:
            proposed = await self.replica.propose(request)
        finally:
            self.submits -= 1
            if not self.submits:
                self.idle.set()
        if isinstance(proposed, Ok):
            self.counters.add("operators.answered")
            return admin_pb2.SubmitReply(result=proposed.ok_value)
        failed = proposed.err_value
        if failed.unknown:
            self.counters.add("operators.unknown")
            return admin_pb2.SubmitReply(outcome_unknown=True)
        self.counters.add("operators.refused")
        return admin_pb2.SubmitReply(refused=f"not accepted: {failed.failure}")

    async def GetState(  # noqa: N802
        self, request: admin_pb2.GetStateRequest, context: Any
    ) -> state_pb2.Snapshot:
        """Return the state applied here."""
        state = self.replica.state
        snapshot = encode_snapshot(state.cluster)
        if request.with_history:
            snapshot.history.extend(state.history)
            snapshot.history_dropped = state.history_dropped
        return snapshot

    async def GetHistory(  # noqa: N802
        self, request: admin_pb2.GetHistoryRequest, context: Any
    ) -> admin_pb2.History:
        """Return the operators' accepted changes after a generation."""
        return admin_pb2.History(
            entries=(
                entry
                for entry in self.replica.state.history
                if entry.generation > request.after_generation
            )
        )

    async def GetStatus(  # noqa: N802
        self, request: admin_pb2.GetStatusRequest, context: Any
    ) -> admin_pb2.Status:
        """Return which generation is in force where."""
        metadata = context.invocation_metadata() or ()
        forwarded = any(key == FORWARDED[0][0] for key, _ in metadata)
        return await self.find_status(forwarded)

    async def Watch(  # noqa: N802
        self, request: admin_pb2.GetStatusRequest, context: Any
    ) -> AsyncIterator[admin_pb2.Status]:
        """Yield the status now and after each change but of times alone."""
        if self.watchers >= MAXIMUM_WATCHERS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many watchers")
        self.watchers += 1
        try:
            shown = b""
            while not self.closing:
                status = await self.find_status(False)
                if (content := omit_times(status)) != shown:
                    shown = content
                    yield status
                await asyncio.sleep(WATCH_INTERVAL_S)
        finally:
            self.watchers -= 1

    async def find_status(self, forwarded: bool) -> admin_pb2.Status:
        """Return the leader's view, or this controller's if it has no leader."""
        address = self.replica.leader_address
        if self.replica.is_leader or forwarded or not address:
            return self.make_status()
        stub = admin_pb2_grpc.AdministrationStub(self.channels.get(address))
        request = admin_pb2.GetStatusRequest()
        try:
            return await stub.GetStatus(
                request, timeout=STATUS_TIMEOUT_S, metadata=FORWARDED
            )
        except grpc.aio.AioRpcError:
            self.counters.add("operators.status_unanswered")
            return self.make_status()

    def make_status(self) -> admin_pb2.Status:
        """Return what this controller knows."""
        state = self.replica.state.cluster
        leads = self.replica.is_leader
        leader = self.replica.core.leader
        now_ms = read_clock_ms()
        status = admin_pb2.Status(
            generation=state.generation,
            leader=leader,
            term=self.replica.term,
            active_preset=state.active_preset,
        )
        receiver = self.membership.reconciler.receiver
        controllers = list(describe_controllers(state, leader, receiver, now_ms))
        members = list(
            describe_members(state, self.membership.leases, receiver, now_ms)
        )
        if not leads:
            mark_unknown([*controllers, *members], self.name)
        status.members.extend(controllers)
        status.members.extend(members)
        return status


def mark_unknown(members: list[admin_pb2.MemberStatus], name: str) -> None:
    """Make statuses say that the controller called `name` hears no leader."""
    for member in members:
        member.state = "silent"
        member.generation = 0
        member.reason = f"unknown: controller {name} reaches no leader"


def omit_times(status: admin_pb2.Status) -> bytes:
    """Return a status without what changes all the time, for comparison."""
    stripped = admin_pb2.Status()
    stripped.CopyFrom(status)
    for member in stripped.members:
        member.silent_ms = 0
    return stripped.SerializeToString(deterministic=True)
