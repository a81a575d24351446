"""Variants of review/1 and review/2 with real processes: series of losses.

CI plays the first; `VARIANTS=all` plays every one.
"""

import asyncio
import os
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from tests.platform.stands import ZONES
from tests.platform.stands import lose_disks
from tests.platform.stands import make_fleet
from tests.platform.stands import run_fleet

# Bounds of the deployment of the cases.
BOUNDS = {
    "stability_window_ms": 5000,
    "ack_ms": 6000,
    "catch_up_s": 6,
    "drain_ms": 4000,
    "config_apply_ms": 4000,
    "max_stretch_ms": 15000,
    "recovery_s": 15,
}
TOLERANCE = 2
ACK_S = BOUNDS["ack_ms"] / 1000
READ_S = BOUNDS["stability_window_ms"] / 1000
CATCH_UP_S = BOUNDS["catch_up_s"]
CALM_S = CATCH_UP_S + READ_S
ROUNDS = 4
DOWN_S = 3.0

Lose = Callable[[Any, int], Awaitable[None]]


def list_oldest(fleet: Any) -> list[Any]:
    """Return the two machines with a controller that have run for longest."""
    return [item for item in fleet.machines.values() if item.controls][:TOLERANCE]


async def replace_pair(fleet: Any, number: int) -> None:
    """Remove two machines for good; empty ones come at new addresses."""
    for item in list_oldest(fleet):
        await fleet.replace_core(item, f"edge-{item.zone}-{number}-{item.name}", 0.0)


async def replace_pair_at_once(fleet: Any, number: int) -> None:
    """Remove two machines for good at the same moment; successors come 1 s later."""
    await asyncio.gather(
        *(
            fleet.replace_core(item, f"edge-{item.zone}-{number}{index}", 1.0)
            for index, item in enumerate(list_oldest(fleet))
        )
    )


async def lose_disks_of_pair(fleet: Any, number: int) -> None:
    """Two machines, others each time, lose their disks and start again."""
    cores = [item for item in fleet.machines.values() if item.controls]
    start = TOLERANCE * number % len(cores)
    await lose_disks(fleet, cores[start : start + TOLERANCE], DOWN_S)


async def lose_disks_and_power(fleet: Any, number: int) -> None:
    """Two machines lose their disks; all others are killed at the same moment."""
    cores = [item for item in fleet.machines.values() if item.controls]
    start = TOLERANCE * number % len(cores)
    lost = cores[start : start + TOLERANCE]
    for item in cores:
        if item not in lost:
            fleet.signal_process(item, "controller", signal.SIGKILL)
            await fleet.wait_process(item, "controller", 2.0)
            fleet.start_process(item, "controller")
    await lose_disks(fleet, lost, 0.5)


VARIANTS: list[Lose] = [
    replace_pair_at_once,
    replace_pair,
    lose_disks_of_pair,
    lose_disks_and_power,
]
PLAYED = len(VARIANTS) if os.environ.get("VARIANTS") == "all" else 1


# Guards against controllers that stay without a leader after losses in series, each of
# which the deployment has to bear.
@pytest.mark.deployment
@pytest.mark.parametrize("lose", VARIANTS[:PLAYED])
async def test_configuration_outlives_losses_in_series(
    lose: Lose, tmp_path: Path
) -> None:
    fleet = make_fleet(tmp_path, tolerance=TOLERANCE, bounds=BOUNDS)

    async def play() -> list[str]:
        for zone in ZONES:
            for number in (1, 2):
                fleet.add_machine(f"edge-{zone}-{number}", "edge", zone, disk=True)
        side = fleet.add_machine(
            "side-kandy-a-1", "side", "kandy-a", service="signal-desk"
        )
        fleet.reserve(TOLERANCE * ROUNDS)
        await fleet.start()
        fleet.add_route("warning-fetch", "signal-desk", 1)
        await fleet.add_endpoint(side, "i-00000001")
        await fleet.configure()
        await fleet.wait_ready()
        fleet.first_start = False
        await asyncio.sleep(CALM_S)
        breaks: list[str] = []
        for number in range(ROUNDS):
            acknowledged = fleet.version
            await lose(fleet, number)
            await asyncio.sleep(CATCH_UP_S)
            if not await fleet.order(CALM_S):
                breaks.append(f"no acknowledgement after loss {number + 1}")
                break
            acknowledged = fleet.version
        await asyncio.sleep(READ_S)
        breaks += await fleet.check_control(acknowledged, ACK_S, READ_S)
        return breaks

    assert await run_fleet(fleet, play) == []
