"""Random histories of faults that a deployment has to bear, on a virtual clock.

Each history is drawn from its seed. At all times: no two replicas apply different
entries at an index, no acknowledged change is lost, and no confirmed read shows a state
older than what was acknowledged before it. Once the losses are within the tolerance and
the hosts that came back had time to catch up, every reachable controller acknowledges a
change and answers a read.
"""

import asyncio
from dataclasses import dataclass
from itertools import permutations
from random import Random

import pytest
from result import Ok

from tests.agreement.cluster import make_change
from tests.agreement.fakes import Disk
from tests.agreement.fleet import SEEDS
from tests.agreement.fleet import Fleet

CATCH_UP_S = 6.0
# Time after catching up within which the controllers have settled.
CALM_S = 5.0
ANSWER_S = 6.0
LEAVE_S = 5.0
EPOCHS = 3
# Histories of each layout that each run of the tests plays.
SEEDS_PER_LAYOUT = 5


@dataclass(frozen=True, slots=True)
class Layout:
    """Controllers of a deployment and the losses that it bears at once."""

    data_centres: int
    # Controllers with a disk and without one in each data centre.
    disks: int
    diskless: int
    tolerated: int

    def __str__(self) -> str:
        """Return the name of the layout in test ids."""
        return f"{self.data_centres}x{self.disks}+{self.diskless}-{self.tolerated}"

    @property
    def borne(self) -> int:
        """Losses that the number of disks allows for."""
        return min(self.tolerated, (self.data_centres * self.disks - 1) // 2)


LAYOUTS = (
    Layout(1, 2, 0, 1),
    Layout(2, 2, 0, 1),
    Layout(3, 1, 1, 1),
    Layout(3, 2, 0, 1),
    Layout(3, 2, 1, 2),
    Layout(4, 2, 0, 2),
    Layout(5, 1, 1, 2),
    Layout(6, 1, 0, 2),
)


class History(Fleet):
    """A deployment, its faults, and operators who change and read the state."""

    def __init__(self, layout: Layout, seed: int) -> None:
        self.steps: list[str] = []
        self.problems: list[str] = []
        self.reads: set[asyncio.Task[None]] = set()
        # Hosts that reach no other one.
        self.cut_off: set[str] = set()
        # One half of the hosts with a disk; the other half is out of its reach.
        self.half: set[str] = set()
        # Controllers with a disk when the split began.
        self.divided: set[str] = set()
        # Hosts whose disk was lost since all of them were in order.
        self.lost_disks: set[str] = set()
        # Hosts that were removed and have no successor yet.
        self.missing = 0
        self.layout = layout
        disks = layout.data_centres * layout.disks
        diskless = layout.data_centres * layout.diskless
        # At least one of the seeds has a disk.
        numbers = [0, *Random(seed).sample(range(1, disks + diskless), 1)]
        if disks + diskless >= SEEDS:
            others = [n for n in range(disks + diskless) if n not in numbers]
            numbers.append(Random(seed).choice(others))
        super().__init__(disks, diskless, layout.tolerated, seed, numbers)
        self.note(f"seeds {self.seeds}, leader {self.get_leaders()}")

    def note(self, step: str) -> None:
        """Record a step, for the report of a failure."""
        self.steps.append(f"{self.loop.time():.2f} {step}")

    def list_counted(self) -> list[str]:
        """Return the hosts with a disk."""
        return sorted(self.addresses.keys() - self.diskless)

    def list_reachable(self) -> list[str]:
        """Return the running controllers that are not cut off."""
        return sorted(self.replicas.keys() - self.cut_off)

    def apply_cuts(self) -> None:
        """Block the links between hosts that are out of reach of each other."""
        self.network.blocked_links = {
            (self.addresses[source], self.addresses[target])
            for source, target in permutations(self.addresses, 2)
            if self.is_blocked(source, target)
        }

    def is_blocked(self, source: str, target: str) -> bool:
        """Return whether two hosts are out of reach of each other."""
        if self.cut_off & {source, target}:
            return True
        both = {source, target} <= self.divided
        return both and (source in self.half) != (target in self.half)

    def kill(self, *names: str) -> None:
        """End controllers, which lose what they had not synced."""
        for name in names:
            if name in self.replicas:
                self.crash(name)
        self.note(f"down: {','.join(names)}")

    def lose_disk(self, name: str) -> None:
        """End a controller and empty its disk."""
        self.kill(name)
        self.wipe(name)
        self.lost_disks.add(name)
        self.note(f"disk lost: {name}")

    def remove(self, name: str, *, planned: bool) -> None:
        """Remove a host for good; `add_missing` starts its successor."""
        replica = self.replicas.get(name)
        if planned and replica is not None:
            self.loop.run_until_complete(replica.leave(LEAVE_S))
        self.kill(name)
        del self.addresses[name]
        self.cut_off.discard(name)
        self.lost_disks.add(name)
        self.missing += 1
        self.note(f"removed: {name}")

    def change_seeds(self) -> None:
        """Let the settings of later starts name other controllers, of which one runs.

        The others may be down or out of reach.
        """
        running = self.list_reachable()
        names = sorted(self.addresses)
        if running:
            first = self.rng.choice(running)
            others = [name for name in names if name != first]
            count = min(SEEDS - 1, len(others))
            self.seeds = [first, *self.rng.sample(others, count)]

    def add_missing(self) -> None:
        """Start the successors of removed hosts."""
        for _ in range(self.missing):
            self.change_seeds()
            successor = f"c{len(self.names):02}"
            self.names.append(successor)
            self.addresses[successor] = self.make_address(successor)
            self.disks[successor] = Disk(self.rng)
            self.apply_cuts()
            self.start(successor)
            self.note(f"new: {successor}, seeds {self.seeds}")
            self.act(self.rng.uniform(0, 0.3))
        self.missing = 0

    def start_stopped(self, names: list[str]) -> None:
        """Start those of the controllers that don't run, within 0.3 s of each other."""
        stopped = [name for name in names if name not in self.replicas]
        self.rng.shuffle(stopped)
        for name in stopped:
            self.start(name)
            self.run(self.rng.uniform(0, 0.3 / len(stopped)))
        self.note(f"up: {','.join(stopped)}")

    def restore(self) -> None:
        """End all faults."""
        self.cut_off.clear()
        self.half = set()
        self.divided = set()
        self.apply_cuts()
        self.note("cuts end")
        if self.rng.random() < 0.3:
            self.change_seeds()
        self.start_stopped(sorted(self.addresses))
        self.add_missing()

    def act(self, seconds: float) -> None:
        """Let time pass while operators change and read the state."""
        end_s = self.loop.time() + seconds
        while (remaining_s := end_s - self.loop.time()) > 0:
            self.run(min(remaining_s, self.rng.uniform(0.05, 0.8)))
            if not self.replicas:
                continue
            running = sorted(self.replicas)
            for name in self.rng.sample(running, min(len(running), 2)):
                self.change_or_read(name)

    def change_or_read(self, name: str) -> None:
        """Send a new change, an earlier one again, or a read."""
        if self.rng.random() < 0.5:
            task = self.loop.create_task(self.read_and_compare(name))
            self.reads.add(task)
            task.add_done_callback(self.reads.discard)
        elif self.changes and self.rng.random() < 0.3:
            self.propose(name, make_change(self.changes))
        else:
            self.changes += 1
            self.propose(name, make_change(self.changes))

    async def read_and_compare(self, name: str) -> None:
        """Read at one controller; record a problem if the state is too old."""
        replica = self.replicas[name]
        expected = max(self.accepted.values(), default=0)
        if await replica.confirm_read() != Ok(None):
            return
        generation = replica.state.cluster.generation
        if generation < expected:
            self.problems.append(f"{name} read {generation} after {expected}")

    def check_available(self) -> None:
        """Check that every reachable controller acknowledges and reads in time."""
        for name in self.list_reachable():
            self.acknowledge(name, ANSWER_S)
            self.read(name, ANSWER_S)
        self.note(f"available at {','.join(self.list_reachable())}")

    def lose(self, name: str) -> None:
        """Lose one host in a way that is drawn."""
        ways = ["kill", "cut"]
        if self.layout.borne:
            ways += ["disk", "removed", "planned"]
        way = self.rng.choice(ways)
        match way:
            case "kill":
                self.kill(name)
            case "disk":
                self.lose_disk(name)
            case "removed" | "planned":
                self.remove(name, planned=way == "planned")
            case _:
                self.cut_off.add(name)
                self.apply_cuts()
                self.note(f"cut off: {name}")

    def play_losses_in_turn(self) -> None:
        """Lose hosts up to the tolerance, again and again, with time to catch up."""
        for _ in range(self.rng.randint(2, 4)):
            count = self.rng.randint(1, max(self.layout.borne, 1))
            for name in self.rng.sample(self.list_counted(), count):
                self.lose(name)
                self.act(self.rng.choice([0.0, 0.1, 1.0]))
            self.kill(*self.rng.sample(sorted(self.diskless), len(self.diskless) // 2))
            self.act(self.rng.choice([0.2, 2.0, 4.0, 15.0]))
            if self.layout.borne and self.rng.random() < 0.3:
                self.act(CATCH_UP_S + CALM_S)
                self.check_available()
            self.restore()
            self.act(CATCH_UP_S)
        self.lost_disks.clear()

    def play_overlapping_losses(self) -> None:
        """Lose more than the tolerance at once, but no more disks than that."""
        for _ in range(self.rng.randint(3, 7)):
            self.play_overlapping_loss()
            self.act(self.rng.choice([0.0, 0.1, 0.5, 2.0, 4.0]))
        self.restore()

    def play_overlapping_loss(self) -> None:
        """Draw one fault or the end of some."""
        counted = self.list_counted()
        name = self.rng.choice(counted)
        may_lose_disk = len(self.lost_disks | {name}) <= self.layout.borne
        match self.rng.choice(["split", "cut", "kill", "all", "up", "disk", "disk"]):
            case "split":
                self.divided = set(counted)
                self.half = set(self.rng.sample(counted, len(counted) // 2))
                self.apply_cuts()
                self.note(f"split: {sorted(self.half)}")
            case "cut":
                leaders = self.get_leaders()
                self.cut_off ^= {self.rng.choice([name, *leaders[:1]])}
                self.apply_cuts()
                self.note(f"cut off: {sorted(self.cut_off)}")
            case "kill":
                self.kill(*self.rng.sample(counted, self.rng.randint(1, len(counted))))
            case "all":
                self.kill(*self.rng.choice([counted, sorted(self.addresses)]))
                self.act(self.rng.uniform(0.1, 1.0))
                self.start_stopped(sorted(self.addresses))
            case "up":
                self.start_stopped(counted)
            case "disk" if may_lose_disk and self.rng.random() < 0.6:
                self.lose_disk(name)
                self.act(self.rng.uniform(0.1, 1.0))
                self.start_stopped([name])
            case "disk" if may_lose_disk and len(counted) > 1:
                self.remove(name, planned=False)

    def play_power_loss(self) -> None:
        """Lose disks just after an acknowledgement while other hosts lose power."""
        self.acknowledge(self.rng.choice(self.list_reachable()), ANSWER_S)
        lost = self.rng.sample(
            self.list_counted(), self.rng.randint(0, self.layout.borne)
        )
        others = self.rng.choice([[], self.list_counted(), sorted(self.addresses)])
        self.kill(*others)
        for name in lost:
            self.lose_disk(name)
        self.run(self.rng.uniform(0.1, 1.0))
        self.restore()

    def play(self) -> None:
        """Play all epochs; each ends with calm and a check.

        New hosts count as lost until they had time to catch up.
        """
        epochs = [
            self.play_losses_in_turn,
            self.play_overlapping_losses,
            self.play_power_loss,
        ]
        self.act(CATCH_UP_S)
        for _ in range(EPOCHS):
            epoch = self.rng.choice(epochs)
            self.note(epoch.__name__)
            epoch()
            self.act(CATCH_UP_S + CALM_S)
            self.check_available()
            self.lost_disks.clear()
            assert not self.problems, self.problems


@pytest.fixture
def random_ids(monkeypatch: pytest.MonkeyPatch) -> Random:
    """Draw folder ids and first terms from a generator that a test may seed."""
    rng = Random()
    monkeypatch.setattr("secrets.randbelow", rng.randrange)
    return rng


def play(layout: Layout, seed: int) -> list[str]:
    """Play one history; return its steps, which a failure reports."""
    history = History(layout, seed)
    try:
        history.play()
    except AssertionError as error:
        error.add_note(f"layout {layout}, seed {seed}:\n" + "\n".join(history.steps))
        raise
    finally:
        for task in history.reads:
            task.cancel()
        history.close()
    return history.steps


@pytest.mark.parametrize("seed", range(SEEDS_PER_LAYOUT))
@pytest.mark.parametrize("layout", LAYOUTS, ids=str)
def test_acknowledged_changes_outlive_the_tolerated_losses(
    layout: Layout, seed: int, random_ids: Random
) -> None:
    random_ids.seed(seed)
    play(layout, seed)
