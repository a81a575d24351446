"""Settings of one daemon: the border at which its JSON file is checked.

Each process reads one file whose `role` selects the model below. Unknown keys,
wrong types and values out of range are refused with the file, the key and what
was expected. Everything inside the daemon takes these frozen models as they are.
"""

import ipaddress
import json
from pathlib import Path
from typing import Annotated
from typing import Final
from typing import Literal

from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from lentilfork.errors import Failure

__all__ = [
    "SETTINGS_ADAPTER",
    "AgentSettings",
    "BalancerSettings",
    "CommonSettings",
    "ControllerPeer",
    "ControllerSettings",
    "LogSettings",
    "MetricsSettings",
    "Settings",
    "SocketAddress",
    "TlsSettings",
    "load_settings",
    "split_address",
]

STEP: Final = "read settings"
MAXIMUM_PORT: Final = 65535


def check_socket_address(text: str) -> str:
    """Return `text` if it is an IPv4 address and a port, else raises ValueError."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) <= MAXIMUM_PORT:
        raise ValueError("expected IPv4:PORT, such as 127.0.0.1:7000")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("expected IPv4:PORT, such as 127.0.0.1:7000") from None
    return text


SocketAddress = Annotated[str, AfterValidator(check_socket_address)]
ProcessName = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of a checked "ip:port" text."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class FrozenModel(BaseModel):
    """A model that refuses unknown keys and later changes."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LogSettings(FrozenModel):
    """How log records are written to standard error."""

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "notice", "warning", "error"] = "info"


class MetricsSettings(FrozenModel):
    """Where metrics are served for scraping over HTTP."""

    address: SocketAddress


class TlsSettings(FrozenModel):
    """Certificates for gRPC between the system's processes and for operators."""

    certificate: Path
    key: Path
    # Peers must present a certificate signed by this authority.
    authority: Path


class CommonSettings(FrozenModel):
    """What every role needs."""

    name: ProcessName
    data_centre: ProcessName
    # The gRPC server of this process.
    control_address: SocketAddress
    log: LogSettings = LogSettings()
    metrics: MetricsSettings | None = None
    tls: TlsSettings | None = None


class BalancerSettings(CommonSettings):
    """An entry host's process: takes packets from the fabric."""

    role: Literal["balancer"]
    controllers: Annotated[tuple[SocketAddress, ...], Field(min_length=1)]
    # UDP socket the fabric sends packets to.
    packet_address: SocketAddress


class AgentSettings(CommonSettings):
    """The process beside one backend server."""

    role: Literal["agent"]
    controllers: Annotated[tuple[SocketAddress, ...], Field(min_length=1)]
    # UDP socket that balancers and other agents send envelopes to.
    packet_address: SocketAddress
    # Where answers to callers go: the fabric's return address.
    return_address: SocketAddress
    service: ProcessName
    backend_server: SocketAddress
    slots: Annotated[int, Field(ge=1, le=1024)] = 1


class ControllerPeer(FrozenModel):
    """A controller as the others reach it."""

    name: ProcessName
    address: SocketAddress


class ControllerSettings(CommonSettings):
    """A process on a host with a disk: keeps the agreed state."""

    role: Literal["controller"]
    data_folder: Path
    # The voters the state begins with, this process among them. A process that
    # is to join a running system lists the running controllers only.
    controllers: Annotated[tuple[ControllerPeer, ...], Field(min_length=1)]


Settings = Annotated[
    BalancerSettings | AgentSettings | ControllerSettings,
    Field(discriminator="role"),
]
SETTINGS_ADAPTER: TypeAdapter[BalancerSettings | AgentSettings | ControllerSettings] = (
    TypeAdapter(Settings)
)


def describe_validation_error(error: ValidationError) -> str:
    """Return the first problem of a validation error as one line."""
    first = error.errors()[0]
    # The discriminator stands in front of the location; it is no key of the file.
    keys = [str(part) for part in first["loc"]]
    if keys and keys[0] in {"balancer", "agent", "controller"}:
        keys = keys[1:]
    message = first["msg"].removeprefix("Value error, ")
    return f"key {'.'.join(keys) or 'role'}: {message}"


def load_settings(
    path: Path,
) -> Result[BalancerSettings | AgentSettings | ControllerSettings, Failure]:
    """Read and checks a settings file; the failure names file, key and reason."""
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Err(Failure(STEP, str(path), error.strerror or str(error)))
    except UnicodeDecodeError:
        return Err(Failure(STEP, str(path), "expected UTF-8 text"))
    except json.JSONDecodeError as error:
        text = f"line {error.lineno}, column {error.colno}: {error.msg}; expected JSON"
        return Err(Failure(STEP, str(path), text))
    try:
        return Ok(SETTINGS_ADAPTER.validate_python(document, strict=False))
    except ValidationError as error:
        return Err(Failure(STEP, str(path), describe_validation_error(error)))
