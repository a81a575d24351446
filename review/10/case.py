"""Open flows after a change of their route's service, with eighteen services."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))

from stand import Client  # noqa: E402
from stand import Endpoint  # noqa: E402
from stand import Unable  # noqa: E402
from stand import main  # noqa: E402

ZONES = ("badulla-c", "kandy-a", "nuwara-b")
NUMBER = int(os.environ.get("NUMBER", "18"))
SERVICES = [f"service-{number:02}" for number in range(1, NUMBER + 1)]
FORMER, NEWER = SERVICES[-1], SERVICES[0]
FLOWS = 10
PACK_BYTES = 2_000
DEADLINE_S = 5.0
# `roll_term`, x 1: the next process gets SIGTERM this long after the one before is back.
GAP_S = 0.5
# Longer than `stability_window_ms`, and flows are idle for less than 15 s.
CALM_S = 4.5
IDLE_TIMEOUT_S = 15.0


async def play(stand, trouble):
    """Change the service of a route, restart agents as planned, use the open flows.

    The environment variable NUMBER sets another number of services than 18.
    """
    for index, zone in enumerate(ZONES, start=1):
        stand.add_edge(zone, index, 1)
    sides = [
        stand.add_side(ZONES[i // 6], 1 + i // 6, 1 + i % 6, service)
        for i, service in enumerate(SERVICES)
    ]
    await stand.start_all()
    await asyncio.sleep(4)
    for machine in sides:
        endpoint = Endpoint(stand, machine, machine.service)
        await endpoint.start()
        stand.endpoints.append(endpoint)
    if not await stand.put_configuration(7, [stand.make_route(FORMER)], SERVICES):
        raise Unable("the first configuration was not acknowledged")
    await asyncio.sleep(3)
    if trouble:
        for machine in sides:
            await stand.restart_planned(machine, "agent", gap_s=0.3)
            await asyncio.sleep(GAP_S)
        stand.note("all agents have been stopped and started in turn")
    await asyncio.sleep(2)
    clients = [
        Client(stand, f"127.{stand.net}.210.{number}", ZONES[number % 3])
        for number in range(1, FLOWS + 1)
    ]
    stand.clients += clients
    flows = [client.new_flow() for client in clients]
    for flow in flows:
        if not await flow.open() or not await flow.request(PACK_BYTES, DEADLINE_S):
            raise Unable("a flow did not open")
    used_at = time.monotonic()
    stand.note(f"{FLOWS} flows are open at {FORMER}, each with one request answered")
    if trouble:
        route = stand.make_route(NEWER)
        if not await stand.put_configuration(8, [route], SERVICES):
            raise Unable("the second configuration was not acknowledged")
        stand.note(f"the route leads to {NEWER} from now on")
        await asyncio.sleep(1)
        for machine in (sides[-1], sides[0]):
            await stand.restart_planned(machine, "agent", gap_s=0.3)
            stand.note(f"the agent on {machine.name} has been stopped and started")
            await asyncio.sleep(GAP_S)
    await asyncio.sleep(CALM_S)
    sent_at = time.monotonic()
    idle_s = sent_at - used_at
    stand.note(f"the flows have been idle for {idle_s:.1f} s")
    if idle_s > IDLE_TIMEOUT_S:
        raise Unable("the flows were idle for too long")
    answered = await asyncio.gather(
        *(flow.request(PACK_BYTES, DEADLINE_S) for flow in flows)
    )
    ended_at = time.monotonic()
    stand.note(f"the next request was answered on {sum(answered)} of {FLOWS} flows")
    spans = {flow.key: (sent_at, ended_at) for flow in flows}
    for key, holder, first, count in stand.find_misled(spans):
        stand.breach(
            "FLOW",
            f"flow from port {key[1]} of client {key[0] & 0xFF}: from "
            f"{first - sent_at:.1f} s after the request on, {count} packets reached "
            f"other endpoints in 2 s and none reached {holder}",
        )
    for _, key in stand.resets:
        stand.breach("FLOW", f"open flow of client {key[0] & 0xFF} was reset")
    stand.note(
        f"{len(stand.requests)} requests sent, {len(stand.replies)} answered, "
        f"{len(stand.runs)} run"
    )


main(play, Path(__file__).resolve().parent)
