"""The share of failed requests rises within a few requests and decays in seconds."""

from lentilfork.forwarding.failures import FailureRate


def test_share_approximates_the_failure_rate() -> None:
    rate = FailureRate()
    for number in range(100):
        rate.record(1.0, failed=number % 2 == 0)
    assert 0.3 < rate.get_share(1.0) < 0.7


def test_share_decays_without_requests() -> None:
    rate = FailureRate()
    for _ in range(20):
        rate.record(1.0, failed=True)
    assert rate.get_share(1.0) > 0.9
    assert rate.get_share(9.0) < 0.01


def test_share_is_zero_without_failures() -> None:
    rate = FailureRate()
    rate.record(1.0, failed=False)
    assert rate.get_share(1.0) == 0.0
