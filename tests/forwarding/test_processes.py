"""Balancer and agent processes with real sockets, at their start and while draining."""

import asyncio
import socket
import time
from dataclasses import replace

import pytest
from result import Ok

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import decode_envelope
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.membership import ANNOUNCE_INTERVAL_S
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.processes import ROUTER_REMOVAL_S
from lentilfork.forwarding.processes import FlowAgentRole
from lentilfork.forwarding.processes import FlowBalancerRole
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.settings import FlowAgentSettings
from lentilfork.forwarding.settings import FlowBalancerSettings
from lentilfork.platform.header import HeaderCodec
from lentilfork.scheduling import WarmUpBounds
from lentilfork.schema import roster_pb2
from lentilfork.schema import state_pb2
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import make_packet

LOOPBACK = "127.0.0.1"
# Routers remove a balancer after two missed checks, half a second apart.
ROUTER_CHECKS_S = 1.0
# Time that a planned series of restarts leaves between two balancers.
RESTART_GAP_S = 1.2
TIMEOUT_S = 5.0


def bind_socket() -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind((LOOPBACK, 0))
    bound.setblocking(False)
    return bound


def pick_address() -> tuple[str, int]:
    with bind_socket() as probe:
        name: tuple[str, int] = probe.getsockname()
        return name


def make_role(agent: tuple[str, int]) -> FlowBalancerRole:
    settings = FlowBalancerSettings(
        "balancer-1",
        "north",
        pick_address(),
        (pick_address(),),
        9,
        pick_address(),
    )
    role = FlowBalancerRole(settings, HeaderCodec())
    role.roster.replace(
        [AgentRecord("agent-1", 1, 1, agent, SERVICE, "north", 1, True, False)]
    )
    target = state_pb2.Target(service=SERVICE, weight=1)
    route = state_pb2.Route(address=ADDRESS, port=PORT, targets=[target])
    role.membership.apply_table(state_pb2.RouteTable(version=1, routes=[route]))
    role.membership.epoch = 1
    role.apply_table()
    return role


def make_agent_role(server: tuple[str, int]) -> FlowAgentRole:
    settings = FlowAgentSettings(
        "agent-1",
        "north",
        pick_address(),
        (pick_address(),),
        9,
        SERVICE,
        pick_address(),
        server,
        TIMEOUT_S,
        1.0,
    )
    return FlowAgentRole(settings, HeaderCodec())


# Guards against an agent process that explains placements by a table not its own.
def test_agent_process_explains_placements_by_its_own_table() -> None:
    role = make_agent_role((LOOPBACK, 9))
    query = f"caller=0.0.0.9:9&route=198.18.0.1:{PORT}&data_centre=north"
    assert role.answer_explanation(query).status == 404
    target = state_pb2.Target(service=SERVICE, weight=1)
    route = state_pb2.Route(address=ADDRESS, port=PORT, targets=[target])
    role.membership.apply_table(state_pb2.RouteTable(version=3, routes=[route]))
    response = role.answer_explanation(query)
    assert response.status == 200
    assert b'"table_version": 3' in response.body


@pytest.mark.parametrize("server_runs", [True, False])
async def test_restarted_agent_accepts_flows_if_its_server_accepts_connections(
    server_runs: bool,
) -> None:
    with socket.create_server((LOOPBACK, 0)) as server:
        address: tuple[str, int] = server.getsockname()
        if not server_runs:
            server.close()
        role = make_agent_role(address)
        assert isinstance(await role.start(), Ok)
        try:
            await asyncio.wait_for(role.server_probe, TIMEOUT_S)
            role.agent.tick(time.monotonic())
            assert role.agent.record.accepting is server_runs
        finally:
            await role.stop()


# Guards against an agent process that records an evacuation and does not act on it, and
# against rates of cold servers that don't reach the limit.
async def test_agent_process_applies_evacuations_rates_and_bounds() -> None:
    role = make_agent_role((LOOPBACK, 9))
    role.settings = replace(role.settings, evacuations=True, cold_slack=2.0)
    role = FlowAgentRole(role.settings, HeaderCodec())
    assert isinstance(await role.start(), Ok)
    try:
        guard = role.agent.guard
        assert not guard.evacuations.is_settled(time.monotonic())
        update = roster_pb2.RosterUpdate(
            controller=f"{LOOPBACK}:7",
            table_version=1,
            evacuation_version=3,
            evacuated=["north"],
        )
        role.handle_update(b"\x06" + update.SerializeToString(), (LOOPBACK, 7))
        assert guard.is_evacuated
        assert role.agent.exchange.evacuated == {"north"}
        table = state_pb2.RouteTable(
            version=1,
            warm_ups=[state_pb2.WarmUp(service=SERVICE, per_s=9.0, duration_s=5.0)],
        )
        role.membership.apply_table(table)
        role.apply_table()
        guard.limit.clear_quota()
        assert guard.limit.count_openings(time.monotonic()) == 9
        assert guard.limit.bounds == WarmUpBounds(1.0, 2.0)
    finally:
        await role.stop()


def test_agent_process_without_such_settings_has_no_limits() -> None:
    role = make_agent_role((LOOPBACK, 9))
    guard = role.agent.guard
    assert guard.evacuations.is_settled(time.monotonic())
    assert guard.limit.count_openings(time.monotonic()) is None


async def test_agent_announces_itself_after_an_unexpected_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    role = make_agent_role((LOOPBACK, 9))
    announce = role.membership.announce
    calls: list[float] = []

    def announce_or_fail(now: float, *, immediate: bool = False) -> None:
        calls.append(now)
        if len(calls) == 1:
            raise ValueError("unexpected")
        announce(now, immediate=immediate)

    monkeypatch.setattr(role.membership, "announce", announce_or_fail)
    assert isinstance(await role.start(), Ok)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            while len(calls) < 3:
                await asyncio.sleep(0.02)
    finally:
        await role.stop()


async def drain_and_stop(role: FlowAgentRole) -> None:
    """Do what the process does after the signal to stop."""
    await role.drain()
    await role.stop()


async def test_draining_agent_forwards_until_others_know_that_it_leaves() -> None:
    with bind_socket() as other, bind_socket() as balancer:
        role = make_agent_role((LOOPBACK, 9))
        role.settings = replace(role.settings, grace_s=TIMEOUT_S)
        assert isinstance(await role.start(), Ok)
        record = AgentRecord(
            "agent-2", 1, 1, other.getsockname(), SERVICE, "north", 1, True, False
        )
        role.roster.replace([replace(role.agent.record, leaving=True), record])
        stopping = asyncio.create_task(drain_and_stop(role))
        # The first announcement was lost; the next one follows after this interval.
        await asyncio.sleep(ANNOUNCE_INTERVAL_S)
        syn = make_packet((5, 5), (ADDRESS, PORT), 4)
        routed = Envelope(
            Kind.ROUTE, 0, hash_name(SERVICE), hash_name("north"), 1000, 100, 1, syn
        )
        balancer.sendto(encode_envelope(routed), role.settings.address)
        async with asyncio.timeout(TIMEOUT_S):
            envelope = None
            while envelope is None or envelope.data != syn:
                data = await asyncio.get_running_loop().sock_recv(other, 2000)
                envelope = decode_envelope(data)
        assert envelope.kind is Kind.DELIVER
        await stopping


async def test_draining_balancer_forwards_until_routers_have_removed_it() -> None:
    with bind_socket() as agent, bind_socket() as router:
        role = make_role(agent.getsockname())
        assert await role.start() == Ok(None)
        assert role.is_ready
        draining = asyncio.create_task(role.drain())
        assert ROUTER_CHECKS_S < ROUTER_REMOVAL_S < RESTART_GAP_S
        await asyncio.sleep(ROUTER_CHECKS_S)
        assert not role.is_ready
        assert not draining.done()
        syn = make_packet((5, 5), (ADDRESS, PORT), 4)
        router.sendto(syn, role.settings.packet_address)
        async with asyncio.timeout(TIMEOUT_S):
            data = await asyncio.get_running_loop().sock_recv(agent, 2000)
        envelope = decode_envelope(data)
        assert envelope is not None
        assert envelope.data == syn
        await draining
        await role.stop()
