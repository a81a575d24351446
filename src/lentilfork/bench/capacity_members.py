"""Measures how the cost of control grows with the number of members."""

import asyncio
from pathlib import Path
from typing import Final

from lentilfork.bench.capacity_slopes import Reading
from lentilfork.bench.capacity_slopes import Slope
from lentilfork.bench.capacity_slopes import fit_slope
from lentilfork.bench.capacity_slopes import read_process
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.meter import ControlMeter
from lentilfork.bench.processes import wait_until
from lentilfork.schema import state_pb2

__all__ = ["measure_members"]

SEED: Final = 1
# Simulated members added at each step, which gives totals of 50, 100 and 200.
STEPS: Final = (50, 50, 100)
CHANGES: Final = 10
CHANGE_PAUSE_S: Final = 0.4
STEADY_S: Final = 5.0
SETTLE_S: Final = 2.0
JOIN_TIMEOUT_S: Final = 40.0
JOINS_PER_S: Final = 50
BALANCER: Final = "entry-1"


class MemberMeasurement:
    """Measures real controllers and a real balancer as simulated members are added."""

    deployment: Deployment
    meter: ControlMeter
    members: int
    # Measured points (number of members, value) by slope name.
    points: dict[str, list[tuple[float, float]]]

    def __init__(self, deployment: Deployment, meter: ControlMeter) -> None:
        self.deployment = deployment
        self.meter = meter
        self.members = 0
        self.points = {}

    def record_point(self, name: str, value: float) -> None:
        """Record one point at the current number of members."""
        self.points.setdefault(name, []).append((self.members, value))

    def read_processes(self) -> dict[str, Reading]:
        """Return the resource use of each controller and the balancer."""
        names = (*self.deployment.plan.controllers, BALANCER)
        return {name: read_process(self.deployment.get_process(name)) for name in names}

    def count_bytes(self) -> int:
        """Return the bytes between the balancer and all controllers so far."""
        return self.meter.count_bytes().get(BALANCER, 0)

    async def add_members(self, count: int) -> None:
        """Start simulated members and wait until all are admitted."""
        self.members += count
        name = f"members-{self.members}"
        addresses = self.deployment.operator.controllers
        arguments = (name, str(count), str(JOINS_PER_S), *addresses)
        process = self.deployment.group.add(
            name, "-m", "lentilfork.bench.receivers", *arguments
        )
        process.start()
        await wait_until(lambda: process.count_output_lines() > 0, JOIN_TIMEOUT_S, name)

    async def measure_steady(self) -> tuple[float, float]:
        """Record the steady cost; return the busiest controller's cores and bytes/s."""
        await asyncio.sleep(SETTLE_S)
        before, bytes_before = self.read_processes(), self.count_bytes()
        await asyncio.sleep(STEADY_S)
        after, bytes_after = self.read_processes(), self.count_bytes()
        rates = compute_rates(before, after)
        byte_rate = (bytes_after - bytes_before) / STEADY_S
        busiest_cores = max(rates[name] for name in self.deployment.plan.controllers)
        self.record_point("controller, steady processor", busiest_cores)
        self.record_point("balancer, steady processor", rates[BALANCER])
        self.record_point("balancer, steady bytes", byte_rate)
        rss = max(after[name].rss_bytes for name in self.deployment.plan.controllers)
        self.record_point("controller, resident memory", rss)
        self.record_point("balancer, resident memory", after[BALANCER].rss_bytes)
        return busiest_cores, byte_rate

    async def measure_changes(
        self, steady_cores: float, steady_byte_rate: float
    ) -> None:
        """Record the cost of one change, less the steady cost."""
        before, bytes_before = self.read_processes(), self.count_bytes()
        for number in range(CHANGES):
            await self.deployment.operator.apply_service(make_service(number))
            await asyncio.sleep(CHANGE_PAUSE_S)
        after, bytes_after = self.read_processes(), self.count_bytes()
        elapsed_s = after[BALANCER].at_s - before[BALANCER].at_s
        processor_s = max(
            after[name].processor_s - before[name].processor_s
            for name in self.deployment.plan.controllers
        )
        self.record_point(
            "controller, change processor",
            processor_s / CHANGES - steady_cores * elapsed_s / CHANGES,
        )
        total_bytes = bytes_after - bytes_before - steady_byte_rate * elapsed_s
        self.record_point("balancer, change bytes", total_bytes / CHANGES)

    async def run(self) -> None:
        """Measure steady and change costs at each number of members."""
        await self.deployment.operator.apply_service(make_service(CHANGES))
        for step in STEPS:
            await self.add_members(step)
            busiest_cores, byte_rate = await self.measure_steady()
            await self.measure_changes(busiest_cores, byte_rate)


def compute_rates(
    before: dict[str, Reading], after: dict[str, Reading]
) -> dict[str, float]:
    """Return the processor cores that each process used between two readings."""
    return {
        name: (now.processor_s - before[name].processor_s)
        / (now.at_s - before[name].at_s)
        for name, now in after.items()
    }


def make_service(number: int) -> state_pb2.Service:
    """Return a definition whose deadline differs for each number."""
    return state_pb2.Service(
        name="service-0", address="10.9.0.1", port=5683, deadline_ms=2_000 + number
    )


UNITS: Final = {
    "controller, steady processor": "core",
    "balancer, steady processor": "core",
    "balancer, steady bytes": "B/s",
    "controller, resident memory": "B",
    "balancer, resident memory": "B",
    "controller, change processor": "s",
    "balancer, change bytes": "B",
}


async def measure_members(folder: Path) -> list[Slope]:
    """Return slopes of control costs against the number of members."""
    description = DeploymentDescription(name="capacity", balancers=1, services=())
    meter = ControlMeter(SEED)
    try:
        async with Deployment(description, folder, meter) as deployment:
            measurement = MemberMeasurement(deployment, meter)
            await measurement.run()
    finally:
        meter.close()
    return [
        fit_slope(name, unit, "member", measurement.points[name])
        for name, unit in UNITS.items()
    ]
