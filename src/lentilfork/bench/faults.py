"""Faults on one path, and what proxies of both kinds have in common."""

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
    """What happens to what passes; the default is nothing."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    # Share of datagrams lost; over TCP, of chunks at which the connection breaks.
    drop: float = Field(default=0.0, ge=0, le=1)
    # Share of datagrams that arrive twice.
    duplicate: float = Field(default=0.0, ge=0, le=1)
    # Share of datagrams held back for a random time up to `reorder_ms`.
    reorder: float = Field(default=0.0, ge=0, le=1)
    reorder_ms: float = Field(default=50.0, ge=0)
    # One-way delay of what passes in `delay_direction`.
    delay_ms: float = Field(default=0.0, ge=0)
    delay_direction: Literal["forward", "backward", "both"] = "both"
    # Direction in which nothing passes: datagrams are lost, TCP data waits.
    cut: Literal["none", "forward", "backward", "both"] = "none"
    # Everything waits, in both directions.
    frozen: bool = False

    def get_delay_ms(self, direction: Direction) -> float:
        """Return the one-way delay in a direction."""
        delayed = self.delay_direction in (direction, "both")
        return self.delay_ms if delayed else 0.0

    def is_cut(self, direction: Direction) -> bool:
        """Tell whether nothing passes in a direction."""
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
    """What both kinds have in common."""

    config: PathConfig
    faults: Faults
    counters: Counters
    random: random.Random
    # Set unless everything waits.
    thawed: asyncio.Event

    def __init__(self, config: PathConfig, seed: int) -> None:
        self.config = config
        self.faults = config.faults
        self.counters = Counters()
        self.random = random.Random(f"{seed}/{config.name}")
        self.thawed = asyncio.Event()
        self.enforce()

    def apply(self, change: ControlChange) -> None:
        """Change some of the faults; raises ValueError."""
        self.faults = Faults.model_validate({**self.faults.model_dump(), **change})
        self.enforce()

    def enforce(self) -> None:
        """Bring what waits in line with the faults."""
        if self.faults.frozen:
            self.thawed.clear()
        else:
            self.thawed.set()

    def happens(self, share: float) -> bool:
        """Draw whether a fault with this share strikes now."""
        return share > 0 and self.random.random() < share

    @abstractmethod
    def open(self) -> None:
        """Bind and pass from now on, in the running loop; raises OSError."""

    @abstractmethod
    def close(self) -> None:
        """Close all sockets."""
