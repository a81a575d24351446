"""Commands that evacuate a data centre and return it to service."""

from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from result import Err
from result import Ok
from result import Result

from lentilfork.cli.changes import CHANGE_OPTIONS
from lentilfork.cli.changes import ChangeCommand
from lentilfork.cli.client import ControllerClient
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.schema import state_pb2

__all__ = ["Evacuate", "Restore", "list_evacuated"]

ARGUMENTS: list[Argument] = [argument("data-centre", "Name of the data centre")]


def list_evacuated(state: state_pb2.Snapshot) -> list[str]:
    """Return the names of the evacuated data centres, sorted."""
    return sorted(item.data_centre for item in state.evacuations if item.active)


def check_data_centre(state: state_pb2.Snapshot, name: str) -> Result[None, Failure]:
    """Fail unless a member is in the data centre or it was evacuated before."""
    known = {
        *(agent.data_centre for agent in state.agents),
        *(balancer.data_centre for balancer in state.balancers),
        *(evacuation.data_centre for evacuation in state.evacuations),
    }
    if name in known:
        return Ok(None)
    names = ", ".join(sorted(known)) or "none"
    message = f"no member in data centre {name!r}; there are {names}"
    return Err(Failure("check data centre", "-", message, ExitCode.REFUSED))


class EvacuationChange(ChangeCommand):
    """Base class of both commands."""

    async def submit_evacuation(
        self, client: ControllerClient, active: bool
    ) -> Result[None, Failure]:
        """Submit the start or the end of an evacuation."""
        name = self.argument("data-centre")
        state = await client.get_state()
        if isinstance(state, Err):
            return state
        checked = check_data_centre(state.ok_value, name)
        if isinstance(checked, Err):
            return checked
        return await self.submit(
            client,
            f"data centre {name} {'evacuated' if active else 'back in service'}",
            put_evacuation=state_pb2.Evacuation(data_centre=name, active=active),
        )


class Evacuate(EvacuationChange):
    """Evacuate a data centre."""

    name = "evacuate"
    description = "Send nothing more to the backend servers of a data centre."
    arguments: ClassVar[list[Argument]] = ARGUMENTS
    options = CHANGE_OPTIONS
    help = """
Running requests end where they are.

Examples:
  lentilfork evacuate recife --wait 10
  lentilfork evacuate recife --json
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Submit the start of the evacuation."""
        return await self.submit_evacuation(client, True)


class Restore(EvacuationChange):
    """Return an evacuated data centre to service."""

    name = "restore"
    description = "Return an evacuated data centre to service."
    arguments: ClassVar[list[Argument]] = ARGUMENTS
    options = CHANGE_OPTIONS
    help = """
Examples:
  lentilfork restore recife --wait 10
  lentilfork restore recife --expect 41
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Submit the end of the evacuation."""
        return await self.submit_evacuation(client, False)
