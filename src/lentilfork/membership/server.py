"""The membership part of a controller: member streams, relay and lease loop."""

import asyncio
import random
from typing import Final

import grpc.aio

from lentilfork.channels import Channels
from lentilfork.clocks import read_clock_ms
from lentilfork.counters import Counters
from lentilfork.membership.leadership import Leadership
from lentilfork.membership.leases import Lease
from lentilfork.membership.leases import LeaseTable
from lentilfork.membership.leases import MemberKey
from lentilfork.membership.reconciler import LeaseReconciler
from lentilfork.membership.reconciler import PlanShards
from lentilfork.membership.reconciler import Propose
from lentilfork.membership.relay import Relay
from lentilfork.membership.service import ControlService
from lentilfork.membership.sessions import Sessions
from lentilfork.membership.silence import SilenceLimit
from lentilfork.schema import control_pb2
from lentilfork.schema import control_pb2_grpc
from lentilfork.state.model import Agent
from lentilfork.state.model import ClusterState
from lentilfork.tasks import raise_if_cancelled

__all__ = ["MembershipServer"]

RELAY_TIMEOUT_S: Final = 0.5
ORIGIN_BITS: Final = 48


class MembershipServer:
    """Serves members, relays their heartbeats and, as leader, keeps their leases."""

    leadership: Leadership
    channels: Channels
    counters: Counters
    leases: LeaseTable
    sessions: Sessions
    relay: Relay
    reconciler: LeaseReconciler
    service: ControlService

    def __init__(
        self,
        name: str,
        leadership: Leadership,
        propose: Propose,
        plan_shards: PlanShards,
        limit: SilenceLimit,
        channels: Channels,
        counters: Counters,
    ) -> None:
        self.leadership = leadership
        self.channels = channels
        self.counters = counters
        self.leases = LeaseTable(limit)
        self.sessions = Sessions(leadership.get_state(), counters)
        self.relay = Relay(name, self.sessions, self.send_batch, counters)
        origin = f"{name}/{random.getrandbits(ORIGIN_BITS):x}"
        self.reconciler = LeaseReconciler(
            origin, self.leases, propose, plan_shards, counters
        )
        self.service = ControlService(
            self.sessions, self.reconciler, leadership, counters
        )

    async def run(self) -> None:
        """Relay heartbeats and reconcile leases until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.relay.run())
            group.create_task(self.reconciler.run(self.leadership))

    def publish_state(self, _old: ClusterState, new: ClusterState) -> None:
        """Publish a new generation to the members that have joined this controller."""
        self.sessions.schedule_publish(new)

    async def send_batch(
        self, batch: control_pb2.HeartbeatBatch
    ) -> control_pb2.RelayReply | None:
        """Send a batch to the leader; return None if the leader did not handle it."""
        if self.leadership.is_leader():
            return self.reconciler.handle_batch(batch, self.leadership.get_state())
        address = self.leadership.find_leader()
        if not address:
            return None
        self.counters.add("control.bytes_out", amount=batch.ByteSize())
        stub = control_pb2_grpc.ControlStub(self.channels.get(address))
        try:
            reply = await stub.RelayHeartbeats(batch, timeout=RELAY_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            raise_if_cancelled()
            return None
        # False means that the receiver is no longer the leader. The next batch goes
        # to the new one once it is known.
        return reply if reply.taken else None

    def dump(self) -> dict[str, object]:
        """Return members and leases as JSON values."""
        now_ms = read_clock_ms()
        return {
            "generation": self.sessions.update_cache.state.generation,
            "joined": len(self.sessions.sessions),
            "under_way": sorted(self.reconciler.pending),
            "members": [
                describe_lease(key, lease, self.leases, now_ms)
                for key, lease in sorted(self.leases.leases.items())
            ]
            if self.reconciler.leading
            else [],
        }


def describe_lease(
    key: MemberKey, lease: Lease, leases: LeaseTable, now_ms: int
) -> dict[str, object]:
    """Return the dump of one member's lease as JSON values."""
    return {
        "role": key.role,
        "name": key.name,
        "incarnation": lease.member.incarnation,
        "generation": lease.generation,
        "silent_ms": now_ms - lease.last_heartbeat_ms,
        "draining": isinstance(lease.member, Agent) and lease.member.draining,
        "held_back": key in leases.held_back,
    }
