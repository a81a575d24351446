"""Heartbeats that no endpoint would send: refused, and the endpoint keeps its state."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from lentilfork.forwarding.processes import FlowAgentRole
from lentilfork.http_server import Request
from lentilfork.platform.calls import answer_agent
from tests.forwarding.simulation import SERVICE
from tests.forwarding.test_malformed import make_agent

PATH = "/v1/instances/i-1"
NUMBERS = ("concurrency_limit", "cold_left_ms", "sequence", "born")
ODD_NUMBERS = (
    b"9" * 300,
    b"9" * 6_000,
    b"-" + b"9" * 300,
    b"9223372036854775807000",
    b"18446744073709551616",
    b"1e999",
    b"-1e999",
    b"NaN",
    b"Infinity",
    b"-1",
    b"1.5",
    b"true",
    b"null",
    b'"4"',
    b"[4]",
    b"{}",
)
HEARTBEAT = {
    "service": SERVICE,
    "address": "10.0.0.8:3",
    "zone": "north",
    "version": "v1",
    "concurrency_limit": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
NESTED_LEVELS = 100_000
NESTED = {
    "arrays": b"[" * NESTED_LEVELS + b"]" * NESTED_LEVELS,
    "objects": b'{"a":' * NESTED_LEVELS + b"1" + b"}" * NESTED_LEVELS,
    "open": b"[" * NESTED_LEVELS,
}


def write(key: str, value: bytes) -> bytes:
    """Return a heartbeat with the text of one value; it is the last one of its key."""
    return json.dumps(HEARTBEAT).encode()[:-1] + b',"%s":%s}' % (key.encode(), value)


async def put(role: FlowAgentRole, body: bytes) -> int:
    """Send a heartbeat to an agent; return the status."""
    return (await answer_agent(role, Request("PUT", PATH, body))).status


def get_state(role: FlowAgentRole) -> tuple[object, ...]:
    """Return what the agent knows about its endpoint and announces."""
    return role.agent.server.latest, role.agent.record, role.agent.flows.slots


async def check_refused(body: bytes) -> None:
    """Check that a body is refused, before and after the endpoint's own heartbeat."""
    role = make_agent()
    role.membership.send = lambda _data, _address: None
    unknown = get_state(role)
    assert await put(role, body) == 400
    assert get_state(role) == unknown
    assert await put(role, json.dumps(HEARTBEAT).encode()) == 200
    assert role.agent.record.accepting
    known = get_state(role)
    assert await put(role, body) == 400
    assert get_state(role) == known
    later = HEARTBEAT | {"sequence": 5, "state": "draining"}
    assert await put(role, json.dumps(later).encode()) == 200
    assert not role.agent.record.accepting


# Guards against an agent that no longer follows its endpoint after one odd heartbeat.
@pytest.mark.parametrize("key", NUMBERS)
@pytest.mark.parametrize("value", ODD_NUMBERS, ids=lambda value: value[:12].decode())
async def test_odd_number_is_refused(key: str, value: bytes) -> None:
    await check_refused(write(key, value))


# Guards against an endpoint that is locked out, because one heartbeat claimed a start
# after any date.
async def test_start_after_any_date_is_refused() -> None:
    await check_refused(write("born", b"9223372036854775807"))


@pytest.mark.parametrize("key", [*HEARTBEAT, "unknown"])
@pytest.mark.parametrize("shape", NESTED)
async def test_deeply_nested_value_is_refused(key: str, shape: str) -> None:
    await check_refused(write(key, NESTED[shape]))


@pytest.mark.parametrize("key", ["service", "address", "zone", "version", "state"])
@pytest.mark.parametrize(
    "value", [b'"\\ud800"', b'"\xff\xfe"', b'"\xed\xa0\x80"', b"4", b"null", b"[]"]
)
async def test_text_that_cannot_be_read_is_refused(key: str, value: bytes) -> None:
    await check_refused(write(key, value))


@pytest.mark.parametrize("key", sorted(HEARTBEAT.keys() - {"born"}))
async def test_missing_field_is_refused(key: str) -> None:
    heartbeat = {name: HEARTBEAT[name] for name in HEARTBEAT if name != key}
    await check_refused(json.dumps(heartbeat).encode())


async def test_megabytes_without_a_heartbeat_are_refused() -> None:
    await check_refused(b'"' + b"a" * 7_000_000 + b'"')


async def test_other_service_is_not_used() -> None:
    role = make_agent()
    role.membership.send = lambda _data, _address: None
    await put(role, json.dumps(HEARTBEAT | {"service": "unnamed"}).encode())
    assert role.agent.server.latest is None
    assert not role.agent.record.accepting


def draw_json() -> strategies.SearchStrategy[Any]:
    """Draw any JSON value, with numbers of any size."""
    scalars = (
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.integers(10**17, 10**400)
        | strategies.floats()
        | strategies.text(max_size=5)
    )
    return strategies.recursive(
        scalars,
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3)
        ),
        max_leaves=5,
    )


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    changes=strategies.dictionaries(
        strategies.sampled_from([*HEARTBEAT, "unknown"]), draw_json(), max_size=4
    )
)
async def test_any_heartbeat_is_answered_and_the_agent_announces_itself(
    changes: dict[str, Any],
) -> None:
    role = make_agent()
    role.membership.send = lambda _data, _address: None
    assert await put(role, json.dumps(HEARTBEAT | changes).encode()) in {200, 400}
    role.agent.tick(1e9)
    role.announce_change()
