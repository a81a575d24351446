"""How many SYNs a cold backend server gets in any second."""

import random

import pytest

from lentilfork.scheduling import WarmUpBounds
from lentilfork.scheduling import WarmUpLimit
from lentilfork.scheduling import WarmUpRate
from lentilfork.scheduling.warm_up import HEARTBEAT_DELAY_S

BOUNDS = WarmUpBounds(1.5, 5.0)
RATE = WarmUpRate(12.5, 8.0)
QUOTA = 12
BOUND = 23


def make_cold_limit(rate: WarmUpRate = RATE) -> WarmUpLimit:
    """Return the limit of a server that is cold from 100 to 108."""
    limit = WarmUpLimit(0.0, BOUNDS)
    limit.apply_rate(rate)
    limit.record_heartbeat(8.0, 100.0)
    return limit


def count_most_in_a_second(times: list[float]) -> int:
    """Return the most times in any window of one second."""
    return max(sum(start <= time <= start + 1 for time in times) for start in times)


# Guards against a fixed window, at whose border twice the quota is admitted.
@pytest.mark.parametrize("seed", range(5))
def test_no_sliding_second_has_more_than_the_quota(seed: int) -> None:
    rng = random.Random(seed)
    limit = make_cold_limit()
    admitted, copies = [], []
    now = 100.0
    while (now := now + rng.expovariate(rng.choice([5, 200]))) < 108:
        if limit.admits_new(now):
            limit.record_syn(now)
            admitted.append(now)
        elif rng.random() < 0.5 and limit.admits_copy(now):
            limit.record_syn(now)
            copies.append(now)
    assert copies
    assert count_most_in_a_second(admitted) <= QUOTA
    assert count_most_in_a_second(admitted + copies) <= BOUND


# Guards against a limit on warm servers.
def test_warm_server_gets_any_number() -> None:
    limit = make_cold_limit()
    for _ in range(100):
        limit.record_syn(107.9)
    assert limit.count_openings(107.9) == 0
    assert not limit.admits_copy(107.9)
    assert limit.count_openings(108.0) is None
    assert limit.admits_new(108.0)
    assert limit.admits_copy(108.0)


# Guards against a server that gets two quotas in a second as its agent restarts.
def test_started_agent_counts_the_quota_of_the_last_second_as_used_up() -> None:
    limit = WarmUpLimit(100.0, BOUNDS)
    limit.apply_rate(RATE)
    limit.record_heartbeat(6.0, 100.1)
    assert limit.count_openings(100.9) == 0
    assert limit.count_openings(101.0) == QUOTA


# Guards against idle servers after a power loss: their first SYN comes from this agent.
def test_quota_is_free_if_the_server_starts_after_its_agent() -> None:
    limit = WarmUpLimit(100.0, BOUNDS)
    limit.apply_rate(RATE)
    limit.clear_quota()
    assert limit.count_openings(100.0) == QUOTA


# Guards against a server that is taken for a warm one before its first heartbeat.
def test_server_without_a_heartbeat_is_cold_for_at_most_its_cold_start() -> None:
    limit = WarmUpLimit(100.0, BOUNDS)
    assert limit.count_openings(150.0) == 0
    limit.apply_rate(RATE)
    assert limit.count_openings(107.9) == QUOTA
    assert limit.count_openings(108.0) is None


# Guards against many SYNs to servers that are cold after an evacuation, while the last
# heartbeat, or one that was written before, says that they are warm.
def test_server_is_cold_after_an_evacuation_until_a_later_heartbeat() -> None:
    limit = WarmUpLimit(0.0, BOUNDS)
    limit.apply_rate(RATE)
    limit.record_heartbeat(0.0, 99.9)
    assert limit.count_openings(100.0) is None
    limit.expect_cold(100.0)
    limit.record_heartbeat(0.0, 100.0 + HEARTBEAT_DELAY_S / 2)
    assert limit.count_openings(100.5) == QUOTA
    limit.record_heartbeat(0.0, 101.0)
    assert limit.count_openings(101.0) is None


# Guards against a restarted server that is limited twice, or not at all.
def test_first_heartbeat_of_a_new_start_counts_at_once() -> None:
    limit = make_cold_limit()
    limit.expect_cold(110.0)
    limit.record_heartbeat(3.0, 110.1, is_new_start=True)
    assert limit.count_openings(113.0) == QUOTA
    assert limit.count_openings(113.2) is None


# Guards against limits in deployments that give no rate or no bounds.
def test_no_limit_without_a_rate_or_bounds() -> None:
    unbounded = WarmUpLimit(100.0)
    unbounded.apply_rate(RATE)
    unbounded.record_heartbeat(8.0, 100.0)
    assert unbounded.count_openings(100.0) is None
    unlimited = WarmUpLimit(100.0, BOUNDS)
    unlimited.apply_rate(None)
    unlimited.record_heartbeat(8.0, 100.0)
    assert unlimited.count_openings(100.0) is None
    assert unlimited.admits_copy(100.0)


# Guards against a server that never gets a flow, and against more than the bound.
@pytest.mark.parametrize(
    ("per_s", "bounds", "quota"),
    [(0.4, BOUNDS, 1), (3.0, WarmUpBounds(0.5, 0.0), 1), (9.0, BOUNDS, 9)],
)
def test_quota_of_unusual_rates(per_s: float, bounds: WarmUpBounds, quota: int) -> None:
    limit = make_cold_limit(WarmUpRate(per_s, 8.0))
    limit.bounds = bounds
    assert limit.count_openings(101.0) == quota
