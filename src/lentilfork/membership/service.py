"""The Control gRPC service of a controller: member streams and relayed heartbeats."""

from typing import Any

from lentilfork.counters import Counters
from lentilfork.membership.leadership import Leadership
from lentilfork.membership.reconciler import LeaseReconciler
from lentilfork.membership.sessions import Sessions
from lentilfork.schema import control_pb2
from lentilfork.schema import control_pb2_grpc

__all__ = ["ControlService"]


class ControlService(control_pb2_grpc.ControlServicer):
    """Serves the streams of members and the batches of the other controllers."""

    sessions: Sessions
    reconciler: LeaseReconciler
    leadership: Leadership
    counters: Counters

    def __init__(
        self,
        sessions: Sessions,
        reconciler: LeaseReconciler,
        leadership: Leadership,
        counters: Counters,
    ) -> None:
        self.sessions = sessions
        self.reconciler = reconciler
        self.leadership = leadership
        self.counters = counters

    # The generated base class declares an iterator. The library also accepts a
    # coroutine that writes to the context.
    async def Join(  # type: ignore[override]  # noqa: N802
        self, request_iterator: Any, context: Any
    ) -> None:
        """Serve one member's stream."""
        await self.sessions.serve(request_iterator, context)

    async def RelayHeartbeats(  # noqa: N802
        self, request: control_pb2.HeartbeatBatch, context: Any
    ) -> control_pb2.RelayReply:
        """Handle a batch if this controller is the leader."""
        self.counters.add("control.bytes_in", amount=request.ByteSize())
        if not self.leadership.is_leader():
            return control_pb2.RelayReply()
        return self.reconciler.handle_batch(request, self.leadership.get_state())
