"""Services that routes had in earlier tables, kept in the newest one.

Flows that were opened under an earlier table stay at its services. A process that
starts after the change, or that has missed a table, learns from the newest table where
such flows may be.
"""

from typing import Final

from lentilfork.schema import state_pb2

__all__ = ["KEPT_MS", "add_history"]

# Flows may be dropped at an age of 60 s. The rest allows for steps of the clock and for
# the time until all processes apply a table.
KEPT_MS: Final = 120_000
# Start of a history that contains all tables.
BEGINNING_MS: Final = 1


def add_history(
    former: state_pb2.RouteTable, table: state_pb2.RouteTable, now_ms: int
) -> state_pb2.RouteTable:
    """Return a table with the services that its routes had under earlier ones.

    `former` is the table that it replaces, `now_ms` the Unix time of the change.
    """
    added = state_pb2.RouteTable()
    added.CopyFrom(table)
    # A controller of an older build keeps no history.
    since_ms = former.history_since_ms or now_ms
    if former.version == 0:
        since_ms = BEGINNING_MS
    added.history_since_ms = since_ms
    added.has_history = since_ms == BEGINNING_MS or now_ms - since_ms >= KEPT_MS
    replaced = {(route.address, route.port): route for route in former.routes}
    for route in added.routes:
        del route.former[:]
        before = replaced.get((route.address, route.port))
        if before is not None:
            route.former.extend(list_former_services(before, route, now_ms))
    return added


def list_former_services(
    before: state_pb2.Route, route: state_pb2.Route, now_ms: int
) -> list[state_pb2.FormerService]:
    """Return the services that a route had until now or lately, and has no longer."""
    replaced_ms = {
        item.service: item.replaced_ms
        for item in before.former
        if now_ms - item.replaced_ms <= KEPT_MS
    }
    replaced_ms |= {target.service: now_ms for target in before.targets}
    kept = {target.service for target in route.targets if target.weight > 0}
    return [
        state_pb2.FormerService(service=service, replaced_ms=replaced_ms[service])
        for service in sorted(replaced_ms.keys() - kept)
    ]
