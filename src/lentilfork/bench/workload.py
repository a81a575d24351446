"""What callers ask for: the requests of each deployment of today."""

import random
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Final

__all__ = ["WORKLOADS", "Kind", "Request", "Template", "make_request"]


@unique
class Kind(Enum):
    """How a request is sent and judged."""

    # Idempotent and short.
    LOOKUP = "lookup"
    # Not idempotent and short; carries an id.
    CHANGE = "change"
    # Idempotent, fetched block by block.
    DOWNLOAD = "download"


@dataclass(frozen=True, slots=True)
class Template:
    """A family of requests to one service."""

    service: str
    kind: Kind
    method: str
    # "{}" stands for the number of the object asked for.
    path: str
    # Number of different objects.
    objects: int


@dataclass(frozen=True, slots=True)
class Request:
    """One request of one caller, whatever number of times it is sent."""

    service: str
    kind: Kind
    method: str
    path: str
    # Unique for this request, except for downloads, which are shared content.
    query: tuple[str, ...]

    @property
    def payload(self) -> bytes:
        """Body of a change; empty for all others."""
        return b'{"sensed": "ice"}' if self.kind is Kind.CHANGE else b""


WORKLOADS: Final = {
    "guild": (
        Template("warnings", Kind.LOOKUP, "GET", "/warnings/bend-{}", 400),
        Template("warnings", Kind.CHANGE, "POST", "/reports", 1),
        Template("artwork", Kind.DOWNLOAD, "GET", "/artwork/pack-{}", 30),
    ),
    "orchestra": (
        Template("chairs", Kind.LOOKUP, "GET", "/chairs/player-{}", 120),
        Template("chairs", Kind.CHANGE, "POST", "/seats", 1),
        Template("layouts", Kind.DOWNLOAD, "GET", "/layouts/stage-{}", 20),
    ),
}


def make_request(template: Template, choice: random.Random, name: str) -> Request:
    """Return a request for a random object; `name` must not repeat in a run."""
    queries = {
        Kind.LOOKUP: (f"n={name}",),
        Kind.CHANGE: (f"id={name}",),
        Kind.DOWNLOAD: (),
    }
    return Request(
        service=template.service,
        kind=template.kind,
        method=template.method,
        path=template.path.format(choice.randrange(template.objects)),
        query=queries[template.kind],
    )
