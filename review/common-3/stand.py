"""Stand-ins of the platform for the cases 11 to 15, written after the platform's pages.

A `Fleet` writes settings files, starts the project's programs with the commands of the
deploy file, and plays the operator. `Endpoint` is a backend server beside an agent,
`Client` a caller. All addresses are loopback addresses; times are of the real clock.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import IO

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("!IHIIHIIIBH")
SYN, ACK, FIN, RST, BOUNCED = 4, 2, 32, 8, 16
MODULUS = 1 << 32
MAXIMUM_DATA = 1_200
ZONES = ("kandy-a", "nuwara-b", "badulla-c")
# Copies of a SYN, and the time at which the client gives up (PROTOCOL, Flows).
SYN_COPIES_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RETRANSMISSION_S = 0.2
MAXIMUM_WAIT_S = 1.6
HEARTBEAT_S = 1.2
# Packets of one end that may be in flight, and retransmissions of an endpoint.
WINDOW = 16
MAXIMUM_TRIES = 8
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "stability_window_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "downgrade_slack_ms": 250,
    "max_stretch_ms": 12000,
    "recovery_s": 12,
    "flow_reorder_ms": 2000,
    "flow_ttl_s": 60,
}


class UnusableError(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """What was sent, answered and run, in `record.txt` of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        print(line, file=self.file, flush=True)


def pack_ip(address: str) -> int:
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(address), "big")


def encode(
    source: tuple[str, int],
    target: tuple[str, int],
    flags: int,
    seq: int,
    ack: int,
    data: bytes = b"",
) -> bytes:
    """Return a packet; the sum only has to survive the way unchanged."""
    total = hash((source, target, flags, seq, ack, data)) % MODULUS or 1
    head = HEADER.pack(
        0,
        target[1],
        pack_ip(target[0]),
        pack_ip(source[0]),
        source[1],
        seq % MODULUS,
        ack % MODULUS,
        total,
        flags,
        len(data),
    )
    return head + data


class Packet:
    """The fields of one packet."""

    def __init__(self, raw: bytes) -> None:
        (
            self.echo,
            dport,
            dst,
            src,
            sport,
            self.seq,
            self.ack,
            self.sum,
            self.flags,
            self.length,
        ) = HEADER.unpack_from(raw)
        self.source = (socket.inet_ntoa(src.to_bytes(4, "big")), sport)
        self.target = (socket.inet_ntoa(dst.to_bytes(4, "big")), dport)
        self.data = raw[HEADER.size :]
        self.raw = raw
        # Address of the machine that it came from, where that is recorded.
        self.sender = ""

    def describe(self) -> str:
        """Return the flags and numbers as text."""
        names = {SYN: "SYN", ACK: "ACK", FIN: "FIN", RST: "RST", BOUNCED: "BOUNCED"}
        flags = "+".join(name for bit, name in names.items() if self.flags & bit)
        return f"{flags or '-'} seq={self.seq} ack={self.ack} len={self.length}"


class Datagrams(asyncio.DatagramProtocol):
    """Passes datagrams to a function."""

    def __init__(self, handle: Callable[[bytes, str], None]) -> None:
        self.handle = handle

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle one datagram with the address of its sender."""
        self.handle(data, sender[0])


async def open_udp(
    address: tuple[str, int], handle: Callable[[bytes, str], None]
) -> asyncio.DatagramTransport:
    """Bind a UDP socket."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Datagrams(handle), local_addr=address
    )
    return transport


async def call_http(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Make one HTTP call; (0, b"") without a response in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status = int((await reader.readline()).split()[1])
            length = 0
            while (line := await reader.readline()) not in {b"\r\n", b""}:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            return status, await reader.readexactly(length)
    except (OSError, TimeoutError, IndexError, ValueError, EOFError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


class Machine:
    """One machine: its address, settings and programs."""

    def __init__(
        self, fleet: "Fleet", name: str, kind: str, zone: str, ip: str
    ) -> None:
        self.fleet = fleet
        self.name = name
        self.kind = kind
        self.zone = zone
        self.ip = ip
        self.counted = False
        self.service = ""
        self.bootstrap = True
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def settings(self, role: str) -> str:
        """Return the settings file of a role."""
        fleet = self.fleet
        listen = {}
        if role != "controller":
            listen["datagram_addr"] = f"{self.ip}:{fleet.datagram_port}"
            listen["readiness_addr"] = f"{self.ip}:{fleet.ready_port}"
        if role != "balancer":
            listen["control"] = f"{self.ip}:{fleet.control_port}"
        serves = {"controller": "control", "balancer": "edge", "agent": "side"}[role]
        values = {
            "node_id": self.name,
            "role": role,
            "machine_class": "side" if role == "agent" else "edge",
            "serves": [serves],
            "ip": self.ip,
            "zone": self.zone,
            "region": "central-hills",
            "internal_ports": [fleet.internal_port, fleet.internal_port + 15],
            "seeds": [f"{ip}:{fleet.control_port}" for ip in fleet.seeds],
            "bootstrap": self.bootstrap,
            "fault_counted": self.counted,
            "discovery": "local",
            "entry_kind": "announce",
            "heartbeat_ms": round(HEARTBEAT_S * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "flows"],
            "config_mode": "highest",
            "hash": "mod",
            "forwarding_mode": "agent",
        }
        if self.counted and role == "controller":
            values["data_dir"] = str(fleet.folder / "data" / self.name)
        if role == "agent":
            values["service"] = self.service
            values["app"] = f"{self.ip}:{fleet.app_port}"
            listen["outbound"] = f"{self.ip}:{fleet.outbound_port}"
        lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        lines += ["[zones]", *(f'{zone} = "central-hills"' for zone in ZONES)]
        lines += ["[listen]", *(f"{k} = {json.dumps(v)}" for k, v in listen.items())]
        lines += ["[fault_tolerance]", "machines = 1", "zones = 0", "regions = 0"]
        lines += ["[bounds]", *(f"{key} = {value}" for key, value in BOUNDS.items())]
        return "\n".join(lines) + "\n"

    async def start(self, role: str) -> None:
        """Start a role with the command of the deploy file."""
        fleet = self.fleet
        path = fleet.folder / f"{self.name}-{role}.toml"
        path.write_text(self.settings(role))
        log = fleet.open_log(self, role)
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LENTILFORK_NODE_FILE"] = str(path)
        self.processes[role] = await asyncio.create_subprocess_exec(
            *fleet.commands[role].split(),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        fleet.record.write(f"started {role} on {self.name} ({self.ip})")

    def signal(self, role: str, number: int) -> None:
        """Send a signal to a role that this case has started."""
        process = self.processes[role]
        if process.returncode is None:
            process.send_signal(number)
            name = signal.Signals(number).name
            self.fleet.record.write(f"sent {name} to {role} on {self.name}")

    async def stop(self, role: str) -> None:
        """Stop a role as planned: SIGTERM, and SIGKILL after `grace_s`."""
        self.signal(role, signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS["grace_s"]):
                await self.processes[role].wait()
        except TimeoutError:
            self.signal(role, signal.SIGKILL)
            await self.processes[role].wait()
        code = self.processes[role].returncode
        self.fleet.record.write(f"{role} on {self.name} ended with {code}")


class Fleet:
    """All machines of one case, and the operator."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.network = f"127.{random.randrange(60, 240)}.{random.randrange(1, 250)}"
        base = random.randrange(21, 27) * 1_000
        self.control_port = base
        self.ready_port = base + 1
        self.datagram_port = base + 2
        self.outbound_port = base + 3
        self.app_port = base + 4
        self.internal_port = base + 100
        self.machines: dict[str, Machine] = {}
        self.seeds: list[str] = []
        self.endpoints: dict[str, Endpoint] = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        self.routes: dict[tuple[str, int], dict[str, object]] = {}
        self.services: list[str] = []
        self.version = 0

    def add(self, name: str, kind: str, zone: str, number: int) -> Machine:
        """Add a machine without starting anything on it."""
        machine = Machine(self, name, kind, zone, f"{self.network}.{number}")
        self.machines[name] = machine
        return machine

    def add_edges(self) -> list[Machine]:
        """Add one counted machine of class edge for each zone; they are the seeds."""
        edges = []
        for index, zone in enumerate(ZONES):
            machine = self.add(f"edge-{zone}-1", "edge", zone, 10 + index)
            machine.counted = True
            edges.append(machine)
        self.seeds = [machine.ip for machine in edges]
        return edges

    def add_side(self, name: str, zone: str, number: int, service: str) -> "Endpoint":
        """Add a machine with an endpoint."""
        machine = self.add(name, "side", zone, number)
        machine.service = service
        self.endpoints[name] = Endpoint(self, machine, service)
        if service not in self.services:
            self.services.append(service)
        return self.endpoints[name]

    def configuration(self) -> bytes:
        """Return the body of the present configuration."""
        body = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{port}",
                    "host": host,
                    "path_prefix": f"/{port}/",
                    "type": "idempotent",
                    "timeout_ms": 1000,
                    "target_latency_ms": 100,
                    "priority": 2,
                    "max_attempts": 2,
                    **target,
                }
                for (host, port), target in self.routes.items()
            ],
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in self.services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        return json.dumps(body).encode()

    def open_log(self, machine: Machine, role: str) -> IO[bytes]:
        """Return the file that a process writes its log to."""
        return (self.folder / f"{machine.name}-{role}.log").open("ab")

    async def put_configuration(self, timeout_s: float = 20.0) -> float:
        """Send the next version until it is acknowledged; return that time."""
        self.version += random.randrange(1, 5)
        body = self.configuration()
        deadline = time.monotonic() + timeout_s
        turn = 0
        while time.monotonic() < deadline:
            ip = self.seeds[turn % len(self.seeds)]
            turn += 1
            status, _ = await call_http(
                (ip, self.control_port), "PUT", "/v1/config", body, 1.0
            )
            if status == 200:
                self.record.write(f"configuration {self.version} acknowledged by {ip}")
                return time.monotonic()
            await asyncio.sleep(min(0.1 * turn, 1.0))
        raise UnusableError("no acknowledgement of the configuration")

    async def wait_ready(self, names: list[str], timeout_s: float = 20.0) -> None:
        """Wait until machines answer the readiness check with 200."""
        deadline = time.monotonic() + timeout_s
        for name in names:
            address = self.machines[name].ip, self.ready_port
            while (await call_http(address, "GET", "/v1/ready"))[0] != 200:
                if time.monotonic() > deadline:
                    raise UnusableError(f"{name} does not get ready")
                await asyncio.sleep(0.1)

    async def wait_listening(
        self, machines: list[Machine], timeout_s: float = 20.0
    ) -> None:
        """Wait until agents accept connections at `control`."""
        deadline = time.monotonic() + timeout_s
        for machine in machines:
            address = machine.ip, self.control_port
            while (await call_http(address, "GET", "/v1/ready"))[0] == 0:
                if time.monotonic() > deadline:
                    raise UnusableError(f"{machine.name} does not listen")
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all processes of this case."""
        for endpoint in self.endpoints.values():
            await endpoint.close()
        running = [
            process
            for machine in self.machines.values()
            for process in machine.processes.values()
            if process.returncode is None
        ]
        for process in running:
            process.kill()
        for process in running:
            await process.wait()


class ServerFlow:
    """A flow at an endpoint."""

    def __init__(self, packet: Packet, number: int) -> None:
        self.client = packet.source
        self.route = packet.target
        self.syn_seq = packet.seq
        self.received = (packet.seq + 1) % MODULUS
        self.number = number
        self.sent = (number + 1) % MODULUS
        self.open = False
        self.opened_at = float("inf")
        self.client_ended = False
        self.ended = False
        # Packets that the client has not acknowledged: end number and packet.
        self.unacknowledged: dict[int, bytes] = {}
        # Data that waits for the window, and whether a FIN follows it.
        self.waiting = b""
        self.ends_after = False
        self.tries = 0
        self.retransmits_at = 0.0
        self.requests = 0


class Endpoint:
    """A backend server: accepts flows, answers requests and sends heartbeats.

    It bounces a SYN while as many requests as it queues wait beside those in its slots,
    and any packet of a flow that it does not hold.
    """

    def __init__(self, fleet: Fleet, machine: Machine, service: str) -> None:
        self.fleet = fleet
        self.machine = machine
        self.service = service
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = 0
        self.sequence = 0
        self.state = "ready"
        self.acknowledged_at: dict[str, float] = {}
        self.flows: dict[tuple[str, int, str, int], ServerFlow] = {}
        # Opening packets taken: time, client port, route.
        self.taken: list[tuple[float, tuple[str, int], tuple[str, int]]] = []
        # Bodies of requests that ran here, with their time.
        self.ran: list[tuple[float, str]] = []
        self.packets: list[tuple[float, Packet]] = []
        self.transport: asyncio.DatagramTransport | None = None
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.heartbeats = True
        self.work_s = 0.015
        self.slots = 2
        self.queue = 8
        self.running = 0
        self.waiting: list[tuple[ServerFlow, str]] = []

    @property
    def name(self) -> str:
        """Name of its machine."""
        return self.machine.name

    async def start(self) -> None:
        """Begin to listen and to send heartbeats."""
        address = self.machine.ip, self.fleet.app_port
        self.born = round(time.time() * 1000)
        self.transport = await open_udp(address, self.handle)
        self.server = await asyncio.start_server(self.serve_health, *address)
        self.tasks.append(asyncio.create_task(self.run_heartbeats()))
        self.tasks.append(asyncio.create_task(self.run_retransmissions()))
        self.fleet.record.write(f"endpoint {self.id} started on {self.name}")

    async def serve_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a health check."""
        try:
            await reader.readuntil(b"\r\n\r\n")
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def send_heartbeat(self, state: str | None = None) -> int:
        """Send one heartbeat; return the status of the response, 0 without one."""
        self.sequence += 1
        sent_state = state or self.state
        body = {
            "service": self.service,
            "address": f"{self.machine.ip}:{self.fleet.app_port}",
            "zone": self.machine.zone,
            "version": "v1",
            "concurrency_limit": 2,
            "state": sent_state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        control = self.machine.ip, self.fleet.control_port
        status, _ = await call_http(
            control, "PUT", f"/v1/instances/{self.id}", json.dumps(body).encode()
        )
        if status == 200 and sent_state not in self.acknowledged_at:
            self.acknowledged_at[sent_state] = time.monotonic()
            self.fleet.record.write(
                f"endpoint {self.id} on {self.name}: '{sent_state}' acknowledged"
            )
        return status

    async def run_heartbeats(self) -> None:
        """Send heartbeats periodically."""
        while True:
            if self.heartbeats:
                status = await self.send_heartbeat()
                if status == 0:
                    await asyncio.sleep(0.2)
                    continue
            await asyncio.sleep(HEARTBEAT_S)

    async def run_retransmissions(self) -> None:
        """Send packets again that the client has not acknowledged."""
        while True:
            await asyncio.sleep(RETRANSMISSION_S / 4)
            now = time.monotonic()
            for key, flow in list(self.flows.items()):
                if not flow.unacknowledged or now < flow.retransmits_at:
                    continue
                wait_s = min(RETRANSMISSION_S * 2 ** (flow.tries + 1), MAXIMUM_WAIT_S)
                flow.retransmits_at = now + wait_s
                flow.tries += 1
                if flow.tries > MAXIMUM_TRIES:
                    del self.flows[key]
                for packet in list(flow.unacknowledged.values()):
                    self.send(packet)

    async def drain(self) -> None:
        """Report `draining` until it is acknowledged."""
        self.state = "draining"
        while await self.send_heartbeat() != 200:
            await asyncio.sleep(0.1)

    def send(self, data: bytes) -> None:
        """Send a packet to the node on this machine."""
        assert self.transport is not None
        if not self.transport.is_closing():
            self.transport.sendto(data, (self.machine.ip, self.fleet.outbound_port))

    def handle(self, data: bytes, _sender: str) -> None:
        """Handle a packet of a client."""
        packet = Packet(data)
        self.packets.append((time.monotonic(), packet))
        key = (*packet.source, *packet.target)
        flow = self.flows.get(key)
        if packet.flags & (SYN | ACK) == SYN:
            self.handle_syn(key, flow, packet)
        elif flow is None or packet.flags & RST:
            if flow is not None:
                del self.flows[key]
            elif not packet.flags & RST:
                self.bounce(packet)
        else:
            self.handle_subsequent(flow, packet)

    def bounce(self, packet: Packet) -> None:
        """Return a packet to the node on this machine."""
        flags = bytes((packet.flags | BOUNCED,))
        self.send(packet.raw[:28] + flags + packet.raw[29:])

    def handle_syn(
        self,
        key: tuple[str, int, str, int],
        flow: ServerFlow | None,
        packet: Packet,
    ) -> None:
        """Answer a SYN; one with another number begins another flow."""
        if flow is None or flow.syn_seq != packet.seq:
            if len(self.waiting) >= self.queue:
                self.bounce(packet)
                return
            flow = ServerFlow(packet, random.getrandbits(32))
            self.flows[key] = flow
            self.taken.append((time.monotonic(), packet.source, packet.target))
            self.fleet.record.write(
                f"endpoint {self.id} on {self.name} ({self.state}) took the SYN of "
                f"{packet.source[0]}:{packet.source[1]} seq={packet.seq}"
            )
        self.send(
            encode(flow.route, flow.client, SYN | ACK, flow.number, flow.syn_seq + 1)
        )

    def handle_subsequent(self, flow: ServerFlow, packet: Packet) -> None:
        """Handle a packet of a flow that is held here."""
        if not flow.open:
            if packet.ack != (flow.number + 1) % MODULUS:
                return
            flow.open = True
            flow.opened_at = time.monotonic()
        for end in list(flow.unacknowledged):
            if (packet.ack - end) % MODULUS < MODULUS // 2:
                del flow.unacknowledged[end]
                flow.tries = 0
                flow.retransmits_at = time.monotonic() + RETRANSMISSION_S
        self.pump(flow)
        if packet.data and packet.seq == flow.received:
            flow.received = (flow.received + len(packet.data)) % MODULUS
            flow.requests += 1
            text = packet.data.decode(errors="replace")
            self.waiting.append((flow, text))
            self.run_next()
            self.ran.append((time.monotonic(), text.split("\r\n", 1)[0]))
            self.fleet.record.write(
                f"endpoint {self.id} on {self.name} ({self.state}) runs "
                f"{text.splitlines()[0]}"
            )
        end_seq = packet.seq + len(packet.data)
        if packet.flags & FIN and end_seq % MODULUS == flow.received:
            flow.received = (flow.received + 1) % MODULUS
            flow.client_ended = True
            if not flow.ended:
                self.finish(flow)
        if packet.data or packet.flags & FIN:
            self.send(encode(flow.route, flow.client, ACK, flow.sent, flow.received))

    def run_next(self) -> None:
        """Begin to work on the next request if a slot is free."""
        if self.running < self.slots and self.waiting:
            self.running += 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.work_s, self.answer, *self.waiting.pop(0))

    def answer(self, flow: ServerFlow, text: str) -> None:
        """Answer a request; a draining endpoint closes the flow after it."""
        self.running -= 1
        self.run_next()
        path = text.split(" ", 2)[1] if " " in text else "?"
        body = f"{path} {self.id} ".encode()
        if path.startswith("/bytes-"):
            # A download of the given size.
            body = body.ljust(int(path.split("-")[1]), b".")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n"
        head += f"Server-Seal: {self.id}\r\n\r\n"
        flow.waiting += head.encode() + body
        if self.state == "draining":
            flow.ends_after = True
        self.pump(flow)

    def pump(self, flow: ServerFlow) -> None:
        """Send what the window of 16 packets allows."""
        while flow.waiting and len(flow.unacknowledged) < WINDOW:
            data, flow.waiting = (
                flow.waiting[:MAXIMUM_DATA],
                flow.waiting[MAXIMUM_DATA:],
            )
            packet = encode(
                flow.route, flow.client, ACK, flow.sent, flow.received, data
            )
            flow.sent = (flow.sent + len(data)) % MODULUS
            self.keep(flow, packet)
        if flow.ends_after and not flow.waiting:
            self.finish(flow)

    def finish(self, flow: ServerFlow) -> None:
        """Send a FIN."""
        if flow.ended:
            return
        flow.ended = True
        packet = encode(flow.route, flow.client, ACK | FIN, flow.sent, flow.received)
        flow.sent = (flow.sent + 1) % MODULUS
        self.keep(flow, packet)

    def keep(self, flow: ServerFlow, packet: bytes) -> None:
        """Send a packet, and again until the client has acknowledged it."""
        if not flow.unacknowledged:
            flow.tries = 0
            flow.retransmits_at = time.monotonic() + RETRANSMISSION_S
        flow.unacknowledged[flow.sent] = packet
        self.send(packet)

    async def close(self) -> None:
        """Stop; nothing is sent any more."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()
        if self.transport is not None:
            self.transport.close()
        if self.server is not None:
            self.server.close()


class Client:
    """A caller at one address; its flows differ by their ports."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet = fleet
        self.ip = f"{fleet.network}.{number}"
        self.flows: dict[tuple[int, str, int], ClientFlow] = {}
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Begin to listen at the port that packets for clients are sent to."""
        address = self.ip, self.fleet.datagram_port
        self.transport = await open_udp(address, self.handle)

    def handle(self, data: bytes, sender: str) -> None:
        """Pass a packet to its flow."""
        packet = Packet(data)
        packet.sender = sender
        flow = self.flows.get((packet.target[1], *packet.source))
        if flow is not None:
            flow.handle(packet)

    def send(self, data: bytes, balancer: Machine) -> None:
        """Send a packet through a balancer, as the platform's routers do."""
        assert self.transport is not None
        self.transport.sendto(data, (balancer.ip, self.fleet.datagram_port))

    def close(self) -> None:
        """Stop listening."""
        if self.transport is not None:
            self.transport.close()


class ClientFlow:
    """One flow of a client, which carries requests one after the other."""

    def __init__(
        self,
        client: Client,
        port: int,
        route: tuple[str, int],
        choose_balancer: Callable[[], Machine],
    ) -> None:
        self.client = client
        self.port = port
        self.route = route
        self.choose_balancer = choose_balancer
        self.first = random.getrandbits(32)
        self.sent = (self.first + 1) % MODULUS
        self.received: int | None = None
        self.server_first = 0
        self.buffer = bytearray()
        self.needed: int | None = None
        self.unconfirmed = 0
        self.reset_at: float | None = None
        self.reset: Packet | None = None
        self.server_ended = False
        self.changed = asyncio.Event()
        client.flows[port, *route] = self

    @property
    def source(self) -> tuple[str, int]:
        """Its end's address and port."""
        return self.client.ip, self.port

    def send(self, flags: int, seq: int, ack: int, data: bytes = b"") -> None:
        """Send one packet."""
        packet = encode(self.source, self.route, flags, seq, ack, data)
        self.client.send(packet, self.choose_balancer())

    def handle(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        if packet.flags & RST:
            if self.reset_at is None:
                self.reset_at, self.reset = time.monotonic(), packet
                self.client.fleet.record.write(
                    f"client port {self.port} got a reset: {packet.describe()} "
                    f"sum={packet.sum}"
                )
        elif packet.flags & SYN:
            if self.received is None and packet.ack == (self.first + 1) % MODULUS:
                self.server_first = packet.seq
                self.received = (packet.seq + 1) % MODULUS
                self.send(ACK, self.sent, self.received)
        elif self.received is not None:
            in_order = bool(packet.data) and packet.seq == self.received
            if in_order:
                self.received = (self.received + len(packet.data)) % MODULUS
                self.buffer += packet.data
                self.unconfirmed += 1
            end = (packet.seq + len(packet.data)) % MODULUS
            if packet.flags & FIN and end == self.received and not self.server_ended:
                self.received = (self.received + 1) % MODULUS
                self.server_ended = True
            full = in_order and len(packet.data) == MAXIMUM_DATA
            if packet.flags & FIN or (
                packet.data and not (full and self.unconfirmed < 2)
            ):
                self.unconfirmed = 0
                self.send(ACK, self.sent, self.received)
            if full and not self.has_answer():
                return
        self.changed.set()

    def has_answer(self) -> bool:
        """Return whether the answer to the last request is complete."""
        if self.needed is None:
            head, separator, _ = self.buffer.partition(b"\r\n\r\n")
            if not separator:
                return False
            length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            self.needed = len(head) + len(separator) + length
        return len(self.buffer) >= self.needed

    async def wait(self, until: float, condition: Callable[[], bool]) -> bool:
        """Wait until a condition holds or the time is up."""
        while not condition():
            self.changed.clear()
            left = until - time.monotonic()
            if left <= 0:
                return False
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                return condition()
        return True

    async def open(self) -> bool:
        """Open the flow, with copies of the SYN; return whether it is open."""
        started = time.monotonic()

        def is_decided() -> bool:
            return self.received is not None or self.reset_at is not None

        for copy, at in enumerate((0.0, *SYN_COPIES_S)):
            await self.wait(started + at, is_decided)
            if is_decided():
                break
            self.send(SYN, self.first, copy)
        await self.wait(started + OPENING_TIMEOUT_S, is_decided)
        return self.received is not None

    async def request(self, path: str, timeout_s: float = 1.0) -> bytes | None:
        """Send a request; return the answer, None without one in time."""
        assert self.received is not None
        data = (
            f"GET {path} HTTP/1.1\r\nHost: h\r\nAttempt-Id: {path[1:]}\r\n\r\n".encode()
        )
        deadline = time.monotonic() + timeout_s
        wait_s = RETRANSMISSION_S
        self.buffer = bytearray()
        self.needed = None
        self.client.fleet.record.write(f"client port {self.port} sends {path}")

        while time.monotonic() < deadline and self.reset_at is None:
            if not self.buffer:
                self.send(ACK, self.sent, self.received, data)
            else:
                self.send(ACK, (self.sent + len(data)) % MODULUS, self.received)
            until = min(time.monotonic() + wait_s, deadline)
            if await self.wait(
                until, lambda: self.has_answer() or self.reset_at is not None
            ):
                break
            wait_s = min(2 * wait_s, MAXIMUM_WAIT_S)
        self.sent = (self.sent + len(data)) % MODULUS
        answer = bytes(self.buffer) if self.has_answer() else None
        text = answer.split(b"\r\n\r\n")[1][:80].decode() if answer else "no answer"
        self.client.fleet.record.write(f"client port {self.port}: {text}")
        return answer

    async def close(self) -> None:
        """End the client's side, and wait shortly for the server's."""
        assert self.received is not None
        for _ in range(3):
            self.send(ACK | FIN, self.sent, self.received)
            if await self.wait(time.monotonic() + 0.2, lambda: self.server_ended):
                break
        self.sent = (self.sent + 1) % MODULUS
        await asyncio.sleep(0.05)
        self.send(ACK, self.sent, self.received)


def run_case(folder: Path, play: Callable[[Fleet], object]) -> int:
    """Run a case; return 0 if the rule held, 1 if it was broken, 2 if unusable."""
    record = Record(folder)
    temporary = Path(
        os.environ.get("CASE_FOLDER") or tempfile.mkdtemp(prefix="lentilfork-case-")
    )
    temporary.mkdir(parents=True, exist_ok=True)

    async def run() -> int:
        fleet = Fleet(record, temporary)
        try:
            async with asyncio.timeout(float(os.environ.get("CASE_LIMIT", "110"))):
                broken = await play(fleet)  # type: ignore[misc]
        except Exception as error:
            # Also a fault of this script says nothing about the rule.
            record.write(f"the case could not run: {error!r}")
            return 2
        finally:
            await fleet.close()
        record.write("rule broken" if broken else "rule held")
        return 1 if broken else 0

    code = asyncio.run(run())
    if "CASE_FOLDER" not in os.environ:
        shutil.rmtree(temporary, ignore_errors=True)
    return code


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


if __name__ == "__main__":
    sys.exit("this module holds stand-ins; run the run.sh of a case")
