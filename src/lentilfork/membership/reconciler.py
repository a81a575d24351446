"""The leader's loop that proposes the changes planned from the leases.

The loop runs on every controller and acts only while that controller is the leader.
Each member or claim shard has at most one pending change. Changes that were not
accepted are not stored: a later tick plans them again from the leases.
"""

import asyncio
import itertools
import time
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import Final

from lentilfork.clocks import read_clock_ms
from lentilfork.counters import Counters
from lentilfork.logs import Logger
from lentilfork.membership.leadership import Leadership
from lentilfork.membership.leases import LeaseTable
from lentilfork.membership.leases import MemberKey
from lentilfork.membership.relay import RelayReceiver
from lentilfork.schema import control_pb2
from lentilfork.schema import state_pb2
from lentilfork.state.model import ClusterState

__all__ = ["LeaseReconciler"]

TICK_S: Final = 0.1
# Tick interval with more than `LARGE_MEMBERS` members.
LARGE_TICK_S: Final = 0.25
LARGE_MEMBERS: Final = 256
# A longer gap between two ticks means that this process did not run.
STALLED_MS: Final = 500
# A refused change is not proposed again for this long.
REFUSED_PAUSE_MS: Final = 5_000
# The log syncs changes that are proposed at the same time together.
MAXIMUM_UNDER_WAY: Final = 128

# Proposes a change and returns its result, None if there was no response.
Propose = Callable[
    [state_pb2.Change], Coroutine[Any, Any, state_pb2.ChangeResult | None]
]
# Plans the claim shards to write, from the state and the leases.
PlanShards = Callable[[ClusterState, LeaseTable], list[state_pb2.ClaimShard]]

log = Logger("membership")


class LeaseReconciler:
    """Propose changes until the members of the agreed state match their leases."""

    # Prefix of all change ids; unique among controllers and their starts.
    origin: str
    leases: LeaseTable
    receiver: RelayReceiver
    propose: Propose
    plan_shards: PlanShards
    counters: Counters
    leading: bool
    # Suffixes of change ids.
    numbers: "itertools.count[int]"
    # Pending changes by subject.
    under_way: dict[str, "asyncio.Task[None]"]
    # When the next change of a subject may be proposed after one was refused.
    refused_ms: dict[str, int]
    # When this controller last ticked as the leader.
    ticked_ms: int
    # The last attempt to plan claim shards raised an exception.
    plan_failed: bool

    def __init__(
        self,
        origin: str,
        leases: LeaseTable,
        propose: Propose,
        plan_shards: PlanShards,
        counters: Counters,
    ) -> None:
        self.origin = origin
        self.leases = leases
        self.receiver = RelayReceiver(leases)
        self.propose = propose
        self.plan_shards = plan_shards
        self.counters = counters
        self.leading = False
        self.numbers = itertools.count(1)
        self.under_way = {}
        self.refused_ms = {}
        self.ticked_ms = 0
        self.plan_failed = False

    async def run(self, leadership: Leadership) -> None:
        """Tick repeatedly until cancelled."""
        try:
            while True:
                self.tick(leadership.get_state(), leadership.leads())
                large = len(self.leases.leases) > LARGE_MEMBERS
                await asyncio.sleep(LARGE_TICK_S if large else TICK_S)
        finally:
            for task in self.under_way.values():
                task.cancel()

    def tick(self, state: ClusterState, leads: bool) -> None:
        """Plan and start changes if this controller leads."""
        self.follow(state, leads)
        if not leads:
            return
        now_ms = read_clock_ms()
        if now_ms - self.ticked_ms > STALLED_MS:
            # Members may have sent heartbeats that this process did not read.
            self.leases.extend(now_ms - self.ticked_ms)
        self.ticked_ms = now_ms
        self.refused_ms = {
            subject: until_ms
            for subject, until_ms in self.refused_ms.items()
            if until_ms > now_ms
        }
        for change in self.leases.plan(state, now_ms):
            self.begin_change(change, state)
        for shard in self.find_shards(state):
            self.begin_change(state_pb2.Change(put_claim_shard=shard), state)

    def find_shards(self, state: ClusterState) -> list[state_pb2.ClaimShard]:
        """Return the claim shards to write; an exception must not end the loop."""
        try:
            shards = self.plan_shards(state, self.leases)
        except Exception as error:
            self.counters.add("leases.plan_failed")
            if not self.plan_failed:
                log.error("planning the claim shards failed", error=repr(error))
            self.plan_failed = True
            return []
        self.plan_failed = False
        return shards

    def follow(self, state: ClusterState, leads: bool) -> None:
        """Record whether this controller leads; grant leases when it starts to."""
        if leads and not self.leading:
            self.leases.begin(state, read_clock_ms())
            self.receiver.begin()
            self.refused_ms.clear()
            self.ticked_ms = read_clock_ms()
            self.counters.add("leases.begun")
        self.leading = leads

    def take_batch(
        self, batch: control_pb2.HeartbeatBatch, state: ClusterState
    ) -> control_pb2.RelayReply:
        """Handle a batch of heartbeats as the leader."""
        self.follow(state, True)
        return self.receiver.take_batch(batch, state, read_clock_ms())

    def begin_change(self, change: state_pb2.Change, state: ClusterState) -> None:
        """Start to propose a change unless its subject has a pending or refused one."""
        subject = name_subject(change)
        if subject in self.refused_ms or subject in self.under_way:
            return
        if len(self.under_way) >= MAXIMUM_UNDER_WAY:
            return
        change.change_id = f"{self.origin}/{next(self.numbers)}"
        change.time_ms = time.time_ns() // 1_000_000
        task = asyncio.create_task(self.make_change(change, state))
        self.under_way[subject] = task
        task.add_done_callback(lambda _task: self.under_way.pop(subject, None))

    async def make_change(self, change: state_pb2.Change, state: ClusterState) -> None:
        """Propose a change and count its outcome."""
        kind = change.WhichOneof("kind") or ""
        result = await self.propose(change)
        if result is None:
            self.counters.add("leases.unanswered", kind)
            return
        if result.outcome != state_pb2.ACCEPTED:
            self.counters.add("leases.refused", kind)
            self.refused_ms[name_subject(change)] = read_clock_ms() + REFUSED_PAUSE_MS
            return
        self.counters.add("leases.changed", kind)
        log.info(kind.replace("_", " "), subject=name_subject(change))
        agent = state.agents.get(change.remove_agent.agent)
        if kind == "remove_agent" and agent is not None:
            self.count_removal(agent.name, state)

    def count_removal(self, name: str, state: ClusterState) -> None:
        """Record a removal against the limit if the agent's lease had expired."""
        lease = self.leases.leases.get(MemberKey("agent", name))
        if lease is None or (not lease.ended and not state.agents[name].draining):
            self.leases.note_removed(state.agents[name], read_clock_ms())


def name_subject(change: state_pb2.Change) -> str:
    """Return role and name of the member, or the claim shard, that a change affects."""
    match change.WhichOneof("kind"):
        case "put_agent":
            return f"agent/{change.put_agent.name}"
        case "remove_agent":
            return f"agent/{change.remove_agent.agent}"
        case "put_balancer":
            return f"balancer/{change.put_balancer.name}"
        case "remove_balancer":
            return f"balancer/{change.remove_balancer.agent}"
        case "put_claim_shard":
            shard = change.put_claim_shard
            return f"claim shard/{shard.service}/{shard.index}"
        case _:
            return ""
