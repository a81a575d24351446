"""Timers of an agent: few checks while it is idle, and none that comes late."""

from itertools import count

from lentilfork.forwarding.agent import MAXIMUM_TICK_S
from lentilfork.forwarding.ownership import OFFER_TIMEOUT_S
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
