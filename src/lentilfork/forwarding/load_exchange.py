"""Load reports between the agents of one service.

Each agent compares a few others for the flows that it owns, and subscribes to the load
reports of just these, so the number of reports does not grow with the service. The
others are nearly the same at every agent of a small service, and a random sample of a
large one: each agent draws its own, so that no agent is compared by all owners.
Subscriptions expire unless they are renewed.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from itertools import chain
from typing import Final

import xxhash

from lentilfork.forwarding.envelopes import Kind
from lentilfork.forwarding.loads import LoadTable
from lentilfork.forwarding.packets import hash_name
from lentilfork.forwarding.roster import AgentRecord
from lentilfork.forwarding.roster import Roster
from lentilfork.forwarding.watched_agents import choose_evenly
from lentilfork.schema import roster_pb2

__all__ = ["LoadExchange", "choose_report_interval", "choose_watched"]

SocketName = tuple[str, int]
# Agents whose load an agent follows, and how many of them are in its data centre if
# there are enough. The others take load that the data centre has no capacity for.
WATCHED: Final = 7
WATCHED_NEARBY: Final = 4
# A subscription outlives two lost renewals.
RENEWAL_INTERVAL_S: Final = 0.8
SUBSCRIPTION_LIFETIME_S: Final = 2.5
SUBSCRIPTION: Final = bytes((Kind.LOAD_SUBSCRIPTION,))
# Minimum time between two load reports, for each agent that they are sent to. Within
# this limit, a report is sent as soon as the load changes.
REPORT_INTERVAL_PER_RECEIVER_S: Final = 0.0003
MINIMUM_REPORT_INTERVAL_S: Final = 0.002
MAXIMUM_REPORT_INTERVAL_S: Final = 0.25
# Where a target is at least this many service times, a queue of a few requests is
# answered in time, and owners need not know each change of it.
GENEROUS_TARGET_FACTOR: Final = 8
# Share of such a target that a change may wait for its report. With 36 servers at 0.95
# of their capacity, half of the reports are sent and no answer becomes late.
REPORT_DELAY_SHARE: Final = 1 / 16


def choose_report_interval(target_s: float, service_time_s: float) -> float:
    """Return the minimum time between two reports of changes, in seconds.

    `target_s` is the shortest target of the service's routes, 0 if there is none.
    """
    if target_s < GENEROUS_TARGET_FACTOR * service_time_s:
        return MINIMUM_REPORT_INTERVAL_S
    return max(target_s * REPORT_DELAY_SHARE, MINIMUM_REPORT_INTERVAL_S)


def choose_watched(
    name: str,
    data_centre: str,
    agents: Sequence[AgentRecord],
    evacuated: Collection[str] = (),
) -> list[AgentRecord]:
    """Return the agents whose load the agent `name` follows.

    Available agents come first; of these, the ones with the highest rendezvous score,
    so that a change of the roster changes the sample as little as possible. Agents in
    the data centres `evacuated` come last.
    """
    ranked = sorted(
        (agent for agent in agents if agent.name != name),
        key=lambda agent: (
            not agent.is_available,
            xxhash.xxh3_64_intdigest(f"{name} {agent.name}".encode()),
        ),
    )
    used = [agent for agent in ranked if agent.data_centre not in evacuated]
    nearby = [agent for agent in used if agent.data_centre == data_centre]
    remote = [agent for agent in used if agent.data_centre != data_centre]
    chosen = nearby[:WATCHED_NEARBY] + remote[: WATCHED - WATCHED_NEARBY]
    rest = chain(
        nearby[WATCHED_NEARBY:],
        remote[WATCHED - WATCHED_NEARBY :],
        (agent for agent in ranked if agent.data_centre in evacuated),
    )
    return chosen + list(rest)[: max(WATCHED - len(chosen), 0)]


class LoadExchange:
    """Subscriptions of one agent to the loads of others, and of others to its own."""

    name: str
    # Identifier of the service, see `hash_name`.
    service: int
    data_centre: str
    roster: Roster
    loads: LoadTable
    # Whether the watched agents are chosen by `choose_evenly`.
    watches_evenly: bool
    # The watched agents and this one: those that are compared for new flows.
    candidates: Roster
    # Start of each watched agent that this one has subscribed to, by name.
    subscribed: dict[str, int]
    # When the subscription of each receiver of reports ends, by address.
    subscribers: dict[SocketName, float]
    # Addresses of agents that expect reports without a subscription.
    unsubscribed_receivers: list[SocketName]
    last_renewal_at: float
    last_report_at: float
    # `outstanding` and `accepting` of the last report.
    last_reported: tuple[int, bool]
    report_sequence: int
    # Minimum time between two reports of changes, see `choose_report_interval`.
    minimum_interval_s: float
    # Time of the check that is scheduled for a change delayed by the limit in rate.
    check_at: float
    send: Callable[[bytes, SocketName], None]
    # Calls `FlowAgent.report_load_if_due` after a delay in seconds.
    schedule_check: Callable[[float], None]
    # Returns a report without its sequence number.
    make_report: Callable[[float], roster_pb2.LoadUpdate]
    # Names of the evacuated data centres.
    evacuated: Collection[str]

    def __init__(
        self,
        record: AgentRecord,
        roster: Roster,
        loads: LoadTable,
        make_report: Callable[[float], roster_pb2.LoadUpdate],
    ) -> None:
        self.name = record.name
        self.service = hash_name(record.service)
        self.data_centre = record.data_centre
        self.roster = roster
        self.loads = loads
        self.make_report = make_report
        self.evacuated = ()
        self.watches_evenly = False
        self.candidates = Roster()
        self.subscribed = {}
        self.subscribers = {}
        self.unsubscribed_receivers = []
        self.last_renewal_at = float("-inf")
        self.last_report_at = float("-inf")
        self.last_reported = (-1, False)
        self.report_sequence = 0
        self.minimum_interval_s = MINIMUM_REPORT_INTERVAL_S
        self.check_at = float("-inf")

    def apply_roster(self) -> None:
        """Choose the watched agents again and subscribe to those that are new."""
        agents = self.roster.list_agents(self.service)
        choose = choose_evenly if self.watches_evenly else choose_watched
        watched = choose(self.name, self.data_centre, agents, self.evacuated)
        own = [agent for agent in agents if agent.name == self.name]
        self.candidates.replace(watched + own)
        for agent in watched:
            if self.subscribed.get(agent.name) != agent.incarnation:
                self.send(SUBSCRIPTION, agent.address)
        self.subscribed = {agent.name: agent.incarnation for agent in watched}
        self.unsubscribed_receivers = [
            agent.address
            for agent in agents
            if not agent.subscribes and agent.name != self.name
        ]
        self.retain_loads()

    def retain_loads(self) -> None:
        """Remove the loads of agents whose reports no longer arrive."""
        self.loads.retain_agents(self.subscribed.keys() | {self.name})

    def renew(self, now: float) -> None:
        """Renew the subscriptions and drop those of others that have expired."""
        if now - self.last_renewal_at < RENEWAL_INTERVAL_S:
            return
        self.last_renewal_at = now
        for agent in self.candidates.agents.values():
            if agent.name != self.name:
                self.send(SUBSCRIPTION, agent.address)
        self.subscribers = {
            address: until for address, until in self.subscribers.items() if now < until
        }
        self.retain_loads()

    def handle_subscription(self, sender: SocketName, now: float) -> None:
        """Handle a subscription; a new subscriber gets a report immediately."""
        is_new = sender not in self.subscribers
        self.subscribers[sender] = now + SUBSCRIPTION_LIFETIME_S
        if is_new:
            self.send(self.encode_report(now), sender)

    def report_if_due(self, outstanding: int, now: float, *, accepting: bool) -> None:
        """Report the load if it changed, or if the last report is too old.

        Reports of changes are limited in rate; an unchanged load is reported after
        `MAXIMUM_REPORT_INTERVAL_S`.
        """
        elapsed_s = now - self.last_report_at
        if elapsed_s < MAXIMUM_REPORT_INTERVAL_S:
            if (outstanding, accepting) == self.last_reported:
                return
            receivers = len(self.subscribers) + len(self.unsubscribed_receivers)
            due_at = self.last_report_at + max(
                REPORT_INTERVAL_PER_RECEIVER_S * receivers, self.minimum_interval_s
            )
            if now < due_at:
                if self.check_at < due_at:
                    self.check_at = due_at
                    self.schedule_check(due_at - now)
                return
        self.report(now)

    def report(self, now: float) -> None:
        """Send a load report to the subscribers."""
        self.last_report_at = now
        data = self.encode_report(now)
        own = self.loads.get_or_create(self.name)
        self.last_reported = own.outstanding, own.accepting
        for address in {*self.subscribers, *self.unsubscribed_receivers}:
            self.send(data, address)

    def encode_report(self, now: float) -> bytes:
        """Return the datagram of a new load report, and record it as this agent's."""
        report = self.make_report(now)
        self.report_sequence += 1
        report.sequence = self.report_sequence
        self.loads.record_report(report, now)
        return bytes((Kind.LOAD,)) + report.SerializeToString()
