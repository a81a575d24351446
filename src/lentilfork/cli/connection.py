"""Addresses of the controllers and certificates of the operator command.

The addresses come from the option `--controllers`, else from the environment, else
from the client settings file. Certificates come from that file only.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated
from typing import Final

from pydantic import Field
from pydantic import TypeAdapter
from result import Err
from result import Ok
from result import Result

from lentilfork.addresses import check_socket_address
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.settings import DocumentModel
from lentilfork.settings import SocketAddress
from lentilfork.settings import TlsSettings
from lentilfork.settings import load_document

__all__ = [
    "CLIENT_ADAPTER",
    "CONTROLLERS_VARIABLE",
    "SETTINGS_VARIABLE",
    "ClientSettings",
    "Connection",
    "find_connection",
]

CONTROLLERS_VARIABLE: Final = "LENTILFORK_CONTROLLERS"
SETTINGS_VARIABLE: Final = "LENTILFORK_SETTINGS"
FIND_CONTROLLERS_STEP: Final = "find controllers"


class ClientSettings(DocumentModel):
    """Settings of the operator command."""

    controllers: Annotated[tuple[SocketAddress, ...], Field(min_length=1)]
    tls: TlsSettings | None = None


CLIENT_ADAPTER: Final = TypeAdapter(ClientSettings)


@dataclass(frozen=True, slots=True)
class Connection:
    """The controllers to call and the certificates to use."""

    # "ip:port" of each controller, in the order in which they are tried.
    controllers: tuple[str, ...]
    # None for connections without TLS.
    tls: TlsSettings | None


def split_controllers(text: str, source: str) -> Result[tuple[str, ...], Failure]:
    """Return the addresses in a comma-separated list; `source` is for errors."""
    parts = [part.strip() for part in text.split(",")]
    try:
        return Ok(tuple(check_socket_address(part) for part in parts))
    except ValueError as error:
        return Err(
            Failure(FIND_CONTROLLERS_STEP, source, f"{text!r}: {error}", ExitCode.USAGE)
        )


def find_connection(
    controllers: str | None,
    settings_file: str | None,
    environment: Mapping[str, str],
    required: bool = True,
) -> Result[Connection, Failure]:
    """Return the controllers and certificates; options precede the environment.

    It is an error if no controllers are named while they are `required`.
    """
    settings = ClientSettings.model_construct(controllers=(), tls=None)
    settings_file = settings_file or environment.get(SETTINGS_VARIABLE)
    if settings_file:
        loaded = load_document(Path(settings_file), CLIENT_ADAPTER, "read settings")
        if isinstance(loaded, Err):
            return loaded
        settings = loaded.ok_value
    sources = (
        ("--controllers", controllers),
        (CONTROLLERS_VARIABLE, environment.get(CONTROLLERS_VARIABLE)),
    )
    for source, text in sources:
        if text:
            addresses = split_controllers(text, source)
            return addresses.map(lambda found: Connection(found, settings.tls))
    if required and not settings.controllers:
        message = (
            "no controllers named; expected --controllers IP:PORT,..., "
            f"{CONTROLLERS_VARIABLE} or --settings FILE"
        )
        return Err(Failure(FIND_CONTROLLERS_STEP, "-", message, ExitCode.USAGE))
    return Ok(Connection(settings.controllers, settings.tls))
