"""Which controller a member fetches tables from and subscribes to."""

from collections import Counter

import pytest

from tests.forwarding.members import CONTROLLERS
from tests.forwarding.members import NOW
from tests.forwarding.members import VERSION
from tests.forwarding.members import hear
from tests.forwarding.members import make_member

MEMBERS = 200


# Guards against a table that is late at many members, because all of them fetched it
# from one controller.
@pytest.mark.parametrize("known", [3, 5])
def test_members_of_other_data_centres_fetch_from_different_controllers(
    known: int,
) -> None:
    chosen = Counter[tuple[str, int]]()
    for number in range(MEMBERS):
        member = make_member(f"agent-{number}")
        hear(member, CONTROLLERS[:known])
        newer = member.find_newer_table(NOW)
        assert newer is not None
        chosen[newer[0]] += 1
    assert chosen.keys() == set(CONTROLLERS[:known])
    assert max(chosen.values()) < 2 * MEMBERS / known


# Guards against one controller that gets the members of all those that were lost.
def test_members_of_a_lost_primary_choose_different_controllers() -> None:
    chosen = Counter[tuple[str, int] | None]()
    for number in range(MEMBERS):
        member = make_member(f"agent-{number}", "dc-127.7.3.5")
        hear(member)
        assert member.primary == CONTROLLERS[0]
        later = NOW + 1.0
        for address in CONTROLLERS[1:4]:
            member.controllers[address].last_heard_at = later
        member.choose_primary(later)
        chosen[member.primary] += 1
    assert chosen.keys() == set(CONTROLLERS[1:4])
    assert max(chosen.values()) < 2 * MEMBERS / 3


def test_voter_in_the_data_centre_of_the_member_is_preferred() -> None:
    member = make_member("agent-1")
    hear(member, CONTROLLERS[:2], data_centre="west", partial=True)
    hear(member, CONTROLLERS[2:])
    hear(member, CONTROLLERS[3:4], data_centre="west")
    assert member.find_newer_table(NOW) == (CONTROLLERS[3], VERSION)
