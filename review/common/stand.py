"""Stand-ins for the platform: a small deployment on loopback addresses.

The system's own processes are started with the `run` lines of `deploy/system.toml` and
a settings file each. Clients, endpoints, routers and the operator live in the process
of the test. Every wait and every loop here is bounded by the time of the case.
"""

import asyncio
import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import zlib
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HEADER = struct.Struct("!IHIIHIIIBH")
SYN, ACK, FIN, RST, BOUNCED = 4, 2, 32, 8, 16
KEY = b"a key that only the two ends of a flow know"
MODULUS = 1 << 32
SEGMENT = 1_200
IN_FLIGHT = 16
RESET_WINDOW = 76_800
SYN_COPIES_S = (0.2, 0.6)
SYN_TIMEOUT_S = 1.4
PORT_NAMES = ("control", "datagram", "readiness", "outbound", "app")

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


class CannotRunError(Exception):
    """The case could not be set up; it says nothing about the system."""


class Record:
    """The record of a case, with the seconds since its start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")

    def write(self, text):
        """Write one line."""
        elapsed = time.monotonic() - self.started
        self.file.write(f"{elapsed:8.3f} {text}\n")

    def close(self):
        """Write everything to the file."""
        self.file.close()


def number(ip):
    """Return an IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(ip), "big")


def dotted(address):
    """Return the text of an IPv4 address."""
    return socket.inet_ntoa(address.to_bytes(4, "big"))


@dataclass
class Packet:
    """One packet of a flow."""

    src: int
    sport: int
    dst: int
    dport: int
    flags: int
    seq: int
    ack: int
    data: bytes = b""
    echo: int = 0
    sum: int = 0

    def compute_sum(self):
        """Return the keyed sum over all fields except echo and BOUNCED."""
        fields = HEADER.pack(
            0,
            self.dport,
            self.dst,
            self.src,
            self.sport,
            self.seq,
            self.ack,
            0,
            self.flags & ~BOUNCED,
            len(self.data),
        )
        return zlib.crc32(KEY + fields + self.data) or 1

    def encode(self):
        """Return the datagram, with the sum that its writer puts in."""
        self.sum = self.compute_sum()
        return self.pack()

    def pack(self):
        """Return the datagram with the sum as it is."""
        return (
            HEADER.pack(
                self.echo,
                self.dport,
                self.dst,
                self.src,
                self.sport,
                self.seq,
                self.ack,
                self.sum,
                self.flags,
                len(self.data),
            )
            + self.data
        )

    @property
    def is_intact(self):
        """Whether the packet is as its writer wrote it."""
        return self.sum == self.compute_sum()


def decode(datagram):
    """Return the packet in a datagram, or None if it is no packet."""
    if len(datagram) < HEADER.size:
        return None
    echo, dport, dst, src, sport, seq, ack, total, flags, length = HEADER.unpack_from(
        datagram
    )
    data = datagram[HEADER.size :]
    if len(data) != length:
        return None
    return Packet(src, sport, dst, dport, flags, seq, ack, data, echo, total)


class Stream:
    """One end of an open flow: reliable, in order, at most 16 packets in flight."""

    def __init__(self, send, first_seq, first_ack):
        # send(flags, seq, ack, data)
        self.send = send
        self.una = self.next = first_seq
        self.rcv = first_ack
        self.queue = []
        self.flight = []
        self.early = {}
        self.received = bytearray()
        self.fin_received = False
        self.fin_sent = False
        self.dead = False
        self.unacked = 0
        self.tries = 0
        self.timer = None
        self.ack_timer = None
        self.max_tries = None

    def write(self, data, *, end=False):
        """Send data, and a FIN after it if `end` is set."""
        for start in range(0, len(data), SEGMENT):
            self.queue.append((ACK, bytes(data[start : start + SEGMENT])))
        if end and not self.fin_sent:
            self.fin_sent = True
            self.queue.append((ACK | FIN, b""))
        self.pump()

    def pump(self):
        """Send queued packets while the window allows it."""
        while self.queue and len(self.flight) < IN_FLIGHT and not self.dead:
            flags, data = self.queue.pop(0)
            self.flight.append((self.next, flags, data))
            self.send(flags, self.next, self.rcv, data)
            self.unacked = 0
            self.next = (self.next + len(data) + bool(flags & FIN)) % MODULUS
        self.arm()

    def arm(self):
        """Start the retransmission timer if something is in flight."""
        if self.timer is None and self.flight and not self.dead:
            delay = min(0.2 * 2**self.tries, 1.6)
            self.timer = asyncio.get_running_loop().call_later(delay, self.retransmit)

    def retransmit(self):
        """Send the oldest unacknowledged packet again."""
        self.timer = None
        if self.dead or not self.flight:
            return
        self.tries += 1
        if self.max_tries is not None and self.tries > self.max_tries:
            self.stop()
            return
        seq, flags, data = self.flight[0]
        self.send(flags, seq, self.rcv, data)
        self.arm()

    def acknowledge(self):
        """Send an acknowledgement."""
        if self.ack_timer is not None:
            self.ack_timer.cancel()
            self.ack_timer = None
        self.unacked = 0
        if not self.dead:
            self.send(ACK, self.next, self.rcv, b"")

    def handle(self, packet):
        """Handle a packet of the peer; return the newly received bytes."""
        done = (packet.ack - self.una) % MODULUS
        if 0 < done <= (self.next - self.una) % MODULUS:
            self.una = packet.ack
            self.flight = [
                item for item in self.flight if (item[0] - self.una) % MODULUS < 1 << 31
            ]
            self.tries = 0
            if self.timer is not None:
                self.timer.cancel()
                self.timer = None
        fresh = bytearray()
        if packet.data or packet.flags & FIN:
            if (packet.seq - self.rcv) % MODULUS < 1 << 31:
                self.early[packet.seq] = packet
            while (item := self.early.pop(self.rcv, None)) is not None:
                self.rcv = (self.rcv + len(item.data)) % MODULUS
                fresh += item.data
                if item.flags & FIN:
                    self.rcv = (self.rcv + 1) % MODULUS
                    self.fin_received = True
            self.unacked += 1
            if self.unacked >= 2 or self.fin_received:
                self.acknowledge()
            elif self.ack_timer is None:
                loop = asyncio.get_running_loop()
                self.ack_timer = loop.call_later(0.02, self.acknowledge)
        self.received += fresh
        self.pump()
        return bytes(fresh)

    @property
    def finished(self):
        """Whether both ends have sent a FIN and ours is acknowledged."""
        return self.fin_received and self.fin_sent and not self.flight

    def stop(self):
        """End all timers."""
        self.dead = True
        for timer in (self.timer, self.ack_timer):
            if timer is not None:
                timer.cancel()


class Datagrams(asyncio.DatagramProtocol):
    """Calls a function with each datagram."""

    def __init__(self, handle):
        self.handle = handle

    def datagram_received(self, data, addr):
        self.handle(data, addr)

    def error_received(self, exc):
        pass


async def bind_udp(address, handle):
    """Bind a UDP socket."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(handle), local_addr=address
    )
    return transport


async def call_http(address, method, path, body=b"", timeout=1.0):
    """Return status and body of one HTTP call; OSError if there is none in time."""

    def call():
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    try:
        return await asyncio.wait_for(asyncio.to_thread(call), timeout + 1)
    except (TimeoutError, http.client.HTTPException) as error:
        raise OSError(repr(error)) from error


@dataclass
class EndpointFlow:
    """A flow at an endpoint."""

    peer_seq: int
    seq: int
    stream: Stream | None = None
    buffer: bytearray = field(default_factory=bytearray)
    closed: bool = False
    busy: int = 0


class Endpoint:
    """One incarnation of an endpoint, as the pages describe it."""

    def __init__(self, fleet, machine, service, name, *, slots=2):
        self.fleet = fleet
        self.machine = machine
        self.service = service
        self.id = name
        self.slots = slots
        self.work_s = 0.015
        self.body_bytes = 2_000
        self.max_conns = 2_000
        self.syn_delay_s = 0.0
        self.first_beat_s = 0.0
        self.state = "ready"
        self.sequence = 0
        self.flows = {}
        self.tasks = []
        self.alive = False
        self.started_at = 0.0
        self.running = 0
        self.waiting = []
        # Packets that reached it: (time, flow key, flags, whether it holds the flow).
        self.packets = []
        self.beat_answers = []

    async def start(self):
        """Listen and begin to send heartbeats."""
        ports = self.fleet.ports
        self.born = time.time_ns() // 1_000_000
        self.started_at = time.monotonic()
        address = (self.machine.ip, ports["app"])
        self.udp = await bind_udp(address, self.handle)
        self.tcp = await asyncio.start_server(self.answer_health, *address)
        self.alive = True
        self.tasks.append(asyncio.create_task(self.beat()))
        self.fleet.record.write(f"endpoint {self.id} starts on {self.machine.name}")

    def crash(self):
        """End at once; all flows are discarded."""
        self.alive = False
        self.fleet.record.write(f"endpoint {self.id} crashes")
        self.udp.close()
        self.tcp.close()
        for task in self.tasks:
            task.cancel()
        for flow in self.flows.values():
            if flow.stream is not None:
                flow.stream.stop()
        self.flows.clear()

    async def answer_health(self, reader, writer):
        """Answer a health check."""
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            status = "200 OK" if self.state == "ready" else "503 Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        except (OSError, EOFError, TimeoutError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def describe(self):
        """Return the body of a heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.machine.ip}:{self.fleet.ports['app']}",
            "zone": self.machine.zone,
            "version": "v1",
            "concurrency_limit": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    async def report(self):
        """Send one heartbeat; return whether it was acknowledged."""
        address = (self.machine.ip, self.fleet.ports["control"])
        body = json.dumps(self.describe()).encode()
        state = self.state
        try:
            status, _ = await call_http(
                address, "PUT", f"/v1/instances/{self.id}", body
            )
        except OSError:
            return False
        self.beat_answers.append((time.monotonic(), state, status))
        return 200 <= status < 300

    async def beat(self):
        """Send heartbeats until the endpoint ends."""
        await asyncio.sleep(self.first_beat_s)
        while True:
            await self.report()
            await asyncio.sleep(
                self.fleet.heartbeat_s * self.fleet.rng.uniform(0.9, 1.1)
            )

    def send(self, packet):
        """Send a packet to the node on this machine."""
        if self.alive:
            self.udp.sendto(packet, (self.machine.ip, self.fleet.ports["outbound"]))

    def bounce(self, packet):
        """Return a packet that this endpoint does not take."""
        packet.flags |= BOUNCED
        self.send(packet.pack())

    def answer_from(self, key, flags, seq, ack, data=b""):
        """Send a packet of the flow to its client."""
        src, sport, dst, dport = key
        self.send(Packet(dst, dport, src, sport, flags, seq, ack, data).encode())

    def handle(self, datagram, _sender):
        """Handle a packet of a client."""
        packet = decode(datagram)
        if packet is None:
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        held = flow is not None and not flow.closed
        self.packets.append((time.monotonic(), key, packet.flags, held))
        if not packet.is_intact:
            self.fleet.broken.append(
                f"UNASKED: {self.id} got a packet that its sender did not write so"
            )
            return
        if packet.flags & (SYN | ACK) == SYN:
            if self.syn_delay_s:
                loop = asyncio.get_running_loop()
                loop.call_later(self.syn_delay_s, self.handle_syn, key, packet)
            else:
                self.handle_syn(key, packet)
        elif flow is None:
            self.bounce(packet)
        elif flow.closed:
            if packet.flags & FIN:
                ack = (packet.seq + len(packet.data) + 1) % MODULUS
                self.answer_from(key, ACK, packet.ack, ack)
            elif packet.data:
                self.answer_from(key, RST, packet.ack, 0)
        else:
            self.handle_flow(key, flow, packet)

    def handle_syn(self, key, packet):
        """Accept or bounce the opening packet of a flow."""
        if not self.alive:
            return
        flow = self.flows.get(key)
        if flow is not None and flow.peer_seq == packet.seq:
            if flow.stream is None and not flow.closed:
                self.send_syn_ack(key, flow)
            return
        held = sum(not item.closed for item in self.flows.values())
        if held >= self.max_conns:
            self.bounce(packet)
            return
        flow = EndpointFlow(packet.seq, self.fleet.rng.getrandbits(32))
        self.flows[key] = flow
        self.fleet.taken.append((time.monotonic(), self, key))
        self.send_syn_ack(key, flow)

    def send_syn_ack(self, key, flow):
        """Answer the opening packet of a flow."""
        self.answer_from(key, SYN | ACK, flow.seq, (flow.peer_seq + 1) % MODULUS)

    def handle_flow(self, key, flow, packet):
        """Handle a later packet of a flow."""
        if flow.stream is None:
            if packet.ack != (flow.seq + 1) % MODULUS or packet.flags & RST:
                # It acknowledges another endpoint's number, or ends the flow.
                if packet.flags & RST:
                    flow.closed = True
                else:
                    self.bounce(packet)
                return
            flow.stream = Stream(
                lambda flags, seq, ack, data: self.answer_from(
                    key, flags, seq, ack, data
                ),
                (flow.seq + 1) % MODULUS,
                (flow.peer_seq + 1) % MODULUS,
            )
            flow.stream.max_tries = 8
            self.fleet.opened[key] = (self, time.monotonic())
        if packet.flags & RST:
            flow.closed = True
            flow.stream.stop()
            return
        flow.buffer += flow.stream.handle(packet)
        self.take_requests(key, flow)
        self.close_if_finished(flow)

    def close_if_finished(self, flow):
        """Close a flow whose both ends have sent a FIN."""
        if flow.stream.fin_received and not flow.busy and not flow.stream.fin_sent:
            flow.stream.write(b"", end=True)
        if flow.stream.finished:
            flow.closed = True

    def take_requests(self, key, flow):
        """Run the requests that have arrived whole."""
        while (end := flow.buffer.find(b"\r\n\r\n")) >= 0:
            head = bytes(flow.buffer[:end]).decode()
            length = 0
            for line in head.split("\r\n")[1:]:
                name, _, value = line.partition(":")
                if name.lower() == "content-length":
                    length = int(value)
                if name.lower() == "attempt-id":
                    attempt = value.strip()
            if len(flow.buffer) < end + 4 + length:
                return
            del flow.buffer[: end + 4 + length]
            flow.busy += 1
            self.waiting.append((key, flow, attempt))
        self.run_waiting()

    def run_waiting(self):
        """Start waiting requests while a slot is free."""
        while self.waiting and self.running < self.slots:
            key, flow, attempt = self.waiting.pop(0)
            self.running += 1
            self.fleet.runs.append((time.monotonic(), attempt, self))
            self.fleet.record.write(f"run {attempt} at {self.id} ({self.service})")
            self.tasks.append(asyncio.create_task(self.work(flow, attempt)))

    async def work(self, flow, attempt):
        """Do the work of one request and answer it."""
        await asyncio.sleep(self.work_s)
        self.running -= 1
        flow.busy -= 1
        body = (f"{attempt} by {self.id} ".encode() * 400)[: self.body_bytes]
        head = (
            f"HTTP/1.1 200 OK\r\nServer-Seal: {zlib.crc32(KEY + body):08x}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        flow.stream.write(head.encode() + body, end=self.state == "draining")
        self.close_if_finished(flow)
        self.run_waiting()


class ClientFlow:
    """One flow of a client."""

    def __init__(self, client, port, route):
        self.client = client
        self.fleet = client.fleet
        self.route = route
        self.key = (number(client.ip), port, *route)
        self.name = f"{client.ip}:{port}"
        self.seq = self.fleet.rng.getrandbits(32)
        self.stream = None
        self.last_ack = 0
        self.opened = asyncio.Event()
        self.ended = asyncio.Event()
        self.answered = asyncio.Event()
        self.buffer = bytearray()
        self.answers = []
        # (time, seq, whether it is in the window, sender) of each reset of the system.
        self.resets = []
        self.reset_by_endpoint = False
        self.opened_at = None
        self.closing = False
        self.timers = []

    def open(self):
        """Send the opening packet and its copies."""
        loop = asyncio.get_running_loop()
        self.send_syn(0)
        for number_, delay in enumerate(SYN_COPIES_S, 1):
            self.timers.append(loop.call_later(delay, self.send_syn, number_))
        self.timers.append(loop.call_later(SYN_TIMEOUT_S, self.give_up))

    def send_syn(self, copy):
        """Send one copy of the opening packet."""
        if self.stream is None and not self.ended.is_set():
            src, sport, dst, dport = self.key
            self.client.send(Packet(src, sport, dst, dport, SYN, self.seq, copy))

    def give_up(self):
        """End the attempt if no endpoint has answered."""
        if self.stream is None:
            self.ended.set()

    def send(self, flags, seq, ack, data):
        """Send a packet of the open flow."""
        self.last_ack = ack
        src, sport, dst, dport = self.key
        self.client.send(Packet(src, sport, dst, dport, flags, seq, ack, data))

    def handle(self, packet, sender):
        """Handle a packet that arrived for this flow from a machine."""
        if packet.flags & RST:
            self.handle_reset(packet, sender)
            return
        if not packet.is_intact:
            self.fleet.broken.append(
                f"MIXED: {self.name} got a packet that its sender did not write so"
            )
            return
        if packet.flags & (SYN | ACK) == SYN | ACK:
            if self.stream is None and not self.ended.is_set():
                self.opened_at = time.monotonic()
                self.stream = Stream(
                    self.send, (self.seq + 1) % MODULUS, (packet.seq + 1) % MODULUS
                )
                self.opened.set()
                self.stream.acknowledge()
            return
        if self.stream is None or self.ended.is_set():
            return
        if (packet.seq - self.stream.rcv + (1 << 27)) % MODULUS > 1 << 28:
            # A packet of another endpoint that answered the same opening packet.
            return
        self.buffer += self.stream.handle(packet)
        self.read_answers()
        if self.stream.fin_received and not self.stream.fin_sent:
            self.stream.write(b"", end=True)
        if self.stream.finished:
            self.ended.set()

    def handle_reset(self, packet, sender):
        """Handle a reset of the system or of the endpoint."""
        if packet.sum:
            self.reset_by_endpoint = packet.is_intact
            self.finish()
            return
        if self.stream is None:
            self.fleet.record.write(f"flow {self.name} refused before it was open")
            self.finish()
            return
        distance = (packet.seq - self.last_ack + RESET_WINDOW) % MODULUS
        valid = distance <= 2 * RESET_WINDOW
        now = time.monotonic()
        self.resets.append((now, packet.seq, valid, sender))
        state = "ended" if self.ended.is_set() else "open"
        self.fleet.record.write(
            f"reset from {sender} at the {state} flow {self.name}: seq {packet.seq}, "
            f"last ack {self.last_ack}, {'in' if valid else 'outside'} the window"
        )
        if valid:
            self.finish()

    def finish(self):
        """End this flow at the client."""
        self.ended.set()
        if self.stream is not None:
            self.stream.stop()

    def read_answers(self):
        """Take whole answers from the bytes that have arrived."""
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head = bytes(self.buffer[:end]).decode()
            lines = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:])
            length = int(lines["content-length"])
            if len(self.buffer) < end + 4 + length:
                return
            body = bytes(self.buffer[end + 4 : end + 4 + length])
            del self.buffer[: end + 4 + length]
            if lines["server-seal"] != f"{zlib.crc32(KEY + body):08x}":
                self.fleet.broken.append(f"MIXED: {self.name} got a body without seal")
            self.answers.append((time.monotonic(), body))
            self.answered.set()

    async def request(self, attempt, deadline_s, *, end=False):
        """Send one request; return its answer's body.

        Without one until the deadline, the client gives up on the flow: None.
        """
        self.answered.clear()
        before = len(self.answers)
        self.fleet.sent[attempt] = time.monotonic()
        self.fleet.record.write(f"sent {attempt} on flow {self.name}")
        head = f"GET /warning HTTP/1.1\r\nHost: signs\r\nAttempt-Id: {attempt}\r\n\r\n"
        self.stream.write(head.encode())
        waits = [
            asyncio.ensure_future(self.answered.wait()),
            asyncio.ensure_future(self.ended.wait()),
        ]
        await asyncio.wait(
            waits, timeout=deadline_s, return_when=asyncio.FIRST_COMPLETED
        )
        for wait in waits:
            wait.cancel()
        if len(self.answers) == before:
            self.fleet.record.write(f"no answer to {attempt}; the client gives up")
            self.finish()
            return None
        body = self.answers[before][1]
        if not body.startswith(f"{attempt} by ".encode()):
            self.fleet.broken.append(f"MIXED: {attempt} got a foreign answer")
        self.fleet.record.write(f"answered {attempt}")
        if end:
            self.stream.write(b"", end=True)
        return body


class Client:
    """A client at one address, which opens flows through the routers."""

    def __init__(self, fleet, ip, zone):
        self.fleet = fleet
        self.ip = ip
        self.zone = zone
        self.flows = {}
        self.next_port = 40_000

    async def start(self):
        """Bind the client's socket."""
        self.udp = await bind_udp((self.ip, self.fleet.ports["datagram"]), self.handle)

    def handle(self, datagram, sender):
        """Pass a packet to its flow."""
        packet = decode(datagram)
        if packet is None or packet.dst != number(self.ip):
            self.fleet.broken.append(f"MIXED: {self.ip} got bytes that are no packet")
            return
        flow = self.flows.get((packet.dport, packet.src, packet.sport))
        if flow is None:
            self.fleet.record.write(f"packet of no flow at {self.ip}:{packet.dport}")
            return
        flow.handle(packet, sender[0])

    def send(self, packet):
        """Send a packet to the node that the zone's routers choose."""
        node = self.fleet.choose_node(self.zone, packet)
        if node is not None:
            self.udp.sendto(packet.encode(), (node.ip, self.fleet.ports["datagram"]))

    def make_flow(self, route):
        """Return a new flow from a new port, which is not opened yet."""
        self.next_port += 1
        flow = ClientFlow(self, self.next_port, route)
        self.flows[self.next_port, *route] = flow
        return flow

    def open_flow(self, route):
        """Open a new flow from a new port."""
        flow = self.make_flow(route)
        flow.open()
        return flow


@dataclass
class Machine:
    """One machine, which has its own loopback address."""

    name: str
    kind: str
    zone: str
    ip: str
    service: str = ""
    disk: bool = False
    # Whether the deploy file puts a controller on it.
    controls: bool = False


class Fleet:
    """A small deployment: machines, the system's processes and all stand-ins."""

    def __init__(
        self,
        folder,
        *,
        seed=1,
        heartbeat_ms=1200,
        idle_timeout_ms=15_000,
        tolerance=1,
        bounds=None,
    ):
        self.record = Record(folder)
        # Number of counted machines that may be lost at once.
        self.tolerance = tolerance
        self.bounds = BOUNDS | (bounds or {})
        self.rng = random.Random(seed)
        self.heartbeat_s = heartbeat_ms / 1000
        self.idle_timeout_ms = idle_timeout_ms
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.run_lines = {
            name: role["run"].split() for name, role in deploy["roles"].items()
        }
        self.controllers_per_zone = deploy["roles"]["controller"]["count"]
        self.net = random.SystemRandom().randrange(16, 250)
        self.machines = {}
        # Machines so far; an address is not used twice.
        self.count = 0
        self.ports = {}
        self.reserved = []
        self.processes = {}
        self.endpoints = {}
        self.rotation = {}
        self.tasks = []
        self.routes = {}
        self.version = 0
        # What clients, endpoints and the operator saw.
        self.broken = []
        self.taken = []
        self.opened = {}
        self.runs = []
        self.sent = {}
        self.first_start = True

    def add_machine(self, name, kind, zone, *, service="", disk=False):
        """Add a machine; `kind` is edge or side."""
        self.count += 1
        index = self.count
        ip = f"127.{self.net}.1.{index}"
        others = [
            item
            for item in self.machines.values()
            if item.zone == zone and item.controls
        ]
        controls = kind == "edge" and len(others) < self.controllers_per_zone
        self.machines[name] = Machine(name, kind, zone, ip, service, disk, controls)
        return self.machines[name]

    def reserve(self, machines):
        """Reserve the ports of machines that are added later."""
        self.reserved = [
            f"127.{self.net}.1.{self.count + n}" for n in range(1, machines + 1)
        ]

    def client_ip(self, index):
        """Return the address of a client."""
        return f"127.{self.net}.2.{index}"

    def make_route(self, index):
        """Return address and port that clients send to."""
        return number(f"127.{self.net}.3.1"), 8000 + index

    def pick_ports(self):
        """Choose ports that are free on all machines; the range holds 16 more."""
        for _ in range(50):
            base = random.SystemRandom().randrange(20_000, 45_000)
            numbers = range(base, base + len(PORT_NAMES) + 16)
            if all(
                is_free(ip, port)
                for ip in (
                    *(item.ip for item in self.machines.values()),
                    *self.reserved,
                )
                for port in numbers
            ):
                self.ports = dict(zip(PORT_NAMES, numbers, strict=False))
                self.internal = (base + len(PORT_NAMES), numbers[-1])
                return
        raise CannotRunError("no free ports")

    def list_seeds(self):
        """Return the control addresses of three machines, or fewer."""
        return [
            f"{machine.ip}:{self.ports['control']}"
            for machine in self.machines.values()
            if machine.controls
        ][:3]

    def write_settings(self, machine, role):
        """Write the settings file of a process; return its path."""
        serves = {"balancer": ["edge"], "controller": ["control"], "agent": ["side"]}
        listen = {}
        if role == "balancer":
            listen = {"datagram_addr": "datagram", "readiness_addr": "readiness"}
        elif role == "controller":
            listen = {"control": "control"}
        else:
            listen = {
                "datagram_addr": "datagram",
                "outbound": "outbound",
                "readiness_addr": "readiness",
                "control": "control",
            }
        zones = sorted({item.zone for item in self.machines.values()})
        values = {
            "node_id": machine.name,
            "role": role,
            "machine_class": machine.kind,
            "serves": serves[role],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "central-hills",
            "internal_ports": list(self.internal),
            "seeds": self.list_seeds(),
            "bootstrap": self.first_start,
            "fault_counted": machine.disk,
            "discovery": "local",
            "entry_kind": "announce",
            "heartbeat_ms": round(self.heartbeat_s * 1000),
            "contracts": ["base", "drain", "config", "cost", "recover", "flows"],
            "config_mode": "highest",
            "hash": "mod",
            "forwarding_mode": "agent",
        }
        if machine.disk and role == "controller":
            data = self.temp / f"data-{machine.name}"
            data.mkdir(exist_ok=True)
            values["data_dir"] = str(data)
        if role == "agent":
            values["app"] = f"{machine.ip}:{self.ports['app']}"
            values["service"] = machine.service
        tables = {
            "zones": dict.fromkeys(zones, "central-hills"),
            "listen": {
                key: f"{machine.ip}:{self.ports[port]}" for key, port in listen.items()
            },
            "limits": {
                "cpu_share": 0.968,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 64 if machine.disk else 0,
            },
            "fault_tolerance": {
                "machines": self.tolerance,
                "zones": 0,
                "regions": 0,
            },
            "bounds": self.bounds,
        }
        lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        for table, content in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in content.items()]
        path = self.temp / f"{machine.name}-{role}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start_process(self, machine, role):
        """Start one process of the system with its line of the deploy file."""
        path = self.write_settings(machine, role)
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["LENTILFORK_NODE_FILE"] = str(path)
        log = (self.temp / f"{machine.name}-{role}.log").open("ab")
        process = subprocess.Popen(
            self.run_lines[role],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.processes[machine.name, role] = process
        self.record.write(f"process {role} of {machine.name} starts")
        return process

    def signal_process(self, machine, role, number_):
        """Send a signal to a process that this test started."""
        name = signal.Signals(number_).name
        self.record.write(f"process {role} of {machine.name} gets {name}")
        self.processes[machine.name, role].send_signal(number_)

    async def wait_process(self, machine, role, timeout):
        """Wait until a process has ended."""
        process = self.processes[machine.name, role]
        await wait_until(lambda: process.poll() is not None, timeout, "process ends")

    async def start(self):
        """Start all processes, the routers' checks and the clients' ways in."""
        self.pick_ports()
        for machine in self.machines.values():
            if machine.kind == "side":
                self.start_process(machine, "agent")
            else:
                self.start_edge(machine)

    def start_edge(self, machine):
        """Start the processes of an edge machine and the routers' checks of it."""
        if machine.controls:
            self.start_process(machine, "controller")
        self.start_process(machine, "balancer")
        self.rotation[machine.name] = False
        self.tasks.append(asyncio.create_task(self.check_ready(machine)))

    async def check_ready(self, machine):
        """Check a node twice per second, as the platform's routers do."""
        misses = 0
        while self.machines.get(machine.name) is machine:
            try:
                status, _ = await call_http(
                    (machine.ip, self.ports["readiness"]), "GET", "/v1/ready", b"", 0.5
                )
            except OSError:
                status = 0
            if machine.name not in self.rotation:
                return
            misses = 0 if status == 200 else misses + 1
            in_rotation = status == 200 or (
                misses < 2 and self.rotation.get(machine.name, False)
            )
            if in_rotation != self.rotation.get(machine.name):
                self.record.write(f"{machine.name} in rotation: {in_rotation}")
            self.rotation[machine.name] = in_rotation
            await asyncio.sleep(0.5)

    def choose_node(self, zone, packet):
        """Return the node that a packet is sent to."""
        nodes = [item for item in self.machines.values() if item.kind == "edge"]
        local = [item for item in nodes if item.zone == zone]
        ready = [item for item in local if self.rotation.get(item.name)]
        if 2 * len(ready) < len(local):
            ready = local
        if not ready:
            ready = [item for item in nodes if self.rotation.get(item.name)]
        if not ready:
            return None
        text = f"{packet.src}:{packet.sport}:{packet.dst}:{packet.dport}".encode()
        return ready[zlib.crc32(text) % len(ready)]

    def make_configuration(self, version):
        """Return the body of a configuration with the present routes."""
        services = sorted({route["service"] for route in self.routes.values()})
        return {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": dotted(route["address"][0]),
                    "path_prefix": f"/{route['address'][1]}/",
                    "type": route["type"],
                    "timeout_ms": route["timeout_ms"],
                    "target_latency_ms": route["target_ms"],
                    "priority": route["priority"],
                    "service": route["service"],
                    "max_attempts": 2,
                }
                for name, route in self.routes.items()
            ],
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
                "idle_timeout_ms": self.idle_timeout_ms,
            },
        }

    def add_route(self, name, service, index, **values):
        """Add a route to the next configuration; return its address and port."""
        self.routes[name] = {
            "address": self.make_route(index),
            "type": "idempotent",
            "timeout_ms": 1000,
            "target_ms": 100,
            "priority": 2,
            "service": service,
        } | values
        return self.routes[name]["address"]

    async def configure(self, timeout=20.0):
        """Send the next configuration until it is acknowledged."""
        self.version += 3
        body = json.dumps(self.make_configuration(self.version)).encode()
        controls = [item for item in self.machines.values() if item.controls]
        deadline = time.monotonic() + timeout
        attempt = 0
        while time.monotonic() < deadline:
            machine = controls[attempt % len(controls)]
            attempt += 1
            address = (machine.ip, self.ports["control"])
            try:
                status, _ = await call_http(address, "PUT", "/v1/config", body)
            except OSError:
                status = 0
            if status == 200:
                self.record.write(f"configuration {self.version} acknowledged")
                return time.monotonic()
            await asyncio.sleep(0.2)
        raise CannotRunError("configuration was not acknowledged")

    async def order(self, timeout):
        """Send the next configuration; return whether it was acknowledged in time."""
        started = time.monotonic()
        self.record.write(f"operator sends configuration {self.version + 3}")
        try:
            await self.configure(timeout)
        except CannotRunError:
            self.record.write(f"configuration {self.version} has no acknowledgement")
            return False
        self.record.write(f"it took {time.monotonic() - started:.2f} s")
        return True

    async def replace_core(self, old, name, gap_s):
        """Remove a machine of the core for good; add an empty one at a new address."""
        for role in ("controller", "balancer"):
            self.signal_process(old, role, signal.SIGKILL)
        self.rotation.pop(old.name)
        del self.machines[old.name]
        await asyncio.sleep(gap_s)
        new = self.add_machine(name, "edge", old.zone, disk=True)
        self.start_edge(new)

    def list_cores(self):
        """Return the machines of the core; CannotRunError unless all of them run."""
        cores = [item for item in self.machines.values() if item.controls]
        for item in cores:
            for role in ("controller", "balancer"):
                if self.processes[item.name, role].poll() is not None:
                    raise CannotRunError(f"{role} of {item.name} does not run")
        return cores

    async def check_control(self, acknowledged, ack_s, read_s):
        """Return the breaks of Acks and CONFIG while nothing is disturbed."""
        cores = self.list_cores()
        breaks = []
        if not await self.order(ack_s):
            breaks.append(
                f"Acks: configuration {self.version} has no acknowledgement after "
                f"{ack_s:.0f} s, while all {len(cores)} machines of the core run"
            )
        versions = await self.read_back(read_s)
        if not versions:
            breaks.append(
                f"CONFIG: configuration {acknowledged} was acknowledged; read back at "
                f"the end for {read_s:.0f} s, it does not come"
            )
        elif max(versions) < acknowledged:
            breaks.append(f"CONFIG: {max(versions)} is read back, not {acknowledged}")
        return breaks

    async def read_back(self, duration_s):
        """Read the configuration repeatedly; return the versions that came."""
        versions = []
        controls = [item for item in self.machines.values() if item.controls]
        deadline = time.monotonic() + duration_s
        attempt = 0
        while time.monotonic() < deadline:
            machine = controls[attempt % len(controls)]
            attempt += 1
            address = (machine.ip, self.ports["control"])
            try:
                status, body = await call_http(address, "GET", "/v1/config")
            except OSError as error:
                self.record.write(f"read at {machine.name}: {error!r}")
                continue
            version = json.loads(body).get("version") if status == 200 else None
            self.record.write(f"read at {machine.name}: {status}, version {version}")
            if version is not None:
                versions.append(version)
            await asyncio.sleep(0.2)
        return versions

    async def add_endpoint(self, machine, name, **values):
        """Start an endpoint on a side machine."""
        endpoint = Endpoint(self, machine, machine.service, name)
        for key, value in values.items():
            setattr(endpoint, key, value)
        await endpoint.start()
        self.endpoints[name] = endpoint
        return endpoint

    async def wait_ready(self, timeout=20.0):
        """Wait until all edge nodes are in rotation."""
        await wait_until(
            lambda: all(self.rotation.values()), timeout, "nodes are in rotation"
        )

    async def stop(self):
        """End everything that this test started."""
        for task in self.tasks:
            task.cancel()
        for endpoint in self.endpoints.values():
            if endpoint.alive:
                endpoint.crash()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.temp}")
        else:
            shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()


def is_free(ip, port):
    """Return whether TCP and UDP can be bound at an address."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


async def wait_until(condition, timeout, what):
    """Wait for a condition; CannotRunError if it does not come."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRunError(f"timed out: {what}")
        await asyncio.sleep(0.02)


def run_case(folder, play, *, limit_s=110.0, **options):
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if it can't run.

    `play(fleet, trouble)` returns the list of breaks that it found.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # A stop from outside also ends the processes that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run the build of the deploy file")
        sys.exit(2)

    async def main():
        fleet = Fleet(folder, **options)
        fleet.record.write(f"trouble: {trouble}")
        try:
            breaks = await asyncio.wait_for(play(fleet, trouble), limit_s)
            breaks = [*breaks, *fleet.broken]
            for text in breaks:
                fleet.record.write(f"BROKEN {text}")
            fleet.record.write(f"{len(breaks)} breaks")
            return breaks
        finally:
            await fleet.stop()

    try:
        breaks = asyncio.run(main())
    except Exception as error:
        # Also an error of the stand-ins: it says nothing about the system.
        traceback.print_exc()
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in breaks[:10]:
        print(text)
    print(f"{len(breaks)} breaks, trouble {'on' if trouble else 'off'}")
    sys.exit(1 if breaks else 0)
