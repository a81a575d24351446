"""Voter configurations of the controllers, and the safe changes between them.

A configuration takes effect when its entry is appended, not when it is committed,
and is reverted if the entry is dropped. Any two majorities of configurations that
differ by one voter share a replica, so the leader changes one voter at a time, and
the next one only after the previous change was committed.

A voter is identified by its name and the id of its data folder. A process that
restarts with another folder answers with another id, and its votes and
acknowledgements are ignored until it was readmitted as a learner and promoted.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Final

from lentilfork.schema import agreement_pb2
from lentilfork.schema import state_pb2
from lentilfork.state.codec import decode_controller
from lentilfork.state.model import Controller

__all__ = [
    "Configuration",
    "Configurations",
    "check_transition",
    "encode_configuration",
    "find_majority_index",
    "has_majority",
    "list_voters",
]

NO_PROBLEM: Final = ""

# Controllers by name.
Configuration = dict[str, Controller]


def decode_configuration(message: state_pb2.ControllerSet) -> Configuration:
    """Decode a configuration from its message."""
    return {item.name: decode_controller(item) for item in message.controllers}


def encode_configuration(
    controllers: Iterable[Controller],
) -> state_pb2.ControllerSet:
    """Encode a configuration as a message, sorted by name."""
    return state_pb2.ControllerSet(
        controllers=[
            state_pb2.Controller(
                name=item.name,
                control_address=item.control_address,
                voter=item.voter,
                disk_id=item.disk_id,
            )
            for item in sorted(controllers, key=lambda item: item.name)
        ]
    )


def list_voters(configuration: Configuration) -> list[Controller]:
    """Return the voters, sorted by name."""
    voters = (item for item in configuration.values() if item.voter)
    return sorted(voters, key=lambda item: item.name)


def has_majority(configuration: Configuration, names: Iterable[str]) -> bool:
    """Return whether `names` include more than half of the voters."""
    voters = {item.name for item in list_voters(configuration)}
    return 2 * len(voters & set(names)) > len(voters)


def find_majority_index(
    configuration: Configuration, indexes: Mapping[str, int]
) -> int:
    """Return the highest index that more than half of the voters hold."""
    descending_indexes = sorted(
        (indexes.get(item.name, 0) for item in list_voters(configuration)),
        reverse=True,
    )
    return descending_indexes[len(descending_indexes) // 2] if descending_indexes else 0


def check_transition(
    old: Configuration, new: Configuration, leader: str, ready: Iterable[str]
) -> str:
    """Return why configuration `old` may not be changed to `new`, or "".

    `ready` contains the names of the replicas that synced all committed entries.
    """
    old_voters = {(item.name, item.disk_id) for item in list_voters(old)}
    new_voters = {(item.name, item.disk_id) for item in list_voters(new)}
    if len(old_voters ^ new_voters) > 1:
        return "only one voter may be added or removed at a time"
    if leader not in {name for name, _ in new_voters}:
        return f"{leader} is the leader and must step down before it loses its vote"
    caught_up = set(ready)
    for name, disk_id in new_voters - old_voters:
        known = old.get(name)
        if known is None or known.disk_id != disk_id:
            return f"{name} must be a learner before it becomes a voter"
        if name not in caught_up:
            return f"{name} has not caught up yet"
    return NO_PROBLEM


class Configurations:
    """The configurations in a log with the indexes of their entries."""

    # Pairs of index and configuration, by index; the first is that of the snapshot.
    versions: list[tuple[int, Configuration]]

    def __init__(self, index: int, configuration: Configuration) -> None:
        self.versions = [(index, configuration)]

    @property
    def current(self) -> Configuration:
        """The configuration that is in effect."""
        return self.versions[-1][1]

    @property
    def current_index(self) -> int:
        """Index of the entry of the current configuration."""
        return self.versions[-1][0]

    def add_entries(self, entries: Iterable[agreement_pb2.LogEntry]) -> None:
        """Apply the configurations in entries that were appended to the log.

        Reverts the configurations of the entries that the new ones replaced.
        """
        for entry in entries:
            while len(self.versions) > 1 and self.versions[-1][0] >= entry.index:
                self.versions.pop()
            if entry.change.WhichOneof("kind") != "put_controllers":
                continue
            if entry.index > self.versions[-1][0]:
                configuration = decode_configuration(entry.change.put_controllers)
                self.versions.append((entry.index, configuration))

    def discard_before(self, index: int) -> None:
        """Drop configurations that were superseded at or before a committed index."""
        while len(self.versions) > 1 and self.versions[1][0] <= index:
            del self.versions[0]
