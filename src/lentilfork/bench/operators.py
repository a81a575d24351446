"""Operator of a deployment under test: submits changes and queries over gRPC."""

import asyncio
import json
import time
import uuid
from collections.abc import Sequence
from typing import Any
from typing import Final

import grpc.aio

from lentilfork.channels import Channels
from lentilfork.schema import admin_pb2
from lentilfork.schema import admin_pb2_grpc
from lentilfork.schema import state_pb2

__all__ = ["Operator"]

CALL_TIMEOUT_S: Final = 3.0
CHANGE_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.1


class Operator:
    """Sends changes and queries to the first controller that answers."""

    # "ip:port" of each controller, in the order in which they are tried.
    controllers: list[str]
    channels: Channels

    def __init__(self, controllers: Sequence[str]) -> None:
        self.controllers = list(controllers)
        self.channels = Channels()

    async def close(self) -> None:
        """Close all connections."""
        await self.channels.close()

    def get_stub(self, address: str) -> Any:
        """Return the stub of one controller's administration service."""
        return admin_pb2_grpc.AdministrationStub(self.channels.get(address))

    async def submit(
        self, change: state_pb2.Change, timeout_s: float = CHANGE_TIMEOUT_S
    ) -> state_pb2.ChangeResult:
        """Send a change until its result is known; retries use the same change id.

        Raises TimeoutError, or RuntimeError if the change was refused.
        """
        deadline = time.monotonic() + timeout_s
        change.change_id = change.change_id or uuid.uuid4().hex
        change.operator = change.operator or "bench"
        last_error: object = "no controller"
        while time.monotonic() < deadline:
            for address in self.controllers:
                try:
                    reply = await self.get_stub(address).Submit(
                        change, timeout=CALL_TIMEOUT_S
                    )
                except grpc.aio.AioRpcError as error:
                    last_error = f"{address}: {error.code().name} {error.details()}"
                    continue
                if reply.HasField("result"):
                    return check_result(reply.result)
                last_error = f"{address}: {reply.refused or 'outcome unknown'}"
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"change not accepted within {timeout_s} s: {last_error}")

    async def apply_service(self, service: state_pb2.Service) -> int:
        """Apply a service definition; returns the generation that contains it."""
        return (await self.submit(state_pb2.Change(apply_service=service))).generation

    async def apply_preset(self, preset: state_pb2.Preset) -> int:
        """Apply a preset definition; returns the generation that contains it."""
        return (await self.submit(state_pb2.Change(apply_preset=preset))).generation

    async def use_preset(self, name: str) -> int:
        """Activate a preset; returns the generation that contains the change."""
        return (await self.submit(state_pb2.Change(use_preset=name))).generation

    async def get_status(self) -> admin_pb2.Status:
        """Return the status from the first controller that answers.

        Raises ConnectionError if none does.
        """
        for address in self.controllers:
            try:
                status: admin_pb2.Status = await self.get_stub(address).GetStatus(
                    admin_pb2.GetStatusRequest(), timeout=CALL_TIMEOUT_S
                )
            except grpc.aio.AioRpcError:
                continue
            return status
        raise ConnectionError("no controller answers")

    async def dump(self, address: str) -> Any:
        """Return the state dump of the process with this control address."""
        stub: Any = admin_pb2_grpc.InspectionStub(self.channels.get(address))
        reply = await stub.Dump(admin_pb2.DumpRequest(), timeout=CALL_TIMEOUT_S)
        return json.loads(reply.json)


def check_result(result: state_pb2.ChangeResult) -> state_pb2.ChangeResult:
    """Return an accepted result; raises RuntimeError for any other outcome."""
    if result.outcome != state_pb2.ACCEPTED:
        raise RuntimeError(f"change refused: {result.message}")
    return result
