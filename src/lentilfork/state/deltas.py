"""Deltas: the objects that differ between two generations.

A delta carries each changed object as a whole. A receiver applies it only to the
generation that it was made for, and only if the result has the digest that the sender
computed. Any other delta is refused, and the receiver requests a snapshot.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import replace
from typing import Final
from typing import TypeVar

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
from lentilfork.state.codec import decode_shard_name
from lentilfork.state.codec import encode_agent
from lentilfork.state.codec import encode_balancer
from lentilfork.state.codec import encode_claim_shard
from lentilfork.state.codec import encode_controller
from lentilfork.state.codec import encode_evacuation
from lentilfork.state.codec import encode_preset
from lentilfork.state.codec import encode_service
from lentilfork.state.codec import encode_shard_name
from lentilfork.state.digests import compute_digest
from lentilfork.state.model import ClusterState

__all__ = ["apply_delta", "make_delta"]

STEP: Final = "apply delta"

K = TypeVar("K")
V = TypeVar("V")
M = TypeVar("M")


def list_changed(old: Mapping[K, V], new: Mapping[K, V]) -> Iterable[V]:
    """Return the objects of `new` that `old` lacks or that differ in `old`."""
    return (item for key, item in new.items() if old.get(key) != item)


def list_removed(old: Mapping[K, V], new: Mapping[K, V]) -> Iterable[K]:
    """Return the keys of `old` that `new` lacks."""
    return (key for key in old if key not in new)


def make_delta(old: ClusterState, new: ClusterState) -> state_pb2.Delta:
    """Return the delta from `old` to `new`, a later generation."""
    controllers_changed = old.controllers != new.controllers
    return state_pb2.Delta(
        base=old.generation,
        generation=new.generation,
        digest=compute_digest(new),
        services=map(encode_service, list_changed(old.services, new.services)),
        removed_services=list_removed(old.services, new.services),
        presets=map(encode_preset, list_changed(old.presets, new.presets)),
        removed_presets=list_removed(old.presets, new.presets),
        active_preset=new.active_preset,
        active_preset_version=new.active_preset_version,
        agents=map(encode_agent, list_changed(old.agents, new.agents)),
        removed_agents=list_removed(old.agents, new.agents),
        balancers=map(encode_balancer, list_changed(old.balancers, new.balancers)),
        removed_balancers=list_removed(old.balancers, new.balancers),
        claim_shards=map(
            encode_claim_shard, list_changed(old.claim_shards, new.claim_shards)
        ),
        removed_claim_shards=map(
            encode_shard_name, list_removed(old.claim_shards, new.claim_shards)
        ),
        controllers=map(
            encode_controller, new.controllers.values() if controllers_changed else ()
        ),
        # Evacuations are never removed.
        evacuations=map(
            encode_evacuation, list_changed(old.evacuations, new.evacuations)
        ),
    )


def merge(
    old: dict[K, V],
    messages: Iterable[M],
    decode: Callable[[M], V],
    get_key: Callable[[V], K],
    removed: Iterable[K] = (),
) -> dict[K, V]:
    """Return `old` without `removed`, with the decoded objects added or replaced."""
    removed_keys = set(removed)
    remaining = {key: item for key, item in old.items() if key not in removed_keys}
    return remaining | {get_key(item): item for item in map(decode, messages)}


def merge_delta(state: ClusterState, delta: state_pb2.Delta) -> ClusterState:
    """Return the state after a delta, without checking the delta."""
    controllers = map(decode_controller, delta.controllers)
    return replace(
        state,
        generation=delta.generation,
        services=merge(
            state.services,
            delta.services,
            decode_service,
            lambda service: service.name,
            delta.removed_services,
        ),
        presets=merge(
            state.presets,
            delta.presets,
            decode_preset,
            lambda preset: preset.name,
            delta.removed_presets,
        ),
        active_preset=delta.active_preset or state.active_preset,
        active_preset_version=delta.active_preset_version
        or state.active_preset_version,
        agents=merge(
            state.agents,
            delta.agents,
            decode_agent,
            lambda agent: agent.name,
            delta.removed_agents,
        ),
        balancers=merge(
            state.balancers,
            delta.balancers,
            decode_balancer,
            lambda balancer: balancer.name,
            delta.removed_balancers,
        ),
        claim_shards=merge(
            state.claim_shards,
            delta.claim_shards,
            decode_claim_shard,
            lambda shard: shard.name,
            map(decode_shard_name, delta.removed_claim_shards),
        ),
        controllers={item.name: item for item in controllers} or state.controllers,
        evacuations=merge(
            state.evacuations,
            delta.evacuations,
            decode_evacuation,
            lambda evacuation: evacuation.data_centre,
        ),
    )


def apply_delta(
    state: ClusterState, delta: state_pb2.Delta
) -> Result[ClusterState, Failure]:
    """Return the state after a delta.

    Fails if the delta was made for another generation, does not raise the generation,
    is malformed, or results in another digest.
    """
    if delta.generation <= state.generation:
        text = f"generation {delta.generation} is not above {state.generation}"
        return Err(Failure(STEP, "-", text))
    if delta.base != state.generation:
        text = f"made for generation {delta.base}, not for {state.generation}"
        return Err(Failure(STEP, "-", text))
    try:
        merged = merge_delta(state, delta)
    except ValueError as error:
        return Err(Failure(STEP, "-", f"malformed delta: {error}"))
    if compute_digest(merged) != delta.digest:
        text = f"wrong digest for generation {delta.generation}"
        return Err(Failure(STEP, "-", text))
    return Ok(merged)
