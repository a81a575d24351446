"""Two of six machines with a disk lose it; the deployment must bear that."""

import asyncio
import shutil
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from stand import run_case  # noqa: E402

# Bounds of the deployment.
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
# Time without power, as for `after_ack_wipe` in the site file.
DOWN_S = 3.0
RECOVERY_S = BOUNDS["recovery_s"]
ACK_S = BOUNDS["ack_ms"] / 1000
WINDOW_S = BOUNDS["stability_window_ms"] / 1000


async def lose_disks(fleet, machines):
    """Kill all processes of machines, empty their disks and start them again."""
    for machine in machines:
        for role in ("controller", "balancer"):
            fleet.signal_process(machine, role, signal.SIGKILL)
    for machine in machines:
        for role in ("controller", "balancer"):
            await fleet.wait_process(machine, role, 2.0)
        shutil.rmtree(fleet.temp / f"data-{machine.name}")
        fleet.record.write(f"{machine.name} lost its disk")
    await asyncio.sleep(DOWN_S)
    for machine in machines:
        for role in ("controller", "balancer"):
            fleet.start_process(machine, role)


async def play(fleet, trouble):
    """Return a break if an acknowledged configuration can't be read any more."""
    for zone in ("kandy-a", "nuwara-b", "badulla-c"):
        for number in (1, 2):
            fleet.add_machine(f"edge-{zone}-{number}", "edge", zone, disk=True)
    side = fleet.add_machine("side-kandy-a-1", "side", "kandy-a", service="signal-desk")
    await fleet.start()
    fleet.add_route("warning-fetch", "signal-desk", 1)
    await fleet.add_endpoint(side, "i-00000001")
    await fleet.configure()
    await fleet.wait_ready()
    fleet.first_start = False
    # All machines are in touch long since.
    await asyncio.sleep(2 * WINDOW_S)
    await fleet.configure()
    acknowledged = fleet.version
    cores = fleet.list_cores()
    fleet.record.write(f"controllers on {', '.join(item.name for item in cores)}")
    if trouble:
        await lose_disks(fleet, cores[:TOLERANCE])
    # From here on nothing is disturbed.
    await asyncio.sleep(RECOVERY_S)
    return await fleet.check_control(acknowledged, ACK_S, WINDOW_S)


if __name__ == "__main__":
    run_case(FOLDER, play, tolerance=TOLERANCE, bounds=BOUNDS)
