"""A simulated deployment whose controllers manage the votes by themselves."""

from collections.abc import Sequence
from pathlib import Path

from result import Ok

from lentilfork.agreement.settings import AgreementSettings
from lentilfork.agreement.voters import list_voters
from lentilfork.forwarding.settings import ControllerAddress
from lentilfork.forwarding.settings import FlowAgreementSettings
from tests.agreement.cluster import Cluster
from tests.agreement.cluster import make_change
from tests.agreement.fakes import Disk

SEEDS = 3
REPLACE_SILENT_MS = 3_000
FOLDER = Path("/nowhere")


class Fleet(Cluster):
    """Controllers c00, c01, ...; the settings of each list three that ran then."""

    def __init__(
        self,
        disks: int,
        diskless: int,
        tolerated: int,
        seed: int,
        seed_numbers: Sequence[int] = range(SEEDS),
    ) -> None:
        super().__init__(0, seed)
        self.tolerated = tolerated
        # Whether the whole deployment starts for the first time.
        self.first_start = True
        self.changes = 0
        self.names = [f"c{number:02}" for number in range(disks + diskless)]
        self.diskless = set(self.names[disks:])
        self.seeds = [self.names[number] for number in seed_numbers]
        for name in self.names:
            self.addresses[name] = self.make_address(name)
            self.disks[name] = Disk(self.rng)
        self.start_all()
        self.run_until(lambda: len(self.list_voters()) == disks)
        self.first_start = False

    def make_address(self, name: str) -> str:
        """Return the address of a controller."""
        return f"10.0.0.{int(name[1:]) + 1}:7000"

    def make_settings(self, name: str) -> AgreementSettings:
        """Return the settings of a controller."""
        seeds = (
            ControllerAddress(seed, self.make_address(seed)) for seed in self.seeds
        )
        return FlowAgreementSettings(
            name,
            self.addresses[name],
            None if name in self.diskless else FOLDER,
            tuple(seeds),
            self.first_start,
            self.tolerated,
            REPLACE_SILENT_MS,
        )

    def list_voters(self) -> list[str]:
        """Return the voters as the leader knows them; none without a leader."""
        leaders = self.get_leaders()
        if len(leaders) != 1:
            return []
        configuration = self.replicas[leaders[0]].core.configuration
        return [item.name for item in list_voters(configuration)]

    def bears_losses(self) -> bool:
        """Return whether a majority remains if the tolerated losses happen now."""
        voters = self.list_voters()
        remaining = len(self.replicas.keys() & set(voters)) - self.tolerated
        return 2 * remaining > len(voters)

    def list_controllers(self) -> set[str]:
        """Return the controllers of the leader's configuration."""
        return set(self.get_leader().core.configuration)

    def crash_all(self) -> None:
        """Cut the power of all hosts."""
        for name in list(self.replicas):
            self.crash(name)

    def crash(self, name: str) -> None:
        """Kill a controller; one without a disk forgets everything."""
        super().crash(name)
        if name in self.diskless:
            self.replace_disk(name, {})

    def wipe(self, *names: str) -> None:
        """Empty the disks of controllers that don't run."""
        for name in names:
            self.replace_disk(name, {})

    def replace_host(self, name: str, delay_s: float) -> str:
        """Remove a host for good; an empty one with another name follows."""
        self.crash(name)
        del self.addresses[name]
        running = sorted(self.replicas)
        self.seeds = self.rng.sample(running, min(SEEDS, len(running)))
        self.run(delay_s)
        return self.add_host()

    def add_host(self) -> str:
        """Start an empty controller on a new host; return its name."""
        name = f"c{len(self.names):02}"
        self.names.append(name)
        self.addresses[name] = self.make_address(name)
        self.disks[name] = Disk(self.rng)
        self.start(name)
        return name

    def acknowledge(self, name: str, limit_s: float = 6.0) -> None:
        """Change the state at one controller; fails if that takes too long."""
        self.changes += 1
        change = make_change(self.changes)
        deadline_s = self.loop.time() + limit_s
        while change.change_id not in self.accepted:
            assert self.loop.time() < deadline_s, self.describe()
            task = self.propose(name, change)
            self.run_until(task.done, limit_s)

    def read(self, name: str, limit_s: float = 6.0) -> None:
        """Read the state at one controller; fails if a change is missing."""
        deadline_s = self.loop.time() + limit_s
        # A change that is acknowledged during the read need not be in it.
        expected = set(self.accepted.values())
        replica = self.replicas[name]
        while self.loop.run_until_complete(replica.confirm_read()) != Ok(None):
            assert self.loop.time() < deadline_s, self.describe()
            self.run(0.1)
        generations = {entry.generation for entry in replica.state.history}
        assert generations >= expected
