"""At most once with real processes: copies of one request at several agents.

The backend servers' journals are the judge.
"""

import asyncio
import socket
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Iterable
from pathlib import Path

import pytest
from aiocoap import POST
from aiocoap import Message
from aiocoap import Type

from lentilfork.bench.deployment import Deployment
from lentilfork.bench.fabric import wrap_payload
from lentilfork.bench.journals import find_request_id
from lentilfork.bench.proxied_wiring import ProxiedWiring
from lentilfork.schema import packets_pb2
from lentilfork.settings import split_address
from tests.deployments import SEED
from tests.deployments import load_example
from tests.deployments import open_deployment
from tests.deployments import wait_until_applied

pytestmark = pytest.mark.deployment

SERVICE = "warnings"
# The first service that is applied.
SERVICE_ID = 1
PORT = 40_000
AGENTS = [f"warnings-{number}" for number in range(1, 8)]
# A caller's deadline is 6 s.
TOLD_WITHIN_S = 8.0
# Divides 40 ms of service time: a request runs for 2 s.
SLOW = 0.02
READY_TIMEOUT_S = 30.0
UNKNOWN = "outcome unknown"
NOT_RUN = "not run"


class Sender:
    """Sends copies of a request straight to agents, as if each had to serve it."""

    deployment: Deployment
    socket: socket.socket
    # What the caller was told, by request id.
    told: dict[str, list[str]]

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.told = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((deployment.plan.addresses.allocate_host(), PORT))

    def send(self, number: int, agents: Iterable[str]) -> None:
        """Send one copy of request `number` to each agent."""
        message = Message(code=POST, payload=b"ice", uri_path=["reports"])
        message.opt.uri_query = [f"id=r{number}"]
        message.mtype, message.mid = Type.CON, number
        message.token = number.to_bytes(4, "big")
        service = split_address(self.deployment.get_address(SERVICE))
        packet = wrap_payload(message.encode(), self.socket.getsockname(), service)
        envelope = packets_pb2.Envelope(
            service_id=SERVICE_ID, packet=packet, placed=True
        ).SerializeToString()
        for agent in agents:
            host = self.deployment.plan.endpoints[agent].agent
            self.socket.sendto(envelope, split_address(host.packet_address))

    async def receive(self) -> None:
        """Collect answers until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            message = Message.decode(await loop.sock_recv(self.socket, 2_000))
            number = int.from_bytes(message.token, "big")
            text = message.payload.decode(errors="replace")
            if message.code.is_successful():
                text = "answer"
            self.told.setdefault(f"r{number}", []).append(text)

    async def wait_told(self, number: int) -> str:
        """Return what the caller is told first."""
        async with asyncio.timeout(TOLD_WITHIN_S):
            while f"r{number}" not in self.told:
                await asyncio.sleep(0.02)
        return self.told[f"r{number}"][0]

    def count_runs(self) -> Counter[str]:
        """Return how often each request ran."""
        found = (find_request_id(run.query) for run in self.deployment.list_runs())
        return Counter(name for name in found if name)

    async def wait_run(self, number: int) -> None:
        """Wait until a request runs."""
        async with asyncio.timeout(TOLD_WITHIN_S):
            while not self.count_runs()[f"r{number}"]:
                await asyncio.sleep(0.02)

    def judge(self) -> None:
        """Check every request sent so far against the journals."""
        runs = self.count_runs()
        print("runs", dict(runs), "told", self.told)
        assert not [name for name, count in runs.items() if count > 1]
        for name, texts in self.told.items():
            assert NOT_RUN not in texts or not runs[name], name
            assert "answer" not in texts or runs[name], name


@pytest.fixture
async def wiring() -> ProxiedWiring:
    """Return proxies between all processes."""
    return ProxiedWiring(SEED)


@pytest.fixture
async def sender(tmp_path: Path, wiring: ProxiedWiring) -> AsyncIterator[Sender]:
    """Return a caller of a running deployment; judges at the end."""
    async with open_deployment(load_example("guild"), tmp_path, wiring) as deployment:
        sender = Sender(deployment)
        receiving = asyncio.create_task(sender.receive())
        await wait_voters(deployment)
        yield sender
        await asyncio.sleep(TOLD_WITHIN_S)
        receiving.cancel()
        sender.judge()
        sender.socket.close()


async def wait_voters(deployment: Deployment) -> None:
    """Wait until every shard of the service has voters at its agents."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            dumps = [(await deployment.dump(agent))["claims"] for agent in AGENTS]
            shards = {
                name for dump in dumps for name in dump if name.startswith(SERVICE)
            }
            if len(shards) == 4 and not any(
                shard["epoch"] != shard["synced_epoch"]
                for dump in dumps
                for shard in dump.values()
            ):
                return
            await asyncio.sleep(0.1)


async def test_copies_at_all_agents_run_once(sender: Sender) -> None:
    for number in range(1, 21):
        sender.send(number, AGENTS)
        await asyncio.sleep(0.1)
    for number in range(1, 21):
        assert await sender.wait_told(number) == "answer"
    assert len(sender.count_runs()) == 20


@pytest.mark.parametrize("kill", ["before", "while", "after"])
async def test_killed_runner(sender: Sender, kill: str) -> None:
    runner, *others = AGENTS
    if kill != "after":
        await sender.deployment.set_behaviour(runner, speed=SLOW)
    if kill == "before":
        # Takes the only slot: the next request is claimed and waits.
        sender.send(1, [runner])
        await sender.wait_run(1)
    sender.send(2, [runner])
    if kill == "before":
        await asyncio.sleep(0.3)
    else:
        await sender.wait_run(2)
    if kill == "after":
        assert await sender.wait_told(2) == "answer"
        sender.told.clear()
    process = sender.deployment.get_process(runner)
    process.kill()
    sender.send(2, others)
    told = await sender.wait_told(2)
    assert told == ("answer" if kill == "after" else UNKNOWN)
    process.start()
    await wait_until_applied(sender.deployment, runner)
    # It has an empty memory now.
    sender.told.clear()
    sender.send(2, [runner])
    assert await sender.wait_told(2) == told


async def test_two_voters_lost_at_once(sender: Sender) -> None:
    sender.send(1, AGENTS[:1])
    assert await sender.wait_told(1) == "answer"
    dumps = {agent: await sender.deployment.dump(agent) for agent in AGENTS}
    holders = [
        agent
        for agent, dump in dumps.items()
        if any(shard["records"] for shard in dump["claims"].values())
    ]
    for agent in holders[:2]:
        sender.deployment.get_process(agent).kill()
    sender.told.clear()
    left = [agent for agent in AGENTS if agent not in holders[:2]]
    sender.send(1, left)
    assert await sender.wait_told(1) == "answer"
    sender.send(2, left)
    assert await sender.wait_told(2) == "answer"


async def test_a_frozen_runner_wakes_after_its_lease(sender: Sender) -> None:
    runner, *others = AGENTS
    await sender.deployment.set_behaviour(runner, speed=SLOW)
    sender.send(1, [runner])
    await sender.wait_run(1)
    sender.send(2, [runner])
    await asyncio.sleep(0.3)
    process = sender.deployment.get_process(runner)
    process.pause()
    # Packets that wait in its socket until it wakes.
    sender.send(3, [runner])
    sender.send(3, others)
    assert await sender.wait_told(3) == "answer"
    sender.send(2, others)
    assert await sender.wait_told(2) == UNKNOWN
    await asyncio.sleep(TOLD_WITHIN_S)
    process.resume()
    await wait_until_applied(sender.deployment, runner)


async def test_agents_cut_off_from_each_other(
    sender: Sender, wiring: ProxiedWiring
) -> None:
    # No agent hears another, so nobody has a majority: nothing may run. The agents of
    # the other service vote as well.
    agents = list(sender.deployment.plan.endpoints)
    for agent in agents:
        wiring.apply(f"[*]>{agent}", cut="both")
    sender.send(1, AGENTS)
    assert await sender.wait_told(1) == UNKNOWN
    assert not sender.count_runs()
    for agent in agents:
        wiring.apply(f"[*]>{agent}", cut="none")
    await asyncio.sleep(1.0)
    sender.send(2, AGENTS)
    assert await sender.wait_told(2) == "answer"
