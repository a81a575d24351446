"""The calls by which operators evacuate a data centre of the platform."""

import asyncio
import time
from collections.abc import AsyncIterator
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from result import Err
from result import Ok
from result import Result

from lentilfork.errors import Failure
from lentilfork.http_server import Request
from lentilfork.http_server import serve_http
from lentilfork.platform.calls import answer_controller
from lentilfork.platform.settings import list_evacuable
from lentilfork.platform.settings import load_settings
from lentilfork.platform.settings import make_agent_settings
from lentilfork.platform.settings import make_balancer_settings
from lentilfork.platform.settings import make_controller_settings
from tests.forwarding.test_controllers import HOSTS
from tests.forwarding.test_controllers import Controllers
from tests.forwarding.test_controllers import wait_until
from tests.platform.test_settings import SETTINGS_TEXT
from tests.platform.test_settings import write

ZONES = frozenset(("north", "south east", "süd/1"))
ROLES_TEXT = SETTINGS_TEXT.replace(
    "[listen]",
    'service = "chairs"\napp = "10.0.0.1:8080"\n@contracts@\n[listen]\n'
    'outbound = "10.0.0.1:8500"',
).replace("[bounds]", "[zones]\nnorth = 'hills'\nsouth = {}\n[bounds]\n@bounds@")


class FakeController:
    """The part of a controller that the calls use."""

    def __init__(self, *, fails: bool = False) -> None:
        self.fails = fails
        self.commands: list[tuple[str, bool]] = []
        self.disconnected: list[bool] = []

    async def evacuate(
        self, data_centre: str, active: bool, is_disconnected: Callable[[], bool]
    ) -> Result[None, Failure]:
        """Record a command."""
        self.commands.append((data_centre, active))
        self.disconnected.append(is_disconnected())
        return Err(Failure("evacuate", "-", "conflict")) if self.fails else Ok(None)


async def call(role: Any, method: str, name: str, zones: frozenset[str] = ZONES) -> int:
    """Send a call; return the status."""
    request = Request(method, f"/v1/evacuations/{name}", b"", lambda: True)
    return (await answer_controller(role, request, zones)).status


# Guards against commands with the opposite effect, and against names that are compared
# in the form in which they stand in the path.
@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("north", "north"),
        ("n%6Frth", "north"),
        ("south%20east", "south east"),
        ("s%C3%BCd%2F1", "süd/1"),
    ],
)
@pytest.mark.parametrize(("method", "active"), [("POST", True), ("DELETE", False)])
async def test_command_reaches_the_controller(
    method: str, active: bool, path: str, name: str
) -> None:
    role = FakeController()
    assert await call(role, method, path) == 200
    assert role.commands == [(name, active)]
    assert role.disconnected == [True]


# Guards against commands for what is no data centre, which would be stored for good.
@pytest.mark.parametrize(
    "path", ["", "/", "west", "NORTH", "north/", "%", "%FF", "%00", "north%00", "a?b"]
)
@pytest.mark.parametrize("method", ["POST", "DELETE", "GET"])
async def test_unknown_data_centre_is_not_found(method: str, path: str) -> None:
    role = FakeController()
    assert await call(role, method, path) == 404
    assert role.commands == []


@pytest.mark.parametrize("method", ["GET", "PUT", "PATCH", "HEAD", "post"])
async def test_other_methods_are_not_allowed(method: str) -> None:
    role = FakeController()
    assert await call(role, method, "north") == 405
    assert role.commands == []


# Guards against a command without an effect that is answered as done.
@pytest.mark.parametrize("method", ["POST", "DELETE"])
async def test_failure_is_answered_with_503(method: str) -> None:
    assert await call(FakeController(fails=True), method, "north") == 503


# Guards against evacuations in deployments that do not ask for them.
@pytest.mark.parametrize(
    ("bounds", "zones"), [("", ()), ("evacuate_ms = 5000", ("north", "south"))]
)
async def test_calls_are_served_only_with_a_bound(
    tmp_path: Path, bounds: str, zones: tuple[str, ...]
) -> None:
    text = ROLES_TEXT.replace("@bounds@", bounds).replace("@contracts@", "")
    settings = load_settings(write(tmp_path, text)).unwrap()
    evacuable = list_evacuable(settings)
    assert evacuable == set(zones)
    assert make_controller_settings(settings).evacuations == bool(zones)
    assert make_balancer_settings(settings).evacuations == bool(zones)
    assert make_agent_settings(settings).evacuations == bool(zones)
    status = 200 if zones else 404
    assert await call(FakeController(), "POST", "north", evacuable) == status


# Guards against limits and rules of new deployments that take effect elsewhere.
def test_agent_settings_of_deployments(tmp_path: Path) -> None:
    def load(bounds: str, contracts: str) -> tuple[object, ...]:
        text = ROLES_TEXT.replace("@bounds@", bounds)
        path = write(tmp_path, text.replace("@contracts@", contracts))
        agent = make_agent_settings(load_settings(path).unwrap())
        return agent.places, agent.cold_overshoot, agent.cold_slack

    assert load("", "") == (False, None, None)
    assert load("", 'contracts = ["flows"]') == (False, None, None)
    bounds = "cold_overshoot = 1.5\ncold_slack = 5"
    assert load(bounds, 'contracts = ["flows", "places"]') == (False, 1.5, 5.0)
    both = 'placement = "places"\ncontracts = ["flows", "places"]'
    assert load(bounds, both) == (True, 1.5, 5.0)
    assert load("", 'placement = "places"') == (False, None, None)


@pytest.fixture
async def group(tmp_path: Path) -> AsyncIterator[Controllers]:
    """Yield three controllers that have created a history."""
    group = Controllers(tmp_path)
    for host in HOSTS:
        await group.start(host, first=True)
    await wait_until(lambda: group.put(HOSTS[0], 1))
    yield group
    for host in HOSTS:
        await group.stop(host)


async def exchange(address: tuple[str, int], method: str, *, wait: bool) -> bytes:
    """Send a call over HTTP; return the head of the answer, or close at once."""
    reader, writer = await asyncio.open_connection(*address)
    head = f"{method} /v1/evacuations/north HTTP/1.1\r\nHost: a\r\n\r\n"
    writer.write(head.encode())
    try:
        return await reader.readline() if wait else b""
    finally:
        writer.close()


# Guards against a call that is carried out although its operator has gone: it was held
# up on the way to one controller, and another one has acknowledged its twin.
async def test_call_of_an_operator_who_has_gone_has_no_effect(
    group: Controllers,
) -> None:
    servers = []
    for role in group.roles.values():
        handler = partial(answer_controller, role, evacuable=ZONES)
        servers.append(await serve_http(("127.0.0.1", 0), handler))
    first, second, third = (server.sockets[0].getsockname() for server in servers)

    async def evacuate() -> bool:
        return b" 200 " in await exchange(first, "POST", wait=True)

    await wait_until(evacuate)
    assert b" 200 " in await exchange(second, "DELETE", wait=True)
    role = group.roles[HOSTS[2]]
    await exchange(third, "POST", wait=False)

    async def is_dropped() -> bool:
        return role.counters.get("evacuation_commands", "disconnected") == 1

    await wait_until(is_dropped)
    assert b" 200 " in await exchange(third, "DELETE", wait=True)
    assert role.replica.state.cluster.evacuated == ()
    for server in servers:
        server.close()


# Guards against a call that waited in the buffer of a suspended controller.
async def test_call_after_a_pause_has_no_effect(group: Controllers) -> None:
    role = group.roles[HOSTS[0]]
    handler = partial(answer_controller, role, evacuable=ZONES)
    server = await serve_http(("127.0.0.1", 0), handler)
    address = server.sockets[0].getsockname()
    call_task = asyncio.create_task(exchange(address, "POST", wait=True))
    # The call arrives while the event loop does not run.
    await asyncio.sleep(0)
    time.sleep(0.6)  # noqa: ASYNC251
    assert b" 503 " in await call_task
    assert role.counters.get("evacuation_commands", "paused") == 1
    assert role.replica.state.cluster.evacuation_version == 0
    server.close()
