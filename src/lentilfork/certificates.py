"""Reads and checks the TLS certificates of a process.

A key file that group or others may access is refused.
"""

import os
import ssl
import stat
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork.errors import Failure
from lentilfork.settings import TlsSettings

__all__ = ["Certificates", "load_certificates", "read_file_versions"]

STEP: Final = "read certificates"
OTHERS_MASK: Final = stat.S_IRWXG | stat.S_IRWXO


@dataclass(frozen=True, slots=True)
class Certificates:
    """Certificate, private key and authority of one process, in PEM."""

    certificate: bytes
    key: bytes
    authority: bytes


def load_certificates(settings: TlsSettings) -> Result[Certificates, Failure]:
    """Read and check the files; a failure names the file and the problem."""
    path = settings.key
    try:
        mode = stat.S_IMODE(path.stat().st_mode)
        if mode & OTHERS_MASK:
            text = f"mode {mode:04o} lets others use the key; expected 0600"
            return Err(Failure(STEP, str(path), text))
        key = path.read_bytes()
        path = settings.certificate
        certificate = path.read_bytes()
        check_pair(settings)
        path = settings.authority
        authority = path.read_bytes()
        ssl.create_default_context(cafile=str(path))
    except ssl.SSLError as error:
        return Err(Failure(STEP, str(path), f"unusable: {error.reason or error}"))
    except OSError as error:
        return Err(Failure(STEP, str(path), error.strerror or str(error)))
    return Ok(Certificates(certificate, key, authority))


def check_pair(settings: TlsSettings) -> None:
    """Raise ssl.SSLError if the certificate and the key do not match."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.certificate, settings.key)


def read_file_versions(settings: TlsSettings) -> tuple[tuple[int, int], ...]:
    """Return inode and modification time of certificate and key, zeros if missing.

    The result changes when either file is replaced.
    """
    return tuple(map(read_file_version, (settings.certificate, settings.key)))


def read_file_version(path: Path) -> tuple[int, int]:
    """Return inode and modification time (ns) of a file, zeros if it is missing."""
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0
    return found.st_ino, found.st_mtime_ns
