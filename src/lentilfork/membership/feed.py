"""The member's side: heartbeats to the controllers, the agreed state from them.

One task keeps one stream to one controller and moves to another when it fails or
does not reach the leader. Where acknowledgements come late, a second stream to
another controller is kept as a standby, so that a lossy path does not cost the
lease. The generation of this process never goes down, whoever
offers a lower one. A process that starts takes its first generation only when the
leader has confirmed it, so that a controller that was cut off cannot bring it
behind what it had before; if no controller reaches a leader for
`UNCONFIRMED_MS`, the highest generation offered is taken.
"""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Final

import grpc.aio
from result import Err

from lentilfork.channels import Channels
from lentilfork.clocks import read_clock_ms
from lentilfork.counters import Counters
from lentilfork.logs import Logger
from lentilfork.membership.lease import LEASE_MS
from lentilfork.membership.lease import OwnLease
from lentilfork.membership.streams import draw_backoff_s
from lentilfork.membership.streams import read_updates
from lentilfork.schema import control_pb2
from lentilfork.schema import control_pb2_grpc
from lentilfork.state.deltas import apply_delta
from lentilfork.state.digests import compute_digest
from lentilfork.state.model import ClusterState
from lentilfork.state.snapshots import decode_snapshot

__all__ = ["HEARTBEAT_MS", "Feed"]

HEARTBEAT_MS: Final = 250
# Between heartbeats in systems with more members than this, to spare controllers.
LARGE_HEARTBEAT_MS: Final = 500
LARGE_MEMBERS: Final = 256
# A controller that has brought no acknowledgement for this long is left.
PATIENCE_MS: Final = 1_000
MAXIMUM_PATIENCE_MS: Final = 8_000
# Added to two intervals of heartbeats: an acknowledgement that takes longer is late.
LATE_MS: Final = 100
# The standby is kept for this long after acknowledgements were last late.
STANDBY_MS: Final = 30_000
# Pause before the standby is joined; doubles while its streams end early.
STANDBY_PAUSE_S: Final = 0.1
MAXIMUM_STANDBY_PAUSE_S: Final = 6.4
UNCONFIRMED_MS: Final = 5_000
LEAVE_TIMEOUT_S: Final = 2.0
KEPT_GENERATIONS: Final = 1_024
MS_PER_S: Final = 1_000

Listener = Callable[[ClusterState, ClusterState], None]
log = Logger("feed")


class Feed:
    """Keep this process a member and its state up to date."""

    # Controllers the settings name; those in the agreed state are tried as well.
    controllers: tuple[str, ...]
    channels: Channels
    counters: Counters
    make_heartbeat: Callable[[], control_pb2.Heartbeat]
    generator: random.Random
    # In force at this process.
    state: ClusterState
    # Newest state received; ahead of `state` only until the first is confirmed.
    received: ClusterState
    lease: OwnLease
    # In force at the leader when it last acknowledged a heartbeat of this process.
    acknowledged_generation: int
    # Generations that were in force here, oldest first.
    history: deque[int]
    # The controllers this process is joined to, the standby last.
    joined: list[str]
    # The controller the first stream goes to.
    target: str
    # When acknowledgements were last late.
    late_ms: int
    listeners: list[Listener]
    ready: asyncio.Event
    # Set to send a heartbeat at once.
    due: asyncio.Event
    # Set when the leader has acknowledged that this member has ended.
    released: asyncio.Event
    # Send times of heartbeats that are not acknowledged, by sequence.
    sent_ms: dict[int, int]
    sequence: int
    ended: bool
    want_snapshot: bool
    # Streams in a row that brought no acknowledgement.
    failures: int
    # Controllers to try, the next one last.
    candidates: list[str]

    def __init__(
        self,
        controllers: tuple[str, ...],
        channels: Channels,
        counters: Counters,
        make_heartbeat: Callable[[], control_pb2.Heartbeat],
        generator: random.Random | None = None,
    ) -> None:
        self.controllers = controllers
        self.channels = channels
        self.counters = counters
        self.make_heartbeat = make_heartbeat
        self.generator = generator or random.Random()
        self.state = ClusterState()
        self.received = self.state
        self.lease = OwnLease(read_clock_ms())
        self.acknowledged_generation = 0
        self.history = deque([0], maxlen=KEPT_GENERATIONS)
        self.joined = []
        self.target = ""
        self.late_ms = read_clock_ms() - STANDBY_MS
        self.listeners = []
        self.ready = asyncio.Event()
        self.due = asyncio.Event()
        self.released = asyncio.Event()
        self.sent_ms = {}
        self.sequence = 0
        self.ended = False
        self.want_snapshot = False
        self.failures = 0
        self.candidates = []

    @property
    def lease_holds(self) -> bool:
        """False from a stop longer than the lease until admitted again.

        A member takes no new work while this is False.
        """
        return self.lease.holds(read_clock_ms(), self.state.generation)

    @property
    def controller(self) -> str:
        """The controller this process is joined to, "" for none."""
        return self.joined[0] if self.joined else ""

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with the old and the new state at each generation."""
        self.listeners.append(listener)

    def announce(self) -> None:
        """Send a heartbeat at once: something in it has changed."""
        self.due.set()

    async def wait_ready(self) -> None:
        """Return once the first generation is in force here."""
        await self.ready.wait()

    async def leave(self) -> None:
        """Tell the leader that this member has ended; gives up after 2 s."""
        self.ended = True
        self.announce()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self.released.wait()

    async def run(self) -> None:
        """Keep joined to a controller; runs until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch_clock())
            group.create_task(self.keep_joined())
            group.create_task(self.keep_standby())

    async def watch_clock(self) -> None:
        """Notice stops of this process, and a first state nobody confirms."""
        started_ms = read_clock_ms()
        while True:
            now_ms = read_clock_ms()
            if self.lease.tick(now_ms, self.sequence + 1):
                self.counters.add("feed.lease_voided")
                log.warning(
                    "lease is void after a stop", generation=self.received.generation
                )
                self.announce()
            if not self.ready.is_set() and now_ms - started_ms > UNCONFIRMED_MS:
                self.take_into_force(self.received)
            await asyncio.sleep(HEARTBEAT_MS / MS_PER_S)

    async def keep_joined(self) -> None:
        """Join one controller after another."""
        while True:
            address = self.target = self.choose_controller()
            acknowledged_ms = self.lease.acknowledged_ms
            reason = await self.join(address, lambda: True)
            if self.lease.acknowledged_ms > acknowledged_ms:
                self.failures = 0
            self.failures += 1
            self.counters.add("feed.stream_ended", reason)
            leased = read_clock_ms() - self.lease.acknowledged_ms < LEASE_MS
            pause_s = draw_backoff_s(self.failures, leased, self.generator)
            await asyncio.sleep(pause_s)

    async def keep_standby(self) -> None:
        """Join a second controller while acknowledgements come late."""
        pause_s = STANDBY_PAUSE_S
        while True:
            await asyncio.sleep(pause_s)
            others = sorted(self.list_controllers() - {self.target})
            if not self.is_late() or not others:
                continue
            self.counters.add("feed.standby_joined")
            joined_ms = read_clock_ms()
            await self.join(self.generator.choice(others), self.is_late)
            if read_clock_ms() - joined_ms > MAXIMUM_PATIENCE_MS:
                pause_s = STANDBY_PAUSE_S
            else:
                pause_s = min(2 * pause_s, MAXIMUM_STANDBY_PAUSE_S)

    def is_late(self) -> bool:
        """Tell whether acknowledgements came late lately."""
        now_ms = read_clock_ms()
        limit_ms = 2 * MS_PER_S * self.choose_interval_s() + LATE_MS
        if now_ms - self.lease.acknowledged_ms > limit_ms:
            self.late_ms = now_ms
        return now_ms - self.late_ms < STANDBY_MS

    def list_controllers(self) -> set[str]:
        """Return the addresses of all controllers this process knows."""
        agreed = (
            controller.control_address
            for controller in self.received.controllers.values()
        )
        return {*self.controllers, *agreed}

    def choose_controller(self) -> str:
        """Return the next controller; each is tried once a round, in random order."""
        if not self.candidates:
            known = sorted(self.list_controllers())
            self.candidates = self.generator.sample(known, len(known))
        return self.candidates.pop()

    async def join(self, address: str, wanted: Callable[[], bool]) -> str:
        """Keep one stream until it fails or is not wanted; return why it ended."""
        stub = control_pb2_grpc.ControlStub(self.channels.get(address))
        call = stub.Join(self.make_heartbeats())
        patience_ms = min(PATIENCE_MS * 2 ** min(self.failures, 8), MAXIMUM_PATIENCE_MS)
        opened_ms = read_clock_ms()
        try:
            async for update in read_updates(call, patience_ms / MS_PER_S):
                self.join_succeeded(address)
                self.take_update(update)
                heard_ms = max(self.lease.acknowledged_ms, opened_ms)
                if read_clock_ms() - heard_ms > patience_ms:
                    return "no acknowledgement"
                if not wanted():
                    return "not wanted"
        except TimeoutError:
            return "silence"
        except grpc.aio.AioRpcError as error:
            return error.code().name.lower()
        finally:
            if address in self.joined:
                self.joined.remove(address)
            call.cancel()
        return "closed"

    def join_succeeded(self, address: str) -> None:
        """Note the controller that answers."""
        if address not in self.joined:
            self.joined.append(address)
            log.info("joined controller", controller=address)

    async def make_heartbeats(self) -> AsyncIterator[control_pb2.Heartbeat]:
        """Yield one stream's heartbeats: full ones until admitted and on changes."""
        last_full = b""
        while True:
            self.due.clear()
            heartbeat = self.make_heartbeat()
            heartbeat.ended = self.ended
            full = heartbeat.SerializeToString(deterministic=True)
            if full == last_full and self.lease.admitted:
                heartbeat = control_pb2.Heartbeat()
            last_full = full
            self.number_heartbeat(heartbeat)
            self.counters.add("control.bytes_out", amount=heartbeat.ByteSize())
            yield heartbeat
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.choose_interval_s()):
                    await self.due.wait()

    def choose_interval_s(self) -> float:
        """Return the time to the next heartbeat."""
        members = len(self.received.agents) + len(self.received.balancers)
        large = members > LARGE_MEMBERS
        return (LARGE_HEARTBEAT_MS if large else HEARTBEAT_MS) / MS_PER_S

    def number_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Fill in what differs from one heartbeat to the next."""
        self.sequence += 1
        heartbeat.sequence = self.sequence
        heartbeat.generation = self.received.generation
        heartbeat.want_snapshot = self.want_snapshot
        self.sent_ms[self.sequence] = read_clock_ms()
        # One stream's worth of unacknowledged heartbeats is enough.
        while len(self.sent_ms) > KEPT_GENERATIONS:
            self.sent_ms.pop(next(iter(self.sent_ms)))

    def take_update(self, update: control_pb2.Update) -> None:
        """Apply what an update carries and note what it acknowledges."""
        self.counters.add("control.bytes_in", amount=update.ByteSize())
        match update.WhichOneof("body"):
            case "snapshot":
                self.take_snapshot(update)
            case "delta":
                self.take_delta(update)
            case _:
                pass
        self.take_acknowledgement(update)
        if self.ready.is_set():
            self.take_into_force(self.received)

    def take_snapshot(self, update: control_pb2.Update) -> None:
        """Take a whole state unless it is damaged or older than the present one."""
        state = decode_snapshot(update.snapshot)
        if compute_digest(state) != update.digest:
            self.counters.add("feed.refused", "snapshot digest")
            self.ask_snapshot()
            return
        self.want_snapshot = False
        self.receive(state)

    def take_delta(self, update: control_pb2.Update) -> None:
        """Apply a delta; a gap or a wrong digest asks for a snapshot."""
        if update.delta.generation <= self.received.generation:
            self.counters.add("feed.refused", "lower generation")
            return
        applied = apply_delta(self.received, update.delta)
        if isinstance(applied, Err):
            self.counters.add("feed.refused", "delta")
            self.ask_snapshot()
            return
        self.receive(applied.ok_value)

    def receive(self, state: ClusterState) -> None:
        """Keep a state if it is newer than the newest received."""
        if state.generation > self.received.generation:
            self.received = state
        elif state.generation < self.received.generation:
            self.counters.add("feed.refused", "lower generation")

    def ask_snapshot(self) -> None:
        """Ask the controller for the whole state with the next heartbeat."""
        self.want_snapshot = True
        self.announce()

    def take_acknowledgement(self, update: control_pb2.Update) -> None:
        """Extend the lease; the leader's word confirms the first state."""
        if not update.acknowledged:
            return
        sent_ms = self.sent_ms.get(update.acknowledged)
        if sent_ms is None:
            return
        self.acknowledged_generation = update.generation
        self.lease.acknowledge(
            update.acknowledged, sent_ms, update.admitted, update.generation
        )
        for sequence in [key for key in self.sent_ms if key < update.acknowledged]:
            del self.sent_ms[sequence]
        if self.ended and not update.admitted:
            self.released.set()
        if self.received.generation >= update.generation and not self.ready.is_set():
            self.take_into_force(self.received)

    def take_into_force(self, state: ClusterState) -> None:
        """Put a newer state in force and tell the listeners."""
        old = self.state
        if state.generation > old.generation:
            self.state = state
            self.history.append(state.generation)
            for listener in self.listeners:
                self.call_listener(listener, old, state)
        if state.generation > 0:
            self.ready.set()

    def call_listener(
        self, listener: Listener, old: ClusterState, new: ClusterState
    ) -> None:
        """Call a listener; its failure must not end the feed."""
        try:
            listener(old, new)
        except Exception:
            self.counters.add("feed.listener_failed")
            log.exception("a listener failed", generation=new.generation)

    def dump(self) -> dict[str, object]:
        """Return the member's state as JSON values."""
        return {
            "generation": self.state.generation,
            "received_generation": self.received.generation,
            "generations": list(self.history),
            "joined": self.joined,
            "controllers": sorted(self.list_controllers()),
            "lease_holds": self.lease_holds,
            "leases_voided": self.lease.voided,
            "unacknowledged_ms": read_clock_ms() - self.lease.acknowledged_ms,
            "sequence": self.sequence,
        }
