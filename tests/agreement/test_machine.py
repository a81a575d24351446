"""Random sequences of crashes, failed syncs, partitions and lost disks.

Hypothesis sorts rules by their function names, so renaming a rule changes which
sequences are generated.
"""

from itertools import takewhile

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from tests.agreement.cluster import Cluster
from tests.agreement.cluster import make_change

NAMES = strategies.sampled_from(["c0", "c1", "c2"])
ENOSPC = 28


class AgreementMachine(RuleBasedStateMachine):
    """Drives three controllers; `Cluster` implements the model and the checks."""

    cluster: Cluster

    @initialize(seed=strategies.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        """Start three controllers on empty disks."""
        self.cluster = Cluster(3, seed)
        self.count = 0
        self.backups: dict[str, dict[str, bytes]] = {}
        self.cluster.start_all()
        self.cluster.run(1.5)

    @rule(name=NAMES, changes=strategies.integers(1, 5))
    def propose(self, name: str, changes: int) -> None:
        """Propose changes at a running controller."""
        if name not in self.cluster.replicas:
            return
        for _ in range(changes):
            self.count += 1
            self.cluster.propose(name, make_change(self.count))

    @rule(name=NAMES, back=strategies.integers(0, 8))
    def resend(self, name: str, back: int) -> None:
        """Propose an earlier change again."""
        if name in self.cluster.replicas and self.count > back:
            self.cluster.propose(name, make_change(self.count - back))

    @rule(name=NAMES, sync_s=strategies.sampled_from([0.002, 0.05]))
    def slow_disk(self, name: str, sync_s: float) -> None:
        """Set the sync time of a disk."""
        self.cluster.disks[name].sync_s = sync_s

    @rule(seconds=strategies.sampled_from([0.003, 0.02, 0.2, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        """Run for some virtual seconds."""
        self.cluster.run(seconds)

    @rule(name=NAMES)
    def crash(self, name: str) -> None:
        """Kill a controller, or start it if it is not running."""
        if name in self.cluster.replicas:
            self.cluster.crash(name)
        else:
            self.cluster.start(name)

    @rule(missing=NAMES, name=NAMES)
    def crash_all(self, missing: str, name: str) -> None:
        """Kill all controllers just after a change was accepted; start all but one."""
        if name in self.cluster.replicas:
            self.count += 1
            task = self.cluster.propose(name, make_change(self.count))
            waits = takewhile(lambda _: not task.done(), range(200))
            for _ in waits:
                self.cluster.run(0.001)
        for name in list(self.cluster.replicas):
            self.cluster.crash(name)
        for name in self.cluster.addresses:
            if name != missing:
                self.cluster.start(name)

    @rule(name=NAMES)
    def cut(self, name: str) -> None:
        """Drop all messages from and to a controller."""
        self.cluster.network.isolate(self.cluster.addresses[name])

    @rule(loss=strategies.sampled_from([0.0, 0.1, 0.3]))
    def heal(self, loss: float) -> None:
        """Reconnect all controllers, with some message loss."""
        self.cluster.network.heal()
        self.cluster.network.loss_rate = loss

    @rule(name=NAMES)
    def fail_disk(self, name: str) -> None:
        """Make the writes of a disk fail as if it was full, or succeed again."""
        disk = self.cluster.disks[name]
        disk.error = 0 if disk.error else ENOSPC

    @rule(name=NAMES)
    def compact(self, name: str) -> None:
        """Write a snapshot, which compacts the log."""
        replica = self.cluster.replicas.get(name)
        if replica is not None:
            self.cluster.loop.run_until_complete(replica.write_snapshot())

    @rule(name=NAMES)
    def back_up(self, name: str) -> None:
        """Copy the files of a controller."""
        self.backups[name] = self.cluster.disks[name].copy()

    @precondition(lambda self: self.cluster.is_converged())
    @rule(name=NAMES, old=strategies.booleans())
    def lose_disk(self, name: str, old: bool) -> None:
        """Restart a controller with an empty disk or one restored from a backup.

        Runs only while all controllers vote, because the loss of two of three disks
        cannot be repaired.
        """
        if name in self.cluster.replicas:
            self.cluster.crash(name)
        self.cluster.replace_disk(name, self.backups.get(name, {}) if old else {})
        self.cluster.start(name)

    def teardown(self) -> None:
        """Remove all faults and check the model."""
        if not hasattr(self, "cluster"):
            return
        try:
            self.cluster.repair_and_check()
        finally:
            self.cluster.close()


AgreementMachine.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
TestAgreement = AgreementMachine.TestCase
