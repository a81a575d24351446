"""Failures of a control plane of a hundred members, emulated in virtual time."""

import pytest

from lentilfork.bench.emulation import SCENARIOS
from lentilfork.bench.emulation import PlaneSize
from lentilfork.bench.emulation import ScenarioResult
from lentilfork.bench.emulation import run_scenario
from lentilfork.bench.emulation.plane import RoleCost

SIZE = PlaneSize(100)
# A killed process is out of use everywhere, and a change applied, within this time.
KNOWN_BOUND_S = 3.0
# Control traffic of a node at the two-year size.
CONTROL_BYTES_PER_S = 10_000


def find_cost(result: ScenarioResult, role: str) -> RoleCost:
    (cost,) = (item for item in result.costs if item.role == role)
    return cost


@pytest.mark.parametrize("scenario", list(SCENARIOS))
def test_every_member_soon_knows_what_is_true(scenario: str) -> None:
    result = run_scenario(scenario, SIZE, seed=1)
    assert result.known_s is not None
    assert result.known_s <= KNOWN_BOUND_S
    assert result.falsely_lost == 0


@pytest.mark.parametrize("scenario", ["start", "change", "lost-controllers"])
def test_lost_datagrams_delay_but_do_not_prevent_it(scenario: str) -> None:
    result = run_scenario(scenario, SIZE, seed=2, loss_share=0.02)
    assert result.known_s is not None
    assert result.known_s <= KNOWN_BOUND_S


def test_control_traffic_of_a_member_does_not_grow_with_the_members() -> None:
    small = run_scenario("steady", PlaneSize(60), seed=1)
    large = run_scenario("steady", PlaneSize(180), seed=1)
    for role in ("balancer", "agent"):
        before, after = find_cost(small, role), find_cost(large, role)
        assert after.messages_sent <= 1.05 * before.messages_sent
        assert after.bytes_sent <= 1.1 * before.bytes_sent
        assert after.bytes_sent <= CONTROL_BYTES_PER_S


def test_scenario_is_reproducible() -> None:
    first, second = (run_scenario("lost-agent", SIZE, seed=3) for _ in range(2))
    assert (first.known_s, first.falsely_lost) == (second.known_s, second.falsely_lost)
