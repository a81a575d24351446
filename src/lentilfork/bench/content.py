"""Answers of simulated backend servers, and checks that an answer is complete.

Long content is a function of its path and version only, so a caller can detect
content that mixes versions or paths. Short answers contain the method, path and
query of their request.
"""

import hashlib
import json
from dataclasses import asdict
from dataclasses import dataclass
from typing import Final

__all__ = [
    "LONG_CONTENT_BYTES",
    "ShortAnswer",
    "check_content",
    "check_short_answer",
    "make_content",
    "make_etag",
]

LONG_CONTENT_BYTES: Final = 40_000
ETAG_BYTES: Final = 8


@dataclass(frozen=True, slots=True)
class ShortAnswer:
    """The payload of an answer to a lookup or a change, as JSON."""

    method: str
    path: str
    query: tuple[str, ...]
    # Name of the backend server that ran the request.
    server: str
    # Content version of the server.
    version: int

    def encode(self) -> bytes:
        """Return the payload."""
        return json.dumps(asdict(self)).encode()


def make_etag(path: str, version: int) -> bytes:
    """Return the entity tag of one version of the content of a path."""
    return hashlib.sha256(f"{path}@{version}".encode()).digest()[:ETAG_BYTES]


def make_content(path: str, version: int, size: int = LONG_CONTENT_BYTES) -> bytes:
    """Return `size` bytes of content specific to a path and version."""
    prefix = f"{path}@{version}\n".encode()
    body = hashlib.shake_256(prefix).digest(max(0, size - len(prefix)))
    return (prefix + body)[:size]


def check_content(payload: bytes, path: str, size: int = LONG_CONTENT_BYTES) -> bool:
    """Return whether `payload` is one complete version of the content of `path`."""
    prefix, _, _ = payload.partition(b"\n")
    name, _, version = prefix.decode(errors="replace").rpartition("@")
    if name != path or not version.isdigit():
        return False
    return payload == make_content(path, int(version), size)


def check_short_answer(
    payload: bytes, method: str, path: str, query: tuple[str, ...]
) -> bool:
    """Return whether `payload` is the answer to this request."""
    try:
        answer = json.loads(payload)
    except ValueError:
        return False
    expected = {"method": method, "path": path, "query": list(query)}
    return isinstance(answer, dict) and expected.items() <= answer.items()
