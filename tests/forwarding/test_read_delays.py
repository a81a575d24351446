"""A SYN that waited at a process which got no time is not refused with a reset."""

import pytest

from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import decode_placement_notice
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.envelopes import read_kind
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.read_delays import ReadDelays
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import SYN_BIT as SYN
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_packet


class BusyAgent:
    """An agent that refuses new flows, with what it sends for them."""

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.host = World([1.0]).hosts["agent-0"]
        self.now = self.host.world.clock.now
        self.resets = 0
        self.refusals = 0
        for number in range(40):
            self.host.agent.flows.record_offer(b"flow-%07d" % number, 0, self.now)
        self.host.agent.owner.send_to_caller = self.count_reset
        self.host.agent.delivery.send = self.count_refusal
        self.host.agent.tick(self.now)

    def count_reset(self, _data: bytes, _address: int) -> None:
        """Count a reset."""
        self.resets += 1

    def count_refusal(self, data: bytes, _address: tuple[str, int]) -> None:
        """Count a notice that a flow was refused."""
        if read_kind(data) is Kind.NOTE:
            notice = decode_placement_notice(data)
            self.refusals += notice is not None and notice[1] == ""

    def receive_syn(self, port: int, after_s: float) -> None:
        """Pass a SYN to the agent, which has done nothing for some time."""
        self.now += after_s
        data = make_packet((5, port), (ADDRESS, PORT), SYN, 7)
        envelope = Envelope(
            self.kind, 0, hash_name(SERVICE), hash_name("north"), 1000, 100, 1, data
        )
        sender = ("agent-3", 1)
        self.host.agent.handle_datagram(
            self.kind, encode_envelope(envelope), sender, self.now
        )


# Guards against resets of open flows: the SYN waited at a slow agent, which refused it
# after its copy had opened the flow through another one.
@pytest.mark.parametrize("kind", [Kind.ROUTE, Kind.DELIVER])
@pytest.mark.parametrize(
    ("waited_s", "refused"), [(0.01, True), (0.1, True), (0.2, False), (0.376, False)]
)
def test_late_syn_is_dropped_instead_of_refused(
    kind: Kind, waited_s: float, *, refused: bool
) -> None:
    agent = BusyAgent(kind)
    agent.receive_syn(1, waited_s)
    agent.receive_syn(2, 0.01)
    assert agent.resets == 2 * refused
    assert agent.refusals == 2 * (refused and kind is Kind.DELIVER)


def test_syns_are_refused_again_once_the_backlog_was_read() -> None:
    agent = BusyAgent(Kind.ROUTE)
    agent.receive_syn(1, 0.3)
    for port in range(2, 6):
        agent.receive_syn(port, 0.03)
    assert agent.resets == 1


def test_first_step_is_not_late() -> None:
    delays = ReadDelays()
    delays.record_step(1_000.0)
    assert not delays.is_late
