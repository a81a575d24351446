"""Client of the controllers: sends heartbeats and receives the agreed state.

One task maintains a stream to one controller and moves to another controller when
the stream fails or that controller does not reach the leader. While acknowledgements
arrive late, a second stream to another controller serves as a standby, so that a
lossy path does not cost the lease.

The generation applied by this process never decreases; lower ones are refused. A
process that starts applies its first generation only when the leader has confirmed
it. Otherwise a controller that is cut off could supply a state older than the one
this process had before its restart. If no controller reaches a leader within
`CONFIRMATION_TIMEOUT_MS`, the highest generation received is applied without
confirmation.
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
from lentilfork.membership.lease import MemberLease
from lentilfork.membership.streams import draw_backoff_s
from lentilfork.membership.streams import read_updates
from lentilfork.schema import control_pb2
from lentilfork.schema import control_pb2_grpc
from lentilfork.state.deltas import apply_delta
from lentilfork.state.digests import compute_digest
from lentilfork.state.model import ClusterState
from lentilfork.state.snapshots import decode_snapshot
from lentilfork.tasks import raise_if_cancelled

__all__ = ["HEARTBEAT_MS", "MembershipClient"]

HEARTBEAT_MS: Final = 250
# Heartbeat interval with more than `LARGE_MEMBERS` members; limits the load on the
# controllers.
LARGE_HEARTBEAT_MS: Final = 500
LARGE_MEMBERS: Final = 256
# The member leaves a controller that delivers no acknowledgement for this long. The
# timeout doubles with each consecutive failed stream, up to the maximum.
STREAM_TIMEOUT_MS: Final = 1_000
MAXIMUM_STREAM_TIMEOUT_MS: Final = 8_000
# Acknowledgements are late if the newest acknowledged heartbeat was sent longer ago
# than two heartbeat intervals and this margin.
LATE_MARGIN_MS: Final = 100
# Additional delay of acknowledgements after which a second standby is opened: it must
# have joined before the lease ends.
LATE_STEP_MS: Final = 400
# The standby is kept for this long after acknowledgements were last late.
STANDBY_HOLD_MS: Final = 30_000
# Pause before a standby stream is opened; doubles while these streams end early, up to
# the first maximum if controllers respond, else up to the second. With packet loss both
# streams often stall, and a pause near the lease would leave the member without either.
STANDBY_PAUSE_S: Final = 0.1
MAXIMUM_RESPONSIVE_PAUSE_S: Final = 0.4
MAXIMUM_STANDBY_PAUSE_S: Final = 6.4
MAXIMUM_STANDBYS: Final = 2
CONFIRMATION_TIMEOUT_MS: Final = 5_000
LEAVE_TIMEOUT_S: Final = 2.0
MAXIMUM_HISTORY: Final = 1_024
MS_PER_S: Final = 1_000

Listener = Callable[[ClusterState, ClusterState], None]
log = Logger("feed")


class MembershipClient:
    """Maintain the membership of this process and its copy of the agreed state."""

    # Addresses from the settings; controllers in the agreed state are tried as well.
    controllers: tuple[str, ...]
    channels: Channels
    counters: Counters
    make_heartbeat: Callable[[], control_pb2.Heartbeat]
    rng: random.Random
    # The state applied by this process.
    state: ClusterState
    # The newest state received; ahead of `state` only until the first is confirmed.
    received: ClusterState
    lease: MemberLease
    # The leader's generation when it last acknowledged a heartbeat of this process.
    acknowledged_generation: int
    # Generations applied by this process, oldest first.
    history: deque[int]
    # Controllers that have responded on an open stream, in order of joining.
    joined: list[str]
    # Time at which each controller last began to respond on a stream, ms since boot.
    joined_ms: dict[str, int]
    # The controller of the primary stream.
    primary_address: str
    # When acknowledgements were last late.
    last_late_ms: list[int]
    # Controller of each standby stream that is open, by its number.
    standby_addresses: dict[int, str]
    listeners: list[Listener]
    # Set when the first generation has been applied.
    ready: asyncio.Event
    # Set to send a heartbeat immediately.
    heartbeat_due: asyncio.Event
    # Set when the leader has acknowledged the removal of this member.
    removal_acknowledged: asyncio.Event
    # Send times of unacknowledged heartbeats by sequence.
    sent_ms: dict[int, int]
    # Sequence of the last heartbeat sent.
    sequence: int
    # The work of this member has ended.
    ended: bool
    # The next heartbeat asks for a snapshot.
    want_snapshot: bool
    # Consecutive primary streams that ended; a stream that brought an
    # acknowledgement restarts the count at one.
    failed_streams: int
    # Controllers to try in this round, the next one last.
    candidates: list[str]

    def __init__(
        self,
        controllers: tuple[str, ...],
        channels: Channels,
        counters: Counters,
        make_heartbeat: Callable[[], control_pb2.Heartbeat],
        rng: random.Random | None = None,
    ) -> None:
        self.controllers = controllers
        self.channels = channels
        self.counters = counters
        self.make_heartbeat = make_heartbeat
        self.rng = rng or random.Random()
        self.state = ClusterState()
        self.received = self.state
        self.lease = MemberLease(read_clock_ms())
        self.acknowledged_generation = 0
        self.history = deque([0], maxlen=MAXIMUM_HISTORY)
        self.joined = []
        self.joined_ms = {}
        self.primary_address = ""
        self.last_late_ms = [read_clock_ms() - STANDBY_HOLD_MS] * MAXIMUM_STANDBYS
        self.standby_addresses = {}
        self.listeners = []
        self.ready = asyncio.Event()
        self.heartbeat_due = asyncio.Event()
        self.removal_acknowledged = asyncio.Event()
        self.sent_ms = {}
        self.sequence = 0
        self.ended = False
        self.want_snapshot = False
        self.failed_streams = 0
        self.candidates = []

    @property
    def has_valid_lease(self) -> bool:
        """Whether the lease is valid; a member accepts no new work without it.

        False until the member is admitted, and after it was stopped for longer
        than its lease until it is admitted again.
        """
        return self.lease.is_valid(read_clock_ms(), self.state.generation)

    @property
    def controller(self) -> str:
        """Address of the controller this process joined first, "" for none."""
        return self.joined[0] if self.joined else ""

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with the old and new state when a generation is applied."""
        self.listeners.append(listener)

    def request_heartbeat(self) -> None:
        """Send a heartbeat immediately, because its content has changed."""
        self.heartbeat_due.set()

    async def wait_ready(self) -> None:
        """Wait until this process has applied its first generation."""
        await self.ready.wait()

    async def leave(self) -> None:
        """Report to the leader that this member has ended; give up after 2 s."""
        self.ended = True
        self.request_heartbeat()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self.removal_acknowledged.wait()

    async def run(self) -> None:
        """Maintain the streams and the lease until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.monitor_lease())
            group.create_task(self.maintain_primary())
            for number in range(MAXIMUM_STANDBYS):
                group.create_task(self.maintain_standby(number))

    async def monitor_lease(self) -> None:
        """Detect stops of this process; apply a first state that stays unconfirmed."""
        started_ms = read_clock_ms()
        while True:
            now_ms = read_clock_ms()
            if self.lease.tick(now_ms, self.sequence + 1):
                self.counters.add("feed.lease_voided")
                log.warning(
                    "lease is void: this process was stopped for longer than the lease",
                    generation=self.received.generation,
                )
                self.request_heartbeat()
            if (
                not self.ready.is_set()
                and now_ms - started_ms > CONFIRMATION_TIMEOUT_MS
            ):
                self.apply_state(self.received)
            await asyncio.sleep(HEARTBEAT_MS / MS_PER_S)

    async def maintain_primary(self) -> None:
        """Maintain the primary stream, moving to another controller when it ends."""
        while True:
            address = self.primary_address = self.choose_controller()
            acknowledged_ms = self.lease.acknowledged_ms
            reason = await self.run_stream(address, lambda: True)
            if self.lease.acknowledged_ms > acknowledged_ms:
                self.failed_streams = 0
            self.failed_streams += 1
            self.counters.add("feed.stream_ended", reason)
            is_renewable = read_clock_ms() - self.lease.acknowledged_ms < LEASE_MS
            pause_s = draw_backoff_s(self.failed_streams, is_renewable, self.rng)
            await asyncio.sleep(pause_s)

    async def maintain_standby(self, number: int = 0) -> None:
        """Maintain a stream to another controller while acknowledgements are late.

        The standby with a higher number is opened if acknowledgements are late for
        longer, although the one before it is open.
        """
        pause_s = STANDBY_PAUSE_S
        while True:
            await asyncio.sleep(pause_s)
            in_use = {self.primary_address, *self.standby_addresses.values()}
            others = sorted(self.list_controllers() - in_use)
            if not self.has_late_acknowledgements(number) or not others:
                continue
            self.counters.add("feed.standby_joined")
            opened_ms = read_clock_ms()
            address = self.standby_addresses[number] = self.rng.choice(others)
            await self.run_stream(
                address, lambda: self.has_late_acknowledgements(number)
            )
            del self.standby_addresses[number]
            responded = self.joined_ms.get(address, 0) >= opened_ms
            if read_clock_ms() - opened_ms > MAXIMUM_STREAM_TIMEOUT_MS:
                pause_s = STANDBY_PAUSE_S
            elif responded:
                pause_s = min(2 * pause_s, MAXIMUM_RESPONSIVE_PAUSE_S)
            else:
                pause_s = min(2 * pause_s, MAXIMUM_STANDBY_PAUSE_S)

    def has_late_acknowledgements(self, number: int) -> bool:
        """Return whether standby `number` is needed.

        It is while acknowledgements are late, and for `STANDBY_HOLD_MS` after that.
        """
        now_ms = read_clock_ms()
        limit_ms = 2 * MS_PER_S * self.get_heartbeat_interval_s() + LATE_MARGIN_MS
        limit_ms += number * LATE_STEP_MS
        if now_ms - self.lease.acknowledged_ms > limit_ms:
            self.last_late_ms[number] = now_ms
        return now_ms - self.last_late_ms[number] < STANDBY_HOLD_MS

    def list_controllers(self) -> set[str]:
        """Return the addresses of all known controllers."""
        agreed = (
            controller.control_address
            for controller in self.received.controllers.values()
        )
        return {*self.controllers, *agreed}

    def choose_controller(self) -> str:
        """Return the next controller; each round tries all once, in random order."""
        if not self.candidates:
            known = sorted(self.list_controllers())
            self.candidates = self.rng.sample(known, len(known))
        return self.candidates.pop()

    async def run_stream(self, address: str, is_wanted: Callable[[], bool]) -> str:
        """Run one stream until it fails or is not wanted; return why it ended."""
        stub = control_pb2_grpc.ControlStub(self.channels.get(address))
        call = stub.Join(self.make_heartbeats())
        timeout_ms = min(
            STREAM_TIMEOUT_MS * 2 ** min(self.failed_streams, 8),
            MAXIMUM_STREAM_TIMEOUT_MS,
        )
        opened_ms = read_clock_ms()
        try:
            async for update in read_updates(call, timeout_ms / MS_PER_S):
                self.record_joined(address)
                self.handle_update(update)
                last_acknowledged_ms = max(self.lease.acknowledged_ms, opened_ms)
                if read_clock_ms() - last_acknowledged_ms > timeout_ms:
                    return "no acknowledgement"
                if not is_wanted():
                    return "not wanted"
        except TimeoutError:
            return "silence"
        except grpc.aio.AioRpcError as error:
            raise_if_cancelled()
            return error.code().name.lower()
        finally:
            if address in self.joined:
                self.joined.remove(address)
            call.cancel()
        return "closed"

    def record_joined(self, address: str) -> None:
        """Record that a controller has responded on its stream."""
        if address not in self.joined:
            self.joined.append(address)
            self.joined_ms[address] = read_clock_ms()
            log.info("joined controller", controller=address)

    async def make_heartbeats(self) -> AsyncIterator[control_pb2.Heartbeat]:
        """Yield the heartbeats of one stream.

        They are full ones until this process is admitted and when the content has
        changed.
        """
        last_full = b""
        while True:
            self.heartbeat_due.clear()
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
                async with asyncio.timeout(self.get_heartbeat_interval_s()):
                    await self.heartbeat_due.wait()

    def get_heartbeat_interval_s(self) -> float:
        """Return the heartbeat interval in seconds for the current system size."""
        members = len(self.received.agents) + len(self.received.balancers)
        large = members > LARGE_MEMBERS
        return (LARGE_HEARTBEAT_MS if large else HEARTBEAT_MS) / MS_PER_S

    def number_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> None:
        """Set the sequence and the other fields that every heartbeat carries."""
        self.sequence += 1
        heartbeat.sequence = self.sequence
        heartbeat.generation = self.received.generation
        heartbeat.want_snapshot = self.want_snapshot
        self.sent_ms[self.sequence] = read_clock_ms()
        # Bounds the memory while no acknowledgement arrives.
        while len(self.sent_ms) > MAXIMUM_HISTORY:
            self.sent_ms.pop(next(iter(self.sent_ms)))

    def handle_update(self, update: control_pb2.Update) -> None:
        """Handle the state change and the acknowledgement that an update carries."""
        self.counters.add("control.bytes_in", amount=update.ByteSize())
        match update.WhichOneof("body"):
            case "snapshot":
                self.handle_snapshot(update)
            case "delta":
                self.handle_delta(update)
            case _:
                pass
        self.handle_acknowledgement(update)
        if self.ready.is_set():
            self.apply_state(self.received)

    def handle_snapshot(self, update: control_pb2.Update) -> None:
        """Handle a snapshot; refuse it if its digest is wrong or its state is older."""
        state = decode_snapshot(update.snapshot)
        if compute_digest(state) != update.digest:
            self.counters.add("feed.refused", "snapshot digest")
            self.request_snapshot()
            return
        self.want_snapshot = False
        self.store_received(state)

    def handle_delta(self, update: control_pb2.Update) -> None:
        """Handle a delta; request a snapshot after a gap or a wrong digest."""
        if update.delta.generation <= self.received.generation:
            self.counters.add("feed.refused", "lower generation")
            return
        applied = apply_delta(self.received, update.delta)
        if isinstance(applied, Err):
            self.counters.add("feed.refused", "delta")
            self.request_snapshot()
            return
        self.store_received(applied.ok_value)

    def store_received(self, state: ClusterState) -> None:
        """Store a received state if it is newer than the newest one so far."""
        if state.generation > self.received.generation:
            self.received = state
        elif state.generation < self.received.generation:
            self.counters.add("feed.refused", "lower generation")

    def request_snapshot(self) -> None:
        """Request a snapshot from the controller with an immediate heartbeat."""
        self.want_snapshot = True
        self.request_heartbeat()

    def handle_acknowledgement(self, update: control_pb2.Update) -> None:
        """Renew the lease; apply the first state if the leader has confirmed it."""
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
            self.removal_acknowledged.set()
        if self.received.generation >= update.generation and not self.ready.is_set():
            self.apply_state(self.received)

    def apply_state(self, state: ClusterState) -> None:
        """Apply a state if it is newer, and notify the listeners."""
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
        """Call a listener; an exception in it must not end the streams."""
        try:
            listener(old, new)
        except Exception:
            self.counters.add("feed.listener_failed")
            log.exception("listener raised an exception", generation=new.generation)

    def dump(self) -> dict[str, object]:
        """Return the member's state as JSON values."""
        return {
            "generation": self.state.generation,
            "received_generation": self.received.generation,
            "generations": list(self.history),
            "joined": self.joined,
            "controllers": sorted(self.list_controllers()),
            "lease_holds": self.has_valid_lease,
            "leases_voided": self.lease.void_count,
            "unacknowledged_ms": read_clock_ms() - self.lease.acknowledged_ms,
            "sequence": self.sequence,
        }
