"""Machines of the core are replaced one after the other until none can join."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from stand import BOUNDS  # noqa: E402
from stand import CannotRunError  # noqa: E402
from stand import run_case  # noqa: E402

REPLACEMENTS = 15
# The empty machine comes this long after the old one has gone.
GAP_S = 1.0
# Time after its start until a new machine no longer counts as lost.
CATCH_UP_S = BOUNDS["catch_up_s"]
ACK_S = BOUNDS["ack_ms"] / 1000
WINDOW_S = BOUNDS["stability_window_ms"] / 1000


async def order(fleet, timeout):
    """Send the next configuration; return whether it was acknowledged in time."""
    started = time.monotonic()
    fleet.record.write(f"operator sends configuration {fleet.version + 3}")
    try:
        await fleet.configure(timeout)
    except CannotRunError:
        fleet.record.write(f"configuration {fleet.version} has no acknowledgement")
        return False
    fleet.record.write(f"acknowledged after {time.monotonic() - started:.2f} s")
    return True


async def replace(fleet, old, index):
    """Remove a machine of the core for good; add an empty one at a new address."""
    for role in ("controller", "balancer"):
        fleet.signal_process(old, role, signal.SIGKILL)
    fleet.rotation.pop(old.name)
    del fleet.machines[old.name]
    await asyncio.sleep(GAP_S)
    new = fleet.add_machine(f"edge-{old.zone}-{index}", "edge", old.zone, disk=True)
    fleet.start_edge(new)
    await asyncio.sleep(CATCH_UP_S)


async def play(fleet, trouble):
    """Return the orders of the operator that were not acknowledged."""
    for zone in ("kandy-a", "nuwara-b", "badulla-c"):
        fleet.add_machine(f"edge-{zone}-1", "edge", zone, disk=True)
    side = fleet.add_machine("side-kandy-a-1", "side", "kandy-a", service="signal-desk")
    await fleet.start()
    fleet.add_route("warning-fetch", "signal-desk", 1)
    await fleet.add_endpoint(side, "i-00000001")
    await fleet.configure()
    await fleet.wait_ready()
    fleet.first_start = False
    acknowledged = fleet.version
    for number in range(1, REPLACEMENTS + 1):
        if trouble:
            old = next(item for item in fleet.machines.values() if item.disk)
            await replace(fleet, old, number + 1)
        else:
            await asyncio.sleep(GAP_S)
        if number < REPLACEMENTS:
            if not await order(fleet, ACK_S):
                break
            acknowledged = fleet.version
    # From here on nothing is disturbed: the core is stable.
    await asyncio.sleep(WINDOW_S)
    cores = [item for item in fleet.machines.values() if item.disk]
    running = all(
        fleet.processes[item.name, role].poll() is None
        for item in cores
        for role in ("controller", "balancer")
    )
    if not running:
        raise CannotRunError("a process of the core does not run")
    breaks = []
    if not await order(fleet, ACK_S):
        breaks.append(
            f"Acks: configuration {fleet.version} has no acknowledgement after "
            f"{ACK_S:.0f} s, while all {len(cores)} machines of the core run"
        )
    versions = await fleet.read_back(WINDOW_S)
    if not versions:
        breaks.append(
            f"CONFIG: configuration {acknowledged} was acknowledged; read back at the "
            f"end for {WINDOW_S:.0f} s, it does not come"
        )
    elif max(versions) < acknowledged:
        breaks.append(f"CONFIG: {max(versions)} is read back, not {acknowledged}")
    return breaks


if __name__ == "__main__":
    run_case(FOLDER, play, limit_s=115.0)
