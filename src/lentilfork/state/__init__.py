"""The replicated state and how a change produces its next generation."""

from lentilfork.state.changes import apply_change
from lentilfork.state.changes import describe_change
from lentilfork.state.changes import get_subject
from lentilfork.state.changes import get_version
from lentilfork.state.deltas import apply_delta
from lentilfork.state.deltas import make_delta
from lentilfork.state.digests import compute_digest
from lentilfork.state.replicated import ReplicatedState
from lentilfork.state.snapshots import decode_replicated
from lentilfork.state.snapshots import decode_snapshot
from lentilfork.state.snapshots import encode_replicated
from lentilfork.state.snapshots import encode_snapshot

__all__ = [
    "ReplicatedState",
    "apply_change",
    "apply_delta",
    "compute_digest",
    "decode_replicated",
    "decode_snapshot",
    "describe_change",
    "encode_replicated",
    "encode_snapshot",
    "get_subject",
    "get_version",
    "make_delta",
]
