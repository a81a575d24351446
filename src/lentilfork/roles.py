"""The interface between the daemon and a role: life cycle, counters and dump."""

from typing import Protocol

from result import Result

from lentilfork.counters import Counters
from lentilfork.errors import Failure

__all__ = ["Role"]


class Role(Protocol):
    """A balancer, an agent or a controller."""

    counters: Counters

    @property
    def generation(self) -> int:
        """Generation of the agreed state that is applied here."""

    async def start(self) -> Result[None, Failure]:
        """Bind the sockets and start the tasks; on failure nothing stays open."""

    async def drain(self) -> None:
        """Refuse new work and return when no work is in flight."""

    async def stop(self) -> None:
        """Stop immediately and close everything; called after or instead of `drain`."""

    def dump(self) -> dict[str, object]:
        """Return a snapshot of the process state for debugging, as JSON values."""
