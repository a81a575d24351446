"""Fetches of route tables by a balancer or agent from the controllers that it knows."""

import asyncio
import zlib
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final

from google.protobuf.message import DecodeError

from lentilfork.forwarding.membership import Membership
from lentilfork.logs import Logger
from lentilfork.schema import state_pb2
from lentilfork.tasks import start_task

__all__ = ["LENGTH_BYTES", "TABLE_PORT_OFFSET", "TableFetcher", "read_table"]

SocketName = tuple[str, int]
# A fetch that takes longer is joined by one from another controller.
FETCH_PATIENCE_S: Final = 0.8
# A table takes as long on a link that is full of other streams. A change has to apply
# everywhere within 3 s to 5 s.
FETCH_TIMEOUT_S: Final = 5.0
MAXIMUM_FETCHES: Final = 3
LENGTH_BYTES: Final = 4
# Offset of the table server's port from the port that members announce to.
TABLE_PORT_OFFSET: Final = 3
MS_PER_S: Final = 1_000
MAXIMUM_TABLE_BYTES: Final = 16 * 1024 * 1024
# What a fetch raises if the table cannot be received or read. OverflowError: the port
# of the table server is out of range.
TABLE_ERRORS: Final = (
    OSError,
    EOFError,
    TimeoutError,
    OverflowError,
    DecodeError,
    zlib.error,
)

# The logger of the membership, whose lines about tables operators search for.
log = Logger("membership")


class TableFetcher:
    """Fetches newer route tables from controllers.

    A fetch that takes long is joined by one from another controller. It isn't given up
    for that: on a link that is full, each new one would take as long.
    """

    membership: Membership
    # Called after a table was applied.
    on_table: Callable[[], None]
    # Returns the compressed table at a host and port.
    read: Callable[[str, int], Awaitable[bytes]]
    # Fetches in flight, in the order in which they were started.
    tasks: "list[asyncio.Task[None]]"
    # Time from which on a further fetch may be started beside those in flight.
    next_at: float

    def __init__(
        self,
        membership: Membership,
        on_table: Callable[[], None],
        read: Callable[[str, int], Awaitable[bytes]] | None = None,
    ) -> None:
        self.membership = membership
        self.on_table = on_table
        self.read = read or read_table
        self.tasks = []
        self.next_at = float("-inf")

    def start_if_needed(self, now: float) -> None:
        """Start to fetch a newer table if there is one and no fetch is likely to do."""
        self.tasks = [task for task in self.tasks if not task.done()]
        if self.tasks and (now < self.next_at or len(self.tasks) == MAXIMUM_FETCHES):
            return
        newer = self.membership.find_newer_table(now)
        if newer is None:
            return
        self.next_at = now + FETCH_PATIENCE_S
        self.tasks.append(start_task(self.fetch(newer[0]), "fetch table"))

    async def fetch(self, controller: SocketName) -> None:
        """Fetch the table of a controller and apply it."""
        host, port = controller
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        def avoid_controller() -> None:
            self.membership.record_failed_fetch(controller, loop.time())

        patience = loop.call_later(FETCH_PATIENCE_S, avoid_controller)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                data = await self.read(host, port + TABLE_PORT_OFFSET)
            table = state_pb2.RouteTable.FromString(zlib.decompress(data))
        except TABLE_ERRORS as error:
            avoid_controller()
            self.membership.counters.add("table_fetches_failed")
            log.warning("route table not fetched", controller=host, error=repr(error))
            return
        finally:
            patience.cancel()
        former = self.membership.routes.version
        if self.membership.apply_table(table):
            log.info(
                "route table in force",
                version=table.version,
                former=former,
                routes=len(table.routes),
                bytes=len(data),
                controller=host,
                fetch_ms=round((loop.time() - started_at) * MS_PER_S),
            )
            self.on_table()


async def read_table(host: str, port: int) -> bytes:
    """Return the compressed table of a controller; raises OSError or EOFError."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
        if length > MAXIMUM_TABLE_BYTES:
            raise OSError(f"route table of {length} bytes is larger than the limit")
        return await reader.readexactly(length)
    finally:
        writer.close()
