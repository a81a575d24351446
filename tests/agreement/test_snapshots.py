"""Transfer of a snapshot over gRPC between replicas on real disks."""

import asyncio
from pathlib import Path
from random import Random

import pytest

from lentilfork.agreement import Replica
from lentilfork.bench.addresses import AddressBlock
from lentilfork.bench.processes import wait_until
from lentilfork.channels import Channels
from lentilfork.counters import Counters
from lentilfork.schema import agreement_pb2_grpc
from lentilfork.settings import ControllerPeer
from lentilfork.settings import ControllerSettings
from tests.agreement.cluster import make_change

CHANGES = 2_000
WAIT_S = 30.0


class Host:
    """The replica of one controller and its gRPC server."""

    def __init__(self, name: str, peers: dict[str, str], folder: Path) -> None:
        settings = ControllerSettings(
            role="controller",
            name=name,
            data_centre="kandy-a",
            control_address=peers[name],
            data_folder=folder,
            controllers=tuple(
                ControllerPeer(name=other, address=address)
                for other, address in peers.items()
            ),
        )
        self.channels = Channels()
        self.replica = Replica(settings, self.channels, Counters(), Random())
        self.server = self.channels.make_server(peers[name])

    async def start(self) -> None:
        """Start the replica and its server."""
        (await self.replica.start()).unwrap()
        agreement_pb2_grpc.add_AgreementServicer_to_server(
            self.replica.servicer, self.server
        )
        await self.server.start()

    async def stop(self) -> None:
        """Stop the replica and its server."""
        await self.replica.stop()
        await self.server.stop(None)
        await self.channels.close()


async def test_controller_with_empty_folder_catches_up_by_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("lentilfork.agreement.log.TRAILING_ENTRIES", 0)
    block = AddressBlock()
    peers = {name: block.allocate_address(7000) for name in ("c0", "c1", "c2")}
    hosts = {name: Host(name, peers, tmp_path / name) for name in peers}
    await asyncio.gather(*(host.start() for host in hosts.values()))
    replicas = [host.replica for host in hosts.values()]
    await wait_until(lambda: any(r.is_leader for r in replicas), WAIT_S, "a leader")
    leader = next(replica for replica in replicas if replica.is_leader)
    batches = range(0, CHANGES, 100)
    for start in batches:
        changes = (make_change(number) for number in range(start, start + 100))
        answers = await asyncio.gather(*map(leader.propose, changes))
        assert all(answer.is_ok() for answer in answers)
    await leader.write_snapshot()
    lost = next(name for name, host in hosts.items() if host.replica is not leader)
    await hosts[lost].stop()
    replacement = hosts[lost] = Host(lost, peers, tmp_path / "new")
    await replacement.start()
    replica = replacement.replica
    await wait_until(
        lambda: replica.core.is_voter, WAIT_S, "the vote of the new replica"
    )
    assert replica.counters.get("agreement_snapshots", "installed") == 1
    assert len(replica.core.log.snapshot.data) > 2 * 65_536  # type: ignore[union-attr]
    await wait_until(
        lambda: replica.core.applied_index == leader.core.applied_index,
        WAIT_S,
        "the new replica",
    )
    assert replica.state == leader.state
    for host in hosts.values():
        await host.stop()
    block.close()
