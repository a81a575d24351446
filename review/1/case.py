"""Two machines of the core are replaced, one long after the other."""

import asyncio
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
REPLACEMENTS = 2
# The empty machine comes this long after the old one has gone.
GAP_S = 1.0
# Time after its start until a new machine no longer counts as lost, and as much again
# as the core needs to be stable.
CALM_S = BOUNDS["catch_up_s"] + BOUNDS["stability_window_ms"] / 1000
ACK_S = BOUNDS["ack_ms"] / 1000
READ_S = BOUNDS["stability_window_ms"] / 1000


async def play(fleet, trouble):
    """Return a break if the acknowledged configuration is out of reach at the end."""
    for zone in ("kandy-a", "nuwara-b", "badulla-c"):
        for number in (1, 2):
            fleet.add_machine(f"edge-{zone}-{number}", "edge", zone, disk=True)
    side = fleet.add_machine("side-kandy-a-1", "side", "kandy-a", service="signal-desk")
    fleet.reserve(REPLACEMENTS)
    await fleet.start()
    fleet.add_route("warning-fetch", "signal-desk", 1)
    await fleet.add_endpoint(side, "i-00000001")
    await fleet.configure()
    await fleet.wait_ready()
    fleet.first_start = False
    await asyncio.sleep(CALM_S)
    acknowledged = fleet.version
    first_cores = fleet.list_cores()
    for number in range(REPLACEMENTS):
        if trouble:
            old = first_cores[number]
            await fleet.replace_core(old, f"edge-{old.zone}-{number + 3}", GAP_S)
        await asyncio.sleep(CALM_S)
        if await fleet.order(ACK_S):
            acknowledged = fleet.version
    # Nothing has been disturbed for more than the time to catch up.
    return await fleet.check_control(acknowledged, ACK_S, READ_S)


if __name__ == "__main__":
    run_case(FOLDER, play, tolerance=TOLERANCE, bounds=BOUNDS)
