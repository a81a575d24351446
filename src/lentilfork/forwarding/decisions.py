"""Rate-limited log of decisions about flows.

A line names the flow, the outcome, its reason and the inputs of the decision. Routine
outcomes and failures have separate limits, so that routine lines do not displace those
that explain a failure. Lines above a limit are omitted and counted by outcome.
"""

from collections import Counter
from typing import Final

from lentilfork.forwarding.envelopes import KEY_BYTES
from lentilfork.forwarding.packets import KEY
from lentilfork.logs import Logger

__all__ = ["DecisionLog", "format_flow"]

LINES_PER_S: Final = 40
FAILURE_LINES_PER_S: Final = 60
# Outcomes that may make a request fail.
FAILURES: Final = frozenset(
    {"reset", "refused", "lost", "dropped", "offered again", "failed"}
)
OCTETS: Final = 4

log = Logger("flows")


def format_flow(key: bytes) -> str:
    """Return a flow key as "caller:port>address:port", as used in log lines."""
    if len(key) != KEY_BYTES:
        return key.hex()
    source, source_port, destination, destination_port = KEY.unpack(key)
    caller = ".".join(map(str, source.to_bytes(OCTETS, "big")))
    target = ".".join(map(str, destination.to_bytes(OCTETS, "big")))
    return f"{caller}:{source_port}>{target}:{destination_port}"


class DecisionLog:
    """Writes log lines of decisions up to a number per second."""

    # Numbers of lines that may still be written in this second.
    routine_left: int
    failures_left: int
    # Lines omitted in this second by outcome.
    omitted: Counter[str]

    def __init__(self) -> None:
        self.omitted = Counter()
        self.routine_left = LINES_PER_S
        self.failures_left = FAILURE_LINES_PER_S

    def reset_limits(self) -> None:
        """Log the numbers of omitted lines and start a new second."""
        if self.omitted:
            log.info("lines left out", **dict(self.omitted))
            self.omitted.clear()
        self.routine_left = LINES_PER_S
        self.failures_left = FAILURE_LINES_PER_S

    def write(self, outcome: str, key: bytes, reason: str, **inputs: object) -> None:
        """Log one decision about a flow unless the limit of its class is reached."""
        if outcome in FAILURES:
            if self.failures_left <= 0:
                self.omitted[outcome] += 1
                return
            self.failures_left -= 1
        else:
            if self.routine_left <= 0:
                self.omitted[outcome] += 1
                return
            self.routine_left -= 1
        log.info(outcome, flow=format_flow(key), reason=reason, **inputs)
