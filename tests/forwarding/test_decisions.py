"""Limits of log lines of decisions, separate for failures and routine outcomes."""

import logbook

from lentilfork.forwarding.decisions import FAILURE_LINES_PER_S
from lentilfork.forwarding.decisions import LINES_PER_S
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.decisions import format_flow
from lentilfork.forwarding.packets import KEY

FLOW = KEY.pack(0x64400007, 40_001, 0xC6120001, 443)


def test_flow_is_formatted_with_both_ends() -> None:
    assert format_flow(FLOW) == "100.64.0.7:40001>198.18.0.1:443"


def test_lines_are_bounded_and_the_rest_is_counted() -> None:
    decisions = DecisionLog()
    with logbook.TestHandler() as handler:
        for _ in range(500):
            decisions.write("placed", FLOW, "answer expected first")
        for _ in range(500):
            decisions.write("refused", FLOW, "answer expected too late")
        messages = [record.message for record in handler.records]
        assert messages.count("placed") == LINES_PER_S
        assert messages.count("refused") == FAILURE_LINES_PER_S
        decisions.reset_limits()
        omitted = handler.records[-1].kwargs
    assert omitted == {
        "placed": 500 - LINES_PER_S,
        "refused": 500 - FAILURE_LINES_PER_S,
    }
