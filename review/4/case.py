"""One machine of the core is lost at the first start and replaced by another one."""

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

# The machine goes this long after all machines have started.
LOST_AFTER_S = 0.2
# The empty machine comes this long after the old one has gone.
GAP_S = 1.0
ACK_S = BOUNDS["ack_ms"] / 1000
WINDOW_S = BOUNDS["stability_window_ms"] / 1000
TRIALS_S = 30.0


async def play(fleet, trouble):
    """Return a break if the first configuration is never acknowledged."""
    for zone in ("kandy-a", "nuwara-b", "badulla-c"):
        fleet.add_machine(f"edge-{zone}-1", "edge", zone, disk=True)
    side = fleet.add_machine("side-kandy-a-1", "side", "kandy-a", service="signal-desk")
    await fleet.start()
    fleet.add_route("warning-fetch", "signal-desk", 1)
    await fleet.add_endpoint(side, "i-00000001")
    await asyncio.sleep(LOST_AFTER_S)
    fleet.first_start = False
    if trouble:
        old = next(item for item in fleet.machines.values() if item.disk)
        for role in ("controller", "balancer"):
            fleet.signal_process(old, role, signal.SIGKILL)
        fleet.rotation.pop(old.name)
        del fleet.machines[old.name]
        await asyncio.sleep(GAP_S)
        new = fleet.add_machine(f"edge-{old.zone}-2", "edge", old.zone, disk=True)
        fleet.start_edge(new)
    else:
        await asyncio.sleep(GAP_S)
    # From here on nothing is disturbed.
    await asyncio.sleep(WINDOW_S + BOUNDS["catch_up_s"])
    started = time.monotonic()
    fleet.record.write("operator sends the first configuration")
    try:
        await fleet.configure(TRIALS_S)
    except CannotRunError:
        waited = time.monotonic() - started
        cores = [item for item in fleet.machines.values() if item.disk]
        for item in cores:
            if fleet.processes[item.name, "controller"].poll() is not None:
                raise CannotRunError("a controller does not run") from None
        return [
            f"Acks: the first configuration has no acknowledgement after {waited:.0f} "
            f"s (allowed: {ACK_S:.0f} s), while all {len(cores)} machines of the core "
            f"run"
        ]
    took = time.monotonic() - started
    fleet.record.write(f"acknowledged after {took:.2f} s")
    return [] if took <= ACK_S else [f"Acks: acknowledged only after {took:.1f} s"]


if __name__ == "__main__":
    run_case(FOLDER, play)
