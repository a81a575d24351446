"""A route moves to another service; flows that are open there are cut off."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from stand import BOUNDS  # noqa: E402
from stand import Client  # noqa: E402
from stand import run_case  # noqa: E402

FLOWS = 12
REORDER_S = BOUNDS["flow_reorder_ms"] / 1000
BEFORE_S = 4.0
AFTER_S = 3.0
PAUSE_S = 0.7
# Deadline of `artwork-pack`.
DEADLINE_S = 5.0
MINIMUM_PACKETS = 3


async def use_flow(flow, stop_at):
    """Open a flow and send requests on it, with pauses, until a time."""
    flow.open()
    await asyncio.wait_for(flow.opened.wait(), 3.0)
    count = 0
    while time.monotonic() < stop_at and not flow.ended.is_set():
        count += 1
        await flow.request(f"{flow.name}-{count}", DEADLINE_S)
        await asyncio.sleep(PAUSE_S)


def find_astray(fleet, flow, since):
    """Return how a flow went astray for `flow_reorder_ms`, or None if it did not."""
    holder, _ = fleet.opened[flow.key]
    if not holder.alive:
        return None
    own = [at for at, key, _, _ in holder.packets if key == flow.key and at >= since]
    others = sorted(
        (at, endpoint.id)
        for endpoint in fleet.endpoints.values()
        if endpoint is not holder
        for at, key, _, _ in endpoint.packets
        if key == flow.key and at >= since
    )
    for start, _ in others:
        end = start + REORDER_S
        astray = [name for at, name in others if start <= at <= end]
        if any(start <= at <= end for at in own) or len(astray) < MINIMUM_PACKETS:
            continue
        if others[-1][0] < end:
            continue
        return (
            f"FLOW: {flow.name}, open at {holder.id}: {len(astray)} of its packets "
            f"reached {', '.join(sorted(set(astray)))} within {REORDER_S:.0f} s, none "
            f"reached {holder.id}"
        )
    return None


async def play(fleet, trouble):
    """Return the flows that went astray."""
    zones = ("kandy-a", "nuwara-b", "badulla-c")
    for zone in zones:
        fleet.add_machine(f"edge-{zone}-1", "edge", zone, disk=True)
    sides = [
        fleet.add_machine(f"side-{zone}-1", "side", zone, service="pack-store")
        for zone in zones
    ]
    fleet.reserve(len(zones))
    await fleet.start()
    route = fleet.add_route(
        "artwork-pack", "pack-store", 1, type="download", timeout_ms=5000, target_ms=500
    )
    for index, side in enumerate(sides, 1):
        await fleet.add_endpoint(side, f"i-{index:08x}")
    await fleet.configure()
    await fleet.wait_ready()
    fleet.first_start = False
    # The service that the route will move to gets its machines, as with `scale_out`.
    for index, zone in enumerate(zones, 1):
        side = fleet.add_machine(
            f"side-{zone}-2", "side", zone, service="pack-store-next"
        )
        fleet.start_process(side, "agent")
        await fleet.add_endpoint(side, f"i-000000a{index}")
    await asyncio.sleep(4.0)

    clients = []
    for index, zone in enumerate(zones, 1):
        client = Client(fleet, fleet.client_ip(index), zone)
        await client.start()
        clients.append(client)
    stop_at = time.monotonic() + BEFORE_S + AFTER_S
    flows, tasks = [], []
    for index in range(FLOWS):
        flow = clients[index % len(clients)].make_flow(route)
        flows.append(flow)
        tasks.append(asyncio.create_task(use_flow(flow, stop_at)))
        await asyncio.sleep(0.02)
    await asyncio.sleep(BEFORE_S)
    changed_at = time.monotonic()
    if trouble:
        fleet.routes["artwork-pack"]["service"] = "pack-store-next"
        await fleet.configure(5.0)
    await asyncio.gather(*tasks)
    answered = sum(len(flow.answers) for flow in flows)
    lost = len(fleet.sent) - answered
    fleet.record.write(f"{answered} of {len(fleet.sent)} requests answered, {lost} not")
    found = (find_astray(fleet, flow, changed_at) for flow in flows)
    return [text for text in found if text is not None]


if __name__ == "__main__":
    run_case(FOLDER, play)
