"""Lookup from a packet's flow to its service and the owner of its bucket.

A table belongs to one generation. It is filled on demand: the owner of a bucket
is worked out when its first packet comes, and kept across generations for
services whose agents did not change.
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
    """A service with its agents and the bucket owners known so far."""

    service: Service
    agents: tuple[Agent, ...]
    owners: dict[int, Agent] = field(default_factory=dict)

    def find_owner(self, bucket: int) -> Agent | None:
        """Return the agent that owns a bucket; None if the service has none."""
        owner = self.owners.get(bucket)
        if owner is None and self.agents:
            owner = rank_agents(self.agents, bucket)[0]
            self.owners[bucket] = owner
        return owner


class RoutingTable:
    """Services by address, with the owners of their buckets."""

    generation: int
    # Routes by the service's 4 address bytes and port.
    by_address: dict[tuple[bytes, int], ServiceRoute]
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
        """Add a service; keeps known owners if its agents are unchanged."""
        route = ServiceRoute(service, agents)
        previous_route = previous.by_id.get(service.id) if previous else None
        if previous_route is not None and previous_route.agents == agents:
            route.owners = previous_route.owners
        self.by_address[socket.inet_aton(service.address), service.port] = route
        self.by_id[service.id] = route
