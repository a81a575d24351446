"""What a member knows about evacuations, by what controllers have told it."""

import pytest

from lentilfork.scheduling import EvacuationView

VOTERS = ("c-1", "c-2", "c-3")


# Guards against a member that places flows in a data centre because a controller that
# was cut off states an older version.
def test_lower_version_is_ignored() -> None:
    view = EvacuationView()
    assert view.record("c-1", 7, ["west"], VOTERS, 1.0)
    assert not view.record("c-2", 6, [], VOTERS, 2.0)
    assert not view.record("c-2", 7, [], VOTERS, 2.0)
    assert view.contains("west")
    assert not view.contains("north")
    assert view.ended_at == {}


# Guards against servers that count as warm after the evacuation of their data centre.
def test_end_of_an_evacuation_is_recorded_until_the_next_one() -> None:
    view = EvacuationView()
    view.record("c-1", 7, ["west", "north"], VOTERS, 1.0)
    assert view.record("c-1", 8, ["north"], VOTERS, 5.0)
    assert view.ended_at == {"west": 5.0}
    view.record("c-2", 9, ["west"], VOTERS, 6.0)
    assert view.ended_at == {"north": 6.0}


# Guards against a started member that believes a controller that missed an evacuation.
def test_started_member_waits_for_a_majority() -> None:
    view = EvacuationView(awaits_majority=True)
    assert not view.is_settled(10.0)
    view.record("c-1", 0, [], VOTERS, 10.0)
    view.record("c-1", 0, [], VOTERS, 10.2)
    view.record("learner", 0, [], VOTERS, 10.2)
    assert not view.is_settled(10.3)
    view.record("c-3", 4, ["west"], VOTERS, 10.3)
    assert view.is_settled(10.3)
    assert view.contains("west")


# Guards against a service that ends because most controllers are lost.
def test_wait_for_a_majority_ends_one_second_after_the_first_controller() -> None:
    view = EvacuationView(awaits_majority=True)
    view.record("c-1", 4, ["west"], VOTERS, 10.0)
    assert not view.is_settled(10.99)
    assert view.is_settled(11.0)


# Guards against a wait where no deployment setting asks for evacuations.
@pytest.mark.parametrize("now", [0.0, 1e9])
def test_member_without_evacuations_is_settled_from_the_start(now: float) -> None:
    assert EvacuationView().is_settled(now)
