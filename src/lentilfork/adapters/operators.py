"""The administration API: operators submit changes and read state and status.

Changes are proposed with the id and the expected version that the operator sent.
Only the leader knows the status of members, so other controllers request it from the
leader. A controller that cannot reach the leader answers from its own state, in which
it reports all members as silent.
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
# Marks a status request that another controller forwarded. Such a request is answered
# from local state, so that controllers cannot forward it to each other endlessly.
FORWARDED_METADATA: Final = (("forwarded", "1"),)
# Changes that operators may submit; controllers make the other kinds themselves.
OPERATOR_KINDS: Final = frozenset(
    (
        "apply_service",
        "remove_service",
        "apply_preset",
        "remove_preset",
        "use_preset",
        "put_controllers",
        "put_evacuation",
    )
)


class OperatorService(admin_pb2_grpc.AdministrationServicer):
    """The administration API of one controller."""

    name: str
    replica: Replica
    membership: MembershipServer
    channels: Channels
    counters: Counters
    # Number of changes that wait for their outcome.
    pending_submits: int
    # Number of open Watch streams.
    watchers: int
    # Whether new changes are refused because this controller is stopping.
    closing: bool
    # Set while no change waits for its outcome.
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
        self.pending_submits = 0
        self.watchers = 0
        self.closing = False
        self.idle = asyncio.Event()
        self.idle.set()

    async def drain(self) -> None:
        """Refuse new changes and wait until all pending ones are answered."""
        self.closing = True
        await self.idle.wait()

    def find_refusal(self, change: state_pb2.Change) -> str:
        """Return why a change is refused without being proposed, "" if it is not."""
        kind = change.WhichOneof("kind")
        checks: tuple[tuple[Callable[[], bool], str], ...] = (
            (lambda: self.closing, "this controller is stopping; ask another one"),
            (
                lambda: self.pending_submits >= MAXIMUM_SUBMITS,
                "too many changes are waiting",
            ),
            (lambda: not change.change_id, "a change id is required"),
            (lambda: not change.operator, "the operator's name is required"),
            (lambda: kind not in OPERATOR_KINDS, f"operators cannot ask for {kind}"),
            (
                lambda: change.ByteSize() > MAXIMUM_CHANGE_BYTES,
                f"the change is larger than {MAXIMUM_CHANGE_BYTES} bytes",
            ),
        )
        return next((reason for is_refused, reason in checks if is_refused()), "")

    async def Submit(  # noqa: N802
        self, request: state_pb2.Change, context: Any
    ) -> admin_pb2.SubmitReply:
        """Propose a change and return its outcome, within 5 s."""
        refusal = self.find_refusal(request)
        if refusal:
            self.counters.add("operators.refused")
            return admin_pb2.SubmitReply(refused=f"not accepted: {refusal}")
        self.pending_submits += 1
        self.idle.clear()
        try:
            proposed = await self.replica.propose(request)
        finally:
            self.pending_submits -= 1
            if not self.pending_submits:
                self.idle.set()
        if isinstance(proposed, Ok):
            self.counters.add("operators.answered")
            return admin_pb2.SubmitReply(result=proposed.ok_value)
        error = proposed.err_value
        if error.unknown:
            self.counters.add("operators.unknown")
            return admin_pb2.SubmitReply(outcome_unknown=True)
        self.counters.add("operators.refused")
        return admin_pb2.SubmitReply(refused=f"not accepted: {error.failure}")

    async def GetState(  # noqa: N802
        self, request: admin_pb2.GetStateRequest, context: Any
    ) -> state_pb2.Snapshot:
        """Return the state that this controller has applied."""
        state = self.replica.state
        snapshot = encode_snapshot(state.cluster)
        if request.with_history:
            snapshot.history.extend(state.history)
            snapshot.history_dropped = state.history_dropped
        return snapshot

    async def GetHistory(  # noqa: N802
        self, request: admin_pb2.GetHistoryRequest, context: Any
    ) -> admin_pb2.History:
        """Return the operators' changes accepted after a generation."""
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
        """Return the status of the system and of each member."""
        metadata = context.invocation_metadata() or ()
        forwarded = any(key == FORWARDED_METADATA[0][0] for key, _ in metadata)
        return await self.find_status(forwarded)

    async def Watch(  # noqa: N802
        self, request: admin_pb2.GetStatusRequest, context: Any
    ) -> AsyncIterator[admin_pb2.Status]:
        """Yield the status immediately and after each change except of times."""
        if self.watchers >= MAXIMUM_WATCHERS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many watchers")
        self.watchers += 1
        try:
            last_content = b""
            while not self.closing:
                status = await self.find_status(False)
                if (content := encode_without_times(status)) != last_content:
                    last_content = content
                    yield status
                await asyncio.sleep(WATCH_INTERVAL_S)
        finally:
            self.watchers -= 1

    async def find_status(self, forwarded: bool) -> admin_pb2.Status:
        """Return the leader's status, or this controller's if none is reachable."""
        address = self.replica.leader_address
        if self.replica.is_leader or forwarded or not address:
            return self.make_status()
        stub = admin_pb2_grpc.AdministrationStub(self.channels.get(address))
        request = admin_pb2.GetStatusRequest()
        try:
            return await stub.GetStatus(
                request, timeout=STATUS_TIMEOUT_S, metadata=FORWARDED_METADATA
            )
        except grpc.aio.AioRpcError:
            self.counters.add("operators.status_unanswered")
            return self.make_status()

    def make_status(self) -> admin_pb2.Status:
        """Return the status from this controller's own state."""
        state = self.replica.state.cluster
        is_leader = self.replica.is_leader
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
        if not is_leader:
            set_unknown([*controllers, *members], self.name)
        status.members.extend(controllers)
        status.members.extend(members)
        return status


def set_unknown(members: list[admin_pb2.MemberStatus], name: str) -> None:
    """Set members to silent because the controller `name` reaches no leader."""
    for member in members:
        member.state = "silent"
        member.generation = 0
        member.reason = f"unknown: controller {name} reaches no leader"


def encode_without_times(status: admin_pb2.Status) -> bytes:
    """Return the bytes of a status without its times, to compare statuses."""
    without_times = admin_pb2.Status()
    without_times.CopyFrom(status)
    for member in without_times.members:
        member.silent_ms = 0
    return without_times.SerializeToString(deterministic=True)
