"""Snapshots: the whole state as one message.

A snapshot for controllers also contains results of changes, history and known
incarnations. A snapshot for balancers and agents contains only the cluster state.
"""

from google.protobuf.message import DecodeError
from result import Err
from result import Ok
from result import Result

from lentilfork.errors import Failure
from lentilfork.schema import state_pb2
from lentilfork.state.codec import decode_agent
from lentilfork.state.codec import decode_balancer
from lentilfork.state.codec import decode_claim_shard
from lentilfork.state.codec import decode_controller
from lentilfork.state.codec import decode_evacuation
from lentilfork.state.codec import decode_preset
from lentilfork.state.codec import decode_service
from lentilfork.state.codec import encode_agent
from lentilfork.state.codec import encode_balancer
from lentilfork.state.codec import encode_claim_shard
from lentilfork.state.codec import encode_controller
from lentilfork.state.codec import encode_evacuation
from lentilfork.state.codec import encode_preset
from lentilfork.state.codec import encode_service
from lentilfork.state.ledger import Ledger
from lentilfork.state.model import ClusterState
from lentilfork.state.replicated import ReplicatedState

__all__ = [
    "decode_replicated",
    "decode_snapshot",
    "encode_replicated",
    "encode_snapshot",
    "parse_replicated",
]


def encode_snapshot(state: ClusterState) -> state_pb2.Snapshot:
    """Return the snapshot of a cluster state, as balancers and agents get it."""
    return state_pb2.Snapshot(
        generation=state.generation,
        services=map(encode_service, state.services.values()),
        presets=map(encode_preset, state.presets.values()),
        active_preset=state.active_preset,
        active_preset_version=state.active_preset_version,
        agents=map(encode_agent, state.agents.values()),
        balancers=map(encode_balancer, state.balancers.values()),
        claim_shards=map(encode_claim_shard, state.claim_shards.values()),
        controllers=map(encode_controller, state.controllers.values()),
        evacuations=map(encode_evacuation, state.evacuations.values()),
    )


def decode_snapshot(message: state_pb2.Snapshot) -> ClusterState:
    """Return the cluster state of a snapshot."""
    return ClusterState(
        generation=message.generation,
        services={item.name: decode_service(item) for item in message.services},
        presets={item.name: decode_preset(item) for item in message.presets},
        active_preset=message.active_preset,
        active_preset_version=message.active_preset_version,
        agents={item.name: decode_agent(item) for item in message.agents},
        balancers={item.name: decode_balancer(item) for item in message.balancers},
        claim_shards={
            shard.name: shard for shard in map(decode_claim_shard, message.claim_shards)
        },
        controllers={
            item.name: decode_controller(item) for item in message.controllers
        },
        evacuations={
            item.data_centre: decode_evacuation(item) for item in message.evacuations
        },
    )


def encode_replicated(state: ReplicatedState) -> state_pb2.Snapshot:
    """Return the snapshot of the whole replicated state, as controllers get it."""
    message = encode_snapshot(state.cluster)
    message.results.extend(state.operator_results.get_items())
    message.system_results.extend(state.system_results.get_items())
    message.history.extend(state.entries.get_items())
    message.history_dropped = state.entries.dropped
    message.next_service_id = state.next_service_id
    message.route_table.CopyFrom(state.route_table)
    message.incarnations.extend(
        state_pb2.KnownIncarnations(agent=name, incarnations=known)
        for name, known in state.incarnations.items()
    )
    return message


def decode_replicated(message: state_pb2.Snapshot) -> ReplicatedState:
    """Return the replicated state of a snapshot for controllers."""
    return ReplicatedState(
        cluster=decode_snapshot(message),
        operator_results=Ledger.restore(
            (result.change_id, result) for result in message.results
        ),
        system_results=Ledger.restore(
            (result.change_id, result) for result in message.system_results
        ),
        entries=Ledger.restore(
            ((entry.generation, entry) for entry in message.history),
            message.history_dropped,
        ),
        next_service_id=message.next_service_id,
        route_table=message.route_table,
        incarnations={
            known.agent: tuple(known.incarnations) for known in message.incarnations
        },
    )


def parse_replicated(data: bytes, peer: str) -> Result[ReplicatedState, Failure]:
    """Parse a serialised snapshot; `peer` names its origin in a failure."""
    try:
        return Ok(decode_replicated(state_pb2.Snapshot.FromString(data)))
    except DecodeError as error:
        return Err(Failure("read snapshot", peer, str(error)))
