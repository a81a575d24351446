"""Commands about one process: the dump of a member and the version of the command."""

import json
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from result import Err
from result import Ok
from result import Result

from lentilfork import VERSION
from lentilfork.addresses import check_socket_address
from lentilfork.cli.client import ControllerClient
from lentilfork.cli.command import JSON_OPTION
from lentilfork.cli.command import ClientCommand
from lentilfork.cli.output import format_json
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure

__all__ = ["DumpView", "VersionView"]


class DumpView(ClientCommand):
    """Print a dump: the state of one process, for debugging."""

    name = "dump"
    description = "Print the state of a process as JSON, without stopping it."
    arguments: ClassVar[list[Argument]] = [
        argument("process", "Name of a member, or its control IP:PORT")
    ]
    # The output is always JSON; the option exists so that scripts can always pass it.
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
        """Return whether the process is given by name, which controllers resolve."""
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
            member_names = ", ".join(sorted(addresses)) or "none"
            message = f"no member has this name; members are: {member_names}"
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
