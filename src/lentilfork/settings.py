"""Settings of one daemon: models of its JSON file, and the checks of the file.

Each process reads one file; its key `role` selects one of the models below. Unknown
keys, wrong types and values out of range are refused with an error that names the file,
the key and the expected value. The rest of the daemon relies on these immutable models
without further checks.
"""

import json
from pathlib import Path
from typing import Annotated
from typing import Final
from typing import Literal
from typing import TypeVar

from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from lentilfork.addresses import check_socket_address
from lentilfork.addresses import split_address
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure

__all__ = [
    "SETTINGS_ADAPTER",
    "AgentSettings",
    "BalancerSettings",
    "CommonSettings",
    "ControllerPeer",
    "ControllerSettings",
    "DocumentModel",
    "FrozenModel",
    "LogSettings",
    "MetricsSettings",
    "ProcessName",
    "Settings",
    "SocketAddress",
    "TlsSettings",
    "load_document",
    "load_settings",
    "split_address",
]

STEP: Final = "read settings"
ROLES: Final = frozenset({"agent", "balancer", "controller"})

Document = TypeVar("Document")


SocketAddress = Annotated[
    str,
    AfterValidator(check_socket_address),
    # Lets editors check the text; the validator above is stricter.
    Field(
        json_schema_extra={
            "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$",
            "examples": ["10.0.0.1:7000"],
        }
    ),
]
ProcessName = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class FrozenModel(BaseModel):
    """An immutable model that refuses unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class DocumentModel(FrozenModel):
    """The model of a whole file, which may name its JSON Schema for editors."""

    schema_: Annotated[str | None, Field(alias="$schema")] = None


class LogSettings(FrozenModel):
    """Format and lowest level of the log records written to standard error."""

    format: Literal["text", "json"] = "text"
    level: Literal["debug", "info", "notice", "warning", "error"] = "info"


class MetricsSettings(FrozenModel):
    """Address at which metrics are served over HTTP."""

    address: SocketAddress


class TlsSettings(FrozenModel):
    """Certificates for gRPC between the system's processes and for operators."""

    certificate: Path
    key: Path
    # Certificate authority that must have signed the certificates of peers.
    authority: Path


class CommonSettings(DocumentModel):
    """Settings that all roles have."""

    name: ProcessName
    data_centre: ProcessName
    # Address of the gRPC server of this process.
    control_address: SocketAddress
    log: LogSettings = LogSettings()
    metrics: MetricsSettings | None = None
    tls: TlsSettings | None = None


class BalancerSettings(CommonSettings):
    """Settings of a balancer, which forwards packets from the fabric to agents."""

    role: Literal["balancer"]
    controllers: Annotated[tuple[SocketAddress, ...], Field(min_length=1)]
    # Address of the UDP socket to which the fabric sends packets.
    packet_address: SocketAddress


class AgentSettings(CommonSettings):
    """Settings of an agent, which runs next to one backend server."""

    role: Literal["agent"]
    controllers: Annotated[tuple[SocketAddress, ...], Field(min_length=1)]
    # Address of the UDP socket to which balancers and agents send envelopes.
    packet_address: SocketAddress
    # Addresses at which others reach this process, if address translation makes them
    # differ from the addresses it binds. None: the bound addresses.
    announced_packet_address: SocketAddress | None = None
    announced_control_address: SocketAddress | None = None
    # Address of the fabric to which answers to callers are sent.
    return_address: SocketAddress
    service: ProcessName
    backend_server: SocketAddress
    slots: Annotated[int, Field(ge=1, le=1024)] = 1


class ControllerPeer(FrozenModel):
    """Name and address of a controller, as the other processes reach it."""

    name: ProcessName
    address: SocketAddress
    # Address that this process uses instead, such as a forwarded port.
    via: SocketAddress | None = None


def check_unique_peers(peers: tuple[ControllerPeer, ...]) -> tuple[ControllerPeer, ...]:
    """Return `peers` if names and addresses are unique; raise ValueError otherwise."""
    names = {peer.name for peer in peers}
    addresses = {peer.address for peer in peers}
    if min(len(names), len(addresses)) < len(peers):
        raise ValueError("expected a name and an address of its own for each")
    return peers


class ControllerSettings(CommonSettings):
    """Settings of a controller, which stores the replicated state on a disk."""

    role: Literal["controller"]
    data_folder: Path
    # Voters with which a new replicated state begins, including this process. A
    # process that joins a running system lists only the running controllers.
    controllers: Annotated[
        tuple[ControllerPeer, ...],
        Field(min_length=1),
        AfterValidator(check_unique_peers),
    ]
    # Whether this process may begin a new replicated state. Set to False if one
    # exists or has existed.
    may_begin: bool = True
    # Number of controllers that vote; None: as many as the state began with.
    voters: Annotated[int, Field(ge=1, le=9)] | None = None
    # A voter that has not responded for this long is replaced by a spare controller.
    replace_silent_ms: Annotated[int, Field(ge=500)] = 20_000
    # Whether a copied data folder is detected by its inode and change time. Set to
    # False on hosts whose storage does not preserve these across a restart.
    sealed_folder: bool = True
    # Share of a service's agents that may be removed at the same time for missed
    # heartbeats. The default is the number of agents in its largest data centre. If
    # all agents of a service have missed their heartbeats, none is removed.
    silence_limit_percent: Annotated[int, Field(ge=1, le=100)] | None = None

    @property
    def tolerated_losses(self) -> None:
        """None: operators choose the controllers."""
        return


Settings = Annotated[
    BalancerSettings | AgentSettings | ControllerSettings,
    Field(discriminator="role"),
]
SETTINGS_ADAPTER: TypeAdapter[BalancerSettings | AgentSettings | ControllerSettings] = (
    TypeAdapter(Settings)
)


def format_key(key: str) -> str:
    """Return a key as text that fits into a one-line message."""
    return key if key.isprintable() else json.dumps(key)


def describe_validation_error(error: ValidationError, tags: frozenset[str]) -> str:
    """Return the first problem of a validation error as one line.

    `tags` are the values that select a model of a union. Pydantic puts the tag first in
    the location of an error, although it is not a key of the file.
    """
    first = error.errors(include_url=False)[0]
    keys = [str(part) for part in first["loc"]]
    if keys and keys[0] in tags:
        keys = keys[1:]
    key = format_key(".".join(keys))
    match first["type"]:
        case "extra_forbidden":
            return f"key {key}: unknown; expected no such key"
        case "missing":
            return f"key {key}: missing; expected a value"
        case "union_tag_invalid" | "union_tag_not_found":
            return f"key role: expected one of {', '.join(sorted(tags))}"
        case _:
            message = first["msg"].removeprefix("Value error, ")
            return f"key {key or '-'}: {message}"


def reject_repeated_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Return a JSON object as a dictionary; raise KeyError for a repeated key."""
    document = dict(pairs)
    if len(document) < len(pairs):
        names = [name for name, _ in pairs]
        raise KeyError(next(name for name in names if names.count(name) > 1))
    return document


def load_document(
    path: Path,
    adapter: TypeAdapter[Document],
    step: str,
    tags: frozenset[str] = frozenset(),
) -> Result[Document, Failure]:
    """Read and check a JSON file; a failure names the file, the key and the reason.

    `step` is the step named in a failure; `tags` are explained in
    `describe_validation_error`.
    """

    def make_failure(message: str) -> Err[Failure]:
        return Err(Failure(step, str(path), message, ExitCode.USAGE))

    try:
        text = path.read_text(encoding="utf-8")
        json.loads(text, object_pairs_hook=reject_repeated_keys)
        return Ok(adapter.validate_json(text, strict=True))
    except OSError as error:
        return make_failure(f"{error.strerror or error}; expected a readable file")
    except RecursionError:
        return make_failure("nested too deeply; expected a flat document")
    except UnicodeDecodeError:
        return make_failure("expected UTF-8 text")
    except json.JSONDecodeError as error:
        position = f"line {error.lineno}, column {error.colno}"
        return make_failure(f"{position}: {error.msg}; expected JSON")
    except KeyError as error:
        return make_failure(
            f"key {format_key(error.args[0])}: repeated; expected it once"
        )
    except ValidationError as error:
        return make_failure(describe_validation_error(error, tags))
    except ValueError as error:
        # Raised for numbers with thousands of digits.
        return make_failure(f"{error}; expected JSON with shorter numbers")


def load_settings(
    path: Path,
) -> Result[BalancerSettings | AgentSettings | ControllerSettings, Failure]:
    """Read and check a settings file; a failure names file, key and reason."""
    return load_document(path, SETTINGS_ADAPTER, STEP, ROLES)
