"""Members join, apply generations in order and fail over."""

import asyncio

import grpc.aio
import pytest

from lentilfork.schema import control_pb2
from lentilfork.schema import control_pb2_grpc
from lentilfork.schema import state_pb2
from lentilfork.state import compute_digest
from lentilfork.state import encode_snapshot
from tests.membership.cluster import Member
from tests.membership.cluster import run_cluster
from tests.membership.cluster import wait_for


async def test_member_joins_and_receives_deltas() -> None:
    async with run_cluster() as cluster:
        member = await cluster.add_member("depot-1")
        assert member.membership.state.agents["depot-1"].incarnation == 1
        snapshot_bytes = member.counters.get("control.bytes_in")
        cluster.log.apply_changes(1)
        await wait_for(
            lambda: member.membership.state == cluster.log.state.cluster,
            "state applied",
        )
        assert member.counters.get("control.bytes_in") - snapshot_bytes < 200


async def test_restarted_member_catches_up_on_300_changes_in_one_update() -> None:
    async with run_cluster() as cluster:
        cluster.log.apply_changes(300)
        member = await cluster.add_member("depot-1")
        generations = list(member.membership.history)
        assert generations[0] == 0
        assert generations[1] >= 300


async def test_member_moves_to_another_controller() -> None:
    async with run_cluster() as cluster:
        member = await cluster.add_member("depot-1")
        joined = next(
            item
            for item in cluster.controllers
            if item.address == member.membership.controller
        )
        await joined.stop()
        if cluster.log.leader is joined:
            cluster.log.leader = cluster.log.controllers[0]
        cluster.log.apply_changes(1)
        await wait_for(
            lambda: member.membership.state == cluster.log.state.cluster, "moved", 5.0
        )
        assert "depot-1" in cluster.log.state.cluster.agents


async def test_lower_generation_is_refused() -> None:
    async with run_cluster() as cluster:
        cluster.log.apply_changes(1)
        outdated_state = cluster.log.state.cluster
        cluster.log.apply_changes(20)
        member = await cluster.add_member("depot-1")
        previous_generation = member.membership.state.generation
        update = control_pb2.Update(
            snapshot=encode_snapshot(outdated_state),
            digest=compute_digest(outdated_state),
        )
        member.membership.handle_update(update)
        assert member.membership.state.generation >= previous_generation
        assert member.counters.get("feed.refused", "lower generation") == 1


async def test_start_at_a_cut_off_controller_applies_no_old_state() -> None:
    async with run_cluster() as cluster:
        cluster.log.apply_changes(5)
        outdated_controller = cluster.controllers[2]
        outdated_controller.connected = False
        cluster.log.apply_changes(5)
        member = Member("depot-1", cluster.addresses)
        cluster.members.append(member)
        member.membership.candidates = [outdated_controller.address]
        member.start()
        await wait_for(
            lambda: member.membership.received.generation == 5, "old state received"
        )
        assert member.membership.state.generation == 0
        await wait_for(lambda: member.membership.has_valid_lease, "admitted by another")
        assert member.membership.history[1] >= 10


async def test_damaged_delta_is_replaced_by_a_snapshot() -> None:
    async with run_cluster() as cluster:
        cluster.log.apply_changes(1)
        member = await cluster.add_member("depot-1")
        state = member.membership.state
        damaged = state_pb2.Delta(
            base=state.generation, generation=state.generation + 1, digest=1
        )
        member.membership.handle_update(control_pb2.Update(delta=damaged))
        assert member.membership.state == state
        assert member.counters.get("feed.refused", "delta") == 1
        assert member.membership.want_snapshot
        await wait_for(lambda: not member.membership.want_snapshot, "snapshot received")


class CancelledCall:
    """A stream that ends with an error when its reader is cancelled.

    gRPC does so if the connection breaks at the same moment.
    """

    def __init__(self) -> None:
        self.reading = asyncio.Event()

    async def read(self) -> control_pb2.Update:
        """Wait for a message until cancelled."""
        self.reading.set()
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            metadata = grpc.aio.Metadata()
            raise grpc.aio.AioRpcError(
                grpc.StatusCode.UNAVAILABLE, metadata, metadata, None, None
            ) from None
        raise AssertionError

    def cancel(self) -> None:
        """Cancel the call."""


async def test_member_stops_although_its_stream_breaks_at_the_same_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    call = CancelledCall()

    class FakeStub:
        """Control calls of a controller."""

        def __init__(self, _channel: object) -> None:
            pass

        def Join(self, _heartbeats: object) -> CancelledCall:  # noqa: N802
            """Return the scripted stream."""
            return call

    monkeypatch.setattr(control_pb2_grpc, "ControlStub", FakeStub)
    member = Member("depot-1", ("127.0.0.1:9",))
    member.start()
    await call.reading.wait()
    async with asyncio.timeout(5):
        await member.stop()
