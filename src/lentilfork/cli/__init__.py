"""The operator command `lentilfork`.

It calls any controller through the administration API and stores no state; it only
needs the addresses of controllers.
"""

from lentilfork.cli.application import main
from lentilfork.cli.connection import CLIENT_ADAPTER
from lentilfork.cli.connection import ClientSettings
from lentilfork.cli.definitions import PRESET_ADAPTER
from lentilfork.cli.definitions import SERVICE_ADAPTER
from lentilfork.cli.definitions import PresetDefinition
from lentilfork.cli.definitions import ServiceDefinition

__all__ = [
    "CLIENT_ADAPTER",
    "PRESET_ADAPTER",
    "SERVICE_ADAPTER",
    "ClientSettings",
    "PresetDefinition",
    "ServiceDefinition",
    "main",
]
