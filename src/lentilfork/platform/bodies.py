"""Bodies of the platform's HTTP calls, validated and converted to product types."""

import zlib
from ipaddress import IPv4Address
from typing import Annotated
from typing import Final
from typing import Literal

import msgspec
from msgspec import Meta
from msgspec import Struct
from result import Err
from result import Ok
from result import Result

from lentilfork.addresses import MAXIMUM_PORT
from lentilfork.addresses import check_socket_address
from lentilfork.documents import decode_json
from lentilfork.errors import Failure
from lentilfork.forwarding.backend_server import ServerAnnouncement
from lentilfork.forwarding.backend_server import ServerState
from lentilfork.schema import state_pb2

__all__ = ["read_configuration", "read_heartbeat", "read_leave"]

MAXIMUM_UINT32: Final = (1 << 32) - 1
MAXIMUM_INT32: Final = (1 << 31) - 1
MAXIMUM_INT64: Final = (1 << 63) - 1
# End of the year 9999, the last one of a date with four digits.
MAXIMUM_UNIX_MS: Final = 253_402_300_799_999

Milliseconds = Annotated[int, Meta(ge=0, le=MAXIMUM_UINT32)]
PositiveMilliseconds = Annotated[int, Meta(ge=1, le=MAXIMUM_UINT32)]
Amount = Annotated[float, Meta(ge=0, le=MAXIMUM_UINT32)]
Count = Annotated[int, Meta(ge=0, le=MAXIMUM_INT32)]


class Heartbeat(Struct, frozen=True):
    """The periodic report of an endpoint; unknown fields are ignored."""

    service: str
    # "ip:port" of the endpoint.
    address: str
    zone: str
    # Version of the endpoint's software.
    version: str
    # Slots: requests that the endpoint runs at the same time.
    concurrency_limit: Annotated[int, Meta(ge=1, le=4096)]
    state: Literal["ready", "draining"]
    cold_left_ms: Milliseconds
    # Increases with each call of one incarnation.
    sequence: Annotated[int, Meta(ge=0, le=MAXIMUM_INT64)]
    # Start of the incarnation in Unix milliseconds.
    born: Annotated[int, Meta(ge=0, le=MAXIMUM_UNIX_MS)] = 0


class Leave(Struct, frozen=True):
    """The optional body of a call by which an endpoint leaves."""

    born: int | None = None


class WireTarget(Struct, frozen=True):
    """A service and its weight among the services of a route."""

    service: str
    weight: Count


class WireRoute(Struct, frozen=True):
    """The services and limits for packets to one address and port."""

    name: str
    # IPv4 address that callers send packets to.
    host: str
    # Port that callers send packets to, between slashes.
    path_prefix: Annotated[str, Meta(pattern=r"^/[0-9]{1,5}/\Z")]
    # Type of the requests: non-idempotent unless it is "idempotent". Not used here.
    type: str
    timeout_ms: PositiveMilliseconds
    target_latency_ms: Milliseconds = 0
    priority: Count = 0
    service: str | None = None
    backends: list[WireTarget] | None = None

    @property
    def address(self) -> int:
        """The address that packets are sent to; ValueError if it is not IPv4."""
        return int(IPv4Address(self.host))

    @property
    def port(self) -> int:
        """The port that packets are sent to; ValueError if it is out of range."""
        port = int(self.path_prefix.strip("/"))
        if port > MAXIMUM_PORT:
            raise ValueError(f"port {port} is larger than {MAXIMUM_PORT}")
        return port

    def list_targets(self) -> list[WireTarget]:
        """Return the services of the route whose weight is above zero."""
        if self.backends:
            return [target for target in self.backends if target.weight > 0]
        if self.service is not None:
            return [WireTarget(service=self.service, weight=1)]
        return []


class WireService(Struct, frozen=True):
    """A service that routes may refer to."""

    name: str
    # Time for which an endpoint is cold after its start.
    cold_start_s: Amount = 0.0
    # New flows a second that a cold endpoint bears; 0 for no limit.
    cold_per_s: Amount = 0.0


class WireLimits(Struct, frozen=True):
    """Limits that apply to packets; the others are ignored."""

    idle_timeout_ms: PositiveMilliseconds = 15_000


class Configuration(Struct, frozen=True):
    """A configuration of the platform: all routes, services and limits."""

    version: Annotated[int, Meta(ge=1, le=MAXIMUM_INT64)]
    routes: list[WireRoute]
    services: list[WireService]
    limits: WireLimits


def make_failure(step: str, message: str) -> Err[Failure]:
    """Return the failure of reading a body."""
    return Err(Failure(step, "-", message))


def read_configuration(body: bytes) -> Result[state_pb2.RouteTable, Failure]:
    """Return the route table of a configuration, with the compressed body in it."""
    step = "read configuration"
    try:
        document = decode_json(body, Configuration)
    except msgspec.DecodeError as error:
        return make_failure(step, str(error))
    problem = find_problem(document)
    if problem:
        return make_failure(step, problem)
    return Ok(
        state_pb2.RouteTable(
            version=document.version,
            routes=map(encode_route, document.routes),
            idle_timeout_ms=document.limits.idle_timeout_ms,
            source=zlib.compress(body),
            warm_ups=[
                state_pb2.WarmUp(
                    service=service.name,
                    per_s=service.cold_per_s,
                    duration_s=service.cold_start_s,
                )
                for service in document.services
                if service.cold_per_s > 0
            ],
        )
    )


def find_problem(document: Configuration) -> str:
    """Return why a well-formed configuration is invalid, "" if it is valid."""
    known_services = {service.name for service in document.services}
    addresses = set()
    for route in document.routes:
        targets = route.list_targets()
        if not targets:
            return f"route {route.name}: no service with a weight"
        route_services = {target.service for target in route.backends or targets}
        unknown_services = route_services - known_services
        if unknown_services:
            return f"route {route.name}: unknown service {min(unknown_services)}"
        try:
            address = (route.address, route.port)
        except ValueError as error:
            return f"route {route.name}: {error}"
        if address in addresses:
            return f"route {route.name}: another route has its host and prefix"
        addresses.add(address)
    return ""


def encode_route(route: WireRoute) -> state_pb2.Route:
    """Return a route as a message of the product."""
    return state_pb2.Route(
        address=route.address,
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
        heartbeat = decode_json(body, Heartbeat)
        check_socket_address(heartbeat.address)
    except ValueError as error:
        # Also msgspec.DecodeError, which is one.
        return make_failure("read heartbeat", str(error))
    return Ok(
        ServerAnnouncement(
            server_id,
            heartbeat.born,
            heartbeat.sequence,
            heartbeat.service,
            heartbeat.concurrency_limit,
            ServerState(heartbeat.state),
            heartbeat.cold_left_ms,
        )
    )


def read_leave(body: bytes) -> int | None:
    """Return the start of the incarnation that leaves, None if the body lacks it."""
    if not body:
        return None
    try:
        return decode_json(body, Leave).born
    except msgspec.DecodeError:
        # The path alone identifies the endpoint if the body is malformed.
        return None
