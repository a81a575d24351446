"""Search of the agent that holds a flow, from agent to agent of a service.

A packet of an unknown flow visits the agents in order of their names, and for the next
search in reverse order. Envelopes between agents and the tags of packets at a backend
server carry the number of agents that were asked, the direction and the data centre of
the balancer, from which the agent that holds the flow derives its owner.
"""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace
from typing import Final
from typing import TypeVar

from lentilfork.counters import Counters
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster

__all__ = ["MAXIMUM_SEARCH_HOPS", "FlowSearch", "decode_tag", "encode_tag"]

T = TypeVar("T")
SocketName = tuple[str, int]
# Agents that a packet of an unknown flow is forwarded to: as many as an envelope and a
# tag can count. The agent that holds the flow notifies a new owner by itself, so in a
# larger service the flow is found by a retransmission of the packet.
MAXIMUM_SEARCH_HOPS: Final = 250
# A tag is the number of hops, this bit if the flow is searched in reverse order, and
# the lower bits of the identifier of the balancer's data centre.
SEARCH_BACK_TAG: Final = 1 << 8
HOPS_MASK: Final = SEARCH_BACK_TAG - 1
INGRESS_SHIFT: Final = 9
INGRESS_MASK: Final = (1 << 23) - 1
# Searches whose direction is known: flows that a restarted owner looks for at a time.
MAXIMUM_SEARCHES: Final = 4096


def encode_tag(envelope: Envelope) -> int:
    """Return the tag that keeps the state of a search at a backend server."""
    back = SEARCH_BACK_TAG if envelope.kind is Kind.SEARCH_BACK else 0
    ingress = envelope.ingress & INGRESS_MASK
    return envelope.hops | back | ingress << INGRESS_SHIFT


def decode_tag(tag: int, data_centres: Iterable[int]) -> tuple[Kind, int, int]:
    """Return the kind of envelope, the number of hops and the data centre of a tag.

    The data centre is one of the identifiers `data_centres`, 0 if none matches.
    """
    back = bool(tag & SEARCH_BACK_TAG)
    kind = Kind.SEARCH_BACK if back else Kind.DELIVER
    lower_bits = tag >> INGRESS_SHIFT
    ingress = next(
        (item for item in data_centres if item & INGRESS_MASK == lower_bits), 0
    )
    return kind, tag & HOPS_MASK, ingress


def store_bounded(entries: OrderedDict[bytes, T], key: bytes, value: T) -> None:
    """Store what is known of a search, and drop the oldest entry above the bound."""
    entries[key] = value
    if len(entries) > MAXIMUM_SEARCHES:
        entries.popitem(last=False)


class FlowSearch:
    """Forwards packets of flows that one agent does not hold."""

    name: str
    # Identifier of the agent's service, see `hash_name`.
    service: int
    roster: Roster
    counters: Counters
    decisions: DecisionLog
    send: Callable[[bytes, SocketName], None]
    # Whether the last search for a flow that began here was in reverse order.
    directions: OrderedDict[bytes, bool]
    # Unknown flows whose last packet went to the server on this host, which hasn't
    # rejected it or answered yet.
    delivered: OrderedDict[bytes, None]
    # Data centres of the balancers of unknown flows whose packets went to the server on
    # this host.
    ingresses: OrderedDict[bytes, int]

    def __init__(
        self,
        name: str,
        service: int,
        roster: Roster,
        counters: Counters,
        decisions: DecisionLog,
        send: Callable[[bytes, SocketName], None],
    ) -> None:
        self.name = name
        self.service = service
        self.roster = roster
        self.counters = counters
        self.decisions = decisions
        self.send = send
        self.directions = OrderedDict()
        self.delivered = OrderedDict()
        self.ingresses = OrderedDict()

    def record_ingress(self, key: bytes, ingress: int) -> None:
        """Record where the packets of an unknown flow enter."""
        store_bounded(self.ingresses, key, ingress)

    def take_ingress(self, key: bytes) -> int:
        """Return where the packets of an unknown flow enter, and forget it; or 0."""
        return self.ingresses.pop(key, 0)

    def is_next_elsewhere(self, key: bytes) -> bool:
        """Return whether the next packet of an unknown flow is for other agents.

        A server that was offered the flow but not chosen by its caller holds it half
        open, and drops its packets without rejecting them. So packets go to the server
        on this host and to the next agent in turn.
        """
        if key in self.delivered:
            del self.delivered[key]
            return True
        store_bounded(self.delivered, key, None)
        return False

    def choose_direction(self, key: bytes) -> Kind:
        """Return the kind of envelope for a search that begins here.

        Each further search for a flow goes the other way, since an agent that has
        stopped and doesn't count as lost yet ends a search.
        """
        backward = not self.directions.pop(key, True)
        store_bounded(self.directions, key, backward)
        return Kind.SEARCH_BACK if backward else Kind.DELIVER

    def ask_other_services(
        self, envelope: Envelope, packet: FlowPacket, services: Iterable[int]
    ) -> Envelope:
        """Send a packet of a flow that is not here to its owners under other services.

        Its route may have, or have had, one of `services`. Only the first agent of a
        search asks them. Returns the envelope for the search in this agent's own
        service.
        """
        local = replace(envelope, service=self.service)
        if envelope.hops > 0 or envelope.repeated:
            return local
        key = make_caller_key(packet)
        for service in {envelope.service, *services} - {self.service}:
            owners = self.roster.rank_owners(service, envelope.ingress, key)
            if not owners:
                continue
            # The envelope's own service has been left because of its owner's directory.
            kind = Kind.DELIVER if service == envelope.service else Kind.ROUTE
            copy = replace(
                envelope, kind=kind, service=service, repeated=True, data=packet.data
            )
            self.counters.add("flows_searched_in_other_service")
            self.send(encode_envelope(copy), owners[0].address)
        return local

    def forward_to_next_agent(self, packet: FlowPacket, envelope: Envelope) -> None:
        """Forward a packet of a flow that is not here to the next agent of the service.

        The packet is dropped once every agent that is not lost has been asked, or
        `MAXIMUM_SEARCH_HOPS` of them. Agents that leave are asked with copies which
        they don't forward: one that has stopped would end the search.
        """
        if envelope.hops >= MAXIMUM_SEARCH_HOPS:
            self.counters.add("packets_dropped", "not_at_leaving_agent")
            return
        key = make_caller_key(packet)
        kind = envelope.kind if envelope.hops else self.choose_direction(key)
        following = self.list_following(kind)
        limit = min(len(following) + 1, MAXIMUM_SEARCH_HOPS)
        for hops, agent in enumerate(following, start=1):
            if envelope.hops + hops >= limit:
                break
            last = MAXIMUM_SEARCH_HOPS if agent.leaving else envelope.hops + hops
            self.counters.add("packets_passed_on")
            forwarded = replace(envelope, kind=kind, hops=last, data=packet.data)
            self.send(encode_envelope(forwarded), agent.address)
            if not agent.leaving:
                return
        self.counters.add("packets_dropped", "flow_not_found")
        self.decisions.write(
            "dropped", key, "no agent holds the flow", hops=envelope.hops + 1
        )

    def list_following(self, kind: Kind) -> list[AgentRecord]:
        """Return the other agents that are not lost, in the order of a search."""
        agents = [
            agent
            for agent in self.roster.list_agents(self.service)
            if not agent.lost or agent.name == self.name
        ]
        position = next(
            (index for index, agent in enumerate(agents) if agent.name == self.name), 0
        )
        following = agents[position + 1 :] + agents[:position]
        return following[::-1] if kind is Kind.SEARCH_BACK else following
