"""Compares sending an update from a controller with forwarding it along a tree.

Receivers are UDP sockets of one process. Each forwards a real update to its children
one after the other, at the rate of its link; a round is one send. The printed table
compares flat sending with trees, and a random order of forwarding with an adaptive
one, in which each node searches its ancestors for a free round (the algorithm of the
paper named in docs/DESIGN.md).

Usage: python -m lentilfork.bench.spreading [RECEIVERS...]
"""

import asyncio
import random
import sys
import time
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import cast

from lentilfork.bench.addresses import AddressBlock
from lentilfork.schema import control_pb2
from lentilfork.state import make_delta
from lentilfork.state.model import Agent
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Service

__all__ = [
    "Schedule",
    "main",
    "make_adaptive_schedule",
    "make_flat_schedule",
    "make_random_order_schedule",
    "measure_schedule",
]

SEED: Final = 7
ROOT: Final = 0
MEMBER_BYTES_PER_S: Final = 10_000
CONTROLLER_BYTES_PER_S: Final = 1_000_000
DEFAULT_SIZES: Final = (50, 200, 800)
REPEATS: Final = 3
ROUND_BYTES: Final = 2
TIMEOUT_S: Final = 30.0
MAXIMUM_ROUNDS: Final = 4_096
MAXIMUM_REQUESTS: Final = 1_000_000


@dataclass(slots=True)
class Schedule:
    """Receivers of each node in sending order; node 0 is the controller."""

    children: dict[int, list[int]] = field(default_factory=dict)

    def get_children(self, node: int) -> list[int]:
        """Return the receivers of a node in the order in which it sends."""
        return self.children.get(node, [])


def make_flat_schedule(count: int) -> Schedule:
    """Return the schedule in which the controller sends to every receiver."""
    return Schedule({ROOT: list(range(1, count + 1))})


def draw_parents(count: int, rng: random.Random) -> dict[int, int]:
    """Return the parents of a tree over random positions on a ring.

    A position is halved until another node owns the result; that node is the parent.
    The tree thus needs no agreement beyond the positions. The controller is at zero.
    """
    positions = [0.0, *sorted(rng.random() for _ in range(count))]
    parents: dict[int, int] = {}
    for node in range(1, count + 1):
        target = positions[node]
        owner = node
        while owner == node:
            target /= 2
            owner = find_owner(positions, target)
        parents[node] = owner
    return parents


def find_owner(positions: list[float], target: float) -> int:
    """Return the owner of a position: the last node at or before it."""
    low, high = 0, len(positions)
    while high - low > 1:
        middle = (low + high) // 2
        if positions[middle] <= target:
            low = middle
        else:
            high = middle
    return low


def make_random_order_schedule(parents: dict[int, int], rng: random.Random) -> Schedule:
    """Return the schedule in which each node sends to its children in random order."""
    schedule = Schedule()
    for node, parent in parents.items():
        schedule.children.setdefault(parent, []).append(node)
    for children in schedule.children.values():
        rng.shuffle(children)
    return schedule


class AdaptiveSchedule:
    """Assigns each node a free early round of one of its ancestors.

    Rounds are counted from the last one back, so a larger number is earlier. A
    node must receive in an earlier round than any in which it sends.
    """

    parents: dict[int, int]
    # Receiver by round, for each sending node.
    rounds: dict[int, dict[int, int]]
    # The sender to each node, and the round in which it receives.
    senders: dict[int, tuple[int, int]]
    # Requests for a round that nodes have made to their ancestors.
    requests: int

    def __init__(self, parents: dict[int, int]) -> None:
        self.parents = parents
        self.rounds = {node: {} for node in (ROOT, *parents)}
        self.senders = {}
        self.requests = 0

    def assign_senders(self, nodes: Iterable[int]) -> None:
        """Find a sender for each node, and for those displaced on the way."""
        waiting = list(nodes)
        while waiting:
            node = waiting.pop()
            displaced = self.assign_sender(node)
            if displaced is not None:
                waiting.append(displaced)

    def assign_sender(self, node: int) -> int | None:
        """Assign a sender to a node; return a node that lost its sender to this."""
        first = max(self.rounds[node], default=0) + 1
        for number in range(first, MAXIMUM_ROUNDS):
            for ancestor in self.list_ancestors(node):
                self.requests += 1
                assert self.requests < MAXIMUM_REQUESTS, (
                    "the schedule does not converge"
                )
                if self.can_send(ancestor, number):
                    return self.assign_round(ancestor, number, node)
        raise RuntimeError(f"node {node} finds no free round below {MAXIMUM_ROUNDS}")

    def list_ancestors(self, node: int) -> Iterator[int]:
        """Yield the ancestors of a node, from its parent up to the controller."""
        while node != ROOT:
            node = self.parents[node]
            yield node

    def can_send(self, ancestor: int, number: int) -> bool:
        """Return whether a node may accept a receiver in a round."""
        if number in self.rounds[ancestor]:
            return False
        assigned = self.senders.get(ancestor)
        return assigned is None or number <= assigned[1]

    def assign_round(self, sender: int, number: int, node: int) -> int | None:
        """Assign `sender` to `node`; return `sender` if it lost its own sender."""
        displaced = None
        assigned = self.senders.get(sender)
        if assigned is not None and number == assigned[1]:
            del self.rounds[assigned[0]][assigned[1]]
            del self.senders[sender]
            displaced = sender
        self.rounds[sender][number] = node
        self.senders[node] = (sender, number)
        return displaced


def make_adaptive_schedule(parents: dict[int, int], rng: random.Random) -> Schedule:
    """Return the adaptive schedule, with nodes joining in random order."""
    adaptive = AdaptiveSchedule(parents)
    adaptive.assign_senders(rng.sample(sorted(parents), len(parents)))
    return Schedule(
        {
            node: [receivers[number] for number in sorted(receivers, reverse=True)]
            for node, receivers in adaptive.rounds.items()
        }
    )


def make_update(count: int) -> bytes:
    """Return the encoded update for one new service in a state of many agents."""
    agents = {
        f"agent-{number}": Agent(
            f"agent-{number}", 1, "signs", "a", "10.0.0.1:1", "10.0.0.1:2", 1, False, 1
        )
        for number in range(count)
    }
    old = ClusterState(generation=1, agents=agents)
    service = Service(1, "signs", "10.9.0.1", 5683, 2_000, (), 2)
    new = ClusterState(generation=2, agents=agents, services={"signs": service})
    return control_pb2.Update(delta=make_delta(old, new)).SerializeToString()


@dataclass(slots=True)
class RunResult:
    """Time, rounds and bytes of one distribution of an update."""

    seconds: float = 0.0
    rounds: int = 0
    # Bytes sent by the controller, and by the member that sent the most.
    controller_bytes: int = 0
    member_bytes: int = 0


class Node(asyncio.DatagramProtocol):
    """A receiver, or the controller."""

    number: int
    run: "UpdateRun"
    transport: asyncio.DatagramTransport
    sent_bytes: int
    reached: bool

    def __init__(self, number: int, run: "UpdateRun") -> None:
        self.number = number
        self.run = run
        self.sent_bytes = 0
        self.reached = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, which is used for sending."""
        self.transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Record an update and forward it."""
        update = control_pb2.Update.FromString(data[ROUND_BYTES:])
        assert update.delta.generation
        self.reached = True
        self.run.record_reached(int.from_bytes(data[:ROUND_BYTES], "big"))
        self.run.start_forwarding(self, data)

    async def forward(self, data: bytes) -> None:
        """Send to all children in order, at the rate of the link."""
        number = int.from_bytes(data[:ROUND_BYTES], "big")
        rate = CONTROLLER_BYTES_PER_S if self.number == ROOT else MEMBER_BYTES_PER_S
        due_s = time.monotonic()
        for child in self.run.schedule.get_children(self.number):
            number += 1
            message = number.to_bytes(ROUND_BYTES, "big") + data[ROUND_BYTES:]
            due_s += len(message) / rate
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            self.transport.sendto(message, self.run.addresses[child])
            self.sent_bytes += len(message)


class UpdateRun:
    """Distributes one update to all receivers."""

    schedule: Schedule
    host: str
    addresses: list[tuple[str, int]]
    nodes: list[Node]
    result: RunResult
    missing_count: int
    done: asyncio.Event
    tasks: set["asyncio.Task[None]"]

    def __init__(self, schedule: Schedule, count: int, host: str) -> None:
        self.schedule = schedule
        self.host = host
        self.addresses = []
        self.nodes = [Node(number, self) for number in range(count + 1)]
        self.result = RunResult()
        self.missing_count = count
        self.done = asyncio.Event()
        self.tasks = set()

    def record_reached(self, number: int) -> None:
        """Record that one more receiver was reached, in a given round."""
        self.result.rounds = max(self.result.rounds, number)
        self.missing_count -= 1
        if not self.missing_count:
            self.done.set()

    def start_forwarding(self, node: Node, data: bytes) -> None:
        """Start a task in which a node forwards an update."""
        task = asyncio.create_task(node.forward(data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def execute(self, update: bytes) -> RunResult:
        """Distribute an update; raises TimeoutError if it misses a receiver."""
        loop = asyncio.get_running_loop()
        for node in self.nodes:
            transport, _ = await loop.create_datagram_endpoint(
                lambda node=node: node,  # type: ignore[misc]
                local_addr=(self.host, 0),
            )
            self.addresses.append(transport.get_extra_info("sockname"))
        started_s = time.monotonic()
        self.start_forwarding(self.nodes[ROOT], bytes(ROUND_BYTES) + update)
        try:
            await asyncio.wait_for(self.done.wait(), TIMEOUT_S)
        finally:
            for node in self.nodes:
                node.transport.close()
        self.result.seconds = time.monotonic() - started_s
        self.result.controller_bytes = self.nodes[ROOT].sent_bytes
        self.result.member_bytes = max(node.sent_bytes for node in self.nodes[1:])
        return self.result


async def measure_schedule(schedule: Schedule, count: int, host: str) -> RunResult:
    """Return the outcome of the run with the median time."""
    update = make_update(count)
    results = [
        await UpdateRun(schedule, count, host).execute(update) for _ in range(REPEATS)
    ]
    return sorted(results, key=lambda result: result.seconds)[REPEATS // 2]


async def compare_schedules(sizes: Iterable[int]) -> None:
    """Print one line for each number of receivers and each schedule."""
    block = AddressBlock()
    print("receivers schedule rounds ms controller_bytes member_bytes")
    for count in sizes:
        parents = draw_parents(count, random.Random(SEED))
        schedules = {
            "flat": make_flat_schedule(count),
            "tree-plain": make_random_order_schedule(parents, random.Random(SEED)),
            "tree-adaptive": make_adaptive_schedule(parents, random.Random(SEED)),
        }
        for name, schedule in schedules.items():
            result = await measure_schedule(schedule, count, block.allocate_host())
            print(
                count,
                name,
                result.rounds,
                round(result.seconds * 1000),
                result.controller_bytes,
                result.member_bytes,
                flush=True,
            )
    block.close()


def main(arguments: list[str]) -> None:
    """Compare at the given numbers of receivers, or at the default ones."""
    asyncio.run(compare_schedules(tuple(map(int, arguments)) or DEFAULT_SIZES))


if __name__ == "__main__":
    main(sys.argv[1:])
