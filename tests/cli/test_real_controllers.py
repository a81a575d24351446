"""The operator command against a system of real processes."""

import asyncio
import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from lentilfork.bench.deployment import Deployment
from lentilfork.errors import ExitCode
from tests.cli.standin import CommandResult
from tests.cli.standin import run_command
from tests.deployments import load_example
from tests.deployments import open_deployment

# Long enough for a machine that is busy with other tests.
WAIT_S = "30"


@pytest.fixture
async def deployment(tmp_path: Path) -> AsyncIterator[Deployment]:
    """Run three controllers, a balancer and one endpoint."""
    example = load_example("guild")
    service = example.services[0].model_copy(update={"endpoints": 1})
    reduced = example.model_copy(update={"balancers": 1, "services": (service,)})
    async with open_deployment(reduced, tmp_path) as running:
        yield running


async def run(deployment: Deployment, *arguments: str, first: int = 0) -> CommandResult:
    """Run a command that tries the controllers in order from the `first` one on."""
    hosts = list(deployment.plan.controllers.values())
    addresses = [host.control_address for host in (*hosts[first:], *hosts[:first])]
    return await run_command(*arguments, LENTILFORK_CONTROLLERS=",".join(addresses))


async def find_preset_version(deployment: Deployment, name: str) -> int:
    listed = await run(deployment, "preset", "list", "--json")
    return next(
        int(preset["version"])
        for preset in json.loads(listed.output)
        if preset["name"] == name
    )


async def test_only_one_of_two_changes_with_equal_expected_versions_is_accepted(
    deployment: Deployment,
) -> None:
    version = await find_preset_version(deployment, "peak")
    limits = {"queue_per_slot": 3, "queue_time_ms": 500, "retry_budget_percent": 5}
    times = {"drain_ms": 1000, "cold_start_ms": 0}
    preset = {"name": "peak", **limits, **times}
    path = deployment.write_file("race.json", preset)
    command = ("preset", "apply", path, "--expect", str(version))
    results = await asyncio.gather(
        run(deployment, *command, "--operator", "ama", "--change-id", "race-a"),
        run(deployment, *command, "--operator", "nimal", "--change-id", "race-b"),
    )
    assert sorted(result.code for result in results) == [ExitCode.OK, ExitCode.REFUSED]
    (accepted, refused) = sorted(results, key=lambda result: result.code)
    operator, suffix = ("ama", "a") if accepted is results[0] else ("nimal", "b")
    assert f"by {operator} came first" in refused.errors
    assert f"change id race-{suffix}" in refused.errors
    resent = await run(deployment, *command, "--change-id", f"race-{suffix}", first=1)
    assert resent.output == accepted.output


async def test_frozen_member_is_named_as_lagging_until_it_resumes(
    deployment: Deployment,
) -> None:
    use = ("preset", "use", "peak", "--change-id", "use-1", "--wait")
    balancer = deployment.get_process("entry-1")
    balancer.pause()
    try:
        waited = await run(deployment, *use, "4")
    finally:
        balancer.resume()
    assert waited.code == ExitCode.LAGGING, waited.errors
    assert "waiting for entry-1 (at" in waited.errors.splitlines()[-1]
    resent = await run(deployment, *use, WAIT_S)
    assert resent.code == ExitCode.OK, resent.errors
    assert resent.output == waited.output
    dump = json.loads((await run(deployment, "dump", "entry-1")).output)
    (version,) = [
        entry["generation"]
        for entry in json.loads((await run(deployment, "history", "--json")).output)
        if entry["change_id"] == "use-1"
    ]
    assert dump["feed"]["generation"] >= version


async def test_loss_of_the_majority_is_reported_and_changes_do_not_succeed(
    deployment: Deployment,
) -> None:
    use = ("preset", "use", "peak", "--change-id", "use-2")
    killed = [deployment.get_process(f"control-{number}") for number in (1, 2)]
    for process in killed:
        process.kill()
    async with asyncio.timeout(60):
        while "leader: none known" not in (await run(deployment, "status")).output:
            await asyncio.sleep(0.1)
    refused = await run(deployment, *use, "--timeout", "2")
    assert refused.code in {ExitCode.REFUSED, ExitCode.UNKNOWN}
    services = await run(deployment, "service", "list")
    assert services.code == ExitCode.OK
    assert "may be out of date" in services.errors
    for process in killed:
        process.start()
    accepted = await run(deployment, *use, "--timeout", WAIT_S, "--wait", WAIT_S)
    assert accepted.code == ExitCode.OK, accepted.errors


# Guards against members that cannot read the delta of an evacuation, and against a
# command that only the leader's build supports.
async def test_data_centre_is_evacuated_and_restored(deployment: Deployment) -> None:
    members = json.loads((await run(deployment, "members", "--json")).output)
    name = next(item["data_centre"] for item in members if item["role"] == "agent")
    for number, (command, shown) in enumerate(
        (("evacuate", [name]), ("restore", []), ("evacuate", [name]))
    ):
        changed = await run(deployment, command, name, "--wait", WAIT_S, first=number)
        assert changed.code == ExitCode.OK, changed.errors
        status = await run(deployment, "status", "--json", first=number)
        assert json.loads(status.output)["evacuated"] == shown
    history = await run(deployment, "history")
    assert f"end evacuation/{name}" in history.output
