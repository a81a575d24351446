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

AGENT_COUNT = 7
Key = TypeVar("Key")
Value = TypeVar("Value")
SERVICE = "reports"


@dataclass(frozen=True)
class Profile:
    """Frequency and duration of faults in a schedule; times in seconds."""

    duration_s: float = 12.0
    loss_probability: float = 0.1
    duplicate_probability: float = 0.1
    # Longest time between the grant of an attempt and its run.
    maximum_pause_s: float = 2.0
    # Longest time after which a duplicate of an exchange arrives.
    duplicate_window_s: float = 3.0
    # Longest time between the first exchange of a request key and the last one.
    exchange_window_s: float = 6.0
    deadline_s: float = 3.0
    # Mean time between faults of processes.
    mean_fault_interval_s: float = 0.4
    # Longest time for which a process is cut off from the controllers.
    maximum_cut_off_s: float = 6.0
    request_count: int = 8


@dataclass
class Journal:
    """Record of what ran and of what callers were told."""

    # Key and exchange of each run, in order.
    runs: list[tuple[bytes, bytes]] = field(default_factory=list)
    # Exchanges whose callers were told "not run".
    not_run: set[bytes] = field(default_factory=set)
    # Request key and answer of each caller that got an answer.
    answers: list[tuple[bytes, bytes]] = field(default_factory=list)
    event_counts: Counter[str] = field(default_factory=Counter)

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
    reachable_from: float
    tasks: set[asyncio.Task[None]]

    def __init__(self, simulation: "Simulation", local_voter: Voter) -> None:
        self.simulation, self.local_voter, self.alive = simulation, local_voter, True
        self.reachable_from = 0.0
        self.tasks = set()
        clock, counters = simulation.clock, Counters()
        self.voter = claims.ClaimVoter(local_voter, self, counters, clock)
        client_rng = random.Random(simulation.rng.random())
        self.client = claims.ClaimClient(
            local_voter, self, self.voter, counters, clock, client_rng
        )

    def handle_generation(self, state: ClusterState) -> None:
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
            return await asyncio.wait_for(
                self.deliver_with_faults(address, request), timeout_s
            )
        except TimeoutError:
            return None

    async def deliver_with_faults(
        self, address: str, request: VoterRequest
    ) -> ClaimReply | None:
        """Deliver a request, possibly twice or not at all, and return the reply."""
        simulation = self.simulation
        if simulation.draw_event(simulation.profile.duplicate_probability):
            simulation.start(self.deliver_once(address, request))
        # A request in flight arrives even if its caller has timed out.
        arrival = asyncio.create_task(self.deliver_once(address, request))
        simulation.tasks.add(arrival)
        return await asyncio.shield(arrival)

    async def deliver_once(
        self, address: str, request: VoterRequest
    ) -> ClaimReply | None:
        """Deliver a request and return its reply, each after a delay."""
        simulation = self.simulation
        await simulation.wait_network_delay()
        target = simulation.processes[address]
        if not target.alive or simulation.draw_event(
            simulation.profile.loss_probability
        ):
            await asyncio.sleep(simulation.profile.duration_s)
            return None
        reply = target.voter.handle_request(request)
        await simulation.wait_network_delay()
        if simulation.draw_event(simulation.profile.loss_probability):
            await asyncio.sleep(simulation.profile.duration_s)
        return reply

    async def sync(self, address: str, request: SyncRequest) -> list[SyncReply] | None:
        """Fetch the records of a voter over the faulty network."""
        simulation = self.simulation
        await simulation.wait_network_delay()
        target = simulation.processes[address]
        if not target.alive or simulation.draw_event(
            simulation.profile.loss_probability
        ):
            return None
        parts = [part async for part in target.voter.Sync(request, None)]
        await simulation.wait_network_delay()
        return (
            None
            if simulation.draw_event(simulation.profile.loss_probability)
            else parts
        )


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

    def draw_event(self, probability: float) -> bool:
        """Return whether a random event with this probability happens."""
        return self.rng.random() < probability

    async def wait_network_delay(self) -> None:
        """Wait for the network delay of a message, which is usually short."""
        maximum_delay_s = 3.0 if self.draw_event(0.1) else 0.05
        await asyncio.sleep(self.rng.uniform(0.0, maximum_delay_s))

    def start(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run `work` independently of any process."""
        self.tasks.add(asyncio.create_task(work))

    async def run(self) -> None:
        """Run the schedule to its end."""
        for number in range(AGENT_COUNT):
            self.start_process(f"a{number}", 1)
        self.start(self.run_leader())
        await asyncio.sleep(1.0)
        self.start(self.inject_faults())
        for number in range(self.profile.request_count):
            self.start(self.send_exchanges(b"key-%d/" % number))
        await asyncio.sleep(self.profile.duration_s)

    # Processes and the leader.

    def start_process(self, name: str, incarnation: int) -> None:
        """Start a process and add its agent to the state."""
        process = Process(self, Voter(name, incarnation))
        self.processes[name] = process
        self.put_agent(name)

    def put_agent(self, name: str, draining: bool = False) -> None:
        """Put the current process of an agent into the state."""
        data_centre = f"centre-{int(name[1:]) % 3}"
        incarnation = self.processes[name].local_voter.incarnation
        agent = Agent(
            name, incarnation, SERVICE, data_centre, name, name, 1, draining, 1
        )
        self.change_state(agents=self.state.agents | {name: agent})

    def change_state(self, **parts: Any) -> None:
        """Create the next generation of the state with some fields replaced."""
        self.state = replace(self.state, generation=self.state.generation + 1, **parts)

    async def run_leader(self) -> None:
        """Plan shards and send generations after random delays, until cancelled."""
        while True:
            now_ms = int(self.clock() * 1000)
            self.lost_since_ms = claims.track_lost_voters(
                self.state, self.lost_since_ms, now_ms
            )
            for shard in claims.plan_shards(
                self.state, self.list_reports(), self.lost_since_ms, now_ms
            ):
                self.journal.event_counts["epochs"] += bool(shard.previous)
                current = self.state.claim_shards.get(shard.name)
                restarted = (
                    current and not shard.previous and current.epoch < shard.epoch
                )
                self.journal.event_counts["restarted"] += bool(restarted)
                other_shards = omit_key(self.state.claim_shards, shard.name)
                changed_shards = {shard.name: shard} if shard.voters else {}
                self.change_state(claim_shards=other_shards | changed_shards)
            for process in self.processes.values():
                if process.alive and self.clock() >= process.reachable_from:
                    wait_s = self.rng.uniform(0.0, 0.4)
                    loop = asyncio.get_running_loop()
                    loop.call_later(wait_s, process.handle_generation, self.state)
            await asyncio.sleep(0.3)

    def list_reports(self) -> dict[Any, dict[Voter, int]]:
        """Return the epochs that connected processes report as synced."""
        reports: dict[Any, dict[Voter, int]] = {}
        for process in self.processes.values():
            if not process.alive or self.clock() < process.reachable_from:
                continue
            for text in process.voter.list_synced_shards():
                service, index, epoch = text.split("/")
                name = claims.get_shard_name(service, b"")
                name = replace(name, index=int(index))
                reports.setdefault(name, {})[process.local_voter] = int(epoch)
        return reports

    async def inject_faults(self) -> None:
        """Let processes crash, drain and be cut off, until cancelled."""
        faults = [self.restart, self.cut_off, self.cut_off, self.drain, self.drain]
        while True:
            pause_s = self.rng.expovariate(1 / self.profile.mean_fault_interval_s)
            await asyncio.sleep(pause_s)
            name = self.rng.choice(sorted(self.processes))
            self.start(self.rng.choice(faults)(name))

    async def restart(self, name: str) -> None:
        """Crash an agent and restart it with empty memory."""
        process = self.processes[name]
        if not process.alive:
            return
        await process.crash()
        self.journal.event_counts["crashes"] += 1
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.change_state(agents=omit_key(self.state.agents, name))
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        self.start_process(name, process.local_voter.incarnation + 1)

    async def cut_off(self, name: str) -> None:
        """Cut an agent off from the controllers, which may remove it meanwhile."""
        process = self.processes[name]
        process.reachable_from = self.clock() + self.rng.uniform(
            0.0, self.profile.maximum_cut_off_s
        )
        if self.draw_event(0.5):
            self.change_state(agents=omit_key(self.state.agents, name))
            await asyncio.sleep(process.reachable_from - self.clock())
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
        await asyncio.sleep(self.rng.uniform(0.0, self.profile.duration_s / 2))
        for number in range(self.rng.randint(1, 3)):
            exchange = b"exchange-%d" % number
            for _ in range(self.rng.randint(1, 4)):
                self.start(self.send_duplicate(key, key + exchange))
            await asyncio.sleep(
                self.rng.uniform(0.0, self.profile.exchange_window_s / 2)
            )

    async def send_duplicate(self, key: bytes, exchange: bytes) -> None:
        """Send one duplicate of an exchange to a random process."""
        simultaneous = self.draw_event(0.5)
        maximum_delay_s = 0.02 if simultaneous else self.profile.duplicate_window_s
        await asyncio.sleep(self.rng.uniform(0.0, maximum_delay_s))
        process = self.processes[self.rng.choice(sorted(self.processes))]
        if process.alive:
            process.start(self.serve(process, key, exchange))

    async def serve(self, process: Process, key: bytes, exchange: bytes) -> None:
        """Serve a non-idempotent request as an agent does."""
        client, deadline = process.client, self.clock() + self.profile.deadline_s
        while self.clock() < deadline:
            outcome: object = await client.claim(SERVICE, key, exchange, deadline)
            if isinstance(outcome, claims.HeldElsewhere):
                outcome = await client.wait_for_answer(SERVICE, key, exchange, deadline)
            self.journal.event_counts[type(outcome).__name__] += 1
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
                        self.journal.event_counts["refused"] += 1
            return

    async def use_grant(self, process: Process, grant: claims.Grant) -> None:
        """Run the request or refuse it, possibly after a delay."""
        exchange = grant.attempt.exchange
        if self.draw_event(0.5):
            await asyncio.sleep(self.rng.uniform(0.0, self.profile.maximum_pause_s))
        if self.draw_event(0.6) and grant.begin():
            self.journal.runs.append((grant.key, exchange))
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            # The answer identifies its run, so that the journal can check it.
            answer = grant.key + exchange
            await process.client.settle_done(grant, answer, self.clock() + 3.0)
        elif await process.client.settle_not_run(grant, self.clock() + 2.0):
            self.journal.not_run.add(exchange)
            self.journal.event_counts["refused"] += 1


def omit_key(objects: dict[Key, Value], name: Key) -> dict[Key, Value]:
    """Return a copy of the dictionary without one key."""
    return {other: value for other, value in objects.items() if other != name}
