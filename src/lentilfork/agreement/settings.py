"""Settings that the agreement needs, independent of where they are read from."""

from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

__all__ = ["AgreementSettings", "Peer"]


class Peer(Protocol):
    """Name and addresses of another controller."""

    @property
    def name(self) -> str:
        """The process name."""

    @property
    def address(self) -> str:
        """Its address, "ip:port"."""

    @property
    def via(self) -> str | None:
        """Address to connect to instead of `address`, such as a forwarded port."""


class AgreementSettings(Protocol):
    """Agreement settings of one controller."""

    @property
    def name(self) -> str:
        """The process name."""

    @property
    def control_address(self) -> str:
        """Address at which other controllers reach it, "ip:port"."""

    @property
    def data_folder(self) -> Path | None:
        """The folder of the log, the vote and the snapshots; None without a disk.

        A controller without a disk never votes: it would forget its votes.
        """

    @property
    def controllers(self) -> Sequence[Peer]:
        """The first voters of a new cluster, or controllers of a running one."""

    @property
    def may_begin(self) -> bool:
        """Whether it may bootstrap a new cluster."""

    @property
    def voters(self) -> int | None:
        """How many controllers vote; None: as many as the cluster started with."""

    @property
    def tolerated_losses(self) -> int | None:
        """How many controllers may be lost at once, with their disks.

        If set, every controller with a disk votes, and the leader removes controllers
        that are gone. None: operators choose the controllers.
        """

    @property
    def replace_silent_ms(self) -> int:
        """Time without a response after which a voter is replaced by a spare."""

    @property
    def sealed_folder(self) -> bool:
        """Whether a copied data folder is detected by inode and change time."""
