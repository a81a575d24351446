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
STALL_THRESHOLD_MS: Final = 500
# A refused change is not proposed again for this long.
REFUSED_RETRY_MS: Final = 5_000
# Changes that may be pending at the same time. The log syncs changes that are
# proposed at the same time together.
MAXIMUM_PENDING: Final = 128

# Proposes a change and returns its result, or None if there was no response and the
# change has to be tried again.
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
    change_numbers: "itertools.count[int]"
    # Pending changes by subject.
    pending: dict[str, "asyncio.Task[None]"]
    # When the next change of a subject may be proposed after one was refused.
    retry_after_ms: dict[str, int]
    # When this controller last ticked as the leader.
    last_tick_ms: int
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
        self.change_numbers = itertools.count(1)
        self.pending = {}
        self.retry_after_ms = {}
        self.last_tick_ms = 0
        self.plan_failed = False

    async def run(self, leadership: Leadership) -> None:
        """Tick repeatedly until cancelled."""
        try:
            while True:
                self.tick(leadership.get_state(), leadership.is_leader())
                large = len(self.leases.leases) > LARGE_MEMBERS
                await asyncio.sleep(LARGE_TICK_S if large else TICK_S)
        finally:
            for task in self.pending.values():
                task.cancel()

    def tick(self, state: ClusterState, is_leader: bool) -> None:
        """Plan and start changes if this controller is the leader."""
        self.update_leadership(state, is_leader)
        if not is_leader:
            return
        now_ms = read_clock_ms()
        if now_ms - self.last_tick_ms > STALL_THRESHOLD_MS:
            # A silent member cannot be told from one whose heartbeats this process
            # did not read while it was stopped.
            self.leases.extend_all(now_ms - self.last_tick_ms)
        self.last_tick_ms = now_ms
        self.retry_after_ms = {
            subject: until_ms
            for subject, until_ms in self.retry_after_ms.items()
            if until_ms > now_ms
        }
        for change in self.leases.plan(state, now_ms):
            self.start_change(change, state)
        for shard in self.plan_claim_shards(state):
            self.start_change(state_pb2.Change(put_claim_shard=shard), state)

    def plan_claim_shards(self, state: ClusterState) -> list[state_pb2.ClaimShard]:
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

    def update_leadership(self, state: ClusterState, is_leader: bool) -> None:
        """Record whether this controller leads; grant leases when it becomes leader."""
        if is_leader and not self.leading:
            self.leases.grant_leases(state, read_clock_ms())
            self.receiver.clear_numberings()
            self.retry_after_ms.clear()
            self.last_tick_ms = read_clock_ms()
            self.counters.add("leases.begun")
        self.leading = is_leader

    def handle_batch(
        self, batch: control_pb2.HeartbeatBatch, state: ClusterState
    ) -> control_pb2.RelayReply:
        """Handle a batch of heartbeats as the leader."""
        self.update_leadership(state, True)
        return self.receiver.handle_batch(batch, state, read_clock_ms())

    def start_change(self, change: state_pb2.Change, state: ClusterState) -> None:
        """Start to propose a change unless its subject has a pending or refused one."""
        subject = get_subject(change)
        if subject in self.retry_after_ms or subject in self.pending:
            return
        if len(self.pending) >= MAXIMUM_PENDING:
            return
        change.change_id = f"{self.origin}/{next(self.change_numbers)}"
        change.time_ms = time.time_ns() // 1_000_000
        task = asyncio.create_task(self.propose_change(change, state))
        self.pending[subject] = task
        task.add_done_callback(lambda _task: self.pending.pop(subject, None))

    async def propose_change(
        self, change: state_pb2.Change, state: ClusterState
    ) -> None:
        """Propose a change and count its outcome."""
        kind = change.WhichOneof("kind") or ""
        result = await self.propose(change)
        if result is None:
            self.counters.add("leases.unanswered", kind)
            return
        if result.outcome != state_pb2.ACCEPTED:
            self.counters.add("leases.refused", kind)
            self.retry_after_ms[get_subject(change)] = (
                read_clock_ms() + REFUSED_RETRY_MS
            )
            return
        self.counters.add("leases.changed", kind)
        log.info(kind.replace("_", " "), subject=get_subject(change))
        agent = state.agents.get(change.remove_agent.agent)
        if kind == "remove_agent" and agent is not None:
            self.record_silence_removal(agent.name, state)

    def record_silence_removal(self, name: str, state: ClusterState) -> None:
        """Record a removal against the limit if the agent's lease had expired."""
        lease = self.leases.leases.get(MemberKey("agent", name))
        if lease is None or (not lease.ended and not state.agents[name].draining):
            self.leases.record_removal(state.agents[name], read_clock_ms())


def get_subject(change: state_pb2.Change) -> str:
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
