"""The controller's side of the Join streams: one session for each member.

A session's task writes what its member lacks and what the leader acknowledged. It
writes one message at a time and makes the next from the newest state only, so a
slow member costs no memory. After a large message it pauses, so that a member
stays within its share for control traffic.

A change after a quiet time is spread at once; those that follow closely are
gathered, the longer the more members are joined. So all members step through the
same few generations, and each delta is made once for all of them.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Iterator
from typing import Final

import grpc.aio

from lentilfork.counters import Counters
from lentilfork.membership.spreading import Spreading
from lentilfork.schema import control_pb2
from lentilfork.state.model import ClusterState

__all__ = ["Session", "Sessions"]

MAXIMUM_SESSIONS: Final = 8_192
# Messages above this size are followed by a pause of size / rate, below the limit.
PACED_BYTES: Final = 256
PACE_BYTES_PER_S: Final = 10_000
MAXIMUM_PAUSE_S: Final = 0.5
# Between two generations that are spread, for each session, below the limit.
GATHER_PER_SESSION_S: Final = 0.0005
MAXIMUM_GATHER_S: Final = 0.5
BITS: Final = 8


class Session:
    """One member's stream."""

    # Identifies the session in batches to the leader; dense, used anew.
    number: int
    # The last full heartbeat.
    announced: control_pb2.Heartbeat
    # In force at the member, or on its way to it.
    generation: int
    # As the member says itself.
    reported_generation: int
    sequence: int
    # A heartbeat came since the last batch to the leader.
    heard: bool
    # A full heartbeat came since the last batch.
    changed: bool
    want_snapshot: bool
    # What the leader said last and the member has not been told.
    acknowledgement: control_pb2.Update | None
    # Set when there may be something to write.
    wake: asyncio.Event

    def __init__(self, number: int) -> None:
        self.number = number
        self.announced = control_pb2.Heartbeat()
        self.generation = 0
        self.reported_generation = 0
        self.sequence = 0
        self.heard = False
        self.changed = False
        self.want_snapshot = False
        self.acknowledgement = None
        self.wake = asyncio.Event()

    def hear(self, heartbeat: control_pb2.Heartbeat) -> bool:
        """Take a heartbeat; return True if it should reach the leader at once."""
        first = self.sequence == 0
        self.sequence = heartbeat.sequence
        self.heard = True
        self.reported_generation = heartbeat.generation
        if first:
            self.generation = heartbeat.generation
        self.want_snapshot |= heartbeat.want_snapshot
        if first or heartbeat.want_snapshot:
            self.wake.set()
        if heartbeat.WhichOneof("member") is None:
            return False
        self.announced = heartbeat
        self.changed = True
        return True

    def acknowledge(self, sequence: int, generation: int, admitted: bool) -> None:
        """Pass on what the leader said about this member."""
        self.acknowledgement = control_pb2.Update(
            acknowledged=sequence, generation=generation, admitted=admitted
        )
        self.wake.set()

    def make_update(self, spreading: Spreading) -> control_pb2.Update | None:
        """Return the next message to the member, None if there is nothing to say."""
        update = spreading.make_update(self.generation, self.want_snapshot)
        if update.WhichOneof("body"):
            self.generation = max(self.generation, spreading.state.generation)
            self.want_snapshot = False
        elif self.acknowledgement is None:
            return None
        if self.acknowledgement is not None:
            update.MergeFrom(self.acknowledgement)
            self.acknowledgement = None
        return update


class Sessions:
    """All members that are joined to this controller."""

    spreading: Spreading
    counters: Counters
    # By number.
    sessions: dict[int, Session]
    # Numbers given back, to be used first.
    free: list[int]
    # Set when a heartbeat came that the leader should get at once.
    urgent: asyncio.Event
    closing: bool
    # Newest state, spread or about to be.
    latest: ClusterState
    # When a generation was last spread, in seconds of the loop's clock.
    spread_s: float
    # Spreads what was gathered; None while nothing waits.
    gathering: asyncio.TimerHandle | None

    def __init__(self, state: ClusterState, counters: Counters) -> None:
        self.spreading = Spreading(state)
        self.counters = counters
        self.sessions = {}
        self.free = []
        self.urgent = asyncio.Event()
        self.closing = False
        self.latest = state
        self.spread_s = 0.0
        self.gathering = None

    def take(self, state: ClusterState) -> None:
        """Spread a new generation, now or with those that follow it closely."""
        self.latest = state
        if self.gathering is not None:
            return
        loop = asyncio.get_running_loop()
        gather_s = min(len(self.sessions) * GATHER_PER_SESSION_S, MAXIMUM_GATHER_S)
        wait_s = self.spread_s + gather_s - loop.time()
        if wait_s <= 0:
            self.spread()
        else:
            self.gathering = loop.call_later(wait_s, self.spread)

    def spread(self) -> None:
        """Spread the newest generation."""
        self.gathering = None
        self.spread_s = asyncio.get_running_loop().time()
        self.spreading.take(self.latest)
        self.wake_all()

    def wake_all(self) -> None:
        """Make every session look for something to write."""
        for session in self.sessions.values():
            session.wake.set()

    def close(self) -> None:
        """End all streams, so that the members move to other controllers."""
        self.closing = True
        self.wake_all()

    def add(self) -> Session | None:
        """Return a new session; None when there are too many."""
        if self.closing or len(self.sessions) >= MAXIMUM_SESSIONS:
            return None
        number = self.free.pop() if self.free else len(self.sessions)
        self.sessions[number] = Session(number)
        return self.sessions[number]

    def remove(self, session: Session) -> None:
        """Forget a session whose stream has ended."""
        del self.sessions[session.number]
        self.free.append(session.number)

    async def serve(
        self,
        heartbeats: AsyncIterator[control_pb2.Heartbeat],
        context: "grpc.aio.ServicerContext[control_pb2.Heartbeat, control_pb2.Update]",
    ) -> None:
        """Serve one Join stream until either side ends it."""
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
        """Take a member's heartbeats until its stream ends."""
        try:
            async for heartbeat in heartbeats:
                self.counters.add("control.bytes_in", amount=heartbeat.ByteSize())
                if session.hear(heartbeat):
                    self.urgent.set()
        finally:
            session.wake.set()

    async def write_updates(
        self,
        session: Session,
        context: "grpc.aio.ServicerContext[control_pb2.Heartbeat, control_pb2.Update]",
        reader: "asyncio.Task[None]",
    ) -> None:
        """Write updates while the member's side of the stream is open."""
        while True:
            await session.wake.wait()
            session.wake.clear()
            if self.closing or reader.done():
                return
            # Until the first heartbeat it is unknown what the member has.
            update = session.make_update(self.spreading) if session.sequence else None
            if update is None:
                continue
            size = update.ByteSize()
            self.counters.add("control.bytes_out", amount=size)
            await context.write(update)
            if size > PACED_BYTES:
                await asyncio.sleep(min(size / PACE_BYTES_PER_S, MAXIMUM_PAUSE_S))

    def list_changed(self) -> Iterator[Session]:
        """Return sessions with a full heartbeat the leader has not got."""
        return (item for item in self.sessions.values() if item.changed)

    def mark_heard(self) -> bytes:
        """Return a bit for each number that was heard since the last batch."""
        return pack_bits(item.number for item in self.sessions.values() if item.heard)

    def mark_current(self, generation: int) -> bytes:
        """Return a bit for each number at which `generation` is in force."""
        return pack_bits(
            item.number
            for item in self.sessions.values()
            if item.heard and item.reported_generation == generation
        )


def pack_bits(numbers: Iterator[int]) -> bytes:
    """Return bytes in which bit n (n % 8 of byte n // 8) is set for each number."""
    bits = 0
    for number in numbers:
        bits |= 1 << number
    return bits.to_bytes((bits.bit_length() + BITS - 1) // BITS, "little")


def unpack_bits(data: bytes) -> Iterator[int]:
    """Yield the numbers whose bits are set."""
    return (
        number
        for number in range(len(data) * BITS)
        if data[number // BITS] >> (number % BITS) & 1
    )
