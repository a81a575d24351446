"""Computes the cost of events at the busiest process from measured slopes."""

from typing import Final

from lentilfork.bench.capacity_target import ADDRESSES
from lentilfork.bench.capacity_target import CHANGES_PER_DAY
from lentilfork.bench.capacity_target import CONTROLLERS
from lentilfork.bench.capacity_target import DAY_S
from lentilfork.bench.capacity_target import ENDPOINTS
from lentilfork.bench.capacity_target import MEMBERS
from lentilfork.bench.capacity_target import RESTARTS_PER_DAY
from lentilfork.bench.capacity_target import Capacity
from lentilfork.claims.keys import CLAIM_SHARDS_PER_SERVICE
from lentilfork.claims.plan import CLAIM_VOTERS
from lentilfork.membership.client import LARGE_HEARTBEAT_MS

__all__ = ["list_event_costs"]

DATA_CENTRES: Final = 6
REGIONS: Final = 2
# Assumed number of members in one rack; the target does not give it.
RACK_MEMBERS: Final = 40
HOUR_S: Final = 3_600
MS_PER_S: Final = 1_000
BYTES_PER_MB: Final = 1_000_000
# Average number of member sessions at one controller.
SESSIONS: Final = MEMBERS / CONTROLLERS
# Average number of claim shards in which one agent is a voter.
SHARDS_PER_AGENT: Final = (
    ADDRESSES * CLAIM_SHARDS_PER_SERVICE * CLAIM_VOTERS / ENDPOINTS
)
# Each claim shard changes twice: the new voters are set, then `previous` is cleared.
SHARD_CHANGES: Final = 2
# A restart removes an agent and admits it again. Only the removal changes shards.
RESTART_CHANGES: Final = 2


def list_event_costs(capacity: Capacity) -> list[tuple[str, ...]]:
    """Return rows of table cells: event, process, messages and bytes."""
    change_bytes = capacity.extrapolate("balancer, change bytes", MEMBERS)
    steady_bytes_per_s = capacity.extrapolate("balancer, steady bytes", MEMBERS)
    shard_change_bytes = (
        capacity.get_slope("address, message") / CLAIM_SHARDS_PER_SERVICE
    )
    # Bytes to one member when an agent is lost: its removal and the new voters.
    lost = change_bytes + SHARDS_PER_AGENT * SHARD_CHANGES * shard_change_bytes
    restart_bytes = lost + change_bytes
    # Average number of members in one data centre.
    centre = MEMBERS / DATA_CENTRES
    # Average number of members in one region.
    region = MEMBERS / REGIONS
    snapshot_bytes = capacity.snapshot_bytes
    heartbeats_per_s = SESSIONS * MS_PER_S / LARGE_HEARTBEAT_MS
    restart_bytes_per_day = RESTARTS_PER_DAY * restart_bytes
    return [
        (
            "steady state",
            "a controller",
            f"{heartbeats_per_s:,.0f} heartbeats/s",
            f"{steady_bytes_per_s * SESSIONS / BYTES_PER_MB:.3f} MB/s",
        ),
        (
            "one change of configuration",
            "a controller",
            f"{SESSIONS:,.0f}",
            f"{change_bytes * SESSIONS / BYTES_PER_MB:.3f} MB",
        ),
        (
            f"{CHANGES_PER_DAY} changes in a day",
            "a member",
            f"{CHANGES_PER_DAY}",
            f"{change_bytes * CHANGES_PER_DAY / DAY_S:.2f} B/s",
        ),
        (
            f"{RESTARTS_PER_DAY} restarts in a day",
            "a member",
            f"{RESTARTS_PER_DAY * RESTART_CHANGES} or more",
            f"{restart_bytes_per_day / DAY_S:.1f} B/s",
        ),
        (
            f"{RESTARTS_PER_DAY} restarts in an hour",
            "a member",
            f"{RESTARTS_PER_DAY * RESTART_CHANGES} or more",
            f"{restart_bytes_per_day / HOUR_S:.1f} B/s",
        ),
        (
            f"{RESTARTS_PER_DAY} restarts in an hour",
            "a controller",
            f"{RESTARTS_PER_DAY * RESTART_CHANGES * SESSIONS:,.0f}",
            f"{restart_bytes_per_day * SESSIONS / HOUR_S / BYTES_PER_MB:.3f} MB/s",
        ),
        (
            f"rack of {RACK_MEMBERS} members lost",
            "a controller",
            f"{SESSIONS:,.0f} or more",
            f"{lost * RACK_MEMBERS * SESSIONS / BYTES_PER_MB:.1f} MB",
        ),
        (
            "data centre lost",
            "a controller",
            f"{(MEMBERS - centre) / (CONTROLLERS - 1):,.0f} or more",
            f"{lost * centre * (MEMBERS - centre) / (CONTROLLERS - 1) / 1e6:.0f} MB",
        ),
        (
            "regions join after ten minutes, all of one gone",
            "a controller",
            f"{region:,.0f} snapshots, {region * SESSIONS:,.0f} deltas at most",
            f"{region * snapshot_bytes / 1e6:.0f} MB + "
            f"{region * change_bytes * SESSIONS / 1e6:.0f} MB",
        ),
        (
            "all members announce at once",
            "a controller",
            f"{SESSIONS:,.0f} full heartbeats, {SESSIONS:,.0f} snapshots",
            f"{SESSIONS * snapshot_bytes / BYTES_PER_MB:.0f} MB",
        ),
        (
            "one snapshot of the whole state",
            "a member",
            "1",
            f"{snapshot_bytes / BYTES_PER_MB:.3f} MB",
        ),
    ]
