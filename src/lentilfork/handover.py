"""Hand-over of running flows when a generation moves their buckets.

Each runner tells the new owner of a bucket which of its exchanges and downloads it
serves, so that copies and later blocks keep going there. The old owner is not
needed, so a planned change and the loss of an owner take the same way.
"""

import asyncio
from collections import defaultdict
from collections.abc import Iterable
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import grpc.aio

from lentilfork.schema import packets_pb2
from lentilfork.schema import packets_pb2_grpc

if TYPE_CHECKING:
    from lentilfork.channels import Channels
    from lentilfork.counters import Counters
    from lentilfork.dispatcher import Dispatcher
    from lentilfork.routing import ServiceRoute
    from lentilfork.runner import Runner
    from lentilfork.state.model import Agent

__all__ = ["Handover", "RoutingServicer"]

TIMEOUT_S: Final = 1.0
ATTEMPTS: Final = 3


class RoutingServicer(packets_pb2_grpc.RoutingServicer):
    """Takes registrations of running flows from runners."""

    dispatcher: "Dispatcher"

    def __init__(self, dispatcher: "Dispatcher") -> None:
        self.dispatcher = dispatcher

    async def Register(  # noqa: N802
        self, request: packets_pb2.RegisterRequest, _context: Any
    ) -> packets_pb2.RegisterReply:
        """Note where running flows are served."""
        if request.service == self.dispatcher.service:
            self.dispatcher.record_served(
                request.agent, request.exchanges, request.downloads
            )
        return packets_pb2.RegisterReply()


class Handover:
    """Tells new owners what this agent serves."""

    dispatcher: "Dispatcher"
    runner: "Runner"
    channels: "Channels"
    tasks: set[asyncio.Task[None]]

    def __init__(
        self,
        dispatcher: "Dispatcher",
        runner: "Runner",
        channels: "Channels",
        counters: "Counters",
    ) -> None:
        self.dispatcher = dispatcher
        self.runner = runner
        self.channels = channels
        self.counters = counters
        self.tasks = set()

    def update(self, old: "ServiceRoute | None", new: "ServiceRoute | None") -> None:
        """Register the running flows of all buckets that have another owner now."""
        if new is None or (old is not None and old.agents == new.agents):
            return
        exchanges = ((key, job.bucket) for key, job in self.runner.jobs.items())
        moved_exchanges = group_by_new_owner(exchanges, old, new)
        downloads = self.runner.downloads.list_active()
        moved_downloads = group_by_new_owner(downloads, old, new)
        agents = {agent.name: agent for agent in new.agents}
        for name in moved_exchanges.keys() | moved_downloads.keys():
            request = packets_pb2.RegisterRequest(
                agent=self.dispatcher.own,
                service=self.dispatcher.service,
                generation=self.dispatcher.table.generation,
                exchanges=moved_exchanges[name],
                downloads=moved_downloads[name],
            )
            task = asyncio.create_task(self.register(agents[name], request))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def register(
        self, owner: "Agent", request: packets_pb2.RegisterRequest
    ) -> None:
        """Tell one owner; tries again after a failure."""
        if owner.name == self.dispatcher.own:
            self.dispatcher.record_served(
                owner.name, request.exchanges, request.downloads
            )
            return
        stub = packets_pb2_grpc.RoutingStub(self.channels.get(owner.control_address))
        for _ in range(ATTEMPTS):
            try:
                await stub.Register(request, timeout=TIMEOUT_S)
            except grpc.aio.AioRpcError as error:
                self.counters.add("handover failed", error.code().name.lower())
                continue
            self.counters.add("handed over", amount=len(request.downloads))
            return


def group_by_new_owner(
    keys: Iterable[tuple[bytes, int]],
    old: "ServiceRoute | None",
    new: "ServiceRoute",
) -> defaultdict[str, list[bytes]]:
    """Return keys by the name of their bucket's owner, where that has changed."""
    moved: defaultdict[str, list[bytes]] = defaultdict(list)
    for key, bucket in keys:
        before = old.find_owner(bucket) if old is not None else None
        after = new.find_owner(bucket)
        if after is not None and (before is None or before.name != after.name):
            moved[after.name].append(key)
    return moved
