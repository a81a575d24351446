"""The roster from announcements to members: deltas, silence, other controllers."""

from dataclasses import replace

from lentilfork.counters import Counters
from lentilfork.forwarding.membership import CONTROLLER_TIMEOUT_S
from lentilfork.forwarding.membership import Membership
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.roster import encode_agent
from lentilfork.forwarding.roster_server import AGENT_LOST_S
from lentilfork.forwarding.roster_server import AGENT_REMOVE_S
from lentilfork.forwarding.roster_server import RosterServer
from lentilfork.schema import roster_pb2
from lentilfork.schema import state_pb2

MEMBER = ("10.0.0.9", 7001)


def make_agent(number: int, **changes: object) -> AgentRecord:
    record = AgentRecord(
        f"agent-{number:02}",
        100,
        1,
        (f"10.0.1.{number}", 7002),
        "chairs",
        "north" if number % 2 else "south",
        1,
        True,
        False,
    )
    return replace(record, **changes)  # type: ignore[arg-type]


class Net:
    """Controllers and one member, joined by calls; updates may be dropped."""

    def __init__(self, controllers: int = 1) -> None:
        self.now = 100.0
        self.down: set[int] = set()
        self.drops = 0
        self.versions = [0] * controllers
        self.names = [f"10.0.{number}.1:7000" for number in range(controllers)]
        self.member = Membership(
            "balancer-1",
            "10.0.0.9:7001",
            "north",
            [("10.0.0.1", 7000)],
            Roster(),
            Counters(),
        )
        self.member.send = self.to_controller
        self.servers = [self.make_server(number) for number in range(controllers)]

    def make_server(self, number: int) -> RosterServer:
        """Return a controller's hub."""
        server = RosterServer(
            self.names[number],
            "north",
            lambda: self.versions[number],
            lambda: self.names,
            Counters(),
            self.now - 10,
        )
        server.send = lambda data, _address: self.to_member(number, data)
        return server

    def to_controller(self, data: bytes, address: tuple[str, int]) -> None:
        """Carry an announcement."""
        number = self.names.index(f"{address[0]}:{address[1]}")
        if number not in self.down:
            announcement = roster_pb2.Announcement.FromString(data[1:])
            self.servers[number].handle_announcement(announcement, MEMBER, self.now)

    def to_member(self, number: int, data: bytes) -> None:
        """Carry an update."""
        if self.drops > 0:
            self.drops -= 1
            return
        update = roster_pb2.RosterUpdate.FromString(data[1:])
        self.member.handle_update(update, ("10.0.0.1", 7000), self.now)

    def announce(self, record: AgentRecord) -> None:
        """Have an agent announce itself."""
        announcement = roster_pb2.Announcement(
            name=record.name, agent=encode_agent(record)
        )
        for number, server in enumerate(self.servers):
            if number not in self.down:
                server.handle_announcement(announcement, record.address, self.now)

    def step(self, seconds: float = 0.2) -> None:
        """Let time pass."""
        self.now += seconds
        self.member.announce(self.now)


def join(net: Net, agents: int) -> None:
    for number in range(agents):
        net.announce(make_agent(number))
    for _ in range(5):
        net.step()


def test_member_takes_a_roster_of_many_pages() -> None:
    net = Net()
    join(net, 40)
    assert len(net.member.roster.agents) == 40


def test_lost_page_is_asked_for_again() -> None:
    net = Net()
    join(net, 3)
    net.drops = 1
    net.announce(make_agent(3))
    net.announce(make_agent(4))
    assert len(net.member.roster.agents) < 5
    net.step()
    assert len(net.member.roster.agents) == 5


def test_first_controller_heard_is_asked_for_its_roster_at_once() -> None:
    net = Net()
    for number in range(3):
        net.announce(make_agent(number))
    net.step()
    assert len(net.member.roster.agents) == 3


def test_older_announcement_changes_nothing() -> None:
    net = Net()
    join(net, 1)
    net.announce(make_agent(0, sequence=3, accepting=False))
    net.announce(make_agent(0, sequence=2))
    assert not net.member.roster.agents["agent-00"].accepting


def test_silent_agent_is_lost_and_back_when_heard() -> None:
    net = Net()
    join(net, 2)
    net.now += AGENT_LOST_S
    net.announce(make_agent(1))
    net.servers[0].sweep(net.now + 0.01)
    assert net.member.roster.agents["agent-00"].lost
    net.announce(make_agent(0))
    assert not net.member.roster.agents["agent-00"].lost


def test_agent_silent_for_long_is_removed() -> None:
    net = Net()
    join(net, 2)
    net.now += AGENT_REMOVE_S + 1
    net.announce(make_agent(1))
    net.servers[0].sweep(net.now)
    net.servers[0].sweep(net.now)
    net.step()
    assert set(net.member.roster.agents) == {"agent-01"}


def test_member_moves_to_another_controller_and_keeps_what_it_knows() -> None:
    net = Net(3)
    join(net, 5)
    assert net.member.primary == ("10.0.0.1", 7000)
    net.down.add(0)
    for _ in range(round(CONTROLLER_TIMEOUT_S / 0.2) + 2):
        net.step()
        assert len(net.member.roster.agents) == 5
    assert net.member.primary != ("10.0.0.1", 7000)
    net.announce(make_agent(6))
    net.step()
    assert "agent-06" in net.member.roster.agents


def test_controllers_are_learned_from_one_seed() -> None:
    net = Net(3)
    join(net, 1)
    assert len(net.member.controllers) == 3


def test_newest_table_wins_whoever_has_it_and_never_goes_back() -> None:
    net = Net(3)
    join(net, 1)
    net.versions[:] = [4, 9, 4]
    for _ in range(4):
        net.step()
    assert net.member.find_newer_table(net.now) == (("10.0.1.1", 7000), 9)
    assert net.member.apply_table(state_pb2.RouteTable(version=9))
    assert not net.member.apply_table(state_pb2.RouteTable(version=4))
    assert net.member.routes.version == 9
    assert net.member.find_newer_table(net.now) is None


def test_table_is_fresh_only_while_most_controllers_say_so() -> None:
    net = Net(3)
    join(net, 1)
    net.down.update({0, 1})
    for _ in range(20):
        net.step()
    assert not net.member.has_fresh_table(net.now)


def test_owners_prefer_available_agents_in_the_same_data_centre() -> None:
    roster = Roster()
    roster.replace(
        [
            make_agent(1),
            make_agent(2),
            make_agent(3, lost=True),
            make_agent(5, accepting=False),
        ]
    )
    ranked = roster.rank_owners(hash_name("chairs"), hash_name("north"), b"k" * 12)
    assert [agent.name for agent in ranked] == [
        "agent-01",
        "agent-02",
        "agent-05",
        "agent-03",
    ]


def test_one_agent_less_moves_only_its_own_flows() -> None:
    records = [make_agent(number, data_centre="north") for number in range(8)]
    before, after = Roster(), Roster()
    before.replace(records)
    after.replace(records[:-1])
    service, ingress = hash_name("chairs"), hash_name("north")
    keys = [number.to_bytes(12, "big") for number in range(2000)]
    for key in keys:
        owner = before.rank_owners(service, ingress, key)[0]
        if owner.name != "agent-07":
            assert after.rank_owners(service, ingress, key)[0].name == owner.name
