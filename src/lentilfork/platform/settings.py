"""The platform's settings file, converted to the settings of the product."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated
from typing import Any
from typing import Final

import msgspec
from msgspec import Meta
from msgspec import Struct
from result import Err
from result import Result

from lentilfork.addresses import MAXIMUM_PORT
from lentilfork.addresses import check_socket_address
from lentilfork.addresses import split_address
from lentilfork.documents import load_toml
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.forwarding.settings import FlowAgentSettings
from lentilfork.forwarding.settings import FlowBalancerSettings
from lentilfork.forwarding.settings import FlowControllerSettings

__all__ = [
    "PlatformSettings",
    "list_controllers",
    "list_evacuable",
    "load_settings",
    "make_agent_settings",
    "make_balancer_settings",
    "make_controller_settings",
]

SocketAddress = tuple[str, int]
READ_STEP: Final = "read settings"
MS_PER_S: Final = 1_000
# Offsets of each role's port from the first port of the internal range.
CONTROLLER_PORT: Final = 0
BALANCER_PORT: Final = 1
AGENT_PORT: Final = 2
# A voter without heartbeats may lose its vote after half of the catch-up time, well
# before another voter may fail.
REPLACE_DIVISOR: Final = 2
# Controllers that deploy/system.toml starts in each data centre.
CONTROLLERS_PER_ZONE: Final = 2
PLACES: Final = "places"

Port = Annotated[int, Meta(ge=1, le=MAXIMUM_PORT)]


class Listen(Struct, frozen=True):
    """Addresses that the role listens at, each "ip:port"."""

    # UDP socket for callers' packets.
    datagram_addr: str | None = None
    # HTTP readiness check.
    readiness_addr: str | None = None
    # HTTP calls of endpoints and operators; not the control port of the product.
    control: str | None = None
    # UDP socket for packets of the endpoint on this machine.
    outbound: str | None = None


class Tolerance(Struct, frozen=True):
    """Failures that the system must survive at the same time."""

    # Number of failed machines.
    machines: int = 1
    # Number of failed data centres.
    zones: int = 0


class Bounds(Struct, frozen=True):
    """Time limits of the platform."""

    # Time between the signal to stop and the end of the process.
    grace_s: float = 6.0
    # Twice the time after which a voter without heartbeats may lose its vote.
    catch_up_s: float = 4.0
    # Time from the acknowledgement of an evacuation until no new flow reaches the data
    # centre; evacuations are served only if it is set.
    evacuate_ms: float | None = None
    # Most new flows of a cold endpoint in a second: this many times its rate ...
    cold_overshoot: float | None = None
    # ... and this many more.
    cold_slack: float | None = None


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """The settings of one process."""

    # Name of the machine; it does not depend on the role.
    node_id: str
    ip: str
    # Name of the data centre.
    zone: str
    # First and last port of the range for traffic between processes.
    internal_ports: tuple[Port, Port]
    # "ip:port" of HTTP control on some machines that run controllers.
    seeds: tuple[str, ...] = ()
    # Whether the whole system starts for the first time.
    bootstrap: bool = False
    # Folder on the machine's disk; empty without a disk.
    data_dir: str = ""
    heartbeat_ms: float = 1_000
    service: str = ""
    # "ip:port" at which the endpoint receives packets.
    app: str | None = None
    listen: Listen
    fault_tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    # Data centres by name; the values are not used.
    zones: dict[str, Any] = {}
    # Sets of rules by which the deployment is judged.
    contracts: tuple[str, ...] = ()
    # "places" places flows by the state of the data centres, where the contracts name
    # that too. It is off by default, since it costs processor time.
    placement: str = ""

    @property
    def has_evacuations(self) -> bool:
        """Whether operators may evacuate data centres."""
        return self.bounds.evacuate_ms is not None


@dataclass(frozen=True, slots=True)
class MissingKeyError(Exception):
    """Raised if the settings file lacks a key that the role needs."""

    key: str


def load_settings(path: Path) -> Result[PlatformSettings, Failure]:
    """Read and validate the settings file; a failure names file, key and reason."""
    loaded = load_toml(path, PlatformSettings, READ_STEP)
    if isinstance(loaded, Err):
        return loaded
    for key, address in list_addresses(loaded.ok_value):
        try:
            check_socket_address(address)
        except ValueError as error:
            message = f"key {key}: {error}"
            return Err(Failure(READ_STEP, str(path), message, ExitCode.USAGE))
    return loaded


def list_addresses(settings: PlatformSettings) -> list[tuple[str, str]]:
    """Return the key and the "ip:port" text of each address in the settings."""
    listen = msgspec.structs.asdict(settings.listen)
    addresses = {"app": settings.app} | {f"listen.{key}": listen[key] for key in listen}
    return [("seeds", seed) for seed in settings.seeds] + [
        (key, address) for key, address in addresses.items() if address is not None
    ]


def require(key: str, address: str | None) -> SocketAddress:
    """Return the address of a key as a pair; MissingKeyError if it is not set."""
    if address is None:
        raise MissingKeyError(key)
    return split_address(address)


def list_controllers(settings: PlatformSettings) -> tuple[SocketAddress, ...]:
    """Return the internal addresses of the controllers on the seed machines."""
    port = settings.internal_ports[0] + CONTROLLER_PORT
    return tuple((split_address(seed)[0], port) for seed in settings.seeds)


def list_evacuable(settings: PlatformSettings) -> frozenset[str]:
    """Return the data centres that operators may evacuate."""
    return frozenset(settings.zones if settings.has_evacuations else ())


def make_balancer_settings(settings: PlatformSettings) -> FlowBalancerSettings:
    """Return the settings of a balancer; MissingKeyError if a key is not set."""
    packet_address = require("listen.datagram_addr", settings.listen.datagram_addr)
    return FlowBalancerSettings(
        settings.node_id,
        settings.zone,
        (settings.ip, settings.internal_ports[0] + BALANCER_PORT),
        list_controllers(settings),
        packet_address[1],
        packet_address,
        evacuations=settings.has_evacuations,
    )


def make_agent_settings(settings: PlatformSettings) -> FlowAgentSettings:
    """Return the settings of an agent; MissingKeyError if a key is not set."""
    packet_address = require("listen.datagram_addr", settings.listen.datagram_addr)
    if not settings.service:
        raise MissingKeyError("service")
    return FlowAgentSettings(
        settings.node_id,
        settings.zone,
        (settings.ip, settings.internal_ports[0] + AGENT_PORT),
        list_controllers(settings),
        packet_address[1],
        settings.service,
        require("listen.outbound", settings.listen.outbound),
        require("app", settings.app),
        settings.heartbeat_ms / MS_PER_S,
        settings.bounds.grace_s,
        evacuations=settings.has_evacuations,
        places=settings.placement == PLACES and PLACES in settings.contracts,
        cold_overshoot=settings.bounds.cold_overshoot,
        cold_slack=settings.bounds.cold_slack,
    )


def make_controller_settings(settings: PlatformSettings) -> FlowControllerSettings:
    """Return the settings of a controller."""
    tolerance = settings.fault_tolerance
    return FlowControllerSettings(
        settings.zone,
        (settings.ip, settings.internal_ports[0] + CONTROLLER_PORT),
        list_controllers(settings),
        Path(settings.data_dir) if settings.data_dir else None,
        settings.bootstrap,
        max(tolerance.machines, tolerance.zones * CONTROLLERS_PER_ZONE),
        round(settings.bounds.catch_up_s * MS_PER_S / REPLACE_DIVISOR),
        settings.has_evacuations,
        settings.bounds.grace_s,
    )
