"""The agent: serves requests with one backend server and owns hash buckets.

Connects the dispatcher (owner of buckets), the runner and the claims to the sockets,
and announces the backend server and its health to the controllers.
"""

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Final

import grpc.aio
from result import Err
from result import Result

from lentilfork.adapters.backends import BackendServer
from lentilfork.adapters.datagrams import DatagramSocket
from lentilfork.at_most_once import ClaimingRunner
from lentilfork.claims import ClaimClient
from lentilfork.claims import ClaimVoter
from lentilfork.claims import GrpcPeers
from lentilfork.dispatcher import Dispatcher
from lentilfork.errors import Failure
from lentilfork.jobs import Job
from lentilfork.member import Member
from lentilfork.routing import LoadReport
from lentilfork.runner import Runner
from lentilfork.schema import claims_pb2_grpc
from lentilfork.schema import control_pb2
from lentilfork.schema import packets_pb2
from lentilfork.schema import state_pb2
from lentilfork.settings import split_address
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Voter

if TYPE_CHECKING:
    from lentilfork.settings import AgentSettings

__all__ = ["AgentRole"]

# Interval at which a draining agent checks whether it has finished.
POLL_INTERVAL_S: Final = 0.1
# Processes with an older generation may still send packets to an agent that leaves. It
# handles them for at least this long after the agreed state shows it as draining, and
# until no packet has arrived for `IDLE_TIME_S`.
MINIMUM_LINGER_S: Final = 5.0
IDLE_TIME_S: Final = 1.0


class AgentRole:
    """The agent process that runs next to one backend server."""

    settings: "AgentSettings"
    member: Member
    # Receives envelopes from balancers and agents; also sends answers to callers.
    packets: DatagramSocket
    # Address of the fabric that takes the answers to callers.
    return_address: tuple[str, int]
    backend: BackendServer
    claims: ClaimClient
    voter: ClaimVoter
    runner: Runner
    dispatcher: Dispatcher
    # Send time of the latest acknowledged heartbeat that renewed the voter's lease.
    voter_renewed_ms: int
    # Sequence number of the last load report.
    sequence: int
    leaving: bool
    # Monotonic time at which the agreed state last showed this agent as not draining.
    last_not_draining_at: float
    # Monotonic time at which the last datagram arrived.
    last_packet_at: float

    def __init__(self, settings: "AgentSettings") -> None:
        self.settings = settings
        self.member = Member(settings, self.make_heartbeat, self.dump)
        self.counters = self.member.counters
        self.packets = DatagramSocket(self.handle_datagram)
        self.return_address = split_address(settings.return_address)
        self.backend = BackendServer(settings.backend_server)
        self.voter_renewed_ms = 0
        self.sequence = 0
        self.leaving = False
        self.last_not_draining_at = time.monotonic()
        self.last_packet_at = 0.0
        local_voter = Voter(settings.name, self.member.incarnation)
        channels, membership = self.member.channels, self.member.membership
        peers = GrpcPeers(channels)
        self.voter = ClaimVoter(local_voter, peers, self.counters)
        self.claims = ClaimClient(local_voter, peers, self.voter, self.counters)
        self.runner = Runner(
            backend=self.backend,
            slots=settings.slots,
            counters=self.counters,
            at_most_once=ClaimingRunner(
                self.claims, lambda: membership.state, self.counters
            ),
            read_state=lambda: membership.state,
            may_run=lambda: membership.has_valid_lease,
            accepts_work=self.accepts_work,
            send=self.send_answer,
            forward_job=self.forward_job,
            notify_job_end=self.notify_job_end,
        )
        self.dispatcher = Dispatcher(
            local_name=settings.name,
            service=settings.service,
            counters=self.counters,
            send_envelope=self.send_envelope,
            send_answer=self.send_answer,
            serve_job=self.runner.accept,
            refuse_job=self.runner.refuse,
            measure_load=self.measure_load,
            has_download=self.runner.downloads.has_answer,
        )
        membership.subscribe(self.apply_state)

    @property
    def generation(self) -> int:
        """Generation of the agreed state that is applied here."""
        return self.member.membership.state.generation

    async def start(self) -> Result[None, Failure]:
        """Bind the sockets and start to announce this agent."""
        opened = await self.packets.open(self.settings.packet_address)
        if isinstance(opened, Err):
            return opened
        started = await self.member.start(self.register_services)
        if isinstance(started, Err):
            self.packets.close()
            return started
        self.member.run_supervised(self.backend.watch_health, "backend health")
        self.member.run_supervised(self.announce_health, "announce health")
        return started

    def register_services(self, server: grpc.aio.Server) -> None:
        """Add the claims service, which other agents call, to the gRPC server."""
        claims_pb2_grpc.add_ClaimsServicer_to_server(self.voter, server)

    async def announce_health(self) -> None:
        """Announce changes of the backend server's health immediately."""
        while True:
            await self.backend.changed.wait()
            self.backend.changed.clear()
            if self.backend.serving:
                self.runner.weight.begin_cold_start()
            self.member.membership.request_heartbeat()

    def make_heartbeat(self) -> control_pb2.Heartbeat:
        """Return the heartbeat of this agent."""
        self.renew_voter_lease()
        settings = self.settings
        agent = state_pb2.Agent(
            name=settings.name,
            incarnation=self.member.incarnation,
            service=settings.service,
            data_centre=settings.data_centre,
            packet_address=settings.announced_packet_address or settings.packet_address,
            control_address=(
                settings.announced_control_address or settings.control_address
            ),
            slots=settings.slots,
            draining=not self.accepts_work(),
        )
        return control_pb2.Heartbeat(
            agent=agent,
            leaving=self.leaving,
            synced_shards=self.voter.list_synced_shards(),
        )

    def accepts_work(self) -> bool:
        """Return whether other agents may place new work here.

        Until the first generation is applied, this agent would drop the packets that
        others send to it. Without a lease it must not run any request.
        """
        membership = self.member.membership
        ready = membership.ready.is_set() and membership.has_valid_lease
        return ready and self.backend.serving and not self.leaving

    def renew_voter_lease(self) -> None:
        """Renew the voter's lease if the leader has acknowledged a newer heartbeat."""
        membership = self.member.membership
        acknowledged = membership.lease.acknowledged_ms > self.voter_renewed_ms
        if acknowledged and membership.lease.admitted:
            self.voter_renewed_ms = membership.lease.acknowledged_ms
            self.voter.renew_lease(membership.acknowledged_generation)

    def apply_state(self, old: ClusterState, new: ClusterState) -> None:
        """Apply a new generation of the replicated state."""
        if not old.generation:
            self.member.membership.request_heartbeat()
        self.dispatcher.apply_state(old, new)
        self.voter.apply_state(new)

    def handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle one datagram from a balancer or another agent."""
        self.last_packet_at = time.monotonic()
        self.dispatcher.handle_datagram(data, sender)

    def send_answer(self, packet: bytes) -> None:
        """Send an answer to its caller through the fabric."""
        self.packets.send(packet, self.return_address)

    def send_envelope(
        self, envelope: packets_pb2.Envelope, address: tuple[str, int]
    ) -> None:
        """Send an envelope to another agent, with the load of this agent added."""
        envelope.load.MergeFrom(self.encode_load())
        self.packets.send(envelope.SerializeToString(), address)

    def measure_load(self) -> LoadReport:
        """Return a new report of the load of this agent."""
        self.sequence += 1
        queue = self.runner.queue
        return LoadReport(
            agent=self.settings.name,
            running=queue.running,
            queued=len(self.runner.jobs) - queue.running,
            service_time_us=round(queue.service_time_us),
            weight_percent=self.runner.weight.compute_percent(
                self.runner.limits.cold_start_ms
            ),
            sequence=self.sequence,
        )

    def encode_load(self) -> packets_pb2.Load:
        """Return the current load as a protobuf message."""
        report = self.measure_load()
        return packets_pb2.Load(
            agent=report.agent,
            running=report.running,
            queued=max(0, report.queued),
            service_time_us=report.service_time_us,
            weight_percent=report.weight_percent,
            sequence=report.sequence,
        )

    def forward_job(self, job: Job) -> bool:
        """Forward a request that could not be served here; False if no agent can."""
        return self.dispatcher.forward_job(job)

    def notify_job_end(self, job: Job) -> None:
        """Notify the agent that placed a request that the request has ended."""
        if job.placer == self.settings.name:
            self.dispatcher.loads.record_end(job.placer, job.exchange_key)
            return
        placer = self.member.membership.state.agents.get(job.placer)
        if placer is not None:
            envelope = packets_pb2.Envelope()
            envelope.load.ended.append(job.exchange_key)
            self.send_envelope(envelope, split_address(placer.packet_address))

    async def drain(self) -> None:
        """Refuse new work, wait until placed work has ended, then leave.

        The wait is limited to `drain_ms` of the active preset.
        """
        self.leaving = True
        self.member.membership.request_heartbeat()
        limit = time.monotonic() + self.runner.limits.drain_ms / 1000
        while not self.has_drained() and time.monotonic() < limit:
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.member.membership.leave()

    def has_drained(self) -> bool:
        """Return whether no work is left and no claim shard needs this process."""
        state = self.member.membership.state
        now = time.monotonic()
        agent = state.agents.get(self.settings.name)
        if agent is not None and not agent.draining:
            self.last_not_draining_at = now
            return False
        if self.runner.jobs or self.runner.downloads.list_active():
            return False
        if now < max(
            self.last_not_draining_at + MINIMUM_LINGER_S,
            self.last_packet_at + IDLE_TIME_S,
        ):
            return False
        return not self.voter.has_shards()

    async def stop(self) -> None:
        """Close the sockets and end all tasks."""
        self.packets.close()
        await self.claims.stop()
        await self.voter.stop()
        await self.backend.close()
        await self.member.stop()

    def dump(self) -> dict[str, object]:
        """Return the state of the process as JSON values."""
        load = self.measure_load()
        return {
            **self.member.dump(),
            "service": self.settings.service,
            "backend_server": self.settings.backend_server,
            "serving": self.backend.serving,
            "leaving": self.leaving,
            "running": load.running,
            "queued": load.queued,
            "service_time_us": load.service_time_us,
            "weight_percent": load.weight_percent,
            "downloads": len(self.runner.downloads.entries),
            "directory": {
                "exchanges": len(self.dispatcher.exchanges.entries),
                "downloads": len(self.dispatcher.downloads.entries),
            },
            "claims": self.voter.dump(),
            "socket_errors": self.packets.errors,
        }
