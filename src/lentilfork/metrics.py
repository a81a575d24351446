"""Metrics of one process, served over HTTP if its settings have a metrics address.

The values are the process's `Counters` and a few gauges. Each scrape reads them by a
call into the event loop, so the HTTP threads never access the state of the role, and
nothing is computed between scrapes. This module and its libraries are imported only by
processes that serve metrics.
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

# A scrape omits the values of the role if the event loop does not respond in this time.
SNAPSHOT_TIMEOUT_S: Final = 2.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Values of a role, read together in the event loop."""

    # Number of events by event name and reason.
    counters: dict[tuple[str, str], int]
    generation: int
    # Time from the request for a snapshot until the event loop ran it.
    loop_lag_s: float


class MetricsServer:
    """Serves the metrics of one role until it is closed."""

    settings: CommonSettings
    role: Role
    loop: asyncio.AbstractEventLoop
    process: psutil.Process
    # Registry without the default metrics of the client library.
    registry: CollectorRegistry
    provider: MeterProvider
    # Only set after a successful `start`.
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
        """Create the metric instruments; their callbacks run at each scrape."""
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
        """Start to serve scrapes in a separate thread."""
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
        """Stop serving; scrapes in progress may be aborted."""
        # `shutdown` waits for the serving thread, which must not block the event loop.
        await asyncio.to_thread(self.server.shutdown)
        self.server.server_close()
        self.provider.shutdown()

    def read_snapshot(self) -> Snapshot | None:
        """Return the current values; None if the event loop does not respond."""
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
        """Yield each counter, with its event name and reason as attributes."""
        snapshot = self.read_snapshot()
        if snapshot is not None:
            for (event, reason), count in sorted(snapshot.counters.items()):
                yield Observation(count, {"event": event, "reason": reason})

    def observe_generation(self, _options: CallbackOptions) -> Iterator[Observation]:
        """Yield the generation that is applied."""
        snapshot = self.read_snapshot()
        if snapshot is not None:
            yield Observation(snapshot.generation)

    def observe_loop_lag(self, _options: CallbackOptions) -> Iterator[Observation]:
        """Yield the time that the event loop took to respond."""
        snapshot = self.read_snapshot()
        if snapshot is not None:
            yield Observation(snapshot.loop_lag_s)

    def observe_memory(self, _options: CallbackOptions) -> Iterator[Observation]:
        """Yield the resident memory in bytes."""
        yield Observation(self.process.memory_info().rss)
