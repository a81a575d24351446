"""Errors, their codes and the texts shown for them.

Every error of the system carries the step that failed and the peer it concerned,
so that one line tells where to look. Texts stand here and nowhere else. Functions
that fail in expected ways return `result.Err` with a `Failure`; exceptions are
for invariants and for libraries that raise.
"""

from dataclasses import dataclass
from enum import IntEnum
from enum import StrEnum
from enum import unique

__all__ = ["DropReason", "ExitCode", "Failure"]


@unique
class ExitCode(IntEnum):
    """Exit codes of the daemon and of the operator command."""

    OK = 0
    # The operation was refused: a conflict, an unknown name, a full disk.
    REFUSED = 1
    # Settings, arguments or a definition file are wrong; nothing was started.
    USAGE = 2
    # No controller answered in time; nothing is known to have changed.
    UNREACHABLE = 3
    # The outcome is unknown; resend with the same change id.
    UNKNOWN = 4
    # Accepted, but not in force everywhere within the time given.
    LAGGING = 5
    # Interrupted by the user while nothing was being changed.
    INTERRUPTED = 130


@dataclass(frozen=True, slots=True)
class Failure:
    """An expected failure of one step against one peer."""

    # What was being done, as a verb phrase: "append entries".
    step: str
    # The peer it concerned: "10.0.0.1:7000", a file name, or "-" for none.
    peer: str
    # What went wrong and what was expected instead.
    message: str
    # With which a command ends that meets this failure.
    code: ExitCode = ExitCode.REFUSED

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.message}"


@unique
class DropReason(StrEnum):
    """Why a packet was dropped; each reason is a counter."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    NOT_IPV4 = "not-ipv4"
    NOT_UDP = "not-udp"
    FRAGMENT = "fragment"
    UNKNOWN_SERVICE = "unknown-service"
    WRONG_SERVICE = "wrong-service"
    NO_AGENT = "no-agent"
    BAD_ENVELOPE = "bad-envelope"
    HOP_LIMIT = "hop-limit"
    NOT_COAP = "not-coap"
    OVERLOADED = "overloaded"
