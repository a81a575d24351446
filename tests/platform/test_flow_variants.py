"""Variants of review/4 and review/5 with real processes: flows stay.

CI plays some of them; `VARIANTS=all` plays every one.
"""

import asyncio
import os
import time
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.platform.stands import ZONES
from tests.platform.stands import FlowStand
from tests.platform.stands import make_fleet
from tests.platform.stands import run_fleet

FIRST, NEXT, LAST = "pack-store", "pack-store-next", "pack-store-last"
# Time between two changes or restarts of a series.
GAP_S = 1.0
AFTER_S = 3.5
DURATION_S = 12.0

Disturb = Callable[[FlowStand], Awaitable[None]]


async def change_service(stand: FlowStand) -> None:
    """Give the route another service."""
    await stand.change_route(NEXT)


async def change_weights(stand: FlowStand) -> None:
    """Exchange the weights of two services."""
    await stand.change_route({FIRST: 10, NEXT: 90})


async def change_service_twice(stand: FlowStand) -> None:
    """Give the route a second and then a third service."""
    await stand.change_route(NEXT)
    await asyncio.sleep(GAP_S)
    await stand.change_route(LAST)


async def change_service_and_back(stand: FlowStand) -> None:
    """Give the route another service and soon the former one again."""
    await stand.change_route(NEXT)
    await stand.change_route(FIRST)


async def restart_balancers_after_change(stand: FlowStand) -> None:
    """Restart all balancers after a change of the service."""
    await stand.change_route(NEXT)
    await asyncio.sleep(GAP_S)
    await stand.restart("balancer", stand.list_machines("balancer"))


async def restart_new_agents_after_change(stand: FlowStand) -> None:
    """Restart the agents of the new service after a change, twice."""
    await stand.change_route(NEXT)
    for _ in range(2):
        await asyncio.sleep(GAP_S)
        await stand.restart("agent", stand.list_machines("agent", NEXT))


async def restart_all_agents_after_change(stand: FlowStand) -> None:
    """Restart the agents of both services and all balancers after a change."""
    await stand.change_route(NEXT)
    await asyncio.sleep(GAP_S)
    await stand.restart("agent", stand.list_machines("agent"))
    await stand.restart("balancer", stand.list_machines("balancer"))


async def restart_holders(stand: FlowStand) -> None:
    """Restart all agents, whose settings still have `bootstrap` set."""
    await stand.restart("agent", stand.list_machines("agent"))


async def restart_holders_after_change(stand: FlowStand) -> None:
    """Restart the agents that serve the flows after a change of the service."""
    await stand.change_route(NEXT)
    await asyncio.sleep(GAP_S)
    await stand.restart("agent", stand.list_machines("agent", FIRST))


async def crash_in_series(
    stand: FlowStand, *, first_beat_s: float = 0.0, same_id: bool = False
) -> None:
    """Crash an endpoint three times, while flows open; it starts again each time."""
    crashed = next(iter(stand.fleet.endpoints.values()))
    for number in range(3):
        crashed.crash()
        await stand.open_flows(stand.stop_at - time.monotonic(), 6)
        name = crashed.id if same_id else f"i-000000b{number}"
        crashed = await stand.fleet.add_endpoint(
            crashed.machine, name, slots=4, first_beat_s=first_beat_s
        )
        await stand.open_flows(stand.stop_at - time.monotonic(), 6)


async def crash_with_late_heartbeats(stand: FlowStand) -> None:
    """Crash an endpoint, whose later starts announce themselves after a second."""
    await crash_in_series(stand, first_beat_s=1.0)


async def crash_with_the_same_id(stand: FlowStand) -> None:
    """Crash an endpoint, which starts again under the id that it had."""
    await crash_in_series(stand, same_id=True)


async def crash_and_restart_agents(stand: FlowStand) -> None:
    """Crash an endpoint and restart its agent before it starts again."""
    crashed = next(iter(stand.fleet.endpoints.values()))
    crashed.crash()
    await stand.restart("agent", [crashed.machine])
    await stand.open_flows(stand.stop_at - time.monotonic(), 6)
    await stand.fleet.add_endpoint(crashed.machine, "i-000000c1", slots=4)
    await asyncio.sleep(GAP_S)
    await stand.restart("agent", stand.list_machines("agent"))


# Disturbance and the services of the route before; the first four run in CI.
VARIANTS: list[tuple[Disturb, str | dict[str, int]]] = [
    (change_weights, {FIRST: 90, NEXT: 10}),
    (restart_all_agents_after_change, FIRST),
    (restart_holders, FIRST),
    (crash_with_late_heartbeats, FIRST),
    (change_service, FIRST),
    (change_service_twice, FIRST),
    (change_service_and_back, FIRST),
    (restart_balancers_after_change, FIRST),
    (restart_new_agents_after_change, FIRST),
    (restart_holders_after_change, FIRST),
    (crash_in_series, FIRST),
    (crash_with_the_same_id, FIRST),
    (crash_and_restart_agents, FIRST),
]
PLAYED_IN_CI = 4
PLAYED = len(VARIANTS) if os.environ.get("VARIANTS") == "all" else PLAYED_IN_CI


# Guards against open flows that are cut off or reset by changes of their route and by
# crashes, alone and followed by restarts.
@pytest.mark.deployment
@pytest.mark.parametrize(
    ("disturb", "before"),
    [
        pytest.param(disturb, before, id=disturb.__name__)
        for disturb, before in VARIANTS[:PLAYED]
    ],
)
async def test_open_flows_keep_their_endpoint(
    disturb: Disturb, before: str | dict[str, int], tmp_path: Path
) -> None:
    stand = FlowStand(make_fleet(tmp_path))

    async def play() -> list[str]:
        await stand.start(before)
        await stand.open_flows(DURATION_S)
        since = time.monotonic()
        await disturb(stand)
        await asyncio.sleep(AFTER_S)
        return await stand.finish(since)

    assert await run_fleet(stand.fleet, play) == []
    assert len({flow.key for flow in stand.flows}) >= len(ZONES)
