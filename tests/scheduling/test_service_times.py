"""Averages of the requests of each route, and the estimates that use them."""

import pytest

from lentilfork.forwarding.flows import Flow
from lentilfork.forwarding.flows import FlowTable
from lentilfork.forwarding.packets import KEY
from lentilfork.scheduling.service_times import HALVING_REQUESTS
from lentilfork.scheduling.service_times import MAXIMUM_ROUTES
from lentilfork.scheduling.service_times import RouteWork
from lentilfork.scheduling.service_times import ServiceTimes

PAGES, SCANS = (0xC6120001, 443), (0xC6120002, 8443)


def make_key(route: tuple[int, int], number: int) -> bytes:
    """Return the key of a flow of a route."""
    return KEY.pack(0x64400009, number, *route)


def start_request(
    flows: FlowTable, route: tuple[int, int], number: int, now: float
) -> Flow:
    """Deliver a request on a new flow."""
    flow = flows.record_offer(make_key(route, number), 0, now)
    flows.record_request(flow, now)
    return flow


def answer(flows: FlowTable, flow: Flow, now: float) -> None:
    """Record the answer to a request, and that its flow has ended."""
    flows.record_answer(flow, now)
    flows.record_outcome(flow, failed=False)
    flows.remove(flow.key)


def serve_both(flows: FlowTable, page_s: float, scan_s: float) -> None:
    """Let requests of both routes run; each scan waits behind a page."""
    for number in range(60):
        page = start_request(flows, PAGES, number, number)
        scan = start_request(flows, SCANS, number, number)
        answer(flows, page, number + page_s)
        answer(flows, scan, number + page_s + scan_s)


def test_wait_behind_large_requests_is_longer_than_behind_small_ones() -> None:
    # Guards against small requests that are refused behind a few other small ones, as
    # if those took as long as the mean of all routes.
    flows = FlowTable(1)
    serve_both(flows, 0.025, 0.005)
    for number in range(6):
        start_request(flows, SCANS, 100 + number, 100.0)
    assert flows.estimate_s(make_key(SCANS, 200)) == pytest.approx(0.035, rel=0.02)
    assert flows.estimate_s(make_key(PAGES, 200)) == pytest.approx(0.055, rel=0.02)
    start_request(flows, PAGES, 106, 100.0)
    assert flows.estimate_s(make_key(SCANS, 200)) == pytest.approx(0.060, rel=0.02)


def test_routes_with_similar_work_are_estimated_by_the_mean_of_the_server() -> None:
    # Guards against other decisions on deployments whose routes take 15 to 39 ms.
    flows = FlowTable(1)
    serve_both(flows, 0.039, 0.015)
    start_request(flows, PAGES, 100, 100.0)
    assert not flows.times.mixed
    assert flows.estimate_s(make_key(SCANS, 200)) == flows.estimate_s()


def test_estimate_of_several_slots_counts_only_requests_that_wait() -> None:
    # Guards against a wait that is estimated although a slot is free.
    flows = FlowTable(2)
    for number in range(60):
        for route, duration_s in ((PAGES, 0.025), (SCANS, 0.005)):
            flow = start_request(flows, route, number, number)
            answer(flows, flow, number + duration_s)
    start_request(flows, PAGES, 100, 100.0)
    assert flows.estimate_s(make_key(SCANS, 200)) == pytest.approx(0.005)
    start_request(flows, PAGES, 101, 100.0)
    assert flows.estimate_s(make_key(SCANS, 200)) == pytest.approx(0.0175)


def test_expected_work_returns_to_zero_when_all_flows_have_ended() -> None:
    # Guards against a queue that seems to grow by requests that are long answered.
    flows = FlowTable(1)
    serve_both(flows, 0.025, 0.005)
    assert (flows.outstanding, flows.queued_s) == (0, 0.0)


def test_requests_and_bytes_of_a_flow_are_learned_by_route() -> None:
    # Guards against long flows that are placed like short ones.
    route = RouteWork()
    for _ in range(2 * HALVING_REQUESTS):
        for number in range(8):
            route.record_request(first=number == 0)
            route.bytes_received += 300
            route.bytes_sent += 2_000
    assert route.requests < HALVING_REQUESTS
    assert route.requests_per_flow == pytest.approx(8, rel=0.05)
    assert route.received_per_request == pytest.approx(300, rel=0.05)
    assert route.sent_per_request == pytest.approx(2_000, rel=0.05)


def test_number_of_routes_is_bounded() -> None:
    # Guards against memory that callers of many addresses can take up.
    times = ServiceTimes()
    for port in range(10 * MAXIMUM_ROUTES):
        times.get_or_create(1, port)
    assert len(times.routes) == MAXIMUM_ROUTES


def test_busy_share_is_the_recent_mean_of_the_slots_in_use() -> None:
    # Guards against placement by the queue at one moment.
    flows = FlowTable(2)
    for number in range(100):
        flow = start_request(flows, PAGES, number, number * 0.1)
        answer(flows, flow, number * 0.1 + 0.06)
    assert flows.busy_share(10.0) == pytest.approx(0.3, abs=0.02)
    assert flows.busy_share(20.0) < 0.01
    for number in range(5):
        start_request(flows, PAGES, number, 20.0)
    assert flows.busy_share(30.0) == pytest.approx(1.0, abs=0.01)


# Guards against long flows that are taken for short ones, and the reverse after a
# single retry.
def test_route_with_many_requests_on_a_flow_has_long_flows() -> None:
    route = RouteWork()
    for number in range(40):
        route.record_request(first=True)
        route.bytes_sent += 1_000
        if number % 10 == 0:
            route.record_request(first=False)
    assert not route.has_long_flows
    assert route.bytes_per_flow == pytest.approx(1_000)
    for _ in range(40):
        route.record_request(first=True)
        for _ in range(19):
            route.record_request(first=False)
    assert route.has_long_flows
