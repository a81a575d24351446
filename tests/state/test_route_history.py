"""Services that routes had in earlier tables are kept in the newest one."""

from lentilfork.schema import state_pb2
from lentilfork.state import ReplicatedState
from lentilfork.state import apply_change
from lentilfork.state.route_history import KEPT_MS

START_MS = 1_790_000_000_000
ADDRESS, PORT = 0xC6120001, 443


class Tables:
    """Applies route tables with one route, one after the other."""

    def __init__(self) -> None:
        self.state = ReplicatedState()
        self.now_ms = START_MS

    def put(self, *services: str, after_ms: int = 1_000, routed: bool = True) -> None:
        """Apply a table whose route has the given services."""
        self.now_ms += after_ms
        targets = [state_pb2.Target(service=name, weight=1) for name in services]
        route = state_pb2.Route(address=ADDRESS, port=PORT, targets=targets)
        table = state_pb2.RouteTable(
            version=self.state.route_table.version + 1, routes=[route] * routed
        )
        change = state_pb2.Change(
            change_id=f"table-{table.version}",
            time_ms=self.now_ms,
            put_route_table=table,
        )
        self.state, _ = apply_change(self.state, change)

    def list_former(self) -> list[str]:
        """Return the former services of the only route."""
        return [item.service for item in self.state.route_table.routes[0].former]


def test_services_of_all_recent_tables_are_kept() -> None:
    tables = Tables()
    tables.put("chairs")
    assert tables.list_former() == []
    tables.put("benches")
    tables.put("stools", "sofas")
    assert tables.list_former() == ["benches", "chairs"]
    tables.put("chairs")
    assert tables.list_former() == ["benches", "sofas", "stools"]
    assert tables.state.route_table.has_history


def test_services_that_were_replaced_long_ago_are_dropped() -> None:
    tables = Tables()
    for name in ("chairs", "benches", "stools"):
        tables.put(name)
    tables.put("stools", after_ms=KEPT_MS - 1_000)
    assert tables.list_former() == ["benches", "chairs"]
    tables.put("stools", after_ms=1_000)
    assert tables.list_former() == ["benches"]
    tables.put("stools", after_ms=1_000)
    assert tables.list_former() == []


def test_clock_that_steps_back_drops_nothing() -> None:
    tables = Tables()
    tables.put("chairs")
    tables.put("benches")
    tables.put("stools", after_ms=-5_000)
    assert tables.list_former() == ["benches", "chairs"]


def test_route_that_was_removed_has_no_history() -> None:
    tables = Tables()
    tables.put("chairs")
    tables.put(routed=False)
    tables.put("benches")
    assert tables.list_former() == []


def test_former_services_in_a_proposed_table_are_ignored() -> None:
    tables = Tables()
    tables.put("chairs")
    proposed = state_pb2.RouteTable()
    proposed.CopyFrom(tables.state.route_table)
    proposed.version += 1
    proposed.routes[0].former.add(service="stools", replaced_ms=START_MS)
    change = state_pb2.Change(
        change_id="copy", time_ms=START_MS, put_route_table=proposed
    )
    state, _ = apply_change(tables.state, change)
    assert not state.route_table.routes[0].former


# Guards against a history that counts as complete although controllers of an older
# build have applied tables without keeping one.
def test_history_is_complete_only_after_the_time_that_it_is_kept_for() -> None:
    tables = Tables()
    tables.put("chairs")
    tables.state.route_table.history_since_ms = 0
    tables.put("benches")
    assert not tables.state.route_table.has_history
    tables.put("benches", after_ms=KEPT_MS - 1)
    assert not tables.state.route_table.has_history
    tables.put("benches", after_ms=1)
    assert tables.state.route_table.has_history
