"""Malformed datagrams are counted and dropped; no process stops working for them."""

import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from lentilfork.addresses import MAXIMUM_PORT
from lentilfork.forwarding.controller import FlowControllerRole
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.envelopes import encode_placement_notice
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.processes import FlowAgentRole
from lentilfork.forwarding.processes import FlowBalancerRole
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import encode_agent
from lentilfork.forwarding.settings import FlowAgentSettings
from lentilfork.forwarding.settings import FlowBalancerSettings
from lentilfork.forwarding.settings import FlowControllerSettings
from lentilfork.platform.header import HeaderCodec
from lentilfork.schema import roster_pb2
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import make_packet

SENDER = ("10.0.0.1", 7000)
RECORD = AgentRecord(
    "agent-2", 9, 1, ("10.0.0.2", 7002), SERVICE, "north", 2, True, False
)
BAD_ADDRESSES = (
    "",
    "10.0.0.2",
    "10.0.0.2:",
    "10.0.0.2:0",
    "10.0.0.2:70000",
    "10.0.0.2:-1",
    "host:80",
    "10.0.0.2:٣",
)


def make_messages() -> list[bytes]:
    """Return one valid datagram of each kind."""
    syn = make_packet((5, 5), (ADDRESS, PORT), 4)
    data = make_packet((5, 5), (ADDRESS, PORT), 2, 3, 4, b"request")
    envelope = Envelope(Kind.ROUTE, 0, hash_name(SERVICE), 1, 1000, 100, 1, syn)
    update = roster_pb2.RosterUpdate(
        controller="10.0.0.1:7000",
        epoch=3,
        revision=2,
        agents=[encode_agent(RECORD)],
        complete=True,
        table_version=4,
        controllers=["10.0.0.1:7000", "10.0.0.3:7000"],
        data_centre="north",
        warm=True,
    )
    announcement = roster_pb2.Announcement(
        name="agent-2", agent=encode_agent(RECORD), subscribe=True
    )
    load = roster_pb2.LoadUpdate(agent="agent-2", incarnation=9, sequence=1, slots=2)
    return [
        encode_envelope(envelope),
        encode_envelope(replace(envelope, kind=Kind.DELIVER, data=data)),
        encode_placement_notice(b"k" * 12, "agent-2"),
        encode_placement_notice(b"k" * 12, "agent-2", chosen=True),
        bytes((Kind.LOAD,)) + load.SerializeToString(),
        bytes((Kind.ANNOUNCEMENT,)) + announcement.SerializeToString(),
        bytes((Kind.UPDATE,)) + update.SerializeToString(),
    ]


def check_send(data: bytes, address: tuple[str, int]) -> None:
    """Check what a socket requires of a destination."""
    host, port = address
    octets = host.split(".")
    assert len(octets) == 4
    assert all(0 <= int(octet) <= 255 for octet in octets)
    assert 0 < port <= 65535


def make_balancer() -> FlowBalancerRole:
    settings = FlowBalancerSettings(
        "balancer-1", "north", ("10.0.0.9", 1), (SENDER,), 9, ("10.0.0.9", 2)
    )
    role = FlowBalancerRole(settings, HeaderCodec())
    role.balancer.send = check_send
    role.balancer.send_to_caller = lambda _data, _address: None
    return role


def make_agent() -> FlowAgentRole:
    settings = FlowAgentSettings(
        "agent-1",
        "north",
        ("10.0.0.8", 1),
        (SENDER,),
        9,
        SERVICE,
        ("10.0.0.8", 2),
        ("10.0.0.8", 3),
        1.0,
        1.0,
    )
    role = FlowAgentRole(settings, HeaderCodec())
    role.agent.connect(
        check_send,
        lambda _data, _address: None,
        lambda _data: None,
        role.announce_change,
        lambda _delay_s: None,
    )
    return role


MEMBERS: dict[str, Callable[[], FlowBalancerRole | FlowAgentRole]] = {
    "balancer": make_balancer,
    "agent": make_agent,
}


def make_member(name: str) -> FlowBalancerRole | FlowAgentRole:
    """Return a member without sockets that fetches no table."""
    role = MEMBERS[name]()
    role.membership.send = check_send
    role.fetcher.start_if_needed = lambda now: None  # type: ignore[method-assign]
    return role


@strategies.composite
def draw_datagram(draw: strategies.DrawFn) -> bytes:
    """Draw a valid datagram with some bytes changed, removed or added."""
    data = bytearray(draw(strategies.sampled_from(make_messages())))
    for _ in range(draw(strategies.integers(0, 6))):
        position = draw(strategies.integers(0, len(data)))
        removed = draw(strategies.integers(0, 3))
        added = draw(strategies.binary(max_size=3))
        data[position : position + removed] = added
    return bytes(data)


@pytest.mark.parametrize("name", MEMBERS)
@settings(
    max_examples=300,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
    derandomize=True,
)
@given(datagrams=strategies.lists(draw_datagram(), min_size=1, max_size=20))
def test_member_survives_malformed_datagrams(name: str, datagrams: list[bytes]) -> None:
    role = make_member(name)
    for data in datagrams:
        role.handle_datagram(data, SENDER)
        if isinstance(role, FlowAgentRole):
            role.handle_server_packet(data, SENDER)
            role.agent.tick(time.monotonic())
        else:
            role.handle_packet(data, SENDER)
    role.membership.announce(time.monotonic(), immediate=True)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(datagrams=strategies.lists(draw_datagram(), min_size=1, max_size=20))
def test_controller_survives_malformed_datagrams(datagrams: list[bytes]) -> None:
    controller = FlowControllerSettings(
        "north", SENDER, (SENDER,), Path("unused"), True, 1, 1_000
    )
    role = FlowControllerRole(controller)
    role.roster_server.send = check_send
    for data in datagrams:
        role.handle_datagram(data, SENDER)
    role.roster_server.expire_members(time.monotonic())
    role.roster_server.notify_subscribers(time.monotonic())


@pytest.mark.parametrize("name", MEMBERS)
@pytest.mark.parametrize("address", BAD_ADDRESSES)
def test_address_that_no_socket_accepts_is_not_used(name: str, address: str) -> None:
    role = make_member(name)
    agent = encode_agent(RECORD)
    agent.address = address
    for controller in (address, "10.0.0.1:7000"):
        update = roster_pb2.RosterUpdate(
            controller=controller,
            epoch=3,
            revision=2,
            agents=[agent],
            complete=True,
            controllers=[address, "10.0.0.3:7000"],
            data_centre="north",
        )
        data = bytes((Kind.UPDATE,)) + update.SerializeToString()
        role.handle_datagram(data, SENDER)
    assert not role.roster.agents
    assert role.counters.get("updates_dropped", "malformed") > 0
    role.membership.announce(time.monotonic(), immediate=True)


# Guards against a fetch that ends with an unexpected error and is started again.
async def test_table_at_a_port_out_of_range_counts_as_not_fetched() -> None:
    role = make_member("balancer")
    await role.fetcher.fetch(("127.0.0.1", MAXIMUM_PORT))
    assert role.counters.get("table_fetches_failed") == 1
    assert role.membership.routes.version == 0
