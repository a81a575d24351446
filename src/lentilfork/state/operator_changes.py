"""Changes operators make: services, presets, route tables and evacuations."""

from dataclasses import replace

from lentilfork.schema import state_pb2
from lentilfork.state.codec import decode_evacuation
from lentilfork.state.codec import decode_preset
from lentilfork.state.codec import decode_service
from lentilfork.state.effects import Effect
from lentilfork.state.effects import change_cluster
from lentilfork.state.effects import refuse
from lentilfork.state.effects import remove_key
from lentilfork.state.replicated import ReplicatedState
from lentilfork.state.route_history import add_history
from lentilfork.state.validation import check_evacuation
from lentilfork.state.validation import check_preset
from lentilfork.state.validation import check_service

__all__ = [
    "apply_preset",
    "apply_service",
    "put_evacuation",
    "remove_preset",
    "remove_service",
    "use_preset",
]


def apply_service(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Create or replace a service; an existing service keeps its id."""
    message = change.apply_service
    problem = check_service(state.cluster, message)
    if problem:
        return refuse(state, problem)
    existing = state.cluster.services.get(message.name)
    service = replace(
        decode_service(message),
        id=existing.id if existing else state.next_service_id,
        version=state.cluster.generation + 1,
    )
    next_service_id = state.next_service_id + (0 if existing else 1)
    services = state.cluster.services | {service.name: service}
    return change_cluster(
        replace(state, next_service_id=next_service_id), services=services
    )


def remove_service(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Remove a service.

    Its agents stay in the state and serve the service if it is applied again.
    """
    name = change.remove_service
    if name not in state.cluster.services:
        return refuse(state, f"no service named {name!r}")
    return change_cluster(state, services=remove_key(state.cluster.services, name))


def apply_preset(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Create or replace a preset."""
    problem = check_preset(change.apply_preset)
    if problem:
        return refuse(state, problem)
    version = state.cluster.generation + 1
    preset = replace(decode_preset(change.apply_preset), version=version)
    return change_cluster(state, presets=state.cluster.presets | {preset.name: preset})


def remove_preset(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Remove a preset unless it is active."""
    name = change.remove_preset
    if name not in state.cluster.presets:
        return refuse(state, f"no preset named {name!r}")
    if name == state.cluster.active_preset:
        return refuse(state, f"preset {name!r} is in force")
    return change_cluster(state, presets=remove_key(state.cluster.presets, name))


def use_preset(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Make a preset the active one."""
    name = change.use_preset
    if name not in state.cluster.presets:
        preset_names = ", ".join(sorted(state.cluster.presets))
        return refuse(state, f"no preset named {name!r}; there are {preset_names}")
    return change_cluster(
        state,
        active_preset=name,
        active_preset_version=state.cluster.generation + 1,
    )


def put_route_table(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Replace the route table; a table that is not newer changes nothing."""
    if change.put_route_table.version <= state.route_table.version:
        return Effect(state)
    table = add_history(state.route_table, change.put_route_table, change.time_ms)
    return Effect(replace(state, route_table=table))


def put_evacuation(state: ReplicatedState, change: state_pb2.Change) -> Effect:
    """Start or end the evacuation of a data centre; an ended one is kept.

    The version rises even if the evacuation stays as it is, so that a proposal made
    from an earlier version no longer takes effect.
    """
    problem = check_evacuation(change.put_evacuation)
    if problem:
        return refuse(state, problem)
    version = state.cluster.generation + 1
    evacuation = replace(decode_evacuation(change.put_evacuation), version=version)
    evacuations = state.cluster.evacuations | {evacuation.data_centre: evacuation}
    return change_cluster(state, evacuations=evacuations)
