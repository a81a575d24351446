"""Certificates of one process: read, checked, and read anew when files change.

A key that others may read is refused. Files that change to something unusable
are counted and the certificates in use stay.
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

__all__ = ["Certificates", "load_certificates", "read_stamp"]

STEP: Final = "read certificates"
OTHERS_MASK: Final = stat.S_IRWXG | stat.S_IRWXO


@dataclass(frozen=True, slots=True)
class Certificates:
    """PEM texts of one process."""

    certificate: bytes
    key: bytes
    authority: bytes


def load_certificates(settings: TlsSettings) -> Result[Certificates, Failure]:
    """Read and check the files; the failure names the file and what is wrong."""
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
    """Raise ssl.SSLError if the certificate and the key do not belong together."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(settings.certificate, settings.key)


def read_stamp(settings: TlsSettings) -> tuple[tuple[int, int], ...]:
    """Return what differs when a file was replaced; zeros for a missing one."""
    return tuple(map(stat_file, (settings.certificate, settings.key)))


def stat_file(path: Path) -> tuple[int, int]:
    """Return inode and time of change of a file."""
    try:
        found = os.stat(path)
    except OSError:
        return 0, 0
    return found.st_ino, found.st_mtime_ns
