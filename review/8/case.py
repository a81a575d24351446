"""Flows that two endpoints answered while a machine was slow, used again later."""

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))

from stand import Client  # noqa: E402
from stand import Endpoint  # noqa: E402
from stand import Unable  # noqa: E402
from stand import main  # noqa: E402

SERVICE = "signal-desk"
ZONES = ("kandy-a", "nuwara-b", "badulla-c")
# `node_slow`: a tenth of the ten machines runs five times slower for 5 s. The process
# gets a fifth of the time: it is stopped for 0.376 s of each 0.47 s.
SLOW_S = 5.0
SLOW_FACTOR = 5
PERIOD_S = 0.47
STABILITY_WINDOW_S = 4.0
FLOWS_PER_S = 700
PACK_BYTES = 2_000
DEADLINE_S = 5.0
# An endpoint gives up a SYN+ACK 11 s after the SYN. The second request comes before
# that, and at least `stability_window_ms` after the machine is as fast as before.
PAUSE_S = 9.4


async def slow_down(process, until):
    """Run a process five times slower."""
    try:
        while time.monotonic() < until:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(PERIOD_S * (1 - 1 / SLOW_FACTOR))
            process.send_signal(signal.SIGCONT)
            await asyncio.sleep(PERIOD_S / SLOW_FACTOR)
    finally:
        process.send_signal(signal.SIGCONT)


async def use(flow, stats, spans):
    """Open a flow, send a request, pause and send another one on it.

    The flow is judged from the second request on: by then all machines are in touch.
    """
    used_at = time.monotonic() + PAUSE_S
    if not await flow.open():
        stats["not opened"] += 1
        return
    if not await flow.request(PACK_BYTES, DEADLINE_S):
        stats["first request unanswered"] += 1
        return
    await asyncio.sleep(max(used_at - time.monotonic(), 0))
    sent_at = time.monotonic()
    if await flow.request(PACK_BYTES, DEADLINE_S):
        late = time.monotonic() - sent_at > 1.0
        stats["second request late" if late else "second request answered"] += 1
    else:
        stats["second request unanswered"] += 1
    spans[flow.key] = sent_at, time.monotonic()


async def play(stand, trouble):
    """Slow one agent down while flows open; use the flows when all is calm again."""
    for index, zone in enumerate(ZONES, start=1):
        stand.add_edge(zone, index, 1)
    places = [(zone, index) for index, zone in enumerate(ZONES, start=1)]
    sides = [
        stand.add_side(zone, index, number, SERVICE)
        for number in (1, 2)
        for zone, index in places
    ]
    sides.append(stand.add_side(ZONES[0], 1, 3, SERVICE))
    await stand.start_all()
    await asyncio.sleep(2.5)
    for machine in sides:
        endpoint = Endpoint(stand, machine, SERVICE)
        await endpoint.start()
        stand.endpoints.append(endpoint)
    if not await stand.put_configuration(7, [stand.make_route(SERVICE)], [SERVICE]):
        raise Unable("no configuration was acknowledged")
    await asyncio.sleep(4)
    stand.clients += [
        Client(stand, f"127.{stand.net}.210.{number}", ZONES[number % 3])
        for number in range(1, 11)
    ]
    spans = {}
    opened = 0
    for victim in sides[:4]:
        stats = Counter()
        started = time.monotonic()
        jobs = []
        if trouble:
            slowing = slow_down(victim.processes["agent"], started + SLOW_S)
            jobs.append(asyncio.create_task(slowing))
        count = 0
        while (elapsed := time.monotonic() - started) < SLOW_S:
            for _ in range(int(elapsed * FLOWS_PER_S) - count):
                flow = random.choice(stand.clients).new_flow()
                jobs.append(asyncio.create_task(use(flow, stats, spans)))
                count += 1
            await asyncio.sleep(0.002)
        calm_at = time.monotonic()
        await asyncio.gather(*jobs)
        answers = Counter(
            key for endpoint in stand.endpoints for key in endpoint.answered_syns
        )
        twice = sum(number > 1 for number in answers.values())
        for endpoint in stand.endpoints:
            endpoint.answered_syns.clear()
        state = f"slow until {calm_at - stand.started:.1f} s" if trouble else "calm"
        stand.note(
            f"{victim.name} {state}; {count} flows, {twice} of them answered by two "
            f"endpoints; {dict(stats)}"
        )
        opened += count
        earliest = started + PAUSE_S - calm_at
        if trouble and earliest < STABILITY_WINDOW_S:
            raise Unable("the second requests came too early")
    if opened < FLOWS_PER_S:
        raise Unable("too few flows were opened")
    for key, holder, first, count in stand.find_misled(spans):
        events = [e for e in stand.arrivals[key] if first - 0.1 <= e[0] <= first + 2.5]
        for at, name in events:
            stand.note(
                f"flow from port {key[1]}, open at {holder}: a packet reached {name} "
                f"at {at - stand.started:.3f} s"
            )
        stand.breach(
            "FLOW",
            f"flow from port {key[1]}: from {first - stand.started:.1f} s on, {count} "
            f"packets reached other endpoints in 2 s and none reached {holder}",
        )
    for at, key in stand.resets:
        stand.breach("FLOW", f"open flow from port {key[1]} was reset")
    stand.note(
        f"{len(stand.requests)} requests sent, {len(stand.replies)} answered, "
        f"{len(stand.runs)} run"
    )


main(play, Path(__file__).resolve().parent)
