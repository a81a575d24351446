"""Subscriptions to load reports: who is watched, and who receives a report."""

from collections import Counter
from dataclasses import replace

import pytest

from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.load_exchange import RENEWAL_INTERVAL_S
from lentilfork.forwarding.load_exchange import SUBSCRIPTION_LIFETIME_S
from lentilfork.forwarding.load_exchange import WATCHED
from lentilfork.forwarding.load_exchange import WATCHED_NEARBY
from lentilfork.forwarding.load_exchange import LoadExchange
from lentilfork.forwarding.load_exchange import choose_report_interval
from lentilfork.forwarding.load_exchange import choose_watched
from lentilfork.forwarding.loads import LoadTable
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.schema import roster_pb2
from tests.forwarding.simulation import DATA_CENTRES

SocketName = tuple[str, int]
OWN = "agent-0"


def make_records(count: int) -> list[AgentRecord]:
    return [
        AgentRecord(
            f"agent-{number}",
            1,
            1,
            (f"host-{number}", 1),
            "chairs",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            1,
            accepting=True,
            leaving=False,
            subscribes=True,
        )
        for number in range(count)
    ]


class Outbox:
    """Datagrams that an exchange has sent, by kind."""

    def __init__(self) -> None:
        self.sent: list[tuple[Kind, SocketName]] = []
        # Delays after which the exchange asked to be called again.
        self.delays_s: list[float] = []

    def send(self, data: bytes, address: SocketName) -> None:
        """Record a datagram."""
        self.sent.append((Kind(data[0]), address))

    def take(self, kind: Kind) -> list[str]:
        """Return the hosts that a kind of datagram was sent to, and forget all."""
        hosts = sorted(address[0] for item, address in self.sent if item is kind)
        self.sent.clear()
        return hosts


def make_exchange(records: list[AgentRecord]) -> tuple[LoadExchange, Outbox]:
    """Return the exchange of `OWN` after it has applied a roster."""
    roster, outbox = Roster(), Outbox()

    def make_report(_now: float) -> roster_pb2.LoadUpdate:
        return roster_pb2.LoadUpdate(agent=OWN, incarnation=1, slots=1, accepting=True)

    exchange = LoadExchange(records[0], roster, LoadTable(), make_report)
    exchange.send = outbox.send
    exchange.schedule_check = outbox.delays_s.append
    roster.replace(records)
    exchange.apply_roster()
    return exchange, outbox


@pytest.mark.parametrize("agents", [36, 300])
def test_number_of_subscriptions_does_not_grow_with_the_service(agents: int) -> None:
    records = make_records(agents)
    _, outbox = make_exchange(records)
    assert len(outbox.take(Kind.LOAD_SUBSCRIPTION)) == WATCHED
    watchers = Counter(
        watched.name
        for record in records
        for watched in choose_watched(record.name, record.data_centre, records)
    )
    assert max(watchers.values()) <= 4 * WATCHED


def test_agents_of_the_own_and_of_other_data_centres_are_watched() -> None:
    watched = choose_watched(OWN, DATA_CENTRES[0], make_records(36))
    nearby = [agent for agent in watched if agent.data_centre == DATA_CENTRES[0]]
    assert len(nearby) == WATCHED_NEARBY
    assert len({agent.data_centre for agent in watched}) > 1


def test_all_agents_of_a_small_service_are_watched() -> None:
    watched = choose_watched(OWN, DATA_CENTRES[0], make_records(WATCHED + 1))
    assert len(watched) == WATCHED


def test_unavailable_agents_are_replaced_in_the_sample() -> None:
    records = make_records(36)
    before = choose_watched(OWN, DATA_CENTRES[0], records)
    lost = before[0].name
    records = [replace(item, lost=item.name == lost) for item in records]
    after = choose_watched(OWN, DATA_CENTRES[0], records)
    assert lost not in {agent.name for agent in after}
    kept = {agent.name for agent in before} & {agent.name for agent in after}
    assert len(kept) == WATCHED - 1


def test_restarted_agent_is_subscribed_to_immediately() -> None:
    records = make_records(4)
    exchange, outbox = make_exchange(records)
    outbox.take(Kind.LOAD_SUBSCRIPTION)
    records[2] = replace(records[2], incarnation=2)
    exchange.roster.replace(records)
    exchange.apply_roster()
    assert outbox.take(Kind.LOAD_SUBSCRIPTION) == ["host-2"]


def test_subscriptions_are_renewed() -> None:
    exchange, outbox = make_exchange(make_records(4))
    exchange.renew(1.0)
    outbox.take(Kind.LOAD_SUBSCRIPTION)
    exchange.renew(1.0 + RENEWAL_INTERVAL_S / 2)
    assert not outbox.take(Kind.LOAD_SUBSCRIPTION)
    exchange.renew(1.0 + RENEWAL_INTERVAL_S)
    assert len(outbox.take(Kind.LOAD_SUBSCRIPTION)) == 3


def test_new_subscriber_gets_a_report_immediately_and_then_until_it_expires() -> None:
    exchange, outbox = make_exchange(make_records(4))
    outbox.take(Kind.LOAD_SUBSCRIPTION)
    exchange.handle_subscription(("host-9", 1), 1.0)
    assert outbox.take(Kind.LOAD) == ["host-9"]
    exchange.report(1.1)
    assert outbox.take(Kind.LOAD) == ["host-9"]
    exchange.renew(1.1 + SUBSCRIPTION_LIFETIME_S)
    outbox.take(Kind.LOAD_SUBSCRIPTION)
    exchange.report(1.2 + SUBSCRIPTION_LIFETIME_S)
    assert not outbox.take(Kind.LOAD)


def test_report_to_a_new_subscriber_does_not_replace_that_to_the_others() -> None:
    exchange, outbox = make_exchange(make_records(4))
    exchange.handle_subscription(("host-1", 1), 1.0)
    exchange.report(1.0)
    exchange.handle_subscription(("host-2", 1), 1.05)
    outbox.take(Kind.LOAD)
    exchange.report_if_due(3, 1.1, accepting=True)
    assert outbox.take(Kind.LOAD) == ["host-1", "host-2"]


def test_agent_of_an_older_build_gets_reports_without_a_subscription() -> None:
    records = make_records(4)
    records[3] = replace(records[3], subscribes=False)
    exchange, outbox = make_exchange(records)
    outbox.take(Kind.LOAD_SUBSCRIPTION)
    exchange.report(1.0)
    assert outbox.take(Kind.LOAD) == ["host-3"]


def test_change_soon_after_a_report_is_reported_when_the_limit_allows_it() -> None:
    exchange, outbox = make_exchange(make_records(4))
    exchange.handle_subscription(("host-1", 1), 1.0)
    exchange.report(1.0)
    outbox.take(Kind.LOAD)
    for now in (1.0005, 1.0007):
        exchange.report_if_due(3, now, accepting=True)
    assert not outbox.take(Kind.LOAD)
    (delay_s,) = outbox.delays_s
    exchange.report_if_due(3, 1.0005 + delay_s, accepting=True)
    assert outbox.take(Kind.LOAD) == ["host-1"]


def test_report_of_a_service_with_a_short_target_is_not_delayed() -> None:
    assert choose_report_interval(0.1, 0.015) == choose_report_interval(0.0, 0.015)


# Guards against agents that spend most of their processor time on load reports although
# no answer depends on them.
def test_changes_are_reported_together_where_the_target_is_generous() -> None:
    exchange, outbox = make_exchange(make_records(4))
    exchange.minimum_interval_s = choose_report_interval(0.429, 0.026)
    exchange.handle_subscription(("host-1", 1), 1.0)
    exchange.report(1.0)
    outbox.take(Kind.LOAD)
    exchange.report_if_due(1, 1.004, accepting=True)
    exchange.report_if_due(3, 1.026, accepting=True)
    assert not outbox.take(Kind.LOAD)
    exchange.report_if_due(2, 1.0 + exchange.minimum_interval_s, accepting=True)
    assert outbox.take(Kind.LOAD) == ["host-1"]
