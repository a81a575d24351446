"""What the commands share: options, connecting, output and exit codes."""

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
CUT_OFF_WARNING: Final = (
    "lentilfork: warning: no controller that answers reaches a leader; "
    "what it shows may be out of date"
)
# Understood by every command, before or after its name.
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
    """Return a whole number given as an option."""
    if text.isdecimal() and int(text) >= minimum:
        return Ok(int(text))
    message = f"{text!r}; expected a whole number of at least {minimum}"
    return Err(Failure("read arguments", f"--{key}", message, ExitCode.USAGE))


class ClientCommand(Command, ABC):
    """A command that asks controllers."""

    @abstractmethod
    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Do what the command is for."""

    def handle(self) -> int:
        """Run the command; returns its exit code."""
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
        """Return how to reach the controllers."""
        return find_connection(
            self.option("controllers"),
            self.option("settings"),
            os.environ,
            self.needs_controllers(),
        )

    def needs_controllers(self) -> bool:
        """Return whether the command cannot do without controllers."""
        return True

    async def run_and_close(self, client: ControllerClient) -> int:
        """Run the command and close the client in any case."""
        try:
            outcome = await self.run_with(client)
        finally:
            await client.close()
        if client.cut_off:
            self.note(CUT_OFF_WARNING)
        return self.report(outcome.err_value) if isinstance(outcome, Err) else 0

    def handle_interrupt(self) -> int:
        """Return the exit code of a command the user has interrupted."""
        return ExitCode.INTERRUPTED

    def print(self, text: str) -> None:
        """Write a line to standard output as it is."""
        self.io.write_line(text, type=Type.RAW)

    def note(self, text: str) -> None:
        """Write a line about progress to standard error."""
        self.io.write_error_line(text, type=Type.RAW)

    def report(self, failure: Failure) -> int:
        """Write a failure to standard error; returns its exit code."""
        self.note(f"lentilfork: {failure}")
        return failure.code
