"""What a runner learns when it asks for a request.

A `Grant` is the right to run a request once. `begin` uses it up, and must stand
right before the call that runs the request: a process may have been stopped for
any time since the voters granted it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from enum import auto
from enum import unique
from typing import Final

from lentilfork.claims.records import Attempt
from lentilfork.state.model import Voter

__all__ = [
    "GRANT_LIFETIME_S",
    "AlreadyDone",
    "ClaimOutcome",
    "Grant",
    "GrantPhase",
    "Granted",
    "HeldElsewhere",
    "NoQuorum",
    "RefusedBefore",
    "Released",
    "WaitOutcome",
]

# A grant is begun within this time or never, whatever the caller's deadline:
# far less than the voters' memory of it.
GRANT_LIFETIME_S: Final = 120.0


@unique
class GrantPhase(Enum):
    """How far an attempt has come at its runner."""

    # May still be begun.
    OPEN = auto()
    # The request runs or has run.
    BEGUN = auto()
    # It did not run and will not.
    ABANDONED = auto()


@dataclass(slots=True)
class Grant:
    """An attempt at its runner; runs at most once."""

    service: str
    key: bytes
    attempt: Attempt
    # Time at the runner's clock from which on it may not begin.
    expires: float
    clock: Callable[[], float]
    phase: GrantPhase = GrantPhase.OPEN

    def begin(self) -> bool:
        """Use up the right to run; False if it is too late or already used."""
        if self.phase is not GrantPhase.OPEN:
            return False
        if self.clock() >= self.expires:
            self.phase = GrantPhase.ABANDONED
            return False
        self.phase = GrantPhase.BEGUN
        return True

    def cancel_begin(self) -> None:
        """Note that the call was refused before the request ran."""
        if self.phase is GrantPhase.BEGUN:
            self.phase = GrantPhase.ABANDONED

    def abandon(self) -> bool:
        """Give up the right to run; False if the request has begun to run."""
        if self.phase is GrantPhase.OPEN:
            self.phase = GrantPhase.ABANDONED
        return self.phase is GrantPhase.ABANDONED


@dataclass(frozen=True, slots=True)
class Granted:
    """This runner, and no other, may run the request."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Another attempt holds the request, or several contest it."""

    # The runners of the attempts that are known.
    runners: tuple[Voter, ...]


@dataclass(frozen=True, slots=True)
class AlreadyDone:
    """The request ran; `answer` is None if it was too long to keep."""

    answer: bytes | None


@dataclass(frozen=True, slots=True)
class RefusedBefore:
    """A majority knows that this exchange did not run and never will."""


@dataclass(frozen=True, slots=True)
class Released:
    """No attempt holds the request any more: it may be claimed again."""


@dataclass(frozen=True, slots=True)
class NoQuorum:
    """Too few voters answered in time: nothing is known."""


ClaimOutcome = Granted | HeldElsewhere | AlreadyDone | RefusedBefore | NoQuorum
WaitOutcome = AlreadyDone | RefusedBefore | Released | NoQuorum
