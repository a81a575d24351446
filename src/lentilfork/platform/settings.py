"""The platform's settings file, read into settings of the product."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import msgspec
from msgspec import Struct
from result import Err
from result import Ok
from result import Result

from lentilfork.addresses import check_socket_address
from lentilfork.addresses import split_address
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.forwarding.settings import FlowAgentSettings
from lentilfork.forwarding.settings import FlowBalancerSettings
from lentilfork.forwarding.settings import FlowControllerSettings

__all__ = [
    "PlatformSettings",
    "list_controllers",
    "load_settings",
    "make_agent_settings",
    "make_balancer_settings",
    "make_controller_settings",
]

SocketName = tuple[str, int]
STEP: Final = "read settings"
MS_PER_S: Final = 1_000
# Ports of the internal range, counted from its first.
CONTROLLER_PORT: Final = 0
BALANCER_PORT: Final = 1
AGENT_PORT: Final = 2
# A voter is replaced well before its loss may be followed by another one.
REPLACE_SHARE: Final = 2


class Listen(Struct, frozen=True):
    """Addresses of what the role serves, each "ip:port"."""

    datagram_addr: str | None = None
    readiness_addr: str | None = None
    # HTTP of endpoints and the operator, not the product's own control port.
    control: str | None = None
    # Where the endpoint on this machine sends its packets.
    outbound: str | None = None


class Tolerance(Struct, frozen=True):
    """What may be lost at the same time."""

    machines: int = 1


class Bounds(Struct, frozen=True):
    """Bounds of the rules."""

    grace_s: float = 6.0
    catch_up_s: float = 4.0


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """The settings of one process."""

    # Name of the machine, unlike its role.
    node_id: str
    ip: str
    # The data centre.
    zone: str
    internal_ports: tuple[int, int]
    # HTTP addresses of some machines that serve control.
    seeds: tuple[str, ...] = ()
    # The whole system starts for the first time.
    bootstrap: bool = False
    data_dir: str = ""
    heartbeat_ms: float = 1_000
    service: str = ""
    # The endpoint's own address.
    app: str | None = None
    listen: Listen
    fault_tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()


@dataclass(frozen=True, slots=True)
class MissingKeyError(Exception):
    """A key that the role needs is not in the file."""

    key: str


def load_settings(path: Path) -> Result[PlatformSettings, Failure]:
    """Read and check the settings file; the failure names file, key and reason."""

    def fail(message: str) -> Err[Failure]:
        return Err(Failure(STEP, str(path), message, ExitCode.USAGE))

    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        settings = msgspec.convert(values, PlatformSettings)
    except OSError as error:
        return fail(f"{error.strerror or error}; expected a readable file")
    except UnicodeDecodeError:
        return fail("expected UTF-8 text")
    except tomllib.TOMLDecodeError as error:
        return fail(f"{error}; expected TOML")
    except msgspec.ValidationError as error:
        return fail(f"{error}")
    for key, address in list_addresses(settings):
        try:
            check_socket_address(address)
        except ValueError as error:
            return fail(f"key {key}: {error}")
    return Ok(settings)


def list_addresses(settings: PlatformSettings) -> list[tuple[str, str]]:
    """Return the "ip:port" texts in the settings by their keys."""
    listen = msgspec.structs.asdict(settings.listen)
    single = {"app": settings.app} | {f"listen.{key}": listen[key] for key in listen}
    return [("seeds", seed) for seed in settings.seeds] + [
        (key, address) for key, address in single.items() if address is not None
    ]


def require(key: str, address: str | None) -> SocketName:
    """Return a socket name; MissingKeyError if the file has none."""
    if address is None:
        raise MissingKeyError(key)
    return split_address(address)


def list_controllers(settings: PlatformSettings) -> tuple[SocketName, ...]:
    """Return where the controllers of the seeds take announcements."""
    port = settings.internal_ports[0] + CONTROLLER_PORT
    return tuple((split_address(seed)[0], port) for seed in settings.seeds)


def make_balancer_settings(settings: PlatformSettings) -> FlowBalancerSettings:
    """Return a balancer's settings; MissingKeyError."""
    packets = require("listen.datagram_addr", settings.listen.datagram_addr)
    return FlowBalancerSettings(
        settings.node_id,
        settings.zone,
        (settings.ip, settings.internal_ports[0] + BALANCER_PORT),
        list_controllers(settings),
        packets[1],
        packets,
    )


def make_agent_settings(settings: PlatformSettings) -> FlowAgentSettings:
    """Return an agent's settings; MissingKeyError."""
    packets = require("listen.datagram_addr", settings.listen.datagram_addr)
    if not settings.service:
        raise MissingKeyError("service")
    return FlowAgentSettings(
        settings.node_id,
        settings.zone,
        (settings.ip, settings.internal_ports[0] + AGENT_PORT),
        list_controllers(settings),
        packets[1],
        settings.service,
        require("listen.outbound", settings.listen.outbound),
        require("app", settings.app),
        settings.heartbeat_ms / MS_PER_S,
        settings.bootstrap,
        settings.bounds.grace_s,
    )


def make_controller_settings(settings: PlatformSettings) -> FlowControllerSettings:
    """Return a controller's settings; MissingKeyError."""
    if not settings.data_dir:
        raise MissingKeyError("data_dir")
    return FlowControllerSettings(
        settings.zone,
        (settings.ip, settings.internal_ports[0] + CONTROLLER_PORT),
        list_controllers(settings),
        Path(settings.data_dir),
        settings.bootstrap,
        2 * settings.fault_tolerance.machines + 1,
        round(settings.bounds.catch_up_s * MS_PER_S / REPLACE_SHARE),
    )
