"""Leases: which silent members are removed or kept, and which are admitted."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import pairwise

import pytest

from lentilfork.bench.faults import Faults
from lentilfork.bench.faults import PathConfig
from lentilfork.bench.tcp_proxy import TcpProxy
from lentilfork.clocks import read_clock_ms
from lentilfork.membership.lease import LEASE_MS
from lentilfork.membership.leases import LeaseTable
from lentilfork.membership.leases import MemberKey
from lentilfork.membership.relay import RelayReceiver
from lentilfork.membership.silence import Removal
from lentilfork.membership.silence import SilenceLimit
from lentilfork.schema import control_pb2
from lentilfork.schema import state_pb2
from lentilfork.state import ReplicatedState
from lentilfork.state import apply_change
from lentilfork.state.model import Agent
from tests.membership.cluster import Member
from tests.membership.cluster import run_cluster
from tests.membership.cluster import wait_for
from tests.membership.lossy import LossyProxy


@dataclass(frozen=True)
class SilenceCase:
    """The agents of a service and how many silent ones may be removed."""

    # One letter per agent names its data centre; upper case marks a silent agent.
    agents: str
    expected: int
    percent: int | None = None
    # Data centres of agents that have just been removed, one letter per agent.
    removed: str = ""


SILENCE_CASES = {
    "one of three": SilenceCase("Abc", 1),
    "whole data centre of a large service": SilenceCase("AAAbbcc", 3),
    "one of two silent data centres": SilenceCase("AAABBcc", 3),
    "none after a whole data centre was removed": SilenceCase("BBcc", 0, removed="aaa"),
    "none while all are silent": SilenceCase("AAABBCC", 0),
    "none while the only one is silent": SilenceCase("A", 0),
    "half of ten by setting": SilenceCase("AAAAAAaaaa", 5, percent=50),
    "none by a small setting": SilenceCase("Aab", 0, percent=10),
}


def make_agent(name: str, data_centre: str) -> Agent:
    return Agent(name, 1, "signs", data_centre, "", "", 1, False, 1)


@pytest.mark.parametrize("name", SILENCE_CASES)
def test_silence_limit(name: str) -> None:
    case = SILENCE_CASES[name]
    agents = [
        make_agent(f"agent-{number}", letter.lower())
        for number, letter in enumerate(case.agents)
    ]
    silent = {
        agent.name: 0
        for agent, letter in zip(agents, case.agents, strict=True)
        if letter.isupper()
    }
    removed = [
        Removal(f"removed-{number}", letter, 90_000)
        for number, letter in enumerate(case.removed)
    ]
    chosen = SilenceLimit(case.percent).choose_removals(
        agents, silent, removed, 100_000
    )
    assert len(chosen) == case.expected
    assert {agent.name for agent in chosen} <= set(silent)


def make_heartbeat(name: str, incarnation: int) -> control_pb2.Heartbeat:
    agent = state_pb2.Agent(
        name=name,
        incarnation=incarnation,
        service="signs",
        data_centre="kandy-a",
        packet_address="10.0.0.1:1",
        control_address="10.0.0.1:2",
        slots=1,
    )
    return control_pb2.Heartbeat(agent=agent)


def apply_planned(
    state: ReplicatedState, leases: LeaseTable, now_ms: int
) -> ReplicatedState:
    for change in leases.plan(state.cluster, now_ms):
        state, _ = apply_change(state, change)
    return state


def test_earlier_incarnation_never_replaces_a_live_later_one() -> None:
    leases = LeaseTable(SilenceLimit(None))
    state = ReplicatedState()
    accepted = []
    for now_ms, incarnation in ((0, 7), (100, 9), (200, 7), (300, 7)):
        member = leases.handle_announcement(
            make_heartbeat("depot-1", incarnation), now_ms
        )
        accepted.append(member is not None)
        state = apply_planned(state, leases, now_ms)
    assert accepted == [True, True, False, False]
    assert state.cluster.agents["depot-1"].incarnation == 9


def test_new_leader_grants_full_leases() -> None:
    leases = LeaseTable(SilenceLimit(None))
    state = ReplicatedState()
    for name in ("depot-1", "depot-2"):
        leases.handle_announcement(make_heartbeat(name, 1), 0)
    state = apply_planned(state, leases, 0)
    successor = LeaseTable(SilenceLimit(None))
    successor.grant_leases(state.cluster, 10_000)
    successor.handle_announcement(make_heartbeat("depot-1", 1), 10_000 + LEASE_MS)
    assert not successor.plan(state.cluster, 10_000 + LEASE_MS)
    (removal,) = successor.plan(state.cluster, 10_001 + LEASE_MS)
    assert removal.remove_agent.agent == "depot-2"


def test_new_leader_requests_announcements_of_every_member() -> None:
    leases = LeaseTable(SilenceLimit(None))
    receiver = RelayReceiver(leases)
    state = ReplicatedState().cluster
    announced = [
        control_pb2.NumberedHeartbeat(
            number=n, heartbeat=make_heartbeat(f"depot-{n}", 1)
        )
        for n in range(2)
    ]
    # Only the first member sent a heartbeat since the last batch. The new leader must
    # also receive the announcement of the second.
    batch = control_pb2.HeartbeatBatch(
        controller="control-1", numbering=5, announced=announced[:1], heard=b"\x01"
    )
    assert receiver.handle_batch(batch, state, 0).unknown_numbering
    batch.announced.append(announced[1])
    batch.whole = True
    assert list(receiver.handle_batch(batch, state, 0).not_admitted) == [0]
    next_batch = control_pb2.HeartbeatBatch(
        controller="control-1", numbering=5, heard=b"\x02"
    )
    assert list(receiver.handle_batch(next_batch, state, 1_500).not_admitted) == [1]
    assert leases.leases[MemberKey("agent", "depot-1")].last_heartbeat_ms == 1_500


async def test_only_one_of_two_silent_data_centres_is_removed() -> None:
    async with run_cluster() as cluster:
        data_centres = ("a", "a", "a", "b", "b", "c", "c")
        for number, data_centre in enumerate(data_centres):
            await cluster.add_member(f"agent-{number}", data_centre=data_centre)
        for member in cluster.members[:5]:
            await member.stop()
        await wait_for(
            lambda: len(cluster.log.state.cluster.agents) == 4, "three agents removed"
        )
        await asyncio.sleep(2 * LEASE_MS / 1000)
        assert len(cluster.log.state.cluster.agents) == 4
        assert len(cluster.controllers[0].membership.leases.held_back) == 2


async def test_draining_member_is_published_at_once_and_removed_when_it_ends() -> None:
    async with run_cluster() as cluster:
        member = await cluster.add_member("depot-1")
        other = await cluster.add_member("depot-2")
        member.leaving = True
        member.membership.request_heartbeat()
        took_s = await wait_for(
            lambda: other.membership.state.agents["depot-1"].draining,
            "draining published",
        )
        assert took_s < LEASE_MS / 1000
        await member.membership.leave()
        await wait_for(
            lambda: "depot-1" not in other.membership.state.agents, "removal", 1.0
        )


async def test_late_acknowledgements_open_a_standby_stream() -> None:
    async with run_cluster() as cluster:
        proxy = TcpProxy(
            PathConfig(
                name="slow",
                kind="tcp",
                listen=cluster.block.allocate_address(7001),
                target=cluster.addresses[0],
                faults=Faults(delay_ms=400),
            ),
            seed=7,
        )
        proxy.open()
        member = Member("depot-1", (proxy.config.listen, *cluster.addresses[1:]))
        cluster.members.append(member)
        member.membership.candidates = [proxy.config.listen]
        member.start()
        await wait_for(lambda: len(member.membership.joined) == 2, "standby joined")
        proxy.apply({"cut": "both"})
        generation = cluster.log.state.cluster.generation
        await asyncio.sleep(2 * LEASE_MS / 1000)
        assert cluster.log.state.cluster.generation == generation
        assert member.membership.has_valid_lease
        proxy.close()


async def test_second_standby_is_opened_while_the_first_one_stalls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    controllers = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")
    client = Member("depot-1", controllers).membership
    opened: list[str] = []

    async def run_stream(address: str, _is_wanted: Callable[[], bool]) -> str:
        """Deliver nothing, like a stream whose packets are lost repeatedly."""
        opened.append(address)
        await asyncio.sleep(LEASE_MS / 1000)
        return "silence"

    monkeypatch.setattr(client, "run_stream", run_stream)
    client.lease.acknowledged_ms = read_clock_ms()
    with contextlib.suppress(TimeoutError):
        # Half of a second of the lease is left for the stream to be opened.
        async with asyncio.timeout(LEASE_MS / 1000 - 0.5):
            await client.run()
    assert sorted(opened) == sorted(controllers)


@pytest.mark.parametrize("responds", [True, False])
async def test_standby_of_a_responsive_controller_is_soon_opened_again(
    monkeypatch: pytest.MonkeyPatch, *, responds: bool
) -> None:
    client = Member("depot-1", ("10.0.0.1:1", "10.0.0.2:1")).membership
    client.primary_address = "10.0.0.1:1"
    opened_s = []

    async def run_stream(address: str, _is_wanted: Callable[[], bool]) -> str:
        """End a stream as one does that stalls, with or without a response."""
        opened_s.append(time.monotonic())
        if responds:
            client.record_joined(address)
            client.joined.remove(address)
        return "silence"

    monkeypatch.setattr(client, "run_stream", run_stream)
    monkeypatch.setattr(client, "has_late_acknowledgements", lambda _: True)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(3):
            await client.maintain_standby()
    longest_s = max(later - earlier for earlier, later in pairwise(opened_s))
    assert (longest_s < LEASE_MS / 4 / 1000) is responds


async def test_nobody_is_taken_out_under_20_percent_loss() -> None:
    async with run_cluster() as cluster:
        proxies = [
            LossyProxy(
                PathConfig(
                    name=controller.name,
                    kind="tcp",
                    listen=cluster.block.allocate_address(7001),
                    target=controller.address,
                ),
                seed=7,
            )
            for controller in cluster.controllers
        ]
        for proxy in proxies:
            proxy.open()
        paths = tuple(proxy.config.listen for proxy in proxies)
        for number in range(5):
            await cluster.add_member(f"depot-{number}", paths)
        generation = cluster.log.state.cluster.generation
        for proxy in proxies:
            proxy.apply({"drop": 0.2})
        await asyncio.sleep(20)
        assert cluster.log.state.cluster.generation == generation
        for proxy in proxies:
            proxy.close()


async def test_leader_that_did_not_run_removes_no_member() -> None:
    async with run_cluster() as cluster:
        await cluster.add_member("depot-1")
        await cluster.add_member("depot-2")
        reconciler = cluster.controllers[0].membership.reconciler
        # Simulates a stop of 10 s in which the heartbeats of one member stayed unread.
        reconciler.leases.leases[
            MemberKey("agent", "depot-1")
        ].last_heartbeat_ms -= 10_000
        reconciler.last_tick_ms -= 10_000
        reconciler.tick(cluster.log.state.cluster, True)
        assert not reconciler.pending
        await asyncio.sleep(1)
        assert len(cluster.log.state.cluster.agents) == 2
