"""Deployments of real processes on loopback, for variants of the cases in `review/`.

Callers, backend servers, routers and operators are the stand-ins of the review.
Processes are started with this interpreter, so no build of the deploy file is needed.
"""

import asyncio
import importlib.util
import shutil
import signal
import sys
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from typing import Final

__all__ = [
    "ZONES",
    "FlowStand",
    "load_stand_ins",
    "lose_disks",
    "make_fleet",
    "run_fleet",
]

ROOT: Final = Path(__file__).resolve().parents[2]
ZONES: Final = ("kandy-a", "nuwara-b", "badulla-c")
SERVICES: Final = ("pack-store", "pack-store-next", "pack-store-last")
FLOWS: Final = 12
# Second octets of the loopback addresses of fleets, and ports in the deploy file.
FIRST_NETWORK: Final = 16
LAST_NETWORK: Final = 249
METRICS_PORTS: Final = (9464, 9465, 9466)
# Lines of the deploy file run without site-packages.
INTERPRETER_WORDS: Final = 2
SETTLE_S: Final = 4.0
OPENING_TIMEOUT_S: Final = 3.0
ANSWER_TIMEOUT_S: Final = 5.0
PAUSE_S: Final = 0.4
# Rule FLOW: this many packets elsewhere and none at the holder within this time.
MINIMUM_PACKETS: Final = 3
REORDER_S: Final = 2.0


def load_stand_ins() -> Any:
    """Return the module of the review's stand-ins."""
    name = "review_stand_ins"
    if name not in sys.modules:
        path = ROOT / "review/common/stand.py"
        spec = importlib.util.spec_from_file_location(name, path)
        assert spec is not None
        assert spec.loader is not None
        sys.modules[name] = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(sys.modules[name])
    return sys.modules[name]


def make_fleet(folder: Path, **options: Any) -> Any:
    """Return a fleet of the stand-ins whose routes may have weighted services."""

    class WeightedFleet(load_stand_ins().Fleet):  # type: ignore[misc]
        """Fleet in which the service of a route may be a dictionary of weights."""

        routes: dict[str, Any]

        def make_configuration(self, version: int) -> dict[str, Any]:
            """Return the body of a configuration with the present routes."""
            routes = self.routes
            weights = {
                name: route["service"]
                for name, route in routes.items()
                if isinstance(route["service"], dict)
            }
            self.routes = {
                name: route | {"service": next(iter(weights.get(name, [""])))}
                if name in weights
                else route
                for name, route in routes.items()
            }
            body: dict[str, Any] = super().make_configuration(version)
            self.routes = routes
            for route in body["routes"]:
                if route["name"] in weights:
                    del route["service"]
                    route["backends"] = [
                        {"service": service, "weight": weight}
                        for service, weight in weights[route["name"]].items()
                    ]
            known = {item["name"] for item in body["services"]}
            extra = {service for item in weights.values() for service in item} - known
            body["services"] += [
                body["services"][0] | {"name": name} for name in sorted(extra)
            ]
            return body

    fleet = WeightedFleet(folder, **options)
    fleet.net = choose_network(fleet.net)
    fleet.run_lines = {
        role: [sys.executable, *words[INTERPRETER_WORDS:]]
        for role, words in fleet.run_lines.items()
    }
    return fleet


def choose_network(first: int) -> int:
    """Return the second octet of loopback addresses that no other fleet uses.

    All processes of a role have the same port for their metrics, which the fleets don't
    choose, so two of them with the same addresses can't run.
    """
    is_free = load_stand_ins().is_free
    span = LAST_NETWORK - FIRST_NETWORK + 1
    for step in range(span):
        network = FIRST_NETWORK + (first - FIRST_NETWORK + step) % span
        if all(is_free(f"127.{network}.1.1", port) for port in METRICS_PORTS):
            return network
    raise RuntimeError("all loopback networks are in use")


async def run_fleet(fleet: Any, play: Callable[[], Awaitable[list[str]]]) -> list[str]:
    """Play a variant and stop the fleet; return what was broken."""
    try:
        return [*await play(), *fleet.broken]
    finally:
        await fleet.stop()


class FlowStand:
    """Three services with an agent in each data centre, and callers with open flows."""

    fleet: Any
    route: tuple[int, int]
    clients: list[Any]
    flows: list[Any]
    tasks: list["asyncio.Task[None]"]
    stop_at: float

    def __init__(self, fleet: Any) -> None:
        self.fleet = fleet
        self.clients = []
        self.flows = []
        self.tasks = []
        self.stop_at = 0.0

    async def start(
        self, weights: str | dict[str, int], services: Iterable[str] = SERVICES
    ) -> None:
        """Start all processes and stand-ins; the route gets `weights`."""
        fleet = self.fleet
        for zone in ZONES:
            fleet.add_machine(f"edge-{zone}-1", "edge", zone, disk=True)
        sides = [
            fleet.add_machine(f"side-{zone}-{service}", "side", zone, service=service)
            for service in services
            for zone in ZONES
        ]
        await fleet.start()
        self.route = fleet.add_route(
            "artwork-pack",
            weights,
            1,
            type="download",
            timeout_ms=5000,
            target_ms=500,
        )
        for index, side in enumerate(sides, 1):
            await fleet.add_endpoint(side, f"i-{index:08x}", slots=4)
        await fleet.configure()
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_S)
        for index, zone in enumerate(ZONES, 1):
            client = load_stand_ins().Client(fleet, fleet.client_ip(index), zone)
            await client.start()
            self.clients.append(client)

    async def open_flows(self, duration_s: float, count: int = FLOWS) -> None:
        """Open flows that send requests, with pauses, for some time."""
        self.stop_at = time.monotonic() + duration_s
        for index in range(count):
            flow = self.clients[index % len(self.clients)].make_flow(self.route)
            self.flows.append(flow)
            self.tasks.append(asyncio.create_task(self.use_flow(flow)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(1.0)

    async def use_flow(self, flow: Any) -> None:
        """Open a flow and send requests on it until the time is up."""
        flow.open()
        async with asyncio.timeout(OPENING_TIMEOUT_S):
            await flow.opened.wait()
        count = 0
        while time.monotonic() < self.stop_at and not flow.ended.is_set():
            count += 1
            await flow.request(f"{flow.name}-{count}", ANSWER_TIMEOUT_S)
            await asyncio.sleep(PAUSE_S)

    async def change_route(self, weights: str | dict[str, int]) -> None:
        """Give the route other services; return once that is acknowledged."""
        self.fleet.routes["artwork-pack"]["service"] = weights
        await self.fleet.configure(5.0)

    def list_machines(self, role: str, service: str | None = None) -> list[Any]:
        """Return the machines that run a role, for agents those of a service."""
        return [
            machine
            for machine in self.fleet.machines.values()
            if (machine.name, role) in self.fleet.processes
            and service in (None, machine.service)
        ]

    async def restart(self, role: str, machines: Iterable[Any]) -> None:
        """Kill processes of a role at the same moment and start them again."""
        chosen = list(machines)
        for machine in chosen:
            self.fleet.signal_process(machine, role, signal.SIGKILL)
        for machine in chosen:
            await self.fleet.wait_process(machine, role, 2.0)
        for machine in chosen:
            self.fleet.start_process(machine, role)

    def find_holder(self, flow: Any) -> Any:
        """Return the endpoint at which a flow is open, or None if it crashed."""
        holder, _ = self.fleet.opened.get(flow.key, (None, 0.0))
        return holder if holder is not None and holder.alive else None

    async def finish(self, since: float) -> list[str]:
        """Wait for the callers; return what was broken from a time on.

        Besides the rule, each flow whose endpoint lives has to get its last answer.
        """
        await asyncio.gather(*self.tasks)
        breaks = []
        for flow in self.flows:
            holder = self.find_holder(flow)
            if holder is None:
                continue
            if flow.resets:
                breaks.append(f"FLOW: {flow.name}, open at {holder.id}, got a reset")
            astray = self.count_astray(flow, holder, since)
            if astray:
                breaks.append(f"FLOW: {astray} packets of {flow.name} went astray")
            last = f"{flow.name}-"
            sent = [item for item in self.fleet.sent if item.startswith(last)]
            if len(flow.answers) < len(sent):
                breaks.append(f"{flow.name} is open at {holder.id} and got no answer")
        return breaks

    def count_astray(self, flow: Any, holder: Any, since: float) -> int:
        """Return how many packets went elsewhere while none reached the holder."""
        own = [at for at, key, _, _ in holder.packets if key == flow.key]
        others: list[float] = sorted(
            at
            for endpoint in self.fleet.endpoints.values()
            if endpoint is not holder
            for at, key, _, _ in endpoint.packets
            if key == flow.key and at >= since
        )
        for start in others:
            end = start + REORDER_S
            astray = sum(start <= at <= end for at in others)
            if astray < MINIMUM_PACKETS or others[-1] < end:
                continue
            if not any(start <= at <= end for at in own):
                return astray
        return 0


async def lose_disks(fleet: Any, machines: Iterable[Any], down_s: float) -> None:
    """Kill the processes of machines, empty their disks and start them again."""
    chosen = list(machines)
    for machine in chosen:
        for role in ("controller", "balancer"):
            fleet.signal_process(machine, role, signal.SIGKILL)
    for machine in chosen:
        for role in ("controller", "balancer"):
            await fleet.wait_process(machine, role, 2.0)
        shutil.rmtree(fleet.temp / f"data-{machine.name}")
    await asyncio.sleep(down_s)
    for machine in chosen:
        for role in ("controller", "balancer"):
            fleet.start_process(machine, role)
