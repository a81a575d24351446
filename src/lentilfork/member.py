"""Common part of balancers and agents: membership, gRPC server, tasks and dump."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import TYPE_CHECKING
from typing import Any

import grpc.aio
from result import Err
from result import Ok
from result import Result

from lentilfork.channels import Channels
from lentilfork.clocks import draw_incarnation
from lentilfork.counters import Counters
from lentilfork.errors import Failure
from lentilfork.inspection import InspectionService
from lentilfork.membership.client import MembershipClient
from lentilfork.schema import admin_pb2_grpc
from lentilfork.schema import control_pb2
from lentilfork.tasks import start_supervised

if TYPE_CHECKING:
    from lentilfork.settings import AgentSettings
    from lentilfork.settings import BalancerSettings

__all__ = ["Member"]


class Member:
    """A process that joins the controllers and receives the agreed state from them."""

    settings: "AgentSettings | BalancerSettings"
    counters: Counters
    channels: Channels
    membership: MembershipClient
    # Drawn at this start; distinguishes this process from its earlier starts.
    incarnation: int
    server: grpc.aio.Server | None
    tasks: list[asyncio.Task[None]]

    def __init__(
        self,
        settings: "AgentSettings | BalancerSettings",
        make_heartbeat: Callable[[], control_pb2.Heartbeat],
        dump: Callable[[], dict[str, object]],
    ) -> None:
        self.settings = settings
        self.counters = Counters()
        self.channels = Channels(settings.tls, self.counters)
        self.incarnation = draw_incarnation()
        self.membership = MembershipClient(
            settings.controllers, self.channels, self.counters, make_heartbeat
        )
        self.inspection = InspectionService(dump, self.counters)
        self.server = None
        self.tasks = []

    async def start(
        self, register: Callable[[grpc.aio.Server], None]
    ) -> Result[None, Failure]:
        """Open the gRPC server with the services that `register` adds, and join."""
        address = self.settings.control_address
        try:
            server = self.channels.make_server(address)
            admin_pb2_grpc.add_InspectionServicer_to_server(self.inspection, server)
            register(server)
            await server.start()
        except (RuntimeError, OSError) as error:
            return Err(Failure("open gRPC server", address, str(error)))
        self.server = server
        self.run_supervised(self.membership.run, "feed")
        return Ok(None)

    def run_supervised(
        self, run: Callable[[], Coroutine[Any, Any, None]], name: str
    ) -> None:
        """Run a task that `stop` cancels; it is restarted after an error."""
        self.tasks.append(start_supervised(run, name))

    async def stop(self) -> None:
        """Cancel all tasks and close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.server is not None:
            await self.server.stop(None)
        await self.channels.close()

    def dump(self) -> dict[str, object]:
        """Return the part of the dump that balancers and agents share."""
        return {
            "name": self.settings.name,
            "role": self.settings.role,
            "data_centre": self.settings.data_centre,
            "incarnation": self.incarnation,
            "feed": self.membership.dump(),
            "counters": self.counters.dump(),
        }
