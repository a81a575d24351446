"""A balancer without routes or agents buffers callers' SYNs for a bounded time."""

from lentilfork.counters import Counters
from lentilfork.forwarding.balancer import BUFFER_TIMEOUT_S
from lentilfork.forwarding.balancer import MAXIMUM_BUFFERED_SYNS
from lentilfork.forwarding.balancer import ROSTER_SETTLE_S
from lentilfork.forwarding.balancer import FlowBalancer
from lentilfork.forwarding.decisions import DecisionLog
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.routes import index_routes
from lentilfork.platform.header import HeaderCodec
from lentilfork.schema import state_pb2
from tests.forwarding.simulation import ADDRESS
from tests.forwarding.simulation import PORT
from tests.forwarding.simulation import SERVICE
from tests.forwarding.simulation import make_packet

SYN, ACK = 4, 2
AGENT = AgentRecord("agent-1", 1, 1, ("agent-1", 1), SERVICE, "north", 1, True, False)
TABLE = state_pb2.RouteTable(
    version=1,
    routes=[
        state_pb2.Route(
            address=ADDRESS,
            port=PORT,
            targets=[state_pb2.Target(service=SERVICE, weight=1)],
        )
    ],
)


class SentPackets:
    """Packets that a balancer sent to agents and to callers."""

    def __init__(self) -> None:
        self.forwarded: list[bytes] = []
        self.resets: list[bytes] = []


def make_balancer() -> tuple[FlowBalancer, SentPackets]:
    sent = SentPackets()
    balancer = FlowBalancer(HeaderCodec(), Roster(), "north", Counters(), DecisionLog())
    balancer.send = lambda data, _address: sent.forwarded.append(data)
    balancer.send_to_caller = lambda data, _address: sent.resets.append(data)
    return balancer, sent


def make_opening(port: int, retransmissions: int = 0) -> bytes:
    return make_packet((9, port), (ADDRESS, PORT), SYN, 7, retransmissions)


def synchronize(balancer: FlowBalancer, now: float) -> None:
    balancer.routes = index_routes(TABLE)
    balancer.synced_at = now
    balancer.roster.replace([AGENT])


def test_syns_before_the_first_routes_are_forwarded_once() -> None:
    balancer, sent = make_balancer()
    balancer.handle_packet(make_opening(1), 1.0)
    balancer.handle_packet(make_opening(1, retransmissions=1), 1.2)
    balancer.handle_packet(make_opening(2), 1.3)
    synchronize(balancer, 1.4)
    balancer.forward_buffered(1.5)
    balancer.forward_buffered(1.6)
    assert len(sent.forwarded) == 2
    assert sent.resets == []


def test_syns_are_buffered_without_agents_until_the_roster_has_settled() -> None:
    balancer, sent = make_balancer()
    synchronize(balancer, 1.0)
    balancer.roster.replace([])
    balancer.handle_packet(make_opening(1), 1.1)
    balancer.forward_buffered(1.2)
    assert (sent.forwarded, sent.resets) == ([], [])
    balancer.roster.replace([AGENT])
    balancer.forward_buffered(1.3)
    assert len(sent.forwarded) == 1
    balancer.roster.replace([])
    balancer.handle_packet(make_opening(2), 1.1 + ROSTER_SETTLE_S)
    assert len(sent.resets) == 1


def test_buffered_syn_without_an_agent_is_refused() -> None:
    balancer, sent = make_balancer()
    synchronize(balancer, 1.0)
    balancer.roster.replace([])
    balancer.handle_packet(make_opening(1), 0.9 + ROSTER_SETTLE_S)
    balancer.forward_buffered(1.1 + ROSTER_SETTLE_S)
    assert len(sent.resets) == 1


def test_syn_is_dropped_after_its_caller_gave_up() -> None:
    balancer, sent = make_balancer()
    balancer.handle_packet(make_opening(1), 1.0)
    balancer.forward_buffered(1.0 + BUFFER_TIMEOUT_S / 2)
    synchronize(balancer, 2.0)
    balancer.forward_buffered(1.1 + BUFFER_TIMEOUT_S)
    assert sent.forwarded == []


def test_packets_of_open_flows_are_not_buffered() -> None:
    balancer, sent = make_balancer()
    balancer.handle_packet(make_packet((9, 1), (ADDRESS, PORT), ACK, 8, 5), 1.0)
    synchronize(balancer, 1.1)
    balancer.forward_buffered(1.2)
    assert sent.forwarded == []


def test_buffered_syns_are_bounded() -> None:
    balancer, _ = make_balancer()
    for port in range(MAXIMUM_BUFFERED_SYNS + 10):
        balancer.handle_packet(make_opening(port), 1.0)
    assert len(balancer.buffered) == MAXIMUM_BUFFERED_SYNS
