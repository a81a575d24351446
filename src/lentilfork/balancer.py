"""The balancer: forwards every packet of the fabric to the owner of its bucket.

A balancer keeps no state about flows. It finds the service by its address and the owner
by the hash of the flow, and sends the packet to the owner in an envelope (tunnel header
between processes). It reads nothing above the UDP header.
"""

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Final

from result import Err
from result import Result

from lentilfork.adapters.datagrams import DatagramSocket
from lentilfork.adapters.packets import parse_packet
from lentilfork.errors import DropReason
from lentilfork.errors import Failure
from lentilfork.member import Member
from lentilfork.routing import RoutingTable
from lentilfork.routing import find_bucket
from lentilfork.schema import control_pb2
from lentilfork.schema import packets_pb2
from lentilfork.schema import state_pb2
from lentilfork.settings import split_address
from lentilfork.state.model import ClusterState

if TYPE_CHECKING:
    from lentilfork.settings import BalancerSettings

__all__ = ["BalancerRole"]

# A balancer that leaves forwards packets until none has arrived for this long.
IDLE_TIME_S: Final = 1.0
# Longest drain if packets keep arriving.
MAXIMUM_DRAIN_S: Final = 30.0
# Interval at which a draining balancer checks whether packets still arrive.
POLL_INTERVAL_S: Final = 0.1


class BalancerRole:
    """The balancer process of an entry host."""

    settings: "BalancerSettings"
    member: Member
    packets: DatagramSocket
    table: RoutingTable
    # Parsed socket addresses of agents by "ip:port", so that each is parsed once.
    agent_addresses: dict[str, tuple[str, int]]
    # Monotonic time at which the last packet arrived.
    last_packet_at: float
    leaving: bool

    def __init__(self, settings: "BalancerSettings") -> None:
        self.settings = settings
        self.member = Member(settings, self.make_heartbeat, self.dump)
        self.counters = self.member.counters
        self.packets = DatagramSocket(self.handle_datagram)
        self.table = RoutingTable(ClusterState())
        self.agent_addresses = {}
        self.last_packet_at = 0.0
        self.leaving = False
        self.member.membership.subscribe(self.apply_state)

    @property
    def generation(self) -> int:
        """Generation of the agreed state that is applied here."""
        return self.member.membership.state.generation

    async def start(self) -> Result[None, Failure]:
        """Bind the sockets and start to follow the controllers."""
        opened = await self.packets.open(self.settings.packet_address)
        if isinstance(opened, Err):
            return opened
        started = await self.member.start(lambda _server: None)
        if isinstance(started, Err):
            self.packets.close()
        return started

    def make_heartbeat(self) -> control_pb2.Heartbeat:
        """Return the heartbeat of this balancer."""
        balancer = state_pb2.Balancer(
            name=self.settings.name,
            incarnation=self.member.incarnation,
            data_centre=self.settings.data_centre,
            control_address=self.settings.control_address,
        )
        return control_pb2.Heartbeat(balancer=balancer, leaving=self.leaving)

    def apply_state(self, _old: ClusterState, new: ClusterState) -> None:
        """Apply a new generation of the replicated state."""
        self.table = RoutingTable(new, self.table)
        self.agent_addresses = {
            agent.packet_address: split_address(agent.packet_address)
            for agent in new.agents.values()
        }

    def handle_datagram(self, data: bytes, _sender: tuple[str, int]) -> None:
        """Forward one packet of the fabric to the owner of its bucket."""
        self.last_packet_at = time.monotonic()
        packet = parse_packet(data)
        if isinstance(packet, DropReason):
            self.counters.add("dropped", packet)
            return
        pair = packet.pair
        route = self.table.by_address.get((pair.service_address, pair.service_port))
        if route is None:
            self.counters.add("dropped", DropReason.UNKNOWN_SERVICE)
            return
        owner = route.find_owner(find_bucket(pair.flow_key()))
        if owner is None:
            self.counters.add("dropped", DropReason.NO_AGENT)
            return
        envelope = packets_pb2.Envelope(
            service_id=route.service.id,
            generation=self.table.generation,
            packet=data,
        )
        self.counters.add("forwarded")
        self.packets.send(
            envelope.SerializeToString(), self.agent_addresses[owner.packet_address]
        )

    async def drain(self) -> None:
        """Keep forwarding until no more packets arrive, then leave."""
        self.leaving = True
        self.member.membership.request_heartbeat()
        started_at = time.monotonic()
        while time.monotonic() - max(self.last_packet_at, started_at) < IDLE_TIME_S:
            if time.monotonic() - started_at > MAXIMUM_DRAIN_S:
                break
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.member.membership.leave()

    async def stop(self) -> None:
        """Close the socket and end all tasks."""
        self.packets.close()
        await self.member.stop()

    def dump(self) -> dict[str, object]:
        """Return the state of the process as JSON values."""
        return {
            **self.member.dump(),
            "services": sorted(
                route.service.name for route in self.table.by_id.values()
            ),
            "socket_errors": self.packets.errors,
        }
