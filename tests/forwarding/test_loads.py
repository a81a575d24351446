"""Load reports of agents: their order, also across restarts of an agent."""

from lentilfork.forwarding.loads import REPORT_TIMEOUT_S
from lentilfork.forwarding.loads import LoadTable
from lentilfork.schema import roster_pb2


def make_report(incarnation: int, sequence: int) -> roster_pb2.LoadUpdate:
    return roster_pb2.LoadUpdate(
        agent="agent-1",
        incarnation=incarnation,
        sequence=sequence,
        outstanding=sequence,
        slots=1,
        accepting=True,
    )


def test_report_that_arrives_late_is_ignored() -> None:
    loads = LoadTable()
    loads.record_report(make_report(100, 2), 1.0)
    loads.record_report(make_report(100, 1), 1.1)
    assert loads.get_or_create("agent-1").outstanding == 2


def test_agent_whose_clock_was_set_back_is_usable_again() -> None:
    loads = LoadTable()
    loads.record_report(make_report(100, 7), 1.0)
    loads.record_report(make_report(90, 1), 1.1)
    assert loads.get_or_create("agent-1").outstanding == 7
    now = 1.0 + REPORT_TIMEOUT_S + 0.1
    assert not loads.is_usable("agent-1", now)
    loads.record_report(make_report(90, 2), now)
    assert loads.is_usable("agent-1", now)
    assert loads.get_or_create("agent-1").outstanding == 2


def test_share_of_slots_in_use_is_read_from_a_report() -> None:
    # Guards against agents that seem idle to those that place flows by utilisation.
    loads = LoadTable()
    report = make_report(100, 1)
    report.busy_permille = 730
    loads.record_report(report, 1.0)
    assert loads.get_or_create("agent-1").busy_share == 0.73
