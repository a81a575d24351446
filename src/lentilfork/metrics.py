"""Metrics of one process, served over HTTP where its settings ask for it.

The numbers are the process's own `Counters` and a few gauges, taken at each scrape
by a call into the event loop: the HTTP threads never touch the state of the role,
and nothing is spent on metrics between scrapes. This module and the libraries
behind it are imported only by processes that serve metrics.
"""

import asyncio
import time
from collections.abc import Iterator
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass
from typing import Final
from wsgiref.simple_server import WSGIServer

import psutil
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import SERVICE_INSTANCE_ID
from opentelemetry.sdk.resources import SERVICE_NAME
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry
from prometheus_client import start_http_server
from result import Err
from result import Ok
from result import Result

from lentilfork import VERSION
from lentilfork.errors import Failure
from lentilfork.roles import Role
from lentilfork.settings import CommonSettings
from lentilfork.settings import split_address

__all__ = ["MetricsServer"]

# A scrape gives up when the event loop does not answer for this long.
SNAPSHOT_TIMEOUT_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The values of one moment, taken in the event loop."""

    # Number of events by name and reason.
    counters: dict[tuple[str, str], int]
    generation: int
    # From the request for a snapshot until the event loop served it.
    loop_lag_s: float


class MetricsServer:
    """Serves the metrics of one role until it is closed."""

    settings: CommonSettings
    role: Role
    loop: asyncio.AbstractEventLoop
    process: psutil.Process
    # Of this process only, without the library's own default metrics.
    registry: CollectorRegistry
    provider: MeterProvider
    # Set while it serves.
    server: WSGIServer

    def __init__(self, settings: CommonSettings, role: Role) -> None:
        self.settings = settings
        self.role = role
        self.loop = asyncio.get_running_loop()
        self.process = psutil.Process()
        self.registry = CollectorRegistry()
        self.provider = MeterProvider(
            metric_readers=[
                PrometheusMetricReader(scope_info_enabled=False, registry=self.registry)
            ],
            resource=Resource(
                {SERVICE_NAME: "lentilfork", SERVICE_INSTANCE_ID: settings.name}
            ),
            shutdown_on_exit=False,
        )
        self.make_instruments()

    def make_instruments(self) -> None:
        """Create the instruments; their callbacks run at each scrape."""
        meter = self.provider.get_meter("lentilfork", VERSION)
        meter.create_observable_counter(
            "lentilfork_events",
            [self.observe_counters],
            description="Events counted since the process started",
        )
        meter.create_observable_gauge(
            "lentilfork_generation",
            [self.observe_generation],
            description="Generation of the agreed state in force here",
        )
        meter.create_observable_gauge(
            "lentilfork_loop_lag",
            [self.observe_loop_lag],
            unit="s",
            description="Time the event loop took to serve this scrape",
        )
        meter.create_observable_gauge(
            "lentilfork_resident_memory",
            [self.observe_memory],
            unit="By",
            description="Resident memory of the process",
        )

    def start(self) -> Result[None, Failure]:
        """Serve scrapes in a thread of their own."""
        assert self.settings.metrics is not None
        address = self.settings.metrics.address
        host, port = split_address(address)
        try:
            self.server, _thread = start_http_server(port, host, registry=self.registry)
        except OSError as error:
            reason = error.strerror or str(error)
            return Err(Failure("open metrics server", address, reason))
        return Ok(None)

    async def close(self) -> None:
        """Stop serving; scrapes under way may be cut."""
        # Waits for the serving thread, which must not hold up the event loop.
        await asyncio.to_thread(self.server.shutdown)
        self.server.server_close()
        self.provider.shutdown()

    def read_snapshot(self) -> Snapshot | None:
        """Return the values of this moment; None if the event loop is stuck."""
        requested_at = time.perf_counter()

        async def read() -> Snapshot:
            lag = time.perf_counter() - requested_at
            values = dict(self.role.counters.values)
            return Snapshot(values, self.role.generation, lag)

        future = asyncio.run_coroutine_threadsafe(read(), self.loop)
        try:
            return future.result(SNAPSHOT_TIMEOUT_S)
        except FutureTimeoutError:
            future.cancel()
            return None

    def observe_counters(self, _options: CallbackOptions) -> Iterator[Observation]:
        """Yield each counter; its name and reason become attributes."""
        snapshot = self.read_snapshot()
        if snapshot is not None:
            for (event, reason), count in sorted(snapshot.counters.items()):
                yield Observation(count, {"event": event, "reason": reason})

    def observe_generation(self, _options: CallbackOptions) -> Iterator[Observation]:
        """Yield the generation in force."""
        snapshot = self.read_snapshot()
        if snapshot is not None:
            yield Observation(snapshot.generation)

    def observe_loop_lag(self, _options: CallbackOptions) -> Iterator[Observation]:
        """Yield how long the event loop took to answer."""
        snapshot = self.read_snapshot()
        if snapshot is not None:
            yield Observation(snapshot.loop_lag_s)

    def observe_memory(self, _options: CallbackOptions) -> Iterator[Observation]:
        """Yield the resident memory."""
        yield Observation(self.process.memory_info().rss)
