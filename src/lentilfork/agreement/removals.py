"""Which silent controller loses its vote or is removed next.

A voter that is gone for good has to lose its vote before the next ones are lost, and a
voter that is only silent for a while should keep it: a configuration without it bears
fewer losses once it is back. So a vote is taken only if there are more voters than the
tolerated losses need, since fewer could acknowledge what the losses then destroy:

- early if the number of voters is even: then one vote less bears as many losses, and
  any majority of the larger configuration contains a majority of the smaller one;
- after `replace_silent_s` if it is odd and two voters are silent, since the voters then
  bear one loss less than they should;
- late if only one of them is.

One vote is taken at a time. Without votes to take, a controller without a vote that
has been silent for long is removed; if it comes back, it asks for admission anew.

A controller that stops as planned gives up its vote before it stops, within the same
limit. Otherwise losses at a time when its silence isn't noticed yet could take the
majority of the remaining voters.
"""

import math
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import replace
from typing import Final

from lentilfork.agreement.voters import Configuration
from lentilfork.agreement.voters import list_voters
from lentilfork.state.validation import MAXIMUM_CONTROLLERS

__all__ = ["choose_removal", "may_release_vote"]

# Multiples of `replace_silent_s`. The early one leaves time for an election before it:
# silence is measured by the leader.
EARLY_FACTOR: Final = 0.5
LATE_FACTOR: Final = 4.0
REMOVAL_FACTOR: Final = 10.0
# Controllers without a vote are removed early if fewer places than this are left.
RESERVED_PLACES: Final = 4


def choose_removal(
    configuration: Configuration,
    silent_s: Mapping[str, float],
    tolerated_losses: int,
    replace_silent_s: float,
) -> Configuration | None:
    """Return the next configuration with one vote or one controller less, if any.

    `silent_s` contains for each peer of the leader the seconds since it was last heard
    from.
    """
    voters = [item.name for item in list_voters(configuration)]
    needed = count_needed_voters(tolerated_losses)
    silent = list_silent(voters, silent_s, replace_silent_s)
    factor = get_vote_factor(len(voters), needed, len(silent))
    silent = list_silent(voters, silent_s, factor * replace_silent_s)
    if silent:
        demoted = replace(configuration[silent[0]], voter=False)
        return configuration | {demoted.name: demoted}
    crowded = len(configuration) > MAXIMUM_CONTROLLERS - RESERVED_PLACES
    factor = EARLY_FACTOR if crowded else REMOVAL_FACTOR
    others = configuration.keys() - set(voters)
    gone = list_silent(others, silent_s, factor * replace_silent_s)
    if gone:
        return {name: configuration[name] for name in configuration if name != gone[0]}
    return None


def may_release_vote(
    configuration: Configuration, tolerated_losses: int | None
) -> bool:
    """Return whether the voters bear the tolerated losses with one voter less.

    Without tolerated losses, operators choose the voters.
    """
    if tolerated_losses is None:
        return False
    return len(list_voters(configuration)) > count_needed_voters(tolerated_losses)


def count_needed_voters(tolerated_losses: int) -> int:
    """Return how many voters bear the tolerated losses."""
    return 2 * tolerated_losses + 1


def get_vote_factor(voters: int, needed: int, silent: int) -> float:
    """Return the multiple of the silent time after which a voter loses its vote."""
    if voters <= needed:
        return math.inf
    if voters % 2 == 0:
        return EARLY_FACTOR
    return LATE_FACTOR if silent < 2 else 1.0


def list_silent(
    names: Iterable[str], silent_s: Mapping[str, float], limit_s: float
) -> list[str]:
    """Return the controllers silent for `limit_s` or longer, the most silent first."""
    silent = [name for name in names if silent_s.get(name, 0.0) >= limit_s]
    return sorted(silent, key=lambda name: (-silent_s[name], name))
