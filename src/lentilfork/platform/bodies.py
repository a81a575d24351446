"""Bodies of the platform's calls, checked and read into the product's types."""

import zlib
from ipaddress import IPv4Address
from typing import Annotated
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from lentilfork.errors import Failure
from lentilfork.forwarding.backend_server import ServerAnnouncement
from lentilfork.forwarding.backend_server import ServerState
from lentilfork.schema import state_pb2

__all__ = ["read_configuration", "read_heartbeat", "read_leave"]

Milliseconds = Annotated[int, Field(ge=0, lt=1 << 32)]


class WireModel(BaseModel):
    """A body of the platform; fields that are not known are ignored."""

    model_config = ConfigDict(extra="ignore", strict=True, frozen=True)


class Heartbeat(WireModel):
    """What an endpoint says of itself."""

    service: str
    # "ip:port" of the endpoint.
    address: str
    zone: str
    # Of the endpoint's software.
    version: str
    # Slots: requests it runs at once.
    concurrency_limit: Annotated[int, Field(ge=1, le=4096)]
    state: Literal["ready", "draining"]
    cold_left_ms: Milliseconds
    # Grows with each call of one incarnation.
    sequence: Annotated[int, Field(ge=0)]
    # Start of the incarnation, Unix milliseconds.
    born: Annotated[int, Field(ge=0)] = 0


class Leave(WireModel):
    """The body of a leave, if there is one."""

    born: int | None = None


class WireTarget(WireModel):
    """A service's share of a route."""

    service: str
    weight: Annotated[int, Field(ge=0, lt=1 << 31)]


class WireRoute(WireModel):
    """Where packets of one address and port go."""

    name: str
    # IPv4 address that packets are sent to.
    host: IPv4Address = Field(strict=False)
    # The port between slashes.
    path_prefix: Annotated[str, Field(pattern=r"^/[0-9]{1,5}/$")]
    # Kind of the requests inside; non-idempotent unless it says otherwise.
    type: str
    timeout_ms: Annotated[int, Field(ge=1, lt=1 << 32)]
    target_latency_ms: Milliseconds = 0
    priority: Annotated[int, Field(ge=0, lt=1 << 31)] = 0
    service: str | None = None
    backends: list[WireTarget] | None = None

    @property
    def port(self) -> int:
        """The port that packets are sent to."""
        return int(self.path_prefix.strip("/"))

    def list_targets(self) -> list[WireTarget]:
        """Return the services with a share of the route."""
        if self.backends:
            return [target for target in self.backends if target.weight > 0]
        if self.service is not None:
            return [WireTarget(service=self.service, weight=1)]
        return []


class WireService(WireModel):
    """A service that routes may name."""

    name: str


class WireLimits(WireModel):
    """Limits; those not named here have no meaning for packets."""

    idle_timeout_ms: Annotated[int, Field(ge=1, lt=1 << 32)] = 15_000


class Configuration(WireModel):
    """A whole configuration."""

    version: Annotated[int, Field(ge=1, lt=1 << 63)]
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits


def refuse(step: str, message: str) -> Err[Failure]:
    """Return the failure to read a body."""
    return Err(Failure(step, "-", message))


def read_configuration(body: bytes) -> Result[state_pb2.RouteTable, Failure]:
    """Return the route table of a configuration, with its text."""
    step = "read configuration"
    try:
        document = Configuration.model_validate_json(body)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        place = ".".join(map(str, first["loc"]))
        return refuse(step, f"{place}: {first['msg']}")
    problem = find_problem(document)
    if problem:
        return refuse(step, problem)
    return Ok(
        state_pb2.RouteTable(
            version=document.version,
            routes=map(encode_route, document.routes),
            idle_timeout_ms=document.limits.idle_timeout_ms,
            source=zlib.compress(body),
        )
    )


def find_problem(document: Configuration) -> str:
    """Return why a configuration is invalid as a whole, or ""."""
    known = {service.name for service in document.services}
    places = set()
    for route in document.routes:
        targets = route.list_targets()
        if not targets:
            return f"route {route.name}: no service with a weight"
        named = {target.service for target in route.backends or targets}
        unknown = named - known
        if unknown:
            return f"route {route.name}: unknown service {min(unknown)}"
        place = (route.host, route.path_prefix)
        if place in places:
            return f"route {route.name}: its host and prefix are taken"
        places.add(place)
    return ""


def encode_route(route: WireRoute) -> state_pb2.Route:
    """Return a route in the product's terms."""
    return state_pb2.Route(
        address=int(route.host),
        port=route.port,
        targets=[
            state_pb2.Target(service=target.service, weight=target.weight)
            for target in route.list_targets()
        ],
        deadline_ms=route.timeout_ms,
        target_ms=route.target_latency_ms,
        priority=route.priority,
    )


def read_heartbeat(server_id: str, body: bytes) -> Result[ServerAnnouncement, Failure]:
    """Return the announcement in a heartbeat."""
    try:
        beat = Heartbeat.model_validate_json(body)
    except ValidationError as error:
        first = error.errors(include_url=False)[0]
        return refuse("read heartbeat", f"{first['loc']}: {first['msg']}")
    return Ok(
        ServerAnnouncement(
            server_id,
            beat.born,
            beat.sequence,
            beat.service,
            beat.concurrency_limit,
            ServerState(beat.state),
            beat.cold_left_ms,
        )
    )


def read_leave(body: bytes) -> int | None:
    """Return the start of the incarnation that leaves, None if it is not told."""
    if not body:
        return None
    try:
        return Leave.model_validate_json(body).born
    except ValidationError:
        # A leave without a readable body names its endpoint by the path alone.
        return None
