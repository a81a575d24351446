"""Load and lifetimes in the table of flows of one backend server."""

from lentilfork.forwarding.flows import CLOSED_LIFETIME_S
from lentilfork.forwarding.flows import OPENING_TIMEOUT_S
from lentilfork.forwarding.flows import REQUEST_TIMEOUT_S
from lentilfork.forwarding.flows import Flow
from lentilfork.forwarding.flows import FlowTable

FIRST_KEY = b"flow-0000001"
SECOND_KEY = b"flow-0000002"


def test_retransmissions_of_a_syn_count_once() -> None:
    flows = FlowTable(1)
    flows.record_offer(FIRST_KEY, 0, 1.0)
    flows.record_offer(FIRST_KEY, 0, 1.2)
    assert flows.outstanding == 1


def test_answer_ends_the_load_and_returns_its_duration() -> None:
    flows = FlowTable(1)
    flow = flows.record_offer(FIRST_KEY, 0, 1.0)
    flows.record_request(flow, 1.01)
    assert flows.record_answer(flow, 1.04) is not None
    assert (flows.outstanding, flows.running) == (0, 0)
    flows.record_outcome(flow, failed=False)
    assert flows.record_answer(flow, 1.05) is None


def record_served(flows: FlowTable, flow: Flow, now: float) -> None:
    """Record the answer to a request that the backend server served."""
    assert flows.record_answer(flow, now) is not None
    flows.record_outcome(flow, failed=False)


def test_queueing_does_not_raise_the_service_time() -> None:
    flows = FlowTable(1)
    for _ in range(200):
        first, second = (
            flows.record_offer(FIRST_KEY, 0, 1.0),
            flows.record_offer(SECOND_KEY, 0, 1.0),
        )
        flows.record_request(first, 1.0)
        flows.record_request(second, 1.0)
        record_served(flows, first, 1.03)
        record_served(flows, second, 1.06)
        flows.remove(FIRST_KEY)
        flows.remove(SECOND_KEY)
    assert abs(flows.service_time_s - 0.03) < 0.002


def answer_requests(flows: FlowTable, number: int, duration_s: float) -> None:
    """Record requests and their answers sequentially."""
    for _ in range(number):
        flows.record_request(flows.record_offer(FIRST_KEY, 0, 1.0), 1.0)
        record_served(flows, flows.record_offer(FIRST_KEY, 0, 1.0), 1.0 + duration_s)
        flows.remove(FIRST_KEY)


def test_service_time_adapts_to_the_first_few_answers() -> None:
    flows = FlowTable(1)
    answer_requests(flows, 5, 0.05)
    assert abs(flows.service_time_s - 0.05) < 0.01


def test_service_time_excludes_the_slowdown_of_the_warm_up() -> None:
    flows = FlowTable(1)
    flows.slowdown_factor = 1.7
    answer_requests(flows, 100, 0.034)
    assert abs(flows.service_time_s - 0.02) < 0.001


def test_flow_without_a_request_stops_counting_as_outstanding() -> None:
    flows = FlowTable(1)
    flows.record_offer(FIRST_KEY, 0, 1.0)
    flows.expire_awaited_requests(1.0 + REQUEST_TIMEOUT_S / 2)
    assert flows.outstanding == 1
    flows.expire_awaited_requests(1.0 + REQUEST_TIMEOUT_S)
    assert flows.outstanding == 0


def test_late_request_counts_as_outstanding_again() -> None:
    flows = FlowTable(1)
    flow = flows.record_offer(FIRST_KEY, 0, 1.0)
    flows.expire_awaited_requests(2.0)
    flows.record_request(flow, 2.0)
    assert (flows.outstanding, flows.running) == (1, 1)


def test_closed_flows_are_kept_for_late_packets_and_then_removed() -> None:
    flows = FlowTable(1)
    flow = flows.record_offer(FIRST_KEY, 0, 1.0)
    flow.sequence = 7
    flows.close(flow)
    flows.expire_flows(1.0 + CLOSED_LIFETIME_S / 2, 15.0)
    assert flows.find(FIRST_KEY) is flow
    flows.expire_flows(1.1 + CLOSED_LIFETIME_S, 15.0)
    assert flows.find(FIRST_KEY) is None


def test_flows_that_never_opened_expire_before_idle_ones() -> None:
    flows = FlowTable(1)
    flows.record_offer(FIRST_KEY, 0, 1.0)
    opened = flows.record_offer(SECOND_KEY, 0, 1.0)
    opened.sequence = 9
    flows.expire_flows(1.1 + OPENING_TIMEOUT_S, 15.0)
    assert flows.find(FIRST_KEY) is None
    assert flows.find(SECOND_KEY) is opened


def test_acknowledgement_is_matched_with_the_first_sequence_number() -> None:
    flows = FlowTable(1)
    flow = flows.record_offer(FIRST_KEY, 0, 1.0)
    flow.sequence = 0xFFFFFFF0
    flow.record_acknowledgement(0xFFFFFFF1)
    assert flow.accepts_acknowledgement(0xFFFFFFF1)
    assert flow.accepts_acknowledgement(40_000)
    assert not flow.accepts_acknowledgement(0x7FFFFFFF)


# Guards against packets of an open flow that are kept by the agent of a server that the
# caller didn't choose, because its numbers are near the chosen one's.
def test_flow_that_is_not_open_accepts_only_an_acknowledgement_of_its_syn_answer() -> (
    None
):
    flows = FlowTable(1)
    flow = flows.record_offer(FIRST_KEY, 0, 1.0)
    for first in (0xFFFFFFFF, 5):
        flow.sequence = first
        accepted = [
            distance
            for distance in (-(1 << 26), -1, 0, 1, 2, 1 << 25, 1 << 26, 1 << 31)
            if flow.accepts_acknowledgement((first + distance) % (1 << 32))
        ]
        assert accepted == [0, 1]


def test_failed_requests_do_not_lower_the_service_time() -> None:
    flows = FlowTable(1)
    answer_requests(flows, 20, 0.05)
    known_s = flows.service_time_s
    for _ in range(50):
        # A server whose queue is full sheds requests within a millisecond.
        flows.record_request(flows.record_offer(FIRST_KEY, 0, 1.0), 1.0)
        flow = flows.record_offer(FIRST_KEY, 0, 1.0)
        assert flows.record_answer(flow, 1.001) is not None
        flows.record_outcome(flow, failed=True)
        flows.remove(FIRST_KEY)
    assert flows.service_time_s == known_s
    assert (flows.outstanding, flows.running) == (0, 0)
