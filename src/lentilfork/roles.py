"""What a role is to the daemon: a process part with a life cycle and a dump."""

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
        """Generation of the agreed state in force here."""

    async def start(self) -> Result[None, Failure]:
        """Bind the sockets and starts the tasks; a failure leaves nothing open."""

    async def drain(self) -> None:
        """Take no new work and returns once nothing is in flight."""

    async def stop(self) -> None:
        """Close everything at once; called after `drain` or instead of it."""

    def dump(self) -> dict[str, object]:
        """Return the state of the process as JSON values."""
