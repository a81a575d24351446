"""Controller processes: changes by operators, status and drain."""

import asyncio
from pathlib import Path

from lentilfork.schema import admin_pb2
from lentilfork.schema import admin_pb2_grpc
from lentilfork.schema import state_pb2
from tests.membership.processes import Deployment
from tests.membership.processes import run_deployment
from tests.membership.processes import wait_until


def make_change(
    change_id: str, deadline_ms: int, expected: int | None = None
) -> state_pb2.Change:
    service = state_pb2.Service(
        name="signs", address="10.9.0.1", port=5683, deadline_ms=deadline_ms
    )
    change = state_pb2.Change(
        change_id=change_id, operator="ana", apply_service=service
    )
    if expected is not None:
        change.expected_version = expected
    return change


async def list_followers(deployment: Deployment) -> list[str]:
    leader = await deployment.find_leader()
    return [name for name in deployment.controllers if name != leader]


async def test_change_through_any_controller_is_applied_everywhere(
    tmp_path: Path,
) -> None:
    async with run_deployment(tmp_path, 3) as deployment:
        follower, other = await list_followers(deployment)
        first = (await deployment.submit(follower, make_change("a", 2_000))).result
        assert first.outcome == state_pb2.ACCEPTED

        async def is_applied() -> bool:
            status = await deployment.get_status(other)
            return len(status.members) == 6 and all(
                member.generation >= first.generation and not member.reason
                for member in status.members
            )

        assert await wait_until(is_applied, "applied everywhere", 5.0) < 2.0
        repeated = (await deployment.submit(other, make_change("a", 9_000))).result
        assert repeated == first
        concurrent_calls = [
            deployment.submit(name, make_change(name, 3_000, first.generation))
            for name in (follower, other)
        ]
        results = [reply.result for reply in await asyncio.gather(*concurrent_calls)]
        accepted, conflicting = sorted(results, key=lambda result: result.outcome)
        assert accepted.outcome == state_pb2.ACCEPTED
        assert conflicting.outcome == state_pb2.VERSION_CONFLICT
        assert conflicting.conflict.change_id == accepted.change_id


async def test_operators_cannot_submit_system_changes(
    tmp_path: Path,
) -> None:
    async with run_deployment(tmp_path, 1) as deployment:
        leader = await deployment.find_leader()
        removal = state_pb2.Voter(agent="depot-0", incarnation=1)
        change = state_pb2.Change(change_id="x", operator="ana", remove_agent=removal)
        reply = await deployment.submit(leader, change)
        assert reply.refused.startswith("not accepted: operators cannot")
        unsigned = make_change("y", 2_000)
        unsigned.operator = ""
        assert (await deployment.submit(leader, unsigned)).refused


async def test_without_a_majority_changes_are_answered_within_5_s(
    tmp_path: Path,
) -> None:
    async with run_deployment(tmp_path, 1) as deployment:
        follower, other = await list_followers(deployment)
        leader = await deployment.find_leader()
        generation = (await deployment.get_state(follower)).generation
        for name in (leader, other):
            deployment.get_process(name).pause()
        # `submit` itself gives up after 5 s.
        reply = await deployment.submit(follower, make_change("a", 2_000))
        assert reply.outcome_unknown or reply.refused.startswith("not accepted")
        status = await deployment.get_status(follower)
        assert status.generation == generation
        member = next(item for item in status.members if item.name == "depot-0")
        assert member.state == "silent"


async def test_drained_leader_steps_down_and_its_members_move(tmp_path: Path) -> None:
    async with run_deployment(tmp_path, 4) as deployment:
        leader = await deployment.find_leader()
        follower = next(iter(await list_followers(deployment)))
        before = await deployment.dump("depot-0")
        pending_calls = [
            asyncio.create_task(deployment.submit(leader, make_change(f"c{n}", 2_000)))
            for n in range(20)
        ]
        await asyncio.sleep(0)
        process = deployment.get_process(leader)
        process.terminate()
        assert await process.wait_exit() == 0
        replies = await asyncio.gather(*pending_calls, return_exceptions=True)
        answered = [
            reply for reply in replies if isinstance(reply, admin_pb2.SubmitReply)
        ]
        accepted = {
            reply.result.change_id for reply in answered if reply.HasField("result")
        }
        assert await deployment.find_leader(without=leader)
        stub = admin_pb2_grpc.AdministrationStub(
            deployment.channels.get(deployment.controllers[follower])
        )
        history = await stub.GetHistory(admin_pb2.GetHistoryRequest(), timeout=5)
        assert accepted <= {entry.change_id for entry in history.entries}
        await deployment.wait_agents({f"depot-{n}" for n in range(4)}, 5.0)
        after = await deployment.dump("depot-0")
        assert after["leases"] == before["leases"]
        assert deployment.controllers[leader] not in after["joined"]


async def test_watch_shows_each_new_generation(tmp_path: Path) -> None:
    async with run_deployment(tmp_path, 1) as deployment:
        follower, other = await list_followers(deployment)
        stub = admin_pb2_grpc.AdministrationStub(
            deployment.channels.get(deployment.controllers[follower])
        )
        watch = stub.Watch(admin_pb2.GetStatusRequest(), timeout=30)
        first = await watch.read()
        assert isinstance(first, admin_pb2.Status)
        accepted = await deployment.submit(other, make_change("a", 2_000))
        while True:
            status = await watch.read()
            assert isinstance(status, admin_pb2.Status)
            assert status.generation >= first.generation
            if status.generation >= accepted.result.generation:
                break
        watch.cancel()
