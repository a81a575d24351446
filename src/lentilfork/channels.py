"""gRPC channels and servers between the system's processes and for operators.

One `Channels` object lives in each process: it keeps one channel for each peer
and opens this process's server, both with or without TLS as the settings say.
"""

from typing import TYPE_CHECKING
from typing import Final

import grpc.aio

if TYPE_CHECKING:
    from lentilfork.settings import TlsSettings

__all__ = ["Channels"]

KEEPALIVE_TIME_MS: Final = 2_000
KEEPALIVE_TIMEOUT_MS: Final = 2_000
RECONNECT_BACKOFF_MS: Final = 500

CHANNEL_OPTIONS: Final = (
    ("grpc.keepalive_time_ms", KEEPALIVE_TIME_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_BACKOFF_MS),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)
SERVER_OPTIONS: Final = (
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", KEEPALIVE_TIME_MS // 2),
    ("grpc.http2.max_ping_strikes", 0),
)


class Channels:
    """The gRPC connections of one process."""

    # None: plain text.
    tls: "TlsSettings | None"
    # Open channels by "ip:port".
    open: dict[str, grpc.aio.Channel]

    def __init__(self, tls: "TlsSettings | None" = None) -> None:
        self.tls = tls
        self.open = {}

    def get(self, address: str) -> grpc.aio.Channel:
        """Return the channel to a peer; connects on first use."""
        channel = self.open.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self.open[address] = channel
        return channel

    def make_server(self, address: str) -> grpc.aio.Server:
        """Return a server bound to `address`; raises RuntimeError if it is in use."""
        server = grpc.aio.server(options=SERVER_OPTIONS)
        server.add_insecure_port(address)
        return server

    async def drop(self, address: str) -> None:
        """Close the channel to a peer that is gone."""
        channel = self.open.pop(address, None)
        if channel is not None:
            await channel.close(None)

    async def close(self) -> None:
        """Close all channels."""
        for address in list(self.open):
            await self.drop(address)
