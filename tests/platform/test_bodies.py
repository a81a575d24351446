"""Bodies of the platform's calls are either read whole or refused."""

import json
import zlib
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err
from result import Ok

from lentilfork.forwarding.backend_server import ServerState
from lentilfork.platform.bodies import read_configuration
from lentilfork.platform.bodies import read_heartbeat
from lentilfork.platform.bodies import read_leave


def make_configuration(**changes: Any) -> dict[str, Any]:
    route = {
        "name": "seats",
        "host": "198.18.0.9",
        "path_prefix": "/8443/",
        "type": "idempotent",
        "timeout_ms": 800,
        "target_latency_ms": 140,
        "priority": 2,
        "service": "chairs",
        "max_attempts": 2,
    }
    document = {
        "version": 12,
        "routes": [route],
        "services": [{"name": "chairs", "health_path": "/health"}],
        "limits": {"idle_timeout_ms": 9_000},
    }
    return document | changes


def make_route(**changes: Any) -> dict[str, Any]:
    route: dict[str, Any] = make_configuration()["routes"][0]
    return route | changes


def encode(document: object) -> bytes:
    return json.dumps(document).encode()


def test_configuration_becomes_a_route_table_with_its_source() -> None:
    body = encode(make_configuration(extra="kept"))
    table = read_configuration(body).unwrap()
    assert table.version == 12
    assert table.idle_timeout_ms == 9_000
    route = table.routes[0]
    assert (route.address, route.port) == (0xC6120009, 8443)
    assert [target.service for target in route.targets] == ["chairs"]
    assert (route.deadline_ms, route.target_ms, route.priority) == (800, 140, 2)
    assert zlib.decompress(table.source) == body


def test_targets_with_weight_zero_are_omitted() -> None:
    split = [{"service": "chairs", "weight": 3}, {"service": "chairs", "weight": 0}]
    route = make_route(backends=split)
    table = read_configuration(encode(make_configuration(routes=[route]))).unwrap()
    assert [target.weight for target in table.routes[0].targets] == [3]


@pytest.mark.parametrize(
    "document",
    [
        make_configuration(version="7"),
        make_configuration(version=0),
        make_configuration(version=True),
        make_configuration(routes=[make_route(service="layouts")]),
        make_configuration(routes=[make_route(), make_route(name="again")]),
        make_configuration(routes=[make_route(timeout_ms=0)]),
        make_configuration(routes=[make_route(service=None)]),
        make_configuration(
            routes=[
                make_route(service=None, backends=[{"service": "chairs", "weight": 0}])
            ]
        ),
        make_configuration(routes=[make_route(host="somewhere")]),
        make_configuration(routes=[make_route(path_prefix="/x/")]),
        make_configuration(limits=None),
        {"version": 3},
        [],
    ],
)
def test_invalid_configurations_are_refused(document: object) -> None:
    assert isinstance(read_configuration(encode(document)), Err)


# Guards against a route that no packet can name, which was acknowledged.
@pytest.mark.parametrize(
    "port", ["65536", "70000", "99999", "-1", "123456", "9" * 5000]
)
def test_route_with_a_port_out_of_range_is_refused(port: str) -> None:
    routes = [make_route(path_prefix="/80/"), make_route(path_prefix=f"/{port}/")]
    document = make_configuration(routes=routes)
    assert isinstance(read_configuration(encode(document)), Err)


@pytest.mark.parametrize("port", [0, 1, 80, 9_999, 10_000, 65_534, 65_535])
def test_route_with_any_port_of_a_packet_is_accepted(port: int) -> None:
    routes = [make_route(path_prefix=f"/{port}/")]
    table = read_configuration(encode(make_configuration(routes=routes))).unwrap()
    assert table.routes[0].port == port


@given(st.integers(0, 200))
def test_truncated_configurations_are_refused(length: int) -> None:
    body = encode(make_configuration())
    assert isinstance(read_configuration(body[: min(length, len(body) - 1)]), Err)


@given(st.binary(max_size=100))
def test_any_bytes_are_refused_or_read(body: bytes) -> None:
    read_configuration(body)
    read_heartbeat("id", body)
    read_leave(body)


# Guards against a document that is acknowledged though no reader of it can decode it.
@pytest.mark.parametrize("text", [b"\xff\xfe", b"\xed\xa0\x80", b"\xc3", b"\xc0\xaf"])
def test_bodies_with_invalid_utf8_in_ignored_fields_are_refused(text: bytes) -> None:
    configuration = encode(make_configuration(extra="odd"))
    heartbeat = encode(make_heartbeat(extra="odd"))
    assert isinstance(read_configuration(configuration.replace(b"odd", text)), Err)
    assert isinstance(read_heartbeat("i-1", heartbeat.replace(b"odd", text)), Err)
    valid = "ö\N{BALLOT BOX}".encode()
    assert isinstance(read_configuration(configuration.replace(b"odd", valid)), Ok)
    assert isinstance(read_heartbeat("i-1", heartbeat.replace(b"odd", valid)), Ok)


def make_heartbeat(**changes: Any) -> dict[str, Any]:
    heartbeat = {
        "service": "chairs",
        "address": "10.0.0.9:8080",
        "zone": "north",
        "version": "v1",
        "concurrency_limit": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 4,
        "born": 1_700_000_000_000,
    }
    return heartbeat | changes


def test_heartbeat_becomes_an_announcement() -> None:
    announcement = read_heartbeat(
        "i-1", encode(make_heartbeat(state="draining"))
    ).unwrap()
    assert announcement.state is ServerState.DRAINING
    assert (announcement.id, announcement.slots, announcement.sequence) == ("i-1", 2, 4)
    assert announcement.born_ms == 1_700_000_000_000


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"sequence": "4"},
        {"concurrency_limit": 0},
        {"born": 1.5},
        {"service": None},
    ],
)
def test_malformed_heartbeats_are_refused(changes: dict[str, Any]) -> None:
    assert isinstance(read_heartbeat("i-1", encode(make_heartbeat(**changes))), Err)


# Guards against an endpoint that counts as ready at an address that nothing can use.
@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:99999",
        "10.0.0.1:65536",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        f"10.0.0.1:{10**30}",
        f"10.0.0.1:{'9' * 5_000}",
        "10.0.0.1:٣",
        "999.1.1.1:80",
        "10.0.0.1",
        "",
    ],
)
def test_heartbeat_with_an_unusable_address_is_refused(address: str) -> None:
    heartbeat = make_heartbeat(address=address)
    assert isinstance(read_heartbeat("i-1", encode(heartbeat)), Err)


def test_heartbeat_with_a_field_missing_is_refused() -> None:
    heartbeat = make_heartbeat()
    del heartbeat["cold_left_ms"]
    assert isinstance(read_heartbeat("i-1", encode(heartbeat)), Err)


def test_unknown_fields_of_a_heartbeat_are_ignored() -> None:
    assert isinstance(read_heartbeat("i-1", encode(make_heartbeat(colour="red"))), Ok)


def test_leave_returns_the_incarnation_in_its_body() -> None:
    assert read_leave(b'{"born": 5}') == 5
    assert read_leave(b"") is None
    assert read_leave(b"{") is None


# Guards against limits for services that give no rate, and against rates that are lost
# on the way to the agents.
def test_rates_of_cold_endpoints_become_warm_ups() -> None:
    services = [
        {"name": "chairs", "cold_start_s": 8, "cold_per_s": 12.5},
        {"name": "tables", "cold_start_s": 8, "cold_per_s": 0},
        {"name": "lamps", "cold_start_s": 8},
        {"name": "doors", "cold_per_s": 3},
    ]
    table = read_configuration(encode(make_configuration(services=services))).unwrap()
    assert [(item.service, item.per_s, item.duration_s) for item in table.warm_ups] == [
        ("chairs", 12.5, 8.0),
        ("doors", 3.0, 0.0),
    ]
    plain = read_configuration(encode(make_configuration())).unwrap()
    assert not plain.warm_ups


@pytest.mark.parametrize("key", ["cold_start_s", "cold_per_s"])
@pytest.mark.parametrize("value", [-1, -0.5, "3", None, [], {}, True, 1e300])
def test_configuration_with_an_odd_rate_is_refused(key: str, value: object) -> None:
    services = [{"name": "chairs", key: value}]
    body = encode(make_configuration(services=services))
    assert isinstance(read_configuration(body), Err)
