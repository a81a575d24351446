"""The HTTP server: complete requests, several per connection, and bad requests."""

import asyncio
import socket
import struct

import pytest

from lentilfork.counters import Counters
from lentilfork.exposition import answer_scrape
from lentilfork.http_server import MAXIMUM_BODY_BYTES
from lentilfork.http_server import Request
from lentilfork.http_server import Response
from lentilfork.http_server import serve_http

LOOPBACK = "127.0.0.1"


async def echo(request: Request) -> Response:
    if request.path == "/broken":
        raise RuntimeError("broken")
    return Response(200, request.body or b"{}", {"Path": request.path})


async def send_and_receive(data: bytes, responses: int = 1) -> bytes:
    """Return what a server sends until it has sent all responses or has closed."""
    server = await serve_http((LOOPBACK, 0), echo)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(data)
    received = b""
    async with asyncio.timeout(5):
        while received.count(b"HTTP/1.1") < responses or b"\r\n\r\n" not in received:
            part = await reader.read(65_536)
            if not part:
                break
            received += part
    writer.close()
    server.close()
    return received


async def test_body_and_path_reach_the_handler() -> None:
    response = await send_and_receive(
        b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
    )
    assert response.startswith(b"HTTP/1.1 200")
    assert b"Path: /x" in response
    assert response.endswith(b"body")


async def test_connection_serves_several_requests() -> None:
    request = b"GET /y HTTP/1.1\r\nHost: a\r\n\r\n"
    assert (await send_and_receive(request + request, 2)).count(b"HTTP/1.1 200") == 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"HTTP/1.1 400"),
        (b"GET /broken HTTP/1.1\r\nHost: a\r\n\r\n", b"HTTP/1.1 500"),
    ],
)
async def test_bad_requests_and_handlers_are_answered(
    data: bytes, status: bytes
) -> None:
    assert (await send_and_receive(data)).startswith(status)


# Guards against a server that stops answering after a request that cannot be read.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"PUT /\xff\xfe HTTP/1.1\r\nHost: a\r\n\r\n", b"400"),
        (b"P\xffT /x HTTP/1.1\r\nHost: a\r\n\r\n", b"400"),
        (b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", b"400"),
        (
            b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: %s\r\n\r\n"
            % (b"9" * 5_000),
            b"400",
        ),
        (
            b"PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%s\r\n"
            % (b"f" * 5_000),
            b"400",
        ),
        (b"PUT /%s HTTP/1.1\r\nHost: a\r\n\r\n" % (b"a" * 100_000), b"431"),
        (
            b"PUT /x HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s"
            % (MAXIMUM_BODY_BYTES + 1, b"a" * (MAXIMUM_BODY_BYTES + 1)),
            b"413",
        ),
    ],
    ids=["path", "method", "negative", "length", "chunk", "long path", "body"],
)
async def test_server_answers_after_a_request_that_cannot_be_read(
    data: bytes, status: bytes
) -> None:
    server = await serve_http((LOOPBACK, 0), echo)
    address = server.sockets[0].getsockname()
    for request, expected in (
        (data, status),
        (b"GET /y HTTP/1.1\r\nHost: a\r\n\r\n", b"200"),
    ):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request)
        async with asyncio.timeout(5):
            assert (await reader.readline()).startswith(b"HTTP/1.1 " + expected)
        writer.close()
    server.close()


async def test_scrape_has_counters_and_histograms() -> None:
    counters = Counters()
    counters.add("flows_refused", "late", 3)
    counters.observe("answer_time", 0.03)
    response = await answer_scrape(counters, 7, Request("GET", "/metrics", b""))
    text = response.body.decode()
    assert 'lentilfork_events_total{event="flows_refused",reason="late"} 3.0' in text
    assert 'lentilfork_answer_time_seconds_bucket{le="0.05"} 1.0' in text
    assert "lentilfork_generation 7.0" in text


# Guards against a handler that carries out the call of a client that has given up: the
# event loop has not read the end of the stream yet.
@pytest.mark.parametrize("reset", [False, True])
async def test_handler_learns_that_its_client_has_closed(reset: bool) -> None:
    answers: list[bool] = []
    served = asyncio.Event()

    async def handle(request: Request) -> Response:
        answers.append(request.is_disconnected())
        linger = struct.pack("ii", 1, 0)
        if reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        client.close()
        answers.append(request.is_disconnected())
        served.set()
        return Response(200)

    server = await serve_http((LOOPBACK, 0), handle)
    client = socket.create_connection(server.sockets[0].getsockname())
    client.sendall(b"POST /x HTTP/1.1\r\nHost: a\r\n\r\n")
    async with asyncio.timeout(5):
        await served.wait()
    server.close()
    assert answers == [False, True]
    assert not Request("POST", "/x", b"").is_disconnected()
