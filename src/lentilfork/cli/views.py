"""Commands that show the status, members and history of the whole system."""

import json
from collections import Counter
from typing import ClassVar
from typing import Final

from cleo.helpers import option
from cleo.io.inputs.option import Option
from result import Err
from result import Ok
from result import Result

from lentilfork.cli.client import ControllerClient
from lentilfork.cli.client import knows_leader
from lentilfork.cli.command import JSON_OPTION
from lentilfork.cli.command import ClientCommand
from lentilfork.cli.command import parse_number
from lentilfork.cli.evacuations import list_evacuated
from lentilfork.cli.output import format_json
from lentilfork.cli.output import format_table
from lentilfork.cli.output import format_time
from lentilfork.cli.output import to_values
from lentilfork.cli.progress import describe_lagging
from lentilfork.cli.progress import list_lagging
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.schema import admin_pb2

__all__ = [
    "HistoryView",
    "MembersView",
    "StatusView",
    "WatchView",
]

NO_LEADER_STATUS: Final = "generation: {generation} or later\nleader: none known"


def describe_status(status: admin_pb2.Status) -> str:
    """Return the status of the system as a few lines of text."""
    if not knows_leader(status):
        return NO_LEADER_STATUS.format(generation=status.generation)
    states = Counter(f"{member.role} {member.state}" for member in status.members)
    lagging = list_lagging(status, status.generation)
    names = ", ".join(describe_lagging(member) for member in lagging)
    counts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    return "\n".join(
        (
            f"generation: {status.generation}",
            f"leader: {status.leader} (term {status.term})",
            f"preset in force: {status.active_preset}",
            f"members: {counts or 'none'}",
            f"lagging: {names or 'none'}",
        )
    )


class StatusView(ClientCommand):
    """Show the status of the system."""

    name = "status"
    description = (
        "Show the generation, leader, preset, evacuations and lagging members."
    )
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = """
Examples:
  lentilfork status
  lentilfork status --json
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Print the leader's status, or another controller's if none reaches it."""
        status = await client.get_status()
        if isinstance(status, Err):
            return status
        state = await client.get_state_at(status.ok_value.generation)
        evacuated = list_evacuated(state.ok_value) if isinstance(state, Ok) else None
        if self.option("json"):
            values = to_values(status.ok_value) | {"evacuated": evacuated}
            self.print(format_json(values))
            return Ok(None)
        self.print(describe_status(status.ok_value))
        if evacuated:
            self.print(f"evacuated: {', '.join(evacuated)}")
        return Ok(None)


class MembersView(ClientCommand):
    """List all processes of the system."""

    name = "members"
    description = "List the processes with their state and generation."
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = """
Examples:
  lentilfork members
  lentilfork members --json
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Print one line for each member."""
        status = await client.get_status()
        if isinstance(status, Err):
            return status
        members = sorted(
            status.ok_value.members, key=lambda member: (member.role, member.name)
        )
        if self.option("json"):
            self.print(format_json([to_values(member) for member in members]))
            return Ok(None)
        rows = [
            (
                member.name,
                member.role,
                member.state,
                member.data_centre or "-",
                member.service or "-",
                member.generation,
                member.silent_ms,
                member.control_address,
                member.reason or "-",
            )
            for member in members
        ]
        headings = (
            "NAME",
            "ROLE",
            "STATE",
            "DATA CENTRE",
            "SERVICE",
            "GENERATION",
            "SILENT MS",
            "CONTROL ADDRESS",
            "REASON",
        )
        self.print(format_table(headings, rows))
        return Ok(None)


class HistoryView(ClientCommand):
    """Show the changes accepted so far."""

    name = "history"
    description = "Show the accepted changes: who changed what, and when."
    options: ClassVar[list[Option]] = [
        option(
            "after",
            "a",
            "Only changes after this generation",
            flag=False,
            default="0",
        ),
        JSON_OPTION,
    ]
    help = """
Examples:
  lentilfork history
  lentilfork history --after 120 --json
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Print one line for each change."""
        after = parse_number("after", self.option("after"))
        if isinstance(after, Err):
            return after
        history = await client.get_history(after.ok_value)
        if isinstance(history, Err):
            return history
        entries = history.ok_value.entries
        if self.option("json"):
            self.print(format_json([to_values(entry) for entry in entries]))
            return Ok(None)
        rows = [
            (
                entry.generation,
                format_time(entry.time_ms),
                entry.operator or "-",
                entry.change_id,
                entry.summary,
            )
            for entry in entries
        ]
        headings = ("GENERATION", "TIME", "OPERATOR", "CHANGE ID", "SUMMARY")
        self.print(format_table(headings, rows))
        return Ok(None)


class WatchView(ClientCommand):
    """Show the status each time it changes."""

    name = "watch"
    description = "Show the status now and after each change, until interrupted."
    options: ClassVar[list[Option]] = [
        option("json", None, "Print one JSON document a line")
    ]
    help = """
Examples:
  lentilfork watch
  lentilfork watch --json | jq .generation
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Print statuses until no controller answers."""
        async for status in client.watch():
            if isinstance(status, Err):
                return status
            if self.option("json"):
                self.print(json.dumps(to_values(status.ok_value)))
            else:
                self.print(f"{describe_status(status.ok_value)}\n")
        return Ok(None)

    def handle_interrupt(self) -> int:
        """Return OK, since the command normally runs until it is interrupted."""
        return ExitCode.OK
