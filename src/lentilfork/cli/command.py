"""Base class of commands that call controllers: options, output and exit codes."""

import asyncio
import os
from abc import ABC
from abc import abstractmethod
from typing import Final

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type
from result import Err
from result import Ok
from result import Result

from lentilfork.cli.client import ControllerClient
from lentilfork.cli.connection import Connection
from lentilfork.cli.connection import find_connection
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure

__all__ = ["CONNECTION_OPTIONS", "JSON_OPTION", "ClientCommand", "parse_number"]

DEFAULT_TIMEOUT_S: Final = 10
NO_LEADER_WARNING: Final = (
    "lentilfork: warning: no controller that answers reaches a leader; "
    "the output may be out of date"
)
# Options that every command accepts, before or after its name.
CONNECTION_OPTIONS: Final[list[Option]] = [
    option("controllers", "c", "Controllers to ask, as IP:PORT,IP:PORT", flag=False),
    option("settings", "s", "Client settings file (JSON)", flag=False),
    option(
        "timeout",
        "t",
        "Seconds to wait for an answer",
        flag=False,
        default=str(DEFAULT_TIMEOUT_S),
    ),
]
JSON_OPTION: Final = option("json", None, "Print JSON")


def parse_number(key: str, text: str, minimum: int = 0) -> Result[int, Failure]:
    """Return the whole number in the text of the option `--key`."""
    if text.isdecimal() and int(text) >= minimum:
        return Ok(int(text))
    message = f"{text!r}; expected a whole number of at least {minimum}"
    return Err(Failure("read arguments", f"--{key}", message, ExitCode.USAGE))


class ClientCommand(Command, ABC):
    """A command that calls controllers."""

    @abstractmethod
    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Run the command with a connected client."""

    def handle(self) -> int:
        """Create the client and run the command; return its exit code."""
        connection = self.find_connection()
        if isinstance(connection, Err):
            return self.report(connection.err_value)
        timeout = parse_number("timeout", self.option("timeout"), 1)
        if isinstance(timeout, Err):
            return self.report(timeout.err_value)
        client = ControllerClient(connection.ok_value, timeout.ok_value)
        try:
            return asyncio.run(self.run_and_close(client))
        except KeyboardInterrupt:
            return self.handle_interrupt()

    def find_connection(self) -> Result[Connection, Failure]:
        """Return the addresses and certificates for the options of this command."""
        return find_connection(
            self.option("controllers"),
            self.option("settings"),
            os.environ,
            self.needs_controllers(),
        )

    def needs_controllers(self) -> bool:
        """Return whether the command fails if no controller is configured."""
        return True

    async def run_and_close(self, client: ControllerClient) -> int:
        """Run the command and close the client, also after an error."""
        try:
            outcome = await self.run_with(client)
        finally:
            await client.close()
        if client.leader_unreachable:
            self.print_error(NO_LEADER_WARNING)
        return self.report(outcome.err_value) if isinstance(outcome, Err) else 0

    def handle_interrupt(self) -> int:
        """Return the exit code of a command that the user interrupted."""
        return ExitCode.INTERRUPTED

    def print(self, text: str) -> None:
        """Write a line to standard output without formatting its markup."""
        self.io.write_line(text, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Write a line about progress to standard error."""
        self.io.write_error_line(text, type=Type.RAW)

    def report(self, failure: Failure) -> int:
        """Write a failure to standard error; return its exit code."""
        self.print_error(f"lentilfork: {failure}")
        return failure.code
