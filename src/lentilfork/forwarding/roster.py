"""Roster: the live agents as one process knows them, and the owners of flows.

The roster is soft state that agents refresh by announcements. Every process derives
owners from its own roster by rendezvous hashing, so ownership needs no messages.
Agents in the data centre of the balancer rank first: all balancers there derive the
same owner, and packets stay in the data centre. Agents that are lost, about to stop or
whose backend server does not accept flows own nothing while there are others.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import Final

import xxhash

from lentilfork.addresses import parse_address
from lentilfork.buckets import find_bucket
from lentilfork.forwarding.packets import hash_name
from lentilfork.schema import roster_pb2

__all__ = ["AgentRecord", "Roster", "decode_agent", "encode_agent"]

SocketName = tuple[str, int]
CACHED_SCORES = 1 << 18
# Longer than any name of a host, so that a page of records fits into one datagram.
MAXIMUM_NAME_LENGTH: Final = 255


@dataclass(frozen=True, slots=True)
class AgentRecord:
    """Record that an agent announces about itself."""

    name: str
    # Epoch of one start of the process, drawn at each start; a later one is larger.
    incarnation: int
    # Grows with each change of the other fields within one incarnation.
    sequence: int
    address: SocketName
    service: str
    data_centre: str
    slots: int
    # Whether the backend server accepts new flows.
    accepting: bool
    # Whether the process is about to stop.
    leaving: bool
    # Whether the agent has missed its announcements to the controller.
    lost: bool = False
    # Whether the backend server drains or has stopped; None until it has announced
    # itself to this incarnation of the agent.
    server_leaving: bool | None = None
    # Whether it subscribes to the load reports that it needs.
    subscribes: bool = False

    @property
    def version(self) -> tuple[int, int]:
        """Version of the record; the newer record of an agent has the larger one."""
        return self.incarnation, self.sequence

    @property
    def is_available(self) -> bool:
        """Whether new flows may be placed on this agent."""
        return self.accepting and not self.leaving and not self.lost


def decode_agent(message: roster_pb2.FlowAgent) -> AgentRecord:
    """Return the record of a message; raises ValueError for a bad address or name."""
    names = (message.name, message.service, message.data_centre)
    if max(map(len, names)) > MAXIMUM_NAME_LENGTH:
        raise ValueError(f"a name has more than {MAXIMUM_NAME_LENGTH} characters")
    return AgentRecord(
        message.name,
        message.incarnation,
        message.sequence,
        parse_address(message.address),
        message.service,
        message.data_centre,
        max(message.slots, 1),
        message.accepting,
        message.leaving,
        message.lost,
        message.server_leaving if message.HasField("server_leaving") else None,
        message.subscribes,
    )


def encode_agent(record: AgentRecord) -> roster_pb2.FlowAgent:
    """Return the message of a record."""
    return roster_pb2.FlowAgent(
        name=record.name,
        incarnation=record.incarnation,
        sequence=record.sequence,
        address=f"{record.address[0]}:{record.address[1]}",
        service=record.service,
        data_centre=record.data_centre,
        slots=record.slots,
        accepting=record.accepting,
        leaving=record.leaving,
        lost=record.lost,
        server_leaving=record.server_leaving,
        subscribes=record.subscribes,
    )


@lru_cache(CACHED_SCORES)
def score_agent(name: str, bucket: int) -> int:
    """Return the rendezvous score of an agent for a bucket."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=bucket)


class Roster:
    """The agents that a process knows, with a cache of their ranks."""

    agents: dict[str, AgentRecord]
    # Agents of each service by its identifier, sorted by name.
    services: dict[int, list[AgentRecord]]
    # Names of the agents' data centres by identifier.
    data_centres: dict[int, str]
    # Ranked agents by service, data centre and bucket; cleared when the roster changes.
    ranked: dict[tuple[int, int, int], list[AgentRecord]]
    # Functions called after each change.
    listeners: list[Callable[[], None]]

    def __init__(self) -> None:
        self.agents = {}
        self.services = {}
        self.data_centres = {}
        self.ranked = {}
        self.listeners = []

    def replace(self, records: Iterable[AgentRecord]) -> None:
        """Replace all agents by the given ones and call the listeners."""
        self.agents = {record.name: record for record in records}
        self.ranked.clear()
        names = {record.data_centre for record in self.agents.values()}
        self.data_centres = {hash_name(name): name for name in names}
        self.services = {}
        for record in sorted(self.agents.values(), key=lambda item: item.name):
            self.services.setdefault(hash_name(record.service), []).append(record)
        for listener in self.listeners:
            listener()

    def list_agents(self, service: int) -> list[AgentRecord]:
        """Return the agents of a service, sorted by name."""
        return self.services.get(service, [])

    def find_data_centre(self, ingress: int) -> str:
        """Return the name of a data centre, "unknown" without agents there."""
        return self.data_centres.get(ingress, "unknown")

    def rank_owners(self, service: int, ingress: int, key: bytes) -> list[AgentRecord]:
        """Return the agents of a service in the order in which they would own a flow.

        The first one is the owner; the next ones replace it when it becomes
        unavailable.
        """
        bucket = find_bucket(key)
        ranked = self.ranked.get((service, ingress, bucket))
        if ranked is None:
            ranked = sorted(
                self.list_agents(service),
                key=lambda agent: (
                    agent.lost or agent.leaving,
                    not agent.accepting,
                    hash_name(agent.data_centre) != ingress,
                    -score_agent(agent.name, bucket),
                ),
            )
            self.ranked[service, ingress, bucket] = ranked
        return ranked
