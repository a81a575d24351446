"""Measures agents' processor time per request and the memory of idle processes."""

import asyncio
from pathlib import Path
from typing import Final

from lentilfork.bench.caller_group import CallerGroup
from lentilfork.bench.capacity_slopes import Slope
from lentilfork.bench.capacity_slopes import fit_slope
from lentilfork.bench.capacity_slopes import read_process
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.workload import Kind

__all__ = ["measure_requests"]

SEED: Final = 1
CALLERS: Final = (2, 4, 8)
PAUSE_S: Final = 0.1
DURATION_S: Final = 3.0
ENDPOINTS: Final = 3
SERVICE: Final = "warnings"


def reduce_description(description: DeploymentDescription) -> DeploymentDescription:
    """Return a deployment with one service of a few endpoints of equal speed."""
    service = next(
        service
        for service in description.services
        if service.definition.name == SERVICE
    )
    changed = service.model_copy(
        update={
            "endpoints": ENDPOINTS,
            "speeds": (1.0,),
            "slots": 8,
            "service_time_ms": 2.0,
        }
    )
    return description.model_copy(update={"services": (changed,), "balancers": 1})


async def measure_requests(
    description: DeploymentDescription, folder: Path
) -> tuple[list[Slope], dict[str, float]]:
    """Return slopes of processor time by request kind, and idle memory by role."""
    points: dict[Kind, list[tuple[float, float]]] = {Kind.LOOKUP: [], Kind.CHANGE: []}
    async with Deployment(reduce_description(description), folder) as deployment:
        idle = {
            f"{role}, idle resident memory": float(
                read_process(deployment.get_process(name)).rss_bytes
            )
            for role, name in (
                ("balancer", "entry-1"),
                ("agent", f"{SERVICE}-1"),
                ("controller", "control-1"),
            )
        }
        for kind, kind_points in points.items():
            total, spent_s = 0, 0.0
            for callers in CALLERS:
                count, agents_s = await measure_callers(deployment, kind, callers)
                total, spent_s = total + count, spent_s + agents_s
                kind_points.append((total, spent_s))
    slopes = [
        fit_slope(f"agents, {kind.value} processor", "s", kind.value, kind_points)
        for kind, kind_points in points.items()
    ]
    return slopes, idle


async def measure_callers(
    deployment: Deployment, kind: Kind, callers: int
) -> tuple[int, float]:
    """Return the number of callers' requests and all agents' processor seconds."""
    agents = [deployment.get_process(name) for name in deployment.plan.endpoints]
    before = sum(read_process(agent).processor_s for agent in agents)
    caller_group = CallerGroup(deployment, {kind: callers}, {kind: PAUSE_S}, SEED)
    async with caller_group:
        await asyncio.sleep(DURATION_S)
    after = sum(read_process(agent).processor_s for agent in agents)
    return len(caller_group.records), after - before
