"""A request that an agent has received, with the data needed to serve it."""

from dataclasses import dataclass

from lentilfork.adapters.callers import Request
from lentilfork.adapters.packets import SocketPair
from lentilfork.routing import make_download_key
from lentilfork.routing import make_exchange_key
from lentilfork.state.model import Service

__all__ = ["Job"]


@dataclass(frozen=True, slots=True)
class Job:
    """A request that this agent is to serve or forward."""

    service: Service
    pair: SocketPair
    request: Request
    # The caller's IPv4 packet, forwarded unchanged if another agent must serve it.
    packet: bytes
    # Time when the first agent received it, in seconds of this host's monotonic clock.
    received_at: float
    hops: int
    # Names of the agents that could not serve it.
    tried: tuple[str, ...]
    # Name of the agent that placed it here and counts it as running until it ends.
    placer: str

    @property
    def deadline(self) -> float:
        """Monotonic time in seconds by which the caller must be answered."""
        return self.received_at + self.service.deadline_ms / 1000

    @property
    def exchange_key(self) -> bytes:
        """Key of this message and its retransmissions."""
        return make_exchange_key(
            self.pair.caller_key(),
            self.request.message_id,
            self.request.token,
            self.request.content_digest,
        )

    @property
    def download_key(self) -> bytes:
        """Key of the block-wise answer to which this request belongs."""
        target = f"{self.request.method} {self.request.target}"
        return make_download_key(self.pair.caller_key(), target)

    @property
    def is_long(self) -> bool:
        """Whether this is a GET request to one of the service's long paths."""
        first = self.request.path[:1]
        is_long_path = any(segment in self.service.long_paths for segment in first)
        return is_long_path and self.request.method == "GET"
