"""Which kinds of changes all voters know, so that their states stay equal.

A controller of an older build stores a change of a kind that it does not know as
refused, and its state then differs from that of the others. Each controller therefore
states in its replies to the leader the newest kinds that it knows, and a leader refuses
a change until every voter has stated that it knows its kind.

A leader learns this anew in its term, but a voter may be lost by then. On request a
leader therefore records in the replicated state that all voters have stated a version:
it appends a change without a kind, whose result every build stores as refused.
"""

from typing import TYPE_CHECKING
from typing import Final

from lentilfork.agreement.core import Core
from lentilfork.agreement.voters import list_voters
from lentilfork.schema import state_pb2

if TYPE_CHECKING:
    from lentilfork.agreement.leadership import Leadership

__all__ = [
    "STATE_VERSION",
    "find_needed_version",
    "is_recorded",
    "list_unprepared",
    "make_record",
]

# Newest kinds of changes that this build knows; 1: evacuations.
STATE_VERSION: Final = 1
# Version from which on a controller knows a kind of change; 0 for all other kinds.
NEEDED_VERSIONS: Final = {"put_evacuation": 1}


def find_needed_version(change: state_pb2.Change) -> int:
    """Return the version that every voter must know before a change is appended."""
    return NEEDED_VERSIONS.get(change.WhichOneof("kind") or "", 0)


def make_record(version: int) -> state_pb2.Change:
    """Return the change that records that all voters know a version."""
    return state_pb2.Change(change_id=f"state-version-{version}")


def is_recorded(core: Core, version: int) -> bool:
    """Return whether the state shows that all voters have stated a version.

    The first evacuation shows it, too, and is never removed.
    """
    state = core.state
    return (
        version == 0
        or bool(state.cluster.evacuations)
        or state.find_result(make_record(version).change_id) is not None
    )


def list_unprepared(
    core: Core, leadership: "Leadership", version: int, *, recorded: bool
) -> list[str]:
    """Return the voters that may not know a version.

    A voter that has not replied in this term counts as one unless the state shows that
    all voters have stated the version.
    """
    names = (item.name for item in list_voters(core.configuration))
    peers = (leadership.peers[name] for name in names if name in leadership.peers)
    return [
        peer.controller.name
        for peer in peers
        if peer.state_version < version and not (recorded and peer.disk_id == 0)
    ]
