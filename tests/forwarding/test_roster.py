"""The roster from announcements to members: updates, lost agents, changed primaries."""

from dataclasses import replace
from math import ceil

import logbook
import pytest

from lentilfork.counters import Counters
from lentilfork.forwarding.membership import CONTROLLER_TIMEOUT_S
from lentilfork.forwarding.membership import Membership
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.roster import MAXIMUM_NAME_LENGTH
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.roster import encode_agent
from lentilfork.forwarding.roster_server import AGENT_LOST_S
from lentilfork.forwarding.roster_server import AGENT_REMOVE_S
from lentilfork.forwarding.roster_server import AGENTS_PER_UPDATE
from lentilfork.forwarding.roster_server import SERVER_MEMORY_S
from lentilfork.forwarding.roster_server import WARM_UP_S
from lentilfork.forwarding.roster_server import RosterServer
from lentilfork.schema import roster_pb2
from lentilfork.schema import state_pb2

# Most bytes of data in an IPv4 datagram.
MAXIMUM_DATAGRAM_BYTES = 65_507
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


class FakeNetwork:
    """Controllers and one member, connected by calls; updates may be dropped."""

    def __init__(self, controllers: int = 1) -> None:
        self.now = 100.0
        self.down: set[int] = set()
        self.updates_to_drop = 0
        self.table_versions = [0] * controllers
        # Controllers that have scheduled a notification.
        self.scheduled: set[int] = set()
        self.addresses = [f"10.0.{number}.1:7000" for number in range(controllers)]
        self.member = Membership(
            "balancer-1",
            "north",
            [("10.0.0.1", 7000)],
            Roster(),
            Counters(),
        )
        self.member.send = self.to_controller
        self.servers = [self.make_server(number) for number in range(controllers)]

    def make_server(self, number: int) -> RosterServer:
        """Return the roster server of a controller."""
        server = RosterServer(
            self.addresses[number],
            "north",
            lambda: self.table_versions[number],
            lambda: self.addresses,
            Counters(),
            self.now - 10,
        )
        server.send = lambda data, _address: self.to_member(number, data)
        server.schedule_notification = lambda _delay_s: self.scheduled.add(number)
        return server

    def to_controller(self, data: bytes, address: tuple[str, int]) -> None:
        """Pass an announcement of the member to a controller."""
        number = self.addresses.index(f"{address[0]}:{address[1]}")
        if number not in self.down:
            announcement = roster_pb2.Announcement.FromString(data[1:])
            self.servers[number].handle_announcement(announcement, MEMBER, self.now)

    def to_member(self, number: int, data: bytes) -> None:
        """Pass an update to the member, or drop it."""
        if self.updates_to_drop > 0:
            self.updates_to_drop -= 1
            return
        update = roster_pb2.RosterUpdate.FromString(data[1:])
        self.member.handle_update(update, ("10.0.0.1", 7000), self.now)

    def announce(self, record: AgentRecord) -> None:
        """Announce an agent to all controllers that run."""
        announcement = roster_pb2.Announcement(
            name=record.name, agent=encode_agent(record)
        )
        for number, server in enumerate(self.servers):
            if number not in self.down:
                server.handle_announcement(announcement, record.address, self.now)
        self.run_notifications()

    def run_notifications(self) -> None:
        """Run the notifications that controllers have scheduled."""
        while self.scheduled:
            self.servers[self.scheduled.pop()].notify_subscribers(self.now)

    def advance(self, seconds: float = 0.2) -> None:
        """Advance the time and have the member announce itself."""
        self.now += seconds
        self.member.announce(self.now)


def join_agents(network: FakeNetwork, agents: int) -> None:
    for number in range(agents):
        network.announce(make_agent(number))
    for _ in range(5):
        network.advance()


def test_member_applies_a_roster_of_many_pages() -> None:
    network = FakeNetwork()
    join_agents(network, 40)
    assert len(network.member.roster.agents) == 40


def test_lost_page_is_requested_again() -> None:
    network = FakeNetwork()
    join_agents(network, 3)
    network.updates_to_drop = 1
    network.announce(make_agent(3))
    network.announce(make_agent(4))
    assert len(network.member.roster.agents) < 5
    network.advance()
    assert len(network.member.roster.agents) == 5


def test_first_controller_that_responds_is_subscribed_to_immediately() -> None:
    network = FakeNetwork()
    for number in range(3):
        network.announce(make_agent(number))
    network.advance()
    assert len(network.member.roster.agents) == 3


def test_changes_that_follow_each_other_closely_are_sent_together() -> None:
    network = FakeNetwork()
    join_agents(network, 1)
    (server,) = network.servers
    sent_before = server.counters.get("updates_sent")
    for number in range(1, 40):
        server.apply_agent(encode_agent(make_agent(number)), network.now)
    network.run_notifications()
    assert len(network.member.roster.agents) == 40
    # One update for the first change, and the others in as few datagrams as they fit.
    updates = server.counters.get("updates_sent") - sent_before
    assert updates <= 1 + ceil(38 / AGENTS_PER_UPDATE)


def test_older_announcement_is_ignored() -> None:
    network = FakeNetwork()
    join_agents(network, 1)
    network.announce(make_agent(0, sequence=3, accepting=False))
    network.announce(make_agent(0, sequence=2))
    assert not network.member.roster.agents["agent-00"].accepting


def restart_agent(network: FakeNetwork) -> AgentRecord:
    """Announce an agent whose server leaves, then its next process; return that."""
    join_agents(network, 2)
    leaving = make_agent(0, sequence=2, accepting=False, server_leaving=True)
    for _ in range(2):
        network.announce(leaving)
        network.advance()
    # The server still accepts connections, so the new process would use it.
    restarted = make_agent(0, incarnation=101, server_leaving=None)
    network.announce(restarted)
    network.advance()
    return restarted


def test_leaving_server_stays_unused_when_its_agent_restarts() -> None:
    network = FakeNetwork()
    restarted = restart_agent(network)
    record = network.member.roster.agents["agent-00"]
    assert record.incarnation == restarted.incarnation
    assert not record.is_available
    assert record.server_leaving


def test_server_that_stays_is_used_again_when_it_announces_itself() -> None:
    network = FakeNetwork()
    restarted = restart_agent(network)
    network.announce(replace(restarted, sequence=2, server_leaving=False))
    assert network.member.roster.agents["agent-00"].is_available


def test_restarted_agent_without_news_of_its_server_is_used_again_after_a_while() -> (
    None
):
    network = FakeNetwork()
    restarted = restart_agent(network)
    network.now += SERVER_MEMORY_S
    network.announce(restarted)
    network.advance()
    assert network.member.roster.agents["agent-00"].is_available


def test_silent_agent_is_lost_until_it_announces_itself() -> None:
    network = FakeNetwork()
    join_agents(network, 2)
    network.now += AGENT_LOST_S
    network.announce(make_agent(1))
    network.servers[0].expire_members(network.now + 0.01)
    assert network.member.roster.agents["agent-00"].lost
    network.announce(make_agent(0))
    assert not network.member.roster.agents["agent-00"].lost


def test_agent_is_removed_after_a_long_silence() -> None:
    network = FakeNetwork()
    join_agents(network, 2)
    network.now += AGENT_REMOVE_S + 1
    network.announce(make_agent(1))
    network.servers[0].expire_members(network.now)
    network.servers[0].expire_members(network.now)
    network.advance()
    assert set(network.member.roster.agents) == {"agent-01"}


@pytest.mark.parametrize("updates_to_drop", [0, 1])
def test_agent_whose_clock_was_set_back_is_admitted_once_its_former_process_is_lost(
    updates_to_drop: int,
) -> None:
    network = FakeNetwork()
    join_agents(network, 2)
    network.announce(make_agent(0, sequence=2, accepting=False))
    restarted = make_agent(0, incarnation=90)
    network.announce(restarted)
    network.advance()
    assert network.member.roster.agents["agent-00"].incarnation == 100
    network.now += AGENT_LOST_S
    network.announce(make_agent(1))
    network.updates_to_drop = updates_to_drop
    network.servers[0].expire_members(network.now + 0.01)
    network.announce(restarted)
    network.advance()
    record = network.member.roster.agents["agent-00"]
    assert record.incarnation == 90
    assert record.is_available


def test_member_keeps_its_roster_while_its_controller_restarts() -> None:
    network = FakeNetwork()
    join_agents(network, 5)
    network.servers[0] = network.make_server(0)
    network.servers[0].started_at = network.now
    network.advance()
    network.announce(make_agent(0))
    network.advance()
    assert len(network.member.roster.agents) == 5
    for number in range(4):
        network.announce(make_agent(number))
    network.advance(WARM_UP_S)
    network.advance()
    # The last agent ended while the controller was down.
    assert len(network.member.roster.agents) == 4


def test_late_update_of_a_former_revision_is_ignored() -> None:
    network = FakeNetwork()
    join_agents(network, 2)
    server, delayed = network.servers[0], list[bytes]()
    server.send = lambda data, _address: delayed.append(data)
    network.announce(make_agent(0, sequence=2, accepting=False))
    server.send = lambda data, _address: network.to_member(0, data)
    network.advance()
    network.now += AGENT_LOST_S
    network.announce(make_agent(1))
    server.expire_members(network.now + 0.01)
    assert network.member.roster.agents["agent-00"].lost
    for data in delayed:
        network.to_member(0, data)
    assert network.member.roster.agents["agent-00"].lost


def test_member_keeps_its_roster_when_it_changes_its_primary() -> None:
    network = FakeNetwork(3)
    join_agents(network, 5)
    assert network.member.primary == ("10.0.0.1", 7000)
    network.down.add(0)
    for _ in range(round(CONTROLLER_TIMEOUT_S / 0.2) + 2):
        network.advance()
        assert len(network.member.roster.agents) == 5
    assert network.member.primary != ("10.0.0.1", 7000)
    network.announce(make_agent(6))
    network.advance()
    assert "agent-06" in network.member.roster.agents


# Guards against processor time that grows with the number of controllers: each one
# answered each heartbeat of each agent, though only the primary's answer was needed.
def test_other_controllers_answer_few_heartbeats_while_the_primary_responds() -> None:
    network = FakeNetwork(8)
    network.member.agent = make_agent(9)
    join_agents(network, 1)
    sent = [server.counters.get("updates_sent") for server in network.servers]
    for _ in range(30):
        network.advance()
        heard_at = {
            server.entries["agent-09"].last_heard_at for server in network.servers
        }
        assert heard_at == {network.now}
    answers = [
        server.counters.get("updates_sent") - before
        for server, before in zip(network.servers, sent, strict=True)
    ]
    assert answers[0] == 30
    assert max(answers[1:]) <= 10
    network.down.add(0)
    network.advance()
    network.advance()
    assert all(
        view.last_heard_at == network.now
        for view in network.member.controllers.values()
        if view.address != network.member.primary
    )


def test_all_controllers_are_found_from_one_seed() -> None:
    network = FakeNetwork(3)
    join_agents(network, 1)
    assert len(network.member.controllers) == 3


# Guards against a roster without most agents: they announce themselves to voters only,
# and settings may name a controller that isn't one.
@pytest.mark.parametrize("first", [0, 1])
def test_controller_that_some_agents_do_not_announce_to_is_no_primary(
    first: int,
) -> None:
    network = FakeNetwork(controllers=2)
    network.servers[first].partial = True
    network.member.seeds = [("10.0.0.1", 7000), ("10.0.1.1", 7000)]
    network.member.add_seeds()
    other = network.servers[1 - first]
    other.apply_agent(encode_agent(make_agent(1)), network.now)
    for _ in range(5):
        network.advance()
    assert network.member.primary == (f"10.0.{1 - first}.1", 7000)
    assert list(network.member.roster.agents) == ["agent-01"]
    network.down.add(1 - first)
    for _ in range(ceil(CONTROLLER_TIMEOUT_S / 0.2) + 5):
        network.advance()
    assert network.member.primary != (f"10.0.{first}.1", 7000)
    assert list(network.member.roster.agents) == ["agent-01"]


def test_newest_table_of_any_controller_is_applied_and_never_an_older_one() -> None:
    network = FakeNetwork(3)
    join_agents(network, 1)
    network.table_versions[:] = [4, 9, 4]
    for _ in range(4):
        network.advance()
    assert network.member.find_newer_table(network.now) == (("10.0.1.1", 7000), 9)
    assert network.member.apply_table(state_pb2.RouteTable(version=9))
    assert not network.member.apply_table(state_pb2.RouteTable(version=4))
    assert network.member.routes.version == 9
    assert network.member.find_newer_table(network.now) is None


def test_table_is_fresh_only_while_most_controllers_confirm_it() -> None:
    network = FakeNetwork(3)
    join_agents(network, 1)
    network.down.update({0, 1})
    for _ in range(20):
        network.advance()
    assert not network.member.has_fresh_table(network.now)


# Guards against a route that was added but is refused: controllers without a vote,
# which may lag, confirmed the older table as the newest.
def test_table_is_not_confirmed_by_controllers_without_a_vote() -> None:
    network = FakeNetwork(controllers=4)
    for number in (2, 3):
        network.servers[number].partial = True
    network.table_versions = [1, 1, 1, 1]
    network.member.apply_table(state_pb2.RouteTable(version=1))
    for _ in range(10):
        network.advance()
    assert network.member.has_fresh_table(network.now)
    network.down |= {0}
    for _ in range(10):
        network.advance()
    assert not network.member.has_fresh_table(network.now)


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


def test_removing_an_agent_changes_only_the_owners_of_its_flows() -> None:
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


# Guards against members that no longer follow the roster: an update with some records
# fits into no datagram, is never received and is sent again for every announcement.
@pytest.mark.parametrize("key", ["name", "service", "data_centre"])
def test_records_that_fit_into_no_update_do_not_hide_the_others(key: str) -> None:
    network = FakeNetwork()
    send = network.servers[0].send

    def send_datagram(data: bytes, address: tuple[str, int]) -> None:
        if len(data) <= MAXIMUM_DATAGRAM_BYTES:
            send(data, address)

    network.servers[0].send = send_datagram
    for number in range(3):
        odd = make_agent(number, **{key: f"{number}" * 30_000})
        network.servers[0].apply_agent(encode_agent(odd), network.now)
    network.servers[0].apply_agent(encode_agent(make_agent(9)), network.now)
    for _ in range(3):
        network.now += 0.2
        network.member.announce(network.now)
    assert network.member.records == {"agent-09": make_agent(9)}


def test_update_of_records_with_the_longest_names_fits_into_a_datagram() -> None:
    network = FakeNetwork()
    server = network.servers[0]
    long = "\N{BALLOT BOX}" * MAXIMUM_NAME_LENGTH
    for number in range(2 * AGENTS_PER_UPDATE):
        name = f"{number:02}{long[2:]}"
        record = make_agent(number, name=name, service=long, data_centre=long)
        server.apply_agent(encode_agent(record), network.now)
    updates = server.encode_changes(0, network.now)
    assert len(server.entries) == 2 * AGENTS_PER_UPDATE
    assert max(map(len, updates)) <= MAXIMUM_DATAGRAM_BYTES


def collect_updates(network: FakeNetwork) -> list[roster_pb2.RosterUpdate]:
    """Return the list to which all updates of the first controller are added."""
    updates: list[roster_pb2.RosterUpdate] = []
    network.servers[0].send = lambda data, _address: updates.append(
        roster_pb2.RosterUpdate.FromString(data[1:])
    )
    return updates


def subscribe(network: FakeNetwork, name: str, evacuation_version: int = 0) -> None:
    """Announce a member that subscribes to the first controller."""
    announcement = roster_pb2.Announcement(
        name=name, subscribe=True, evacuation_version=evacuation_version
    )
    network.servers[0].handle_announcement(announcement, MEMBER, network.now)


# Guards against updates that differ from those before evacuations existed, and against
# members that never learn of an evacuation.
def test_updates_carry_evacuations_once_there_was_one() -> None:
    network = FakeNetwork()
    updates = collect_updates(network)
    subscribe(network, "balancer-1")
    fields = {field.name for field, _ in updates[-1].ListFields()}
    assert not fields & {"evacuation_version", "evacuated"}
    server = network.servers[0]
    assert server.evacuations.update(7, ("north", "south"), network.now)
    server.notify_subscribers(network.now)
    assert updates[-1].evacuation_version == 7
    assert updates[-1].evacuated == ["north", "south"]
    assert not server.evacuations.update(6, (), network.now), "older ones are ignored"
    assert server.evacuations.update(9, (), network.now)
    subscribe(network, "balancer-1")
    assert (updates[-1].evacuation_version, list(updates[-1].evacuated)) == (9, [])


# Guards against an evacuation that one member never applied, without a trace of it.
def test_lowest_evacuation_version_of_members_is_known() -> None:
    network = FakeNetwork()
    collect_updates(network)
    evacuations = network.servers[0].evacuations
    durations = network.servers[0].counters.durations
    subscribe(network, "balancer-1")
    subscribe(network, "balancer-2")
    evacuations.update(7, ("north",), network.now)
    subscribe(network, "balancer-1", 7)
    subscribe(network, "balancer-2", 3)
    dump = evacuations.dump()
    assert (dump["lowest_version"], dump["lagging_names"]) == (3, ["balancer-2"])
    assert "evacuation_applied" not in durations
    network.now += 0.2
    subscribe(network, "balancer-2", 7)
    assert evacuations.lowest == 7
    assert sum(durations["evacuation_applied"]) == 1
    network.now += 10
    network.servers[0].expire_members(network.now)
    assert evacuations.members == {}


# Guards against a late member that no log line names, and against one that has gone and
# keeps the change from counting as applied.
def test_members_that_are_late_with_an_evacuation_are_logged() -> None:
    network = FakeNetwork()
    collect_updates(network)
    server = network.servers[0]
    subscribe(network, "balancer-1")
    subscribe(network, "balancer-2")
    server.evacuations.update(7, ("north",), network.now)
    with logbook.TestHandler() as handler:
        for _ in range(20):
            network.now += 0.2
            subscribe(network, "balancer-1", 7)
            subscribe(network, "balancer-2", 0)
            server.expire_members(network.now)
        late = [line for line in handler.records if "not applied" in line.message]
        assert len(late) == 1
        assert late[0].kwargs == {"version": 7, "lagging": 1, "names": "balancer-2"}
        for _ in range(20):
            network.now += 0.2
            subscribe(network, "balancer-1", 7)
            server.expire_members(network.now)
        assert any("applied by all" in line.message for line in handler.records)
    assert server.evacuations.is_applied
