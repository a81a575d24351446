"""Member processes that are killed or stopped, and the loss of a controller."""

import asyncio
from pathlib import Path

import pytest

from tests.membership.processes import run_deployment

REMOVAL_LIMIT_S = 3.0
OTHER_MEMBERS = {"depot-1", "depot-2", "depot-3"}
ALL_MEMBERS = OTHER_MEMBERS | {"depot-0"}
LONGER_THAN_LEASE_S = 4.0


async def test_killed_member_is_removed_from_every_state_within_3_s(
    tmp_path: Path,
) -> None:
    async with run_deployment(tmp_path, 4) as deployment:
        deployment.get_process("depot-0").kill()
        await deployment.wait_agents(OTHER_MEMBERS, REMOVAL_LIMIT_S)


async def test_stopped_member_resumes_without_its_lease(tmp_path: Path) -> None:
    async with run_deployment(tmp_path, 4) as deployment:
        process = deployment.get_process("depot-0")
        process.pause()
        # The controllers may remove the member before the member's own view of its
        # lease, which began with a later heartbeat, is void.
        async with asyncio.TaskGroup() as group:
            group.create_task(asyncio.sleep(LONGER_THAN_LEASE_S))
            group.create_task(
                deployment.wait_agents(
                    OTHER_MEMBERS, LONGER_THAN_LEASE_S, stopped="depot-0"
                )
            )
        process.resume()
        await deployment.wait_agents(ALL_MEMBERS, 5.0)
        dump = await deployment.dump("depot-0")
        validities = [is_valid for is_valid, _ in dump["leases"]]
        assert validities == [True, False, True], dump["leases"]
        assert dump["woken"] == [False]
        (_, first), (_, resumed), (_, readmitted) = dump["leases"]
        assert first <= resumed < readmitted
        assert dump["generations"] == sorted(set(dump["generations"]))


@pytest.mark.parametrize("lost", ["leader", "follower"])
async def test_lost_controller_removes_no_member(tmp_path: Path, lost: str) -> None:
    async with run_deployment(tmp_path, 4) as deployment:
        leader = await deployment.find_leader()
        followers = [name for name in deployment.controllers if name != leader]
        name = leader if lost == "leader" else followers[0]
        before = await deployment.dump("depot-0")
        deployment.get_process(name).kill()
        await asyncio.sleep(LONGER_THAN_LEASE_S)
        assert await deployment.find_leader(without=name)
        await deployment.wait_agents(ALL_MEMBERS, 1.0)
        after = await deployment.dump("depot-0")
        # A removal would have created a new generation.
        assert after["generation"] == before["generation"]
        assert after["leases"] == before["leases"]
