"""The call that asks an agent process to explain the placement of a new flow."""

import ipaddress
import json
from dataclasses import asdict
from typing import Final
from urllib.parse import parse_qs

from lentilfork.addresses import parse_address
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.explanation import Explanation
from lentilfork.forwarding.ownership import FlowOwner
from lentilfork.forwarding.packets import KEY
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.routes import RouteIndex
from lentilfork.http_server import Response

__all__ = ["answer_explanation"]

CALLER: Final = "caller"
ROUTE: Final = "route"
DATA_CENTRE: Final = "data_centre"


def answer_explanation(
    owner: FlowOwner, routes: RouteIndex, query: str, now: float
) -> Response:
    """Return the explanation for the flow that a query string describes.

    The keys are `CALLER` and `ROUTE` ("ip:port") and `DATA_CENTRE`, that of the flow's
    balancer.
    """
    values = {key: texts[-1] for key, texts in parse_qs(query).items()}
    try:
        caller, address = (parse_endpoint(values, key) for key in (CALLER, ROUTE))
    except ValueError as error:
        return answer_error(400, str(error))
    data_centre = values.get(DATA_CENTRE, "")
    if not data_centre:
        return answer_error(400, f"{DATA_CENTRE}: missing")
    route = routes.routes.get(address)
    if route is None:
        message = f"no route {values[ROUTE]} in table version {routes.version}"
        return answer_error(404, message)
    key = KEY.pack(*caller, *address)
    service = route.choose_service(key)
    envelope = Envelope(
        Kind.ROUTE,
        0,
        hash_name(service),
        hash_name(data_centre),
        route.deadline_ms,
        route.target_ms,
        route.priority,
        b"",
    )
    explanation = owner.explain(envelope, key, now)
    document = {
        "service": service,
        "data_centre": data_centre,
        "table_version": routes.version,
        **asdict(explanation),
        "notes": list_notes(explanation, data_centre),
    }
    return Response(200, json.dumps(document, default=str).encode())


def parse_endpoint(values: dict[str, str], key: str) -> tuple[int, int]:
    """Return the address, as a number, and the port of a key; ValueError if invalid."""
    try:
        host, port = parse_address(values.get(key, ""))
    except ValueError as error:
        raise ValueError(f"{key}: {error}") from None
    return int(ipaddress.IPv4Address(host)), port


def list_notes(explanation: Explanation, data_centre: str) -> list[str]:
    """Return what a reader of an explanation has to take into account."""
    notes = []
    if explanation.owner != explanation.asked:
        owner = explanation.owner or "no agent"
        notes.append(f"{owner} owns this flow and decides from its own loads")
    if explanation.known_agent:
        agent = explanation.known_agent
        notes.append(f"a flow with these addresses is on {agent} and would stay there")
    if all(item.data_centre != data_centre for item in explanation.candidates):
        notes.append(f"the service has no agent in data centre {data_centre}")
    return notes


def answer_error(status: int, message: str) -> Response:
    """Return an error as JSON."""
    return Response(status, json.dumps({"error": message}).encode())
