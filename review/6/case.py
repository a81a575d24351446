"""A disk of the core is lost while a core machine is replaced as planned."""

import asyncio
import json
import os
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))

from stand import Unable  # noqa: E402
from stand import call  # noqa: E402
from stand import main  # noqa: E402

SERVICE = "pack-store"
ZONES = ("kandy-a", "nuwara-b", "badulla-c")
# The new machine has run for longer than `catch_up_s` (4 s) when the old one is removed.
SUCCESSOR_LEAD_S = 6.0
# `after_ack_wipe`: the machine is dark for 3 s.
DARK_S = 3.0
# From the loss of the disk to the planned stop of the replaced machine.
OVERLAP_S = float(os.environ.get("OVERLAP_S", "0.5"))
# Longer than `recovery_s` (12 s) and `stability_window_ms` (4 s) together.
READ_S = 30.0


async def read_everywhere(stand):
    """Return the versions that the controllers answer with; None if it isn't a 200."""
    targets = [(m.ip, stand.port_control) for m in stand.machines]
    answers = await asyncio.gather(
        *(call(target, "GET", "/v1/config") for target in targets)
    )
    return [json.loads(body)["version"] if code == 200 else None for code, body in answers]


async def put(stand, machine, version):
    """Send one configuration to one machine; return whether it was acknowledged."""
    body = stand.make_body(version, [stand.make_route(SERVICE)], [SERVICE])
    target = (machine.ip, stand.port_control)
    status, _ = await call(target, "PUT", "/v1/config", body, timeout_s=5.0)
    stand.note(f"version {version} sent to {machine.name}: {status or 'no answer'}")
    return status == 200


def find_leader(stand, edges):
    """Return the machine whose controller leads, according to the logs."""
    found = None
    latest = ""
    for machine in edges:
        log = (stand.folder / f"{machine.name}-controller.log").read_text()
        for line in log.splitlines():
            record = json.loads(line)
            if record["message"] == "role changed" and record["role"] == "leader":
                if record["time"] > latest:
                    latest, found = record["time"], machine
    if found is None:
        raise Unable("no controller leads")
    return found


async def play(stand, trouble):
    """Replace one core machine as planned, and lose the disk of another one.

    The environment variable ONLY leaves one of the two out: "replace" or "wipe".
    """
    only = os.environ.get("ONLY", "")
    edges = [stand.add_edge(zone, index, 1) for index, zone in enumerate(ZONES, 1)]
    await stand.start_all()
    await asyncio.sleep(2.5)
    if not await stand.put_configuration(7, [stand.make_route(SERVICE)], [SERVICE]):
        raise Unable("the first configuration was not acknowledged")
    await asyncio.sleep(4)
    other = find_leader(stand, edges)
    old, third = (machine for machine in edges if machine is not other)
    stand.note(f"{other.name} leads")
    acknowledged = 7
    if trouble and only != "wipe":
        new = stand.add_edge(old.zone, 1 + edges.index(old), 9)
        for role in new.roles:
            await stand.start_process(new, role)
        stand.note(f"{new.name} has started: an empty machine that replaces {old.name}")
        await asyncio.sleep(SUCCESSOR_LEAD_S)
    if await put(stand, other, 8):
        acknowledged = 8
    if trouble and only != "replace":
        for process in other.processes.values():
            process.kill()
        for process in other.processes.values():
            await process.wait()
        shutil.rmtree(stand.folder / other.name)
        stand.note(f"{other.name} has lost power and its disk")
    lost_at = time.monotonic()
    await asyncio.sleep(OVERLAP_S)
    if trouble and only != "wipe":
        stand.note(f"SIGTERM for {old.name}, which is removed for good")
        for process in old.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in old.processes.values():
            try:
                await asyncio.wait_for(process.wait(), 6.0)
            except TimeoutError:
                process.kill()
        stand.machines.remove(old)
        stand.gone.append(old)
        stand.note(f"{old.name} has ended")
    await asyncio.sleep(max(lost_at + DARK_S - time.monotonic(), 0))
    if trouble and only != "replace":
        for role in other.roles:
            await stand.start_process(other, role)
        stand.note(f"{other.name} is back, with an empty disk and `bootstrap` false")
    back_at = time.monotonic()
    versions = []
    while time.monotonic() - back_at < READ_S:
        versions = await read_everywhere(stand)
        if trouble and any(versions):
            break
        if not trouble and time.monotonic() - back_at > 5:
            break
        await asyncio.sleep(1.0)
    took_s = time.monotonic() - back_at
    names = ", ".join(m.name for m in stand.machines)
    stand.note(f"{took_s:.0f} s later, the reads at {names} answer {versions}")
    settled = await put(stand, third, 9)
    if not any(versions):
        stand.breach(
            "CONFIG",
            f"version {acknowledged} was acknowledged and doesn't come: no controller "
            f"answers a read for {took_s:.0f} s after all machines are back",
        )
    elif max(filter(None, versions)) < acknowledged:
        stand.breach("CONFIG", f"{versions} is read, {acknowledged} was acknowledged")
    elif not settled:
        stand.note("the reads are answered, but version 9 was not acknowledged")


main(play, Path(__file__).resolve().parent)
