"""The path of heartbeats from the controller that hears them to the leader.

Each controller, the leader among them, sums up every `RELAY_MS` what it heard into
one batch. Members are announced once under a number; after that one bit for each
member tells that it was heard. The leader's reply names those it has not admitted,
and the controller passes the acknowledgement on to its members.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from lentilfork.counters import Counters
from lentilfork.membership.leases import Leases
from lentilfork.membership.leases import MemberKey
from lentilfork.membership.sessions import Session
from lentilfork.membership.sessions import Sessions
from lentilfork.membership.sessions import unpack_bits
from lentilfork.schema import control_pb2
from lentilfork.state.model import ClusterState

__all__ = ["RELAY_MS", "Relay", "RelayReceiver"]

RELAY_MS: Final = 100
# Announcements are not sent more often than this.
URGENT_MS: Final = 20
MAXIMUM_NUMBERINGS: Final = 64
MS_PER_S: Final = 1_000
NUMBERING_BITS: Final = 63

# Takes a batch to the leader; None if there is no leader or it did not answer.
Send = Callable[[control_pb2.HeartbeatBatch], Awaitable[control_pb2.RelayReply | None]]


class Relay:
    """Send what the sessions of this controller heard to the leader."""

    name: str
    sessions: Sessions
    send: Send
    counters: Counters
    # Known to the leader that this controller's members were announced to.
    numbering: int
    # Every member is to be announced: the leader does not know the numbers.
    whole: bool

    def __init__(
        self, name: str, sessions: Sessions, send: Send, counters: Counters
    ) -> None:
        self.name = name
        self.sessions = sessions
        self.send = send
        self.counters = counters
        self.numbering = random.getrandbits(NUMBERING_BITS)
        self.whole = True

    async def run(self) -> None:
        """Relay until cancelled."""
        while True:
            await self.exchange()
            await asyncio.sleep(URGENT_MS / MS_PER_S)
            with contextlib.suppress(TimeoutError):
                pause_s = (RELAY_MS - URGENT_MS) / MS_PER_S
                async with asyncio.timeout(pause_s):
                    await self.sessions.urgent.wait()
            self.sessions.urgent.clear()

    async def exchange(self) -> None:
        """Send one batch and pass on what the leader says about it."""
        batch = self.make_batch()
        heard = [
            (item, item.sequence)
            for item in self.sessions.sessions.values()
            if item.heard
        ]
        announced = list(self.sessions.list_changed())
        for session in self.sessions.sessions.values():
            session.heard = session.changed = False
        reply = await self.send(batch)
        if reply is None:
            self.counters.add("relay.failed")
            self.announce_again(announced)
        elif reply.unknown_numbering:
            self.whole = True
            self.announce_again(list(self.sessions.sessions.values()))
            self.sessions.urgent.set()
        else:
            self.whole = False
            self.acknowledge(heard, reply)

    def make_batch(self) -> control_pb2.HeartbeatBatch:
        """Return what was heard since the last batch."""
        generation = self.sessions.spreading.state.generation
        return control_pb2.HeartbeatBatch(
            controller=self.name,
            numbering=self.numbering,
            announced=(
                control_pb2.NumberedHeartbeat(
                    number=item.number, heartbeat=item.announced
                )
                for item in self.sessions.list_changed()
            ),
            heard=self.sessions.mark_heard(),
            generation=generation,
            current=self.sessions.mark_current(generation),
            whole=self.whole,
        )

    def announce_again(self, sessions: list[Session]) -> None:
        """Put members into the next batch: the leader has not taken them."""
        for session in sessions:
            session.changed = True

    def acknowledge(
        self, heard: list[tuple[Session, int]], reply: control_pb2.RelayReply
    ) -> None:
        """Tell the members that were heard what the leader said."""
        refused = set(reply.not_admitted)
        for session, sequence in heard:
            admitted = session.number not in refused
            session.acknowledge(sequence, reply.generation, admitted)


@dataclass(slots=True)
class Numbering:
    """The members that one controller has announced, by their numbers."""

    id: int
    members: dict[int, tuple[MemberKey, int]] = field(default_factory=dict)
    # In force at that controller when its last batch came, and when that was.
    generation: int = 0
    heard_ms: int = 0


class RelayReceiver:
    """Take batches as the leader."""

    leases: Leases
    # By name of the controller that sends.
    numberings: dict[str, Numbering]

    def __init__(self, leases: Leases) -> None:
        self.leases = leases
        self.numberings = {}

    def begin(self) -> None:
        """Forget all numbers, so that every member is announced to this leader."""
        self.numberings.clear()

    def take_batch(
        self, batch: control_pb2.HeartbeatBatch, state: ClusterState, now_ms: int
    ) -> control_pb2.RelayReply:
        """Renew the leases of the members that were heard."""
        numbering = self.numberings.get(batch.controller)
        heard = list(unpack_bits(batch.heard))
        if numbering is None or numbering.id != batch.numbering:
            if not batch.whole:
                return control_pb2.RelayReply(taken=True, unknown_numbering=True)
            numbering = self.add_numbering(batch)
        numbering.generation = batch.generation
        numbering.heard_ms = now_ms
        self.take_announcements(batch, numbering, now_ms)
        current = set(unpack_bits(batch.current))
        for number in heard:
            if number in numbering.members:
                key, incarnation = numbering.members[number]
                generation = batch.generation if number in current else None
                self.leases.renew(key, incarnation, generation, now_ms)
        return control_pb2.RelayReply(
            taken=True,
            generation=state.generation,
            not_admitted=(
                number
                for number in heard
                if not self.is_admitted(numbering, number, state)
            ),
        )

    def add_numbering(self, batch: control_pb2.HeartbeatBatch) -> Numbering:
        """Begin a numbering for the sender of a batch."""
        if len(self.numberings) >= MAXIMUM_NUMBERINGS:
            self.numberings.pop(next(iter(self.numberings)))
        self.numberings[batch.controller] = Numbering(batch.numbering)
        return self.numberings[batch.controller]

    def take_announcements(
        self, batch: control_pb2.HeartbeatBatch, numbering: Numbering, now_ms: int
    ) -> None:
        """Take the full heartbeats of a batch."""
        for item in batch.announced:
            member = self.leases.announce(item.heartbeat, now_ms)
            if member is None:
                numbering.members.pop(item.number, None)
            else:
                numbering.members[item.number] = member

    def is_admitted(
        self, numbering: Numbering, number: int, state: ClusterState
    ) -> bool:
        """Tell whether the state holds the member under this number."""
        member = numbering.members.get(number)
        return member is not None and self.leases.is_admitted(state, *member)

    def find_controllers(self) -> dict[MemberKey, str]:
        """Return the controller each member is joined to, as far as known."""
        return {
            key: controller
            for controller, numbering in self.numberings.items()
            for key, _ in numbering.members.values()
        }
