"""Commands that list, change and select presets."""

from pathlib import Path
from typing import Any
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
from lentilfork.cli.definitions import PRESET_ADAPTER
from lentilfork.cli.output import format_json
from lentilfork.cli.output import format_table
from lentilfork.cli.output import to_values
from lentilfork.errors import Failure
from lentilfork.schema import state_pb2
from lentilfork.settings import load_document
from lentilfork.state.codec import decode_transfer_cost

__all__ = ["PresetApply", "PresetList", "PresetRemove", "PresetUse"]


def get_transfer_price(preset: state_pb2.Preset) -> int | str:
    """Return the transfer cost of a preset as its definition writes it."""
    price = decode_transfer_cost(preset.transfer_cost).ms_per_mb
    return "never" if price is None else price


def exclude_transfer_cost(values: dict[str, Any]) -> dict[str, Any]:
    """Return the values of a preset without the message that its price is in."""
    return {key: value for key, value in values.items() if key != "transfer_cost"}


class PresetApply(ChangeCommand):
    """Create or change a preset."""

    name = "preset apply"
    description = "Create a preset or change its limits."
    arguments: ClassVar[list[Argument]] = [argument("file", "Preset definition (JSON)")]
    options = CHANGE_OPTIONS
    help = """
Examples:
  lentilfork preset apply peak.json
  lentilfork preset apply peak.json --expect 7 --wait 10
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Submit the definition in the file."""
        path = Path(self.argument("file"))
        loaded = load_document(path, PRESET_ADAPTER, "read preset definition")
        if isinstance(loaded, Err):
            return loaded
        definition = loaded.ok_value
        return await self.submit(
            client, f"preset {definition.name}", apply_preset=definition.to_message()
        )


class PresetUse(ChangeCommand):
    """Select the active preset."""

    name = "preset use"
    description = "Make a preset the active one."
    arguments: ClassVar[list[Argument]] = [argument("preset", "Name of the preset")]
    options = CHANGE_OPTIONS
    help = """
Examples:
  lentilfork preset use peak --wait 10
  lentilfork preset use ordinary-day --expect 31
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Submit the selection."""
        preset = self.argument("preset")
        return await self.submit(client, f"preset {preset} in use", use_preset=preset)


class PresetRemove(ChangeCommand):
    """Remove a preset."""

    name = "preset remove"
    description = "Remove a preset that is not active."
    arguments: ClassVar[list[Argument]] = [argument("preset", "Name of the preset")]
    options = CHANGE_OPTIONS
    help = """
Examples:
  lentilfork preset remove festival
  lentilfork preset remove festival --expect 40
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Submit the removal."""
        preset = self.argument("preset")
        return await self.submit(
            client, f"preset {preset} removed", remove_preset=preset
        )


class PresetList(ClientCommand):
    """List the presets."""

    name = "preset list"
    description = "List the presets; an asterisk marks the active one."
    options: ClassVar[list[Option]] = [JSON_OPTION]
    help = """
Examples:
  lentilfork preset list
  lentilfork preset list --json
"""

    async def run_with(self, client: ControllerClient) -> Result[None, Failure]:
        """Print the presets of the agreed state."""
        state = await client.get_state()
        if isinstance(state, Err):
            return state
        active = state.ok_value.active_preset
        # The version that `preset use --expect` compares with; only the active preset
        # has one.
        active_versions = {active: state.ok_value.active_preset_version}
        presets = [
            {
                **exclude_transfer_cost(to_values(preset)),
                "transfer_ms_per_mb": get_transfer_price(preset),
                "active": preset.name == active,
                "active_version": active_versions.get(preset.name),
            }
            for preset in state.ok_value.presets
        ]
        if self.option("json"):
            self.print(format_json(presets))
            return Ok(None)
        rows = [
            (
                f"{preset['name']}{' *' if preset['active'] else ''}",
                preset["queue_per_slot"],
                preset["queue_time_ms"],
                preset["retry_budget_percent"],
                preset["hedge_after_ms"],
                preset["drain_ms"],
                preset["cold_start_ms"],
                preset["transfer_ms_per_mb"],
                preset["version"],
            )
            for preset in presets
        ]
        headings = (
            "PRESET",
            "QUEUE/SLOT",
            "QUEUE MS",
            "RETRY %",
            "HEDGE MS",
            "DRAIN MS",
            "COLD START MS",
            "TRANSFER MS/MB",
            "VERSION",
        )
        self.print(format_table(headings, rows))
        self.print(f"\nin force: {active}, at version {active_versions[active]}")
        return Ok(None)
