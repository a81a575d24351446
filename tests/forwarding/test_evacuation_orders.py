"""Commands to evacuate a data centre, at several controllers in virtual time."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator

import pytest

from lentilfork.counters import Counters
from lentilfork.forwarding import evacuation_orders
from lentilfork.forwarding.evacuation_orders import PROPOSE_TIMEOUT_S
from lentilfork.forwarding.evacuation_orders import READ_LIMIT_S
from lentilfork.forwarding.evacuation_orders import SETTLE_S
from lentilfork.forwarding.evacuation_orders import EvacuationCommand
from lentilfork.forwarding.evacuation_orders import EvacuationOrders
from lentilfork.schema import state_pb2
from tests.agreement.fleet import Fleet

# Longest time after which an operator sends no further attempt.
ACK_S = 6.0
# Time after which an operator asks another controller.
ATTEMPT_S = 1.0


class Operators:
    """Operators who send commands to the controllers of a simulated deployment."""

    def __init__(self) -> None:
        self.fleet = Fleet(5, 1, 2, seed=7)
        self.orders: dict[str, EvacuationOrders] = {}
        self.paused: set[str] = set()
        for name in self.fleet.names:
            self.prepare(name)

    def prepare(self, name: str) -> None:
        """Have a controller accept commands."""
        self.orders[name] = EvacuationOrders(
            self.fleet.replicas[name],
            Counters(),
            self.fleet.loop.time,
            lambda: name in self.paused,
        )

    def start(
        self,
        name: str,
        active: bool,
        is_disconnected: Callable[[], bool] = lambda: False,
        data_centre: str = "north",
    ) -> "asyncio.Task[bool]":
        """Send a command; the task returns whether it was acknowledged."""
        command = EvacuationCommand(data_centre, active, is_disconnected)

        async def execute() -> bool:
            return (await self.orders[name].execute(command)).is_ok()

        return self.fleet.loop.create_task(execute())

    def send(self, name: str, active: bool, data_centre: str = "north") -> bool:
        """Send a command; return whether it was acknowledged."""
        task = self.start(name, active, data_centre=data_centre)
        return self.fleet.loop.run_until_complete(task)

    def disturb(self) -> None:
        """Change one of the faults: lost messages, a partition, a restart."""
        fleet = self.fleet
        fleet.network.heal()
        match fleet.rng.randrange(4):
            case 0:
                fleet.network.loss_rate = 0.2
            case 1:
                name = fleet.rng.choice(fleet.names)
                fleet.network.isolate(fleet.addresses[name])
            case 2:
                name = fleet.get_leader().core.name
                fleet.crash(name)
                fleet.start(name)
                self.prepare(name)

    def insist(self, active: bool) -> float:
        """Send a command to one controller after the other until it is acknowledged.

        Returns the time that it took.
        """
        started_s = self.fleet.loop.time()
        while not self.attempt(active):
            assert self.get_age(started_s) < ACK_S, "not acknowledged in time"
        return self.get_age(started_s)

    def attempt(self, active: bool) -> bool:
        """Send a command to any controller; return whether it answers in time."""
        sent_s = self.fleet.loop.time()

        def has_given_up() -> bool:
            return self.get_age(sent_s) > ATTEMPT_S

        name = self.fleet.rng.choice(sorted(self.fleet.replicas))
        task = self.start(name, active, has_given_up)
        self.fleet.run_until(lambda: task.done() or has_given_up())
        return task.done() and task.result()

    def get_age(self, since_s: float) -> float:
        """Return the time since a moment."""
        return self.fleet.loop.time() - since_s

    def read(self) -> tuple[str, ...]:
        """Return the evacuated data centres that the leader knows."""
        leader = self.fleet.get_leader()
        self.fleet.read(leader.core.name)
        return leader.state.cluster.evacuated

    def get_version(self) -> int:
        """Return the version of the evacuations that the leader knows."""
        return self.fleet.get_leader().state.cluster.evacuation_version

    def count(self, reason: str) -> int:
        """Return how many commands ended for a reason, at all controllers."""
        return sum(
            orders.counters.get("evacuation_commands", reason)
            for orders in self.orders.values()
        )


@pytest.fixture
def operators() -> Iterator[Operators]:
    """Operators of a deployment that runs well."""
    operators = Operators()
    operators.fleet.run(1.0)
    leader = operators.fleet.get_leader()
    assert operators.fleet.loop.run_until_complete(leader.record_state_version(1))
    operators.fleet.run(1.0)
    yield operators
    operators.fleet.close()


# Guards against a command that only the leader carries out: operators send it to any
# controller, also to one without a disk.
def test_command_is_acknowledged_within_a_second_by_every_controller(
    operators: Operators,
) -> None:
    for number, name in enumerate(operators.fleet.names):
        started_s = operators.fleet.loop.time()
        active = number % 2 == 0
        assert operators.send(name, active)
        assert operators.get_age(started_s) < ATTEMPT_S
        assert operators.read() == (("north",) if active else ())


# Guards against a delayed command that undoes a later one: its operator sent it again
# elsewhere, it was acknowledged there, and it was withdrawn since.
def test_delayed_duplicate_does_not_undo_the_withdrawal(
    operators: Operators, monkeypatch: pytest.MonkeyPatch
) -> None:
    delayed, twin, *_ = operators.fleet.names
    with monkeypatch.context() as patch:
        # Holds the command up between its read and its proposal.
        patch.setattr(evacuation_orders, "SETTLE_S", READ_LIMIT_S - SETTLE_S)
        task = operators.start(delayed, True)
        operators.fleet.run(SETTLE_S)
    assert operators.send(twin, True)
    assert operators.send(twin, False)
    assert not task.done()
    assert not operators.fleet.loop.run_until_complete(task)
    assert operators.count("conflict") == 1
    assert operators.read() == ()


# Guards against a proposal that reaches the leader long after its operator has given
# up, when a network partition ends.
@pytest.mark.parametrize("silent_s", [0.8, 3.0])
def test_duplicate_behind_a_partition_does_not_undo_the_withdrawal(
    operators: Operators, silent_s: float
) -> None:
    leader = operators.fleet.get_leader().core.name
    delayed, twin, *_ = (name for name in operators.fleet.names if name != leader)
    task = operators.start(delayed, True)
    operators.fleet.run(SETTLE_S / 2)
    operators.fleet.network.isolate(operators.fleet.addresses[delayed])
    assert operators.send(twin, True)
    assert operators.send(twin, False)
    operators.fleet.run(silent_s)
    operators.fleet.network.heal()
    assert not operators.fleet.loop.run_until_complete(task)
    operators.fleet.run(ACK_S)
    assert operators.read() == ()


# Guards against a proposal that is still under way when the opposite command, already
# in effect, is acknowledged: it was never acknowledged and must not follow.
def test_acknowledged_command_outlasts_an_abandoned_proposal(
    operators: Operators,
) -> None:
    fleet = operators.fleet
    name = sorted(fleet.replicas)[0]
    version = operators.get_version()
    assert operators.send(name, False)
    assert operators.get_version() > version
    abandoned = state_pb2.Change(
        change_id="abandoned",
        expected_version=version,
        put_evacuation=state_pb2.Evacuation(data_centre="north", active=True),
    )
    result = fleet.loop.run_until_complete(fleet.replicas[name].propose(abandoned))
    assert result.unwrap().outcome == state_pb2.VERSION_CONFLICT
    assert operators.read() == ()


# Guards against a command that waited while its controller was suspended or busy, or
# whose operator has gone: another controller may have acknowledged it since.
def test_command_that_waited_is_dropped(operators: Operators) -> None:
    name = operators.fleet.names[0]
    task = operators.start(name, True, lambda: True)
    assert not operators.fleet.loop.run_until_complete(task)
    operators.paused.add(name)
    assert not operators.send(name, True)
    operators.paused.clear()
    task = operators.start(name, True)
    operators.fleet.run(SETTLE_S / 2)
    operators.paused.add(name)
    assert not operators.fleet.loop.run_until_complete(task)
    operators.paused.clear()
    orders = operators.orders[name]
    started_s = operators.fleet.loop.time()
    orders.get_time_s = lambda: (
        operators.fleet.loop.time()
        + (READ_LIMIT_S if operators.get_age(started_s) > SETTLE_S / 2 else 0.0)
    )
    assert not operators.send(name, True)
    orders.get_time_s = operators.fleet.loop.time
    assert operators.get_version() == 0
    reasons = ("disconnected", "paused", "late")
    assert [operators.count(reason) for reason in reasons] == [1, 2, 1]


# Guards against a conflict that is answered as success, and against commands of which
# none takes effect: the first in the log does, and the other when it is sent again.
@pytest.mark.parametrize("seed", range(4))
def test_one_of_two_racing_opposite_commands_takes_effect(
    operators: Operators, seed: int
) -> None:
    operators.fleet.rng.seed(seed)
    names = operators.fleet.rng.sample(operators.fleet.names, 2)
    tasks = [
        operators.start(name, active)
        for name, active in zip(names, (True, False), strict=True)
    ]
    operators.fleet.run_until(lambda: all(task.done() for task in tasks))
    acknowledged = [task.result() for task in tasks]
    assert sum(acknowledged) == 1
    assert operators.count("conflict") == 1
    assert operators.read() == (("north",) if acknowledged[0] else ())
    assert operators.send(names[acknowledged.index(False)], acknowledged[1])
    assert operators.read() == (() if acknowledged[0] else ("north",))


# Guards against operators who have to repeat a command for each twin of it.
def test_racing_equal_commands_are_all_acknowledged_once_in_effect(
    operators: Operators,
) -> None:
    names = operators.fleet.names
    assert operators.send(names[0], True)
    tasks = [operators.start(names[number % 6], True) for number in range(8)]
    operators.fleet.run_until(lambda: all(task.done() for task in tasks))
    assert all(task.result() for task in tasks)


# Guards against commands for different data centres that hold each other up.
def test_eight_commands_for_different_data_centres(operators: Operators) -> None:
    centres = [f"centre-{number}" for number in range(8)]
    tasks = [
        operators.start(operators.fleet.names[number % 6], True, data_centre=centre)
        for number, centre in enumerate(centres)
    ]
    operators.fleet.run_until(lambda: all(task.done() for task in tasks), ATTEMPT_S)
    assert all(task.result() for task in tasks)
    assert operators.read() == tuple(centres)


# Guards against a minority that acknowledges what the majority does not know, and
# against a majority that cannot evacuate the data centre behind the partition.
def test_only_the_majority_acknowledges_during_a_partition(
    operators: Operators,
) -> None:
    minority = operators.fleet.names[:2]
    for name in minority:
        operators.fleet.network.isolate(operators.fleet.addresses[name])
    task = operators.start(minority[0], True)
    operators.fleet.run(3.0)
    assert operators.send(operators.fleet.names[3], True)
    assert not operators.fleet.loop.run_until_complete(task)
    operators.fleet.network.heal()
    operators.fleet.run(2.0)
    assert operators.send(minority[0], False)
    assert operators.read() == ()


# Guards against a first evacuation that waits for a lost voter: the leader is lost with
# its data centre, and its successor has never heard from it.
def test_first_evacuation_after_the_loss_of_the_leader(operators: Operators) -> None:
    operators.fleet.crash(operators.fleet.get_leader().core.name)
    assert operators.insist(True) < ACK_S
    assert operators.read() == ("north",)


# Guards against an acknowledged command that is lost with the tolerated disks while all
# other hosts lose power.
def test_acknowledged_command_outlives_lost_disks_and_a_power_loss(
    operators: Operators,
) -> None:
    fleet = operators.fleet
    for number in range(4):
        active = number % 2 == 0
        operators.insist(active)
        fleet.crash_all()
        fleet.wipe(*fleet.rng.sample(fleet.names[:5], 2))
        fleet.start_all()
        for name in fleet.names:
            operators.prepare(name)
        assert operators.read() == (("north",) if active else ())
        fleet.run(ACK_S)


# Guards against a controller without a majority that keeps a call open for long.
def test_command_without_a_majority_fails_in_time(operators: Operators) -> None:
    for name in operators.fleet.names[:3]:
        operators.fleet.crash(name)
    started_s = operators.fleet.loop.time()
    assert not operators.send(operators.fleet.names[3], True)
    assert operators.get_age(started_s) < ATTEMPT_S + PROPOSE_TIMEOUT_S


# Guards against an acknowledged command that an earlier one undoes, whichever faults
# delayed it: the attempts that were not answered are still under way.
@pytest.mark.parametrize("seed", range(6))
def test_acknowledged_command_holds_until_the_next_one(
    operators: Operators, seed: int
) -> None:
    rng = operators.fleet.rng
    rng.seed(seed)
    for _ in range(15):
        operators.disturb()
        active = rng.random() < 0.5
        # There is no stable leader during some of the faults.
        disturbed_s = operators.fleet.loop.time()
        while not operators.attempt(active):
            if operators.get_age(disturbed_s) > ACK_S:
                operators.fleet.network.heal()
        for _ in range(3):
            operators.fleet.run(rng.random())
            leaders = operators.fleet.get_leaders()
            replicas = (operators.fleet.replicas[name] for name in leaders)
            newest = max(
                replicas, key=lambda replica: replica.core.applied_index, default=None
            )
            expected = ("north",) if active else ()
            assert newest is None or newest.state.cluster.evacuated == expected
    operators.fleet.network.heal()
