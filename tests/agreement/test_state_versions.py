"""Changes of a new kind wait until every voter is known to support them."""

from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from result import Err

from lentilfork.agreement import follower
from lentilfork.agreement.state_versions import STATE_VERSION
from lentilfork.schema import state_pb2
from tests.agreement.cluster import Answer
from tests.agreement.cluster import Cluster
from tests.agreement.fleet import Fleet

TIMEOUT_S = 1.0


def make_evacuation(number: int, active: bool = True) -> state_pb2.Change:
    """Return a change that starts or ends an evacuation."""
    return state_pb2.Change(
        change_id=f"evacuation-{number}",
        put_evacuation=state_pb2.Evacuation(data_centre="north", active=active),
    )


def propose(cluster: Cluster, name: str, change: state_pb2.Change) -> Answer:
    """Propose a change at one controller and return its answer."""
    replica = cluster.replicas[name]
    return cluster.loop.run_until_complete(replica.propose(change, TIMEOUT_S))


def find_follower(cluster: Cluster) -> str:
    """Return the name of a controller that does not lead."""
    leader = cluster.get_leader().core.name
    return next(name for name in cluster.replicas if name != leader)


def start_cluster(seed: int = 1) -> Cluster:
    """Return three controllers with a leader."""
    cluster = Cluster(3, seed)
    cluster.start_all()
    cluster.get_leader()
    cluster.run(1.0)
    return cluster


def stop(cluster: Cluster) -> None:
    """Stop all controllers."""
    for name in list(cluster.replicas):
        cluster.crash(name)


@contextmanager
def run_older_build(cluster: Cluster, names: set[str]) -> Iterator[None]:
    """Let controllers reply as a build does that knows no evacuations."""
    patch = pytest.MonkeyPatch()
    original = follower.Follower.make_reply

    def make_reply(self: follower.Follower, success: bool, match_index: int):  # type: ignore[no-untyped-def]
        reply = original(self, success, match_index)
        reply.state_version = 0 if self.core.name in names else STATE_VERSION
        return reply

    patch.setattr(follower.Follower, "make_reply", make_reply)
    try:
        yield
    finally:
        patch.undo()
    cluster.run(1.0)


# Guards against an evacuation that a controller of an older build stores as refused:
# its state would differ from then on.
def test_leader_refuses_an_evacuation_until_every_voter_knows_it() -> None:
    cluster = start_cluster()
    leader = cluster.get_leader().core.name
    with run_older_build(cluster, {find_follower(cluster)}):
        cluster.run(1.0)
        refused = propose(cluster, leader, make_evacuation(1))
        assert isinstance(refused, Err)
        assert not refused.err_value.unknown
        assert not cluster.replicas[leader].state.cluster.evacuations
    assert propose(cluster, leader, make_evacuation(2)).is_ok()
    stop(cluster)


# Guards against a leader of an older build, which appends a forwarded evacuation
# without a check and ignores it.
def test_evacuation_is_not_forwarded_to_a_leader_of_an_older_build() -> None:
    cluster = start_cluster()
    with run_older_build(cluster, {cluster.get_leader().core.name}):
        refused = propose(cluster, find_follower(cluster), make_evacuation(1))
        assert isinstance(refused, Err)
        assert not refused.err_value.unknown
    name = find_follower(cluster)
    assert propose(cluster, name, make_evacuation(2)).is_ok()
    stop(cluster)


# Guards against a data centre that cannot be evacuated after the loss of the leader:
# its successor has not heard from every voter in its term.
@pytest.mark.parametrize("recorded", [True, False])
def test_first_evacuation_after_the_loss_of_a_voter(recorded: bool) -> None:
    cluster = start_cluster()
    leader = cluster.get_leader()
    if recorded:
        assert cluster.loop.run_until_complete(leader.record_state_version(1))
        cluster.run(1.0)
    cluster.crash(leader.core.name)
    cluster.get_leader()
    answer = propose(cluster, find_follower(cluster), make_evacuation(1))
    assert answer.is_ok() == recorded
    stop(cluster)


# Guards against a record that a leader writes before it has heard from all voters.
def test_record_waits_for_every_voter() -> None:
    cluster = start_cluster()
    leader = cluster.get_leader()
    with run_older_build(cluster, {find_follower(cluster)}):
        cluster.run(1.0)
        assert not cluster.loop.run_until_complete(leader.record_state_version(1))
    state = leader.state.cluster
    assert cluster.loop.run_until_complete(leader.record_state_version(1))
    assert leader.state.cluster == state, "the record changes nothing for members"
    stop(cluster)


# Guards against an acknowledged evacuation that is lost with the tolerated number of
# disks while all other hosts lose power.
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("disks", "diskless", "tolerated"), [(3, 3, 1), (6, 0, 2)])
def test_acknowledged_evacuation_outlives_lost_disks_and_a_power_loss(
    disks: int, diskless: int, tolerated: int, seed: int
) -> None:
    fleet = Fleet(disks, diskless, tolerated, seed)
    for number in range(4):
        active = number % 2 == 0
        change = make_evacuation(number, active)

        def is_accepted(change: state_pb2.Change = change) -> bool:
            name = fleet.rng.choice(list(fleet.replicas))
            return propose(fleet, name, change).is_ok()

        fleet.run_until(is_accepted, 6.0)
        fleet.crash_all()
        fleet.wipe(*fleet.rng.sample(fleet.names[:disks], tolerated))
        fleet.start_all()
        leader = fleet.get_leader()
        fleet.read(leader.core.name)
        assert leader.state.cluster.evacuated == (("north",) if active else ())
        fleet.run(6.0)
    fleet.close()
