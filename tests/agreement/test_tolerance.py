"""Losses that a deployment has to bear, on a virtual clock."""

from itertools import combinations

import logbook
import pytest

from tests.agreement.cluster import make_change
from tests.agreement.fleet import Fleet

# Controllers with a disk, without one, and losses that are borne at once.
LAYOUTS = [(3, 3, 1), (6, 0, 2), (8, 0, 2), (5, 5, 2)]
CATCH_UP_S = 6.0


@pytest.mark.parametrize(("disks", "diskless", "tolerated"), LAYOUTS)
def test_every_controller_with_a_disk_votes(
    disks: int, diskless: int, tolerated: int
) -> None:
    fleet = Fleet(disks, diskless, tolerated, seed=1)
    assert fleet.list_voters() == fleet.names[:disks]
    fleet.run_until(lambda: fleet.list_controllers() == set(fleet.names))
    for name in fleet.names:
        fleet.acknowledge(name)
        fleet.read(name)
    fleet.close()


# Guards against a configuration that can't be read after disks were lost at the end of
# a day, while all other hosts lost power.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("disks", "diskless", "tolerated"), LAYOUTS)
def test_acknowledged_change_outlives_lost_disks_and_a_power_loss(
    disks: int, diskless: int, tolerated: int, seed: int
) -> None:
    fleet = Fleet(disks, diskless, tolerated, seed)
    lost_sets = list(combinations(fleet.names[:disks], tolerated))
    for lost in fleet.rng.sample(lost_sets, min(len(lost_sets), 6)):
        fleet.acknowledge(fleet.rng.choice(fleet.names))
        fleet.crash_all()
        fleet.wipe(*lost)
        fleet.run(1.0)
        fleet.start_all()
        fleet.read(fleet.rng.choice(fleet.names))
        fleet.acknowledge(fleet.rng.choice(fleet.names))
        fleet.run(CATCH_UP_S)
        assert fleet.list_voters() == fleet.names[:disks]
    fleet.close()


# Guards against hosts that were replaced one long after the other and took the
# configuration out of reach: the first one kept its vote.
@pytest.mark.parametrize("together", [False, True])
@pytest.mark.parametrize(("disks", "diskless", "tolerated"), LAYOUTS)
def test_replaced_hosts_leave_the_configuration(
    disks: int, diskless: int, tolerated: int, together: bool
) -> None:
    fleet = Fleet(disks, diskless, tolerated, seed=2)
    survivor = fleet.names[disks - 1]
    for _ in range(20):
        running = fleet.replicas.keys() & set(fleet.list_voters())
        lost = sorted(running - {survivor})
        for name in lost[: tolerated if together else 1]:
            fleet.replace_host(name, 0.2 if together else 1.0)
        fleet.run(CATCH_UP_S)
        assert fleet.bears_losses()
        fleet.acknowledge(survivor)
        fleet.read(survivor)
    fleet.run(40)
    assert fleet.list_controllers() == fleet.addresses.keys()
    assert set(fleet.list_voters()) == fleet.addresses.keys() - fleet.diskless
    fleet.close()


# Guards against a replacement that is never admitted because its settings name only
# controllers that don't lead.
def test_new_host_finds_a_leader_that_its_settings_do_not_name() -> None:
    fleet = Fleet(6, 0, 2, seed=3)
    leader = fleet.get_leader().core.name
    fleet.seeds = [name for name in fleet.names if name != leader][:3]
    added = fleet.add_host()
    fleet.run_until(lambda: added in fleet.list_voters(), 2.0)
    fleet.close()


def test_voter_that_was_cut_off_for_long_returns() -> None:
    fleet = Fleet(3, 0, 1, seed=4)
    lost = next(name for name in fleet.names if name not in fleet.get_leaders())
    fleet.network.isolate(fleet.addresses[lost])
    fleet.run(60)
    assert lost in fleet.list_voters(), "three voters are needed to bear one loss"
    fleet.network.heal()
    fleet.replace_host(fleet.get_leader().core.name, 1.0)
    fleet.run(CATCH_UP_S)
    fleet.acknowledge(lost)
    fleet.close()


def test_controller_that_was_removed_while_it_was_cut_off_returns() -> None:
    fleet = Fleet(6, 1, 2, seed=5)
    lost = [name for name in fleet.names[4:] if name not in fleet.get_leaders()][0:2]
    for name in lost:
        fleet.network.isolate(fleet.addresses[name])
    fleet.run_until(lambda: lost[0] not in fleet.list_controllers(), 60)
    fleet.network.heal()
    fleet.run(CATCH_UP_S)
    assert fleet.list_voters() == fleet.names[:6]
    fleet.run_until(lambda: fleet.list_controllers() == set(fleet.names))
    fleet.close()


def test_first_start_with_a_seed_that_has_no_disk() -> None:
    fleet = Fleet(3, 1, 1, seed=6, seed_numbers=(3, 1, 2))
    assert fleet.list_voters() == fleet.names[:3]
    fleet.crash("c03")
    fleet.start("c03")
    fleet.acknowledge("c03")
    fleet.read("c03")
    fleet.close()


# Guards against a configuration that can't be read after hosts without a disk lost
# power: one that was frozen asked for admission again, and got a vote.
def test_controller_without_a_disk_gets_no_vote_when_it_asks_again() -> None:
    fleet = Fleet(3, 2, 1, seed=7)
    fleet.run_until(lambda: fleet.list_controllers() == set(fleet.names))
    for name in sorted(fleet.diskless):
        joining = fleet.replicas[name].joining
        fleet.loop.run_until_complete(joining.request_admission())
    fleet.run(1.0)
    assert fleet.list_voters() == fleet.names[:3]
    for name in sorted(fleet.diskless):
        fleet.crash(name)
    fleet.acknowledge("c00")
    fleet.read("c00")
    fleet.close()


# Guards against a change that one host acknowledges alone: it took the vote of the only
# other voter, while the third host, whose disk was lost, waited for its vote.
@pytest.mark.parametrize("seed", [25, 42, 51, 53, 56])
def test_leader_that_is_cut_off_acknowledges_nothing_alone(seed: int) -> None:
    fleet = Fleet(3, 0, 1, seed)
    fleet.acknowledge("c00")
    leader = fleet.get_leader().core.name
    lost = next(name for name in fleet.names if name != leader)
    fleet.crash(lost)
    fleet.wipe(lost)
    fleet.run(0.5)
    fleet.start(lost)
    fleet.run_until(lambda: lost not in fleet.list_voters())
    fleet.network.isolate(fleet.addresses[leader])
    fleet.run(2.5 + 2 * fleet.rng.random())
    change = make_change(100)
    task = fleet.propose(leader, change)
    fleet.run_until(task.done)
    assert change.change_id not in fleet.accepted
    fleet.network.heal()
    fleet.acknowledge(lost)
    fleet.close()


# Guards against an incident that logs can't explain: they didn't say why there is no
# leader.
def test_controllers_without_a_majority_log_whose_votes_they_miss() -> None:
    fleet = Fleet(3, 0, 1, seed=8)
    fleet.crash_all()
    fleet.wipe("c01")
    fleet.start("c00")
    fleet.start("c01")
    handler = logbook.TestHandler()
    with handler.applicationbound():
        fleet.run(10)
    lines = [
        record.kwargs
        for record in handler.records
        if record.message == "no majority of votes"
    ]
    assert lines, "the failed election was not logged"
    assert all(line["granted"] == "c00" for line in lines)
    assert lines[-1]["voters"] == 3
    assert lines[-1]["silent"] == "c02"
    assert "c01" in lines[-1]["refused"] + lines[-1]["other_folder"]
    assert len(lines) < 5, "the same outcome is logged once"
    fleet.close()
