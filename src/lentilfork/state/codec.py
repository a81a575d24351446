"""Conversion between the state's data classes and its protobuf messages.

`encode` writes the message of any data class of the state; the `decode_*` function of
the same name reads it. Both directions are lossless.
"""

from functools import singledispatch

from google.protobuf.message import Message

from lentilfork.schema import state_pb2
from lentilfork.state.model import DEFAULT_TRANSFER_COST
from lentilfork.state.model import Agent
from lentilfork.state.model import Balancer
from lentilfork.state.model import ClaimShard
from lentilfork.state.model import Controller
from lentilfork.state.model import Evacuation
from lentilfork.state.model import Preset
from lentilfork.state.model import Service
from lentilfork.state.model import ShardName
from lentilfork.state.model import TransferCost
from lentilfork.state.model import Voter

__all__ = [
    "decode_agent",
    "decode_balancer",
    "decode_claim_shard",
    "decode_controller",
    "decode_evacuation",
    "decode_preset",
    "decode_service",
    "decode_shard_name",
    "decode_transfer_cost",
    "decode_voter",
    "encode",
    "encode_agent",
    "encode_balancer",
    "encode_claim_shard",
    "encode_controller",
    "encode_evacuation",
    "encode_preset",
    "encode_service",
    "encode_shard_name",
    "encode_transfer_cost",
    "encode_voter",
]


def encode_service(service: Service) -> state_pb2.Service:
    """Return the message of a service."""
    return state_pb2.Service(
        id=service.id,
        name=service.name,
        address=service.address,
        port=service.port,
        deadline_ms=service.deadline_ms,
        long_paths=service.long_paths,
        version=service.version,
    )


def decode_service(message: state_pb2.Service) -> Service:
    """Return the service of a message."""
    return Service(
        message.id,
        message.name,
        message.address,
        message.port,
        message.deadline_ms,
        tuple(message.long_paths),
        message.version,
    )


def encode_transfer_cost(cost: TransferCost) -> state_pb2.TransferCost | None:
    """Return the message of a transfer cost, None for the default.

    Presets without another cost keep the message, and thus the digest, that earlier
    builds compute.
    """
    if cost == DEFAULT_TRANSFER_COST:
        return None
    if cost.ms_per_mb is None:
        return state_pb2.TransferCost(never=True)
    return state_pb2.TransferCost(ms_per_mb=cost.ms_per_mb)


def decode_transfer_cost(message: state_pb2.TransferCost) -> TransferCost:
    """Return the transfer cost of a message; the default if it has no value."""
    match message.WhichOneof("cost"):
        case "ms_per_mb":
            return TransferCost(message.ms_per_mb)
        case "never" if message.never:
            return TransferCost(None)
        case _:
            return DEFAULT_TRANSFER_COST


def encode_preset(preset: Preset) -> state_pb2.Preset:
    """Return the message of a preset."""
    return state_pb2.Preset(
        name=preset.name,
        queue_per_slot=preset.queue_per_slot,
        queue_time_ms=preset.queue_time_ms,
        retry_budget_percent=preset.retry_budget_percent,
        hedge_after_ms=preset.hedge_after_ms,
        drain_ms=preset.drain_ms,
        cold_start_ms=preset.cold_start_ms,
        version=preset.version,
        transfer_cost=encode_transfer_cost(preset.transfer_cost),
    )


def decode_preset(message: state_pb2.Preset) -> Preset:
    """Return the preset of a message."""
    return Preset(
        message.name,
        message.queue_per_slot,
        message.queue_time_ms,
        message.retry_budget_percent,
        message.hedge_after_ms,
        message.drain_ms,
        message.cold_start_ms,
        message.version,
        decode_transfer_cost(message.transfer_cost),
    )


def encode_agent(agent: Agent) -> state_pb2.Agent:
    """Return the message of an agent."""
    return state_pb2.Agent(
        name=agent.name,
        incarnation=agent.incarnation,
        service=agent.service,
        data_centre=agent.data_centre,
        packet_address=agent.packet_address,
        control_address=agent.control_address,
        slots=agent.slots,
        draining=agent.draining,
        joined=agent.joined,
    )


def decode_agent(message: state_pb2.Agent) -> Agent:
    """Return the agent of a message."""
    return Agent(
        message.name,
        message.incarnation,
        message.service,
        message.data_centre,
        message.packet_address,
        message.control_address,
        message.slots,
        message.draining,
        message.joined,
    )


def encode_balancer(balancer: Balancer) -> state_pb2.Balancer:
    """Return the message of a balancer."""
    return state_pb2.Balancer(
        name=balancer.name,
        incarnation=balancer.incarnation,
        data_centre=balancer.data_centre,
        control_address=balancer.control_address,
    )


def decode_balancer(message: state_pb2.Balancer) -> Balancer:
    """Return the balancer of a message."""
    return Balancer(
        message.name,
        message.incarnation,
        message.data_centre,
        message.control_address,
    )


def encode_voter(voter: Voter) -> state_pb2.Voter:
    """Return the message of a voter of a claim shard."""
    return state_pb2.Voter(agent=voter.agent, incarnation=voter.incarnation)


def decode_voter(message: state_pb2.Voter) -> Voter:
    """Return the voter of a message."""
    return Voter(message.agent, message.incarnation)


def encode_shard_name(name: ShardName) -> str:
    """Return the name as text, "service/index"."""
    return f"{name.service}/{name.index}"


def decode_shard_name(text: str) -> ShardName:
    """Parse "service/index"; raises ValueError if the index is not a number."""
    service, _, index = text.rpartition("/")
    return ShardName(service, int(index))


def encode_claim_shard(shard: ClaimShard) -> state_pb2.ClaimShard:
    """Return the message of a claim shard."""
    return state_pb2.ClaimShard(
        service=shard.name.service,
        index=shard.name.index,
        epoch=shard.epoch,
        voters=map(encode_voter, shard.voters),
        previous=map(encode_voter, shard.previous),
    )


def decode_claim_shard(message: state_pb2.ClaimShard) -> ClaimShard:
    """Return the claim shard of a message."""
    return ClaimShard(
        ShardName(message.service, message.index),
        message.epoch,
        tuple(map(decode_voter, message.voters)),
        tuple(map(decode_voter, message.previous)),
    )


def encode_controller(controller: Controller) -> state_pb2.Controller:
    """Return the message of a controller."""
    return state_pb2.Controller(
        name=controller.name,
        control_address=controller.control_address,
        voter=controller.voter,
        disk_id=controller.disk_id,
    )


def decode_controller(message: state_pb2.Controller) -> Controller:
    """Return the controller of a message."""
    return Controller(
        message.name,
        message.control_address,
        message.voter,
        message.disk_id,
    )


def encode_evacuation(evacuation: Evacuation) -> state_pb2.Evacuation:
    """Return the message of an evacuation."""
    return state_pb2.Evacuation(
        data_centre=evacuation.data_centre,
        active=evacuation.active,
        version=evacuation.version,
    )


def decode_evacuation(message: state_pb2.Evacuation) -> Evacuation:
    """Return the evacuation of a message."""
    return Evacuation(message.data_centre, message.active, message.version)


@singledispatch
def encode(item: object) -> Message:
    """Return the message of any object of the state."""
    raise TypeError(f"no protobuf message for objects of type {type(item).__name__}")


encode.register(Service, encode_service)
encode.register(Preset, encode_preset)
encode.register(Agent, encode_agent)
encode.register(Balancer, encode_balancer)
encode.register(Voter, encode_voter)
encode.register(ClaimShard, encode_claim_shard)
encode.register(Controller, encode_controller)
encode.register(Evacuation, encode_evacuation)
