"""Names, addresses and settings of a deployment's processes; starts nothing.

Every host gets its own address from one block, so no two processes share a port.
`Wiring` defines the address at which one process reaches another; a test that puts
a proxy between two processes overrides it.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from typing import Final

from lentilfork.bench.addresses import AddressBlock
from lentilfork.bench.backend_server import BackendServerConfig
from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.description import ServiceDescription
from lentilfork.settings import split_address

__all__ = ["Endpoint", "Host", "Plan", "Wiring"]

CONTROL_PORT: Final = 7_000
PACKET_PORT: Final = 6_081
BACKEND_PORT: Final = 5_000


@dataclass(frozen=True, slots=True)
class Host:
    """A host and the controller, balancer or agent that runs on it."""

    name: str
    place: str
    control_address: str
    # Empty for controllers.
    packet_address: str = ""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An agent and its backend server."""

    agent: Host
    service: str
    # Configuration of the backend server; `config.name` is its process name.
    config: BackendServerConfig


class Wiring:
    """Addresses at which processes reach each other; here without proxies."""

    def get_controller(self, member: str, controller: Host) -> str:
        """Return the address at which `member` reaches a controller."""
        return controller.control_address

    def get_balancer(self, balancer: Host) -> str:
        """Return the address at which the fabric reaches a balancer."""
        return balancer.packet_address

    def get_return_address(self, agent: str, return_address: str) -> str:
        """Return the address to which an agent sends answers."""
        return return_address

    def get_server(self, agent: str, server_address: str) -> str:
        """Return the address at which an agent reaches its backend server."""
        return server_address

    def get_announced_host(self, agent: Host) -> Host:
        """Return an agent's host with the addresses at which others reach it."""
        return agent


class Plan:
    """Hosts, addresses and settings of all processes of one deployment."""

    description: DeploymentDescription
    # Folder of data folders and journals.
    folder: Path
    wiring: Wiring
    addresses: AddressBlock
    # Hosts by process name.
    controllers: dict[str, Host]
    balancers: dict[str, Host]
    # Endpoints by the agent's process name.
    endpoints: dict[str, Endpoint]
    # "ip:port" that callers send to, by service name.
    services: dict[str, str]
    # Address that agents send answers to.
    return_address: str
    # Number of the next process of each kind (the first part of its name).
    process_numbers: dict[str, Iterator[int]]
    # Place of the next process of each kind, in rotation.
    places: dict[str, Iterator[str]]

    def __init__(
        self, description: DeploymentDescription, folder: Path, wiring: Wiring
    ) -> None:
        self.description = description
        self.folder = folder
        self.wiring = wiring
        self.addresses = AddressBlock()
        self.services = {
            service.definition.name: self.addresses.allocate_address(
                service.definition.port
            )
            for service in description.services
        }
        self.return_address = self.addresses.allocate_address(PACKET_PORT)
        self.controllers = {}
        self.balancers = {}
        self.endpoints = {}
        kinds = ("control", "entry", *self.services)
        self.process_numbers = {kind: itertools.count(1) for kind in kinds}
        self.places = {kind: itertools.cycle(description.places) for kind in kinds}

    def get_service(self, name: str) -> ServiceDescription:
        """Return a service of the description by name; raises KeyError."""
        by_name = {
            service.definition.name: service for service in self.description.services
        }
        return by_name[name]

    def list_hosts(self) -> dict[str, Host]:
        """Return all hosts of the system by process name."""
        agents = {name: endpoint.agent for name, endpoint in self.endpoints.items()}
        return {**self.controllers, **self.balancers, **agents}

    def allocate_host(self, kind: str, place: str | None = None) -> Host:
        """Return a new host for a process; its place rotates unless one is given."""
        number = next(self.process_numbers[kind])
        next_place = next(self.places[kind])
        ip = self.addresses.allocate_host()
        control, packets = f"{ip}:{CONTROL_PORT}", f"{ip}:{PACKET_PORT}"
        return Host(f"{kind}-{number}", place or next_place, control, packets)

    def add_controller(self, place: str | None = None) -> Host:
        """Plan one more controller."""
        host = self.allocate_host("control", place)
        self.controllers[host.name] = host
        return host

    def add_balancer(self, place: str | None = None) -> Host:
        """Plan one more balancer."""
        host = self.allocate_host("entry", place)
        self.balancers[host.name] = host
        return host

    def add_endpoint(self, service: str, place: str | None = None) -> Endpoint:
        """Plan one more endpoint of a service, with the next configured speed."""
        description = self.get_service(service)
        agent = self.allocate_host(service, place)
        number = int(agent.name.rpartition("-")[2])
        speed = description.speeds[(number - 1) % len(description.speeds)]
        config = self.make_server_config(agent, description, speed)
        endpoint = Endpoint(agent, service, config)
        self.endpoints[agent.name] = endpoint
        return endpoint

    def make_server_config(
        self, agent: Host, service: ServiceDescription, speed: float
    ) -> BackendServerConfig:
        """Return the configuration of an agent's backend server."""
        ip, _ = split_address(agent.control_address)
        name = f"server-{agent.name}"
        return BackendServerConfig.model_validate(
            {
                "name": name,
                "address": f"{ip}:{BACKEND_PORT}",
                "journal": self.folder / f"{name}.journal",
                "slots": service.slots,
                "queue": service.queue,
                "service_time_ms": service.service_time_ms,
                "long_service_time_ms": service.long_service_time_ms,
                "distribution": service.distribution,
                "cold_start_s": service.cold_start_s,
                "long_content_bytes": service.long_content_bytes,
                "seed": self.description.seed,
                "behaviour": {"speed": speed},
            }
        )

    def make_common_settings(self, role: str, host: Host) -> dict[str, Any]:
        """Return the settings that all roles have in common."""
        return {
            "role": role,
            "name": host.name,
            "data_centre": host.place,
            "control_address": host.control_address,
        }

    def make_controller_settings(self, host: Host) -> dict[str, Any]:
        """Return the settings of a controller, with the controllers planned so far."""
        return {
            **self.make_common_settings("controller", host),
            "data_folder": str(self.folder / f"{host.name}-data"),
            "controllers": [
                {"name": peer.name, "address": peer.control_address}
                for peer in self.controllers.values()
            ],
        }

    def make_member_settings(self, role: str, host: Host) -> dict[str, Any]:
        """Return the settings that balancers and agents have in common."""
        return {
            **self.make_common_settings(role, host),
            "packet_address": host.packet_address,
            "controllers": [
                self.wiring.get_controller(host.name, controller)
                for controller in self.controllers.values()
            ],
        }

    def make_balancer_settings(self, host: Host) -> dict[str, Any]:
        """Return the settings of a balancer."""
        return self.make_member_settings("balancer", host)

    def make_agent_settings(self, endpoint: Endpoint) -> dict[str, Any]:
        """Return the settings of an agent."""
        name = endpoint.agent.name
        announced = self.wiring.get_announced_host(endpoint.agent)
        return {
            **self.make_member_settings("agent", endpoint.agent),
            "announced_packet_address": announced.packet_address,
            "announced_control_address": announced.control_address,
            "return_address": self.wiring.get_return_address(name, self.return_address),
            "service": endpoint.service,
            "backend_server": self.wiring.get_server(name, endpoint.config.address),
            "slots": endpoint.config.slots,
        }
