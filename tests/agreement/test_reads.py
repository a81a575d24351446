"""Confirmed reads either see all acknowledged changes or fail."""

from collections.abc import Iterator

import pytest
from result import Ok

from lentilfork.agreement.log import TRAILING_BYTES
from lentilfork.schema import state_pb2
from tests.agreement.cluster import Cluster


@pytest.fixture
def cluster() -> Iterator[Cluster]:
    """Return three controllers with a leader."""
    cluster = Cluster(3, seed=11)
    cluster.start_all()
    cluster.get_leader()
    yield cluster
    cluster.close()


def put_table(cluster: Cluster, name: str, version: int) -> None:
    change = state_pb2.Change(
        change_id=f"table-{version}",
        put_route_table=state_pb2.RouteTable(version=version),
    )
    task = cluster.propose(name, change)
    cluster.run_until(task.done)


def read(cluster: Cluster, name: str) -> int | None:
    """Return the table version read at a controller, None if not confirmed."""
    replica = cluster.replicas[name]
    confirmed = cluster.loop.run_until_complete(replica.confirm_read())
    return replica.state.route_table.version if confirmed == Ok(None) else None


def test_every_controller_reads_acknowledged_changes(cluster: Cluster) -> None:
    for version in range(1, 20):
        put_table(cluster, "c0", version)
        for name in cluster.addresses:
            assert read(cluster, name) in {version, None}
    assert read(cluster, cluster.get_leader().core.name) == 19


def test_disconnected_leader_does_not_confirm_reads(cluster: Cluster) -> None:
    put_table(cluster, "c0", 5)
    leader = cluster.get_leader().core.name
    cluster.network.isolate(cluster.addresses[leader])
    assert read(cluster, leader) is None


def test_lower_table_version_is_ignored(cluster: Cluster) -> None:
    put_table(cluster, "c0", 9)
    put_table(cluster, "c1", 4)
    assert read(cluster, cluster.get_leader().core.name) == 9


def test_table_survives_a_crash_of_all_controllers(cluster: Cluster) -> None:
    put_table(cluster, "c0", 7)
    for name in cluster.addresses:
        cluster.crash(name)
    cluster.start_all()
    leader = cluster.get_leader().core.name
    cluster.run(2)
    assert read(cluster, leader) == 7


def test_table_is_part_of_snapshots(cluster: Cluster) -> None:
    put_table(cluster, "c0", 7)
    replica = cluster.get_leader()
    cluster.loop.run_until_complete(replica.write_snapshot())
    name = replica.core.name
    cluster.crash(name)
    cluster.start(name)
    assert cluster.replicas[name].state.route_table.version == 7


def test_snapshot_compacts_log_of_large_tables(cluster: Cluster) -> None:
    for version in range(1, 41):
        table = state_pb2.RouteTable(version=version, source=b"x" * 100_000)
        change = state_pb2.Change(change_id=f"large-{version}", put_route_table=table)
        task = cluster.propose("c0", change)
        cluster.run_until(task.done)
    replica = cluster.get_leader()
    cluster.loop.run_until_complete(replica.write_snapshot())
    entries = replica.core.log.entries
    assert 0 < sum(entry.ByteSize() for entry in entries) <= TRAILING_BYTES
    assert replica.core.storage.log_bytes <= 2 * TRAILING_BYTES
