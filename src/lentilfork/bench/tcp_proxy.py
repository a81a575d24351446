"""TCP proxy that delays, resets, pauses or cuts one direction of connections."""

import asyncio
import socket
import time
from typing import Final

from lentilfork.bench.faults import Direction
from lentilfork.bench.faults import PathConfig
from lentilfork.bench.faults import Proxy
from lentilfork.settings import split_address

__all__ = ["TcpProxy"]

CHUNK_BYTES: Final = 65_536
# Chunks of a connection read but not yet written, in each direction.
MAXIMUM_CHUNKS_IN_FLIGHT: Final = 64
BACKLOG: Final = 128
CONNECT_TIMEOUT_S: Final = 5.0


class TcpProxy(Proxy):
    """Forwards connections with two tasks each, one for each direction."""

    listener: socket.socket | None
    accept_task: asyncio.Task[None] | None
    # One task for each open connection.
    connection_tasks: set[asyncio.Task[None]]
    # Set at each change of the faults, then replaced by a new event.
    faults_changed: asyncio.Event

    def __init__(self, config: PathConfig, seed: int) -> None:
        self.faults_changed = asyncio.Event()
        super().__init__(config, seed)
        self.listener = None
        self.accept_task = None
        self.connection_tasks = set()

    def open(self) -> None:
        """Bind and start forwarding in the running event loop; raises OSError."""
        self.listener = socket.create_server(
            split_address(self.config.listen), backlog=BACKLOG
        )
        self.listener.setblocking(False)
        self.accept_task = asyncio.create_task(self.accept_connections(self.listener))

    def close(self) -> None:
        """Close the listener and break all open connections."""
        for task in [
            *self.connection_tasks,
            *([self.accept_task] if self.accept_task else []),
        ]:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        self.listener = None

    def apply_faults(self) -> None:
        """Apply the faults and wake the tasks that wait for a direction to open."""
        super().apply_faults()
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()

    def break_connections(self) -> None:
        """Break every open connection; new ones are still accepted."""
        for task in self.connection_tasks:
            task.cancel()

    async def accept_connections(self, listener: socket.socket) -> None:
        """Accept connections and start a task for each one, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            client_socket, _ = await loop.sock_accept(listener)
            self.counters.add("connections")
            task = asyncio.create_task(self.serve_connection(client_socket))
            self.connection_tasks.add(task)
            task.add_done_callback(self.connection_tasks.discard)

    async def serve_connection(self, client_socket: socket.socket) -> None:
        """Forward one connection until a peer closes it or a fault breaks it."""
        host, port = split_address(self.config.target)
        client_reader, client_writer = await asyncio.open_connection(sock=client_socket)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                target_reader, target_writer = await asyncio.open_connection(host, port)
        except OSError:
            client_writer.transport.abort()
            return
        broken = True
        try:
            async with asyncio.TaskGroup() as task_group:
                task_group.create_task(
                    self.forward_direction("forward", client_reader, target_writer)
                )
                task_group.create_task(
                    self.forward_direction("backward", target_reader, client_writer)
                )
            broken = False
        except* OSError:
            self.counters.add("connections_ended", "broken")
        finally:
            for writer in (client_writer, target_writer):
                if broken:
                    writer.transport.abort()
                else:
                    writer.close()

    async def forward_direction(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward the data of one direction in order until its end; raises OSError."""
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAXIMUM_CHUNKS_IN_FLIGHT
        )
        async with asyncio.TaskGroup() as task_group:
            task_group.create_task(self.read_chunks(direction, reader, chunks))
            task_group.create_task(self.write_chunks(direction, chunks, writer))

    async def read_chunks(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        chunks: asyncio.Queue[tuple[float, bytes]],
    ) -> None:
        """Queue each chunk with the time it is due; an empty chunk is the end."""
        chunk = b"-"
        while chunk:
            chunk = await reader.read(CHUNK_BYTES)
            if chunk and self.draw_fault(self.faults.drop):
                self.counters.add("connections_broken", direction)
                raise ConnectionResetError("broken by a fault")
            due = time.monotonic() + self.faults.get_delay_ms(direction) / 1000
            await chunks.put((due, chunk))

    async def write_chunks(
        self,
        direction: Direction,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write each chunk once it is due and the direction is open."""
        while True:
            due, chunk = await chunks.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            await self.wait_until_open(direction)
            if not chunk:
                writer.write_eof()
                return
            self.counters.add("bytes", direction, len(chunk))
            writer.write(chunk)
            await writer.drain()

    async def wait_until_open(self, direction: Direction) -> None:
        """Wait while the direction is cut or the path is frozen."""
        while self.faults.frozen or self.faults.is_cut(direction):
            await self.faults_changed.wait()
