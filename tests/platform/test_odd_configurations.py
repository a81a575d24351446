"""Configurations that cannot be read are refused and reach no log."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from result import Ok
from result import Result

from lentilfork.counters import Counters
from lentilfork.errors import Failure
from lentilfork.forwarding.routes import index_routes
from lentilfork.http_server import Request
from lentilfork.platform.calls import answer_controller
from lentilfork.schema import state_pb2
from tests.platform.test_bodies import make_configuration
from tests.platform.test_bodies import make_route
from tests.platform.test_odd_heartbeats import NESTED
from tests.platform.test_odd_heartbeats import ODD_NUMBERS
from tests.platform.test_odd_heartbeats import draw_json

LIMITS = ("version", "timeout_ms", "target_latency_ms", "priority", "weight", "idle")


class FakeController:
    """The part of a controller that the calls of operators use."""

    def __init__(self) -> None:
        self.counters = Counters()
        self.tables: list[state_pb2.RouteTable] = []

    async def put_table(self, table: state_pb2.RouteTable) -> Result[None, Failure]:
        """Store a table; it must be one that members can send, read and index."""
        self.tables.append(state_pb2.RouteTable.FromString(table.SerializeToString()))
        return Ok(None)


async def put(role: Any, body: bytes) -> int:
    """Send a configuration to a controller; return the status."""
    return (await answer_controller(role, Request("PUT", "/v1/config", body))).status


def write(key: str, value: bytes) -> bytes:
    """Return a configuration with the text of one number."""
    odd: Any = "@"
    match key:
        case "version":
            document = make_configuration(version=odd)
        case "weight":
            targets = [{"service": "chairs", "weight": odd}]
            document = make_configuration(routes=[make_route(backends=targets)])
        case "idle":
            document = make_configuration(limits={"idle_timeout_ms": odd})
        case _:
            document = make_configuration(routes=[make_route(**{key: odd})])
    return json.dumps(document).encode().replace(b'"@"', value)


# Guards against a configuration in the log that no process can apply.
@pytest.mark.parametrize("key", LIMITS)
@pytest.mark.parametrize("value", ODD_NUMBERS, ids=lambda value: value[:12].decode())
async def test_odd_number_is_refused(key: str, value: bytes) -> None:
    role = FakeController()
    assert await put(role, write(key, value)) == 400
    assert role.tables == []


@pytest.mark.parametrize("shape", NESTED)
@pytest.mark.parametrize("key", ["version", "routes", "services", "limits", "unknown"])
async def test_deeply_nested_value_is_refused(key: str, shape: str) -> None:
    role = FakeController()
    body = json.dumps(make_configuration(**{key: "@"})).encode()
    assert await put(role, body.replace(b'"@"', NESTED[shape])) == 400
    assert role.tables == []


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    document=strategies.dictionaries(
        strategies.sampled_from(["version", "routes", "services", "limits", "unknown"]),
        draw_json(),
        max_size=2,
    ),
    route=strategies.dictionaries(
        strategies.sampled_from([*make_route(), "backends", "unknown"]),
        draw_json(),
        max_size=2,
    ),
    flow_key=strategies.binary(min_size=12, max_size=12),
)
async def test_accepted_configuration_can_be_applied(
    document: dict[str, Any], route: dict[str, Any], flow_key: bytes
) -> None:
    role = FakeController()
    routes = [make_route(**route)]
    body = json.dumps(make_configuration(routes=routes) | document).encode()
    accepted = await put(role, body) == 200
    assert len(role.tables) == accepted
    for table in role.tables:
        for (address, port), item in index_routes(table).routes.items():
            assert 0 <= address < 1 << 32
            assert 0 <= port < 1 << 16
            assert item.choose_service(flow_key) == "chairs"


async def test_numbers_and_levels_in_ignored_fields_are_accepted() -> None:
    role = FakeController()
    body = json.dumps(make_configuration(unknown="@")).encode()
    for value in (b"9" * 6_000, b"1e999", b"[" * 100 + b"]" * 100):
        assert await put(role, body.replace(b'"@"', value)) == 200
    assert len(role.tables) == 3
