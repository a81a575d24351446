"""Flows of one backend server: what counts as load, and for how long."""

from lentilfork.forwarding.flows import CLOSED_LIFETIME_S
from lentilfork.forwarding.flows import OPENING_TIMEOUT_S
from lentilfork.forwarding.flows import REQUEST_TIMEOUT_S
from lentilfork.forwarding.flows import FlowBook

KEY = b"flow-0000001"
OTHER = b"flow-0000002"


def test_copies_of_a_syn_count_once() -> None:
    book = FlowBook(1)
    book.offer(KEY, 0, 1.0)
    book.offer(KEY, 0, 1.2)
    assert book.outstanding == 1


def test_answer_ends_the_load_and_tells_the_time_it_took() -> None:
    book = FlowBook(1)
    flow = book.offer(KEY, 0, 1.0)
    book.take_request(flow, 1.01)
    assert book.take_answer(flow, 1.04) is not None
    assert (book.outstanding, book.running) == (0, 0)
    assert book.take_answer(flow, 1.05) is None


def test_queued_requests_are_not_taken_for_slow_ones() -> None:
    book = FlowBook(1)
    for _ in range(200):
        first, second = book.offer(KEY, 0, 1.0), book.offer(OTHER, 0, 1.0)
        book.take_request(first, 1.0)
        book.take_request(second, 1.0)
        book.take_answer(first, 1.03)
        book.take_answer(second, 1.06)
        book.forget(KEY)
        book.forget(OTHER)
    assert abs(book.service_time_s - 0.03) < 0.002


def answer_some(book: FlowBook, number: int, taken_s: float) -> None:
    """Answer requests one after the other."""
    for _ in range(number):
        book.take_request(book.offer(KEY, 0, 1.0), 1.0)
        book.take_answer(book.offer(KEY, 0, 1.0), 1.0 + taken_s)
        book.forget(KEY)


def test_new_agent_learns_the_speed_of_its_server_from_a_few_answers() -> None:
    book = FlowBook(1)
    answer_some(book, 5, 0.05)
    assert abs(book.service_time_s - 0.05) < 0.01


def test_requests_of_a_warming_server_tell_its_later_speed() -> None:
    book = FlowBook(1)
    book.slowness = 1.7
    answer_some(book, 100, 0.034)
    assert abs(book.service_time_s - 0.02) < 0.001


def test_flow_without_a_request_stops_counting() -> None:
    book = FlowBook(1)
    book.offer(KEY, 0, 1.0)
    book.settle_unused(1.0 + REQUEST_TIMEOUT_S / 2)
    assert book.outstanding == 1
    book.settle_unused(1.0 + REQUEST_TIMEOUT_S)
    assert book.outstanding == 0


def test_request_that_comes_late_counts_again() -> None:
    book = FlowBook(1)
    flow = book.offer(KEY, 0, 1.0)
    book.settle_unused(2.0)
    book.take_request(flow, 2.0)
    assert (book.outstanding, book.running) == (1, 1)


def test_closed_flows_are_kept_for_late_packets_and_then_forgotten() -> None:
    book = FlowBook(1)
    flow = book.offer(KEY, 0, 1.0)
    flow.sequence = 7
    book.close(flow)
    book.forget_old(1.0 + CLOSED_LIFETIME_S / 2, 15.0)
    assert book.find(KEY) is flow
    book.forget_old(1.1 + CLOSED_LIFETIME_S, 15.0)
    assert book.find(KEY) is None


def test_flows_that_never_opened_are_forgotten_before_idle_ones() -> None:
    book = FlowBook(1)
    book.offer(KEY, 0, 1.0)
    opened = book.offer(OTHER, 0, 1.0)
    opened.sequence = 9
    book.forget_old(1.1 + OPENING_TIMEOUT_S, 15.0)
    assert book.find(KEY) is None
    assert book.find(OTHER) is opened


def test_acknowledgement_tells_whose_opening_it_answers() -> None:
    book = FlowBook(1)
    flow = book.offer(KEY, 0, 1.0)
    flow.sequence = 0xFFFFFFF0
    assert flow.matches(0xFFFFFFF1)
    assert flow.matches(40_000)
    assert not flow.matches(0x7FFFFFFF)
