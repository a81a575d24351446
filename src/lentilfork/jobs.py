"""One request an agent has taken in, with all that is needed to serve it."""

from dataclasses import dataclass

from lentilfork.borders.callers import Request
from lentilfork.borders.packets import SocketPair
from lentilfork.routing import make_download_key
from lentilfork.routing import make_exchange_key
from lentilfork.state.model import Service

__all__ = ["Job"]


@dataclass(frozen=True, slots=True)
class Job:
    """A request on its way through this agent."""

    service: Service
    pair: SocketPair
    request: Request
    # The caller's IPv4 packet, passed on as it is when another agent must serve.
    packet: bytes
    # When the first agent received it, seconds of this host's monotonic clock.
    received_at: float
    hops: int
    # Agents that could not serve it.
    tried: tuple[str, ...]
    # The agent that placed it here and counts it until it ends.
    placer: str

    @property
    def deadline(self) -> float:
        """Monotonic time by which the caller must have its answer."""
        return self.received_at + self.service.deadline_ms / 1000

    @property
    def exchange_key(self) -> bytes:
        """Key of this message and its copies."""
        return make_exchange_key(
            self.pair.caller_key(), self.request.message_id, self.request.token
        )

    @property
    def download_key(self) -> bytes:
        """Key of the block-wise answer this request belongs to."""
        target = f"{self.request.method} {self.request.target}"
        return make_download_key(self.pair.caller_key(), target)

    @property
    def is_long(self) -> bool:
        """Whether the service serves this path as a long answer."""
        first = self.request.path[:1]
        is_named = any(segment in self.service.long_paths for segment in first)
        return is_named and self.request.method == "GET"
