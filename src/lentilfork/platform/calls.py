"""HTTP handlers that translate the platform's calls into calls of the roles."""

import zlib
from typing import TYPE_CHECKING
from typing import Final
from urllib.parse import unquote

from result import Err

from lentilfork.http_server import Request
from lentilfork.http_server import Response
from lentilfork.platform.bodies import read_configuration
from lentilfork.platform.bodies import read_heartbeat
from lentilfork.platform.bodies import read_leave

if TYPE_CHECKING:
    from lentilfork.forwarding.controller import FlowControllerRole
    from lentilfork.forwarding.processes import FlowAgentRole
    from lentilfork.forwarding.processes import FlowBalancerRole

__all__ = ["answer_agent", "answer_controller", "answer_ready"]

READY_PATH: Final = "/v1/ready"
INSTANCE_PREFIX: Final = "/v1/instances/"
CONFIG_PATH: Final = "/v1/config"
EVACUATION_PREFIX: Final = "/v1/evacuations/"
# Whether a method evacuates a data centre (True) or returns it to service.
EVACUATION_METHODS: Final = {"POST": True, "DELETE": False}
NOT_FOUND: Final = Response(404)


async def answer_ready(
    role: "FlowBalancerRole | FlowAgentRole", request: Request
) -> Response:
    """Answer the readiness check of the platform's routers."""
    if request.path != READY_PATH:
        return NOT_FOUND
    return Response(200 if role.is_ready else 503)


async def answer_agent(role: "FlowAgentRole", request: Request) -> Response:
    """Handle a heartbeat or a leave of the endpoint on this machine."""
    if not request.path.startswith(INSTANCE_PREFIX):
        return NOT_FOUND
    server_id = request.path.removeprefix(INSTANCE_PREFIX)
    match request.method:
        case "PUT":
            heartbeat = read_heartbeat(server_id, request.body)
            if isinstance(heartbeat, Err):
                role.counters.add("heartbeats_refused")
                return Response(400)
            role.handle_announcement(heartbeat.ok_value)
            return Response(200)
        case "DELETE":
            role.handle_leave(server_id, read_leave(request.body))
            return Response(200)
        case _:
            return Response(405)


async def answer_evacuation(
    role: "FlowControllerRole", request: Request, evacuable: frozenset[str]
) -> Response:
    """Evacuate a data centre for an operator, or return it to service."""
    data_centre = unquote(request.path.removeprefix(EVACUATION_PREFIX))
    if data_centre not in evacuable:
        return NOT_FOUND
    active = EVACUATION_METHODS.get(request.method)
    if active is None:
        return Response(405)
    result = await role.evacuate(data_centre, active, request.is_disconnected)
    return Response(503 if isinstance(result, Err) else 200)


async def answer_controller(
    role: "FlowControllerRole",
    request: Request,
    evacuable: frozenset[str] = frozenset(),
) -> Response:
    """Carry out an operator's call: configuration or evacuation."""
    if request.path.startswith(EVACUATION_PREFIX):
        return await answer_evacuation(role, request, evacuable)
    if request.path != CONFIG_PATH:
        return NOT_FOUND
    match request.method:
        case "PUT":
            table = read_configuration(request.body)
            if isinstance(table, Err):
                role.counters.add("tables_refused")
                return Response(400)
            result = await role.put_table(table.ok_value)
            return Response(503 if isinstance(result, Err) else 200)
        case "GET":
            table = await role.read_table()
            if isinstance(table, Err) or not table.ok_value.source:
                return Response(503)
            return Response(200, zlib.decompress(table.ok_value.source))
        case _:
            return Response(405)
