"""Faults on one network path, and the base class of the UDP and TCP proxies."""

import asyncio
import random
from abc import ABC
from abc import abstractmethod
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

from lentilfork.bench.control import ControlChange
from lentilfork.counters import Counters
from lentilfork.settings import SocketAddress

__all__ = ["Direction", "Faults", "PathConfig", "Proxy"]

Direction = Literal["forward", "backward"]


class Faults(BaseModel):
    """Faults that a proxy injects into the traffic of a path; by default none."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    # Share of datagrams dropped; with TCP, share of chunks that break the connection.
    drop: float = Field(default=0.0, ge=0, le=1)
    # Share of datagrams that are delivered twice.
    duplicate: float = Field(default=0.0, ge=0, le=1)
    # Share of datagrams delayed further, by a random time of up to `reorder_ms`.
    reorder: float = Field(default=0.0, ge=0, le=1)
    reorder_ms: float = Field(default=50.0, ge=0)
    # One-way delay in `delay_direction`.
    delay_ms: float = Field(default=0.0, ge=0)
    delay_direction: Literal["forward", "backward", "both"] = "both"
    # Direction in which nothing is forwarded: datagrams are lost, TCP data waits.
    cut: Literal["none", "forward", "backward", "both"] = "none"
    # Traffic in both directions waits until this is unset.
    frozen: bool = False

    def get_delay_ms(self, direction: Direction) -> float:
        """Return the one-way delay in a direction."""
        delayed = self.delay_direction in (direction, "both")
        return self.delay_ms if delayed else 0.0

    def is_cut(self, direction: Direction) -> bool:
        """Return whether nothing is forwarded in a direction."""
        return self.cut in (direction, "both")


class PathConfig(BaseModel):
    """One path through a proxy process."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    kind: Literal["udp", "tcp"]
    listen: SocketAddress
    target: SocketAddress
    faults: Faults = Faults()


class Proxy(ABC):
    """Base class of the proxies for one path."""

    config: PathConfig
    faults: Faults
    counters: Counters
    rng: random.Random
    # Set unless `Faults.frozen` is set.
    unfrozen: asyncio.Event

    def __init__(self, config: PathConfig, seed: int) -> None:
        self.config = config
        self.faults = config.faults
        self.counters = Counters()
        self.rng = random.Random(f"{seed}/{config.name}")
        self.unfrozen = asyncio.Event()
        self.apply_faults()

    def apply(self, change: ControlChange) -> None:
        """Change some of the faults; raises ValueError for invalid values."""
        self.faults = Faults.model_validate({**self.faults.model_dump(), **change})
        self.apply_faults()

    def apply_faults(self) -> None:
        """Update `unfrozen`; subclasses also resume waiting traffic."""
        if self.faults.frozen:
            self.unfrozen.clear()
        else:
            self.unfrozen.set()

    def draw_fault(self, share: float) -> bool:
        """Draw whether a fault with this probability occurs now."""
        return share > 0 and self.rng.random() < share

    @abstractmethod
    def open(self) -> None:
        """Bind and start forwarding in the running event loop; raises OSError."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
