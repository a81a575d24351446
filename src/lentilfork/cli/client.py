"""Calls to the controllers, each retried at the next controller until one answers.

A change keeps its id over all attempts, which makes resending it idempotent. If no
attempt was answered but one may have reached a controller, the outcome is reported
as unknown.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Final
from typing import TypeVar

import grpc.aio
from result import Err
from result import Ok
from result import Result

from lentilfork.channels import Channels
from lentilfork.cli.connection import Connection
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.schema import admin_pb2
from lentilfork.schema import admin_pb2_grpc
from lentilfork.schema import state_pb2

if TYPE_CHECKING:
    # Defined in the type stubs only.
    from lentilfork.schema.admin_pb2_grpc import AdministrationAsyncStub
    from lentilfork.schema.admin_pb2_grpc import InspectionAsyncStub

__all__ = ["ControllerClient", "describe_unknown_outcome", "knows_leader"]

# Timeout of a call to one controller; then the next one is tried.
ATTEMPT_TIMEOUT_S: Final = 2.0
# Longer than the 5 s within which a controller answers a submitted change.
SUBMIT_ATTEMPT_TIMEOUT_S: Final = 6.0
CONNECT_TIMEOUT_S: Final = 1.0
# Timeout of the call that finds out why there is no connection.
PROBE_TIMEOUT_S: Final = 0.5
RETRY_DELAY_S: Final = 0.2
LEADER: Final = "leader"

Reply = TypeVar("Reply")


def describe_rpc_error(error: grpc.aio.AioRpcError) -> str:
    """Return one line that describes a failed call."""
    return f"{error.code().name.lower().replace('_', ' ')}: {error.details() or '-'}"


async def diagnose_connection(stub: "AdministrationAsyncStub", address: str) -> str:
    """Return why there is no connection; only a failed call reports the reason."""
    request = admin_pb2.GetStatusRequest()
    try:
        await stub.GetStatus(request, timeout=PROBE_TIMEOUT_S)
    except grpc.aio.AioRpcError as error:
        # The cause follows the address in the details of the error.
        reason = (error.details() or "-").rpartition(f"ipv4:{address}: ")[2]
        return f"no connection: {reason}"
    return "no connection in time"


def describe_unknown_outcome(change_id: str) -> str:
    """Return the message for a change whose outcome is unknown: how to resend it."""
    return (
        "outcome unknown: the change may have taken effect or may yet; resend it "
        f"with --change-id {change_id}"
    )


def knows_leader(status: admin_pb2.Status) -> bool:
    """Return whether a status comes from a controller that reaches the leader."""
    return any(member.state == LEADER for member in status.members)


class ControllerClient:
    """Client of the administration API that one operator command uses."""

    # Addresses of the controllers in the order in which they are tried.
    controllers: list[str]
    channels: Channels
    # Timeout over all attempts of one call.
    timeout_s: float
    # Error of the last attempt at each controller, by address.
    errors_by_address: dict[str, str]
    # Whether the last status came from a controller that reaches no leader.
    leader_unreachable: bool

    def __init__(self, connection: Connection, timeout_s: float) -> None:
        self.controllers = list(connection.controllers)
        self.channels = Channels(connection.tls)
        self.timeout_s = timeout_s
        self.errors_by_address = {}
        self.leader_unreachable = False

    async def close(self) -> None:
        """Close all channels."""
        await self.channels.close()

    async def list_attempts(self) -> AsyncIterator[str]:
        """Yield the controllers in rounds with a delay between them until the timeout.

        The first round is always completed.
        """
        self.errors_by_address = {}
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.timeout_s
        for round_number in itertools.count():
            if round_number:
                await asyncio.sleep(RETRY_DELAY_S)
            for address in tuple(self.controllers):
                if round_number and loop.time() >= deadline:
                    return
                yield address

    async def connect(self, address: str) -> "AdministrationAsyncStub":
        """Return a stub once its channel is ready; TimeoutError if it is too late."""
        channel = self.channels.get(address)
        stub: AdministrationAsyncStub = admin_pb2_grpc.AdministrationStub(channel)
        try:
            await asyncio.wait_for(channel.channel_ready(), CONNECT_TIMEOUT_S)
        except TimeoutError:
            self.errors_by_address[address] = await diagnose_connection(stub, address)
            raise
        return stub

    def make_failure(self, step: str, code: ExitCode, advice: str = "") -> Failure:
        """Return the failure of a step for which all controllers failed."""
        peers = ", ".join(self.controllers)
        errors = "; ".join(
            f"{address} {error}" for address, error in self.errors_by_address.items()
        )
        return Failure(step, peers, f"{errors}{advice}", code)

    async def read(
        self,
        step: str,
        call: Callable[["AdministrationAsyncStub"], Awaitable[Reply]],
        accept: Callable[[Reply], bool],
    ) -> Result[Reply, Failure]:
        """Return the first reply that `accept` approves.

        If every controller was tried without such a reply, return the first other
        reply.
        """
        rejected: list[Reply] = []
        tried: set[str] = set()
        async for address in self.list_attempts():
            if rejected and address in tried:
                break
            tried.add(address)
            try:
                reply = await call(await self.connect(address))
            except TimeoutError:
                continue
            except grpc.aio.AioRpcError as error:
                self.errors_by_address[address] = describe_rpc_error(error)
                continue
            if accept(reply):
                self.prefer(address)
                return Ok(reply)
            rejected.append(reply)
        if rejected:
            return Ok(rejected[0])
        return Err(self.make_failure(step, ExitCode.UNREACHABLE))

    def prefer(self, address: str) -> None:
        """Move a controller to the front, so that later calls try it first."""
        self.controllers.sort(key=lambda other: other != address)

    async def get_status(self) -> Result[admin_pb2.Status, Failure]:
        """Return the leader's status, or another controller's if none reaches it."""
        request = admin_pb2.GetStatusRequest()
        status = await self.read(
            "get status",
            lambda stub: stub.GetStatus(request, timeout=ATTEMPT_TIMEOUT_S),
            knows_leader,
        )
        self.leader_unreachable = status.is_ok() and not knows_leader(status.unwrap())
        return status

    async def get_state(self) -> Result[state_pb2.Snapshot, Failure]:
        """Return the agreed state of a controller that is not behind the status.

        If all are behind, return the first state received.
        """
        status = await self.get_status()
        if isinstance(status, Err):
            return status
        return await self.get_state_at(status.ok_value.generation)

    async def get_state_at(
        self, generation: int
    ) -> Result[state_pb2.Snapshot, Failure]:
        """Return the agreed state of a controller that has reached a generation.

        If all are behind, return the first state received.
        """
        request = admin_pb2.GetStateRequest()
        return await self.read(
            "get state",
            lambda stub: stub.GetState(request, timeout=ATTEMPT_TIMEOUT_S),
            lambda state: state.generation >= generation,
        )

    async def get_history(
        self, after_generation: int
    ) -> Result[admin_pb2.History, Failure]:
        """Return the changes accepted after a generation."""
        # This call moves a controller that reaches the leader to the front.
        status = await self.get_status()
        if isinstance(status, Err):
            return status
        request = admin_pb2.GetHistoryRequest(after_generation=after_generation)
        return await self.read(
            "get history",
            lambda stub: stub.GetHistory(request, timeout=ATTEMPT_TIMEOUT_S),
            lambda _history: True,
        )

    async def watch(self) -> AsyncIterator[Result[admin_pb2.Status, Failure]]:
        """Yield a status after each change until no controller answers."""
        answered = True
        while answered:
            answered = False
            async for address in self.list_attempts():
                try:
                    stub = await self.connect(address)
                    async for status in stub.Watch(admin_pb2.GetStatusRequest()):
                        answered = True
                        yield Ok(status)
                    self.errors_by_address[address] = "ended the stream"
                except TimeoutError:
                    continue
                except grpc.aio.AioRpcError as error:
                    self.errors_by_address[address] = describe_rpc_error(error)
                if answered:
                    await asyncio.sleep(RETRY_DELAY_S)
                    break
        yield Err(self.make_failure("watch", ExitCode.UNREACHABLE))

    async def dump(self, address: str) -> Result[str, Failure]:
        """Return the state of one process as JSON text."""
        step = "dump state"
        channel = self.channels.get(address)
        stub: InspectionAsyncStub = admin_pb2_grpc.InspectionStub(channel)
        try:
            reply = await stub.Dump(admin_pb2.DumpRequest(), timeout=self.timeout_s)
        except grpc.aio.AioRpcError as error:
            message = describe_rpc_error(error)
            return Err(Failure(step, address, message, ExitCode.UNREACHABLE))
        return Ok(reply.json)

    async def submit(
        self, change: state_pb2.Change
    ) -> Result[state_pb2.ChangeResult, Failure]:
        """Send a change until its outcome is known or the timeout expires."""
        step = "submit change"
        # Whether an earlier attempt may have reached a controller without an answer;
        # a refusal by another controller then does not settle the outcome.
        maybe_received = False
        async for address in self.list_attempts():
            try:
                stub = await self.connect(address)
            except TimeoutError:
                continue
            try:
                reply = await stub.Submit(change, timeout=SUBMIT_ATTEMPT_TIMEOUT_S)
            except grpc.aio.AioRpcError as error:
                self.errors_by_address[address] = describe_rpc_error(error)
                maybe_received = True
                continue
            if reply.HasField("result"):
                return check_result(step, address, reply.result)
            if reply.refused and not maybe_received:
                return Err(Failure(step, address, reply.refused))
            self.errors_by_address[address] = reply.refused or "outcome unknown"
            maybe_received = True
        if not maybe_received:
            return Err(
                self.make_failure(step, ExitCode.UNREACHABLE, "; nothing was sent")
            )
        advice = f"; {describe_unknown_outcome(change.change_id)}"
        return Err(self.make_failure(step, ExitCode.UNKNOWN, advice))


def check_result(
    step: str, address: str, result: state_pb2.ChangeResult
) -> Result[state_pb2.ChangeResult, Failure]:
    """Return an accepted result, or the failure with the reason of the refusal."""
    if result.outcome == state_pb2.ACCEPTED:
        return Ok(result)
    message = result.message or "the change was refused"
    if result.outcome == state_pb2.VERSION_CONFLICT and result.HasField("conflict"):
        entry = result.conflict
        message += (
            f"; generation {entry.generation} by {entry.operator or 'the system'} "
            f"came first: {entry.summary} (change id {entry.change_id})"
        )
    return Err(Failure(step, address, message))
