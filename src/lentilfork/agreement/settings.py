"""What the agreement needs to know of its process, whatever border it was read at."""

from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

__all__ = ["AgreementSettings", "Peer"]


class Peer(Protocol):
    """A controller as the others reach it."""

    @property
    def name(self) -> str:
        """The process name."""

    @property
    def address(self) -> str:
        """Its address, "ip:port"."""

    @property
    def via(self) -> str | None:
        """Where this process reaches it instead, such as a forwarded port."""


class AgreementSettings(Protocol):
    """Settings of one controller."""

    @property
    def name(self) -> str:
        """The process name."""

    @property
    def control_address(self) -> str:
        """Where other controllers reach it, "ip:port"."""

    @property
    def data_folder(self) -> Path:
        """The folder of the log."""

    @property
    def controllers(self) -> Sequence[Peer]:
        """The voters the state begins with, or the running controllers."""

    @property
    def may_begin(self) -> bool:
        """Whether it may begin a new history."""

    @property
    def voters(self) -> int | None:
        """How many controllers vote; None: as many as the state began with."""

    @property
    def replace_silent_ms(self) -> int:
        """A voter silent for this long gives its vote to one that waits."""

    @property
    def sealed_folder(self) -> bool:
        """Whether a copied data folder is told by inode and change time."""
