"""The command that asks an agent where it would place a flow."""

import json
from functools import partial

import pytest

from lentilfork.counters import Counters
from lentilfork.errors import ExitCode
from lentilfork.exposition import answer_inspection
from lentilfork.forwarding.explanation_call import answer_explanation
from lentilfork.http_server import Handler
from lentilfork.http_server import Request
from lentilfork.http_server import Response
from lentilfork.http_server import serve_http
from tests.cli.standin import run_command
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_routes

LOOPBACK = "127.0.0.1"
ROUTE = "198.18.0.1:443"
FLOW = ("--caller", "100.64.0.7:40001", "--route", ROUTE, "--data-centre", "north")


class SimulatedAgent:
    """Role whose agent runs in virtual time, which stands still."""

    def __init__(self) -> None:
        self.counters = Counters()
        self.generation = 1
        self.world = World([1.0, 1.0, 1.0])

    def answer_explanation(self, query: str) -> Response:
        """Return the explanation of the first agent."""
        owner = self.world.hosts["agent-0"].agent.owner
        routes = make_routes(1, {SERVICE: 1})
        return answer_explanation(owner, routes, query, self.world.clock.now)


class SimulatedBalancer:
    """Role that places no flows."""

    counters = Counters()
    generation = 1


async def run_against(handler: Handler, *arguments: str) -> tuple[int, str, str]:
    """Run the command against a server; return its exit code, output and errors."""
    server = await serve_http((LOOPBACK, 0), handler)
    host, port = server.sockets[0].getsockname()
    try:
        result = await run_command("explain-placement", f"{host}:{port}", *arguments)
    finally:
        server.close()
    return result.code, result.output, result.errors


# Guards against an output that lacks an agent, or that doesn't say which one decides.
async def test_decision_and_candidates_are_shown_as_text_and_json() -> None:
    handler = partial(answer_inspection, SimulatedAgent())
    code, output, errors = await run_against(handler, *FLOW, "--json")
    assert (code, errors) == (ExitCode.OK, "")
    document = json.loads(output)
    assert document["flow"] == f"100.64.0.7:40001>{ROUTE}"
    names = {item["name"] for item in document["candidates"]}
    assert names == {"agent-0", "agent-1", "agent-2"}
    code, output, errors = await run_against(handler, *FLOW)
    assert (code, errors) == (ExitCode.OK, "")
    lines = output.splitlines()
    decision = document["decision"]
    assert f"owner: {document['owner']}" in lines
    expected = f"decision: placed on {decision['agent']}: answer expected first"
    assert any(line.startswith(expected) for line in lines)
    for item in document["candidates"]:
        row = next(line.split() for line in lines if line.startswith(item["name"]))
        assert row[1:3] == [item["data_centre"], item["distance"]]


async def answer_text(_request: Request) -> Response:
    """Reply like a process of an older build, which has metrics at every path."""
    return Response(200, b"# HELP lentilfork_events_total", {})


async def answer_failure(_request: Request) -> Response:
    """Reply like a process whose explanation failed."""
    return Response(500, b"[]")


# Guards against a stack trace or an exit code of success without an explanation.
@pytest.mark.parametrize(
    ("handler", "error"),
    [
        (partial(answer_inspection, SimulatedBalancer()), "only agents place flows"),
        (answer_text, "expected the reply of an agent"),
        (answer_failure, "status 500"),
    ],
    ids=["balancer", "older build", "failure"],
)
async def test_process_without_an_explanation_is_named(
    handler: Handler, error: str
) -> None:
    code, output, errors = await run_against(handler, *FLOW)
    assert (code, output) == (ExitCode.REFUSED, "")
    assert "explain placement (127.0.0.1:" in errors
    assert error in errors


async def test_refusal_of_the_agent_is_shown() -> None:
    handler = partial(answer_inspection, SimulatedAgent())
    arguments = [text.replace(":443", ":444") for text in FLOW]
    code, _, errors = await run_against(handler, *arguments)
    assert code == ExitCode.REFUSED
    assert "no route 198.18.0.1:444 in table version 1" in errors


@pytest.mark.parametrize(
    ("arguments", "code", "error"),
    [
        (["somewhere", *FLOW], ExitCode.USAGE, "AGENT"),
        (["127.0.0.1:1", *FLOW[2:]], ExitCode.USAGE, "--caller"),
        (["127.0.0.1:1", *FLOW[:4]], ExitCode.USAGE, "--data-centre"),
        (["127.0.0.1:1", *FLOW], ExitCode.UNREACHABLE, "explain placement"),
    ],
)
async def test_wrong_arguments_and_unreachable_agents_have_their_exit_codes(
    arguments: list[str], code: ExitCode, error: str
) -> None:
    result = await run_command("explain-placement", *arguments)
    assert result.code == code
    assert error in result.errors


# Guards against metrics that are no longer found at the paths where they were.
async def test_every_other_path_has_the_metrics() -> None:
    agent = SimulatedAgent()
    for path in ("/metrics", "/", "/metrics?x=1"):
        response = await answer_inspection(agent, Request("GET", path, b""))
        assert b"lentilfork_generation 1.0" in response.body
    request = Request("POST", "/explain-placement", b"")
    assert (await answer_inspection(agent, request)).status == 405
