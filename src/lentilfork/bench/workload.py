"""Request kinds and templates of the example deployments."""

import random
from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Final

__all__ = ["WORKLOADS", "Kind", "Request", "Template", "make_request"]


@unique
class Kind(Enum):
    """Kind of a request; decides how it is sent and how its answer is checked."""

    # Idempotent, with a short answer.
    LOOKUP = "lookup"
    # Not idempotent, with a short answer; has a unique id.
    CHANGE = "change"
    # Idempotent, with a long answer that is fetched block by block.
    DOWNLOAD = "download"


@dataclass(frozen=True, slots=True)
class Template:
    """Requests to one service that differ only in object and query."""

    service: str
    kind: Kind
    method: str
    # "{}" is replaced by the number of the requested object.
    path: str
    # Number of different objects.
    object_count: int


@dataclass(frozen=True, slots=True)
class Request:
    """One request of one caller; retries send the same request."""

    service: str
    kind: Kind
    method: str
    path: str
    # Unique for each request; empty for downloads, whose content is shared.
    query: tuple[str, ...]

    @property
    def payload(self) -> bytes:
        """Body of a change; empty for other kinds."""
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


def make_request(template: Template, rng: random.Random, name: str) -> Request:
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
        path=template.path.format(rng.randrange(template.object_count)),
        query=queries[template.kind],
    )
