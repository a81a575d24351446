"""Failures under load: effects on callers of killed processes and lost packets."""

import asyncio
import time
from pathlib import Path

import pytest

from lentilfork.bench.caller_group import CallerGroup
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.outcomes import Outcome
from lentilfork.bench.outcomes import Record
from lentilfork.bench.proxied_wiring import ProxiedWiring
from lentilfork.bench.verdict import evaluate_run
from lentilfork.bench.workload import Kind
from tests.deployments import SEED
from tests.deployments import SMALL_CALLER_COUNTS
from tests.deployments import load_example
from tests.deployments import open_deployment
from tests.deployments import print_broken

pytestmark = pytest.mark.deployment

PAUSES_S = {Kind.LOOKUP: 0.3, Kind.CHANGE: 0.3, Kind.DOWNLOAD: 0.3}
SETTLE_S = 3.0
# Time for which the network fabric still sends packets to a killed balancer.
FABRIC_LAG_S = 1.0
# Time after the loss of an agent from which all new flows must succeed.
RECOVERY_S = 3.0
# An answer that took longer than this was an answer to a retransmission.
FIRST_RETRANSMISSION_S = 2.0


async def run_with_kill(
    deployment: Deployment, *names: str
) -> tuple[list[Record], float]:
    """Kill processes under load; return the records and the time of the kill."""
    async with CallerGroup(
        deployment, SMALL_CALLER_COUNTS, PAUSES_S, SEED
    ) as caller_group:
        await asyncio.sleep(SETTLE_S)
        killed_at = time.time()
        for name in names:
            deployment.get_process(name).kill()
        await asyncio.sleep(FABRIC_LAG_S)
        for name in names:
            if name in deployment.enabled_balancers:
                await deployment.set_balancer_enabled(name, enabled=False)
        await asyncio.sleep(RECOVERY_S + SETTLE_S)
    print_broken(caller_group.records)
    return caller_group.records, killed_at


async def test_killed_balancer_breaks_no_flow(tmp_path: Path) -> None:
    async with open_deployment(load_example("guild"), tmp_path) as deployment:
        records, _ = await run_with_kill(deployment, "entry-1")
        verdict = evaluate_run(records, deployment.list_runs())
    assert verdict.passed, verdict
    assert verdict.sent > 200


LOSSES = {
    "agent": ("warnings-4",),
    "backend server": ("server-warnings-4",),
    "both": ("warnings-4", "server-warnings-4"),
    "two hosts at once": ("warnings-4", "warnings-7", "server-warnings-4"),
    "long flows' agent": ("artwork-3", "server-artwork-3"),
}


@pytest.mark.parametrize("loss", LOSSES)
async def test_killed_endpoint_affects_only_requests_on_it(
    loss: str, tmp_path: Path
) -> None:
    async with open_deployment(load_example("guild"), tmp_path) as deployment:
        records, killed_at = await run_with_kill(deployment, *LOSSES[loss])
        verdict = evaluate_run(records, deployment.list_runs())
    assert (verdict.broken, verdict.wrong, verdict.doubled) == (0, 0, 0), verdict
    later = [r for r in records if r.started > killed_at + RECOVERY_S]
    assert len(later) > 100
    assert {record.outcome for record in later} == {Outcome.COMPLETE}
    slow = [
        record
        for record in later
        if record.request.kind is not Kind.DOWNLOAD
        and record.latency_s > FIRST_RETRANSMISSION_S
    ]
    assert not slow


@pytest.mark.parametrize("name", ["guild", "orchestra"])
async def test_lost_duplicated_and_late_packets_cause_no_wrong_result(
    name: str, tmp_path: Path
) -> None:
    wiring = ProxiedWiring(SEED)
    async with open_deployment(load_example(name), tmp_path, wiring) as deployment:
        for pattern in ("fabric>entry-*", "[*]>*", "*>fabric"):
            wiring.apply(pattern, drop=0.05, duplicate=0.02, reorder=0.3, reorder_ms=50)
        for path, kind in wiring.proxies:
            if kind == "tcp":
                wiring.proxies[path, kind].apply({"drop": 0.0})
        async with CallerGroup(
            deployment, SMALL_CALLER_COUNTS, PAUSES_S, SEED
        ) as caller_group:
            await asyncio.sleep(20)
        runs = deployment.list_runs()
    verdict = evaluate_run(caller_group.records, runs)
    print(verdict)
    assert verdict.sent > 500
    assert (verdict.wrong, verdict.doubled) == (0, 0), verdict
