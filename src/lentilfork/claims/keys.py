"""Digests that identify requests, and the claim shard of each request.

The digests use blake2b instead of xxh3, because callers choose the input: two
requests with the same digest would be treated as the same request.
"""

from hashlib import blake2b
from typing import Final

from xxhash import xxh3_64_intdigest

from lentilfork.state.model import ShardName

__all__ = [
    "CLAIM_SHARDS_PER_SERVICE",
    "exchange_key",
    "get_shard_name",
    "request_key",
]

CLAIM_SHARDS_PER_SERVICE: Final = 4
DIGEST_BYTES: Final = 16


def compute_digest(kind: bytes, parts: tuple[bytes, ...]) -> bytes:
    """Return the digest of `parts`, each preceded by its length."""
    digest = blake2b(digest_size=DIGEST_BYTES, person=kind)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()


def exchange_key(caller: str, message_id: int, token: bytes) -> bytes:
    """Return the digest of one exchange, equal for all its retransmissions.

    `caller` is the caller's "ip:port".
    """
    parts = (caller.encode(), message_id.to_bytes(2, "big"), token)
    return compute_digest(b"exchange", parts)


def request_key(
    caller: str, message_id: int, token: bytes, id_query: str | None
) -> bytes:
    """Return the digest under which a request runs at most once.

    A caller that repeats a request with the same `id` query gets the same key.
    Without an `id`, each exchange has its own key.
    """
    if id_query is not None:
        return compute_digest(b"id", (id_query.encode(),))
    return exchange_key(caller, message_id, token)


def get_shard_name(service: str, key: bytes) -> ShardName:
    """Return the claim shard that stores the record of a service's request key."""
    return ShardName(service, xxh3_64_intdigest(key) % CLAIM_SHARDS_PER_SERVICE)
