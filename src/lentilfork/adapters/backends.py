"""gRPC client of one backend server: calls, long answers and health.

Each call carries a deadline, and cancelling the task cancels the call. A failure is
classified by what it proves about the request: only RESOURCE_EXHAUSTED, or a
connection that is not ready before the call is sent, proves that it did not run.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from enum import unique
from typing import Final

import grpc
import grpc.aio
from grpc_health.v1 import health_pb2
from grpc_health.v1 import health_pb2_grpc
from result import Err
from result import Ok
from result import Result

from lentilfork.adapters.callers import Answer
from lentilfork.adapters.callers import Request
from lentilfork.errors import Failure
from lentilfork.schema import backend_pb2
from lentilfork.schema import backend_pb2_grpc
from lentilfork.tasks import raise_if_cancelled

__all__ = ["BackendError", "BackendFailure", "BackendServer"]

# Bounds the memory of one answer; a longer one fails the request.
MAXIMUM_ANSWER_BYTES: Final = 4 * 1024 * 1024
HEALTH_RETRY_S: Final = 0.25
# CoAP code 2.05 (Content).
CONTENT_CODE: Final = 69


@unique
class BackendError(Enum):
    """What a failed call proves about the request."""

    # The backend server refused the request, which did not run.
    SHED = "shed"
    # The backend server reported an error; the request may have run.
    FAILED = "failed"
    # The deadline passed, the call was cancelled or the connection broke after the
    # request was sent; it may have run.
    UNKNOWN = "unknown"
    # There was no connection to the backend server, so the request did not run.
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, slots=True)
class BackendFailure:
    """The class of a failed call, and the step, address and text of the failure."""

    error: BackendError
    failure: Failure


ERRORS_BY_STATUS: Final = {
    grpc.StatusCode.RESOURCE_EXHAUSTED: BackendError.SHED,
    grpc.StatusCode.UNAVAILABLE: BackendError.UNKNOWN,
    grpc.StatusCode.DEADLINE_EXCEEDED: BackendError.UNKNOWN,
    grpc.StatusCode.CANCELLED: BackendError.UNKNOWN,
}


class BackendServer:
    """Connection to the backend server that this agent serves."""

    address: str
    channel: grpc.aio.Channel
    # Whether the last reply of the health service was SERVING.
    serving: bool
    # Set each time `serving` changes.
    changed: asyncio.Event

    def __init__(self, address: str) -> None:
        self.address = address
        self.channel = grpc.aio.insecure_channel(
            address,
            options=(
                ("grpc.enable_http_proxy", 0),
                ("grpc.enable_retries", 0),
                # gRPC fails an answer above its own limit with RESOURCE_EXHAUSTED,
                # which is reserved for requests that did not run.
                ("grpc.max_receive_message_length", -1),
                ("grpc.initial_reconnect_backoff_ms", 100),
                ("grpc.max_reconnect_backoff_ms", 500),
            ),
        )
        self.stub: backend_pb2_grpc.BackendServerAsyncStub = (
            backend_pb2_grpc.BackendServerStub(self.channel)
        )
        self.serving = False
        self.changed = asyncio.Event()

    async def call(
        self, request: Request, key: bytes, timeout_s: float
    ) -> Result[Answer, BackendFailure]:
        """Run a request; `key` is the same for all duplicates of the request."""
        if not self.is_connected():
            return self.make_failure("call", BackendError.UNREACHABLE, "not connected")
        try:
            reply = await self.stub.Call(
                convert_request(request, key), timeout=timeout_s
            )
        except grpc.aio.AioRpcError as error:
            return self.convert_rpc_error("call", error)
        if len(reply.payload) > MAXIMUM_ANSWER_BYTES:
            return self.make_failure("call", BackendError.FAILED, "answer too long")
        return Ok(Answer(reply.code, reply.payload, reply.etag))

    async def fetch(
        self, request: Request, key: bytes, timeout_s: float
    ) -> Result[Answer, BackendFailure]:
        """Run a request for a long answer and return all parts of it joined."""
        if not self.is_connected():
            return self.make_failure("fetch", BackendError.UNREACHABLE, "not connected")
        parts: list[backend_pb2.BackendPart] = []
        size = 0
        try:
            call = self.stub.Fetch(convert_request(request, key), timeout=timeout_s)
            async for part in call:
                parts.append(part)
                size += len(part.payload)
                if size > MAXIMUM_ANSWER_BYTES:
                    call.cancel()
                    return self.make_failure(
                        "fetch", BackendError.FAILED, "answer too long"
                    )
        except grpc.aio.AioRpcError as error:
            failure = self.convert_rpc_error("fetch", error)
            if parts and failure.err_value.error is BackendError.SHED:
                # The answer had begun, so the request did run.
                return Err(replace(failure.err_value, error=BackendError.FAILED))
            return failure
        return self.join_parts(parts)

    def join_parts(
        self, parts: Sequence[backend_pb2.BackendPart]
    ) -> Result[Answer, BackendFailure]:
        """Return the whole answer; a failure if parts are missing or do not match."""
        if not parts:
            return self.make_failure("fetch", BackendError.FAILED, "answer is empty")
        etags = {part.etag for part in parts if part.etag}
        if len(etags) > 1:
            return self.make_failure("fetch", BackendError.FAILED, "content changed")
        payload = b"".join(part.payload for part in parts)
        if parts[0].total_bytes not in {0, len(payload)}:
            text = f"answer ended after {len(payload)} of {parts[0].total_bytes} bytes"
            return self.make_failure("fetch", BackendError.FAILED, text)
        return Ok(Answer(CONTENT_CODE, payload, next(iter(etags), b"")))

    def is_connected(self) -> bool:
        """Return whether a call would be sent immediately; else start connecting."""
        state = self.channel.get_state(try_to_connect=True)
        return state is grpc.ChannelConnectivity.READY

    def convert_rpc_error(
        self, step: str, error: grpc.aio.AioRpcError
    ) -> Err[BackendFailure]:
        """Return the failure of a call that ended with a gRPC status."""
        backend_error = ERRORS_BY_STATUS.get(error.code(), BackendError.FAILED)
        return self.make_failure(
            step, backend_error, f"{error.code().name}: {error.details()}"
        )

    def make_failure(
        self, step: str, error: BackendError, text: str
    ) -> Err[BackendFailure]:
        """Return a failure of a step against this backend server."""
        return Err(BackendFailure(error, Failure(step, self.address, text)))

    async def watch_health(self) -> None:
        """Watch the health service until cancelled; reconnect when the stream ends."""
        stub = health_pb2_grpc.HealthStub(self.channel)
        while True:
            try:
                async for reply in stub.Watch(health_pb2.HealthCheckRequest()):
                    serving = health_pb2.HealthCheckResponse.SERVING
                    self.record_health(serving=reply.status == serving)
            except grpc.aio.AioRpcError:
                raise_if_cancelled()
                self.record_health(serving=False)
            await asyncio.sleep(HEALTH_RETRY_S)

    def record_health(self, *, serving: bool) -> None:
        """Store a health report and wake the waiting tasks if it is a change."""
        if serving != self.serving:
            self.serving = serving
            self.changed.set()

    async def close(self) -> None:
        """Close the connection and cancel its calls."""
        await self.channel.close(None)


def convert_request(request: Request, key: bytes) -> backend_pb2.BackendRequest:
    """Return the gRPC message of a caller's request."""
    return backend_pb2.BackendRequest(
        method=request.method,
        path="/" + "/".join(request.path),
        query=request.query,
        payload=request.payload,
        request_key=key,
    )
