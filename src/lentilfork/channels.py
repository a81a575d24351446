"""gRPC channels and servers between the system's processes and for operators.

Each process has one `Channels` object. It keeps one channel for each peer and opens
the server of this process, both with or without TLS according to the settings. With
TLS each side must present a certificate signed by the authority in the settings.
When the certificate files change, new connections use the new certificates and
pending calls continue on their old connections. Callers must therefore request the
channel from `get` for each call or stream.
"""

import asyncio
import inspect
import time
from collections import OrderedDict
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

import grpc
import grpc.aio
from result import Err
from result import Ok
from result import Result

from lentilfork.counters import Counters
from lentilfork.errors import Failure

if TYPE_CHECKING:
    Handler = grpc.RpcMethodHandler[Any, Any]
    from lentilfork.certificates import Certificates
    from lentilfork.settings import TlsSettings

__all__ = ["Channels"]

KEEPALIVE_TIME_MS: Final = 2_000
KEEPALIVE_TIMEOUT_MS: Final = 2_000
RECONNECT_BACKOFF_MS: Final = 500
# Shortest interval between checks of the certificate files.
CHECK_INTERVAL_S: Final = 1.0
# Calls on channels with replaced certificates may continue for this long.
RETIRED_CHANNEL_S: Final = 600.0
# A handshake counts as refused if no call of a new peer follows within this time.
HANDSHAKE_TIMEOUT_S: Final = 5.0
# Calls on an abandoned channel may continue for this long, which lets the transfer
# of a snapshot finish.
ABANDONED_CHANNEL_S: Final = 25.0
MAXIMUM_PEERS: Final = 16_384
HANDLER_KINDS: Final = ("unary_unary", "unary_stream", "stream_unary", "stream_stream")
# Larger than any entry of the log: a configuration with its routes, each of them no
# longer than the largest body that a controller reads.
MAXIMUM_MESSAGE_BYTES: Final = 32 * 1024 * 1024

CHANNEL_OPTIONS: Final = (
    ("grpc.max_receive_message_length", MAXIMUM_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_TIME_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_BACKOFF_MS),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)
SERVER_OPTIONS: Final = (
    ("grpc.max_receive_message_length", MAXIMUM_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", KEEPALIVE_TIME_MS // 2),
    ("grpc.http2.max_ping_strikes", 0),
)


def make_connect_options(timeout_ms: int | None) -> tuple[tuple[str, int], ...]:
    """Return the option that bounds a connection attempt; 20 s by default (None)."""
    if timeout_ms is None:
        return ()
    return (("grpc.min_reconnect_backoff_ms", timeout_ms),)


class Channels:
    """The gRPC channels of one process, and its source of TLS credentials."""

    # None for plain text.
    tls: "TlsSettings | None"
    counters: Counters
    # Options for new channels.
    options: tuple[tuple[str, int], ...]
    # Open channels by "ip:port".
    open: dict[str, grpc.aio.Channel]
    # Channels that new calls no longer use, each with the time to close it.
    retired: deque[tuple[float, grpc.aio.Channel]]
    # Used for new connections; None until first read, and in plain text.
    certificates: "Certificates | None"
    # Inodes and modification times of the files that were last read.
    file_versions: tuple[tuple[int, int], ...]
    # When the files were last checked, on the monotonic clock.
    checked_s: float
    # Checks the files while this process has a server with TLS.
    watcher: "asyncio.Task[None] | None"

    def __init__(
        self,
        tls: "TlsSettings | None" = None,
        counters: Counters | None = None,
        connect_timeout_ms: int | None = None,
    ) -> None:
        self.tls = tls
        self.options = (
            *CHANNEL_OPTIONS,
            *make_connect_options(connect_timeout_ms),
        )
        self.counters = counters or Counters()
        self.open = {}
        self.retired = deque()
        self.certificates = None
        self.file_versions = ()
        self.checked_s = 0.0
        self.watcher = None

    def refresh_certificates(self) -> Result[None, Failure]:
        """Read the certificate files if TLS is set and they have changed.

        After a failure the certificates that were in use stay in use.
        """
        if self.tls is None:
            return Ok(None)
        from lentilfork.certificates import load_certificates
        from lentilfork.certificates import read_file_versions

        self.checked_s = time.monotonic()
        file_versions = read_file_versions(self.tls)
        if file_versions == self.file_versions and self.certificates is not None:
            return Ok(None)
        # Set before the files are read, so that unusable files are not read again
        # until they change, as long as earlier certificates are in use.
        self.file_versions = file_versions
        loaded = load_certificates(self.tls)
        if isinstance(loaded, Err):
            self.counters.add("tls.load_failed")
            return loaded
        if self.certificates is not None:
            self.counters.add("tls.reloaded")
            self.retire_all()
        self.certificates = loaded.ok_value
        return Ok(None)

    def force_refresh(self) -> Result[None, Failure]:
        """Read the certificate files as `refresh_certificates`, even if unchanged."""
        self.file_versions = ()
        return self.refresh_certificates()

    def retire_all(self) -> None:
        """Make new calls open new channels; pending calls keep theirs for a while."""
        close_at_s = time.monotonic() + RETIRED_CHANNEL_S
        self.retired.extend((close_at_s, channel) for channel in self.open.values())
        self.open.clear()

    def get_certificates(self) -> "Certificates":
        """Return the certificates for a new connection.

        Raises RuntimeError if no usable certificates have been read.
        """
        if time.monotonic() - self.checked_s >= CHECK_INTERVAL_S:
            checked = self.refresh_certificates()
            if isinstance(checked, Err) and self.certificates is None:
                raise RuntimeError(str(checked.err_value))
        if self.certificates is None:
            raise RuntimeError("certificates are not loaded")
        return self.certificates

    def get(self, address: str) -> grpc.aio.Channel:
        """Return the channel to a peer, creating it if there is none.

        Raises RuntimeError if TLS is set and no usable certificates have been read.
        """
        if self.tls is not None:
            self.get_certificates()
        channel = self.open.get(address)
        if channel is None:
            channel = self.make_channel(address)
            self.open[address] = channel
        return channel

    def make_channel(self, address: str) -> grpc.aio.Channel:
        """Return a new channel to a peer."""
        if self.tls is None:
            return grpc.aio.insecure_channel(address, options=self.options)
        certificates = self.get_certificates()
        credentials = grpc.ssl_channel_credentials(
            certificates.authority, certificates.key, certificates.certificate
        )
        return grpc.aio.secure_channel(address, credentials, options=self.options)

    def make_server(self, address: str) -> grpc.aio.Server:
        """Return a server bound to `address`.

        Raises RuntimeError if the address is in use, or if TLS is set and no usable
        certificates have been read.
        """
        if self.tls is None:
            server = grpc.aio.server(options=SERVER_OPTIONS)
            server.add_insecure_port(address)
            return server
        certificates = self.get_certificates()
        interceptor = HandshakeInterceptor(self)
        if self.watcher is None:
            self.watcher = asyncio.create_task(self.watch_files())
        server = grpc.aio.server(options=SERVER_OPTIONS, interceptors=(interceptor,))
        credentials = grpc.dynamic_ssl_server_credentials(
            make_configuration(certificates), interceptor.fetch_configuration, True
        )
        server.add_secure_port(address, credentials)
        return server

    async def watch_files(self) -> None:
        """Check the certificate files periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.refresh_certificates()

    async def abandon_channel(self, address: str) -> None:
        """Make later calls to a peer open a new channel; pending calls may finish."""
        channel = self.open.pop(address, None)
        if channel is not None:
            self.retired.append((time.monotonic() + ABANDONED_CHANNEL_S, channel))
        await self.close_expired_channels()

    async def close_expired_channels(self) -> None:
        """Close the retired channels whose closing time has passed."""
        now_s = time.monotonic()
        due = [item for item in self.retired if item[0] < now_s]
        for item in due:
            self.retired.remove(item)
            await item[1].close(None)

    async def close_channel(self, address: str) -> None:
        """Close the channel to a peer that is gone, and all retired channels due."""
        channel = self.open.pop(address, None)
        if channel is not None:
            await channel.close(None)
        await self.close_expired_channels()

    async def close(self) -> None:
        """Close all channels."""
        if self.watcher is not None:
            self.watcher.cancel()
            self.watcher = None
        for address in list(self.open):
            await self.close_channel(address)
        while self.retired:
            await self.retired.popleft()[1].close(None)


def make_configuration(certificates: "Certificates") -> Any:
    """Return the certificates as the configuration of a gRPC server."""
    pairs = [(certificates.key, certificates.certificate)]
    return grpc.ssl_server_certificate_configuration(pairs, certificates.authority)


class HandshakeInterceptor(grpc.aio.ServerInterceptor):  # type: ignore[type-arg]
    """Supplies the newest certificates to handshakes and counts refused handshakes.

    The library reports when a handshake begins, but not how it ends. A handshake
    counts as refused if no first call of a new peer follows within
    `HANDSHAKE_TIMEOUT_S`.
    """

    channels: Channels
    # Start times of handshakes that no new peer's call has followed yet.
    handshakes_s: deque[float]
    # Peers that have made calls, the most recent last.
    peers: OrderedDict[str, None]
    loop: asyncio.AbstractEventLoop
    # The certificates that the server uses.
    served: "Certificates | None"

    def __init__(self, channels: Channels) -> None:
        self.channels = channels
        self.handshakes_s = deque(maxlen=MAXIMUM_PEERS)
        self.peers = OrderedDict()
        self.loop = asyncio.get_running_loop()
        self.served = channels.certificates

    def fetch_configuration(self) -> Any:
        """Return the certificates if they are new to the server, otherwise None.

        The library calls this for each handshake, on any thread.
        """
        self.loop.call_soon_threadsafe(self.record_handshake)
        certificates = self.channels.certificates
        if certificates is None or certificates is self.served:
            return None
        self.served = certificates
        return make_configuration(certificates)

    def record_handshake(self) -> None:
        """Count a handshake and schedule the check whether it was refused."""
        self.channels.counters.add("tls.handshakes")
        self.handshakes_s.append(time.monotonic())
        self.loop.call_later(HANDSHAKE_TIMEOUT_S, self.count_refused)

    def count_refused(self) -> None:
        """Count handshakes that no new peer's call has followed in time as refused."""
        limit_s = time.monotonic() - HANDSHAKE_TIMEOUT_S
        while self.handshakes_s and self.handshakes_s[0] <= limit_s:
            self.handshakes_s.popleft()
            self.channels.counters.add("tls.refused")

    def record_peer(self, peer: str) -> None:
        """Record the peer of a call; its first call completes a handshake."""
        if peer in self.peers:
            self.peers.move_to_end(peer)
            return
        self.peers[peer] = None
        if self.handshakes_s:
            self.handshakes_s.popleft()
        if len(self.peers) > MAXIMUM_PEERS:
            self.peers.popitem(last=False)

    async def intercept_service(
        self,
        continuation: Callable[[grpc.HandlerCallDetails], "Awaitable[Handler]"],
        handler_call_details: grpc.HandlerCallDetails,
    ) -> "Handler":
        """Return the call's handler, wrapped to record the peer first."""
        handler: Any = await continuation(handler_call_details)
        # The handler is None for an unknown method.
        kinds = [kind for kind in HANDLER_KINDS if getattr(handler, kind, None)]
        if kinds:
            methods = {kind: self.wrap(getattr(handler, kind)) for kind in kinds}
            handler = handler._replace(**methods)
        wrapped: Handler = handler
        return wrapped

    def wrap(self, method: Callable[..., Any]) -> Callable[..., Any]:
        """Return a service method wrapped to record the peer of each call first."""
        if inspect.isasyncgenfunction(method):

            async def generate(request: Any, context: Any) -> Any:
                self.record_peer(context.peer())
                async for reply in method(request, context):
                    yield reply

            return generate

        async def answer(request: Any, context: Any) -> Any:
            self.record_peer(context.peer())
            return await method(request, context)

        return answer if inspect.iscoroutinefunction(method) else method
