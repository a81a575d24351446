"""Simulates many members of a controller in one process.

Each receiver maintains a Join stream on its own connection, sends heartbeats and
records when updates arrive. It applies no update, so that one process can simulate
hundreds of members.

Usage: python -m lentilfork.bench.receivers PREFIX COUNT PER_SECOND CONTROLLER...
Prints a JSON line once all are admitted, then one for each input line.
"""

import asyncio
import itertools
import json
import sys
import time
from collections import defaultdict
from collections.abc import AsyncIterator
from typing import Final

import grpc.aio

from lentilfork.channels import Channels
from lentilfork.schema import control_pb2
from lentilfork.schema import control_pb2_grpc
from lentilfork.schema import state_pb2

__all__ = ["Receiver", "ReceiverGroup"]

INTERVAL_S: Final = 0.5
PLACES: Final = ("place-a", "place-b", "place-c")


class Receiver:
    """A simulated agent."""

    agent: state_pb2.Agent
    controllers: tuple[str, ...]
    generation: int
    admitted: bool
    received_bytes: int
    streams: int
    # Wall-clock seconds of arrival by generation, for all receivers together.
    arrivals: dict[int, list[float]]

    def __init__(
        self,
        number: int,
        prefix: str,
        controllers: tuple[str, ...],
        arrivals: dict[int, list[float]],
    ) -> None:
        self.agent = state_pb2.Agent(
            name=f"{prefix}-{number}",
            incarnation=1,
            service=f"service-{number % 10}",
            data_centre=PLACES[number % len(PLACES)],
            packet_address="10.0.0.1:6000",
            control_address="10.0.0.1:7000",
            slots=1,
        )
        first = number % len(controllers)
        self.controllers = controllers[first:] + controllers[:first]
        self.generation = 0
        self.admitted = False
        self.received_bytes = 0
        self.streams = 0
        self.arrivals = arrivals

    async def make_heartbeats(self) -> AsyncIterator[control_pb2.Heartbeat]:
        """Yield the heartbeats of one stream; the first ones announce the agent."""
        heartbeat = control_pb2.Heartbeat(agent=self.agent)
        for sequence in itertools.count(1):
            heartbeat.sequence = sequence
            heartbeat.generation = self.generation
            yield heartbeat
            if self.admitted:
                heartbeat = control_pb2.Heartbeat()
            await asyncio.sleep(INTERVAL_S)

    async def run(self) -> None:
        """Maintain a stream; try the next controller when one fails."""
        channels = Channels()
        for address in itertools.cycle(self.controllers):
            self.streams += 1
            stub = control_pb2_grpc.ControlStub(channels.get(address))
            call = stub.Join(self.make_heartbeats())
            try:
                while isinstance(update := await call.read(), control_pb2.Update):
                    self.handle_update(update)
            except grpc.aio.AioRpcError:
                await asyncio.sleep(INTERVAL_S)

    def handle_update(self, update: control_pb2.Update) -> None:
        """Record the bytes, admission and generation of an update."""
        self.received_bytes += update.ByteSize()
        if update.acknowledged:
            self.admitted = update.admitted
        generation = max(update.delta.generation, update.snapshot.generation)
        if generation > self.generation:
            self.generation = generation
            self.arrivals[generation].append(time.time())


class ReceiverGroup:
    """Runs all receivers of one process."""

    receivers: list[Receiver]
    arrivals: dict[int, list[float]]

    def __init__(self, prefix: str, count: int, controllers: tuple[str, ...]) -> None:
        self.arrivals = defaultdict(list)
        self.receivers = [
            Receiver(number, prefix, controllers, self.arrivals)
            for number in range(count)
        ]

    def describe(self) -> str:
        """Return counts and the arrivals of the 20 newest generations as JSON."""
        newest = sorted(self.arrivals)[-20:]
        document = {
            "admitted": sum(item.admitted for item in self.receivers),
            "received_bytes": sum(item.received_bytes for item in self.receivers),
            "streams": sum(item.streams for item in self.receivers),
            "generations": [item.generation for item in self.receivers],
            "arrivals": {number: self.arrivals[number] for number in newest},
        }
        return json.dumps(document)

    async def run(self, per_second: float) -> None:
        """Start all receivers, then print a report for each input line."""
        tasks = []
        for receiver in self.receivers:
            tasks.append(asyncio.create_task(receiver.run()))
            await asyncio.sleep(1 / per_second)
        while not all(item.admitted for item in self.receivers):
            await asyncio.sleep(INTERVAL_S / 10)
        print(self.describe(), flush=True)
        loop = asyncio.get_running_loop()
        while await loop.run_in_executor(None, sys.stdin.readline):
            print(self.describe(), flush=True)
        for task in tasks:
            task.cancel()


if __name__ == "__main__":
    prefix, count, per_second, *addresses = sys.argv[1:]
    asyncio.run(
        ReceiverGroup(prefix, int(count), tuple(addresses)).run(float(per_second))
    )
