"""Balancer of forwarded flows: forwards each packet of a caller to the flow's owner.

A balancer keeps no state of flows, so any balancer can handle any packet. The nth
retransmission of a SYN goes to the nth next owner in rank, since the first owner may be
down. Only a balancer that does not know the routes or the agents yet buffers SYNs
until it does.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from lentilfork.counters import Counters
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import PacketCodec
from lentilfork.forwarding.packets import PacketFlags
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.routes import FormerServices
from lentilfork.forwarding.routes import Route
from lentilfork.forwarding.routes import RouteIndex

__all__ = ["FlowBalancer"]

SocketName = tuple[str, int]
# Packets without a route are reset only if the table was confirmed to be the newest
# within this time.
FRESH_TABLE_S: Final = 1.0
# Agents that started together with this process have announced themselves this long
# after the first roster. Until then a SYN is buffered instead of being refused.
ROSTER_SETTLE_S: Final = 2.0
# A caller gives up 1.4 s after its first SYN.
BUFFER_TIMEOUT_S: Final = 1.3
# SYNs that arrive at one balancer within a second of heavy load.
MAXIMUM_BUFFERED_SYNS: Final = 1024


class FlowBalancer:
    """Forwards callers' packets to the owners of their flows."""

    codec: PacketCodec
    roster: Roster
    routes: RouteIndex
    former_services: FormerServices
    # Time at which `routes` was last confirmed to be the newest version.
    confirmed_at: float
    # Time at which the first whole roster was applied; infinite before.
    synced_at: float
    ingress: int
    # SYNs by flow key, with the time at which the first one arrived; oldest first.
    buffered: OrderedDict[bytes, tuple[bytes, float]]
    counters: Counters
    decisions: DecisionLog
    # Send a datagram to an agent, and a packet to the caller with an IPv4 address.
    send: Callable[[bytes, SocketName], None]
    send_to_caller: Callable[[bytes, int], None]

    def __init__(
        self,
        codec: PacketCodec,
        roster: Roster,
        data_centre: str,
        counters: Counters,
        decisions: DecisionLog,
    ) -> None:
        self.codec = codec
        self.roster = roster
        self.routes = RouteIndex()
        self.former_services = FormerServices()
        self.confirmed_at = float("-inf")
        self.synced_at = float("inf")
        self.ingress = hash_name(data_centre)
        self.buffered = OrderedDict()
        self.counters = counters
        self.decisions = decisions

    def apply_routes(self, routes: RouteIndex, now: float) -> None:
        """Apply a newer route table."""
        self.former_services.record(self.routes, routes, now)
        self.routes = routes

    def handle_packet(self, data: bytes, now: float) -> None:
        """Handle a packet of a caller: forward, buffer, reset or drop it."""
        packet = self.codec.parse(data)
        if packet is None:
            self.counters.add("packets_dropped", "malformed")
            return
        route = self.routes.routes.get((packet.destination, packet.destination_port))
        if route is None:
            self.refuse_unrouted(packet, now)
            return
        self.forward(packet, route, now)

    def refuse_unrouted(self, packet: FlowPacket, now: float) -> None:
        """Reset a flow without a route if the table is confirmed to be the newest.

        Before the first table arrives, the packet is buffered.
        """
        if self.routes.version == 0:
            self.buffer_syn(packet, now)
            return
        fresh = now - self.confirmed_at <= FRESH_TABLE_S
        if not fresh or packet.flags & PacketFlags.RST:
            self.counters.add("packets_dropped", "no_route")
            return
        self.counters.add("flows_reset", "no_route")
        key = make_caller_key(packet)
        self.decisions.write("reset", key, "no route", version=self.routes.version)
        self.send_to_caller(self.codec.make_reset(packet), packet.source)

    def forward(self, packet: FlowPacket, route: Route, now: float) -> None:
        """Send a packet to the owner of its flow."""
        key = make_caller_key(packet)
        service = hash_name(route.choose_service(key))
        owners = self.roster.rank_owners(service, self.ingress, key)
        if not owners and not packet.is_opening:
            service, owners = self.find_other_owners(packet, key, now)
        if not owners:
            self.refuse_without_agent(packet, now)
            return
        rank = packet.acknowledgement if packet.is_opening else 0
        owner = owners[rank % len(owners)]
        envelope = Envelope(
            Kind.ROUTE,
            0,
            service,
            self.ingress,
            route.deadline_ms,
            route.target_ms,
            route.priority,
            packet.data,
        )
        self.counters.add("packets_forwarded")
        self.send(encode_envelope(envelope), owner.address)

    def find_other_owners(
        self, packet: FlowPacket, key: bytes, now: float
    ) -> tuple[int, list[AgentRecord]]:
        """Return another service of an open flow's route that has agents, and these.

        The service that the table names for the flow has none yet.
        """
        address = packet.destination, packet.destination_port
        services = self.former_services.list_all_services(
            address, self.routes, self.roster.services, now
        )
        for service in services:
            owners = self.roster.rank_owners(service, self.ingress, key)
            if owners:
                return service, owners
        return 0, []

    def refuse_without_agent(self, packet: FlowPacket, now: float) -> None:
        """Reset a new flow of a service without agents.

        The packet is buffered instead while agents may still be announcing themselves.
        """
        if now - self.synced_at < ROSTER_SETTLE_S or self.synced_at == float("inf"):
            self.buffer_syn(packet, now)
            return
        self.counters.add("packets_dropped", "no_agent")
        if packet.is_opening and packet.acknowledgement == 0:
            self.counters.add("flows_reset", "no_agent")
            key = make_caller_key(packet)
            self.decisions.write("reset", key, "no agent", route=self.routes.version)
            self.send_to_caller(self.codec.make_reset(packet), packet.source)

    def buffer_syn(self, packet: FlowPacket, now: float) -> None:
        """Buffer a SYN until routes and agents are known; drop any other packet."""
        if not packet.is_opening:
            self.counters.add("packets_dropped", "not_synced")
            return
        self.buffered.setdefault(make_caller_key(packet), (packet.data, now))
        if len(self.buffered) > MAXIMUM_BUFFERED_SYNS:
            self.buffered.popitem(last=False)
            self.counters.add("packets_dropped", "held_too_many")

    def forward_buffered(self, now: float) -> None:
        """Forward buffered SYNs; those that still lack an agent are buffered again."""
        buffered, self.buffered = self.buffered, OrderedDict()
        for key, (data, arrived_at) in buffered.items():
            if now - arrived_at > BUFFER_TIMEOUT_S:
                self.counters.add("packets_dropped", "held_too_long")
            else:
                self.counters.add("packets_held")
                self.handle_packet(data, now)
                if key in self.buffered:
                    self.buffered[key] = data, arrived_at
