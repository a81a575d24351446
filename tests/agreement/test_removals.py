"""The choice of the controller that loses its vote or is removed."""

import pytest

from lentilfork.agreement.removals import choose_removal
from lentilfork.agreement.voters import Configuration
from lentilfork.agreement.voters import list_voters
from lentilfork.state.model import Controller

LIMIT_S = 3.0


def make_configuration(voters: int, others: int = 0) -> Configuration:
    """Return voters v0, v1, ... and other controllers n0, n1, ..."""
    names = [f"v{number}" for number in range(voters)]
    names += [f"n{number}" for number in range(others)]
    return {name: Controller(name, "", name[0] == "v", 1) for name in names}


@pytest.mark.parametrize(
    ("voters", "silent_s", "expected"),
    [
        (2, {"v0": 100.0}, None),
        (3, {"v0": 100.0}, None),
        (4, {"v0": 1.4}, None),
        (4, {"v0": 1.6}, "v0"),
        (6, {"v0": 1.6, "v1": 2.0}, "v1"),
        (5, {"v0": 100.0, "v1": 100.0}, None),
        (7, {"v0": 11.0}, None),
        (7, {"v0": 13.0}, "v0"),
        (7, {"v0": 3.1, "v1": 3.0}, "v0"),
        (7, {"v0": 3.1, "v1": 2.9}, None),
    ],
)
def test_vote_of_silent_voter(
    voters: int, silent_s: dict[str, float], expected: str | None
) -> None:
    tolerated = 1 if voters < 5 else 2
    configuration = make_configuration(voters)
    smaller = choose_removal(configuration, silent_s, tolerated, LIMIT_S)
    remaining = configuration if smaller is None else smaller
    demoted = {
        item.name
        for item in list_voters(configuration)
        if not remaining[item.name].voter
    }
    assert demoted == ({expected} if expected else set())


@pytest.mark.parametrize(
    ("others", "silent_s", "expected"),
    [(1, 29.0, False), (1, 31.0, True), (8, 1.6, True), (8, 1.4, False)],
)
def test_silent_controller_without_a_vote(
    others: int, silent_s: float, expected: bool
) -> None:
    configuration = make_configuration(5, others)
    smaller = choose_removal(configuration, {"n0": silent_s}, 2, LIMIT_S)
    assert (smaller is not None) == expected
    if smaller is not None:
        assert configuration.keys() - smaller.keys() == {"n0"}
