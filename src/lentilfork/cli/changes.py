"""Base class of commands that change state: change ids, submitting and waiting."""

import getpass
import uuid
from abc import ABC
from typing import Any
from typing import Final

from cleo.helpers import option
from cleo.io.inputs.option import Option
from result import Err
from result import Ok
from result import Result

from lentilfork.cli.client import ControllerClient
from lentilfork.cli.client import describe_unknown_outcome
from lentilfork.cli.command import JSON_OPTION
from lentilfork.cli.command import ClientCommand
from lentilfork.cli.command import parse_number
from lentilfork.cli.output import format_json
from lentilfork.cli.output import to_values
from lentilfork.cli.progress import wait_until_applied
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.schema import state_pb2

__all__ = ["CHANGE_OPTIONS", "ChangeCommand"]

CHANGE_OPTIONS: Final[list[Option]] = [
    option(
        "expect",
        "e",
        "Refuse unless the object has this version; 0: it must not exist",
        flag=False,
    ),
    option("change-id", None, "Id of the change that is resent", flag=False),
    option("operator", "o", "Name for the history (default: your user)", flag=False),
    option("wait", "w", "Seconds to wait until all members apply it", flag=False),
    JSON_OPTION,
]


def get_user() -> str:
    """Return the name of the user who runs the command."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


class ChangeCommand(ClientCommand, ABC):
    """A command that submits one change."""

    # Id of the submitted change while its outcome is not known.
    pending_change_id: str | None = None

    def make_change(self, **fields: Any) -> Result[state_pb2.Change, Failure]:
        """Return a change of this kind with the id, operator and version options."""
        change = state_pb2.Change(
            change_id=self.option("change-id") or uuid.uuid4().hex,
            operator=self.option("operator") or get_user(),
            **fields,
        )
        expected = self.option("expect")
        if expected is not None:
            version = parse_number("expect", expected)
            if isinstance(version, Err):
                return version
            change.expected_version = version.ok_value
        return Ok(change)

    async def submit(
        self, client: ControllerClient, description: str, **fields: Any
    ) -> Result[None, Failure]:
        """Submit a change, print its version and wait for it if --wait is given.

        `description` names the change in the output; `fields` sets its `Change` field.
        """
        built = self.make_change(**fields)
        if isinstance(built, Err):
            return built
        change = built.ok_value
        wait = parse_number("wait", self.option("wait") or "0")
        if isinstance(wait, Err):
            return wait
        self.pending_change_id = change.change_id
        submitted = await client.submit(change)
        self.pending_change_id = None
        if isinstance(submitted, Err):
            return submitted
        result = submitted.ok_value
        if self.option("json"):
            self.print(format_json(to_values(result)))
        else:
            version = f"version {result.generation}"
            self.print(f"{description}: {version} (change id {result.change_id})")
        if not wait.ok_value:
            return Ok(None)
        return await wait_until_applied(
            client, result.generation, wait.ok_value, self.print_error
        )

    def handle_interrupt(self) -> int:
        """Report how to resend a pending change, whose outcome is unknown."""
        if self.pending_change_id is None:
            return ExitCode.INTERRUPTED
        message = describe_unknown_outcome(self.pending_change_id)
        failure = Failure("submit change", "-", message, ExitCode.UNKNOWN)
        return self.report(failure)
