"""Balancer and agent processes of forwarded flows: sockets, tasks and timers."""

import asyncio
import time
from collections.abc import Callable
from functools import lru_cache
from typing import Final

from google.protobuf.message import DecodeError
from result import Err
from result import Ok
from result import Result

from lentilfork.clocks import draw_incarnation
from lentilfork.counters import Counters
from lentilfork.errors import Failure
from lentilfork.forwarding.agent import FlowAgent
from lentilfork.forwarding.backend_server import BackendServer
from lentilfork.forwarding.backend_server import ServerAnnouncement
from lentilfork.forwarding.balancer import FlowBalancer
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.delivery import MAXIMUM_FLOW_AGE_S
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import read_kind
from lentilfork.forwarding.explanation_call import answer_explanation
from lentilfork.forwarding.membership import ANNOUNCE_INTERVAL_S
from lentilfork.forwarding.membership import DISCOVERY_INTERVAL_S
from lentilfork.forwarding.membership import Membership
from lentilfork.forwarding.packets import PacketCodec
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.settings import STOP_MARGIN_S
from lentilfork.forwarding.settings import FlowAgentSettings
from lentilfork.forwarding.settings import FlowBalancerSettings
from lentilfork.forwarding.settings import MemberSettings
from lentilfork.forwarding.sockets import DatagramSocket
from lentilfork.forwarding.sockets import PauseDetector
from lentilfork.forwarding.table_fetcher import TableFetcher
from lentilfork.http_server import Response
from lentilfork.logs import Logger
from lentilfork.scheduling import EvacuationView
from lentilfork.scheduling import WarmUpBounds
from lentilfork.schema import roster_pb2
from lentilfork.tasks import start_supervised
from lentilfork.tasks import start_task

__all__ = ["FlowAgentRole", "FlowBalancerRole"]

SocketName = tuple[str, int]
PERIODIC_INTERVAL_S: Final = 1.0
# Routers stop sending packets to a balancer after two missed health checks, 0.5 s
# apart; until then packets still arrive. A longer wait would delay the restart of this
# balancer, which the next one in a planned series of restarts may be waiting for.
ROUTER_REMOVAL_S: Final = 1.15
POLL_INTERVAL_S: Final = 0.05
# The backend server is on the same host, and starting it takes longer than this.
SERVER_CONNECT_TIMEOUT_S: Final = 0.5
# Delay after a change of the roster. Members without a controller announce themselves
# every 80 ms, so the roster has most agents by then.
FORWARD_DELAY_S: Final = 0.1
# Balancers and agents stop sending packets to an agent once they have heard that it
# leaves. Its first announcement of that may get lost, the second follows after 0.2 s.
LEAVE_NOTICE_S: Final = 2 * ANNOUNCE_INTERVAL_S
CACHED_ADDRESSES: Final = 65_536
OCTETS: Final = 4
MS_PER_S: Final = 1_000

log = Logger("process")


@lru_cache(CACHED_ADDRESSES)
def format_address(address: int) -> str:
    """Return the dotted text of an IPv4 address given as a number."""
    return ".".join(map(str, address.to_bytes(OCTETS, "big")))


class MemberProcess:
    """Base of balancer and agent processes: socket, membership and tasks."""

    settings: MemberSettings
    counters: Counters
    roster: Roster
    membership: Membership
    fetcher: TableFetcher
    pause_detector: PauseDetector
    # Socket for datagrams of other processes.
    socket: DatagramSocket
    tasks: list["asyncio.Task[None]"]
    # Whether the process was told to stop.
    leaving: bool

    def __init__(self, settings: MemberSettings) -> None:
        self.settings = settings
        self.counters = Counters()
        self.roster = Roster()
        self.pause_detector = PauseDetector()
        self.membership = Membership(
            settings.name,
            settings.data_centre,
            settings.controllers,
            self.roster,
            self.counters,
            EvacuationView(awaits_majority=settings.evacuations),
        )
        self.fetcher = TableFetcher(self.membership, self.apply_table)
        self.tasks = []
        self.leaving = False

    @property
    def generation(self) -> int:
        """Version of the route table that is applied in this process."""
        return self.membership.routes.version

    @property
    def is_ready(self) -> bool:
        """Whether this process has a roster and a route table and is not stopping."""
        return self.membership.is_synced and not self.leaving

    def apply_table(self) -> None:
        """Apply the membership's newer route table."""

    def apply_evacuations(self, now: float) -> None:
        """Apply the membership's newer evacuations."""

    def apply_seeds(self, controllers: tuple[SocketName, ...]) -> None:
        """Apply the controllers of changed settings."""
        if self.membership.seeds == list(controllers):
            return
        log.info("controllers in the settings changed", controllers=str(controllers))
        self.membership.seeds = list(controllers)
        self.membership.add_seeds()

    def open_socket(self) -> None:
        """Bind the socket for other processes; raises OSError if that fails."""
        self.socket = DatagramSocket(
            self.settings.address,
            self.handle_datagram,
            self.counters,
            self.pause_detector,
        )
        self.membership.send = self.socket.send

    def handle_datagram(self, data: bytes, sender: SocketName) -> None:
        """Handle a datagram of another process."""
        kind = read_kind(data)
        if kind is None:
            self.counters.add("datagrams_dropped", "unknown_kind")
        elif kind is Kind.UPDATE:
            self.handle_update(data, sender)
        else:
            self.handle_flow_datagram(kind, data, sender)

    def handle_flow_datagram(self, kind: Kind, data: bytes, sender: SocketName) -> None:
        """Handle a datagram that is not a roster update."""
        self.counters.add("datagrams_dropped", "unexpected")

    def handle_update(self, data: bytes, sender: SocketName) -> None:
        """Handle a roster update of a controller."""
        try:
            update = roster_pb2.RosterUpdate.FromString(data[1:])
        except DecodeError:
            self.counters.add("datagrams_dropped", "malformed")
            return
        now = time.monotonic()
        former = self.membership.evacuations.version
        self.membership.handle_update(update, sender, now)
        if self.membership.evacuations.version != former:
            self.apply_evacuations(now)
        self.fetcher.start_if_needed(now)

    async def announce(self) -> None:
        """Announce this process periodically, for as long as it runs."""
        while True:
            if self.pause_detector.check():
                self.pause_detector.drop_pending()
            now = time.monotonic()
            self.membership.announce(now)
            self.fetcher.start_if_needed(now)
            known = self.membership.primary is not None
            await asyncio.sleep(ANNOUNCE_INTERVAL_S if known else DISCOVERY_INTERVAL_S)

    async def stop(self) -> None:
        """Cancel all tasks and close all sockets."""
        self.tasks.extend(self.fetcher.tasks)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        self.socket.close()

    def send_to_caller_from(
        self, socket: DatagramSocket
    ) -> Callable[[bytes, int], None]:
        """Return a function that sends packets to callers from a socket."""
        port = self.settings.caller_port

        def send(data: bytes, address: int) -> None:
            socket.send(data, (format_address(address), port))

        return send


class FlowBalancerRole(MemberProcess):
    """One balancer process."""

    settings: FlowBalancerSettings
    balancer: FlowBalancer
    decisions: DecisionLog
    # Socket for callers' packets.
    packet_socket: DatagramSocket

    def __init__(self, settings: FlowBalancerSettings, codec: PacketCodec) -> None:
        super().__init__(settings)
        self.settings = settings
        self.decisions = DecisionLog()
        self.balancer = FlowBalancer(
            codec, self.roster, settings.data_centre, self.counters, self.decisions
        )
        self.roster.listeners.append(self.schedule_forwarding)

    async def start(self) -> Result[None, Failure]:
        """Bind the sockets and start the tasks; on failure, close the sockets again."""
        try:
            self.open_socket()
        except OSError as error:
            return Err(
                Failure("start balancer", str(self.settings.address), str(error))
            )
        try:
            self.packet_socket = DatagramSocket(
                self.settings.packet_address,
                self.handle_packet,
                self.counters,
                self.pause_detector,
            )
        except OSError as error:
            self.socket.close()
            peer = str(self.settings.packet_address)
            return Err(Failure("start balancer", peer, str(error)))
        self.balancer.send = self.socket.send
        self.balancer.send_to_caller = self.send_to_caller_from(self.packet_socket)
        self.tasks = [
            start_supervised(self.announce, "announce"),
            start_supervised(self.run_periodic_tasks, "decisions"),
        ]
        return Ok(None)

    def handle_packet(self, data: bytes, _sender: SocketName) -> None:
        """Forward a caller's packet."""
        self.balancer.handle_packet(data, time.monotonic())

    def apply_table(self) -> None:
        """Use a newer route table for the balancer's routes."""
        self.balancer.apply_routes(self.membership.routes, time.monotonic())
        self.schedule_forwarding()

    def schedule_forwarding(self) -> None:
        """Schedule buffered SYNs for the time when the roster is likely complete."""
        if self.balancer.buffered:
            asyncio.get_running_loop().call_later(
                FORWARD_DELAY_S,
                lambda: self.balancer.forward_buffered(time.monotonic()),
            )

    async def run_periodic_tasks(self) -> None:
        """Reset the limits of log lines and retry buffered SYNs every second."""
        while True:
            self.decisions.reset_limits()
            self.balancer.forward_buffered(time.monotonic())
            await asyncio.sleep(PERIODIC_INTERVAL_S)

    def handle_update(self, data: bytes, sender: SocketName) -> None:
        """Handle a roster update, which may also confirm the route table."""
        super().handle_update(data, sender)
        now = time.monotonic()
        if self.membership.epoch != 0:
            self.balancer.synced_at = min(self.balancer.synced_at, now)
        if self.membership.has_fresh_table(now):
            self.balancer.confirmed_at = now

    async def drain(self) -> None:
        """Keep forwarding packets until routers no longer send any to this process."""
        self.leaving = True
        await asyncio.sleep(ROUTER_REMOVAL_S)

    async def stop(self) -> None:
        """Cancel all tasks and close all sockets."""
        await super().stop()
        self.packet_socket.close()

    def dump(self) -> dict[str, object]:
        """Return the state of the process as JSON values."""
        return {
            "name": self.settings.name,
            "route_table": self.membership.routes.version,
            "routes": len(self.membership.routes.routes),
            "agents": sorted(self.roster.agents),
        }


class FlowAgentRole(MemberProcess):
    """One agent process."""

    settings: FlowAgentSettings
    agent: FlowAgent
    # Socket for packets of the backend server.
    server_socket: DatagramSocket
    # Ends once the backend server has accepted a connection or failed to.
    server_probe: "asyncio.Task[None]"

    def __init__(self, settings: FlowAgentSettings, codec: PacketCodec) -> None:
        super().__init__(settings)
        self.settings = settings
        now = time.monotonic()
        record = AgentRecord(
            settings.name,
            draw_incarnation(),
            1,
            settings.address,
            settings.service,
            settings.data_centre,
            1,
            accepting=False,
            leaving=False,
            subscribes=True,
        )
        self.agent = FlowAgent(
            record,
            codec,
            self.roster,
            BackendServer(settings.service, settings.server_interval_s),
            self.counters,
            now + MAXIMUM_FLOW_AGE_S,
            self.membership.evacuations,
            make_bounds(settings),
            now,
            places=settings.places,
        )
        self.membership.agent = record
        self.roster.listeners.append(lambda: self.agent.apply_roster(time.monotonic()))

    @property
    def is_ready(self) -> bool:
        """Whether this process has a roster and is not stopping."""
        return self.membership.epoch != 0 and not self.leaving

    async def start(self) -> Result[None, Failure]:
        """Bind the sockets and start the tasks; on failure, close the sockets again."""
        try:
            self.open_socket()
        except OSError as error:
            return Err(Failure("start agent", str(self.settings.address), str(error)))
        try:
            self.server_socket = DatagramSocket(
                self.settings.outbound_address,
                self.handle_server_packet,
                self.counters,
                self.pause_detector,
                # Answers are still useful after a pause, though late.
                keep_after_pause=True,
            )
        except OSError as error:
            self.socket.close()
            peer = str(self.settings.outbound_address)
            return Err(Failure("start agent", peer, str(error)))
        server = self.settings.server_address
        send = self.server_socket.send
        self.agent.connect(
            self.socket.send,
            self.send_to_caller_from(self.socket),
            lambda data: send(data, server),
            self.announce_change,
            self.schedule_report,
        )
        self.server_probe = start_task(self.probe_server(), "look for server")
        self.tasks = [
            start_supervised(self.announce, "announce"),
            start_supervised(self.run_timers, "timers"),
            self.server_probe,
        ]
        return Ok(None)

    async def probe_server(self) -> None:
        """Check by a connection whether the backend server runs.

        After this process and the backend server restarted together, the next
        announcement may be more than a second away.
        """
        try:
            async with asyncio.timeout(SERVER_CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*self.settings.server_address)
        except ConnectionRefusedError:
            log.info("no backend server yet", error="connection refused")
            # All flows of a server that starts from now on open through this process.
            self.agent.delivery.flows_complete_since = time.monotonic()
            self.agent.guard.limit.clear_quota()
            return
        except (OSError, TimeoutError) as error:
            log.info("no backend server yet", error=repr(error))
            return
        writer.close()
        log.info("backend server listens")
        self.agent.server.record_connection(time.monotonic())

    def handle_announcement(self, announcement: ServerAnnouncement) -> None:
        """Handle an announcement of the backend server."""
        # The server runs on this host and reads the same clock. If the clock was set
        # forward since its start, flows that it has lost are reset when it rejects
        # their packets.
        age_s = max(time.time() - announcement.born_ms / MS_PER_S, 0.0)
        self.agent.handle_announcement(announcement, time.monotonic(), age_s)

    def handle_leave(self, server_id: str, born_ms: int | None) -> None:
        """Handle the backend server's message that it stops."""
        self.agent.handle_leave(server_id, born_ms, time.monotonic())

    def announce_change(self) -> None:
        """Announce this agent's changed record to all controllers immediately."""
        self.membership.agent = self.agent.record
        self.membership.announce(time.monotonic(), immediate=True)

    def handle_flow_datagram(self, kind: Kind, data: bytes, sender: SocketName) -> None:
        """Handle a datagram about flows."""
        self.agent.handle_datagram(kind, data, sender, time.monotonic())

    def handle_server_packet(self, data: bytes, _sender: SocketName) -> None:
        """Handle a packet of the backend server."""
        self.agent.handle_server_packet(data, time.monotonic())

    def apply_evacuations(self, now: float) -> None:
        """Apply newer evacuations to the agent's flows and reports."""
        self.agent.apply_evacuations(now)

    def apply_table(self) -> None:
        """Apply the routes and the idle timeout of a newer route table."""
        self.agent.apply_routes(self.membership.routes, time.monotonic())

    def schedule_report(self, delay_s: float) -> None:
        """Report the load after a delay, if it has not been reported by then."""
        asyncio.get_running_loop().call_later(
            delay_s, lambda: self.agent.report_load_if_due(time.monotonic())
        )

    async def run_timers(self) -> None:
        """Run the agent's timers for as long as the process runs."""
        while True:
            await asyncio.sleep(self.agent.tick(time.monotonic()))

    async def drain(self) -> None:
        """Stop accepting flows; return once no flow is open or the time is up.

        Until the other processes know that this agent leaves, it forwards the packets
        of flows that it owns.
        """
        self.leaving = True
        started_at = time.monotonic()
        self.agent.leave(started_at)
        deadline = started_at + self.settings.grace_s - STOP_MARGIN_S
        await asyncio.sleep(min(LEAVE_NOTICE_S, deadline - started_at))
        while self.agent.flows.list_active() and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Cancel all tasks and close all sockets."""
        await super().stop()
        self.server_socket.close()

    def dump(self) -> dict[str, object]:
        """Return the state of the process as JSON values."""
        return {
            "name": self.settings.name,
            "route_table": self.membership.routes.version,
            "agents": sorted(self.roster.agents),
            **self.agent.dump(),
        }

    def answer_explanation(self, query: str) -> Response:
        """Return where the flow that a query string describes would be placed now."""
        routes = self.membership.routes
        return answer_explanation(self.agent.owner, routes, query, time.monotonic())


def make_bounds(settings: FlowAgentSettings) -> WarmUpBounds | None:
    """Return the bounds for a cold backend server, or None if none are set."""
    overshoot, slack = settings.cold_overshoot, settings.cold_slack
    if overshoot is None and slack is None:
        return None
    return WarmUpBounds(1.0 if overshoot is None else overshoot, slack or 0.0)
