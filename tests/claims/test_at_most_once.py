"""At-most-once execution with real processes: duplicates of a request at many agents.

The journals of the backend servers show how often each request ran.
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

from lentilfork.bench.backend_server import WORK_PREFIX
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
# Id of the service that is applied first.
SERVICE_ID = 1
PORT = 40_000
AGENTS = [f"warnings-{number}" for number in range(1, 8)]
# Longest time until a caller is answered; the deadline of a request is 6 s.
ANSWER_TIMEOUT_S = 8.0
# Speed factor that extends the service time of 40 ms to 2 s.
SLOW_SPEED = 0.02
READY_TIMEOUT_S = 30.0
# A lease lasts for 2 s after the last heartbeat.
LONGER_THAN_LEASE_S = 3.0
UNKNOWN = "outcome unknown"
NOT_RUN = "not run"


class Sender:
    """Caller that sends duplicates of a request directly to agents, as placed flows."""

    deployment: Deployment
    socket: socket.socket
    # Texts of the answers that the caller got, by request id.
    answers: dict[str, list[str]]

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.answers = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.bind((deployment.plan.addresses.allocate_host(), PORT))

    def send(self, number: int, agents: Iterable[str]) -> None:
        """Send one duplicate of request `number` to each agent."""
        message = Message(code=POST, payload=b"ice", uri_path=["reports"])
        # With the mean work instead of a random one: a request that takes 2 s ends
        # before its deadline.
        message.opt.uri_query = [f"id=r{number}", f"{WORK_PREFIX}1"]
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
            self.answers.setdefault(f"r{number}", []).append(text)

    async def wait_first_answer(self, number: int) -> str:
        """Wait for the first answer to a request and return its text."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while f"r{number}" not in self.answers:
                await asyncio.sleep(0.02)
        return self.answers[f"r{number}"][0]

    def count_runs(self) -> Counter[str]:
        """Return the number of runs of each request, by request id."""
        found = (find_request_id(run.query) for run in self.deployment.list_runs())
        return Counter(name for name in found if name)

    async def wait_run(self, number: int) -> None:
        """Wait until a request has run or is running."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not self.count_runs()[f"r{number}"]:
                await asyncio.sleep(0.02)

    def check_answers(self) -> None:
        """Check all answers so far against the journals of the backend servers."""
        runs = self.count_runs()
        print("runs", dict(runs), "told", self.answers)
        assert not [name for name, count in runs.items() if count > 1]
        for name, texts in self.answers.items():
            assert NOT_RUN not in texts or not runs[name], name
            assert "answer" not in texts or runs[name], name


@pytest.fixture
async def wiring() -> ProxiedWiring:
    """Return fault-injecting proxies between all processes."""
    return ProxiedWiring(SEED)


@pytest.fixture
async def sender(tmp_path: Path, wiring: ProxiedWiring) -> AsyncIterator[Sender]:
    """Yield a caller of a running deployment and check its answers at the end."""
    async with open_deployment(load_example("guild"), tmp_path, wiring) as deployment:
        sender = Sender(deployment)
        receiving = asyncio.create_task(sender.receive())
        await wait_synced(deployment)
        yield sender
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        receiving.cancel()
        sender.check_answers()
        sender.socket.close()


async def wait_synced(deployment: Deployment) -> None:
    """Wait until all shards of the service are synced at voters among its agents."""
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


async def test_duplicates_at_all_agents_run_once(sender: Sender) -> None:
    for number in range(1, 21):
        sender.send(number, AGENTS)
        await asyncio.sleep(0.1)
    for number in range(1, 21):
        assert await sender.wait_first_answer(number) == "answer"
    assert len(sender.count_runs()) == 20


@pytest.mark.parametrize("kill", ["before", "while", "after"])
async def test_killed_runner(sender: Sender, kill: str) -> None:
    runner, *others = AGENTS
    if kill != "after":
        await sender.deployment.set_behaviour(runner, speed=SLOW_SPEED)
    if kill == "before":
        # This request occupies the only slot, so the next one is claimed and waits.
        sender.send(1, [runner])
        await sender.wait_run(1)
    sender.send(2, [runner])
    if kill == "before":
        await asyncio.sleep(0.3)
    else:
        await sender.wait_run(2)
    if kill == "after":
        assert await sender.wait_first_answer(2) == "answer"
        sender.answers.clear()
    process = sender.deployment.get_process(runner)
    process.kill()
    sender.send(2, others)
    first_answer = await sender.wait_first_answer(2)
    assert first_answer == ("answer" if kill == "after" else UNKNOWN)
    process.start()
    await wait_until_applied(sender.deployment, runner)
    # The restarted process has no records.
    sender.answers.clear()
    sender.send(2, [runner])
    assert await sender.wait_first_answer(2) == first_answer


async def test_two_voters_lost_at_once(sender: Sender) -> None:
    sender.send(1, AGENTS[:1])
    assert await sender.wait_first_answer(1) == "answer"
    dumps = {agent: await sender.deployment.dump(agent) for agent in AGENTS}
    holders = [
        agent
        for agent, dump in dumps.items()
        if any(shard["records"] for shard in dump["claims"].values())
    ]
    for agent in holders[:2]:
        sender.deployment.get_process(agent).kill()
    sender.answers.clear()
    remaining = [agent for agent in AGENTS if agent not in holders[:2]]
    sender.send(1, remaining)
    assert await sender.wait_first_answer(1) == "answer"
    sender.send(2, remaining)
    assert await sender.wait_first_answer(2) == "answer"


async def test_a_frozen_runner_resumes_after_its_lease(sender: Sender) -> None:
    runner, *others = AGENTS
    await sender.deployment.set_behaviour(runner, speed=SLOW_SPEED)
    sender.send(1, [runner])
    await sender.wait_run(1)
    sender.send(2, [runner])
    await asyncio.sleep(0.3)
    process = sender.deployment.get_process(runner)
    process.pause()
    # These packets stay in the socket of the paused process until it is resumed.
    sender.send(3, [runner])
    sender.send(3, others)
    assert await sender.wait_first_answer(3) == "answer"
    sender.send(2, others)
    assert await sender.wait_first_answer(2) == UNKNOWN
    await asyncio.sleep(ANSWER_TIMEOUT_S)
    process.resume()
    await wait_until_applied(sender.deployment, runner)


async def test_answer_of_a_runner_that_was_silent_for_longer_than_its_lease(
    sender: Sender,
) -> None:
    runner, *others = AGENTS
    await sender.deployment.set_behaviour(runner, speed=SLOW_SPEED)
    sender.send(1, [runner])
    await sender.wait_run(1)
    process = sender.deployment.get_process(runner)
    process.pause()
    await asyncio.sleep(LONGER_THAN_LEASE_S)
    # The controllers have removed the runner, but its request still runs.
    sender.send(1, others)
    await asyncio.sleep(0.5)
    process.resume()
    assert await sender.wait_first_answer(1) == "answer"
    assert sender.count_runs()["r1"] == 1


async def test_agents_cut_off_from_each_other(
    sender: Sender, wiring: ProxiedWiring
) -> None:
    # No agent receives packets from another one, so no claim gets a majority and no
    # request may run. The agents of the other service are cut off too: they also vote.
    agents = list(sender.deployment.plan.endpoints)
    for agent in agents:
        wiring.apply(f"[*]>{agent}", cut="both")
    sender.send(1, AGENTS)
    assert await sender.wait_first_answer(1) == UNKNOWN
    assert not sender.count_runs()
    for agent in agents:
        wiring.apply(f"[*]>{agent}", cut="none")
    await asyncio.sleep(1.0)
    sender.send(2, AGENTS)
    assert await sender.wait_first_answer(2) == "answer"
