"""The owner part of an agent: decides which agent serves each packet.

The dispatcher handles envelopes from balancers and other agents. It forwards packets of
buckets that another agent owns. Packets of its own buckets are placed: retransmissions
and later blocks go to the agent that already serves their exchange or download, new
requests to the least loaded agent. An exchange is one CoAP request with its
retransmissions; a download is a long answer that a caller fetches block by block.

After a bucket has moved, its new owner does not know where a download is served. It
sends the packet to all agents of the service; the agent that holds the download serves
the packet and replies with the key of the download. Owners therefore transfer no state,
and a planned change, a lost owner and a process with an older generation are handled in
the same way.
"""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Final

from google.protobuf.message import DecodeError

from lentilfork.adapters.callers import Request
from lentilfork.adapters.callers import Signal
from lentilfork.adapters.callers import encode_reset
from lentilfork.adapters.callers import parse_message
from lentilfork.adapters.packets import Packet
from lentilfork.adapters.packets import build_packet
from lentilfork.adapters.packets import parse_packet
from lentilfork.errors import DropReason
from lentilfork.jobs import Job
from lentilfork.routing import DOWNLOAD_LIFETIME_S
from lentilfork.routing import EXCHANGE_LIFETIME_S
from lentilfork.routing import Directory
from lentilfork.routing import LoadReport
from lentilfork.routing import LoadTable
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

# A packet is not forwarded more often than this, which ends forwarding loops.
MAXIMUM_HOPS: Final = 6
# A download is placed again if its holder does not reply within this time.
HOLDER_QUERY_TIMEOUT_S: Final = 0.25

SendEnvelope = Callable[[packets_pb2.Envelope, tuple[str, int]], None]


class Dispatcher:
    """Places the packets of the buckets this agent owns.

    `send_envelope` sends to another agent, `send_answer` sends an IPv4 packet to a
    caller. `serve_job` and `refuse_job` pass a request to the local runner.
    `has_download` returns whether the local runner holds a download, by its key.
    """

    # Names of this agent and of its service.
    local_name: str
    service: str
    table: RoutingTable
    # Limits of the active preset.
    limits: Preset
    # Names of the agents of the service.
    peers: set[str]
    # Names of the evacuated data centres, whose agents get no new requests.
    evacuated: frozenset[str]
    # Agents that serve the exchanges and downloads of the buckets owned here.
    exchanges: Directory
    downloads: Directory
    loads: LoadTable
    rng: random.Random
    # Keys of the downloads whose holder is being queried. Further requests for their
    # blocks are ignored until the query ends.
    pending_holder_queries: set[bytes]

    def __init__(
        self,
        local_name: str,
        service: str,
        counters: "Counters",
        send_envelope: SendEnvelope,
        send_answer: Callable[[bytes], None],
        serve_job: Callable[[Job], None],
        refuse_job: Callable[[Job], None],
        measure_load: Callable[[], LoadReport],
        has_download: Callable[[bytes], bool],
    ) -> None:
        self.local_name = local_name
        self.service = service
        self.counters = counters
        self.send_envelope = send_envelope
        self.send_answer = send_answer
        self.serve_job = serve_job
        self.refuse_job = refuse_job
        self.measure_load = measure_load
        self.has_download = has_download
        self.table = RoutingTable(ClusterState())
        self.limits = ClusterState().limits
        self.peers = set()
        self.evacuated = frozenset()
        self.exchanges = Directory(EXCHANGE_LIFETIME_S)
        self.downloads = Directory(DOWNLOAD_LIFETIME_S)
        self.loads = LoadTable()
        self.rng = random.Random()
        self.pending_holder_queries = set()

    def apply_state(self, old: ClusterState, new: ClusterState) -> None:
        """Apply a new generation of the replicated state."""
        self.table = RoutingTable(new, self.table)
        self.limits = new.limits
        self.evacuated = frozenset(new.evacuated)
        agents = {agent.name: agent for agent in new.list_agents(self.service)}
        self.peers = set(agents)
        self.loads.retain_agents(self.peers)
        removed = [a for a in old.list_agents(self.service) if a.name not in agents]
        for agent in removed:
            self.exchanges.remove_agent(agent.name)
            self.downloads.remove_agent(agent.name)

    def handle_datagram(self, data: bytes, _sender: tuple[str, int]) -> None:
        """Handle one datagram from a balancer or another agent."""
        try:
            envelope = packets_pb2.Envelope.FromString(data)
        except DecodeError:
            self.record_drop(DropReason.BAD_ENVELOPE)
            return
        # Reports are accepted only from agents of this service. Otherwise any sender
        # could fill the memory.
        if envelope.load.agent in self.peers:
            self.handle_load(envelope.load)
            if envelope.held:
                now = time.monotonic()
                self.downloads.record(envelope.held, envelope.load.agent, now)
        if envelope.packet:
            self.handle_packet(envelope)

    def handle_load(self, load: packets_pb2.Load) -> None:
        """Store the load and the ended exchanges that another agent reports."""
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
        self.loads.get_or_create(load.agent).record_report(report, time.monotonic())

    def handle_packet(self, envelope: packets_pb2.Envelope) -> None:
        """Check a packet, then serve, place or forward it."""
        packet = parse_packet(envelope.packet)
        if isinstance(packet, DropReason):
            self.record_drop(packet)
            return
        pair = packet.pair
        route = self.table.by_address.get((pair.service_address, pair.service_port))
        if route is None:
            self.record_drop(DropReason.UNKNOWN_SERVICE)
        elif route.service.name != self.service:
            self.record_drop(DropReason.WRONG_SERVICE)
        elif envelope.hops > MAXIMUM_HOPS:
            self.record_drop(DropReason.HOP_LIMIT)
        else:
            self.route_packet(envelope, packet, route)

    def route_packet(
        self, envelope: packets_pb2.Envelope, packet: Packet, route: ServiceRoute
    ) -> None:
        """Forward a packet to its owner, or parse its message and handle it here."""
        if not envelope.placed and envelope.hops < MAXIMUM_HOPS:
            owner = route.find_owner(find_bucket(packet.pair.flow_key()))
            if owner is not None and owner.name != self.local_name:
                self.forward(envelope, owner)
                return
        message = parse_message(packet.payload)
        if isinstance(message, Request):
            job = self.make_job(envelope, packet, route, message)
            self.handle_request(job, route, envelope)
        elif message is Signal.PING:
            reset = encode_reset(packet.payload)
            self.send_answer(build_packet(packet.pair, reset, to_caller=True))
        elif isinstance(message, DropReason):
            self.record_drop(message)
        else:
            self.counters.add("signals", message.value)

    def make_job(
        self,
        envelope: packets_pb2.Envelope,
        packet: Packet,
        route: ServiceRoute,
        request: Request,
    ) -> Job:
        """Return the job for a request that arrived in an envelope."""
        return Job(
            service=route.service,
            pair=packet.pair,
            request=request,
            packet=envelope.packet,
            received_at=time.monotonic() - envelope.elapsed_ms / 1000,
            hops=envelope.hops,
            tried=tuple(envelope.tried),
            placer=envelope.load.agent if envelope.placed else self.local_name,
        )

    def handle_request(
        self, job: Job, route: ServiceRoute, envelope: packets_pb2.Envelope
    ) -> None:
        """Serve a request that was placed at this agent, or place it."""
        if envelope.if_held:
            self.serve_if_held(job, route)
        elif envelope.placed or job.hops >= MAXIMUM_HOPS:
            self.serve_placed(job, route)
        else:
            self.place_request(job, route)

    def serve_placed(self, job: Job, route: ServiceRoute) -> None:
        """Serve a request that was placed here.

        A request for a later block is sent to the holder of its download if that is
        known to be another agent.
        """
        if job.request.block_number and not self.has_download(job.download_key):
            holder = self.downloads.find(job.download_key, time.monotonic())
            agents = {agent.name: agent for agent in route.agents}
            if (
                holder in agents
                and holder != self.local_name
                and job.hops < MAXIMUM_HOPS
            ):
                self.dispatch_job(job, agents[holder])
                return
        self.serve_job(job)

    def place_request(self, job: Job, route: ServiceRoute) -> None:
        """Place a request: select the agent that serves it and send it there."""
        now = time.monotonic()
        agents = {agent.name: agent for agent in route.agents}
        serving_agent = self.find_serving_agent(job, now)
        if serving_agent is None and job.request.block_number:
            self.query_holder(job, route)
            return
        agent = agents.get(serving_agent) if serving_agent else None
        if agent is None:
            self.place_on_least_loaded(job, route)
        else:
            self.record_placement(job, agent.name, now)
            self.dispatch_job(job, agent)

    def place_on_least_loaded(self, job: Job, route: ServiceRoute) -> None:
        """Place a request at the least loaded agent."""
        now = time.monotonic()
        agent = self.choose_target(route, job.tried, now)
        if agent is None:
            # No agent accepts new work: the local runner refuses the request.
            self.serve_job(job)
            return
        is_later_block = bool(job.request.block_number)
        if not is_later_block and not self.loads.has_capacity(agent, self.limits, now):
            # Even the best agent has no capacity. Refusing the request here spreads the
            # cost of refusals over all owners.
            self.counters.add("refused", "all agents full")
            self.refuse_job(job)
            return
        self.record_placement(job, agent.name, now)
        self.dispatch_job(job, agent)

    def choose_target(
        self, route: ServiceRoute, tried: tuple[str, ...], now: float
    ) -> "Agent | None":
        """Return the agent for a new request; None if no agent may serve it."""
        self.loads.get_or_create(self.local_name).record_report(
            self.measure_load(), now
        )
        return choose_agent(
            route.agents, self.loads, tried, now, self.rng, self.evacuated
        )

    def forward_job(self, job: Job) -> bool:
        """Forward a request that this agent could not serve to another agent.

        Returns False if no other agent may serve it.
        """
        route = self.table.by_id.get(job.service.id)
        if route is None or job.hops >= MAXIMUM_HOPS:
            return False
        now = time.monotonic()
        tried = (*job.tried, self.local_name)
        agent = self.choose_target(route, tried, now)
        if agent is None:
            return False
        self.record_placement(job, agent.name, now)
        self.dispatch_job(replace(job, tried=tried), agent)
        return True

    def find_serving_agent(self, job: Job, now: float) -> str | None:
        """Return the agent that already serves this exchange or download, if known."""
        serving_agent = self.exchanges.find(job.exchange_key, now)
        if serving_agent is None and job.request.block_number:
            serving_agent = self.downloads.find(job.download_key, now)
        return serving_agent

    def query_holder(self, job: Job, route: ServiceRoute) -> None:
        """Send a request for a later block to all agents; the holder serves it."""
        key = job.download_key
        if self.has_download(key):
            self.downloads.record(key, self.local_name, time.monotonic())
            self.serve_job(job)
            return
        if key in self.pending_holder_queries:
            # A retransmission: the first request is still being processed.
            return
        self.counters.add("downloads", "asked for")
        self.pending_holder_queries.add(key)
        envelope = make_placed_envelope(job, self.table.generation)
        envelope.if_held = True
        others = (agent for agent in route.agents if agent.name != self.local_name)
        for agent in others:
            self.send_envelope(envelope, split_address(agent.packet_address))
        loop = asyncio.get_running_loop()
        loop.call_later(HOLDER_QUERY_TIMEOUT_S, self.finish_holder_query, job)

    def finish_holder_query(self, job: Job) -> None:
        """Place a download again if no agent has replied that it holds it."""
        key = job.download_key
        self.pending_holder_queries.discard(key)
        route = self.table.by_id.get(job.service.id)
        if route is not None and self.downloads.find(key, time.monotonic()) is None:
            self.counters.add("downloads", "placed anew")
            self.place_on_least_loaded(job, route)

    def serve_if_held(self, job: Job, route: ServiceRoute) -> None:
        """Serve a later block if its download is held here, and notify the owner."""
        if not self.has_download(job.download_key):
            return
        self.serve_job(job)
        agents = {agent.name: agent for agent in route.agents}
        querying_agent = agents.get(job.placer)
        if querying_agent is not None:
            notice = packets_pb2.Envelope(held=job.download_key)
            self.send_envelope(notice, split_address(querying_agent.packet_address))

    def record_placement(self, job: Job, agent: str, now: float) -> None:
        """Record at which agent a request is placed."""
        self.exchanges.record(job.exchange_key, agent, now)
        if job.is_long or job.request.block_number:
            self.downloads.record(job.download_key, agent, now)
        if not job.request.block_number:
            self.loads.record_placement(agent, job.exchange_key, now)

    def dispatch_job(self, job: Job, agent: "Agent") -> None:
        """Pass a placed request to the local runner, or send it to its agent."""
        if agent.name == self.local_name:
            self.counters.add("placed", "own")
            self.serve_job(job)
            return
        self.counters.add("placed", "other")
        self.send_envelope(
            make_placed_envelope(job, self.table.generation),
            split_address(agent.packet_address),
        )

    def forward(self, envelope: packets_pb2.Envelope, owner: "Agent") -> None:
        """Forward a packet to the owner of its bucket."""
        self.counters.add("forwarded")
        envelope.hops += 1
        envelope.generation = self.table.generation
        envelope.ClearField("load")
        self.send_envelope(envelope, split_address(owner.packet_address))

    def record_drop(self, reason: DropReason) -> None:
        """Count a packet that is dropped."""
        self.counters.add("dropped", reason)


def make_placed_envelope(job: Job, generation: int) -> packets_pb2.Envelope:
    """Return the envelope that makes another agent serve a request."""
    return packets_pb2.Envelope(
        service_id=job.service.id,
        generation=generation,
        hops=job.hops + 1,
        packet=job.packet,
        placed=True,
        elapsed_ms=int((time.monotonic() - job.received_at) * 1000),
        tried=job.tried,
    )
