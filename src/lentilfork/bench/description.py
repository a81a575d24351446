"""Description of a deployment: reads and validates its JSON files.

A description contains the places (data centres), the number of processes of each role,
and for each service its definition, endpoints, slots and service times. In a file, a
definition or a preset may be the name of another file in the same folder.
"""

import json
from pathlib import Path
from typing import Any
from typing import Literal

from pydantic import Field

from lentilfork.cli.definitions import PresetDefinition
from lentilfork.cli.definitions import ServiceDefinition
from lentilfork.settings import FrozenModel
from lentilfork.settings import ProcessName

__all__ = [
    "DeploymentDescription",
    "ServiceDescription",
    "load_description",
]


class ServiceDescription(FrozenModel):
    """A service and its simulated backend servers."""

    # Definition as operators apply it; its address is replaced by a loopback one.
    definition: ServiceDefinition
    endpoints: int = Field(gt=0)
    slots: int = Field(default=1, gt=0)
    # Number of requests that may wait in a backend server.
    queue: int = Field(default=2, ge=0)
    # Mean service times at speed 1.
    service_time_ms: float = 10.0
    long_service_time_ms: float = 100.0
    distribution: Literal["fixed", "exponential", "lognormal"] = "exponential"
    # Speeds assigned to the endpoints in turn; repeated if there are more endpoints.
    speeds: tuple[float, ...] = (1.0,)
    cold_start_s: float = 0.0
    long_content_bytes: int = 40_000


class DeploymentDescription(FrozenModel):
    """A deployment: its places, processes, services and presets."""

    name: ProcessName
    places: tuple[ProcessName, ...] = ("here",)
    controllers: int = Field(default=3, gt=0)
    balancers: int = Field(default=3, gt=0)
    services: tuple[ServiceDescription, ...]
    presets: tuple[PresetDefinition, ...] = ()
    # One-way delay between callers and the fabric.
    caller_delay_ms: float = 0.0
    # Additional one-way delay to balancers outside the first place.
    place_delay_ms: float = 0.0
    seed: int = 1


def load_description(path: Path) -> DeploymentDescription:
    """Read a description; raises OSError or ValueError (or its subclasses)."""
    document = json.loads(path.read_text(encoding="utf-8"))
    services = [
        {**service, "definition": load_part(path, service["definition"])}
        for service in document.get("services", [])
    ]
    presets = [load_part(path, preset) for preset in document.get("presets", [])]
    return DeploymentDescription.model_validate(
        {**document, "services": services, "presets": presets}
    )


def load_part(path: Path, part: Any) -> Any:
    """Return a part of a description; reads it from a file if `part` is a name."""
    if not isinstance(part, str):
        return part
    return json.loads((path.parent / part).read_text(encoding="utf-8"))
