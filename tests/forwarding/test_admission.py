"""Admission of flows by the expected time to answer and the share refused."""

from lentilfork.forwarding.admission import Admission
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.placement import Choice
from lentilfork.forwarding.roster import AgentRecord

TARGET_MS = 100
AGENT = AgentRecord("agent-1", 1, 1, ("agent-1", 1), "chairs", "north", 1, True, False)


def make_envelope(priority: int) -> Envelope:
    return Envelope(Kind.ROUTE, 0, 1, 1, 1000, TARGET_MS, priority, b"")


def refuse_many(admission: Admission) -> None:
    """Have many flows refused, so that the limit for the queue becomes low."""
    for _ in range(500):
        admission.admit(make_envelope(2), Choice(AGENT, 9.9))


def test_flow_expected_after_its_target_is_refused() -> None:
    assert not Admission().admit(make_envelope(0), Choice(AGENT, 0.2))


def test_urgent_flows_are_admitted_to_a_longer_queue() -> None:
    choice = Choice(AGENT, 0.06)
    assert Admission().admit(make_envelope(0), choice)
    assert not Admission().admit(make_envelope(2), choice)


def test_queue_limit_is_lower_while_many_flows_are_refused() -> None:
    admission = Admission()
    choice = Choice(AGENT, 0.045)
    assert admission.admit(make_envelope(2), choice)
    refuse_many(admission)
    assert not admission.admit(make_envelope(2), choice)


def test_flow_is_admitted_to_a_free_slot_after_many_refusals() -> None:
    admission = Admission()
    refuse_many(admission)
    assert admission.admit(make_envelope(2), Choice(AGENT, 0.3, has_free_slot=True))
