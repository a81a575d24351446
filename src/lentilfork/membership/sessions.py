"""The controller's side of the Join streams, with one session per stream.

A session's task sends its member the state changes that the member lacks and the
leader's acknowledgements. It writes one message at a time and builds the next from
the newest state only, so a slow member needs no queue. After a large message it
pauses, which limits the bandwidth of control traffic for each member.

A state change after a quiet time is published immediately. Changes that follow
closely are published together, after a delay that grows with the number of sessions.
So all members receive the same few generations, and each delta is made only once.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
from typing import Final

import grpc.aio

from lentilfork.counters import Counters
from lentilfork.membership.update_cache import UpdateCache
from lentilfork.schema import control_pb2
from lentilfork.state.model import ClusterState

__all__ = ["Session", "Sessions"]

MAXIMUM_SESSIONS: Final = 8_192
# A message above this size is followed by a pause of size / rate, up to the maximum.
PACING_THRESHOLD_BYTES: Final = 256
PACE_BYTES_PER_S: Final = 10_000
MAXIMUM_PAUSE_S: Final = 0.5
# Shortest interval between two published generations: this time per session, up to
# the maximum.
PUBLISH_INTERVAL_PER_SESSION_S: Final = 0.0005
MAXIMUM_PUBLISH_INTERVAL_S: Final = 0.5
BITS: Final = 8


class Session:
    """The state of one member's stream."""

    # Identifies the member in batches to the leader. Numbers are small, as they index
    # bits, and are reused after the stream has ended.
    number: int
    # The last full heartbeat.
    announced: control_pb2.Heartbeat
    # The newest generation that the member has or that has been sent to it.
    generation: int
    # The generation in the member's last heartbeat.
    reported_generation: int
    # Of the last heartbeat; 0 before the first.
    sequence: int
    # A heartbeat has arrived since the last batch to the leader.
    has_new_heartbeat: bool
    # The next batch announces the member: its last full heartbeat is new, or the
    # leader has not stored it.
    needs_announcement: bool
    # The member has requested a snapshot.
    want_snapshot: bool
    # The leader's last acknowledgement if it has not been sent to the member yet.
    acknowledgement: control_pb2.Update | None
    # Set when there may be an update to write.
    wake: asyncio.Event

    def __init__(self, number: int) -> None:
        self.number = number
        self.announced = control_pb2.Heartbeat()
        self.generation = 0
        self.reported_generation = 0
        self.sequence = 0
        self.has_new_heartbeat = False
        self.needs_announcement = False
        self.want_snapshot = False
        self.acknowledgement = None
        self.wake = asyncio.Event()

    def handle_heartbeat(self, heartbeat: control_pb2.Heartbeat) -> bool:
        """Handle a heartbeat; return whether to relay it to the leader immediately."""
        first = self.sequence == 0
        self.sequence = heartbeat.sequence
        self.has_new_heartbeat = True
        self.reported_generation = heartbeat.generation
        if first:
            self.generation = heartbeat.generation
        self.want_snapshot |= heartbeat.want_snapshot
        if first or heartbeat.want_snapshot:
            self.wake.set()
        if heartbeat.WhichOneof("member") is None:
            return False
        self.announced = heartbeat
        self.needs_announcement = True
        return True

    def acknowledge(self, sequence: int, generation: int, admitted: bool) -> None:
        """Store the leader's acknowledgement to be sent to the member."""
        self.acknowledgement = control_pb2.Update(
            acknowledged=sequence, generation=generation, admitted=admitted
        )
        self.wake.set()

    def make_update(self, update_cache: UpdateCache) -> control_pb2.Update | None:
        """Return the next update for the member, None if there is nothing to send."""
        update = update_cache.make_update(self.generation, self.want_snapshot)
        if update.WhichOneof("body"):
            self.generation = max(self.generation, update_cache.state.generation)
            self.want_snapshot = False
        elif self.acknowledgement is None:
            return None
        if self.acknowledgement is not None:
            update.MergeFrom(self.acknowledgement)
            self.acknowledgement = None
        return update


class Sessions:
    """The sessions of all members that have joined this controller."""

    update_cache: UpdateCache
    counters: Counters
    # By number.
    sessions: dict[int, Session]
    # Numbers of ended sessions, reused before new ones.
    free_numbers: list[int]
    # Set when a heartbeat has arrived that the leader should receive immediately.
    urgent: asyncio.Event
    closing: bool
    # Newest state, whether published or not.
    latest: ClusterState
    # When a generation was last published, in seconds of the event loop's clock.
    last_publish_s: float
    # Publishes the latest state; None while no state waits to be published.
    publish_timer: asyncio.TimerHandle | None

    def __init__(self, state: ClusterState, counters: Counters) -> None:
        self.update_cache = UpdateCache(state)
        self.counters = counters
        self.sessions = {}
        self.free_numbers = []
        self.urgent = asyncio.Event()
        self.closing = False
        self.latest = state
        self.last_publish_s = 0.0
        self.publish_timer = None

    def schedule_publish(self, state: ClusterState) -> None:
        """Publish a new state, now or after a delay together with later ones."""
        self.latest = state
        if self.publish_timer is not None:
            return
        loop = asyncio.get_running_loop()
        interval_s = min(
            len(self.sessions) * PUBLISH_INTERVAL_PER_SESSION_S,
            MAXIMUM_PUBLISH_INTERVAL_S,
        )
        wait_s = self.last_publish_s + interval_s - loop.time()
        if wait_s <= 0:
            self.publish()
        else:
            self.publish_timer = loop.call_later(wait_s, self.publish)

    def publish(self) -> None:
        """Publish the latest state to all sessions."""
        self.publish_timer = None
        self.last_publish_s = asyncio.get_running_loop().time()
        self.update_cache.add_state(self.latest)
        self.wake_all()

    def wake_all(self) -> None:
        """Make every session check for an update to write."""
        for session in self.sessions.values():
            session.wake.set()

    def close(self) -> None:
        """End all streams, so that the members move to other controllers."""
        self.closing = True
        self.wake_all()

    def add(self) -> Session | None:
        """Return a new session, None if there are too many or this server closes."""
        if self.closing or len(self.sessions) >= MAXIMUM_SESSIONS:
            return None
        number = self.free_numbers.pop() if self.free_numbers else len(self.sessions)
        self.sessions[number] = Session(number)
        return self.sessions[number]

    def remove(self, session: Session) -> None:
        """Remove a session whose stream has ended."""
        del self.sessions[session.number]
        self.free_numbers.append(session.number)

    async def serve(
        self,
        heartbeats: AsyncIterator[control_pb2.Heartbeat],
        context: "grpc.aio.ServicerContext[control_pb2.Heartbeat, control_pb2.Update]",
    ) -> None:
        """Serve one Join stream until the member or this controller ends it."""
        session = self.add()
        if session is None:
            self.counters.add("control.join_refused")
            await context.abort(grpc.StatusCode.UNAVAILABLE, "join another controller")
        assert session is not None
        reader = asyncio.create_task(self.read_heartbeats(session, heartbeats))
        try:
            await self.write_updates(session, context, reader)
        finally:
            self.remove(session)
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)

    async def read_heartbeats(
        self, session: Session, heartbeats: AsyncIterator[control_pb2.Heartbeat]
    ) -> None:
        """Handle a member's heartbeats until its stream ends."""
        try:
            async for heartbeat in heartbeats:
                self.counters.add("control.bytes_in", amount=heartbeat.ByteSize())
                if session.handle_heartbeat(heartbeat):
                    self.urgent.set()
        finally:
            session.wake.set()

    async def write_updates(
        self,
        session: Session,
        context: "grpc.aio.ServicerContext[control_pb2.Heartbeat, control_pb2.Update]",
        reader: "asyncio.Task[None]",
    ) -> None:
        """Write updates until the member's side of the stream ends."""
        while True:
            await session.wake.wait()
            session.wake.clear()
            if self.closing or reader.done():
                return
            # The member's generation is unknown until its first heartbeat.
            update = (
                session.make_update(self.update_cache) if session.sequence else None
            )
            if update is None:
                continue
            size = update.ByteSize()
            self.counters.add("control.bytes_out", amount=size)
            await context.write(update)
            if size > PACING_THRESHOLD_BYTES:
                await asyncio.sleep(min(size / PACE_BYTES_PER_S, MAXIMUM_PAUSE_S))

    def list_unannounced(self) -> Iterator[Session]:
        """Return the sessions whose members the next batch announces."""
        return (item for item in self.sessions.values() if item.needs_announcement)

    def encode_received(self) -> bytes:
        """Return a bit set of the numbers with a heartbeat since the last batch."""
        return pack_bits(
            item.number for item in self.sessions.values() if item.has_new_heartbeat
        )

    def encode_current(self, generation: int) -> bytes:
        """Return a bit set of the numbers whose last heartbeat has `generation`."""
        return pack_bits(
            item.number
            for item in self.sessions.values()
            if item.has_new_heartbeat and item.reported_generation == generation
        )


def pack_bits(numbers: Iterator[int]) -> bytes:
    """Return bytes in which bit n (n % 8 of byte n // 8) is set for each number."""
    bits = 0
    for number in numbers:
        bits |= 1 << number
    return bits.to_bytes((bits.bit_length() + BITS - 1) // BITS, "little")


def unpack_bits(data: bytes) -> Iterator[int]:
    """Return the numbers whose bits are set, in ascending order."""
    return (
        number
        for number in range(len(data) * BITS)
        if data[number // BITS] >> (number % BITS) & 1
    )
