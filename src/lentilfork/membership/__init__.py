"""Membership: heartbeats, leases and distribution of the agreed state to members."""

from lentilfork.clocks import draw_incarnation
from lentilfork.clocks import read_clock_ms
from lentilfork.membership.client import HEARTBEAT_MS
from lentilfork.membership.client import MembershipClient
from lentilfork.membership.lease import LEASE_MS

__all__ = [
    "HEARTBEAT_MS",
    "LEASE_MS",
    "MembershipClient",
    "draw_incarnation",
    "read_clock_ms",
]
