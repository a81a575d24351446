"""Members of tests, which hear of a newer route table from several controllers."""

from collections.abc import Iterable

from lentilfork.counters import Counters
from lentilfork.forwarding.membership import Membership
from lentilfork.forwarding.roster import Roster
from lentilfork.schema import roster_pb2

__all__ = ["CONTROLLERS", "NOW", "VERSION", "hear", "make_member"]

CONTROLLERS = [(f"127.7.3.{number}", 7000) for number in range(1, 6)]
NOW = 100.0
VERSION = 9


def make_member(name: str, data_centre: str = "west") -> Membership:
    """Return a member that knows the seeds only."""
    member = Membership(name, data_centre, CONTROLLERS[:3], Roster(), Counters())
    member.send = lambda _data, _address: None
    return member


def hear(
    member: Membership,
    controllers: Iterable[tuple[str, int]] = CONTROLLERS,
    *,
    data_centre: str = "",
    partial: bool = False,
    now: float = NOW,
) -> None:
    """Let a member receive an update of each controller.

    Without `data_centre`, each one is in a data centre of its own.
    """
    for host, port in controllers:
        update = roster_pb2.RosterUpdate(
            controller=f"{host}:{port}",
            data_centre=data_centre or f"dc-{host}",
            table_version=VERSION,
            warm=True,
            partial=partial,
        )
        member.handle_update(update, (host, port), now)
