"""Validation of the objects that a change puts into the state.

Each check returns a message for the operator, or an empty text if the object is valid.
The messages are part of the replicated results of changes, so all controllers must
produce the same text.
"""

import ipaddress
import re
from typing import Final

from lentilfork.schema import state_pb2
from lentilfork.state.model import ClaimShard
from lentilfork.state.model import ClusterState

__all__ = [
    "check_agent",
    "check_claim_shard",
    "check_controllers",
    "check_evacuation",
    "check_name",
    "check_preset",
    "check_service",
]

NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
MAXIMUM_PORT: Final = 65_535
MAXIMUM_DEADLINE_MS: Final = 600_000
MAXIMUM_QUEUE_PER_SLOT: Final = 4_096
MAXIMUM_TIME_MS: Final = 3_600_000
MAXIMUM_TRANSFER_MS_PER_MB: Final = 1_000_000
MAXIMUM_SLOTS: Final = 1_024
MAXIMUM_SHARD_VOTERS: Final = 5
MAXIMUM_LONG_PATHS: Final = 64
MAXIMUM_CONTROLLERS: Final = 16
MAXIMUM_DATA_CENTRE_LENGTH: Final = 255
FULL_PERCENT: Final = 100


def check_name(kind: str, name: str) -> str:
    """Check a name: at most 63 lower case letters, digits and hyphens."""
    if NAME_PATTERN.fullmatch(name):
        return ""
    return (
        f"{kind} name {name!r}: expected 1 to 63 lower case letters, digits "
        "and hyphens, the first no hyphen"
    )


def check_range(label: str, value: int, low: int, high: int) -> str:
    """Check that a number is between two bounds, inclusive."""
    return "" if low <= value <= high else f"{label} {value}: expected {low} to {high}"


def check_address(label: str, address: str) -> str:
    """Check that a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(address)
    except ValueError:
        return f"{label} {address!r}: expected an IPv4 address such as 10.0.0.1"
    return ""


def check_socket_address(label: str, text: str) -> str:
    """Check that a text is an IPv4 address and a port, "ip:port"."""
    host, _, port = text.rpartition(":")
    valid_port = port.isdigit() and 0 < int(port) <= MAXIMUM_PORT
    if valid_port and not check_address(label, host):
        return ""
    return f"{label} {text!r}: expected IPv4:PORT such as 10.0.0.1:7000"


def check_free_address(state: ClusterState, service: state_pb2.Service) -> str:
    """Check that no other service has the same address and port."""
    owner = next(
        (
            other.name
            for other in state.services.values()
            if other.name != service.name
            and (other.address, other.port) == (service.address, service.port)
        ),
        "",
    )
    if not owner:
        return ""
    return f"address {service.address}:{service.port} is taken by service {owner}"


def check_service(state: ClusterState, service: state_pb2.Service) -> str:
    """Check a service that an operator applies."""
    paths = service.long_paths
    wrong_path = next((path for path in paths if not path or "/" in path), None)
    return (
        check_name("service", service.name)
        or check_address("address", service.address)
        or check_range("port", service.port, 1, MAXIMUM_PORT)
        or check_range("deadline_ms", service.deadline_ms, 1, MAXIMUM_DEADLINE_MS)
        or check_range("number of long_paths", len(paths), 0, MAXIMUM_LONG_PATHS)
        or (
            f"long path {wrong_path!r}: expected one path segment without '/'"
            if wrong_path is not None
            else ""
        )
        or check_free_address(state, service)
    )


def check_preset(preset: state_pb2.Preset) -> str:
    """Check a preset that an operator applies."""
    return (
        check_name("preset", preset.name)
        or check_range(
            "queue_per_slot", preset.queue_per_slot, 0, MAXIMUM_QUEUE_PER_SLOT
        )
        or check_range("queue_time_ms", preset.queue_time_ms, 1, MAXIMUM_TIME_MS)
        or check_range(
            "retry_budget_percent", preset.retry_budget_percent, 0, FULL_PERCENT
        )
        or check_range("hedge_after_ms", preset.hedge_after_ms, 0, MAXIMUM_TIME_MS)
        or check_range("drain_ms", preset.drain_ms, 0, MAXIMUM_TIME_MS)
        or check_range("cold_start_ms", preset.cold_start_ms, 0, MAXIMUM_TIME_MS)
        or check_range(
            "transfer_ms_per_mb",
            preset.transfer_cost.ms_per_mb,
            0,
            MAXIMUM_TRANSFER_MS_PER_MB,
        )
    )


def check_agent(agent: state_pb2.Agent) -> str:
    """Check an agent that announces itself."""
    return (
        check_name("agent", agent.name)
        or check_name("service", agent.service)
        or check_name("data centre", agent.data_centre)
        or check_socket_address("packet_address", agent.packet_address)
        or check_socket_address("control_address", agent.control_address)
        or check_range("slots", agent.slots, 1, MAXIMUM_SLOTS)
    )


def check_claim_shard(known: ClaimShard | None, shard: ClaimShard) -> str:
    """Check a claim shard against the known one of the same name.

    The voters do not change within an epoch, and the epoch never decreases.
    """
    name = f"claim shard {shard.name.service}/{shard.name.index}"
    names = {voter.agent for voter in shard.voters}
    if len(names) != len(shard.voters):
        return f"{name}: a voter stands twice"
    if known and shard.epoch < known.epoch:
        return f"{name}: epoch {shard.epoch} is before {known.epoch}"
    if known and shard.epoch == known.epoch and shard.voters != known.voters:
        return f"{name}: other voters for the same epoch {shard.epoch}"
    return check_range("number of voters", len(names), 0, MAXIMUM_SHARD_VOTERS)


def check_evacuation(evacuation: state_pb2.Evacuation) -> str:
    """Check an evacuation that an operator starts or ends.

    Settings of deployments name data centres freely, so any name of a plausible length
    is valid.
    """
    return check_range(
        "length of the name of a data centre",
        len(evacuation.data_centre),
        1,
        MAXIMUM_DATA_CENTRE_LENGTH,
    )


def check_controllers(controllers: state_pb2.ControllerSet) -> str:
    """Check a set of controllers without regard to the current set."""
    members = controllers.controllers
    names = {member.name for member in members}
    if len(names) != len(members):
        return "a controller stands twice"
    if not any(member.voter for member in members):
        return "at least one controller must be a voter"
    problems = (
        check_name("controller", member.name)
        or check_socket_address("control_address", member.control_address)
        for member in members
    )
    return check_range(
        "number of controllers", len(members), 1, MAXIMUM_CONTROLLERS
    ) or next(filter(None, problems), "")
