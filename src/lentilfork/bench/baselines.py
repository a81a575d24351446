"""Two simple load balancers used as baselines, run as separate processes.

Both assign a flow to an agent of its service by rendezvous hashing and keep no shared
directory of flows. `hash` computes the hash for each packet. `table` also stores the
agent of each flow in a table that is local to the balancer.

The baseline agent runs every request that it receives: it absorbs retransmissions that
reach the same agent, queues requests for the slots of its backend server, and can
continue only downloads that it started itself.
Balancers receive the list of agents in control lines. Run as
`python -m lentilfork.bench.baselines balancer FILE` or `... agent FILE`.
"""

import asyncio
import sys
import time
from collections import OrderedDict
from pathlib import Path
from typing import Final
from typing import Literal

import xxhash
from pydantic import BaseModel
from pydantic import ConfigDict
from result import Ok

from lentilfork.adapters.backends import BackendError
from lentilfork.adapters.backends import BackendServer
from lentilfork.adapters.callers import Answer
from lentilfork.adapters.callers import Request
from lentilfork.adapters.callers import encode_answer
from lentilfork.adapters.callers import make_failure_answer
from lentilfork.adapters.callers import make_not_run_answer
from lentilfork.adapters.callers import make_outcome_unknown_answer
from lentilfork.adapters.callers import parse_message
from lentilfork.adapters.datagrams import DatagramSocket
from lentilfork.adapters.packets import Packet
from lentilfork.adapters.packets import SocketPair
from lentilfork.adapters.packets import build_packet
from lentilfork.adapters.packets import parse_packet
from lentilfork.bench.control import ControlChange
from lentilfork.bench.control import serve_control
from lentilfork.settings import SocketAddress
from lentilfork.settings import split_address

__all__ = ["BaselineAgentConfig", "BaselineBalancerConfig", "Method"]

Method = Literal["hash", "table"]
Address = tuple[str, int]

MAXIMUM_FLOWS: Final = 500_000
MAXIMUM_ANSWERS: Final = 20_000
QUEUE_PER_SLOT: Final = 16
QUEUE_TIME_S: Final = 1.5
RUN_TIMEOUT_S: Final = 6.0
RETRY_AFTER_S: Final = 1
CODE_INCOMPLETE: Final = 136
STOP_TIMEOUT_S: Final = 20.0
POLL_S: Final = 0.05


class BaselineBalancerConfig(BaseModel):
    """Configuration of one baseline balancer."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    packet_address: SocketAddress
    method: Method


class BaselineAgentConfig(BaseModel):
    """Configuration of one baseline agent."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    packet_address: SocketAddress
    return_address: SocketAddress
    backend_server: SocketAddress
    slots: int
    long_paths: tuple[str, ...]


class BaselineBalancer:
    """Forwards each packet to the agent that its flow hashes to or is stored for."""

    config: BaselineBalancerConfig
    packets: DatagramSocket
    # Packet addresses of the agents, by the service's address.
    agents: dict[Address, list[Address]]
    # Agents of flows, least recently used first; stays empty for "hash".
    table: OrderedDict[bytes, Address]

    def __init__(self, config: BaselineBalancerConfig) -> None:
        self.config = config
        self.packets = DatagramSocket(self.handle_packet)
        self.agents = {}
        self.table = OrderedDict()

    async def start(self) -> None:
        """Bind the packet socket; raises RuntimeError."""
        open_result = await self.packets.open(self.config.packet_address)
        if open_result.is_err():
            raise RuntimeError(str(open_result.unwrap_err()))

    def apply(self, change: ControlChange) -> None:
        """Apply the agents of each service: `{"ip:port": ["ip:port", ...]}`."""
        self.agents = {
            split_address(service): [split_address(agent) for agent in agents]
            for service, agents in change.items()
        }

    def handle_packet(self, data: bytes, _sender: Address) -> None:
        """Forward one packet to an agent; drops it if there is none."""
        packet = parse_packet(data)
        if not isinstance(packet, Packet):
            return
        agent = self.find_agent(packet.pair)
        if agent is not None:
            self.packets.send(data, agent)

    def find_agent(self, pair: SocketPair) -> Address | None:
        """Return the agent of a flow; None if the service has no agents."""
        service = (".".join(map(str, pair.service_address)), pair.service_port)
        agents = self.agents.get(service)
        if not agents:
            return None
        key = pair.flow_key()
        stored_agent = self.table.get(key)
        if stored_agent in agents:
            self.table.move_to_end(key)
            return stored_agent
        best_agent = max(
            agents,
            key=lambda agent: xxhash.xxh3_64_intdigest(key + str(agent).encode()),
        )
        self.store_flow(key, best_agent)
        return best_agent

    def store_flow(self, key: bytes, agent: Address) -> None:
        """Store the agent of a flow if the method is "table"."""
        if self.config.method == "table":
            self.table[key] = agent
            if len(self.table) > MAXIMUM_FLOWS:
                self.table.popitem(last=False)


class BaselineAgent:
    """Runs each request that it receives, once for each caller and message id."""

    config: BaselineAgentConfig
    packets: DatagramSocket
    backend: BackendServer
    slots: asyncio.Semaphore
    waiting: int
    # Answers by caller and message id; None while the request runs.
    answers: OrderedDict[bytes, bytes | None]
    # Long answers by caller and path.
    downloads: OrderedDict[bytes, Answer]
    tasks: set[asyncio.Task[None]]

    def __init__(self, config: BaselineAgentConfig) -> None:
        self.config = config
        self.packets = DatagramSocket(self.handle_packet)
        self.backend = BackendServer(config.backend_server)
        self.slots = asyncio.Semaphore(config.slots)
        self.waiting = 0
        self.answers = OrderedDict()
        self.downloads = OrderedDict()
        self.tasks = set()

    async def start(self) -> None:
        """Bind the packet socket; raises RuntimeError."""
        open_result = await self.packets.open(self.config.packet_address)
        if open_result.is_err():
            raise RuntimeError(str(open_result.unwrap_err()))
        self.backend.is_connected()

    async def stop(self) -> None:
        """Wait for running requests, then close the backend connection."""
        deadline = time.monotonic() + STOP_TIMEOUT_S
        while self.tasks and time.monotonic() < deadline:
            await asyncio.sleep(POLL_S)
        await self.backend.close()

    def apply(self, change: ControlChange) -> None:
        """Reject every change: a baseline agent cannot be changed at run time."""
        raise ValueError(f"a baseline agent accepts no changes: {change}")

    def handle_packet(self, data: bytes, _sender: Address) -> None:
        """Start to serve a request, or resend the answer if it has one."""
        packet = parse_packet(data)
        if not isinstance(packet, Packet):
            return
        request = parse_message(packet.payload)
        if not isinstance(request, Request):
            return
        caller = packet.pair.caller_key()
        key = caller + request.message_id.to_bytes(2, "big")
        if key in self.answers:
            stored_answer = self.answers[key]
            if stored_answer is not None:
                self.send(packet.pair, stored_answer)
            return
        self.answers[key] = None
        if len(self.answers) > MAXIMUM_ANSWERS:
            self.answers.popitem(last=False)
        task = asyncio.create_task(self.serve(packet.pair, request, key))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def serve(self, pair: SocketPair, request: Request, key: bytes) -> None:
        """Produce the answer to a request and send it."""
        long = request.path[:1] and request.path[0] in self.config.long_paths
        if long:
            answer = await self.get_download(pair, request, key)
        else:
            answer = await self.run(request, key, long=False)
        encoded = encode_answer(request, answer)
        self.answers[key] = encoded
        self.send(pair, encoded)

    def send(self, pair: SocketPair, encoded: bytes) -> None:
        """Send an answer to its caller through the fabric."""
        packet = build_packet(pair, encoded, to_caller=True)
        self.packets.send(packet, split_address(self.config.return_address))

    async def get_download(
        self, pair: SocketPair, request: Request, key: bytes
    ) -> Answer:
        """Return a long answer: run for block 0, the stored one for later blocks."""
        download_key = pair.caller_key() + request.target.encode()
        if request.block_number:
            incomplete_answer = Answer(CODE_INCOMPLETE, b"start anew")
            return self.downloads.get(download_key, incomplete_answer)
        answer = await self.run(request, key, long=True)
        self.downloads[download_key] = answer
        if len(self.downloads) > MAXIMUM_ANSWERS:
            self.downloads.popitem(last=False)
        return answer

    async def run(self, request: Request, key: bytes, *, long: bool) -> Answer:
        """Run a request in a slot; answers "not run" if none is free in time."""
        if self.waiting >= QUEUE_PER_SLOT * self.config.slots:
            return make_not_run_answer(RETRY_AFTER_S)
        self.waiting += 1
        try:
            await asyncio.wait_for(self.slots.acquire(), QUEUE_TIME_S)
        except TimeoutError:
            return make_not_run_answer(RETRY_AFTER_S)
        finally:
            self.waiting -= 1
        try:
            call = self.backend.fetch if long else self.backend.call
            result = await call(request, key, RUN_TIMEOUT_S)
        finally:
            self.slots.release()
        if isinstance(result, Ok):
            return result.ok_value
        return make_error_answer(result.err_value.error)


def make_error_answer(error: BackendError) -> Answer:
    """Return the answer that a caller gets for a failed call."""
    if error in (BackendError.SHED, BackendError.UNREACHABLE):
        return make_not_run_answer(RETRY_AFTER_S)
    if error is BackendError.UNKNOWN:
        return make_outcome_unknown_answer()
    return make_failure_answer("backend server failed")


async def run_balancer(text: str) -> None:
    """Serve as a balancer until asked to stop."""
    balancer = BaselineBalancer(BaselineBalancerConfig.model_validate_json(text))
    await balancer.start()
    await serve_control(balancer.apply)


async def run_agent(text: str) -> None:
    """Serve as an agent until asked to stop, then wait for running requests."""
    agent = BaselineAgent(BaselineAgentConfig.model_validate_json(text))
    await agent.start()
    await serve_control(agent.apply)
    await agent.stop()


def main() -> None:
    """Run the role in the first argument, configured by the file in the second."""
    roles = {"balancer": run_balancer, "agent": run_agent}
    text = Path(sys.argv[2]).read_text(encoding="utf-8")
    asyncio.run(roles[sys.argv[1]](text))


if __name__ == "__main__":
    main()
