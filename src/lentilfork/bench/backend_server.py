"""Simulated backend server with random service times and a journal of its runs.

Implements `BackendServer` of schema/backend.proto and grpc.health.v1 with deadlines
and cancellation. A request gets a slot, waits in a short queue, or is refused with
RESOURCE_EXHAUSTED, which means that it did not run. Every request that got a slot
is recorded in the journal, whether it finishes or is cancelled.

Its behaviour can be changed at run time: see `Behaviour`. Runs in-process
(`BackendServer`) or as a process: `python -m lentilfork.bench.backend_server FILE`.
"""

import asyncio
import contextlib
import random
import sys
import time
from collections import deque
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterable
from pathlib import Path
from typing import Final
from typing import Literal

import grpc.aio
from grpc_health.v1 import health
from grpc_health.v1 import health_pb2
from grpc_health.v1 import health_pb2_grpc
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from lentilfork.bench.content import LONG_CONTENT_BYTES
from lentilfork.bench.content import ShortAnswer
from lentilfork.bench.content import make_content
from lentilfork.bench.content import make_etag
from lentilfork.bench.control import ControlChange
from lentilfork.bench.control import serve_control
from lentilfork.bench.journals import Journal
from lentilfork.counters import Counters
from lentilfork.schema import backend_pb2
from lentilfork.schema import backend_pb2_grpc
from lentilfork.settings import SocketAddress

__all__ = ["BackendServer", "BackendServerConfig", "Behaviour"]

CODE_CHANGED: Final = 68
CODE_CONTENT: Final = 69
WORK_PREFIX: Final = "work="
PART_BYTES: Final = 4_096
STOP_GRACE_S: Final = 30.0
HEALTH_SERVICES: Final = ("", "lentilfork.BackendServer")
# Loads kept so that `load_lag_s` can report past ones; the oldest are dropped first.
MAXIMUM_LOADS: Final = 100_000

CallContext = grpc.aio.ServicerContext[
    backend_pb2.BackendRequest, backend_pb2.BackendReply
]
FetchContext = grpc.aio.ServicerContext[
    backend_pb2.BackendRequest, backend_pb2.BackendPart
]
LoadContext = grpc.aio.ServicerContext[backend_pb2.LoadRequest, backend_pb2.LoadReport]
AnyContext = CallContext | FetchContext


class Behaviour(BaseModel):
    """Settings that a control line may change while the server runs."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    # Health checks report NOT_SERVING; requests that still arrive are run.
    draining: bool = False
    # Every request fails with INTERNAL immediately, before it gets a slot.
    fail_fast: bool = False
    # Age of the load that load reports contain.
    load_lag_s: float = Field(default=0.0, ge=0)
    # Load reports always say that nothing is running or queued.
    load_idle: bool = False
    # Service times are divided by this.
    speed: float = Field(default=1.0, gt=0)
    # Version of the content served; part of answers and of entity tags.
    content_version: int = Field(default=1, ge=1)
    # Running requests do not finish while this is set.
    frozen: bool = False


class BackendServerConfig(BaseModel):
    """Configuration of one backend server process."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    address: SocketAddress
    journal: Path
    slots: int = Field(default=1, ge=1)
    # Requests that may wait when all slots are taken.
    queue: int = Field(default=2, ge=0)
    # Mean service time of a short request at speed 1.
    service_time_ms: float = Field(default=10.0, ge=0)
    # Mean service time of a long request at speed 1.
    long_service_time_ms: float = Field(default=100.0, ge=0)
    distribution: Literal["fixed", "exponential", "lognormal"] = "exponential"
    # Service times are multiplied by `cold_start_factor` for this long after start.
    cold_start_s: float = Field(default=0.0, ge=0)
    cold_start_factor: float = Field(default=4.0, ge=1)
    long_content_bytes: int = Field(default=LONG_CONTENT_BYTES, ge=1)
    seed: int = 1
    behaviour: Behaviour = Behaviour()


class Slots:
    """A limited number of slots and the bounded queue in front of them."""

    # Largest numbers of running and of waiting requests.
    slots: int
    queue: int
    running: int
    waiting: deque[asyncio.Future[None]]
    # Called after each change of the number of running or waiting requests.
    on_change: Callable[[], None]

    def __init__(self, slots: int, queue: int, on_change: Callable[[], None]) -> None:
        self.slots = slots
        self.queue = queue
        self.running = 0
        self.waiting = deque()
        self.on_change = on_change

    async def acquire(self) -> bool:
        """Wait for a slot; returns False immediately if the queue is full."""
        if self.running < self.slots and not self.waiting:
            self.running += 1
            self.on_change()
            return True
        if len(self.waiting) >= self.queue:
            return False
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(waiter)
        self.on_change()
        try:
            await waiter
        except asyncio.CancelledError:
            self.cancel_wait(waiter)
            raise
        return True

    def cancel_wait(self, waiter: asyncio.Future[None]) -> None:
        """Leave the queue, or release the slot if one was assigned already."""
        if waiter.done() and not waiter.cancelled():
            self.release()
        elif waiter in self.waiting:
            self.waiting.remove(waiter)
            self.on_change()

    def release(self) -> None:
        """Release a slot; the next request in the queue gets it, if there is one."""
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                self.on_change()
                return
        self.running -= 1
        self.on_change()


class BackendServer(backend_pb2_grpc.BackendServerServicer):
    """One simulated backend server."""

    config: BackendServerConfig
    behaviour: Behaviour
    counters: Counters
    slots: Slots
    journal: Journal
    # Set unless `Behaviour.frozen` is set.
    unfrozen: asyncio.Event
    # Monotonic time, running and queued requests at each change of load.
    loads: deque[tuple[float, int, int]]
    started: float

    def __init__(self, config: BackendServerConfig) -> None:
        self.config = config
        self.behaviour = config.behaviour
        self.counters = Counters()
        self.slots = Slots(config.slots, config.queue, self.record_load)
        self.journal = Journal(config.journal, config.name)
        self.rng = random.Random(f"{config.seed}/{config.name}")
        self.unfrozen = asyncio.Event()
        self.loads = deque(maxlen=MAXIMUM_LOADS)
        self.health = health.aio.HealthServicer()  # type: ignore[attr-defined]
        self.server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        self.behaviour_tasks: set[asyncio.Task[None]] = set()
        self.started = time.monotonic()

    async def start(self) -> None:
        """Bind and serve; raises RuntimeError if the address is in use."""
        backend_pb2_grpc.add_BackendServerServicer_to_server(self, self.server)
        health_pb2_grpc.add_HealthServicer_to_server(self.health, self.server)
        self.server.add_insecure_port(self.config.address)
        await self.apply_behaviour()
        await self.server.start()
        self.started = time.monotonic()

    async def stop(self, grace_s: float = STOP_GRACE_S) -> None:
        """Let running requests finish for up to `grace_s` seconds, then close."""
        await self.server.stop(grace_s)
        self.journal.close()

    def apply(self, change: ControlChange) -> None:
        """Change some fields of the behaviour; raises ValueError for invalid values."""
        merged = {**self.behaviour.model_dump(), **change}
        self.behaviour = Behaviour.model_validate(merged)
        task = asyncio.create_task(self.apply_behaviour())
        self.behaviour_tasks.add(task)
        task.add_done_callback(self.behaviour_tasks.discard)

    async def apply_behaviour(self) -> None:
        """Update the health status and pause or resume requests as configured."""
        if self.behaviour.frozen:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()
        status = health_pb2.HealthCheckResponse
        serving_status = (
            status.NOT_SERVING if self.behaviour.draining else status.SERVING
        )
        for name in HEALTH_SERVICES:
            await self.health.set(name, serving_status)

    async def Call(  # noqa: N802
        self, request: backend_pb2.BackendRequest, context: CallContext
    ) -> backend_pb2.BackendReply:
        """Run one short request."""
        async with self.hold_slot(request, context):
            work = read_work(request.query)
            await self.simulate_work(self.config.service_time_ms, work)
            return self.make_answer(request)

    async def Fetch(  # type: ignore[override]  # noqa: N802
        self, request: backend_pb2.BackendRequest, context: FetchContext
    ) -> None:
        """Run one long request; each part is sent as soon as it is produced."""
        async with self.hold_slot(request, context):
            version = self.behaviour.content_version
            size = self.config.long_content_bytes
            content = make_content(request.path, version, size)
            offsets = range(0, len(content), PART_BYTES)
            for offset in offsets:
                await self.simulate_work(
                    self.config.long_service_time_ms / len(offsets)
                )
                part = backend_pb2.BackendPart(
                    payload=content[offset : offset + PART_BYTES],
                    etag=make_etag(request.path, version) if offset == 0 else b"",
                    total_bytes=len(content) if offset == 0 else 0,
                )
                await context.write(part)

    async def Load(  # noqa: N802
        self, request: backend_pb2.LoadRequest, context: LoadContext
    ) -> backend_pb2.LoadReport:
        """Report the load, delayed or falsified as the behaviour says."""
        running, queued = self.get_load(time.monotonic() - self.behaviour.load_lag_s)
        return backend_pb2.LoadReport(
            running=running, queued=queued, slots=self.config.slots
        )

    def get_load(self, time_s: float) -> tuple[int, int]:
        """Return the numbers of running and queued requests at a monotonic time."""
        if self.behaviour.load_idle:
            return 0, 0
        earlier_loads = (load for load in reversed(self.loads) if load[0] <= time_s)
        _, running, queued = next(earlier_loads, (0.0, 0, 0))
        return running, queued

    def record_load(self) -> None:
        """Store the current load for later load reports."""
        load = (time.monotonic(), self.slots.running, len(self.slots.waiting))
        self.loads.append(load)

    @contextlib.asynccontextmanager
    async def hold_slot(
        self, request: backend_pb2.BackendRequest, context: AnyContext
    ) -> AsyncIterator[None]:
        """Hold a slot and journal the run; aborts the call if the queue is full."""
        if self.behaviour.fail_fast:
            self.counters.add("failed")
            await context.abort(grpc.StatusCode.INTERNAL, "failing")
        if not await self.slots.acquire():
            self.counters.add("shed")
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "not run: full")
        run = self.journal.begin(
            request.request_key, request.method, request.path, request.query
        )
        outcome = "cancelled"
        try:
            yield
            outcome = "done"
        finally:
            self.journal.end(run, outcome)
            self.counters.add("runs", outcome)
            self.slots.release()

    async def simulate_work(self, mean_ms: float, work: float | None = None) -> None:
        """Sleep for the service time of a request or of a part of it."""
        await asyncio.sleep(self.draw_service_time(mean_ms, work) / 1000)
        await self.unfrozen.wait()

    def draw_service_time(self, mean_ms: float, work: float | None) -> float:
        """Draw a service time in ms; `work` replaces the random factor."""
        age_s = time.monotonic() - self.started
        cold = age_s < self.config.cold_start_s
        factor = self.config.cold_start_factor if cold else 1.0
        multiple = self.draw_multiple() if work is None else work
        return mean_ms * factor * multiple / self.behaviour.speed

    def draw_multiple(self) -> float:
        """Draw a number from the configured distribution, scaled to mean 1."""
        if self.config.distribution == "exponential":
            return self.rng.expovariate(1.0)
        if self.config.distribution == "lognormal":
            return self.rng.lognormvariate(-0.125, 0.5)
        return 1.0

    def make_answer(
        self, request: backend_pb2.BackendRequest
    ) -> backend_pb2.BackendReply:
        """Return the answer to a short request that has run."""
        answer = ShortAnswer(
            method=request.method,
            path=request.path,
            query=tuple(request.query),
            server=self.config.name,
            version=self.behaviour.content_version,
        )
        code = CODE_CONTENT if request.method == "GET" else CODE_CHANGED
        return backend_pb2.BackendReply(code=code, payload=answer.encode())


def read_work(query: Iterable[str]) -> float | None:
    """Return the work given in a replayed request, as a multiple of the mean time."""
    found = (part for part in query if part.startswith(WORK_PREFIX))
    text = next(found, None)
    return None if text is None else float(text.removeprefix(WORK_PREFIX))


async def run(config: BackendServerConfig) -> None:
    """Serve until asked to stop, then let running requests finish."""
    server = BackendServer(config)
    await server.start()
    try:
        await serve_control(server.apply)
    finally:
        await server.stop()


def main() -> None:
    """Run a backend server configured by the file named in the first argument."""
    text = Path(sys.argv[1]).read_text(encoding="utf-8")
    config = BackendServerConfig.model_validate_json(text)
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(config))


if __name__ == "__main__":
    main()
