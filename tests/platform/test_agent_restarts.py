"""Agents that start with the platform's settings beside a backend server."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from result import Ok

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.processes import FlowAgentRole
from lentilfork.platform.header import HeaderCodec
from lentilfork.platform.settings import Listen
from lentilfork.platform.settings import PlatformSettings
from lentilfork.platform.settings import make_agent_settings
from tests.forwarding.simulation import ACK_BIT
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import make_packet

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 5.0
CALLER = (5, 1)


def pick_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port


@asynccontextmanager
async def run_agent(server_port: int, *, bootstrap: bool) -> AsyncIterator[list[bytes]]:
    """Run an agent; yield the packets that it delivers to its backend server."""
    port = pick_port()
    settings = PlatformSettings(
        node_id="side-1",
        ip=LOOPBACK,
        zone="north",
        internal_ports=(port, port + 15),
        bootstrap=bootstrap,
        service=SERVICE,
        app=f"{LOOPBACK}:{server_port}",
        listen=Listen(
            datagram_addr=f"{LOOPBACK}:{pick_port()}",
            outbound=f"{LOOPBACK}:{pick_port()}",
        ),
    )
    role = FlowAgentRole(make_agent_settings(settings), HeaderCodec())
    assert isinstance(await role.start(), Ok)
    delivered: list[bytes] = []
    role.agent.delivery.send_to_server = delivered.append
    try:
        await asyncio.wait_for(role.server_probe, TIMEOUT_S)
        data = make_packet(CALLER, (ADDRESS, PORT), ACK_BIT, 8, 1_000, b"request")
        packet = role.agent.owner.codec.parse(data)
        assert packet is not None
        envelope = Envelope(Kind.DELIVER, 0, hash_name(SERVICE), 0, 1000, 100, 1, data)
        role.agent.delivery.deliver(envelope, packet, time.monotonic())
        yield delivered
    finally:
        await role.stop()


# Guards against open flows that are cut off by a restart of the agent of their server:
# its settings may still say that the whole system starts for the first time.
@pytest.mark.parametrize("bootstrap", [False, True])
async def test_agent_delivers_packets_of_flows_that_its_server_may_hold(
    *, bootstrap: bool
) -> None:
    with socket.create_server((LOOPBACK, 0)) as server:
        async with run_agent(server.getsockname()[1], bootstrap=bootstrap) as delivered:
            assert len(delivered) == 1


# Guards against packets that visit servers which can't hold their flow.
@pytest.mark.parametrize("bootstrap", [False, True])
async def test_agent_that_starts_before_its_server_delivers_no_unknown_flow(
    *, bootstrap: bool
) -> None:
    async with run_agent(pick_port(), bootstrap=bootstrap) as delivered:
        assert delivered == []
