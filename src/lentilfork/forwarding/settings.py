"""Settings of processes that forward flows.

The platform's code fills them in from its own settings file. Times are in seconds
unless the name says otherwise.
"""

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Final

__all__ = [
    "STOP_MARGIN_S",
    "ControllerAddress",
    "FlowAgentSettings",
    "FlowAgreementSettings",
    "FlowBalancerSettings",
    "FlowControllerSettings",
    "MemberSettings",
]

SocketName = tuple[str, int]
# Time of `grace_s` that is reserved for stopping the process, after its last flows or
# its vote are no longer waited for.
STOP_MARGIN_S: Final = 0.8


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings that balancers and agents have in common."""

    name: str
    data_centre: str
    # Socket for envelopes and announcements.
    address: SocketName
    # Addresses that controllers receive announcements at; may be incomplete or
    # outdated.
    controllers: tuple[SocketName, ...]
    # Port that callers receive packets at.
    caller_port: int
    # Whether operators may evacuate data centres: after its start, the member places no
    # flow before it knows the evacuations.
    evacuations: bool = field(default=False, kw_only=True)


@dataclass(frozen=True, slots=True)
class FlowBalancerSettings(MemberSettings):
    """Settings of a balancer."""

    # Socket that receives callers' packets.
    packet_address: SocketName


@dataclass(frozen=True, slots=True)
class FlowAgentSettings(MemberSettings):
    """Settings of the agent of one backend server on the same host."""

    service: str
    # Socket that receives the backend server's packets, and the backend server's
    # socket.
    outbound_address: SocketName
    server_address: SocketName
    # Interval of the backend server's announcements.
    server_interval_s: float
    # Time from the signal to stop until the process is killed.
    grace_s: float
    # Whether the deployment judges where flows are placed.
    places: bool = field(default=False, kw_only=True)
    # In one second a cold backend server may get its rate times `cold_overshoot` plus
    # `cold_slack` SYNs. There is no limit if neither is given.
    cold_overshoot: float | None = field(default=None, kw_only=True)
    cold_slack: float | None = field(default=None, kw_only=True)


@dataclass(frozen=True, slots=True)
class FlowControllerSettings:
    """Settings of a controller."""

    data_centre: str
    # Address of the gRPC server for consensus and of the socket for members' datagrams.
    address: SocketName
    # Controllers known at the start; they are the first voters of a new history.
    controllers: tuple[SocketName, ...]
    # None on a host without a disk, whose controller never votes.
    data_folder: Path | None
    # Whether the whole system starts for the first time, so that a history may be
    # created.
    may_begin: bool
    # Controllers that may be lost at once, with their disks.
    tolerated_losses: int
    # Time without a response after which a voter may lose its vote.
    replace_silent_ms: int
    # Whether operators may evacuate data centres.
    evacuations: bool = False
    # Time from the signal to stop until the process is killed.
    grace_s: float = 6.0


@dataclass(frozen=True, slots=True)
class ControllerAddress:
    """Name and address of a controller for consensus."""

    name: str
    # "ip:port".
    address: str
    via: str | None = None


@dataclass(frozen=True, slots=True)
class FlowAgreementSettings:
    """Settings of a controller that Raft-style consensus uses."""

    name: str
    # "ip:port".
    control_address: str
    data_folder: Path | None
    controllers: tuple[ControllerAddress, ...]
    may_begin: bool
    tolerated_losses: int
    replace_silent_ms: int
    # Every controller with a disk votes.
    voters: None = None
    # False, since inodes and change times do not survive a restart of these hosts.
    sealed_folder: bool = False
