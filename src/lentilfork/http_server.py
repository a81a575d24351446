"""Small HTTP/1.1 server on asyncio streams that uses h11 for the protocol."""

import asyncio
import select
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import Final

import h11

from lentilfork.logs import Logger

__all__ = ["Handler", "Request", "Response", "serve_http"]

READ_BYTES: Final = 65_536
# Larger than any configuration document; a larger body is rejected with status 413.
MAXIMUM_BODY_BYTES: Final = 8 * 1024 * 1024
# Clients keep a connection open between calls that are seconds apart.
IDLE_TIMEOUT_S: Final = 30.0
BACKLOG: Final = 512

log = Logger("http")


@dataclass(frozen=True, slots=True)
class Request:
    """One request with its whole body."""

    method: str
    path: str
    body: bytes
    # Returns whether the client has closed its connection.
    is_disconnected: Callable[[], bool] = field(
        default=lambda: False, compare=False, repr=False
    )


@dataclass(frozen=True, slots=True)
class Response:
    """One response; the body is JSON unless `headers` has another content type."""

    status: int
    body: bytes = b"{}"
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Response]]


async def serve_http(address: tuple[str, int], handler: Handler) -> asyncio.Server:
    """Start a server at an address; raises OSError if the address is in use."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve_connection(reader, writer, handler)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            log.debug("connection ended", error=repr(error))
        finally:
            writer.close()

    return await asyncio.start_server(serve, *address, backlog=BACKLOG)


async def serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    """Serve the requests of one connection sequentially until it is closed."""
    connection = h11.Connection(h11.SERVER)
    while True:
        try:
            request = await read_request(
                connection, reader, partial(is_disconnected, writer)
            )
        except h11.RemoteProtocolError as error:
            if connection.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
                await write_response(
                    connection, writer, Response(error.error_status_hint)
                )
            return
        if request is None:
            return
        await write_response(connection, writer, await call_handler(handler, request))
        if connection.our_state is not h11.DONE:
            return
        connection.start_next_cycle()


def is_disconnected(writer: asyncio.StreamWriter) -> bool:
    """Return whether the client has closed a connection, or its side of it.

    Asks the kernel: the event loop may not have read the end of the stream yet, above
    all after a pause of the process.
    """
    connection = writer.get_extra_info("socket")
    if writer.is_closing() or connection is None or connection.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(connection.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def call_handler(handler: Handler, request: Request) -> Response:
    """Return the handler's response, or status 500 if the handler raises."""
    try:
        return await handler(request)
    except Exception as error:
        log.error(
            "request failed",
            method=request.method,
            path=request.path,
            error=repr(error),
        )
        return Response(500)


async def read_request(
    connection: h11.Connection,
    reader: asyncio.StreamReader,
    is_disconnected: Callable[[], bool],
) -> Request | None:
    """Return the next request, or None if the client has closed the connection."""
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        match event:
            case h11.NEED_DATA:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    connection.receive_data(await reader.read(READ_BYTES))
            case h11.Request():
                head = event
            case h11.Data():
                body += event.data
                if len(body) > MAXIMUM_BODY_BYTES:
                    raise h11.RemoteProtocolError("body too large", 413)
            case h11.EndOfMessage():
                assert head is not None
                method, path = head.method.decode(), head.target.decode()
                return Request(method, path, bytes(body), is_disconnected)
            case _:
                return None


async def write_response(
    connection: h11.Connection, writer: asyncio.StreamWriter, response: Response
) -> None:
    """Write a complete response."""
    headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(response.body)),
        **response.headers,
    }
    head = h11.Response(status_code=response.status, headers=list(headers.items()))
    events = (head, h11.Data(data=response.body), h11.EndOfMessage())
    writer.write(b"".join(filter(None, map(connection.send, events))))
    await writer.drain()
