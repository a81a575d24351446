"""Ranking of new flows by caller, work and priority."""

import pytest

from lentilfork.counters import Counters
from lentilfork.forwarding.admission import Admission
from lentilfork.forwarding.envelopes import Envelope
from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.envelopes import encode_envelope
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.placement import Choice
from lentilfork.scheduling.shedding import MAXIMUM_ADDRESSES
from lentilfork.scheduling.shedding import ORDINARY
from lentilfork.scheduling.shedding import CallerShares
from lentilfork.scheduling.shedding import Claim
from lentilfork.scheduling.shedding import RefusedShares
from lentilfork.scheduling.shedding import get_limit_ms
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import SYN_BIT
from tests.forwarding.simulation import World
from tests.forwarding.simulation import make_packet

HEAVY = Claim(heavy_caller=True)
SMALL = Claim(work=0.2)


@pytest.mark.parametrize("claim", [HEAVY, SMALL])
def test_short_targets_are_limited_as_without_ranking(claim: Claim) -> None:
    # Guards against other decisions on deployments with targets of 100 to 180 ms.
    assert get_limit_ms(180, 1000, 1, 0.2, claim) == get_limit_ms(
        180, 1000, 1, 0.2, ORDINARY
    )


def test_heavy_callers_and_small_requests_have_other_limits() -> None:
    # Guards against one caller, or costly requests, that use up the queue.
    limits = [get_limit_ms(429, 2863, 1, 0.2, item) for item in (HEAVY, ORDINARY)]
    assert limits[0] < limits[1] / 2
    assert get_limit_ms(429, 2863, 1, 0.5, SMALL) > limits[1]


def test_caller_with_many_times_its_share_is_heavy_until_it_stops() -> None:
    # Guards against a caller that stays ranked behind others for good.
    shares = CallerShares()
    heavy = [
        shares.record(77 if step % 2 else 1_000 + step, 1.0 + step * 0.01)
        for step in range(200)
    ]
    assert all(heavy[101::2])
    assert not any(heavy[::2])
    for step in range(500):
        shares.record(1_000 + step % 50, 3.0 + step * 0.01)
    assert not shares.record(77, 8.0)


def test_callers_with_equal_shares_are_not_heavy() -> None:
    # Guards against deployments whose few caller addresses all look heavy.
    shares = CallerShares()
    assert not any(shares.record(step % 3, step * 0.001) for step in range(3_000))
    assert not any(CallerShares().record(1, step * 0.001) for step in range(1_000))


def test_number_of_counted_addresses_is_bounded() -> None:
    # Guards against memory that callers with many addresses can take up.
    shares = CallerShares()
    for address in range(10 * MAXIMUM_ADDRESSES):
        shares.record(address, 1.0)
    assert len(shares.counts) <= MAXIMUM_ADDRESSES


def test_refusals_of_less_urgent_flows_do_not_count_for_urgent_ones() -> None:
    # Guards against urgent flows that are refused because others were.
    shares = RefusedShares()
    for _ in range(500):
        shares.record(2, ORDINARY, refused=True)
        shares.record(0, ORDINARY, refused=False)
    assert shares.get(0) == 0
    assert shares.get(2) > 0.4
    assert shares.get(9) == shares.get(3)


def test_refused_flows_are_counted_by_priority_and_data_centre() -> None:
    # Guards against refusals of which nobody can tell whom they affect.
    world = World([1.0] * 2)
    agent = world.hosts["agent-0"].agent
    counters: Counters = agent.counters
    for host in world.hosts.values():
        for number in range(40):
            host.agent.flows.record_offer(b"flow-%07d" % number, 0, world.clock.now)
        host.agent.exchange.report(world.clock.now)
    world.clock.run(world.clock.now + 0.01)
    syn = make_packet((9, 9), (ADDRESS, PORT), SYN_BIT)
    envelope = Envelope(
        Kind.ROUTE, 0, hash_name(SERVICE), hash_name("south"), 1000, 100, 2, syn
    )
    world.hosts["agent-0"].handle_datagram(encode_envelope(envelope), ("south", 0))
    assert counters.get("flows_refused", "answer expected too late") == 1
    assert counters.get("flows_refused_by_priority", "2") == 1
    assert counters.get("flows_refused_by_data_centre", "south") == 1


def test_limits_fall_while_the_server_rejects_flows_and_rise_again() -> None:
    # Guards against servers whose queue is shorter than the target allows: they reject
    # urgent and small requests like all others.
    admission = Admission()
    ordinary = Envelope(Kind.ROUTE, 0, 1, 1, 2863, 429, 1, b"")
    short = Envelope(Kind.ROUTE, 0, 1, 1, 1000, 180, 1, b"")
    urgent = Envelope(Kind.ROUTE, 0, 1, 1, 2863, 429, 0, b"")
    envelopes = (ordinary, short, urgent)
    before = [admission.get_limit_ms(envelope) for envelope in envelopes]
    for _ in range(100):
        admission.record_rejection()
    limits = [admission.get_limit_ms(envelope) for envelope in envelopes]
    assert limits[0] < before[0] / 2
    assert limits[1:] == before[1:]
    for _ in range(1_000):
        admission.admit(ordinary, Choice(None, 0.0, has_free_slot=True))
    assert admission.get_limit_ms(ordinary) == pytest.approx(before[0])
