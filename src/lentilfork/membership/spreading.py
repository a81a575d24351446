"""What a controller sends to members: deltas between generations it has seen.

Each receiver gets one delta from the generation it has to the newest, however many
lie between, so a slow receiver never makes a queue grow. The delta between two
generations is made once for all receivers. A receiver whose generation this
controller no longer keeps, or never had, gets the whole state.
"""

from collections import OrderedDict
from typing import Final

from lentilfork.schema import control_pb2
from lentilfork.state.deltas import make_delta
from lentilfork.state.digests import compute_digest
from lentilfork.state.model import ClusterState
from lentilfork.state.snapshots import encode_snapshot

__all__ = ["Spreading"]

KEPT_STATES: Final = 1_024
KEPT_UPDATES: Final = 64


class Spreading:
    """The states a controller can lead members from, and the updates for it."""

    state: ClusterState
    # States by generation, oldest first, the newest included.
    states: OrderedDict[int, ClusterState]
    # Updates to the newest state by the generation they start from; -1: snapshot.
    updates: OrderedDict[int, control_pb2.Update]

    def __init__(self, state: ClusterState) -> None:
        self.state = state
        self.states = OrderedDict({state.generation: state})
        self.updates = OrderedDict()

    def take(self, state: ClusterState) -> None:
        """Make `state` the newest; a lower generation is ignored."""
        if state.generation <= self.state.generation:
            return
        self.state = state
        self.states[state.generation] = state
        self.updates.clear()
        while len(self.states) > KEPT_STATES:
            self.states.popitem(last=False)

    def make_update(self, generation: int, want_snapshot: bool) -> control_pb2.Update:
        """Return what leads a receiver at `generation` to the newest state.

        The update has no body when the receiver is there already or further.
        """
        if want_snapshot:
            return self.copy_update(-1)
        if generation >= self.state.generation:
            return control_pb2.Update()
        known = generation in self.states and generation > 0
        return self.copy_update(generation if known else -1)

    def copy_update(self, start: int) -> control_pb2.Update:
        """Return a copy of a shared update, which the caller may add to."""
        update = self.updates.get(start)
        if update is None:
            update = self.build_update(start)
            self.updates[start] = update
        while len(self.updates) > KEPT_UPDATES:
            self.updates.popitem(last=False)
        copied = control_pb2.Update()
        copied.CopyFrom(update)
        return copied

    def build_update(self, start: int) -> control_pb2.Update:
        """Return a new update from a kept generation, or the snapshot for -1."""
        if start >= 0:
            return control_pb2.Update(delta=make_delta(self.states[start], self.state))
        return control_pb2.Update(
            snapshot=encode_snapshot(self.state), digest=compute_digest(self.state)
        )
