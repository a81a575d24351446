"""What backend server stand-ins answer, and the check that an answer is whole.

Long content is a function of its path and version alone, so a caller can tell
any mixture of versions or paths from the real thing. Short answers repeat the
method, path and query they belong to.
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
    """The payload of a lookup, a report or a change, as JSON."""

    method: str
    path: str
    query: tuple[str, ...]
    # Name of the backend server that ran the request.
    server: str
    # Content version of that server.
    version: int

    def encode(self) -> bytes:
        """Return the payload."""
        return json.dumps(asdict(self)).encode()


def make_etag(path: str, version: int) -> bytes:
    """Return the tag of one version of one content."""
    return hashlib.sha256(f"{path}@{version}".encode()).digest()[:ETAG_BYTES]


def make_content(path: str, version: int, size: int = LONG_CONTENT_BYTES) -> bytes:
    """Return `size` bytes that no other path or version shares."""
    head = f"{path}@{version}\n".encode()
    body = hashlib.shake_256(head).digest(max(0, size - len(head)))
    return (head + body)[:size]


def check_content(payload: bytes, path: str, size: int = LONG_CONTENT_BYTES) -> bool:
    """Tell whether `payload` is one whole version of the content of `path`."""
    head, _, _ = payload.partition(b"\n")
    name, _, version = head.decode(errors="replace").rpartition("@")
    if name != path or not version.isdigit():
        return False
    return payload == make_content(path, int(version), size)


def check_short_answer(
    payload: bytes, method: str, path: str, query: tuple[str, ...]
) -> bool:
    """Tell whether `payload` answers this very request."""
    try:
        answer = json.loads(payload)
    except ValueError:
        return False
    asked = {"method": method, "path": path, "query": list(query)}
    return isinstance(answer, dict) and asked.items() <= answer.items()
