"""A leaving endpoint gets no new work after 3 s and completes its running work."""

import asyncio
import time
from pathlib import Path

import pytest

from lentilfork.bench.caller_group import CallerGroup
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.verdict import evaluate_run
from lentilfork.bench.workload import Kind
from tests.deployments import SEED
from tests.deployments import SMALL_CALLER_COUNTS
from tests.deployments import load_example
from tests.deployments import open_deployment
from tests.deployments import print_broken

pytestmark = pytest.mark.deployment

PAUSES_S = {Kind.LOOKUP: 0.2, Kind.CHANGE: 0.2, Kind.DOWNLOAD: 0.3}
NEW_WORK_S = 3.0
BEFORE_S = 2.0
AFTER_S = 6.0
LEAVING = ("warnings-7", "artwork-3")


async def drain_server(deployment: Deployment, agent: str) -> None:
    await deployment.set_behaviour(agent, draining=True)


async def stop_agent(deployment: Deployment, agent: str) -> None:
    deployment.get_process(agent).terminate()


LEAVE_METHODS = {"backend server drains": drain_server, "agent is stopped": stop_agent}


@pytest.mark.parametrize("leave_method", LEAVE_METHODS)
async def test_leaving_endpoint_gets_no_new_work(
    leave_method: str, tmp_path: Path
) -> None:
    async with open_deployment(load_example("guild"), tmp_path) as deployment:
        async with CallerGroup(
            deployment, SMALL_CALLER_COUNTS, PAUSES_S, SEED
        ) as caller_group:
            await asyncio.sleep(BEFORE_S)
            leaving_at = time.time()
            for agent in LEAVING:
                await LEAVE_METHODS[leave_method](deployment, agent)
            await asyncio.sleep(AFTER_S)
        runs = deployment.list_runs()
    print_broken(caller_group.records)
    servers = {f"server-{agent}" for agent in LEAVING}
    on_leaving = [run.started for run in runs if run.server in servers]
    assert any(started < leaving_at for started in on_leaving)
    assert [s for s in on_leaving if s > leaving_at + NEW_WORK_S] == []
    verdict = evaluate_run(caller_group.records, runs)
    assert verdict.passed, verdict
    assert verdict.complete == verdict.sent
