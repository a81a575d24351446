"""Commands that list, show, change and remove services."""

from pathlib import Path
from typing import ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from result import Err
from result import Ok
from result import Result

from lentilfork.cli.changes import CHANGE_OPTIONS
from lentilfork.cli.changes import ChangeCommand
from lentilfork.cli.client import ControllerClient
from lentilfork.cli.command import JSON_OPTION
from lentilfork.cli.command import ClientCommand
from lentilfork.cli.definitions import SERVICE_ADAPTER
from lentilfork.cli.output import format_json
from lentilfork.cli.output import format_table
from lentilfork.cli.output import to_values
from lentilfork.errors import Failure
from lentilfork.settings import load_document

__all__ = ["ServiceApply", "ServiceList", "ServiceRemove", "ServiceShow"]


class ServiceApply(ChangeCommand):
    """Create or change a service."""

    name = "service apply"
    description = "Create a service or change it."
    arguments: ClassVar[list[Argument]] = [
        argument("file", "Service definition (JSON)")
    ]
    options = CHANGE_OPTIONS
    help = """
Examples:
  lentilfork service apply warnings.json --wait 10
  lentilfork service apply warnings.json --expect 12
  lentilfork service apply warnings.json --change-id 5f0c (sent again)
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Submit the definition in the file."""
        path = Path(self.argument("file"))
        loaded = load_document(path, SERVICE_ADAPTER, "read service definition")
        if isinstance(loaded, Err):
            return loaded
        definition = loaded.ok_value
        return await self.submit(
            client, f"service {definition.name}", apply_service=definition.to_message()
        )


class ServiceRemove(ChangeCommand):
    """Remove a service."""

    name = "service remove"
    description = "Remove a service; its callers get no more answers."
    arguments: ClassVar[list[Argument]] = [argument("service", "Name of the service")]
    options = CHANGE_OPTIONS
    help = """
Examples:
  lentilfork service remove warnings
  lentilfork service remove warnings --expect 12 --wait 10
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Submit the removal."""
        service = self.argument("service")
        return await self.submit(
            client, f"service {service} removed", remove_service=service
        )


class ServiceList(ClientCommand):
    """List the services."""

    name = "service list"
    description = "List the services and how many endpoints each has."
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = """
Examples:
  lentilfork service list
  lentilfork service list --json
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Print the services of the agreed state."""
        state = await client.get_state()
        if isinstance(state, Err):
            return state
        services = sorted(state.ok_value.services, key=lambda service: service.name)
        if self.option("json"):
            self.print(format_json([to_values(service) for service in services]))
            return Ok(None)
        agents = [agent.service for agent in state.ok_value.agents]
        rows = [
            (
                service.name,
                f"{service.address}:{service.port}",
                service.deadline_ms,
                agents.count(service.name),
                service.version,
            )
            for service in services
        ]
        headings = ("SERVICE", "ADDRESS", "DEADLINE MS", "ENDPOINTS", "VERSION")
        self.print(format_table(headings, rows))
        return Ok(None)


class ServiceShow(ClientCommand):
    """Show one service."""

    name = "service show"
    description = "Show a service and its endpoints."
    arguments: ClassVar[list[Argument]] = [argument("service", "Name of the service")]
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = """
Examples:
  lentilfork service show warnings
  lentilfork service show warnings --json
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Print one service of the agreed state and its endpoints."""
        name = self.argument("service")
        state = await client.get_state()
        if isinstance(state, Err):
            return state
        found = [item for item in state.ok_value.services if item.name == name]
        if not found:
            return Err(Failure("show service", name, "no service has this name"))
        service = to_values(found[0])
        agents = [agent for agent in state.ok_value.agents if agent.service == name]
        if self.option("json"):
            endpoints = [to_values(agent) for agent in agents]
            self.print(format_json({**service, "endpoints": endpoints}))
            return Ok(None)
        self.print("\n".join(f"{key}: {value}" for key, value in service.items()))
        rows = [
            (
                agent.name,
                agent.data_centre,
                agent.slots,
                "draining" if agent.draining else "live",
                agent.control_address,
            )
            for agent in agents
        ]
        headings = ("ENDPOINT", "DATA CENTRE", "SLOTS", "STATE", "CONTROL ADDRESS")
        self.print(f"\n{format_table(headings, rows)}")
        return Ok(None)
