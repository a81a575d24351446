"""The digest with which processes check that their states are equal.

The digest is the sum, modulo 2**64, of one xxh3 hash per object. It therefore does not
depend on the order of the objects. After a change only the changed object is hashed;
the hashes of the others come from a bounded cache.
"""

from collections.abc import Iterator
from functools import lru_cache
from itertools import chain
from typing import Final

import xxhash

from lentilfork.state.codec import encode
from lentilfork.state.model import Agent
from lentilfork.state.model import Balancer
from lentilfork.state.model import ClaimShard
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Controller
from lentilfork.state.model import Evacuation
from lentilfork.state.model import Preset
from lentilfork.state.model import Service

__all__ = ["compute_digest"]

DIGEST_MODULUS: Final = 1 << 64
CACHED_HASHES: Final = 16_384

StateObject = Service | Preset | Agent | Balancer | ClaimShard | Controller | Evacuation


@lru_cache(CACHED_HASHES)
def hash_object(item: StateObject) -> int:
    """Return the 64-bit hash of an object and the name of its class."""
    content = encode(item).SerializeToString(deterministic=True)
    return xxhash.xxh3_64_intdigest(type(item).__name__.encode() + b"\0" + content)


def hash_header(state: ClusterState) -> int:
    """Return the hash of the generation and the selection of the active preset."""
    header = (state.generation, state.active_preset, state.active_preset_version)
    return xxhash.xxh3_64_intdigest(repr(header).encode())


def list_objects(state: ClusterState) -> Iterator[StateObject]:
    """Return every object of the state, in no particular order."""
    return chain(
        state.services.values(),
        state.presets.values(),
        state.agents.values(),
        state.balancers.values(),
        state.claim_shards.values(),
        state.controllers.values(),
        state.evacuations.values(),
    )


def compute_digest(state: ClusterState) -> int:
    """Return the 64-bit digest of a state and its generation."""
    return (hash_header(state) + sum(map(hash_object, list_objects(state)))) % (
        DIGEST_MODULUS
    )
