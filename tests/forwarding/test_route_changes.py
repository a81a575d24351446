"""Open flows stay at their backend servers when their route gets other services."""

from itertools import chain

import pytest

from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.routes import FORMER_SERVICE_LIFETIME_S
from lentilfork.forwarding.routes import FormerServices
from lentilfork.forwarding.routes import RouteIndex
from tests.forwarding.simulation import ACK_BIT
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import CODEC
from tests.forwarding.simulation import DATA_CENTRES
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import SYN_BIT
from tests.forwarding.simulation import AgentHost
from tests.forwarding.simulation import Attempt
from tests.forwarding.simulation import Request
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_packet
from tests.forwarding.simulation import make_routes

NEXT = "benches"
FLOWS = 12
# Time within which a packet reaches its backend server, before a retransmission.
ARRIVAL_S = 0.1


class RouteWorld(World):
    """Deployment with two services, whose backend servers record packets."""

    def __init__(
        self, weights: dict[str, int], *, next_hosts: int = 4, other_services: int = 0
    ) -> None:
        super().__init__([1.0] * 4, slots=FLOWS)
        # Services that the route had before; None if the tables don't name them.
        self.former: list[str] | None = None
        for number in range(other_services):
            # The first ones in the order of names.
            name, service = f"a-other-{number}", f"other-{number}"
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.add_host(name, data_centre, 1.0, FLOWS, service=service)
        for number in range(next_hosts):
            self.add_host(
                f"next-{number}",
                DATA_CENTRES[number % len(DATA_CENTRES)],
                1.0,
                FLOWS,
                service=NEXT,
            )
        # Caller's port and name of the host, for each packet that is not a SYN.
        self.received: list[tuple[int, str]] = []
        for host in self.hosts.values():
            self.record_packets(host)
        self.version = 1
        self.change_balancers(weights)
        self.change_agents(weights)
        # All processes have run for long.
        for balancer in chain.from_iterable(self.balancers.values()):
            balancer.former_services.complete_since = 0.0
        for host in self.hosts.values():
            host.agent.delivery.former_services.complete_since = 0.0
        self.clock.run(self.clock.now + 0.5)

    def record_packets(self, host: AgentHost) -> None:
        """Record the packets that a backend server gets."""
        deliver = host.agent.delivery.send_to_server

        def send(data: bytes) -> None:
            packet = CODEC.parse(data)
            assert packet is not None
            if not packet.is_opening:
                self.received.append((packet.source_port, host.name))
            deliver(data)

        host.agent.delivery.send_to_server = send

    def make_routes(self, weights: dict[str, int]) -> RouteIndex:
        """Return the newest route table."""
        return make_routes(self.version, weights, former=self.former)

    def change_balancers(self, weights: dict[str, int]) -> None:
        """Apply a new route table to all balancers."""
        self.version += 1
        for balancer in chain.from_iterable(self.balancers.values()):
            balancer.apply_routes(self.make_routes(weights), self.clock.now)

    def change_agents(self, weights: dict[str, int]) -> None:
        """Apply the balancers' route table to all agents."""
        for host in self.hosts.values():
            host.agent.delivery.apply_routes(self.make_routes(weights), self.clock.now)

    def change_everywhere(self, weights: dict[str, int]) -> None:
        """Apply a new route table to all processes, which notify new owners."""
        self.change_balancers(weights)
        self.change_agents(weights)
        self.clock.run(self.clock.now + ARRIVAL_S)

    def restart_agents(self, service: str, weights: dict[str, int]) -> None:
        """Start the agents of a service again; they get the newest route table."""
        for name in [item.name for item in self.hosts.values()]:
            if self.hosts[name].service == service:
                host = self.restart_agent(name)
                self.record_packets(host)
                routes = self.make_routes(weights)
                host.agent.delivery.apply_routes(routes, self.clock.now)

    def open_flows(self) -> list[Attempt]:
        """Open flows with requests that take seconds; return their attempts."""
        known = set(self.attempts)
        for number in range(FLOWS):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.add_request(Request(data_centre, self.clock.now, 5.0, 20.0))
        self.clock.run(self.clock.now + 0.5)
        return [item for port, item in self.attempts.items() if port not in known]

    def find_holder(self, attempt: Attempt) -> str:
        """Return the name of the host where the request of a flow runs."""
        (holder,) = {name for port, name in self.received if port == attempt.port}
        return holder

    def send_and_collect(
        self, attempts: list[Attempt], data_centre: str | None = None
    ) -> dict[int, list[str]]:
        """Send a packet on each flow; return the hosts that got them, by port."""
        self.received.clear()
        for attempt in attempts:
            attempt.request.data_centre = data_centre or attempt.request.data_centre
            self.send_subsequent(attempt, ACK_BIT, b"")
        self.clock.run(self.clock.now + ARRIVAL_S)
        return {
            attempt.port: [name for port, name in self.received if port == attempt.port]
            for attempt in attempts
        }


CHANGES = [
    ({SERVICE: 1}, {NEXT: 1}),
    ({SERVICE: 90, NEXT: 10}, {SERVICE: 10, NEXT: 90}),
    ({SERVICE: 50, NEXT: 50}, {NEXT: 1}),
]


# Guards against open flows that are cut off when their route gets another service.
@pytest.mark.parametrize(("before", "after"), CHANGES)
@pytest.mark.parametrize("agents_know", [False, True])
def test_open_flows_stay_at_their_servers_when_their_route_changes(
    before: dict[str, int], after: dict[str, int], *, agents_know: bool
) -> None:
    world = RouteWorld(before)
    attempts = world.open_flows()
    holders = {item.port: [world.find_holder(item)] for item in attempts}
    world.change_balancers(after)
    if agents_know:
        world.change_agents(after)
        world.clock.run(world.clock.now + ARRIVAL_S)
    assert world.send_and_collect(attempts) == holders
    world.change_agents(after)
    world.clock.run(world.clock.now + ARRIVAL_S)
    assert world.send_and_collect(attempts) == holders
    world.clock.run(world.clock.now + 8.0)
    assert all(item.request.answered_s is not None for item in attempts)
    assert all(item.request.tries == 1 for item in attempts)
    assert world.resets_of_open_flows == 0


# Guards against flows that are found only through the owners that they had before.
def test_flows_stay_where_they_are_when_packets_arrive_in_another_data_centre() -> None:
    world = RouteWorld({SERVICE: 1})
    attempts = world.open_flows()
    holders = {item.port: [world.find_holder(item)] for item in attempts}
    world.change_balancers({NEXT: 1})
    world.change_agents({NEXT: 1})
    for data_centre in DATA_CENTRES:
        assert world.send_and_collect(attempts, data_centre) == holders


# Guards against a search in each packet's way after the owners have been notified.
def test_notified_owners_forward_without_a_search() -> None:
    world = RouteWorld({SERVICE: 1})
    attempts = world.open_flows()
    world.change_everywhere({NEXT: 1})
    world.send_and_collect(attempts)
    searched = [
        host.agent.counters.get("flows_searched") for host in world.hosts.values()
    ]
    assert not any(searched)


# Guards against open flows that are cut off since the new service has no agents yet.
def test_open_flows_stay_when_the_new_service_has_no_agents() -> None:
    world = RouteWorld({SERVICE: 1}, next_hosts=0)
    attempts = world.open_flows()
    holders = {item.port: [world.find_holder(item)] for item in attempts}
    world.change_balancers({NEXT: 1})
    world.change_agents({NEXT: 1})
    assert world.send_and_collect(attempts) == holders


# Guards against flows that are lost when the owner is replaced after the change.
def test_flows_are_found_after_their_new_owners_lost_their_directories() -> None:
    world = RouteWorld({SERVICE: 1})
    attempts = world.open_flows()
    holders = {item.port: [world.find_holder(item)] for item in attempts}
    world.change_everywhere({NEXT: 1})
    for host in world.hosts.values():
        host.agent.owner.directory.entries.clear()
    assert world.send_and_collect(attempts) == holders


# Guards against flows that are lost among agents that have just started, which ask
# their servers for flows that they don't know.
def test_flows_are_found_when_the_agents_of_the_new_service_have_just_started() -> None:
    world = RouteWorld({SERVICE: 1})
    attempts = world.open_flows()
    holders = {item.port: world.find_holder(item) for item in attempts}
    for host in world.hosts.values():
        if host.service == NEXT:
            host.agent.delivery.flows_complete_since = 60.0
    world.change_balancers({NEXT: 1})
    world.change_agents({SERVICE: 1, NEXT: 1})
    for port, names in world.send_and_collect(attempts).items():
        assert holders[port] in names
    world.change_agents({NEXT: 1})
    world.clock.run(world.clock.now + ARRIVAL_S)
    arrived = world.send_and_collect(attempts)
    assert arrived == {port: [name] for port, name in holders.items()}


# Guards against flows that are lost when the agent that holds them starts anew after
# the change and has not seen a packet of them yet.
def test_flows_reach_the_server_of_a_restarted_agent_after_the_change() -> None:
    world = RouteWorld({SERVICE: 1})
    attempts = world.open_flows()
    holders = {item.port: [world.find_holder(item)] for item in attempts}
    world.change_everywhere({NEXT: 1})
    for host in world.hosts.values():
        if host.service == SERVICE:
            host.agent.flows.flows.clear()
            host.agent.delivery.flows_complete_since = 60.0
    assert world.send_and_collect(attempts) == holders


# Guards against open flows that are cut off when the agents of the service that their
# route has now start again: their names stay, but they don't know where the flows are.
def test_open_flows_stay_when_the_agents_of_the_new_service_start_again() -> None:
    world = RouteWorld({SERVICE: 1})
    attempts = world.open_flows()
    holders = {item.port: [world.find_holder(item)] for item in attempts}
    world.change_everywhere({NEXT: 1})
    world.restart_agents(NEXT, {NEXT: 1})
    world.clock.run(world.clock.now + ARRIVAL_S)
    assert world.send_and_collect(attempts) == holders


# Guards against open flows that are cut off when all agents start again after a change:
# then no process knows the service that their route had before.
def test_open_flows_stay_when_the_agents_of_both_services_start_again() -> None:
    world = RouteWorld({SERVICE: 1})
    attempts = world.open_flows()
    holders = {item.port: world.find_holder(item) for item in attempts}
    world.change_everywhere({NEXT: 1})
    for service in (SERVICE, NEXT):
        world.restart_agents(service, {NEXT: 1})
    world.clock.run(world.clock.now + ARRIVAL_S)
    for port, names in world.send_and_collect(attempts).items():
        assert holders[port] in names


# Guards against the same among more services than a process can ask: the newest table
# says where flows may be.
@pytest.mark.parametrize("other_services", [17, 40])
@pytest.mark.parametrize("changes", [1, 2])
@pytest.mark.parametrize(
    "restarted", [(NEXT,), (SERVICE,), (SERVICE, NEXT), (NEXT, "other-3", SERVICE)]
)
def test_open_flows_stay_among_many_services_when_agents_start_again(
    restarted: tuple[str, ...], changes: int, other_services: int
) -> None:
    world = RouteWorld({SERVICE: 1}, other_services=other_services)
    attempts = world.open_flows()
    holders = {item.port: world.find_holder(item) for item in attempts}
    world.former = [SERVICE]
    if changes > 1:
        world.change_everywhere({"other-3": 1})
        world.former.append("other-3")
    world.change_everywhere({NEXT: 1})
    for service in restarted:
        world.restart_agents(service, {NEXT: 1})
    world.clock.run(world.clock.now + ARRIVAL_S)
    for port, names in world.send_and_collect(attempts).items():
        assert holders[port] in names


# Guards against flows of a table that a process has missed, since it was replaced soon.
def test_services_of_a_missed_table_are_known_from_the_next_one() -> None:
    former = FormerServices()
    first = make_routes(1, {SERVICE: 1}, former=())
    third = make_routes(3, {NEXT: 1}, former=("stools", SERVICE))
    former.record(RouteIndex(), first, 0.0)
    former.record(first, third, 100.0)
    assert set(former.list_services((ADDRESS, PORT), 101.0)) == {SERVICE, "stools"}
    present = [hash_name(f"other-{number}") for number in range(40)]
    listed = former.list_all_services((ADDRESS, PORT), third, present, 101.0)
    assert set(listed) == {hash_name(name) for name in (NEXT, SERVICE, "stools")}


# Guards against open flows that are cut off by balancers that start after the change,
# while the new service has no agents.
def test_open_flows_stay_when_balancers_start_again_after_the_change() -> None:
    world = RouteWorld({SERVICE: 1}, next_hosts=0)
    attempts = world.open_flows()
    holders = {item.port: [world.find_holder(item)] for item in attempts}
    for data_centre, balancers in world.balancers.items():
        balancers[:] = [world.make_balancer(data_centre) for _ in balancers]
        for balancer in balancers:
            balancer.routes = RouteIndex()
    world.change_balancers({NEXT: 1})
    world.change_agents({NEXT: 1})
    world.update_rosters()
    assert world.send_and_collect(attempts) == holders


# Guards against new flows that still open at the former service.
def test_new_flows_follow_the_new_table() -> None:
    world = RouteWorld({SERVICE: 1})
    world.open_flows()
    world.change_balancers({NEXT: 1})
    world.change_agents({NEXT: 1})
    for attempt in world.open_flows():
        assert world.find_holder(attempt).startswith("next-")


# Guards against open flows that move, or are reset, after a late copy of their SYN.
@pytest.mark.parametrize("retransmissions", [0, 1, 2])
def test_syn_copies_after_the_change_leave_the_flow_at_its_server(
    retransmissions: int,
) -> None:
    world = RouteWorld({SERVICE: 1})
    attempts = world.open_flows()
    holders = {item.port: world.find_holder(item) for item in attempts}
    world.change_everywhere({NEXT: 1})
    for attempt in attempts:
        syn = make_packet(
            (attempt.port, attempt.port), (ADDRESS, PORT), SYN_BIT, 7, retransmissions
        )
        world.send_from_caller(attempt.request.data_centre, syn)
    world.clock.run(world.clock.now + ARRIVAL_S)
    arrived = world.send_and_collect(attempts)
    assert {port: set(names) for port, names in arrived.items()} == {
        port: {name} for port, name in holders.items()
    }
    assert world.resets_of_open_flows == 0


# Guards against a caller that opens its flow at the second of two services and whose
# packets are then sent to the first.
def test_flow_whose_offer_at_the_former_service_was_not_used_stays() -> None:
    world = RouteWorld({SERVICE: 1})
    attempt = world.open_flows()[0]
    key_packet = CODEC.parse(
        make_packet((attempt.port, attempt.port), (ADDRESS, PORT), SYN_BIT)
    )
    assert key_packet is not None
    holder = world.find_holder(attempt)
    world.change_balancers({NEXT: 1})
    syn = make_packet((attempt.port, attempt.port), (ADDRESS, PORT), SYN_BIT, 7, 1)
    world.send_from_caller(attempt.request.data_centre, syn)
    world.clock.run(world.clock.now + ARRIVAL_S)
    caller = (attempt.port, attempt.port)
    (chosen,) = (
        host
        for host in world.hosts.values()
        if host.service == NEXT and caller in host.server.flows
    )
    # The caller acknowledges the SYN+ACK of the new service instead of the former's,
    # which notifies the owner under the new service of its own half of the offers.
    attempt.sequence = chosen.server.flows[caller]
    world.change_agents({NEXT: 1})
    world.clock.run(world.clock.now + ARRIVAL_S)
    entry_owners = [
        host.agent.owner.directory.find(make_caller_key(key_packet), world.clock.now)
        for host in world.hosts.values()
        if host.service == NEXT
    ]
    assert holder in entry_owners
    assert set(world.send_and_collect([attempt])[attempt.port]) == {chosen.name}


# Guards against a history of routes that grows without bound.
def test_former_services_expire() -> None:
    former = FormerServices()
    first, second = make_routes(1, {SERVICE: 1}), make_routes(2, {NEXT: 1})
    former.record(first, second, 1.0)
    assert former.list_services((ADDRESS, PORT), 2.0) == [SERVICE]
    late = 2.0 + FORMER_SERVICE_LIFETIME_S
    assert former.list_services((ADDRESS, PORT), late) == []
    former.record(second, second, late)
    assert former.replaced_at == {}
