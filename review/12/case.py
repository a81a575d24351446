"""Case 12: a client that opens its next flow from the port that it had before."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from stand import BOUNDS  # noqa: E402
from stand import ZONES  # noqa: E402
from stand import Client  # noqa: E402
from stand import ClientFlow  # noqa: E402
from stand import Endpoint  # noqa: E402
from stand import Fleet  # noqa: E402
from stand import UnusableError  # noqa: E402
from stand import call_http  # noqa: E402
from stand import has_trouble  # noqa: E402
from stand import run_case  # noqa: E402

SERVICE = "signal-desk"
ROUTE = ("127.18.0.1", 8443)
# As many as `signal-desk` has, so one of them is a share below 0.15.
ENDPOINTS = 7
FLOWS = 21
FIRST_PORT = 40_001
# "It continues serving for drain_ms after the acknowledgement and a little longer."
SERVES_LONGER_S = 1.5
WORK_S = 0.1
MAXIMUM_REQUESTS = 40


async def play(fleet: Fleet) -> bool:
    """Return whether an opening packet reached the endpoint after `drain_ms`."""
    record = fleet.record
    edges = fleet.add_edges()
    for index in range(ENDPOINTS):
        zone = ZONES[index % len(ZONES)]
        fleet.add_side(
            f"side-{zone}-{1 + index // len(ZONES)}", zone, 20 + index, SERVICE
        )
    fleet.routes[ROUTE] = {"service": SERVICE}
    for machine in edges:
        await machine.start("controller")
        await machine.start("balancer")
    for endpoint in fleet.endpoints.values():
        await endpoint.start()
        await endpoint.machine.start("agent")
    await fleet.put_configuration()
    await fleet.wait_ready(list(fleet.machines))
    # All machines are in touch from here on.
    await asyncio.sleep(BOUNDS["stability_window_ms"] / 1000 + 0.5)
    client = Client(fleet, 50)
    await client.start()
    flows = []
    for number in range(FLOWS):
        balancer = edges[number % len(edges)]
        flow = ClientFlow(
            client, FIRST_PORT + number, ROUTE, lambda balancer=balancer: balancer
        )
        if not await flow.open() or await flow.request(f"/a{number}") is None:
            raise UnusableError("a flow did not open before the disruption")
        flows.append(flow)

    def find_holder(port: int) -> str:
        return next(
            name
            for name, endpoint in fleet.endpoints.items()
            for (_, flow_port, *_), flow in endpoint.flows.items()
            if flow_port == port and flow.open
        )

    held = [find_holder(flow.port) for flow in flows]
    leaver = fleet.endpoints[max(sorted(set(held)), key=held.count)]
    chosen = [f for f, name in zip(flows, held, strict=True) if name == leaver.name]
    record.write(f"{leaver.name} holds the flows of {[f.port for f in chosen]}")
    if has_trouble():
        await leaver.drain()
    else:
        leaver.acknowledged_at["draining"] = float("inf")
    await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
    limit = leaver.acknowledged_at["draining"] + BOUNDS["drain_ms"] / 1000
    leaver.work_s = WORK_S
    closes = asyncio.create_task(close_after_answers(leaver, has_trouble()))
    leaves_at = time.monotonic() + SERVES_LONGER_S
    outcomes = await asyncio.gather(
        *(use_port_again(client, flow, leaves_at + 1.0) for flow in chosen),
        leave(leaver, leaves_at),
    )
    closes.cancel()
    unanswered = [path for paths in outcomes if paths for path in paths]
    # New flows from ports that were not used before, for comparison.
    for number in range(FLOWS):
        balancer = edges[number % len(edges)]
        other = ClientFlow(
            client, FIRST_PORT + 100 + number, ROUTE, lambda b=balancer: b
        )
        if await other.open():
            await other.request(f"/d{number}")
    late = [item for item in leaver.taken if item[0] > limit]
    ran = {line.split()[1] for _, line in leaver.ran}
    lost = sorted(ran.intersection(unanswered))
    used = {flow.port for flow in chosen}
    reused = sum(source[1] in used for _, source, _ in late)
    record.write(
        f"after drain_ms {leaver.name} took {len(late)} opening packets: {reused} from "
        f"{len(chosen)} ports used before, {len(late) - reused} from {FLOWS} others"
    )
    record.write(f"requests that ran there and were never answered: {lost}")
    client.close()
    return bool(late)


async def close_after_answers(endpoint: Endpoint, trouble: bool) -> None:
    """Without the disruption, close flows after an answer as a draining endpoint."""
    while not trouble:
        for flow in endpoint.flows.values():
            if flow.requests and flow.unacknowledged:
                endpoint.finish(flow)
        await asyncio.sleep(0.01)


async def leave(endpoint: Endpoint, at: float) -> None:
    """Let a draining endpoint leave: it sends its leave, exits, and its node stops."""
    await asyncio.sleep(at - time.monotonic())
    if not has_trouble():
        return
    control = endpoint.machine.ip, endpoint.fleet.control_port
    await call_http(control, "DELETE", f"/v1/instances/{endpoint.id}")
    await endpoint.close()
    endpoint.fleet.record.write(f"endpoint {endpoint.id} has left and ended")
    await endpoint.machine.stop("agent")


async def use_port_again(client: Client, flow: ClientFlow, until: float) -> list[str]:
    """Send requests until a time, a flow each after the first; return the unanswered.

    The endpoint closes each flow after its answer, so the client may open the next one
    from the same port at once.
    """
    unanswered = []
    for number in range(MAXIMUM_REQUESTS):
        path = f"/port-{flow.port}-{number}"
        if flow.received is not None and await flow.request(path, 1.0) is None:
            unanswered.append(path)
        if time.monotonic() >= until:
            break
        if await flow.wait(time.monotonic() + 0.5, lambda f=flow: f.server_ended):
            await flow.close()
        flow = ClientFlow(client, flow.port, ROUTE, flow.choose_balancer)
        await flow.open()
    return unanswered


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
