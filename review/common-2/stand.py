"""Stand-ins for the review: platform, clients, endpoints and operator on loopback.

They follow the pages SYSTEM, PROTOCOL and DEPLOY. All of them run in the process of the
script; the project's own programs run as separate processes, started with the `run`
lines of the deploy file. Only the standard library is used.
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
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("!IHIIHIIIBH")
SYN, ACK, RST, BOUNCED, FIN = 4, 2, 8, 16, 32
MASK = 0xFFFFFFFF
SUM_KEY = os.urandom(8)
MAXIMUM_DATA = 1200
WINDOW_PACKETS = 16
RETRIES = 8
METRICS_PORTS = {"balancer": 9464, "controller": 9465, "agent": 9466}
FLOW_REORDER_S = 2.0


def to_number(ip):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(ip), "big")


def compute_sum(src, sport, dst, dport, flags, seq, ack, data):
    """Return the keyed sum over all fields except `echo`, `pad` and BOUNCED."""
    fields = struct.pack(
        "!IHIHBIIH", src, sport, dst, dport, flags & ~BOUNCED, seq, ack, len(data)
    )
    return zlib.crc32(data, zlib.crc32(SUM_KEY + fields))


def pack(src, sport, dst, dport, flags, seq, ack, data=b""):
    """Return a packet that one end of a flow writes."""
    total = compute_sum(src, sport, dst, dport, flags, seq, ack, data)
    return (
        HEADER.pack(0, dport, dst, src, sport, seq, ack, total, flags, len(data)) + data
    )


def is_intact(fields, data):
    """Return whether a packet carries the sum that its sender wrote."""
    _, dport, dst, src, sport, seq, ack, total, flags, _ = fields
    return total == compute_sum(src, sport, dst, dport, flags, seq, ack, data)


class Unable(Exception):
    """The case could not run."""


class Stream:
    """One end of an open flow: order, acknowledgements and retransmission."""

    def __init__(self, write, sequence, expected, on_data):
        self.write = write  # write(flags, seq, ack, data)
        self.una = self.nxt = sequence
        self.expected = expected
        self.on_data = on_data
        self.queue = bytearray()
        self.flight = {}
        self.stash = {}
        self.unacknowledged = 0
        self.tries = 0
        self.timer = None
        self.ack_timer = None
        self.ended = False

    def send(self, data):
        """Queue bytes for the other end."""
        self.queue += data
        self.fill()

    def fill(self):
        """Send as many packets as the window has room for."""
        while self.queue and len(self.flight) < WINDOW_PACKETS and not self.ended:
            data = bytes(self.queue[:MAXIMUM_DATA])
            del self.queue[:MAXIMUM_DATA]
            self.flight[self.nxt] = data
            self.emit(self.nxt, data)
            self.nxt = (self.nxt + len(data)) & MASK
        if self.flight and self.timer is None:
            self.start_timer()

    def emit(self, sequence, data):
        """Send one packet, which carries the acknowledgement as well."""
        self.unacknowledged = 0
        self.write(ACK, sequence, self.expected, data)

    def start_timer(self):
        """Start the timer of the oldest packet in flight."""
        delay = min(0.2 * 2**self.tries, 1.6)
        self.timer = asyncio.get_running_loop().call_later(delay, self.retransmit)

    def retransmit(self):
        """Send the oldest packet in flight again, eight times at most."""
        self.timer = None
        if self.ended or not self.flight:
            return
        self.tries += 1
        if self.tries > RETRIES:
            self.end()
            return
        sequence = next(iter(self.flight))
        self.emit(sequence, self.flight[sequence])
        self.start_timer()

    def end(self):
        """Stop sending."""
        self.ended = True
        for timer in (self.timer, self.ack_timer):
            if timer is not None:
                timer.cancel()
        self.timer = self.ack_timer = None

    def take(self, flags, sequence, acknowledgement, data):
        """Handle a packet of the other end."""
        if self.ended:
            return
        if flags & ACK:
            advance = (acknowledgement - self.una) & MASK
            if 0 < advance <= ((self.nxt - self.una) & MASK):
                for first in list(self.flight):
                    size = len(self.flight[first])
                    if ((first + size - self.una) & MASK) > advance:
                        break
                    del self.flight[first]
                self.una = acknowledgement
                self.tries = 0
                if self.timer is not None:
                    self.timer.cancel()
                    self.timer = None
                self.fill()
        if not data:
            return
        ahead = (sequence - self.expected) & MASK
        if ahead:
            if ahead < 1 << 31:
                self.stash[sequence] = data
            self.acknowledge()
            return
        chunks = [data]
        self.expected = (self.expected + len(data)) & MASK
        while self.expected in self.stash:
            more = self.stash.pop(self.expected)
            chunks.append(more)
            self.expected = (self.expected + len(more)) & MASK
        self.unacknowledged += len(chunks)
        self.on_data(b"".join(chunks))
        if self.unacknowledged >= 2:
            self.acknowledge()
        elif self.unacknowledged and self.ack_timer is None:
            self.ack_timer = asyncio.get_running_loop().call_later(
                0.02, self.acknowledge_late
            )

    def acknowledge_late(self):
        """Acknowledge a single packet."""
        self.ack_timer = None
        if self.unacknowledged and not self.ended:
            self.acknowledge()

    def acknowledge(self):
        """Send an acknowledgement without data."""
        self.unacknowledged = 0
        self.write(ACK, self.nxt, self.expected, b"")


class UdpPort:
    """A bound, non-blocking UDP socket."""

    def __init__(self, address, handle):
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self.socket.bind(address)
        self.handle = handle
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)

    def read(self):
        for _ in range(64):
            try:
                data = self.socket.recv(65535)
            except OSError:
                return
            self.handle(data)

    def send(self, data, address):
        try:
            self.socket.sendto(data, address)
        except OSError:
            pass

    def close(self):
        if self.socket.fileno() >= 0:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.socket.close()


class Half:
    """A flow at an endpoint: half open until the client acknowledges its `seq`."""

    def __init__(self, key, client_sequence):
        self.key = key
        self.client_sequence = client_sequence
        self.sequence = random.getrandbits(32)
        self.stream = None
        self.tries = 0
        self.timer = None
        self.request = bytearray()


class Endpoint:
    """An endpoint in the form `agent`: all its packets pass the node beside it."""

    def __init__(self, stand, machine, service):
        self.stand = stand
        self.machine = machine
        self.service = service
        self.name = machine.name
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.alive = True
        self.flows = {}
        # Keys of the flows whose SYN this endpoint has answered.
        self.answered_syns = set()
        self.opened = 0
        self.port = None
        self.health = None
        self.task = None

    async def start(self):
        """Listen for packets and health checks, and begin to send heartbeats."""
        address = (self.machine.ip, self.stand.port_app)
        self.port = UdpPort(address, self.handle)
        self.health = await asyncio.start_server(self.answer_health, *address)
        self.task = asyncio.create_task(self.run_heartbeats())

    async def answer_health(self, reader, writer):
        """Answer one health check."""
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2)
            status = "200 OK" if self.state == "ready" else "503 Draining"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, EOFError, TimeoutError, ValueError):
            pass
        finally:
            writer.close()

    async def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.machine.ip}:{self.stand.port_app}",
            "zone": self.machine.zone,
            "version": "v1",
            "concurrency_limit": 2,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        target = (self.machine.ip, self.stand.port_control)
        path = f"/v1/instances/{self.id}"
        status, _ = await call(target, "PUT", path, json.dumps(body).encode())
        return status // 100 == 2

    async def run_heartbeats(self):
        """Send a heartbeat about every `heartbeat_ms`."""
        while self.alive:
            acknowledged = await self.beat()
            await asyncio.sleep(1.2 if acknowledged else 0.3)

    def write(self, key, flags, sequence, acknowledgement, data):
        """Send a packet of this endpoint to the node beside it."""
        src, sport, dst, dport = key
        packet = pack(dst, dport, src, sport, flags, sequence, acknowledgement, data)
        self.port.send(packet, (self.machine.ip, self.stand.port_outbound))

    def handle(self, raw):
        """Handle a packet that the node delivered."""
        fields = HEADER.unpack_from(raw)
        data = raw[HEADER.size :]
        _, dport, dst, src, sport, seq, ack, _, flags, _ = fields
        if not is_intact(fields, data):
            self.stand.breach("UNASKED", f"{self.name} got a packet that nobody wrote")
            return
        key = (src, sport, dst, dport)
        self.stand.saw(key, self)
        flow = self.flows.get(key)
        if flags & SYN:
            if flow is None:
                flow = self.flows[key] = Half(key, seq)
                self.answered_syns.add(key)
                self.answer_syn(flow)
            elif flow.stream is None:
                self.send_syn_answer(flow)
            return
        if flow is None:
            bounced = bytearray(raw)
            bounced[28] |= BOUNCED
            target = (self.machine.ip, self.stand.port_outbound)
            self.port.send(bytes(bounced), target)
            return
        if flow.stream is None:
            if ack != (flow.sequence + 1) & MASK:
                return
            self.open(flow)
        if flags & (FIN | RST):
            flow.stream.end()
            if flags & FIN:
                self.write(key, ACK | FIN, flow.stream.nxt, seq + 1 & MASK, b"")
            return
        flow.stream.take(flags, seq, ack, data)

    def answer_syn(self, flow):
        """Answer a SYN, and again until the flow opens, eight times at most."""
        if flow.stream is not None or not self.alive:
            return
        if flow.tries > RETRIES:
            self.flows.pop(flow.key, None)
            return
        self.send_syn_answer(flow)
        delay = min(0.2 * 2**flow.tries, 1.6)
        flow.tries += 1
        loop = asyncio.get_running_loop()
        flow.timer = loop.call_later(delay, self.answer_syn, flow)

    def send_syn_answer(self, flow):
        """Send the SYN+ACK of a flow."""
        acknowledgement = (flow.client_sequence + 1) & MASK
        self.write(flow.key, SYN | ACK, flow.sequence, acknowledgement, b"")

    def open(self, flow):
        """Open a flow whose handshake is complete."""
        flow.timer.cancel()
        self.opened += 1
        self.stand.opened(flow.key, self)
        flow.stream = Stream(
            lambda *values: self.write(flow.key, *values),
            (flow.sequence + 1) & MASK,
            (flow.client_sequence + 1) & MASK,
            lambda data: self.read_request(flow, data),
        )

    def read_request(self, flow, data):
        """Collect a request and run it when its head is complete."""
        flow.request += data
        while b"\r\n\r\n" in flow.request:
            head, _, rest = bytes(flow.request).partition(b"\r\n\r\n")
            flow.request = bytearray(rest)
            lines = head.decode().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:])
            size = int(lines[0].split()[1].rpartition("/")[2])
            self.stand.ran(headers["Attempt-Id"], self)
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, self.respond, flow, size)

    def respond(self, flow, size):
        """Send the whole answer to a request."""
        body = bytes(size)
        head = (
            f"HTTP/1.1 200 OK\r\nServer-Seal: {self.id}\r\nContent-Length: {size}\r\n"
            "\r\n"
        )
        flow.stream.send(head.encode() + body)

    def stop(self):
        """End at once, as a crash does."""
        self.alive = False
        if self.task is not None:
            self.task.cancel()
        if self.health is not None:
            self.health.close()
        if self.port is not None:
            self.port.close()


class ClientFlow:
    """One flow of a client."""

    def __init__(self, client, port):
        self.client = client
        self.stand = client.stand
        self.key = (client.number, port, client.stand.vip_number, client.stand.vip_port)
        self.sequence = random.getrandbits(32)
        self.peer_sequence = None
        self.stream = None
        self.established = asyncio.get_running_loop().create_future()
        self.reset = False
        self.answer = bytearray()
        self.waiting = None
        self.wanted = 0
        self.received = 0

    def write(self, flags, sequence, acknowledgement, data=b""):
        """Send a packet to the balancer that the router selects now."""
        packet = pack(*self.key, flags, sequence, acknowledgement, data)
        self.stand.route(self.key, packet, self.client)

    async def open(self):
        """Open the flow; return whether a SYN+ACK arrived in time."""
        for copies, pause in ((0, 0.2), (1, 0.4), (2, 0.8)):
            self.write(SYN, self.sequence, copies)
            try:
                await asyncio.wait_for(asyncio.shield(self.established), pause)
                return not self.reset
            except TimeoutError:
                continue
        return False

    def take(self, fields, data):
        """Handle a packet that arrived for this flow."""
        _, _, _, _, _, seq, ack, total, flags, _ = fields
        if flags & RST:
            if total == 0 and self.stream is not None:
                self.stand.resets.append((time.monotonic(), self.key))
            self.reset = True
            if not self.established.done():
                self.established.set_result(False)
            return
        if not is_intact(fields, data):
            self.stand.breach("MIXED", "a client got a packet that nobody wrote")
            return
        if flags & SYN:
            if self.stream is None and not self.reset:
                self.peer_sequence = seq
                self.stream = Stream(
                    self.write,
                    (self.sequence + 1) & MASK,
                    (seq + 1) & MASK,
                    self.read_answer,
                )
                self.stream.acknowledge()
                if not self.established.done():
                    self.established.set_result(True)
            elif self.stream is not None and seq == self.peer_sequence:
                self.stream.acknowledge()
            return
        if self.stream is not None:
            self.stream.take(flags, seq, ack, data)

    def read_answer(self, data):
        """Collect the answer to the request that waits."""
        self.received += len(data)
        if self.wanted == 0:
            self.answer += data
            head, found, rest = bytes(self.answer).partition(b"\r\n\r\n")
            if not found:
                return
            length = next(
                int(line.split(b": ")[1])
                for line in head.split(b"\r\n")
                if line.startswith(b"Content-Length")
            )
            self.answer.clear()
            self.wanted = length - len(rest)
        else:
            self.wanted -= len(data)
        if self.wanted == 0 and self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)

    async def request(self, size, deadline_s):
        """Send one request on the open flow; return whether it was answered in time."""
        self.waiting = asyncio.get_running_loop().create_future()
        self.wanted = 0
        identifier = f"{random.getrandbits(64):016x}"
        self.stand.sent(identifier)
        head = f"GET /pack/{size} HTTP/1.1\r\nAttempt-Id: {identifier}\r\n\r\n"
        self.stream.send(head.encode())
        try:
            await asyncio.wait_for(self.waiting, deadline_s)
        except TimeoutError:
            return False
        self.stand.answered(identifier)
        return True

    def close(self):
        """Close the flow."""
        if self.stream is not None and not self.stream.ended:
            self.write(ACK | FIN, self.stream.nxt, self.stream.expected)
            self.stream.end()


class Client:
    """A client with an address of its own."""

    def __init__(self, stand, ip, zone):
        self.stand = stand
        self.ip = ip
        self.number = to_number(ip)
        self.zone = zone
        self.flows = {}
        self.next_port = 40001
        self.port = UdpPort((ip, stand.port_datagram), self.handle)

    def handle(self, raw):
        """Pass an arrived packet to its flow."""
        fields = HEADER.unpack_from(raw)
        if self.stand.loses(self, fields):
            return
        flow = self.flows.get(fields[1])
        if flow is not None and (fields[3], fields[4]) == flow.key[2:]:
            flow.take(fields, raw[HEADER.size :])

    def new_flow(self):
        """Return a flow from a new port."""
        flow = ClientFlow(self, self.next_port)
        self.flows[self.next_port] = flow
        self.next_port += 1
        return flow


class Machine:
    """One machine: its address, zone and the processes on it."""

    def __init__(self, name, ip, zone, roles, service=""):
        self.name, self.ip, self.zone = name, ip, zone
        self.roles, self.service = roles, service
        self.processes = {}


async def call(address, method, path, body=b"", timeout_s=1.0):
    """Make one HTTP call; return status and body, status 0 without a response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            answer = await reader.read()
        status = int(answer.split(b" ", 2)[1])
        return status, answer.partition(b"\r\n\r\n")[2]
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def choose_network():
    """Return the second octet of loopback addresses that no other run uses."""
    for _ in range(200):
        net = random.randrange(20, 240)
        try:
            for port in METRICS_PORTS.values():
                with socket.create_server((f"127.{net}.1.1", port)):
                    pass
        except OSError:
            continue
        return net
    raise Unable("all loopback networks are in use")


class Stand:
    """A small deployment with its clients, endpoints and operator."""

    def __init__(self, folder, record_path):
        self.folder = Path(folder)
        self.record_file = record_path.open("w")
        self.started = time.monotonic()
        self.net = choose_network()
        self.port_datagram, self.port_ready = 8172, 8167
        self.port_control, self.port_app, self.port_outbound = 8166, 8165, 8162
        self.vip = f"127.{self.net}.200.1"
        self.vip_number, self.vip_port = to_number(self.vip), 8443
        self.machines = []
        # Machines that were removed, and those that the settings name as seeds.
        self.gone = []
        self.seeds = []
        self.endpoints = []
        self.clients = []
        self.breaches = []
        self.resets = []
        self.ready = set()
        self.tasks = []
        self.arrivals = {}
        self.holders = {}
        self.requests = {}
        self.runs = {}
        self.replies = set()
        self.loss = lambda client, fields: False
        self.expected_ends = set()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.run_lines = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }

    def note(self, text):
        """Write a line of the record."""
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        print(line, file=self.record_file, flush=True)

    def breach(self, rule, text):
        """Record a broken rule."""
        self.breaches.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    def saw(self, key, endpoint):
        """Note that a packet of a client reached an endpoint."""
        self.arrivals.setdefault(key, []).append((time.monotonic(), endpoint.name))

    def opened(self, key, endpoint):
        """Note that a flow opened at an endpoint."""
        self.holders[key] = (time.monotonic(), endpoint.name)

    def sent(self, identifier):
        self.requests[identifier] = time.monotonic()

    def ran(self, identifier, endpoint):
        """Note that an endpoint began to work on a request."""
        if identifier not in self.requests:
            self.breach("UNASKED", f"{endpoint.name} ran {identifier}")
        self.runs[identifier] = self.runs.get(identifier, 0) + 1

    def answered(self, identifier):
        self.replies.add(identifier)

    def loses(self, client, fields):
        """Return whether a packet on its way to a client is lost."""
        return self.loss(client, fields)

    def find_misled(self, spans):
        """Return the flows with three packets elsewhere and none at their endpoint.

        `spans` maps the key of a flow to the time from which on it is judged and the
        time up to which its client used it.
        """
        misled = []
        for key, (opened_at, holder) in self.holders.items():
            if key not in spans:
                continue
            start, end = spans[key]
            start = max(start, opened_at)
            events = [e for e in self.arrivals[key] if start < e[0] <= end]
            others = [t for t, name in events if name != holder]
            own = [t for t, name in events if name == holder]
            for first in others:
                last = first + FLOW_REORDER_S
                if last > end:
                    break
                count = sum(first <= t <= last for t in others)
                if count >= 3 and not any(first <= t <= last for t in own):
                    misled.append((key, holder, first, count))
                    break
        return misled

    # Machines and processes

    def add_edge(self, zone, index, number, disk=True, seed_of=None):
        """Add an edge machine with a balancer and a controller.

        `seed_of` is the machine that it replaces: the seeds name the successor from
        then on in the settings that are written.
        """
        ip = f"127.{self.net}.{index}.{number}"
        roles = ["controller", "balancer"]
        machine = Machine(f"edge-{zone}-{number}", ip, zone, roles)
        machine.disk = disk
        self.machines.append(machine)
        if seed_of in self.seeds:
            self.seeds[self.seeds.index(seed_of)] = machine
        elif disk and len(self.seeds) < 3:
            self.seeds.append(machine)
        return machine

    def add_side(self, zone, index, number, service):
        """Add a side machine with an agent beside an endpoint."""
        ip = f"127.{self.net}.{index}.{100 + number}"
        name = f"side-{zone}-{number}"
        machine = Machine(name, ip, zone, ["agent"], service)
        machine.disk = False
        self.machines.append(machine)
        return machine

    def write_settings(self, machine, role, bootstrap):
        """Write the settings file of a process; return its path."""
        seed_list = ",".join(f'"{m.ip}:{self.port_control}"' for m in self.seeds)
        zones = sorted({m.zone for m in self.machines})
        side = role == "agent"
        lines = [
            f'node_id = "{machine.name}"',
            f'role = "{role}"',
            f'machine_class = "{"side" if side else "edge"}"',
            f'ip = "{machine.ip}"',
            f'zone = "{machine.zone}"',
            'region = "central-hills"',
            "internal_ports = [7720,7735]",
            f"seeds = [{seed_list}]",
            f"bootstrap = {'true' if bootstrap else 'false'}",
            f"fault_counted = {'true' if machine.disk else 'false'}",
            'discovery = "local"',
            'entry_kind = "announce"',
            "heartbeat_ms = 1200",
            'contracts = ["base","drain","config","cost","recover","flows"]',
            'config_mode = "highest"',
            'hash = "mod"',
            'forwarding_mode = "agent"',
        ]
        if machine.disk:
            lines.append(f'data_dir = "{self.folder / machine.name}"')
        if side:
            lines.append(f'app = "{machine.ip}:{self.port_app}"')
            lines.append(f'service = "{machine.service}"')
        lines += ["[zones]", *(f'{zone} = "central-hills"' for zone in zones)]
        lines += ["[listen]"]
        if role != "controller":
            lines.append(f'datagram_addr = "{machine.ip}:{self.port_datagram}"')
            lines.append(f'readiness_addr = "{machine.ip}:{self.port_ready}"')
        if side:
            lines.append(f'outbound = "{machine.ip}:{self.port_outbound}"')
        if role != "balancer":
            lines.append(f'control = "{machine.ip}:{self.port_control}"')
        lines += [
            "[fault_tolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            "seed_lag_s = 3",
            "stability_window_ms = 4000",
            "ack_ms = 5000",
            "catch_up_s = 4",
            "drain_ms = 3000",
            "grace_s = 6",
            "config_apply_ms = 3000",
            "recovery_s = 12",
            "flow_reorder_ms = 2000",
            "flow_ttl_s = 60",
        ]
        path = self.folder / f"{machine.name}-{role}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start_process(self, machine, role, bootstrap=False):
        """Start one process of the project with the `run` line of its role."""
        path = self.write_settings(machine, role, bootstrap)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["LENTILFORK_NODE_FILE"] = str(path)
        log = (self.folder / f"{machine.name}-{role}.log").open("ab")
        words = self.run_lines[role]
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        machine.processes[role] = process
        return process

    async def start_all(self):
        """Start all processes for the first time."""
        for machine in self.machines:
            for role in machine.roles:
                await self.start_process(machine, role, bootstrap=True)
        self.tasks.append(asyncio.create_task(self.check_readiness()))

    async def renew_settings(self):
        """Write the settings files of all processes anew, and tell them by SIGHUP."""
        for machine in self.machines:
            for role, process in machine.processes.items():
                path = self.folder / f"{machine.name}-{role}.toml"
                bootstrap = "bootstrap = true" in path.read_text()
                self.write_settings(machine, role, bootstrap)
                process.send_signal(signal.SIGHUP)

    async def check_readiness(self):
        """Check each balancer twice a second; two misses take it out of rotation."""
        misses = {}
        edges = [m for m in self.machines if "balancer" in m.roles]
        while True:
            for machine in edges:
                target = (machine.ip, self.port_ready)
                status, _ = await call(target, "GET", "/v1/ready", timeout_s=0.4)
                if status == 200:
                    misses[machine] = 0
                    self.ready.add(machine)
                else:
                    misses[machine] = misses.get(machine, 0) + 1
                    if misses[machine] >= 2:
                        self.ready.discard(machine)
            await asyncio.sleep(0.5)

    def route(self, key, packet, client):
        """Send a packet to the node that the hash selects in the client's zone."""
        nodes = [m for m in self.machines if m in self.ready and m.zone == client.zone]
        nodes = nodes or [m for m in self.machines if m in self.ready]
        if not nodes:
            return
        node = nodes[zlib.crc32(struct.pack("!IHIH", *key)) % len(nodes)]
        client.port.send(packet, (node.ip, self.port_datagram))

    async def restart_planned(self, machine, role, grace_s=6.0, gap_s=0.5):
        """Stop a process with SIGTERM, and start it again after a short delay."""
        process = machine.processes[role]
        process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), grace_s)
        except TimeoutError:
            process.kill()
            await process.wait()
        await asyncio.sleep(gap_s)
        await self.start_process(machine, role)

    def make_body(self, version, routes, services, idle_ms=15000):
        """Return the body of a configuration."""
        document = {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_conns": 2000,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": idle_ms,
            },
        }
        return json.dumps(document).encode()

    async def put_configuration(self, version, routes, services, attempts=30):
        """Send a configuration until it is acknowledged; return whether it was."""
        data = self.make_body(version, routes, services)
        controllers = [m for m in self.machines if "controller" in m.roles]
        for attempt in range(attempts):
            machine = controllers[attempt % len(controllers)]
            target = (machine.ip, self.port_control)
            status, _ = await call(target, "PUT", "/v1/config", data)
            if status == 200:
                self.note(f"version {version} acknowledged by {machine.name}")
                return True
            await asyncio.sleep(0.3)
        return False

    def make_route(self, service, kind="download", timeout_ms=5000, target_ms=500):
        """Return the route of the platform's address to one service."""
        return {
            "name": "r-1",
            "host": self.vip,
            "path_prefix": f"/{self.vip_port}/",
            "type": kind,
            "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms,
            "priority": 2,
            "service": service,
            "max_attempts": 2,
        }

    async def stop(self):
        """End everything that was started, the processes first."""
        machines = (*self.machines, *self.gone)
        processes = [p for machine in machines for p in machine.processes.values()]
        for process in processes:
            if process.returncode is None:
                process.kill()
        for process in processes:
            await process.wait()
        for task in self.tasks:
            task.cancel()
        for endpoint in self.endpoints:
            endpoint.stop()
        for client in self.clients:
            for flow in client.flows.values():
                if flow.stream is not None:
                    flow.stream.end()
            client.port.close()
        self.record_file.close()


def main(play, folder_name):
    """Run `play(stand, trouble)` and exit with 1 if a rule was broken, 0 if not."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    case = Path(folder_name)

    async def run():
        # A script that is told to end stops what it has started.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            stand = Stand(folder, case / "record.txt")
            try:
                async with asyncio.timeout(112):
                    await play(stand, trouble)
            except (Unable, TimeoutError, OSError, asyncio.CancelledError) as error:
                stand.note(f"could not run: {error!r}")
                return 2
            finally:
                kept = os.environ.get("KEEP_LOGS")
                if kept:
                    shutil.copytree(folder, kept, dirs_exist_ok=True)
                breaches = list(stand.breaches)
                await stand.stop()
            for rule, text in breaches:
                print(f"{rule}: {text}")
            return 1 if breaches else 0

    sys.exit(asyncio.run(run()))
