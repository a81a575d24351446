"""What a balancer does with a caller's packet: find the route, then the owner.

A balancer keeps nothing for a flow, so any balancer can take any packet. Copies of
a SYN go to the next owners in order: the first one may be down. Only a balancer that
does not know the routes or the agents yet keeps SYNs, until it does.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

from lentilfork.buckets import find_bucket
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
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.routes import Route
from lentilfork.forwarding.routes import RouteIndex

__all__ = ["FlowBalancer"]

SocketName = tuple[str, int]
# A table confirmed by a controller within this time tells that a route is absent.
FRESH_TABLE_S: Final = 1.0
# Agents that started with this process have announced themselves by then; until
# then a SYN is held instead of being refused.
ROSTER_SETTLE_S: Final = 2.0
# A caller gives its SYN up 1.4 s after it sent it.
BUFFER_TIMEOUT_S: Final = 1.3
# A second of heavy load at one balancer.
MAXIMUM_BUFFERED_SYNS: Final = 1024


class FlowBalancer:
    """Forwards callers' packets to the owners of their flows."""

    codec: PacketCodec
    roster: Roster
    routes: RouteIndex
    # When a controller last confirmed that `routes` is the newest version.
    confirmed_at: float
    # When a whole roster was first taken; infinite before.
    synced_at: float
    ingress: int
    # SYNs that came too early, with the time of the first copy, oldest first.
    buffered: OrderedDict[bytes, tuple[bytes, float]]
    counters: Counters
    decisions: DecisionLog
    # Sends a datagram to an agent, and a packet to the caller at an address.
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
        self.confirmed_at = float("-inf")
        self.synced_at = float("inf")
        self.ingress = hash_name(data_centre)
        self.buffered = OrderedDict()
        self.counters = counters
        self.decisions = decisions

    def handle_packet(self, data: bytes, now: float) -> None:
        """Forward a packet that came from a caller."""
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
        """Reset a flow without a route, if the table is known to be the newest."""
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
        service = hash_name(route.choose_service(find_bucket(key)))
        owners = self.roster.rank_owners(service, self.ingress, key)
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

    def refuse_without_agent(self, packet: FlowPacket, now: float) -> None:
        """Reset a new flow of a service without agents, unless some may be coming."""
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
        """Keep a SYN until the routes and the agents are known; drop anything else."""
        if not packet.is_opening:
            self.counters.add("packets_dropped", "not_synced")
            return
        self.buffered.setdefault(make_caller_key(packet), (packet.data, now))
        if len(self.buffered) > MAXIMUM_BUFFERED_SYNS:
            self.buffered.popitem(last=False)
            self.counters.add("packets_dropped", "held_too_many")

    def forward_buffered(self, now: float) -> None:
        """Forward what was held; what still lacks an agent is held again."""
        buffered, self.buffered = self.buffered, OrderedDict()
        for key, (data, since) in buffered.items():
            if now - since > BUFFER_TIMEOUT_S:
                self.counters.add("packets_dropped", "held_too_long")
            else:
                self.counters.add("packets_held")
                self.handle_packet(data, now)
                if key in self.buffered:
                    self.buffered[key] = data, since
