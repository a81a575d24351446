"""Hash buckets of flows. Owners are derived for buckets instead of single flows."""

from typing import Final

import xxhash

__all__ = ["BUCKET_COUNT", "find_bucket"]

BUCKET_COUNT: Final = 256


def find_bucket(flow_key: bytes) -> int:
    """Return the bucket of a flow, 0 to BUCKET_COUNT - 1."""
    return xxhash.xxh3_64_intdigest(flow_key) % BUCKET_COUNT
