"""The agent: border to one backend server, and one of the owners of its service.

Wires the dispatcher (owner), the runner and claims to the sockets, and
announces the backend server to the controllers with its health.
"""

import asyncio
import time
from typing import TYPE_CHECKING
from typing import Final

import grpc.aio
from result import Err
from result import Result

from lentilfork.at_most_once import ClaimingRunner
from lentilfork.borders.backends import BackendServer
from lentilfork.borders.datagrams import DatagramSocket
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

POLL_S: Final = 0.1
# On leaving, packets of processes that lag behind are still taken: for at least
# this long after the others began to place work elsewhere, and until none has come
# for `QUIET_S`.
LINGER_S: Final = 5.0
QUIET_S: Final = 1.0


class AgentRole:
    """The process beside one backend server."""

    settings: "AgentSettings"
    member: Member
    # Envelopes from balancers and agents come in here; answers go out as well.
    packets: DatagramSocket
    return_address: tuple[str, int]
    backend: BackendServer
    claims: ClaimClient
    voter: ClaimVoter
    runner: Runner
    dispatcher: Dispatcher
    # Send time of the newest acknowledged heartbeat that renewed the voter.
    renewed_ms: int
    # Number of the last load report.
    sequence: int
    leaving: bool
    # Monotonic time at which this agent was last seen to be given new work.
    drained_at: float
    # Monotonic time of the last datagram.
    last_packet_at: float

    def __init__(self, settings: "AgentSettings") -> None:
        self.settings = settings
        self.member = Member(settings, self.make_heartbeat, self.dump)
        self.counters = self.member.counters
        self.packets = DatagramSocket(self.receive)
        self.return_address = split_address(settings.return_address)
        self.backend = BackendServer(settings.backend_server)
        self.renewed_ms = 0
        self.sequence = 0
        self.leaving = False
        self.drained_at = time.monotonic()
        self.last_packet_at = 0.0
        own = Voter(settings.name, self.member.incarnation)
        channels, membership = self.member.channels, self.member.membership
        peers = GrpcPeers(channels)
        self.voter = ClaimVoter(own, peers, self.counters)
        self.claims = ClaimClient(own, peers, self.voter, self.counters)
        self.runner = Runner(
            backend=self.backend,
            slots=settings.slots,
            counters=self.counters,
            at_most_once=ClaimingRunner(
                self.claims, lambda: membership.state, self.counters
            ),
            read_state=lambda: membership.state,
            may_run=lambda: membership.has_valid_lease,
            accepts_work=self.takes_work,
            send=self.send_answer,
            forward_job=self.pass_on,
            notify_job_end=self.report_end,
        )
        self.dispatcher = Dispatcher(
            own=settings.name,
            service=settings.service,
            counters=self.counters,
            send=self.send_envelope,
            answer=self.send_answer,
            serve=self.runner.accept,
            refuse=self.runner.refuse,
            measure_load=self.measure_load,
            holds=self.runner.downloads.has_answer,
        )
        membership.subscribe(self.update)

    @property
    def generation(self) -> int:
        """Generation of the agreed state in force here."""
        return self.member.membership.state.generation

    async def start(self) -> Result[None, Failure]:
        """Bind the sockets, then announce this agent."""
        opened = await self.packets.open(self.settings.packet_address)
        if isinstance(opened, Err):
            return opened
        started = await self.member.start(self.register_services)
        if isinstance(started, Err):
            self.packets.close()
            return started
        self.member.run_task(self.backend.watch_health(), "backend health")
        self.member.run_task(self.announce_health(), "announce health")
        return started

    def register_services(self, server: grpc.aio.Server) -> None:
        """Add what other agents call to this process's server."""
        claims_pb2_grpc.add_ClaimsServicer_to_server(self.voter, server)

    async def announce_health(self) -> None:
        """Tell the controllers at once when the backend server's health changes."""
        while True:
            await self.backend.changed.wait()
            self.backend.changed.clear()
            if self.backend.serving:
                self.runner.weight.restart()
            self.member.membership.request_heartbeat()

    def make_heartbeat(self) -> control_pb2.Heartbeat:
        """Return what this process announces of itself."""
        self.renew_voter()
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
            draining=not self.takes_work(),
        )
        return control_pb2.Heartbeat(
            agent=agent,
            leaving=self.leaving,
            synced_shards=self.voter.list_synced_shards(),
        )

    def takes_work(self) -> bool:
        """Return whether others may place new work here.

        Not before the first generation is in force here, without which this agent
        would drop what others send to it, nor without a lease, in which it may run
        nothing.
        """
        membership = self.member.membership
        ready = membership.ready.is_set() and membership.has_valid_lease
        return ready and self.backend.serving and not self.leaving

    def renew_voter(self) -> None:
        """Let the voter go on if the leader has acknowledged a heartbeat since."""
        membership = self.member.membership
        heard = membership.lease.acknowledged_ms > self.renewed_ms
        if heard and membership.lease.admitted:
            self.renewed_ms = membership.lease.acknowledged_ms
            self.voter.renew_lease(membership.acknowledged_generation)

    def update(self, old: ClusterState, new: ClusterState) -> None:
        """Take a new generation into force."""
        if not old.generation:
            self.member.membership.request_heartbeat()
        self.dispatcher.update(old, new)
        self.voter.apply_state(new)

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Take one datagram."""
        self.last_packet_at = time.monotonic()
        self.dispatcher.receive(data, sender)

    def send_answer(self, packet: bytes) -> None:
        """Send a caller's answer through the fabric."""
        self.packets.send(packet, self.return_address)

    def send_envelope(
        self, envelope: packets_pb2.Envelope, address: tuple[str, int]
    ) -> None:
        """Send a packet to another agent, with this agent's load."""
        envelope.load.MergeFrom(self.make_load())
        self.packets.send(envelope.SerializeToString(), address)

    def measure_load(self) -> LoadReport:
        """Return the present load of this agent."""
        self.sequence += 1
        queue = self.runner.queue
        return LoadReport(
            agent=self.settings.name,
            running=queue.running,
            queued=len(self.runner.jobs) - queue.running,
            service_time_us=round(queue.service_time_us),
            weight_percent=self.runner.weight.measure_percent(
                self.runner.limits.cold_start_ms
            ),
            sequence=self.sequence,
        )

    def make_load(self) -> packets_pb2.Load:
        """Return the message of the present load."""
        report = self.measure_load()
        return packets_pb2.Load(
            agent=report.agent,
            running=report.running,
            queued=max(0, report.queued),
            service_time_us=report.service_time_us,
            weight_percent=report.weight_percent,
            sequence=report.sequence,
        )

    def pass_on(self, job: Job) -> bool:
        """Send a request that could not be served here to another agent."""
        return self.dispatcher.pass_on(job)

    def report_end(self, job: Job) -> None:
        """Tell the agent that placed a request that it has ended."""
        if job.placer == self.settings.name:
            self.dispatcher.loads.record_end(job.placer, job.exchange_key)
            return
        placer = self.member.membership.state.agents.get(job.placer)
        if placer is not None:
            envelope = packets_pb2.Envelope()
            envelope.load.ended.append(job.exchange_key)
            self.send_envelope(envelope, split_address(placer.packet_address))

    async def drain(self) -> None:
        """Take no new work and return when all work placed here has ended."""
        self.leaving = True
        self.member.membership.request_heartbeat()
        limit = time.monotonic() + self.runner.limits.drain_ms / 1000
        while not self.has_ended() and time.monotonic() < limit:
            await asyncio.sleep(POLL_S)
        await self.member.membership.leave()

    def has_ended(self) -> bool:
        """Return whether nothing is left that needs this process."""
        state = self.member.membership.state
        now = time.monotonic()
        own = state.agents.get(self.settings.name)
        if own is not None and not own.draining:
            self.drained_at = now
            return False
        if self.runner.jobs or self.runner.downloads.list_active():
            return False
        if now < max(self.drained_at + LINGER_S, self.last_packet_at + QUIET_S):
            return False
        return not self.voter.has_shards()

    async def stop(self) -> None:
        """Close everything."""
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
