"""Commands that show the system as a whole."""

import json
from collections import Counter
from typing import ClassVar
from typing import Final

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from result import Err
from result import Ok
from result import Result

from lentilfork import VERSION
from lentilfork.cli.client import ControllerClient
from lentilfork.cli.client import knows_leader
from lentilfork.cli.command import JSON_OPTION
from lentilfork.cli.command import ClientCommand
from lentilfork.cli.command import parse_number
from lentilfork.cli.output import format_json
from lentilfork.cli.output import format_table
from lentilfork.cli.output import format_time
from lentilfork.cli.output import to_values
from lentilfork.cli.progress import describe_lagging
from lentilfork.cli.progress import list_lagging
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.schema import admin_pb2
from lentilfork.settings import check_socket_address

__all__ = [
    "DumpView",
    "HistoryView",
    "MembersView",
    "StatusView",
    "VersionView",
    "WatchView",
]

CUT_OFF: Final = "generation: {generation} or later\nleader: none known"


def describe_status(status: admin_pb2.Status) -> str:
    """Return the state of the system in a few lines."""
    if not knows_leader(status):
        return CUT_OFF.format(generation=status.generation)
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
    """Show the state of the system."""

    name = "status"
    description = "Show the generation, the leader, the preset and who lags."
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = """
Examples:
  lentilfork status
  lentilfork status --json
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Print the status as one controller knows it."""
        status = await client.get_status()
        if isinstance(status, Err):
            return status
        if self.option("json"):
            self.print(format_json(to_values(status.ok_value)))
        else:
            self.print(describe_status(status.ok_value))
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
        """End well: this is how the command is meant to be ended."""
        return ExitCode.OK


class DumpView(ClientCommand):
    """Show the whole state of one process."""

    name = "dump"
    description = "Print the state of a process as JSON, without stopping it."
    arguments: ClassVar[list[Argument]] = [
        argument("process", "Name of a member, or its control IP:PORT")
    ]
    # Always JSON; the option is taken so that scripts may pass it everywhere.
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = """
Examples:
  lentilfork dump agent-warnings-1
  lentilfork dump 10.0.0.7:7001
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Print the dump of the process."""
        address = await self.find_address(client, self.argument("process"))
        if isinstance(address, Err):
            return address
        dump = await client.dump(address.ok_value)
        if isinstance(dump, Err):
            return dump
        self.print(format_json(json.loads(dump.ok_value)))
        return Ok(None)

    def needs_controllers(self) -> bool:
        """Return whether the process is given by name."""
        return ":" not in self.argument("process")

    async def find_address(
        self, client: ControllerClient, process: str
    ) -> Result[str, Failure]:
        """Return the control address of a process given by name or address."""
        if ":" in process:
            try:
                return Ok(check_socket_address(process))
            except ValueError as error:
                message = str(error)
                failure = Failure("find process", process, message, ExitCode.USAGE)
                return Err(failure)
        status = await client.get_status()
        if isinstance(status, Err):
            return status
        addresses = {
            member.name: member.control_address for member in status.ok_value.members
        }
        if process not in addresses:
            known = ", ".join(sorted(addresses)) or "none"
            message = f"no member has this name; members are: {known}"
            return Err(Failure("find process", process, message))
        return Ok(addresses[process])


class VersionView(Command):
    """Show the version of this command."""

    name = "version"
    description = "Show the version of this command."
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = """
Examples:
  lentilfork version
  lentilfork version --json
"""

    def handle(self) -> int:
        """Print the version."""
        version = format_json({"version": VERSION})
        self.line(version if self.option("json") else f"lentilfork {VERSION}")
        return ExitCode.OK
