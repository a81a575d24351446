"""Simulation of claims with random schedules and the real voters, clients and planner.

The simulated network drops, delays, reorders and duplicates messages. Processes crash
and restart with empty memory, lose the connection to the controllers, and drain.
Generations reach them after different delays. Callers send duplicates of an exchange,
and later exchanges with the same request key, to any process. The journal records what
ran and what callers were told, and violations are found from it.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any
from typing import TypeVar

from lentilfork import claims
from lentilfork.claims.peers import VoterRequest
from lentilfork.counters import Counters
from lentilfork.schema.claims_pb2 import ClaimReply
from lentilfork.schema.claims_pb2 import SyncReply
from lentilfork.schema.claims_pb2 import SyncRequest
from lentilfork.state.model import Agent
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Service
from lentilfork.state.model import Voter

__all__ = ["Journal", "Profile", "Simulation"]

AGENTS = 7
Key = TypeVar("Key")
Value = TypeVar("Value")
SERVICE = "reports"


@dataclass(frozen=True)
class Profile:
    """Frequency and duration of faults in a schedule; times in seconds."""

    length: float = 12.0
    loss: float = 0.1
    repeats: float = 0.1
    # Longest time between the grant of an attempt and its run.
    pause: float = 2.0
    # Longest time after which a duplicate of an exchange arrives.
    copies: float = 3.0
    # Longest time between the first exchange of a request key and the last one.
    later: float = 6.0
    deadline: float = 3.0
    # Mean time between faults of processes.
    fault_every: float = 0.4
    # Longest time for which a process is cut off from the controllers.
    lag: float = 6.0
    requests: int = 8


@dataclass
class Journal:
    """Record of what ran and of what callers were told."""

    # Key and exchange of each run, in order.
    runs: list[tuple[bytes, bytes]] = field(default_factory=list)
    # Exchanges whose callers were told "not run".
    not_run: set[bytes] = field(default_factory=set)
    # Request key and answer of each caller that got an answer.
    answers: list[tuple[bytes, bytes]] = field(default_factory=list)
    events: Counter[str] = field(default_factory=Counter)

    def find_violations(self) -> list[str]:
        """Return a description of each violated guarantee."""
        by_key = Counter(key for key, _ in self.runs)
        ran = {exchange: key for key, exchange in self.runs}
        answered = {key + exchange for key, exchange in self.runs}
        return [
            *(
                f"{key!r} ran {count} times"
                for key, count in by_key.items()
                if count > 1
            ),
            *(
                f"{exchange!r} ran, told not run"
                for exchange in self.not_run & set(ran)
            ),
            *(
                f"{key!r} got the answer {answer!r}"
                for key, answer in self.answers
                if answer not in answered or not answer.startswith(key)
            ),
        ]


class Process:
    """One incarnation of an agent, and its connection to the other processes."""

    simulation: "Simulation"
    local_voter: Voter
    voter: claims.ClaimVoter
    client: claims.ClaimClient
    alive: bool
    # Time before which no generation reaches this process.
    hears_from: float
    tasks: set[asyncio.Task[None]]

    def __init__(self, simulation: "Simulation", local_voter: Voter) -> None:
        self.simulation, self.local_voter, self.alive = simulation, local_voter, True
        self.hears_from = 0.0
        self.tasks = set()
        clock, counters = simulation.clock, Counters()
        self.voter = claims.ClaimVoter(local_voter, self, counters, clock)
        seeded = random.Random(simulation.rng.random())
        self.client = claims.ClaimClient(
            local_voter, self, self.voter, counters, clock, seeded
        )

    def hear(self, state: ClusterState) -> None:
        """Handle a generation from the leader."""
        if self.alive:
            self.voter.apply_state(state)
            self.voter.renew_lease(state.generation)

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` until the process crashes."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def crash(self) -> None:
        """Stop immediately: no task of the process continues."""
        self.alive = False
        # Cancelled tasks must not send anything over the network.
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.client.stop()
        await self.voter.stop()

    async def call(
        self, address: str, request: VoterRequest, timeout_s: float
    ) -> ClaimReply | None:
        """Send a request over the faulty network."""
        if not self.alive:
            return None
        try:
            return await asyncio.wait_for(self.travel(address, request), timeout_s)
        except TimeoutError:
            return None

    async def travel(self, address: str, request: VoterRequest) -> ClaimReply | None:
        """Deliver a request, possibly twice or not at all, and return the reply."""
        simulation = self.simulation
        if simulation.happens(simulation.profile.repeats):
            simulation.start(self.deliver(address, request))
        # A request in flight arrives even if its caller has timed out.
        arrival = asyncio.create_task(self.deliver(address, request))
        simulation.tasks.add(arrival)
        return await asyncio.shield(arrival)

    async def deliver(self, address: str, request: VoterRequest) -> ClaimReply | None:
        """Deliver a request and return its reply, each after a delay."""
        simulation = self.simulation
        await simulation.delay()
        target = simulation.processes[address]
        if not target.alive or simulation.happens(simulation.profile.loss):
            await asyncio.sleep(simulation.profile.length)
            return None
        reply = target.voter.handle_request(request)
        await simulation.delay()
        if simulation.happens(simulation.profile.loss):
            await asyncio.sleep(simulation.profile.length)
        return reply

    async def sync(self, address: str, request: SyncRequest) -> list[SyncReply] | None:
        """Fetch the records of a voter over the faulty network."""
        simulation = self.simulation
        await simulation.delay()
        target = simulation.processes[address]
        if not target.alive or simulation.happens(simulation.profile.loss):
            return None
        parts = [part async for part in target.voter.Sync(request, None)]
        await simulation.delay()
        return None if simulation.happens(simulation.profile.loss) else parts


class Simulation:
    """One schedule with all processes, their faults, the callers and the leader."""

    profile: Profile
    rng: random.Random
    journal: Journal
    # The current process at each address; an address is the name of the agent.
    processes: dict[str, Process]
    state: ClusterState
    lost_since_ms: dict[Voter, int]
    tasks: set[asyncio.Task[Any]]

    def __init__(self, seed: int, profile: Profile) -> None:
        self.profile = profile
        self.rng = random.Random(seed)
        self.journal = Journal()
        self.processes = {}
        self.state = ClusterState(
            generation=1,
            services={SERVICE: Service(1, SERVICE, "10.0.0.1", 5683, 3000, (), 1)},
        )
        self.lost_since_ms = {}
        self.tasks = set()

    def clock(self) -> float:
        """Return the virtual time, in seconds."""
        return asyncio.get_running_loop().time()

    def happens(self, probability: float) -> bool:
        """Return whether a random event with this probability happens."""
        return self.rng.random() < probability

    async def delay(self) -> None:
        """Wait for the network delay of a message, which is usually short."""
        longest = 3.0 if self.happens(0.1) else 0.05
        await asyncio.sleep(self.rng.uniform(0.0, longest))

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run `work` independently of any process."""
        self.tasks.add(asyncio.create_task(work))

    async def run(self) -> None:
        """Run the schedule to its end."""
        for number in range(AGENTS):
            self.admit(f"a{number}", 1)
        self.start(self.lead())
        await asyncio.sleep(1.0)
        self.start(self.break_members())
        for number in range(self.profile.requests):
            self.start(self.send_exchanges(b"key-%d/" % number))
        await asyncio.sleep(self.profile.length)

    # Processes and the leader.

    def admit(self, name: str, incarnation: int) -> None:
        """Start a process and add its agent to the state."""
        process = Process(self, Voter(name, incarnation))
        self.processes[name] = process
        self.put_agent(name)

    def put_agent(self, name: str, draining: bool = False) -> None:
        """Put the current process of an agent into the state."""
        centre = f"centre-{int(name[1:]) % 3}"
        incarnation = self.processes[name].local_voter.incarnation
        agent = Agent(name, incarnation, SERVICE, centre, name, name, 1, draining, 1)
        self.change(agents=self.state.agents | {name: agent})

    def change(self, **parts: Any) -> None:
        """Create the next generation of the state with some fields replaced."""
        self.state = replace(self.state, generation=self.state.generation + 1, **parts)

    async def lead(self) -> None:
        """Plan shards and send generations after random delays, until cancelled."""
        while True:
            now_ms = int(self.clock() * 1000)
            self.lost_since_ms = claims.track_lost_voters(
                self.state, self.lost_since_ms, now_ms
            )
            for shard in claims.plan_shards(
                self.state, self.read_reports(), self.lost_since_ms, now_ms
            ):
                self.journal.events["epochs"] += bool(shard.previous)
                known = self.state.claim_shards.get(shard.name)
                fresh = known and not shard.previous and known.epoch < shard.epoch
                self.journal.events["started anew"] += bool(fresh)
                others = omit(self.state.claim_shards, shard.name)
                kept = {shard.name: shard} if shard.voters else {}
                self.change(claim_shards=others | kept)
            for process in self.processes.values():
                if process.alive and self.clock() >= process.hears_from:
                    wait_s = self.rng.uniform(0.0, 0.4)
                    loop = asyncio.get_running_loop()
                    loop.call_later(wait_s, process.hear, self.state)
            await asyncio.sleep(0.3)

    def read_reports(self) -> dict[Any, dict[Voter, int]]:
        """Return the epochs that connected processes report as synced."""
        reports: dict[Any, dict[Voter, int]] = {}
        for process in self.processes.values():
            if not process.alive or self.clock() < process.hears_from:
                continue
            for text in process.voter.list_synced_shards():
                service, index, epoch = text.split("/")
                name = claims.get_shard_name(service, b"")
                name = replace(name, index=int(index))
                reports.setdefault(name, {})[process.local_voter] = int(epoch)
        return reports

    async def break_members(self) -> None:
        """Let processes crash, drain and be cut off, until cancelled."""
        faults = [self.restart, self.cut_off, self.cut_off, self.drain, self.drain]
        while True:
            pause = self.rng.expovariate(1 / self.profile.fault_every)
            await asyncio.sleep(pause)
            name = self.rng.choice(sorted(self.processes))
            self.start(self.rng.choice(faults)(name))

    async def restart(self, name: str) -> None:
        """Crash an agent and restart it with empty memory."""
        process = self.processes[name]
        if not process.alive:
            return
        await process.crash()
        self.journal.events["crashes"] += 1
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.change(agents=omit(self.state.agents, name))
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.admit(name, process.local_voter.incarnation + 1)

    async def cut_off(self, name: str) -> None:
        """Cut an agent off from the controllers, which may remove it meanwhile."""
        process = self.processes[name]
        process.hears_from = self.clock() + self.rng.uniform(0.0, self.profile.lag)
        if self.happens(0.5):
            self.change(agents=omit(self.state.agents, name))
            await asyncio.sleep(process.hears_from - self.clock())
            if process.alive:
                self.put_agent(name)

    async def drain(self, name: str) -> None:
        """Drain an agent for a while: it is not chosen as a voter but still serves."""
        if name in self.state.agents:
            self.put_agent(name, draining=True)
            await asyncio.sleep(self.rng.uniform(1.0, 4.0))
            if name in self.state.agents and self.processes[name].alive:
                self.put_agent(name)

    # Callers.

    async def send_exchanges(self, key: bytes) -> None:
        """Send one or more exchanges with the same request key."""
        await asyncio.sleep(self.rng.uniform(0.0, self.profile.length / 2))
        for number in range(self.rng.randint(1, 3)):
            exchange = b"exchange-%d" % number
            for _ in range(self.rng.randint(1, 4)):
                self.start(self.send_copy(key, key + exchange))
            await asyncio.sleep(self.rng.uniform(0.0, self.profile.later / 2))

    async def send_copy(self, key: bytes, exchange: bytes) -> None:
        """Send one duplicate of an exchange to a random process."""
        together = self.happens(0.5)
        longest = 0.02 if together else self.profile.copies
        await asyncio.sleep(self.rng.uniform(0.0, longest))
        process = self.processes[self.rng.choice(sorted(self.processes))]
        if process.alive:
            process.start(self.serve(process, key, exchange))

    async def serve(self, process: Process, key: bytes, exchange: bytes) -> None:
        """Serve a non-idempotent request as an agent does."""
        client, deadline = process.client, self.clock() + self.profile.deadline
        while self.clock() < deadline:
            outcome: object = await client.claim(SERVICE, key, exchange, deadline)
            if isinstance(outcome, claims.HeldElsewhere):
                outcome = await client.wait_for_answer(SERVICE, key, exchange, deadline)
            self.journal.events[type(outcome).__name__] += 1
            match outcome:
                case claims.Released():
                    continue
                case claims.Granted(grant):
                    await self.use_grant(process, grant)
                case claims.RefusedBefore():
                    self.journal.not_run.add(exchange)
                case claims.AlreadyDone(answer) if answer is not None:
                    self.journal.answers.append((key, answer))
                case _:
                    if await client.refuse(SERVICE, key, exchange, deadline + 1.0):
                        self.journal.not_run.add(exchange)
                        self.journal.events["refused"] += 1
            return

    async def use_grant(self, process: Process, grant: claims.Grant) -> None:
        """Run the request or refuse it, possibly after a delay."""
        exchange = grant.attempt.exchange
        if self.happens(0.5):
            await asyncio.sleep(self.rng.uniform(0.0, self.profile.pause))
        if self.happens(0.6) and grant.begin():
            self.journal.runs.append((grant.key, exchange))
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            # The answer identifies its run, so that the journal can check it.
            answer = grant.key + exchange
            await process.client.settle_done(grant, answer, self.clock() + 3.0)
        elif await process.client.settle_not_run(grant, self.clock() + 2.0):
            self.journal.not_run.add(exchange)
            self.journal.events["refused"] += 1


def omit(objects: dict[Key, Value], name: Key) -> dict[Key, Value]:
    """Return a copy of the dictionary without one key."""
    return {other: value for other, value in objects.items() if other != name}
