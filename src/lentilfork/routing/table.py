"""Routing table: finds the service of a packet and the owner of its hash bucket.

A table belongs to one generation (revision of the replicated state). The owner of a
bucket is computed when its first packet arrives. Owners are reused in the next
generation for services whose agents have not changed.
"""

import socket
from dataclasses import dataclass
from dataclasses import field

from lentilfork.routing.buckets import rank_agents
from lentilfork.state.model import Agent
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Service

__all__ = ["RoutingTable", "ServiceRoute"]


@dataclass(slots=True)
class ServiceRoute:
    """A service with its agents and the bucket owners computed so far."""

    service: Service
    agents: tuple[Agent, ...]
    # Owners by bucket.
    owners: dict[int, Agent] = field(default_factory=dict)

    def find_owner(self, bucket: int) -> Agent | None:
        """Return the agent that owns a bucket; None if the service has none."""
        owner = self.owners.get(bucket)
        if owner is None and self.agents:
            owner = rank_agents(self.agents, bucket)[0]
            self.owners[bucket] = owner
        return owner


class RoutingTable:
    """Routes of all services, by address and by id."""

    generation: int
    # Routes by IPv4 address (4 bytes) and port of the service.
    by_address: dict[tuple[bytes, int], ServiceRoute]
    # Routes by service id.
    by_id: dict[int, ServiceRoute]

    def __init__(
        self, state: ClusterState, previous: "RoutingTable | None" = None
    ) -> None:
        self.generation = state.generation
        self.by_address = {}
        self.by_id = {}
        agents: dict[str, list[Agent]] = {name: [] for name in state.services}
        for agent in state.agents.values():
            if agent.service in agents:
                agents[agent.service].append(agent)
        for service in state.services.values():
            members = sorted(agents[service.name], key=lambda agent: agent.name)
            self.add_route(service, tuple(members), previous)

    def add_route(
        self,
        service: Service,
        agents: tuple[Agent, ...],
        previous: "RoutingTable | None",
    ) -> None:
        """Add a service; reuses the previous owners if its agents are unchanged."""
        route = ServiceRoute(service, agents)
        previous_route = previous.by_id.get(service.id) if previous else None
        if previous_route is not None and previous_route.agents == agents:
            route.owners = previous_route.owners
        self.by_address[socket.inet_aton(service.address), service.port] = route
        self.by_id[service.id] = route
