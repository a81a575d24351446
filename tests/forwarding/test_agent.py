"""Timers of an agent: few checks while it is idle, and none that comes late."""

from itertools import count
from statistics import median

import pytest

from lentilfork.forwarding.agent import MAXIMUM_TICK_S
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.flows import DEFAULT_SERVICE_TIME_S
from lentilfork.forwarding.ownership import OFFER_TIMEOUT_S
from lentilfork.schema import roster_pb2
from tests.forwarding.simulation import World

# Checks of an idle agent's timers; each one wakes the process.
IDLE_CHECKS_PER_S = 50


def test_idle_agent_checks_its_timers_rarely() -> None:
    host = World([1.0] * 3).hosts["agent-0"]
    now = host.world.clock.now
    checks, until = count(), now + 1.0
    while now < until:
        now += host.agent.tick(now)
        next(checks)
    assert next(checks) <= IDLE_CHECKS_PER_S


def test_offer_that_is_not_answered_is_made_again_on_time() -> None:
    world = World([1.0] * 3)
    for host in world.hosts.values():
        host.server.down = True
    world.add_load(200, 1.0, 1.05)
    world.clock.run(1.06)
    owners = [host.agent for host in world.hosts.values() if host.agent.owner.offers]
    assert owners
    for agent in owners:
        oldest = next(iter(agent.owner.offers.values()))
        due_s = oldest.sent_at + OFFER_TIMEOUT_S - world.clock.now
        assert agent.tick(world.clock.now) <= min(due_s, MAXIMUM_TICK_S)


def test_agent_without_samples_uses_the_median_of_its_peers_service_times() -> None:
    # Guards against 20 ms assumed for requests of 60 ms, and the queues that follow.
    world = World([1.0] * 4)
    world.add_load(30, 1.0, 4.0, mean_work_s=0.06)
    world.clock.run(5.0)
    assert all(host.agent.flows.samples for host in world.hosts.values())
    agent = world.restart_agent("agent-0").agent
    world.clock.run(5.5)
    peers = [world.hosts[f"agent-{number}"].agent.flows for number in (1, 2, 3)]
    assert agent.flows.samples == 0
    assert agent.flows.service_time_s == pytest.approx(
        median(peer.service_time_s for peer in peers), abs=1e-6
    )
    # Owners assume the same of it, but it isn't counted as a measurement.
    load = world.hosts["agent-1"].agent.loads.get_or_create("agent-0")
    assert not load.measured
    assert load.service_time_s > 1.5 * DEFAULT_SERVICE_TIME_S


def test_service_times_of_another_service_are_not_used() -> None:
    # Guards against an estimate from servers that do other work.
    world = World([1.0])
    agent = world.hosts["agent-0"].agent
    report = roster_pb2.LoadUpdate(
        agent="other", incarnation=1, sequence=1, slots=1, service_time_us=90_000
    )
    agent.handle_load_update(
        bytes((Kind.LOAD,)) + report.SerializeToString(), world.clock.now
    )
    assert agent.flows.service_time_s == DEFAULT_SERVICE_TIME_S
