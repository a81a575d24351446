"""Cache of the updates that bring members to a controller's newest generation.

Each member receives one delta from its generation to the newest, however many
generations lie between, so a slow member needs no queue. Each delta is built once
and shared by all members. A member whose generation this controller does not keep
receives a snapshot.
"""

from collections import OrderedDict
from typing import Final

from lentilfork.schema import control_pb2
from lentilfork.state.deltas import make_delta
from lentilfork.state.digests import compute_digest
from lentilfork.state.model import ClusterState
from lentilfork.state.snapshots import encode_snapshot

__all__ = ["UpdateCache"]

KEPT_STATES: Final = 1_024
KEPT_UPDATES: Final = 64


class UpdateCache:
    """Recent states by generation, and the updates from them to the newest state."""

    # The newest state.
    state: ClusterState
    # States by generation, oldest first, the newest included.
    states: OrderedDict[int, ClusterState]
    # Updates to the newest state by their base generation; -1 for the snapshot.
    updates: OrderedDict[int, control_pb2.Update]

    def __init__(self, state: ClusterState) -> None:
        self.state = state
        self.states = OrderedDict({state.generation: state})
        self.updates = OrderedDict()

    def add_state(self, state: ClusterState) -> None:
        """Add the newest state; ignore one whose generation is not higher."""
        if state.generation <= self.state.generation:
            return
        self.state = state
        self.states[state.generation] = state
        self.updates.clear()
        while len(self.states) > KEPT_STATES:
            self.states.popitem(last=False)

    def make_update(self, generation: int, want_snapshot: bool) -> control_pb2.Update:
        """Return the update from `generation`, or the snapshot, to the newest state.

        The update has no body if `generation` is the newest or higher and no
        snapshot is wanted.
        """
        if want_snapshot:
            return self.copy_update(-1)
        if generation >= self.state.generation:
            return control_pb2.Update()
        known = generation in self.states and generation > 0
        return self.copy_update(generation if known else -1)

    def copy_update(self, start: int) -> control_pb2.Update:
        """Return a copy of a shared update; the caller may modify the copy."""
        update = self.updates.get(start)
        if update is None:
            update = self.build_update(start)
            self.updates[start] = update
        while len(self.updates) > KEPT_UPDATES:
            self.updates.popitem(last=False)
        copy = control_pb2.Update()
        copy.CopyFrom(update)
        return copy

    def build_update(self, start: int) -> control_pb2.Update:
        """Build the update from a kept generation, or the snapshot if `start` is -1."""
        if start >= 0:
            return control_pb2.Update(delta=make_delta(self.states[start], self.state))
        return control_pb2.Update(
            snapshot=encode_snapshot(self.state), digest=compute_digest(self.state)
        )
