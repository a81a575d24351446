"""The command-line application: its commands and the report of usage errors."""

import sys
from typing import Final

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from lentilfork import VERSION
from lentilfork.cli.command import CONNECTION_OPTIONS
from lentilfork.cli.evacuations import Evacuate
from lentilfork.cli.evacuations import Restore
from lentilfork.cli.placement import ExplainPlacement
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
    Evacuate,
    ExplainPlacement,
    HistoryView,
    MembersView,
    PresetApply,
    PresetList,
    PresetRemove,
    PresetUse,
    Restore,
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
  lentilfork evacuate recife --wait 10

Exit codes:
  0 done
  1 refused: a conflict, an unknown name, a full disk
  2 wrong arguments, settings or definition file; nothing was sent
  3 no controller answered; nothing is known to have changed
  4 outcome unknown; resend with the same change id
  5 accepted, but not applied by all members within the time to wait
  130 interrupted while nothing was being changed
"""


class OperatorApplication(Application):
    """The application; its overview lists examples and exit codes."""

    @property
    def help(self) -> str:
        """The text above the list of commands."""
        return f"{super().help}\n{HELP}"


def make_application() -> Application:
    """Return the application with all its commands."""
    application = OperatorApplication("lentilfork", VERSION)
    application.auto_exits(False)
    # main() reports usage errors itself, with the exit code USAGE.
    application.catch_exceptions(False)
    for connection_option in CONNECTION_OPTIONS:
        application.definition.add_option(connection_option)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command that the process's arguments name; return its exit code."""
    # A help flag without a command shows the overview.
    arguments = sys.argv if set(sys.argv[1:]) - HELP_FLAGS else [sys.argv[0], "list"]
    try:
        return make_application().run(ArgvInput(arguments))
    except CleoError as error:
        message = " ".join(str(error).split())
        print(f"lentilfork: read arguments (-): {message}", file=sys.stderr)
        return ExitCode.USAGE
