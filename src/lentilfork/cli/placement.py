"""The command that shows where an agent would place a new flow, and why."""

import http.client
import json
from typing import ClassVar
from typing import Final
from urllib.parse import urlencode

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type
from result import Err
from result import Ok
from result import Result

from lentilfork.addresses import check_socket_address
from lentilfork.addresses import split_address
from lentilfork.cli.command import JSON_OPTION
from lentilfork.cli.command import parse_number
from lentilfork.cli.output import format_json
from lentilfork.cli.output import format_table
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.exposition import EXPLANATION_PATH

__all__ = ["ExplainPlacement"]

STEP: Final = "explain placement"
HTTP_OK: Final = 200
UNKNOWN: Final = "-"
# Options that are addresses.
CHECKED: Final = ("caller", "route")
HEADINGS: Final = (
    "AGENT",
    "DATA CENTRE",
    "DISTANCE",
    "OUTSTANDING",
    "PLACED",
    "SLOTS",
    "UTILISATION",
    "SERVICE MS",
    "EXPECTED MS",
    "FAILED %",
    "REPORT AGE MS",
    "OUTCOME",
    "REASON",
)


class DecisionReply(msgspec.Struct):
    """What the agent would do with the flow."""

    outcome: str
    agent: str
    reason: str
    inputs: dict[str, object]


class CandidateReply(msgspec.Struct):
    """One agent that may get the flow; numbers are None where no load is known."""

    name: str
    data_centre: str
    distance: str
    outcome: str
    reason: str
    outstanding: int | None = None
    placed: int | None = None
    slots: int | None = None
    utilisation: float | None = None
    service_time_ms: float | None = None
    expected_ms: float | None = None
    failed_percent: int | None = None
    report_age_ms: int | None = None


class ExplanationReply(msgspec.Struct):
    """The reply of an agent process."""

    flow: str
    service: str
    data_centre: str
    table_version: int
    asked: str
    owner: str
    decision: DecisionReply
    candidates: list[CandidateReply]
    notes: list[str]


def fetch_explanation(
    address: str, query: dict[str, str], timeout_s: float
) -> Result[bytes, Failure]:
    """Return the JSON reply of the agent process whose metrics are at an address."""
    connection = http.client.HTTPConnection(*split_address(address), timeout=timeout_s)
    try:
        connection.request("GET", f"{EXPLANATION_PATH}?{urlencode(query)}")
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        message = str(error) or type(error).__name__
        return Err(Failure(STEP, address, message, ExitCode.UNREACHABLE))
    finally:
        connection.close()
    if response.status != HTTP_OK:
        message = read_error(body) or f"status {response.status}"
        return Err(Failure(STEP, address, message))
    return Ok(body)


def read_error(body: bytes) -> str:
    """Return the message in a refusal, "" if there is none."""
    try:
        return msgspec.json.decode(body, type=dict[str, str]).get("error", "")
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""


def describe(reply: ExplanationReply) -> str:
    """Return an explanation as text."""
    decision = reply.decision
    inputs = "".join(
        f" {key}={value}" for key, value in decision.inputs.items() if key != "agent"
    )
    target = f" on {decision.agent}" if decision.agent else ""
    rows = [
        [UNKNOWN if value is None else value for value in list_cells(item)]
        for item in reply.candidates
    ]
    return "\n".join(
        (
            f"flow: {reply.flow}",
            f"service: {reply.service} (table version {reply.table_version})",
            f"balancer in: {reply.data_centre}",
            f"asked: {reply.asked}",
            f"owner: {reply.owner or UNKNOWN}",
            f"decision: {decision.outcome}{target}: {decision.reason}{inputs}",
            *(f"note: {note}" for note in reply.notes),
            "",
            format_table(HEADINGS, rows),
        )
    )


def list_cells(item: CandidateReply) -> list[object]:
    """Return the cells of a candidate in the order of `HEADINGS`."""
    return [
        item.name,
        item.data_centre,
        item.distance,
        item.outstanding,
        item.placed,
        item.slots,
        item.utilisation,
        item.service_time_ms,
        item.expected_ms,
        item.failed_percent,
        item.report_age_ms,
        item.outcome,
        item.reason,
    ]


class ExplainPlacement(Command):
    """Show where an agent would place a new flow."""

    name = "explain-placement"
    description = "Show where an agent would place a new flow now, and why."
    arguments: ClassVar[list[Argument]] = [
        argument("agent", "IP:PORT of the agent's metrics")
    ]
    options: ClassVar[list[Option]] = [
        option("caller", None, "IP:PORT of the caller", flag=False),
        option("route", None, "IP:PORT that the caller connects to", flag=False),
        option("data-centre", None, "Data centre of the flow's balancer", flag=False),
        JSON_OPTION,
    ]
    help = """
Nothing is sent to any other process and nothing changes. Only the owner of the flow
decides; the output names it.

Examples:
  lentilfork explain-placement 10.0.0.21:9466 --caller 100.64.0.7:40001 \\
    --route 198.18.0.1:443 --data-centre north
"""

    def handle(self) -> int:
        """Ask the agent and print its reply; return the exit code."""
        outcome = self.run_command()
        if isinstance(outcome, Err):
            failure = outcome.err_value
            self.io.write_error_line(f"lentilfork: {failure}", type=Type.RAW)
            return failure.code
        self.io.write_line(outcome.ok_value, type=Type.RAW)
        return ExitCode.OK

    def run_command(self) -> Result[str, Failure]:
        """Return the text to print."""
        timeout = parse_number("timeout", self.option("timeout"), 1)
        if isinstance(timeout, Err):
            return timeout
        address = self.argument("agent")
        query = self.read_query(address)
        if isinstance(query, Err):
            return query
        body = fetch_explanation(address, query.ok_value, timeout.ok_value)
        if isinstance(body, Err):
            return body
        try:
            reply = msgspec.json.decode(body.ok_value, type=ExplanationReply)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            message = f"{error}; expected the reply of an agent"
            return Err(Failure(STEP, address, message))
        if self.option("json"):
            return Ok(format_json(json.loads(body.ok_value)))
        return Ok(describe(reply))

    def read_query(self, address: str) -> Result[dict[str, str], Failure]:
        """Return the flow that the options describe."""
        query = {
            "caller": self.option("caller") or "",
            "route": self.option("route") or "",
            "data_centre": self.option("data-centre") or "",
        }
        checked = {"AGENT": address, **{f"--{key}": query[key] for key in CHECKED}}
        for name, text in checked.items():
            try:
                check_socket_address(text)
            except ValueError as error:
                message = f"{text!r}: {error}"
                return Err(Failure("read arguments", name, message, ExitCode.USAGE))
        if not query["data_centre"]:
            message = "missing; expected a name"
            failure = Failure(
                "read arguments", "--data-centre", message, ExitCode.USAGE
            )
            return Err(failure)
        return Ok(query)
