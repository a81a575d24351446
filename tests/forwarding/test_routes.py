"""Routes to several services: shares by weight, and agreement between processes."""

import math
from collections import Counter

import pytest

from lentilfork.counters import Counters
from lentilfork.forwarding.balancer import FlowBalancer
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.envelopes import decode_envelope
from lentilfork.forwarding.packets import make_caller_key
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from tests.forwarding.simulation import ACK_BIT
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import CODEC
from tests.forwarding.simulation import DATA_CENTRES
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SYN_BIT
from tests.forwarding.simulation import make_packet
from tests.forwarding.simulation import make_routes

FLOWS = 20_000
# A share misses its bound by chance once in some million cases.
STANDARD_DEVIATIONS = 5


def make_balancer(
    data_centre: str, weights: dict[str, int]
) -> tuple[FlowBalancer, list[bytes]]:
    """Return a balancer that knows an agent of each service, and what it sends."""
    sent: list[bytes] = []
    balancer = FlowBalancer(CODEC, Roster(), data_centre, Counters(), DecisionLog())
    balancer.routes = make_routes(1, weights)
    balancer.roster.replace(
        AgentRecord(name, 1, 1, (name, 1), name, "north", 1, True, False)
        for name in weights
    )
    balancer.synced_at = 0.0
    balancer.send = lambda data, _address: sent.append(data)
    return balancer, sent


def choose_services(weights: dict[str, int], flows: int = FLOWS) -> list[str]:
    """Return the services that a balancer chooses for flows."""
    balancer, sent = make_balancer("north", weights)
    packets = (
        make_packet((0x64400000 + number // 50, 40_000 + number), (ADDRESS, PORT), 4)
        for number in range(flows)
    )
    for packet in packets:
        balancer.handle_packet(packet, 10.0)
    envelopes = map(decode_envelope, sent)
    return [
        balancer.routes.services[envelope.service] for envelope in envelopes if envelope
    ]


# Guards against services that get too little or nothing because of their route's
# weights, such as the last ones where the weights add up to more than 256.
@pytest.mark.parametrize(
    "weights",
    [
        {"a": 90, "b": 10},
        {"a": 50, "b": 50},
        {"a": 100, "b": 100},
        {"a": 256, "b": 256},
        {"a": 600, "b": 300, "c": 100},
        {"a": 9_000, "b": 1_000},
        {"a": 1, "b": 2, "c": 4},
    ],
)
def test_services_get_flows_in_proportion_to_their_weights(
    weights: dict[str, int],
) -> None:
    counted = Counter(choose_services(weights))
    total = sum(weights.values())
    for service, weight in weights.items():
        share = weight / total
        bound = STANDARD_DEVIATIONS * math.sqrt(FLOWS * share * (1 - share))
        assert abs(counted[service] - FLOWS * share) <= bound


# Guards against new configurations that move more flows than their weights require.
@pytest.mark.parametrize(
    ("before", "after"),
    [
        ({"a": 300, "b": 300, "c": 300}, {"a": 300, "b": 300, "c": 600}),
        ({"a": 300, "b": 300, "c": 300}, {"a": 300, "b": 600, "c": 300}),
        ({"a": 90, "b": 10}, {"a": 90, "b": 10, "c": 5}),
    ],
)
def test_raised_weight_moves_flows_only_to_its_service(
    before: dict[str, int], after: dict[str, int]
) -> None:
    (raised,) = (name for name in after if after[name] != before.get(name, 0))
    moves = zip(choose_services(before), choose_services(after), strict=True)
    assert {new for old, new in moves if old != new} == {raised}


# Guards against flows that move when a configuration only scales or reorders weights.
def test_scaled_or_reordered_weights_move_no_flow() -> None:
    expected = choose_services({"a": 90, "b": 10, "c": 30})
    assert choose_services({"c": 30, "a": 90, "b": 10}) == expected
    assert choose_services({"a": 900, "b": 100, "c": 300}) == expected


# Guards against balancers that disagree about the service of a flow.
def test_all_packets_of_a_flow_go_to_one_service_from_every_balancer() -> None:
    weights = {"a": 500, "b": 300, "c": 200}
    chosen: dict[bytes, set[int]] = {}
    for data_centre in (*DATA_CENTRES, *DATA_CENTRES):
        balancer, sent = make_balancer(data_centre, weights)
        for port in range(1, 200):
            for flags, acknowledgement in ((SYN_BIT, 0), (SYN_BIT, 1), (ACK_BIT, 99)):
                data = make_packet(
                    (9, port), (ADDRESS, PORT), flags, 7, acknowledgement
                )
                balancer.handle_packet(data, 10.0)
        for envelope in map(decode_envelope, sent):
            assert envelope is not None
            packet = CODEC.parse(envelope.data)
            assert packet is not None
            chosen.setdefault(make_caller_key(packet), set()).add(envelope.service)
    assert len(chosen) == 199
    assert all(len(services) == 1 for services in chosen.values())
