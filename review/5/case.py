"""An endpoint crashes and starts again; flows that are open elsewhere are reset."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from stand import Client  # noqa: E402
from stand import run_case  # noqa: E402

FLOWS = 40
# As long as `srv_crash` in the site file.
DOWN_S = 5.4
OPENING_S = 0.2
TAIL_S = 4.0
PAUSE_S = 0.4
# At first the clients are busier.
BUSY_S = 1.0
BUSY_PAUSE_S = 0.03
BODY_BYTES = 40_000
# Deadline of the requests.
DEADLINE_S = 5.0
WARM_FLOWS = 300
WARM_GAP_S = 0.01


async def use_flow(flow, stop_at):
    """Open a flow and send requests on it, with pauses, until a time."""
    flow.open()
    done = [asyncio.ensure_future(flow.opened.wait())]
    done.append(asyncio.ensure_future(flow.ended.wait()))
    await asyncio.wait(done, return_when=asyncio.FIRST_COMPLETED)
    for wait in done:
        wait.cancel()
    count = 0
    busy_until = time.monotonic() + BUSY_S
    while time.monotonic() < stop_at and not flow.ended.is_set():
        count += 1
        await flow.request(f"{flow.name}-{count}", DEADLINE_S)
        busy = time.monotonic() < busy_until
        await asyncio.sleep(BUSY_PAUSE_S if busy else PAUSE_S)


async def use_once(client, route, delay_s):
    """Open a flow after a delay, send one request on it and close it."""
    await asyncio.sleep(delay_s)
    flow = client.open_flow(route)
    await asyncio.wait_for(flow.opened.wait(), 3.0)
    await flow.request(f"{flow.name}-1", 1.0, end=True)


async def play(fleet, trouble):
    """Return the resets of open flows that their endpoint did not send."""
    zones = ("kandy-a", "nuwara-b", "badulla-c")
    for zone in zones:
        fleet.add_machine(f"edge-{zone}-1", "edge", zone, disk=True)
    sides = [
        fleet.add_machine(f"side-{zone}-{n}", "side", zone, service="pack-store")
        for zone in zones
        for n in (1, 2)
    ]
    await fleet.start()
    route = fleet.add_route(
        "artwork-pack", "pack-store", 1, type="download", timeout_ms=5000
    )
    for index, side in enumerate(sides, 1):
        await fleet.add_endpoint(side, f"i-{index:08x}", slots=1, body_bytes=BODY_BYTES)
    await fleet.configure()
    await fleet.wait_ready()
    await asyncio.sleep(3.0)
    clients = []
    for index, zone in enumerate(zones, 1):
        client = Client(fleet, fleet.client_ip(index), zone)
        await client.start()
        clients.append(client)

    await asyncio.gather(
        *[use_once(clients[n % 3], route, n * WARM_GAP_S) for n in range(WARM_FLOWS)]
    )
    # Any endpoint may crash; one that is in use shows the fault more often.
    counts = Counter(endpoint.id for _, _, endpoint in fleet.runs)
    crashed = fleet.endpoints[counts.most_common(1)[0][0]]
    crashed_at = time.monotonic()
    if trouble:
        crashed.crash()
    stop_at = crashed_at + DOWN_S + TAIL_S
    flows, tasks = [], []
    for index in range(FLOWS):
        client = clients[index % len(clients)]
        flow = client.make_flow(route)
        flows.append(flow)
        tasks.append(asyncio.create_task(use_flow(flow, stop_at)))
        await asyncio.sleep(OPENING_S / FLOWS)
    await asyncio.sleep(max(crashed_at + DOWN_S - time.monotonic(), 0))
    if trouble:
        await fleet.add_endpoint(crashed.machine, "i-000000aa", body_bytes=BODY_BYTES)
    await asyncio.gather(*tasks)

    breaks = []
    for flow in flows:
        holder, opened_at = fleet.opened.get(flow.key, (None, 0.0))
        for at, seq, valid, _ in flow.resets:
            if holder is None or not holder.alive or holder.machine is crashed.machine:
                continue
            where = "in" if valid else "outside"
            breaks.append(
                f"FLOW: {flow.name}, open at {holder.id} for {at - opened_at:.1f} s, "
                f"got a reset that {holder.id} did not send (seq {seq}, {where} the "
                f"window)"
            )
    return breaks


if __name__ == "__main__":
    run_case(FOLDER, play)
