"""Settings of processes that forward flows.

A border fills them in from its own settings file; times are in seconds unless the
name says otherwise.
"""

from dataclasses import dataclass
from pathlib import Path

__all__ = [
    "ControllerAddress",
    "FlowAgentSettings",
    "FlowAgreementSettings",
    "FlowBalancerSettings",
    "FlowControllerSettings",
    "MemberSettings",
]

SocketName = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """What balancers and agents have in common."""

    name: str
    data_centre: str
    # Socket for envelopes and announcements.
    address: SocketName
    # Where controllers take announcements; some of them, possibly outdated.
    controllers: tuple[SocketName, ...]
    # Port of callers that packets are sent to.
    caller_port: int


@dataclass(frozen=True, slots=True)
class FlowBalancerSettings(MemberSettings):
    """An entry host's process."""

    # Socket that callers' packets arrive at.
    packet_address: SocketName


@dataclass(frozen=True, slots=True)
class FlowAgentSettings(MemberSettings):
    """The process beside one backend server."""

    service: str
    # Socket that the backend server sends its packets to, and its own socket.
    outbound_address: SocketName
    server_address: SocketName
    # How often the backend server announces itself.
    server_interval_s: float
    # Nothing ran before this process: its backend server holds no older flow.
    first_start: bool
    # From the signal to stop until the process is killed.
    grace_s: float


@dataclass(frozen=True, slots=True)
class FlowControllerSettings:
    """A process on a host with a disk."""

    data_centre: str
    # gRPC of the agreement and datagrams of members.
    address: SocketName
    # Controllers known at the start; the first history begins with them.
    controllers: tuple[SocketName, ...]
    data_folder: Path
    # The whole system starts for the first time.
    may_begin: bool
    voters: int
    # A silent voter gives its vote to a waiting controller after this time.
    replace_silent_ms: int


@dataclass(frozen=True, slots=True)
class ControllerAddress:
    """A controller as the others reach it, for the agreement."""

    name: str
    # "ip:port".
    address: str
    via: str | None = None


@dataclass(frozen=True, slots=True)
class FlowAgreementSettings:
    """What the agreement needs of a controller's settings."""

    name: str
    # "ip:port".
    control_address: str
    data_folder: Path
    controllers: tuple[ControllerAddress, ...]
    may_begin: bool
    voters: int | None
    replace_silent_ms: int
    # Inodes and change times do not outlast a restart of these hosts.
    sealed_folder: bool = False
