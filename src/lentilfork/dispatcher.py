"""Owner's side of an agent: decides which agent serves each packet.

Takes envelopes from balancers and other agents. Packets of buckets owned elsewhere
are sent on; those of own buckets are placed: copies and later blocks go where
their exchange or download is served, new requests to the least loaded agent.

An owner that does not know where a download is served, since its bucket has moved
here, asks all agents of the service by sending them the packet: the one that holds
the download serves it and says so. No hand-over between owners is needed, so a
planned change, a lost owner and processes that lag behind take the same way.
"""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Final

from google.protobuf.message import DecodeError

from lentilfork.borders.callers import Request
from lentilfork.borders.callers import Signal
from lentilfork.borders.callers import encode_reset
from lentilfork.borders.callers import parse_message
from lentilfork.borders.packets import Packet
from lentilfork.borders.packets import build_packet
from lentilfork.borders.packets import parse_packet
from lentilfork.errors import DropReason
from lentilfork.jobs import Job
from lentilfork.routing import DOWNLOAD_LIFETIME_S
from lentilfork.routing import EXCHANGE_LIFETIME_S
from lentilfork.routing import Directory
from lentilfork.routing import LoadBook
from lentilfork.routing import LoadReport
from lentilfork.routing import RoutingTable
from lentilfork.routing import ServiceRoute
from lentilfork.routing import choose_agent
from lentilfork.routing import find_bucket
from lentilfork.schema import packets_pb2
from lentilfork.settings import split_address
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Preset

if TYPE_CHECKING:
    from lentilfork.counters import Counters
    from lentilfork.state.model import Agent

__all__ = ["MAXIMUM_HOPS", "Dispatcher"]

MAXIMUM_HOPS: Final = 6
# Time in which the holder of a download answers before it is placed anew.
ASKING_S: Final = 0.25

SendEnvelope = Callable[[packets_pb2.Envelope, tuple[str, int]], None]


class Dispatcher:
    """Places the packets of the buckets this agent owns."""

    # Name of this agent and of its service.
    own: str
    service: str
    table: RoutingTable
    # Limits in force.
    limits: Preset
    # Names of the agents of the service.
    peers: set[str]
    # Agents that serve exchanges and downloads of own buckets.
    exchanges: Directory
    downloads: Directory
    loads: LoadBook
    chance: random.Random
    # Downloads asked for, by key; their blocks wait until the answer.
    asking: set[bytes]

    def __init__(
        self,
        own: str,
        service: str,
        counters: "Counters",
        send: SendEnvelope,
        answer: Callable[[bytes], None],
        serve: Callable[[Job], None],
        refuse: Callable[[Job], None],
        measure_load: Callable[[], LoadReport],
        holds: Callable[[bytes], bool],
    ) -> None:
        self.own = own
        self.service = service
        self.counters = counters
        self.send = send
        self.answer = answer
        self.serve = serve
        self.refuse = refuse
        self.measure_load = measure_load
        self.holds = holds
        self.table = RoutingTable(ClusterState())
        self.limits = ClusterState().limits
        self.peers = set()
        self.exchanges = Directory(EXCHANGE_LIFETIME_S)
        self.downloads = Directory(DOWNLOAD_LIFETIME_S)
        self.loads = LoadBook()
        self.chance = random.Random()
        self.asking = set()

    def update(self, old: ClusterState, new: ClusterState) -> None:
        """Take a new generation into force."""
        self.table = RoutingTable(new, self.table)
        self.limits = new.limits
        agents = {agent.name: agent for agent in new.list_agents(self.service)}
        self.peers = set(agents)
        self.loads.retain(self.peers)
        gone = [a for a in old.list_agents(self.service) if a.name not in agents]
        for agent in gone:
            self.exchanges.remove_agent(agent.name)
            self.downloads.remove_agent(agent.name)

    def receive(self, data: bytes, _sender: tuple[str, int]) -> None:
        """Take one datagram from a balancer or another agent."""
        try:
            envelope = packets_pb2.Envelope.FromString(data)
        except DecodeError:
            self.drop(DropReason.BAD_ENVELOPE)
            return
        # Only members of the service are believed, so that no sender can fill memory.
        if envelope.load.agent in self.peers:
            self.record_load(envelope.load)
            if envelope.held:
                now = time.monotonic()
                self.downloads.record(envelope.held, envelope.load.agent, now)
        if envelope.packet:
            self.receive_packet(envelope)

    def record_load(self, load: packets_pb2.Load) -> None:
        """Take what another agent tells of its load."""
        for key in load.ended:
            self.loads.record_end(load.agent, key)
        report = LoadReport(
            load.agent,
            load.running,
            load.queued,
            load.service_time_us,
            load.weight_percent,
            load.sequence,
        )
        self.loads.find(load.agent).accept(report, time.monotonic())

    def receive_packet(self, envelope: packets_pb2.Envelope) -> None:
        """Check a packet, then serve it, place it or send it on."""
        packet = parse_packet(envelope.packet)
        if isinstance(packet, DropReason):
            self.drop(packet)
            return
        pair = packet.pair
        route = self.table.by_address.get((pair.service_address, pair.service_port))
        if route is None:
            self.drop(DropReason.UNKNOWN_SERVICE)
        elif route.service.name != self.service:
            self.drop(DropReason.WRONG_SERVICE)
        elif envelope.hops > MAXIMUM_HOPS:
            self.drop(DropReason.HOP_LIMIT)
        else:
            self.route_packet(envelope, packet, route)

    def route_packet(
        self, envelope: packets_pb2.Envelope, packet: Packet, route: ServiceRoute
    ) -> None:
        """Send a packet to its owner, or read and place it here."""
        if not envelope.placed and envelope.hops < MAXIMUM_HOPS:
            owner = route.find_owner(find_bucket(packet.pair.flow_key()))
            if owner is not None and owner.name != self.own:
                self.forward(envelope, owner)
                return
        message = parse_message(packet.payload)
        if isinstance(message, Request):
            job = self.make_job(envelope, packet, route, message)
            self.handle_request(job, route, envelope)
        elif message is Signal.PING:
            reset = encode_reset(packet.payload)
            self.answer(build_packet(packet.pair, reset, to_caller=True))
        elif isinstance(message, DropReason):
            self.drop(message)
        else:
            self.counters.add("signals", message.value)

    def make_job(
        self,
        envelope: packets_pb2.Envelope,
        packet: Packet,
        route: ServiceRoute,
        request: Request,
    ) -> Job:
        """Return the job of a request in an envelope."""
        return Job(
            service=route.service,
            pair=packet.pair,
            request=request,
            packet=envelope.packet,
            received_at=time.monotonic() - envelope.elapsed_ms / 1000,
            hops=envelope.hops,
            tried=tuple(envelope.tried),
            placer=envelope.load.agent if envelope.placed else self.own,
        )

    def handle_request(
        self, job: Job, route: ServiceRoute, envelope: packets_pb2.Envelope
    ) -> None:
        """Serve a request that was placed here, or place it."""
        if envelope.if_held:
            self.serve_held(job, route)
        elif envelope.placed or job.hops >= MAXIMUM_HOPS:
            self.serve_placed(job, route)
        else:
            self.place(job, route)

    def serve_placed(self, job: Job, route: ServiceRoute) -> None:
        """Serve what was placed here, unless its download was passed on."""
        if job.request.block_number and not self.holds(job.download_key):
            holder = self.downloads.find(job.download_key, time.monotonic())
            agents = {agent.name: agent for agent in route.agents}
            if holder in agents and holder != self.own and job.hops < MAXIMUM_HOPS:
                self.hand_out(job, agents[holder])
                return
        self.serve(job)

    def place(self, job: Job, route: ServiceRoute) -> None:
        """Send a request to the agent that is to serve it."""
        now = time.monotonic()
        agents = {agent.name: agent for agent in route.agents}
        known = self.find_known(job, now)
        if known is None and job.request.block_number:
            self.ask_holder(job, route)
            return
        agent = agents.get(known) if known else None
        if agent is None:
            self.place_anew(job, route)
        else:
            self.record(job, agent.name, now)
            self.hand_out(job, agent)

    def place_anew(self, job: Job, route: ServiceRoute) -> None:
        """Send a request to the least loaded agent."""
        now = time.monotonic()
        agent = self.choose(route, job.tried, now)
        if agent is None:
            # No agent may take new work: this one refuses it for all.
            self.serve(job)
            return
        running = bool(job.request.block_number)
        if not running and not self.loads.has_room(agent, self.limits, now):
            # Even the best has none, so the owners share the work of refusing.
            self.counters.add("refused", "all agents full")
            self.refuse(job)
            return
        self.record(job, agent.name, now)
        self.hand_out(job, agent)

    def choose(
        self, route: ServiceRoute, tried: tuple[str, ...], now: float
    ) -> "Agent | None":
        """Return the agent for a new request; None if none may take it."""
        self.loads.find(self.own).accept(self.measure_load(), now)
        return choose_agent(route.agents, self.loads, tried, now, self.chance)

    def pass_on(self, job: Job) -> bool:
        """Send a request that this agent could not serve to another one."""
        route = self.table.by_id.get(job.service.id)
        if route is None or job.hops >= MAXIMUM_HOPS:
            return False
        now = time.monotonic()
        tried = (*job.tried, self.own)
        agent = self.choose(route, tried, now)
        if agent is None:
            return False
        self.record(job, agent.name, now)
        self.hand_out(replace(job, tried=tried), agent)
        return True

    def find_known(self, job: Job, now: float) -> str | None:
        """Return the agent that serves this exchange or download already."""
        known = self.exchanges.find(job.exchange_key, now)
        if known is None and job.request.block_number:
            known = self.downloads.find(job.download_key, now)
        return known

    def ask_holder(self, job: Job, route: ServiceRoute) -> None:
        """Send a later block to all agents; the holder of the download serves it."""
        key = job.download_key
        if self.holds(key):
            self.downloads.record(key, self.own, time.monotonic())
            self.serve(job)
            return
        if key in self.asking:
            # A copy: the first one is on its way.
            return
        self.counters.add("downloads", "asked for")
        self.asking.add(key)
        envelope = make_placed_envelope(job, self.table.generation)
        envelope.if_held = True
        others = (agent for agent in route.agents if agent.name != self.own)
        for agent in others:
            self.send(envelope, split_address(agent.packet_address))
        loop = asyncio.get_running_loop()
        loop.call_later(ASKING_S, self.conclude_asking, job)

    def conclude_asking(self, job: Job) -> None:
        """Place a download anew if no agent holds it."""
        key = job.download_key
        self.asking.discard(key)
        route = self.table.by_id.get(job.service.id)
        if route is not None and self.downloads.find(key, time.monotonic()) is None:
            self.counters.add("downloads", "placed anew")
            self.place_anew(job, route)

    def serve_held(self, job: Job, route: ServiceRoute) -> None:
        """Serve a later block if this agent holds the download, and say so."""
        if not self.holds(job.download_key):
            return
        self.serve(job)
        agents = {agent.name: agent for agent in route.agents}
        asker = agents.get(job.placer)
        if asker is not None:
            held = packets_pb2.Envelope(held=job.download_key)
            self.send(held, split_address(asker.packet_address))

    def record(self, job: Job, agent: str, now: float) -> None:
        """Remember where a request was sent."""
        self.exchanges.record(job.exchange_key, agent, now)
        if job.is_long or job.request.block_number:
            self.downloads.record(job.download_key, agent, now)
        if not job.request.block_number:
            self.loads.record_placement(agent, job.exchange_key, now)

    def hand_out(self, job: Job, agent: "Agent") -> None:
        """Give a placed request to its runner."""
        if agent.name == self.own:
            self.counters.add("placed", "own")
            self.serve(job)
            return
        self.counters.add("placed", "other")
        self.send(
            make_placed_envelope(job, self.table.generation),
            split_address(agent.packet_address),
        )

    def forward(self, envelope: packets_pb2.Envelope, owner: "Agent") -> None:
        """Send a packet on to the owner of its bucket."""
        self.counters.add("forwarded")
        envelope.hops += 1
        envelope.generation = self.table.generation
        envelope.ClearField("load")
        self.send(envelope, split_address(owner.packet_address))

    def drop(self, reason: DropReason) -> None:
        """Count a packet that goes no further."""
        self.counters.add("dropped", reason)


def make_placed_envelope(job: Job, generation: int) -> packets_pb2.Envelope:
    """Return the envelope that tells an agent to serve a request."""
    return packets_pb2.Envelope(
        service_id=job.service.id,
        generation=generation,
        hops=job.hops + 1,
        packet=job.packet,
        placed=True,
        elapsed_ms=int((time.monotonic() - job.received_at) * 1000),
        tried=job.tried,
    )
