"""Snapshots of the applied state, which the leader sends to peers that lag."""

from lentilfork.agreement.core import Core
from lentilfork.agreement.peers import Peer
from lentilfork.schema import agreement_pb2
from lentilfork.state import encode_replicated

__all__ = ["Snapshots"]


class Snapshots:
    """Makes the snapshots of one leader."""

    core: Core
    # None before the first one.
    latest: agreement_pb2.StoredSnapshot | None

    def __init__(self, core: Core) -> None:
        self.core = core
        self.latest = None

    def is_needed(self, peer: Peer) -> bool:
        """Return whether a peer lacks compacted entries or more than the state has.

        Later changes supersede earlier ones, so the state may be much smaller than the
        entries that a peer on a slow link lacks.
        """
        core = self.core
        if peer.next_index <= core.log.base_index:
            return True
        limit = max(peer.batch_bytes, len(self.latest.data) if self.latest else 0)
        return core.applied_index >= peer.next_index and core.log.exceeds(
            peer.next_index, limit
        )

    def make(self) -> agreement_pb2.StoredSnapshot:
        """Return a snapshot of the applied state."""
        core = self.core
        if self.latest is None or self.latest.last_index != core.applied_index:
            self.latest = agreement_pb2.StoredSnapshot(
                last_index=core.applied_index,
                last_term=core.log.get_term(core.applied_index) or 0,
                data=encode_replicated(core.state).SerializeToString(),
            )
        return self.latest
