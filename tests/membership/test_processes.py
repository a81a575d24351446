"""Member processes that are killed or stopped, and the loss of a controller."""

import asyncio
from pathlib import Path

import pytest

from tests.membership.processes import run_deployment

OUT_WITHIN_S = 3.0
OTHERS = {"depot-1", "depot-2", "depot-3"}
ALL = OTHERS | {"depot-0"}
# Longer than a lease.
STOPPED_S = 4.0


async def test_killed_member_is_out_of_every_state_within_3_s(tmp_path: Path) -> None:
    async with run_deployment(tmp_path, 4) as deployment:
        deployment.get_process("depot-0").kill()
        await deployment.wait_agents(OTHERS, OUT_WITHIN_S)


async def test_stopped_member_wakes_without_its_lease(tmp_path: Path) -> None:
    async with run_deployment(tmp_path, 4) as deployment:
        process = deployment.get_process("depot-0")
        process.freeze()
        await deployment.wait_agents(OTHERS, STOPPED_S, stopped="depot-0")
        process.thaw()
        await deployment.wait_agents(ALL, 5.0)
        dump = await deployment.dump("depot-0")
        held = [holds for holds, _ in dump["leases"]]
        assert held == [True, False, True], dump["leases"]
        assert dump["woken"] == [False]
        (_, first), (_, woken), (_, again) = dump["leases"]
        assert first <= woken < again
        assert dump["generations"] == sorted(set(dump["generations"]))


@pytest.mark.parametrize("lost", ["leader", "follower"])
async def test_lost_controller_takes_no_member_out(tmp_path: Path, lost: str) -> None:
    async with run_deployment(tmp_path, 4) as deployment:
        leader = await deployment.find_leader()
        followers = [name for name in deployment.controllers if name != leader]
        name = leader if lost == "leader" else followers[0]
        before = await deployment.dump("depot-0")
        deployment.get_process(name).kill()
        await asyncio.sleep(STOPPED_S)
        assert await deployment.find_leader(without=name)
        await deployment.wait_agents(ALL, 1.0)
        after = await deployment.dump("depot-0")
        # A removal would have created a new generation.
        assert after["generation"] == before["generation"]
        assert after["leases"] == before["leases"]
