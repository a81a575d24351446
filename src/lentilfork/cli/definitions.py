"""Definition files of services and presets, validated before they are sent.

The models convert an operator's JSON file to messages of the administration API.
Their JSON Schemas are published with the schema of the settings. The controllers
validate the messages again, against the same limits and the agreed state.
"""

import ipaddress
from typing import Annotated
from typing import Final
from typing import Literal

from pydantic import AfterValidator
from pydantic import Field
from pydantic import TypeAdapter

from lentilfork.schema import state_pb2
from lentilfork.settings import DocumentModel
from lentilfork.settings import ProcessName
from lentilfork.state.codec import encode_transfer_cost
from lentilfork.state.model import DEFAULT_TRANSFER_MS_PER_MB
from lentilfork.state.model import TransferCost
from lentilfork.state.validation import FULL_PERCENT
from lentilfork.state.validation import MAXIMUM_DEADLINE_MS
from lentilfork.state.validation import MAXIMUM_LONG_PATHS
from lentilfork.state.validation import MAXIMUM_PORT
from lentilfork.state.validation import MAXIMUM_QUEUE_PER_SLOT
from lentilfork.state.validation import MAXIMUM_TIME_MS
from lentilfork.state.validation import MAXIMUM_TRANSFER_MS_PER_MB

__all__ = [
    "PRESET_ADAPTER",
    "SERVICE_ADAPTER",
    "PresetDefinition",
    "ServiceDefinition",
]


def check_ip_address(text: str) -> str:
    """Return `text` if it is an IPv4 address; ValueError if it is not."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        raise ValueError("expected an IPv4 address, such as 10.8.0.1") from None
    return text


IpAddress = Annotated[
    str,
    AfterValidator(check_ip_address),
    Field(json_schema_extra={"format": "ipv4", "examples": ["10.8.0.1"]}),
]
PathSegment = Annotated[str, Field(pattern=r"^[^/]+$", max_length=255)]
Milliseconds = Annotated[int, Field(ge=0, le=MAXIMUM_TIME_MS)]
TransferPrice = (
    Annotated[int, Field(ge=0, le=MAXIMUM_TRANSFER_MS_PER_MB, strict=True)]
    | Literal["never"]
)
Percent = Annotated[int, Field(ge=0, le=FULL_PERCENT)]


class ServiceDefinition(DocumentModel):
    """A service: its address and port, and the deadline of its callers."""

    name: ProcessName
    address: IpAddress
    port: Annotated[int, Field(ge=1, le=MAXIMUM_PORT)]
    deadline_ms: Annotated[int, Field(ge=1, le=MAXIMUM_DEADLINE_MS)]
    # First path segments of resources whose long answers are sent block-wise.
    long_paths: Annotated[
        tuple[PathSegment, ...], Field(max_length=MAXIMUM_LONG_PATHS)
    ] = ()

    def to_message(self) -> state_pb2.Service:
        """Return the message that applies this definition."""
        return state_pb2.Service(**self.model_dump(exclude={"schema_"}))


class PresetDefinition(DocumentModel):
    """Limits that apply while this preset is the active one."""

    name: ProcessName
    # Number of requests that may wait for each slot.
    queue_per_slot: Annotated[int, Field(ge=0, le=MAXIMUM_QUEUE_PER_SLOT)]
    # Longest time that a request may wait for a slot.
    queue_time_ms: Annotated[int, Field(ge=1, le=MAXIMUM_TIME_MS)]
    # Retries allowed per hundred requests.
    retry_budget_percent: Percent
    # A second attempt of an idempotent request starts after this time; 0: never.
    hedge_after_ms: Milliseconds = 0
    # Longest time for which a leaving process waits for its running work.
    drain_ms: Milliseconds
    # Time over which the share of a new endpoint grows to its full size.
    cold_start_ms: Milliseconds
    # Waiting time that the transfer of a megabyte between data centres is worth;
    # "never": no new flow leaves its data centre.
    transfer_ms_per_mb: TransferPrice = DEFAULT_TRANSFER_MS_PER_MB

    def to_message(self) -> state_pb2.Preset:
        """Return the message that applies this definition."""
        price = self.transfer_ms_per_mb
        cost = TransferCost(None if price == "never" else price)
        return state_pb2.Preset(
            **self.model_dump(exclude={"schema_", "transfer_ms_per_mb"}),
            transfer_cost=encode_transfer_cost(cost),
        )


SERVICE_ADAPTER: Final = TypeAdapter(ServiceDefinition)
PRESET_ADAPTER: Final = TypeAdapter(PresetDefinition)
