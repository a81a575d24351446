"""Relay of heartbeats from the controller that receives them to the leader.

Every `RELAY_INTERVAL_MS` each controller, the leader included, sends the heartbeats
that it received as one batch. A full heartbeat announces a member under a number;
after that one bit per member reports that a heartbeat arrived. The leader's reply
names the members that it has not admitted, and the controller forwards the
acknowledgement to its members.
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
from lentilfork.membership.leases import LeaseTable
from lentilfork.membership.leases import MemberKey
from lentilfork.membership.sessions import Session
from lentilfork.membership.sessions import Sessions
from lentilfork.membership.sessions import unpack_bits
from lentilfork.schema import control_pb2
from lentilfork.state.model import ClusterState

__all__ = ["RELAY_INTERVAL_MS", "Relay", "RelayReceiver"]

RELAY_INTERVAL_MS: Final = 100
# Shortest interval between batches; one is sent this early for new announcements.
MINIMUM_INTERVAL_MS: Final = 20
MAXIMUM_NUMBERINGS: Final = 64
MS_PER_S: Final = 1_000
NUMBERING_BITS: Final = 63

# Sends a batch to the leader; None if there is no leader or it did not respond.
SendBatch = Callable[
    [control_pb2.HeartbeatBatch], Awaitable[control_pb2.RelayReply | None]
]


class Relay:
    """Send the heartbeats that this controller's sessions received to the leader."""

    name: str
    sessions: Sessions
    send_batch: SendBatch
    counters: Counters
    # Random id of this controller's member numbers. A leader that does not know it
    # requests a batch that announces every member.
    numbering: int
    # The next batch announces every member, since the leader lacks the numbers.
    announce_all: bool

    def __init__(
        self, name: str, sessions: Sessions, send_batch: SendBatch, counters: Counters
    ) -> None:
        self.name = name
        self.sessions = sessions
        self.send_batch = send_batch
        self.counters = counters
        self.numbering = random.getrandbits(NUMBERING_BITS)
        self.announce_all = True

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self.relay_batch()
            await asyncio.sleep(MINIMUM_INTERVAL_MS / MS_PER_S)
            with contextlib.suppress(TimeoutError):
                pause_s = (RELAY_INTERVAL_MS - MINIMUM_INTERVAL_MS) / MS_PER_S
                async with asyncio.timeout(pause_s):
                    await self.sessions.urgent.wait()
            self.sessions.urgent.clear()

    async def relay_batch(self) -> None:
        """Send one batch and forward the leader's reply to the members."""
        batch = self.make_batch()
        received = [
            (item, item.sequence)
            for item in self.sessions.sessions.values()
            if item.has_new_heartbeat
        ]
        announced = list(self.sessions.list_unannounced())
        for session in self.sessions.sessions.values():
            session.has_new_heartbeat = session.needs_announcement = False
        reply = await self.send_batch(batch)
        if reply is None:
            self.counters.add("relay.failed")
            self.mark_for_announcement(announced)
        elif reply.unknown_numbering:
            self.announce_all = True
            self.mark_for_announcement(list(self.sessions.sessions.values()))
            self.sessions.urgent.set()
        else:
            self.announce_all = False
            self.acknowledge(received, reply)

    def make_batch(self) -> control_pb2.HeartbeatBatch:
        """Return a batch of the heartbeats received since the last batch."""
        generation = self.sessions.update_cache.state.generation
        return control_pb2.HeartbeatBatch(
            controller=self.name,
            numbering=self.numbering,
            announced=(
                control_pb2.NumberedHeartbeat(
                    number=item.number, heartbeat=item.announced
                )
                for item in self.sessions.list_unannounced()
            ),
            heard=self.sessions.encode_received(),
            generation=generation,
            current=self.sessions.encode_current(generation),
            whole=self.announce_all,
        )

    def mark_for_announcement(self, sessions: list[Session]) -> None:
        """Include announcements in the next batch that the leader has not stored."""
        for session in sessions:
            session.needs_announcement = True

    def acknowledge(
        self, received: list[tuple[Session, int]], reply: control_pb2.RelayReply
    ) -> None:
        """Forward the leader's reply to the members whose heartbeats it covers."""
        refused = set(reply.not_admitted)
        for session, sequence in received:
            admitted = session.number not in refused
            session.acknowledge(sequence, reply.generation, admitted)


@dataclass(slots=True)
class Numbering:
    """The members that one controller has announced, by number."""

    id: int
    # Key and incarnation of each member.
    members: dict[int, tuple[MemberKey, int]] = field(default_factory=dict)
    # The controller's generation in its last batch, and when that batch arrived.
    generation: int = 0
    last_batch_ms: int = 0


class RelayReceiver:
    """Handle batches of heartbeats as the leader."""

    leases: LeaseTable
    # By name of the controller that sends the batches.
    numberings: dict[str, Numbering]

    def __init__(self, leases: LeaseTable) -> None:
        self.leases = leases
        self.numberings = {}

    def clear_numberings(self) -> None:
        """Drop all numberings, so that every member is announced to this leader."""
        self.numberings.clear()

    def handle_batch(
        self, batch: control_pb2.HeartbeatBatch, state: ClusterState, now_ms: int
    ) -> control_pb2.RelayReply:
        """Renew the leases of the members whose heartbeats a batch reports."""
        numbering = self.numberings.get(batch.controller)
        received = list(unpack_bits(batch.heard))
        if numbering is None or numbering.id != batch.numbering:
            if not batch.whole:
                return control_pb2.RelayReply(taken=True, unknown_numbering=True)
            numbering = self.add_numbering(batch)
        numbering.generation = batch.generation
        numbering.last_batch_ms = now_ms
        self.handle_announcements(batch, numbering, now_ms)
        current = set(unpack_bits(batch.current))
        for number in received:
            if number in numbering.members:
                key, incarnation = numbering.members[number]
                generation = batch.generation if number in current else None
                self.leases.renew(key, incarnation, generation, now_ms)
        return control_pb2.RelayReply(
            taken=True,
            generation=state.generation,
            not_admitted=(
                number
                for number in received
                if not self.is_admitted(numbering, number, state)
            ),
        )

    def add_numbering(self, batch: control_pb2.HeartbeatBatch) -> Numbering:
        """Store a new numbering for the sender of a batch."""
        if len(self.numberings) >= MAXIMUM_NUMBERINGS:
            self.numberings.pop(next(iter(self.numberings)))
        self.numberings[batch.controller] = Numbering(batch.numbering)
        return self.numberings[batch.controller]

    def handle_announcements(
        self, batch: control_pb2.HeartbeatBatch, numbering: Numbering, now_ms: int
    ) -> None:
        """Handle the full heartbeats of a batch."""
        for item in batch.announced:
            member = self.leases.handle_announcement(item.heartbeat, now_ms)
            if member is None:
                numbering.members.pop(item.number, None)
            else:
                numbering.members[item.number] = member

    def is_admitted(
        self, numbering: Numbering, number: int, state: ClusterState
    ) -> bool:
        """Return whether the state contains the member with this number."""
        member = numbering.members.get(number)
        return member is not None and self.leases.is_admitted(state, *member)

    def find_controllers(self) -> dict[MemberKey, str]:
        """Return the controller that each member has joined, as far as known."""
        return {
            key: controller
            for controller, numbering in self.numberings.items()
            for key, _ in numbering.members.values()
        }
