"""Outcomes of claims, and the grant that allows a runner to run a request.

A `Grant` is the right to run a request once. `begin` consumes this right. It must
be called immediately before the call that runs the request, because the process may
have been stopped for any length of time since the voters granted the claim.
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

# A grant expires after this time, whatever the caller's deadline is. It is far
# shorter than the time for which voters keep the claim's record.
GRANT_LIFETIME_S: Final = 120.0


@unique
class GrantPhase(Enum):
    """State of an attempt at its runner."""

    # The attempt has not begun and may still do so.
    OPEN = auto()
    # The request is running or has run.
    BEGUN = auto()
    # The request did not run in this attempt and never will.
    ABANDONED = auto()


@dataclass(slots=True)
class Grant:
    """The right of one attempt to run a request at most once."""

    service: str
    key: bytes
    attempt: Attempt
    # Time of `clock` from which the attempt may no longer begin.
    expires_at: float
    clock: Callable[[], float]
    phase: GrantPhase = GrantPhase.OPEN

    def begin(self) -> bool:
        """Consume the right to run; return False if it has expired or is used up."""
        if self.phase is not GrantPhase.OPEN:
            return False
        if self.clock() >= self.expires_at:
            self.phase = GrantPhase.ABANDONED
            return False
        self.phase = GrantPhase.BEGUN
        return True

    def record_not_run(self) -> None:
        """Abandon a begun attempt whose call was refused before the request ran."""
        if self.phase is GrantPhase.BEGUN:
            self.phase = GrantPhase.ABANDONED

    def abandon(self) -> bool:
        """Give up the right to run; return False if the request has begun."""
        if self.phase is GrantPhase.OPEN:
            self.phase = GrantPhase.ABANDONED
        return self.phase is GrantPhase.ABANDONED


@dataclass(frozen=True, slots=True)
class Granted:
    """Only this runner may run the request."""

    grant: Grant


@dataclass(frozen=True, slots=True)
class HeldElsewhere:
    """Another attempt holds the claim, or several attempts split the votes."""

    # The runners of the other attempts that the voters reported.
    runners: tuple[Voter, ...]
    # Whether one of those attempts is for the same exchange, whose first message was
    # sent earlier then.
    same_exchange: bool = False


@dataclass(frozen=True, slots=True)
class AlreadyDone:
    """The request ran; `answer` is None if it was too long to store."""

    answer: bytes | None


@dataclass(frozen=True, slots=True)
class RefusedBefore:
    """A majority has recorded that this exchange did not run and never will."""


@dataclass(frozen=True, slots=True)
class Released:
    """No attempt holds the claim any longer, so it may be claimed again."""


@dataclass(frozen=True, slots=True)
class NoQuorum:
    """No majority replied in time, so the outcome is unknown."""


ClaimOutcome = Granted | HeldElsewhere | AlreadyDone | RefusedBefore | NoQuorum
WaitOutcome = AlreadyDone | RefusedBefore | Released | NoQuorum
