"""A simulated cluster of replicas and the reference model it is checked against.

The model has three rules: all replicas apply the same entry at each index; an
accepted change stays in the history exactly once, at its generation; a change that
was definitely refused never appears.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

from result import Ok
from result import Result

from lentilfork.agreement import ProposeFailure
from lentilfork.agreement import Replica
from lentilfork.agreement.settings import AgreementSettings
from lentilfork.channels import Channels
from lentilfork.counters import Counters
from lentilfork.schema import agreement_pb2
from lentilfork.schema import state_pb2
from lentilfork.settings import ControllerPeer
from lentilfork.settings import ControllerSettings
from lentilfork.state import encode_replicated
from tests.agreement.fakes import Disk
from tests.agreement.fakes import FakeFiles
from tests.agreement.fakes import FakeTransport
from tests.agreement.fakes import Network
from tests.agreement.fakes import VirtualLoop

Answer = Result[state_pb2.ChangeResult, ProposeFailure]


class Cluster:
    """Controllers c0, c1, ..., each with its own disk."""

    def __init__(self, size: int, seed: int) -> None:
        self.loop = VirtualLoop()
        self.rng = Random(seed)
        self.network = Network(self.rng)
        self.peers = tuple(
            ControllerPeer(name=f"c{index}", address=f"10.0.0.{index + 1}:7000")
            for index in range(size)
        )
        self.addresses = {peer.name: peer.address for peer in self.peers}
        self.disks = {peer.name: Disk(self.rng) for peer in self.peers}
        self.files: dict[str, FakeFiles] = {}
        self.replicas: dict[str, Replica] = {}
        # Reference model: the entry at each index, and the answers by change id.
        self.entries: dict[int, bytes] = {}
        self.accepted: dict[str, int] = {}
        self.attempts: Counter[str] = Counter()
        self.refusals: Counter[str] = Counter()
        # Highest generation that each controller showed with its present disk.
        self.shown_generations: dict[str, int] = {}
        self.proposals: set[asyncio.Task[None]] = set()

    def run(self, seconds: float) -> None:
        """Run the cluster for some virtual seconds."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def run_until(self, condition: Callable[[], bool], limit_s: float = 30) -> float:
        """Run until a condition holds; return the virtual seconds it took."""
        started_s = self.loop.time()
        while not condition():
            waited_s = self.loop.time() - started_s
            assert waited_s < limit_s, (
                f"condition not met within {limit_s} s: {self.describe()}"
            )
            self.run(0.02)
        return self.loop.time() - started_s

    def describe(self) -> list[dict[str, object]]:
        """Return the dumps of all replicas."""
        return [replica.dump() for replica in self.replicas.values()]

    def make_settings(self, name: str) -> AgreementSettings:
        """Return the settings of a controller."""
        return ControllerSettings(
            role="controller",
            name=name,
            data_centre="kandy-a",
            control_address=self.addresses[name],
            data_folder=Path("/nowhere"),
            controllers=self.peers,
        )

    def start(self, name: str) -> None:
        """Start a controller on its disk; it stays stopped if the disk fails."""
        files = FakeFiles(self.disks[name])
        replica = Replica(
            self.make_settings(name),
            Channels(),
            Counters(),
            Random(self.rng.random()),
            transport=FakeTransport(self.network, self.addresses[name]),
            files=files,
        )
        replica.subscribe_applied(self.check_entry)
        result = self.loop.run_until_complete(replica.start())
        if self.disks[name].error and result.is_err():
            return
        assert result == Ok(None), result
        self.check_generation(name, replica.state.cluster.generation)
        replica.subscribe(lambda _old, new: self.check_generation(name, new.generation))
        self.files[name] = files
        self.replicas[name] = replica
        self.network.replicas[self.addresses[name]] = replica

    def start_all(self) -> None:
        """Start every controller that is not running."""
        for name in self.addresses:
            if name not in self.replicas:
                self.start(name)

    def check_generation(self, name: str, generation: int) -> None:
        """Check that a controller's generation never decreases, even after restarts."""
        before = self.shown_generations.get(name, 0)
        assert generation >= before, (
            f"{name} went back from generation {before} to {generation}"
        )
        self.shown_generations[name] = generation

    def replace_disk(self, name: str, content: dict[str, bytes]) -> None:
        """Replace the files of a controller's disk, by none or by those of a backup."""
        self.disks[name].restore(content)
        self.shown_generations.pop(name, None)

    def add_controller(self, name: str) -> None:
        """Start an additional controller whose settings list only the first ones."""
        self.addresses[name] = f"10.0.1.{len(self.addresses)}:7000"
        self.disks[name] = Disk(self.rng)
        self.start(name)

    def crash(self, name: str) -> None:
        """Kill a controller, which loses its unsynced data."""
        replica = self.replicas.pop(name)
        del self.network.replicas[self.addresses[name]]
        self.files[name].crash()
        self.loop.run_until_complete(replica.stop())

    def check_entry(
        self, entry: agreement_pb2.LogEntry, _result: state_pb2.ChangeResult | None
    ) -> None:
        """Check that no two replicas apply different entries at the same index."""
        content = entry.SerializeToString(deterministic=True)
        first = self.entries.setdefault(entry.index, content)
        assert first == content, f"two entries were applied at index {entry.index}"

    def get_leaders(self) -> list[str]:
        """Return the names of all replicas that consider themselves leader."""
        return [name for name, replica in self.replicas.items() if replica.is_leader]

    def get_leader(self) -> Replica:
        """Wait until there is exactly one leader and return its replica."""
        self.run_until(lambda: len(self.get_leaders()) == 1)
        return self.replicas[self.get_leaders()[0]]

    def propose(self, name: str, change: state_pb2.Change) -> "asyncio.Task[None]":
        """Propose a change at one controller and record its answer in the model."""
        self.attempts[change.change_id] += 1
        task = self.loop.create_task(
            self.propose_and_record(self.replicas[name], change)
        )
        self.proposals.add(task)
        task.add_done_callback(self.proposals.discard)
        return task

    async def propose_and_record(
        self, replica: Replica, change: state_pb2.Change
    ) -> None:
        """Propose a change and record its answer."""
        self.record_answer(change.change_id, await replica.propose(change))

    def record_answer(self, change_id: str, answer: Answer) -> None:
        """Check an answer against earlier ones for the same change and record it."""
        if not isinstance(answer, Ok):
            self.refusals[change_id] += not answer.err_value.unknown
            return
        if answer.ok_value.outcome != state_pb2.ACCEPTED:
            return
        generation = answer.ok_value.generation
        assert self.accepted.setdefault(change_id, generation) == generation

    def repair_and_check(self) -> None:
        """Remove all faults, wait for convergence and check all against the model."""
        self.network.heal()
        for disk in self.disks.values():
            disk.error = 0
            disk.sync_s = 0.002
        self.start_all()
        self.run_until(lambda: not self.proposals)
        self.get_leader()
        self.run_until(self.is_converged, 60)
        self.check_model()

    def is_converged(self) -> bool:
        """Return whether all controllers vote and hold the same log."""
        replicas = list(self.replicas.values())
        return (
            len(replicas) == len(self.peers)
            and all(replica.core.is_voter for replica in replicas)
            and len({replica.core.applied_index for replica in replicas}) == 1
            and len({replica.core.commit_index for replica in replicas}) == 1
            and len(self.get_leaders()) == 1
        )

    def check_model(self) -> None:
        """Check the state of every controller against the recorded answers."""
        contents = {
            encode_replicated(replica.state).SerializeToString(deterministic=True)
            for replica in self.replicas.values()
        }
        assert len(contents) == 1, "controllers hold different states"
        history = self.get_leader().state.history
        generations = [entry.generation for entry in history]
        applied = {entry.change_id: entry.generation for entry in history}
        assert generations == sorted(set(generations))
        assert len(applied) == len(history), "a change was applied twice"
        assert self.accepted.items() <= applied.items(), "an accepted change is missing"
        wrongly_applied = {
            key for key in applied if 0 < self.attempts[key] == self.refusals[key]
        }
        assert not wrongly_applied, "a refused change was applied"

    def close(self) -> None:
        """Stop all replicas and close the event loop."""
        for name in list(self.replicas):
            self.crash(name)
        for task in list(self.proposals):
            task.cancel()
        self.run(0.1)
        self.loop.close()


def make_change(number: int, operator: str = "ana") -> state_pb2.Change:
    """Return a change that applies one of five services."""
    return state_pb2.Change(
        change_id=f"change-{number}",
        operator=operator,
        apply_service=state_pb2.Service(
            name=f"service-{number % 5}",
            address=f"10.9.0.{number % 5 + 1}",
            port=5683,
            deadline_ms=1 + number,
        ),
    )
