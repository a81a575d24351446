"""Simulation of callers, routers and backend servers with real balancers and agents.

Time is virtual and random numbers are seeded, so a run is reproducible. Callers
retransmit their SYNs and retry requests like those of the platform. Backend servers run
requests in slots, queue a few more and reject the rest.
"""

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from itertools import count

from lentilfork.bench.emulation.clock import VirtualClock
from lentilfork.counters import Counters
from lentilfork.forwarding.agent import FlowAgent
from lentilfork.forwarding.backend_server import BackendServer
from lentilfork.forwarding.backend_server import ServerAnnouncement
from lentilfork.forwarding.backend_server import ServerState
from lentilfork.forwarding.balancer import FlowBalancer
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.delivery import MAXIMUM_FLOW_AGE_S
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import decode_envelope
from lentilfork.forwarding.envelopes import read_kind
from lentilfork.forwarding.packets import PacketFlags
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.routes import RouteIndex
from lentilfork.forwarding.routes import index_routes
from lentilfork.platform.header import HEADER
from lentilfork.platform.header import HeaderCodec
from lentilfork.scheduling import EvacuationView
from lentilfork.scheduling import WarmUpBounds
from lentilfork.scheduling import WarmUpRate
from lentilfork.schema import state_pb2
from lentilfork.state.model import DEFAULT_TRANSFER_COST
from lentilfork.state.model import TransferCost

SERVICE = "chairs"
ADDRESS = 0xC6120001
PORT = 443
DATA_CENTRES = ("north", "south", "west")
DELAY_S = 0.0003
FAR_DELAY_S = 0.0012
CALLER_DELAY_S = 0.003
SYN_RETRANSMISSIONS_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
RETRANSMIT_S = 0.2
SYN_BIT, ACK_BIT, RST_BIT, FIN_BIT, REJECTED_BIT = 4, 2, 8, 32, 16
SERVER_QUEUE = 12
REQUEST = b"request"
# Factor on the time of requests while a server is cold.
COLD_SLOWDOWN = 1.7
FAILURE_RESPONSE = b"HTTP/1.1 500 Internal Server Error"
CODEC = HeaderCodec()


def make_packet(
    source: tuple[int, int],
    destination: tuple[int, int],
    flags: int,
    sequence: int = 0,
    acknowledgement: int = 0,
    payload: bytes = b"",
    tag: int = 0,
) -> bytes:
    """Return a packet in the platform's format."""
    header = HEADER.pack(
        tag,
        destination[1],
        destination[0],
        source[0],
        source[1],
        sequence,
        acknowledgement,
        1,
        flags,
        len(payload),
    )
    return header + payload


def make_routes(
    version: int,
    weights: dict[str, int],
    *,
    target_ms: int = 100,
    deadline_ms: int = 1000,
    former: Sequence[str] | None = None,
) -> RouteIndex:
    """Return a table with one route to services with the given weights.

    `former` names the services that the route had before; None if that isn't known.
    """
    return index_routes(
        state_pb2.RouteTable(
            version=version,
            has_history=former is not None,
            routes=[
                state_pb2.Route(
                    address=ADDRESS,
                    port=PORT,
                    targets=[
                        state_pb2.Target(service=service, weight=weight)
                        for service, weight in weights.items()
                    ],
                    deadline_ms=deadline_ms,
                    target_ms=target_ms,
                    priority=1,
                    former=[
                        state_pb2.FormerService(service=service)
                        for service in former or ()
                    ],
                )
            ],
        )
    )


@dataclass
class Attempt:
    """One attempt at a request, which uses its own flow."""

    request: "Request"
    port: int
    sequence: int | None = None
    ended: bool = False
    # Bytes of the requests and of the answers before the current request.
    sent: int = 0
    answered: int = 0
    # Number of answers received on this flow.
    answers: int = 0
    # Data centres of the servers that ran its requests.
    served_in: set[str] = field(default_factory=set)

    @property
    def caller(self) -> tuple[int, int]:
        """The caller's address and port."""
        return self.request.address or self.port, self.port


@dataclass
class Request:
    """One request of a caller and its outcome."""

    data_centre: str
    at_s: float
    work_s: float
    deadline_s: float
    answered_s: float | None = None
    tries: int = 0
    refused: int = 0
    runs: int = 0
    # Address and port of its route.
    route: tuple[int, int] = (ADDRESS, PORT)
    # The caller's address; each attempt has its own if it is 0.
    address: int = 0
    # Seconds after its first attempt at which each refusal arrived.
    refusals_s: list[float] = field(default_factory=list)
    # Requests that follow on the same flow, each sent when the one before is answered.
    following: list["Request"] = field(default_factory=list)
    # Requests that are sent on one flow, each this long after the last answer.
    rounds: int = 1
    pause_s: float = 0.05
    answer_bytes: int = 6
    request_bytes: int = 7
    # Time of the first answer.
    first_answered_s: float | None = None

    @property
    def latency_s(self) -> float:
        """Time from the first attempt to the answer; infinite without an answer."""
        if self.answered_s is None:
            return float("inf")
        return self.answered_s - self.at_s


@dataclass
class Server:
    """Backend server with slots, a short queue and its open flows."""

    host: "AgentHost"
    speed: float
    slots: int
    flows: dict[tuple[int, int], int] = field(default_factory=dict)
    # Ports and sequence numbers of requests that arrived; later copies are not run.
    received: set[tuple[int, int]] = field(default_factory=set)
    running: int = 0
    queue: list[Attempt] = field(default_factory=list)
    busy_s: float = 0.0
    down: bool = False
    # Share of requests that fail immediately, although the server announces it is
    # ready.
    failing_share: float = 0.0
    # Number of rejected packets.
    rejected: int = 0
    # Times at which SYNs arrived, and whether the server was cold then.
    syns: list[tuple[float, bool]] = field(default_factory=list)

    def handle_packet(self, data: bytes) -> None:
        """Handle a packet from the agent."""
        if self.down:
            return
        packet = CODEC.parse(data)
        assert packet is not None
        caller = (packet.source, packet.source_port)
        if packet.is_opening:
            now = self.host.world.clock.now
            self.syns.append((now, now < self.host.cold_until))
            queue = self.host.world.server_queue
            full = len(self.queue) + self.running >= self.slots + queue
            if full and caller not in self.flows:
                self.reject(data)
                return
            sequence = self.flows.setdefault(
                caller, self.host.world.rng.getrandbits(32)
            )
            self.send_packet(caller, SYN_BIT | ACK_BIT, sequence)
        elif caller not in self.flows:
            self.reject(data)
        elif (
            packet.payload_bytes
            and (packet.source_port, packet.sequence) not in self.received
        ):
            self.received.add((packet.source_port, packet.sequence))
            self.run_request(self.host.world.attempts[packet.source_port])

    def reject(self, data: bytes) -> None:
        """Return a packet to the agent as rejected."""
        self.rejected += 1
        returned = bytearray(data)
        returned[28] |= REJECTED_BIT
        self.host.call_later(lambda: self.host.receive_from_server(bytes(returned)))

    def send_packet(
        self, caller: tuple[int, int], flags: int, sequence: int, payload: bytes = b""
    ) -> None:
        """Send a packet to a caller."""
        route = self.host.world.attempts[caller[1]].request.route
        data = make_packet(route, caller, flags, sequence, 0, payload)
        self.host.call_later(lambda: self.host.receive_from_server(data))

    def send_answer(self, attempt: Attempt, payload: bytes) -> None:
        """Send an answer; the packet that ends the flow overtakes the payload."""
        caller = attempt.caller
        sequence = self.flows.get(caller, 0) + 1 + attempt.answered
        last = attempt.answers + 1 >= attempt.request.rounds
        if last and not attempt.request.following:
            self.send_packet(caller, ACK_BIT | FIN_BIT, sequence + len(payload))
        self.send_packet(caller, ACK_BIT, sequence, payload)

    def run_request(self, attempt: Attempt) -> None:
        """Run a request as soon as a slot is free, or fail it."""
        if self.host.world.rng.random() < self.failing_share:
            self.send_answer(attempt, FAILURE_RESPONSE)
            return
        if self.running >= self.slots:
            self.queue.append(attempt)
            return
        self.running += 1
        attempt.request.runs += 1
        attempt.served_in.add(self.host.data_centre)
        work_s = attempt.request.work_s / self.speed
        if self.host.world.clock.now < self.host.cold_until:
            work_s *= COLD_SLOWDOWN
        self.busy_s += work_s
        self.host.world.clock.call_in(work_s, lambda: self.finish_request(attempt))

    def finish_request(self, attempt: Attempt) -> None:
        """Answer a request and start the next one in the queue."""
        self.running -= 1
        if self.down:
            return
        self.send_answer(attempt, b"answer".ljust(attempt.request.answer_bytes))
        if self.queue:
            self.run_request(self.queue.pop(0))


class AgentHost:
    """Host of an agent and its backend server."""

    def __init__(
        self,
        world: "World",
        name: str,
        data_centre: str,
        speed: float,
        slots: int,
        service: str = SERVICE,
        incarnation: int = 1,
    ) -> None:
        self.world = world
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.address = (name, 1)
        self.server = Server(self, speed, slots)
        self.down = False
        self.roster = Roster()
        record = AgentRecord(
            name,
            incarnation,
            1,
            self.address,
            service,
            data_centre,
            slots,
            accepting=False,
            leaving=False,
            subscribes=True,
        )
        self.agent = FlowAgent(
            record,
            CODEC,
            self.roster,
            BackendServer(service, 1.0),
            Counters(),
            0.0,
            EvacuationView(awaits_majority=world.awaits_majority),
            world.bounds,
            world.clock.now,
            places=world.places,
        )
        self.agent.guard.limit.apply_rate(world.rate)
        self.agent.owner.placement.transfer_cost = world.transfer_cost
        self.agent.connect(
            self.send,
            self.send_to_caller,
            self.send_to_server,
            world.schedule_roster_update,
            self.schedule_report,
        )
        self.sequence = count(1)
        self.draining = False
        self.cold_until = 0.0

    def call_later(self, call: Callable[[], None]) -> None:
        """Schedule a call after the delay within the host."""
        self.world.clock.call_in(0.00005, call)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram to another host."""
        if not self.down:
            self.world.send(data, self.address, self.data_centre, address)

    def send_to_caller(self, data: bytes, address: int) -> None:
        """Send a packet to a caller, which is in the data centre of its balancer."""
        if not self.down:
            self.world.count_answer(data, self.data_centre)
            self.world.send_to_caller(data, address)

    def send_to_server(self, data: bytes) -> None:
        """Deliver a packet to the backend server."""
        self.call_later(lambda: self.server.handle_packet(data))

    def receive_from_server(self, data: bytes) -> None:
        """Pass a packet of the backend server to the agent."""
        if not self.down:
            self.agent.handle_server_packet(data, self.world.clock.now)

    def handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Pass a datagram to the agent."""
        kind = read_kind(data)
        if not self.down and kind is not None:
            self.agent.handle_datagram(kind, data, sender, self.world.clock.now)

    def tick(self) -> None:
        """Run the agent's timers periodically."""
        if not self.down:
            delay_s = self.agent.tick(self.world.clock.now)
            self.world.clock.call_in(delay_s, self.tick)

    def schedule_report(self, delay_s: float) -> None:
        """Report the load after a delay, if it has not been reported by then."""
        clock = self.world.clock
        clock.call_in(delay_s, lambda: self.agent.report_load_if_due(clock.now))

    def announce_server(self) -> None:
        """Announce the backend server to the agent every second."""
        if self.down or self.server.down:
            return
        now = self.world.clock.now
        state = ServerState.DRAINING if self.draining else ServerState.READY
        cold_ms = max(0, round((self.cold_until - now) * 1000))
        announcement = ServerAnnouncement(
            self.name,
            1,
            next(self.sequence),
            self.service,
            self.server.slots,
            state,
            cold_ms,
        )
        self.agent.handle_announcement(announcement, now)
        self.world.clock.call_in(1.0, self.announce_server)


class World:
    """Simulated deployment in virtual time."""

    # Limits of cold servers; None: there are none.
    bounds: WarmUpBounds | None = None
    rate: WarmUpRate | None = None
    # Whether agents wait for the evacuations of a majority of controllers.
    awaits_majority = False

    def __init__(
        self,
        speeds: list[float],
        slots: int = 1,
        seed: int = 1,
        routes: RouteIndex | None = None,
        server_queue: int = SERVER_QUEUE,
        *,
        places: bool = False,
        transfer_cost: TransferCost = DEFAULT_TRANSFER_COST,
        target_ms: int = 100,
        deadline_ms: int = 1000,
    ) -> None:
        self.places = places
        self.transfer_cost = transfer_cost
        # Requests that a backend server queues before it rejects SYNs.
        self.server_queue = server_queue
        self.routes = routes or make_routes(
            1, {SERVICE: 1}, target_ms=target_ms, deadline_ms=deadline_ms
        )
        # Pairs of data centres whose links are cut, and data centres whose load
        # reports are lost on their way to other ones.
        self.cut_links: set[frozenset[str]] = set()
        self.silent: set[str] = set()
        # Bytes and packets of flows between data centres, by port of the caller.
        self.crossing_bytes: Counter[int] = Counter()
        self.crossing_packets: Counter[int] = Counter()
        self.crossing_report_bytes = 0
        self.rng = random.Random(seed)
        self.clock = VirtualClock()
        self.hosts: dict[str, AgentHost] = {}
        self.balancers: dict[str, list[FlowBalancer]] = {}
        self.requests: list[Request] = []
        self.attempts: dict[int, Attempt] = {}
        self.ports = count(10_000)
        self.lost: set[str] = set()
        self.resets_of_open_flows = 0
        for data_centre in DATA_CENTRES:
            self.balancers[data_centre] = [
                self.make_balancer(data_centre) for _ in range(3)
            ]
        for number, speed in enumerate(speeds):
            self.add_host(
                f"agent-{number}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                speed,
                slots,
                after_start=False,
            )
        self.schedule_roster_update()
        self.clock.run(0.5)

    def make_balancer(self, data_centre: str) -> FlowBalancer:
        """Return a balancer with the routes of this world."""
        balancer = FlowBalancer(CODEC, Roster(), data_centre, Counters(), DecisionLog())
        balancer.routes = self.routes

        def send(data: bytes, address: tuple[str, int]) -> None:
            self.send(data, (data_centre, 0), data_centre, address)

        balancer.send = send
        balancer.send_to_caller = self.send_to_caller
        return balancer

    def add_host(
        self,
        name: str,
        data_centre: str,
        speed: float,
        slots: int,
        *,
        service: str = SERVICE,
        after_start: bool = True,
    ) -> AgentHost:
        """Add a host with an agent and a backend server."""
        host = AgentHost(self, name, data_centre, speed, slots, service)
        self.hosts[name] = host
        host.announce_server()
        host.tick()
        if after_start:
            self.schedule_roster_update()
        return host

    def restart_agent(self, name: str) -> AgentHost:
        """Replace the agent of a host, whose backend server keeps running.

        The new process has an empty table of flows and no routes.
        """
        former = self.hosts[name]
        former.down = True
        host = AgentHost(
            self,
            name,
            former.data_centre,
            former.server.speed,
            former.server.slots,
            former.service,
            former.agent.record.incarnation + 1,
        )
        host.server = former.server
        host.server.host = host
        host.cold_until = former.cold_until
        host.agent.delivery.flows_complete_since = self.clock.now + MAXIMUM_FLOW_AGE_S
        self.hosts[name] = host
        host.announce_server()
        host.tick()
        self.schedule_roster_update()
        return host

    def schedule_roster_update(self) -> None:
        """Schedule an update of all rosters after a short delay."""
        self.clock.call_in(0.05, self.update_rosters)

    def update_rosters(self) -> None:
        """Replace the rosters of all agents and balancers."""
        records = [
            replace(host.agent.record, lost=name in self.lost)
            for name, host in self.hosts.items()
        ]
        for host in self.hosts.values():
            host.roster.replace(records)
            host.agent.apply_roster(self.clock.now)
        for balancers in self.balancers.values():
            for balancer in balancers:
                balancer.roster.replace(records)

    def send(
        self,
        data: bytes,
        sender: tuple[str, int],
        data_centre: str,
        address: tuple[str, int],
    ) -> None:
        """Transmit a datagram between hosts."""
        host = self.hosts.get(address[0])
        if host is None:
            return
        is_far = host.data_centre != data_centre
        if is_far and self.loses(data, data_centre, host.data_centre):
            return
        if is_far:
            self.count_crossing(data)
        delay_s = FAR_DELAY_S if is_far else DELAY_S
        self.clock.call_in(delay_s, lambda: host.handle_datagram(data, sender))

    def loses(self, data: bytes, sender: str, receiver: str) -> bool:
        """Return whether a datagram between two data centres is lost."""
        return frozenset((sender, receiver)) in self.cut_links or (
            sender in self.silent and read_kind(data) is Kind.LOAD
        )

    def count_crossing(self, data: bytes) -> None:
        """Count a datagram between two data centres."""
        if read_kind(data) in {Kind.ROUTE, Kind.DELIVER, Kind.SEARCH_BACK}:
            envelope = decode_envelope(data)
            packet = CODEC.parse(envelope.data) if envelope else None
            assert packet is not None
            self.crossing_bytes[packet.source_port] += len(data)
            self.crossing_packets[packet.source_port] += 1
        elif read_kind(data) is Kind.LOAD:
            self.crossing_report_bytes += len(data)

    def count_answer(self, data: bytes, data_centre: str) -> None:
        """Count a packet from a host to a caller if it crosses data centres."""
        packet = CODEC.parse(data)
        assert packet is not None
        port = packet.destination_port
        attempt = self.attempts.get(port)
        if attempt and attempt.request.data_centre != data_centre:
            self.crossing_bytes[port] += len(data)
            self.crossing_packets[port] += 1

    def send_to_caller(self, data: bytes, _address: int) -> None:
        """Transmit a packet to its caller."""
        self.clock.call_in(CALLER_DELAY_S, lambda: self.handle_packet(data))

    def send_from_caller(self, data_centre: str, data: bytes) -> None:
        """Transmit a caller's packet to a random balancer of its data centre."""
        balancers = self.balancers[data_centre]
        balancer = self.rng.choice(balancers)
        self.clock.call_in(
            CALLER_DELAY_S, lambda: balancer.handle_packet(data, self.clock.now)
        )

    def add_request(self, request: Request) -> None:
        """Schedule a request of a caller."""
        self.requests.append(request)
        self.clock.call_at(request.at_s, lambda: self.start_attempt(request))

    def start_attempt(self, request: Request) -> None:
        """Open a flow for the next attempt at a request."""
        if self.clock.now > request.at_s + request.deadline_s or request.tries >= 3:
            return
        request.tries += 1
        attempt = Attempt(request, next(self.ports))
        self.attempts[attempt.port] = attempt
        self.send_syn(attempt, 0)
        for number, after_s in enumerate(SYN_RETRANSMISSIONS_S, start=1):
            self.clock.call_in(after_s, partial(self.send_syn, attempt, number))
        self.clock.call_in(SYN_TIMEOUT_S, lambda: self.expire_syn(attempt))

    def send_syn(self, attempt: Attempt, retransmissions: int) -> None:
        """Send a SYN or a retransmission of it, unless the flow is open."""
        if attempt.ended or attempt.sequence is not None:
            return
        route = attempt.request.route
        data = make_packet(attempt.caller, route, SYN_BIT, 7, retransmissions)
        self.send_from_caller(attempt.request.data_centre, data)

    def expire_syn(self, attempt: Attempt) -> None:
        """End an attempt whose flow did not open, and start the next one."""
        if attempt.sequence is None and not attempt.ended:
            attempt.ended = True
            self.start_attempt(attempt.request)

    def handle_packet(self, data: bytes) -> None:
        """Handle a packet that a caller receives."""
        packet = CODEC.parse(data)
        assert packet is not None
        attempt = self.attempts[packet.destination_port]
        if attempt.ended:
            return
        if packet.flags & PacketFlags.RST:
            self.handle_reset(attempt)
        elif packet.flags & PacketFlags.SYN:
            if attempt.sequence is None:
                attempt.sequence = packet.sequence
                self.send_request(attempt, RETRANSMIT_S)
        elif packet.payload_bytes and CODEC.is_failure(packet):
            attempt.ended = True
            self.clock.call_in(0.01, lambda: self.start_attempt(attempt.request))
        elif packet.payload_bytes:
            if attempt.request.following:
                attempt.request.answered_s = self.clock.now
                self.continue_flow(attempt, packet.payload_bytes)
            else:
                self.handle_answer(attempt, packet.payload_bytes)

    def handle_answer(self, attempt: Attempt, answer_bytes: int) -> None:
        """Handle an answer: send the next request on the flow, or end the flow."""
        request = attempt.request
        attempt.answers += 1
        if request.first_answered_s is None:
            request.first_answered_s = self.clock.now
        if attempt.answers < request.rounds:
            attempt.sent += request.request_bytes
            attempt.answered += answer_bytes
            self.clock.call_in(
                request.pause_s, lambda: self.send_request(attempt, RETRANSMIT_S)
            )
        else:
            attempt.ended = True
            request.answered_s = self.clock.now
            self.send_subsequent(attempt, ACK_BIT | FIN_BIT, b"")

    def continue_flow(self, attempt: Attempt, answer_bytes: int) -> None:
        """Send the next request on a flow."""
        attempt.sent += len(REQUEST)
        attempt.answered += answer_bytes
        request = attempt.request.following.pop(0)
        request.following = attempt.request.following
        request.at_s, request.tries = self.clock.now, 1
        attempt.request = request
        self.requests.append(request)
        self.send_request(attempt, RETRANSMIT_S)

    def handle_reset(self, attempt: Attempt) -> None:
        """Handle a reset: start the next attempt."""
        attempt.ended = True
        if attempt.sequence is not None:
            self.resets_of_open_flows += 1
        attempt.request.refused += 1
        attempt.request.refusals_s.append(self.clock.now - attempt.request.at_s)
        self.clock.call_in(0.01, lambda: self.start_attempt(attempt.request))

    def send_request(self, attempt: Attempt, retry_after_s: float) -> None:
        """Send the request, with retransmissions until a server runs it."""
        request = attempt.request
        if attempt.ended or self.clock.now > request.at_s + request.deadline_s:
            return
        if request.runs < request.tries + attempt.answers:
            payload = REQUEST.ljust(request.request_bytes)
            self.send_subsequent(attempt, ACK_BIT, payload)
            self.clock.call_in(
                retry_after_s,
                lambda: (
                    self.send_request(attempt, min(retry_after_s * 2, 1.6))
                    if attempt.request is request
                    else None
                ),
            )

    def send_subsequent(self, attempt: Attempt, flags: int, payload: bytes) -> None:
        """Send a packet of an open flow."""
        assert attempt.sequence is not None
        sequence = 8 + attempt.sent
        acknowledgement = (attempt.sequence + 1 + attempt.answered) % (1 << 32)
        route = attempt.request.route
        data = make_packet(
            attempt.caller, route, flags, sequence, acknowledgement, payload
        )
        self.send_from_caller(attempt.request.data_centre, data)

    def add_load(
        self,
        per_s: float,
        from_s: float,
        until_s: float,
        mean_work_s: float = 0.015,
        data_centres: tuple[str, ...] = DATA_CENTRES,
        deadline_s: float = 1.0,
    ) -> list[Request]:
        """Schedule requests with random arrival times and return them."""
        added = []
        at_s = from_s
        while (at_s := at_s + self.rng.expovariate(per_s)) < until_s:
            work_s = mean_work_s * self.rng.lognormvariate(-0.125, 0.5)
            request = Request(self.rng.choice(data_centres), at_s, work_s, deadline_s)
            self.add_request(request)
            added.append(request)
        return added


def draw_wave(
    rng: random.Random,
    mean_per_s: float,
    amplitude: float,
    period_s: float,
    phase: float,
    from_s: float,
    until_s: float,
) -> list[float]:
    """Return arrival times at a rate that oscillates by a share of its mean.

    `phase` is in periods.
    """
    times = []
    at_s, highest_per_s = from_s, mean_per_s * (1 + amplitude)
    while (at_s := at_s + rng.expovariate(highest_per_s)) < until_s:
        wave = math.sin(2 * math.pi * (at_s / period_s + phase))
        if rng.random() * (1 + amplitude) < 1 + amplitude * wave:
            times.append(at_s)
    return times


def get_percentile(values: list[float], percent: float) -> float:
    """Return the percentile `percent` of values."""
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * percent / 100), len(ordered) - 1)]


def simulate_ideal_queue(requests: list[Request], speeds: list[float]) -> list[float]:
    """Return the latencies of one common queue for all slots.

    A request runs in the fastest free slot, or waits for the first slot to become free.
    """
    free_slots = sorted((-speed, slot) for slot, speed in enumerate(speeds))
    heapq.heapify(free_slots)
    busy_slots: list[tuple[float, int]] = []
    times = []
    for request in sorted(requests, key=lambda item: item.at_s):
        while busy_slots and busy_slots[0][0] <= request.at_s:
            _, slot = heapq.heappop(busy_slots)
            heapq.heappush(free_slots, (-speeds[slot], slot))
        if free_slots:
            starts_at, slot = request.at_s, heapq.heappop(free_slots)[1]
        else:
            starts_at, slot = heapq.heappop(busy_slots)
        ends_at = starts_at + request.work_s / speeds[slot]
        heapq.heappush(busy_slots, (ends_at, slot))
        times.append(ends_at - request.at_s)
    return times


__all__ = [
    "DATA_CENTRES",
    "AgentHost",
    "Request",
    "World",
    "draw_wave",
    "get_percentile",
    "make_packet",
    "make_routes",
    "simulate_ideal_queue",
]
