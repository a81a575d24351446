"""Expected failures, exit codes and the reasons for dropped packets.

A failure names the step that failed and the peer involved, so that one line shows where
to look. Functions that fail in expected ways return `result.Err` with a `Failure`;
exceptions are raised only for violated invariants and by libraries.
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
    # The operation was refused, such as for a conflict, an unknown name or a full disk.
    REFUSED = 1
    # Settings, arguments or a definition file are invalid; nothing was started.
    USAGE = 2
    # No controller answered in time; nothing is known to have changed.
    UNREACHABLE = 3
    # The outcome is unknown; the operator can retry with the same change id.
    UNKNOWN = 4
    # The change was accepted, but not all processes applied it within the timeout.
    LAGGING = 5
    # Interrupted by the user while no change was pending.
    INTERRUPTED = 130


@dataclass(frozen=True, slots=True)
class Failure:
    """An expected failure of one step against one peer."""

    # The step that failed, as a verb phrase such as "append entries".
    step: str
    # The peer involved: "10.0.0.1:7000", a file name, or "-" for none.
    peer: str
    # What went wrong and what was expected.
    message: str
    # Exit code of a command that fails for this reason.
    code: ExitCode = ExitCode.REFUSED

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.message}"


@unique
class DropReason(StrEnum):
    """Why a packet was dropped; each reason is counted separately."""

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
