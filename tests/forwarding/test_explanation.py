"""Explanations of placements: the decision of real flows, without their effects."""

import json
import random
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

import pytest

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.explanation import Explanation
from lentilfork.forwarding.explanation_call import answer_explanation
from lentilfork.forwarding.packets import KEY
from lentilfork.forwarding.packets import hash_name
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import DATA_CENTRES
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import AgentHost
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_packet
from tests.forwarding.simulation import make_routes

SPEEDS = [0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 1.2, 1.2]
CAPACITY_PER_S = sum(SPEEDS) / 0.015
SYN_BIT = 4
ROUTES = make_routes(1, {SERVICE: 1})
ROUTE = "198.18.0.1:443"


def make_key(caller: int) -> bytes:
    return KEY.pack(caller, caller, ADDRESS, PORT)


def make_envelope(data_centre: str, caller: int, target_ms: int = 100) -> Envelope:
    """Return the envelope of a SYN, as a balancer of a data centre sends it."""
    data = make_packet((caller, caller), (ADDRESS, PORT), SYN_BIT)
    service, ingress = hash_name(SERVICE), hash_name(data_centre)
    return Envelope(Kind.ROUTE, 0, service, ingress, 1000, target_ms, 1, data)


def find_owner(world: World, data_centre: str, caller: int) -> AgentHost:
    """Return the host whose agent owns the flow of a caller."""
    host = next(iter(world.hosts.values()))
    ranked = host.roster.rank_owners(
        hash_name(SERVICE), hash_name(data_centre), make_key(caller)
    )
    return world.hosts[ranked[0].name]


def explain(host: AgentHost, envelope: Envelope, caller: int) -> Explanation:
    key = make_key(caller)
    return host.agent.owner.explain(envelope, key, host.world.clock.now)


def freeze(value: Any, seen: frozenset[int] = frozenset()) -> object:
    """Return all that can be reached from a value, in a form that can be compared."""
    if id(value) in seen or callable(value):
        return None
    seen |= {id(value)}
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, Mapping):
        return [(freeze(key), freeze(item, seen)) for key, item in value.items()]
    if isinstance(value, list | tuple | set | frozenset):
        return [freeze(item, seen) for item in value]
    if not type(value).__module__.startswith("lentilfork"):
        return repr(value)
    names = getattr(type(value), "__slots__", ()) or vars(value)
    return {name: freeze(getattr(value, name, None), seen) for name in names}


def list_busy_worlds() -> list[World]:
    """Return a world in each state that leads to another decision."""
    worlds = []
    for load in (0.1, 0.8, 3.0):
        world = World(SPEEDS)
        world.add_load(load * CAPACITY_PER_S, 0.6, 3)
        world.clock.run(2.5)
        worlds.append(world)
    lossy = World(SPEEDS)
    lossy.lost = {"agent-1", "agent-2"}
    lossy.hosts["agent-3"].draining = True
    lossy.hosts["agent-4"].down = True
    lossy.clock.run(3)
    lossy.schedule_roster_update()
    lossy.add_load(0.3 * CAPACITY_PER_S, 3, 5)
    lossy.clock.run(4)
    return [*worlds, lossy]


# Guards against explanations that differ from what the flow then meets, because they
# are computed in another way.
def test_next_flow_meets_the_explained_decision() -> None:
    outcomes = set()
    for world in list_busy_worlds():
        for caller in range(1, 60):
            data_centre = DATA_CENTRES[caller % len(DATA_CENTRES)]
            host = find_owner(world, data_centre, caller)
            envelope = make_envelope(data_centre, caller)
            explanation = explain(host, envelope, caller)
            assert explanation.owner == explanation.asked == host.name
            owner, key = host.agent.owner, make_key(caller)
            refused = owner.counters.get("flows_refused", "answer expected too late")
            packet = owner.codec.parse(envelope.data)
            assert packet is not None
            owner.route(envelope, packet, world.clock.now)
            offer = owner.offers.get(key)
            agent = offer.agents[-1] if offer is not None else ""
            assert explanation.decision.agent == agent
            now_refused = owner.counters.get(
                "flows_refused", "answer expected too late"
            )
            outcome = "refused" if now_refused > refused else "placed"
            assert explanation.decision.outcome == outcome
            outcomes.add(outcome)
    assert outcomes == {"placed", "refused"}


# Guards against an operator's question that changes where the flows after it go, or
# that is counted and logged as a flow.
def test_explanation_changes_no_state_and_sends_nothing() -> None:
    for world in list_busy_worlds():
        sent: list[bytes] = []
        for host in world.hosts.values():
            owner = host.agent.owner
            owner.send = lambda data, _address: sent.append(data)  # noqa: B023
            owner.send_to_caller = lambda data, _address: sent.append(data)  # noqa: B023
            before = freeze(owner), freeze(host.agent.loads)
            for caller in range(1, 40):
                for target_ms in (1, 100):
                    explain(host, make_envelope("west", caller, target_ms), caller)
            assert (freeze(owner), freeze(host.agent.loads)) == before
        assert sent == []
        # A real flow shows in what is compared above.
        packet = owner.codec.parse(make_envelope("west", 7).data)
        assert packet is not None
        owner.route(make_envelope("west", 7), packet, world.clock.now)
        assert (freeze(owner), freeze(host.agent.loads)) != before


# Guards against candidates without a reason, or with one that isn't theirs.
def test_each_agent_has_its_load_and_the_reason_that_excluded_it() -> None:
    world = World([1.0] * 5)
    host = world.hosts["agent-0"]
    now = world.clock.now
    owner = host.agent.owner
    world.lost = {"agent-1"}
    world.hosts["agent-2"].agent.handle_leave("agent-2", 1, now)
    world.clock.run(now + 0.2)
    now = world.clock.now
    owner.loads.record_unanswered_offer("agent-3", now)
    owner.loads.loads["agent-4"].last_report_at = now - 2.0
    owner.loads.loads["agent-4"].outstanding = 3
    explanation = explain(host, make_envelope("north", 7), 7)
    candidates = {item.name: item for item in explanation.candidates}
    assert {name: item.reason for name, item in candidates.items()} == {
        "agent-0": "answer expected first",
        "agent-1": "lost: its announcements do not arrive",
        "agent-2": "its backend server accepts no new flows",
        "agent-3": "left 1 offers unanswered, avoided 400 ms",
        "agent-4": "its load report is overdue",
    }
    assert explanation.decision.agent == "agent-0"
    assert candidates["agent-0"].outcome == "chosen"
    assert candidates["agent-0"].distance == "local"
    assert candidates["agent-4"].distance == "remote"
    assert candidates["agent-4"].outstanding == 3
    assert candidates["agent-4"].utilisation == 3.0
    assert candidates["agent-4"].report_age_ms == 2000


# Guards against agents that seem idle although nothing is known of them.
def test_agents_that_are_not_watched_have_no_load() -> None:
    world = World([1.0] * 30)
    host = find_owner(world, "north", 7)
    candidates = explain(host, make_envelope("north", 7), 7).candidates
    watched = host.agent.owner.candidates.agents
    assert len(candidates) == 30
    for item in candidates:
        assert (item.outstanding is not None) == (item.name in watched)
        assert (item.reason == "not watched here") == (item.name not in watched)
    compared = [item for item in candidates if item.outcome != "excluded"]
    assert len(compared) == 5


def ask(host: AgentHost, **query: str) -> tuple[int, Any]:
    """Return the status and the document that an agent replies with."""
    text = urlencode(query)
    now = host.world.clock.now
    response = answer_explanation(host.agent.owner, ROUTES, text, now)
    return response.status, json.loads(response.body)


def test_call_returns_the_explanation_with_its_notes() -> None:
    world = World(SPEEDS)
    caller = "0.0.0.9:9"
    owner = find_owner(world, "north", 9)
    query = {"caller": caller, "route": ROUTE, "data_centre": "north"}
    status, document = ask(owner, **query)
    assert (status, document["notes"]) == (200, [])
    assert document["flow"] == f"{caller}>{ROUTE}"
    assert document["service"] == SERVICE
    assert document["decision"]["outcome"] == "placed"
    assert document["decision"]["inputs"]["agent"] == document["decision"]["agent"]
    other = next(host for host in world.hosts.values() if host is not owner)
    _, document = ask(other, **{**query, "data_centre": "east"})
    assert document["notes"][-1] == "the service has no agent in data centre east"
    _, document = ask(other, **query)
    note = f"{owner.name} owns this flow and decides from its own loads"
    assert document["notes"] == [note]
    envelope = make_envelope("north", 9)
    packet = owner.agent.owner.codec.parse(envelope.data)
    assert packet is not None
    owner.agent.owner.route(envelope, packet, world.clock.now)
    _, document = ask(owner, **query)
    agent = document["known_agent"]
    assert document["notes"] == [
        f"a flow with these addresses is on {agent} and would stay there"
    ]


# Guards against a status 500 or a guess for a question that has no answer.
@pytest.mark.parametrize(
    ("change", "status", "error"),
    [
        ({"caller": "9"}, 400, "caller: expected IPv4:PORT"),
        ({"caller": ""}, 400, "caller: expected IPv4:PORT"),
        ({"route": "198.18.0.1:0"}, 400, "route: expected IPv4:PORT"),
        ({"data_centre": ""}, 400, "data_centre: missing"),
        ({"route": "198.18.0.1:444"}, 404, "no route 198.18.0.1:444 in table"),
    ],
)
def test_unusable_question_is_refused_with_its_reason(
    change: dict[str, str], status: int, error: str
) -> None:
    host = World([1.0]).hosts["agent-0"]
    query = {"caller": "0.0.0.9:9", "route": ROUTE, "data_centre": "north"} | change
    answered, document = ask(host, **query)
    assert answered == status
    assert document["error"].startswith(error)


# Guards against a failure of the process that is asked before any roster has arrived.
def test_agent_without_a_roster_says_that_it_delivers_the_flow_itself() -> None:
    host = World([1.0]).hosts["agent-0"]
    host.roster.replace([])
    explanation = explain(host, make_envelope("north", 9), 9)
    assert explanation.owner == ""
    assert explanation.candidates == []
    assert explanation.decision.outcome == "delivered"
