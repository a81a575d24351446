"""Checks of the host, made before a role starts.

The checks cover the addresses, folders and files that the settings name. All addresses
are bound briefly at the same time, so that two keys with the same address are detected.
The checks leave no files behind. A failure names the settings file, the key and the
expected value.
"""

import errno
import fcntl
import os
import socket
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack
from contextlib import suppress
from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path
from typing import Final

from result import Err

from lentilfork.errors import Failure
from lentilfork.settings import AgentSettings
from lentilfork.settings import BalancerSettings
from lentilfork.settings import CommonSettings
from lentilfork.settings import ControllerSettings
from lentilfork.settings import TlsSettings
from lentilfork.settings import split_address

__all__ = ["check_host"]

STEP: Final = "check host"
# Messages for the errors with which binding an address fails.
BIND_PROBLEMS: Final = {
    errno.EADDRINUSE: "is in use; expected a free port",
    errno.EADDRNOTAVAIL: "is not an address of this host; expected a local address",
    errno.EACCES: "may not be bound by this user; expected a permitted port",
}


@dataclass(frozen=True, slots=True)
class LocalAddress:
    """An address that this process binds when it starts."""

    # Key of the settings file.
    key: str
    address: str
    # socket.SOCK_STREAM or socket.SOCK_DGRAM.
    kind: socket.SocketKind


@singledispatch
def list_addresses(settings: CommonSettings) -> list[LocalAddress]:
    """Return the addresses that a process with these settings binds."""
    addresses = [
        LocalAddress("control_address", settings.control_address, socket.SOCK_STREAM)
    ]
    if settings.metrics is not None:
        address = settings.metrics.address
        addresses.append(LocalAddress("metrics.address", address, socket.SOCK_STREAM))
    return addresses


@list_addresses.register(BalancerSettings)
@list_addresses.register(AgentSettings)
def list_addresses_with_packets(
    settings: BalancerSettings | AgentSettings,
) -> list[LocalAddress]:
    """Return the addresses of a role with a packet socket."""
    packets = LocalAddress("packet_address", settings.packet_address, socket.SOCK_DGRAM)
    return [*list_addresses.dispatch(CommonSettings)(settings), packets]


def bind_address(local: LocalAddress) -> socket.socket:
    """Return a socket bound to an address; raise OSError if that fails."""
    probe = socket.socket(socket.AF_INET, local.kind)
    try:
        if local.kind is socket.SOCK_STREAM:
            # The servers set this option too. Without it, recently closed connections
            # would make the check fail.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(split_address(local.address))
        if local.kind is socket.SOCK_STREAM:
            probe.listen(1)
    except OSError:
        probe.close()
        raise
    return probe


def find_address_problems(settings: CommonSettings) -> Iterator[str]:
    """Yield a message for each address that this process cannot bind."""
    with ExitStack() as probes:
        for local in list_addresses(settings):
            try:
                probes.enter_context(bind_address(local))
            except OSError as error:
                known_problem = BIND_PROBLEMS.get(error.errno or 0)
                text = known_problem or f"cannot be bound: {error.strerror}"
                yield f"key {local.key}: {local.address} {text}"


def find_folder_problems(key: str, folder: Path) -> Iterator[str]:
    """Yield a message if a data folder cannot be read, written or created."""
    if not folder.exists():
        folder = folder.parent
        if not folder.is_dir():
            yield f"key {key}: {folder} is not a folder; expected one"
            return
    if not folder.is_dir():
        yield f"key {key}: {folder} is not a folder; expected one"
        return
    try:
        os.listdir(folder)
        # An unnamed file; where the file system does not support that, a file that
        # is deleted immediately.
        with tempfile.TemporaryFile(dir=folder):
            pass
    except OSError as error:
        reason = error.strerror or str(error)
        yield (
            f"key {key}: {folder}: {reason}; expected a folder this user may "
            "read and write"
        )


def find_lock_problems(key: str, folder: Path) -> Iterator[str]:
    """Yield a message if another process has locked the data folder."""
    from lentilfork.agreement.files import LOCK_NAME

    with suppress(FileNotFoundError), (folder / LOCK_NAME).open("r+") as lock:
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            yield (
                f"key {key}: {folder} is in use by another process; expected a "
                "folder for this process alone"
            )


def find_tls_problems(tls: TlsSettings) -> Iterator[str]:
    """Yield a message if the certificate files cannot be loaded."""
    from lentilfork.certificates import load_certificates

    loaded = load_certificates(tls)
    if isinstance(loaded, Err):
        failure = loaded.err_value
        paths = ((key, str(path)) for key, path in tls if str(path) == failure.peer)
        key, path = next(paths, ("certificate", failure.peer))
        yield f"key tls.{key}: {path}: {failure.message}"


@singledispatch
def find_host_problems(settings: CommonSettings) -> Iterator[str]:
    """Yield a message for each problem of this host with these settings."""
    if settings.tls is not None:
        yield from find_tls_problems(settings.tls)
    yield from find_address_problems(settings)


@find_host_problems.register
def find_controller_problems(settings: ControllerSettings) -> Iterator[str]:
    """Yield a message for each problem of this host with a controller's settings."""
    key, folder = "data_folder", settings.data_folder
    problems = list(find_folder_problems(key, folder))
    yield from problems or find_lock_problems(key, folder)
    yield from find_host_problems.dispatch(CommonSettings)(settings)


def check_host(settings: CommonSettings, path: Path) -> Failure | None:
    """Return the first problem of this host with these settings; None if none."""
    problems = list(find_host_problems(settings))
    return Failure(STEP, str(path), problems[0]) if problems else None
