"""Measures a balancer's processor time per packet and memory per flow."""

import asyncio
import socket
import struct
from collections import defaultdict
from pathlib import Path
from typing import Final

from lentilfork.adapters.packets import SocketPair
from lentilfork.adapters.packets import build_packet
from lentilfork.bench.capacity_slopes import Slope
from lentilfork.bench.capacity_slopes import fit_slope
from lentilfork.bench.capacity_slopes import read_process
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.processes import Process
from lentilfork.bench.processes import wait_until
from lentilfork.bench.receivers import Receiver
from lentilfork.schema import state_pb2
from lentilfork.settings import split_address

__all__ = ["measure_packets"]

# Packets sent in each step, 300,000 in total. Each packet opens a new flow.
STEPS: Final = (50_000, 100_000, 150_000)
BATCH_PACKETS: Final = 100
BATCH_PAUSE_S: Final = 0.01
TIMEOUT_S: Final = 10.0
PAYLOAD: Final = bytes(64)
PORT: Final = 6100
SERVICE: Final = "service-0"
SERVICE_ADDRESS: Final = "10.9.0.1"
SERVICE_PORT: Final = 5683
FIRST_CALLER: Final = 0x0A64_0000
PORTS_PER_CALLER: Final = 1_000
FIRST_PORT: Final = 1_024
# Byte offsets of the caller's address and port in an IPv4 packet without options.
CALLER_OFFSET: Final = 12
PORT_OFFSET: Final = 20


class PacketMeasurement:
    """Sends the same packets to a real balancer and to a minimal forwarder."""

    deployment: Deployment
    forwarder: Process
    # Target of both. Nothing reads it, so the kernel drops packets once it is full.
    sink: socket.socket
    sender: socket.socket
    points: dict[str, list[tuple[float, float]]]

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sink.bind((deployment.plan.addresses.allocate_host(), PORT))
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.points = defaultdict(list)
        self.host = deployment.plan.addresses.allocate_host()
        self.forwarder = deployment.group.add(
            "forwarder",
            "-m",
            "lentilfork.bench.capacity_forwarder",
            self.host,
            str(PORT),
            *map(str, self.sink.getsockname()),
        )

    async def start(self) -> "asyncio.Task[None]":
        """Start both processes and one simulated agent, which owns every flow."""
        await self.forwarder.start_and_wait_ready()
        generation = await self.deployment.operator.apply_service(
            state_pb2.Service(
                name=SERVICE,
                address=SERVICE_ADDRESS,
                port=SERVICE_PORT,
                deadline_ms=2_000,
            )
        )
        controllers = tuple(self.deployment.operator.controllers)
        receiver = Receiver(0, "sink", controllers, defaultdict(list))
        host, port = self.sink.getsockname()
        receiver.agent.packet_address = f"{host}:{port}"
        task = asyncio.create_task(receiver.run())
        async with asyncio.timeout(TIMEOUT_S):
            while not receiver.admitted:
                await asyncio.sleep(0.1)
        await self.deployment.wait_ready(generation + 1)
        return task

    async def count_balancer_packets(self) -> int:
        """Return the number of packets the balancer has forwarded."""
        dump = await self.deployment.dump("entry-1")
        return int(dump["counters"].get("forwarded", 0))

    async def count_forwarder_packets(self) -> int:
        """Return the number of packets the minimal forwarder has forwarded."""
        before = self.forwarder.count_output_lines()
        self.forwarder.write_control({})
        await wait_until(
            lambda: self.forwarder.count_output_lines() > before,
            TIMEOUT_S,
            "the count of the forwarder",
        )
        return int(self.forwarder.output_path.read_text().splitlines()[-1])

    async def send_packets(self, first: int, count: int) -> None:
        """Send packets of new flows to both processes at a limited rate."""
        balancer = split_address(
            self.deployment.plan.balancers["entry-1"].packet_address
        )
        service = socket.inet_aton(SERVICE_ADDRESS)
        packet_sockets = SocketPair(bytes(4), 0, service, SERVICE_PORT)
        packet = bytearray(build_packet(packet_sockets, PAYLOAD, to_caller=False))
        for number in range(first, first + count):
            # Only the caller's socket changes; the balancer verifies no checksum.
            caller = FIRST_CALLER + number // PORTS_PER_CALLER
            struct.pack_into("!I", packet, CALLER_OFFSET, caller)
            port = FIRST_PORT + number % PORTS_PER_CALLER
            struct.pack_into("!H", packet, PORT_OFFSET, port)
            self.sender.sendto(packet, balancer)
            self.sender.sendto(packet, (self.host, PORT))
            if number % BATCH_PACKETS == 0:
                await asyncio.sleep(BATCH_PAUSE_S)
        await asyncio.sleep(1.0)

    async def run(self) -> dict[str, float]:
        """Send the packets of all steps and return the total counts."""
        balancer = self.deployment.get_process("entry-1")
        total = 0
        first = read_process(balancer), read_process(self.forwarder)
        for step in STEPS:
            await self.send_packets(total, step)
            total += step
            forwarded = await self.count_balancer_packets()
            forwarder_count = await self.count_forwarder_packets()
            reading, forwarder_reading = (
                read_process(balancer),
                read_process(self.forwarder),
            )
            spent_s = reading.processor_s - first[0].processor_s
            self.points["balancer, packets processor"].append((forwarded, spent_s))
            self.points["bare forwarder, packets processor"].append(
                (forwarder_count, forwarder_reading.processor_s - first[1].processor_s)
            )
            grown_bytes = reading.uss_bytes - first[0].uss_bytes
            self.points["balancer, memory of flows"].append((total, grown_bytes))
        return {"sent": total, "forwarded": forwarded, "bare": forwarder_count}

    def close(self) -> None:
        """Close the sockets."""
        self.sink.close()
        self.sender.close()


async def measure_packets(folder: Path) -> tuple[list[Slope], dict[str, float]]:
    """Return slopes against packets and flows, and the total packet counts."""
    description = DeploymentDescription(name="packets", balancers=1, services=())
    async with Deployment(description, folder) as deployment:
        measurement = PacketMeasurement(deployment)
        task = await measurement.start()
        try:
            totals = await measurement.run()
        finally:
            task.cancel()
            measurement.close()
    units = {
        "balancer, packets processor": ("s", "packet"),
        "bare forwarder, packets processor": ("s", "packet"),
        "balancer, memory of flows": ("B", "flow"),
    }
    slopes = [
        fit_slope(name, unit, per, measurement.points[name])
        for name, (unit, per) in units.items()
    ]
    return slopes, totals
