"""The application: its commands and how command lines that are wrong end."""

import sys
from typing import Final

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from lentilfork import VERSION
from lentilfork.cli.command import CONNECTION_OPTIONS
from lentilfork.cli.presets import PresetApply
from lentilfork.cli.presets import PresetList
from lentilfork.cli.presets import PresetRemove
from lentilfork.cli.presets import PresetUse
from lentilfork.cli.processes import DumpView
from lentilfork.cli.processes import VersionView
from lentilfork.cli.services import ServiceApply
from lentilfork.cli.services import ServiceList
from lentilfork.cli.services import ServiceRemove
from lentilfork.cli.services import ServiceShow
from lentilfork.cli.views import HistoryView
from lentilfork.cli.views import MembersView
from lentilfork.cli.views import StatusView
from lentilfork.cli.views import WatchView
from lentilfork.errors import ExitCode

__all__ = ["main", "make_application"]

COMMANDS: Final[tuple[type[Command], ...]] = (
    DumpView,
    HistoryView,
    MembersView,
    PresetApply,
    PresetList,
    PresetRemove,
    PresetUse,
    ServiceApply,
    ServiceList,
    ServiceRemove,
    ServiceShow,
    StatusView,
    VersionView,
    WatchView,
)
HELP_FLAGS: Final = {"-h", "--help"}
HELP: Final = """
Operate a lentilfork system through any of its controllers.

Examples:
  lentilfork --controllers 10.0.0.1:7000,10.0.0.2:7000 status
  lentilfork service apply warnings.json --wait 10
  lentilfork preset use peak --wait 10

Exit codes:
  0 done
  1 refused: a conflict, an unknown name, a full disk
  2 wrong arguments, settings or definition file; nothing was sent
  3 no controller answered; nothing is known to have changed
  4 outcome unknown; resend with the same change id
  5 accepted, but not in force everywhere in the time given
  130 interrupted while nothing was being changed
"""


class OperatorApplication(Application):
    """The application with examples and exit codes in its overview."""

    @property
    def help(self) -> str:
        """What stands above the list of commands."""
        return f"{super().help}\n{HELP}"


def make_application() -> Application:
    """Return the application with all its commands."""
    application = OperatorApplication("lentilfork", VERSION)
    application.auto_exits(False)
    # Wrong command lines are reported below, with an exit code of their own.
    application.catch_exceptions(False)
    for shared in CONNECTION_OPTIONS:
        application.definition.add_option(shared)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command of this process's arguments; returns its exit code."""
    # The overview answers a request for help that names no command.
    arguments = sys.argv if set(sys.argv[1:]) - HELP_FLAGS else [sys.argv[0], "list"]
    try:
        return make_application().run(ArgvInput(arguments))
    except CleoError as error:
        message = " ".join(str(error).split())
        print(f"lentilfork: read arguments (-): {message}", file=sys.stderr)
        return ExitCode.USAGE
