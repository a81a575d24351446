"""Waiting until every live member has applied a generation."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork.cli.client import ControllerClient
from lentilfork.cli.client import knows_leader
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.schema import admin_pb2

__all__ = ["describe_lagging", "list_lagging", "wait_until_applied"]

POLL_INTERVAL_S: Final = 0.2
SILENT: Final = "silent"

# Role, name and incarnation, which identify one process.
MemberKey = tuple[str, str, int]


def list_lagging(
    status: admin_pb2.Status,
    generation: int,
    awaited: Collection[MemberKey] = frozenset(),
) -> list[admin_pb2.MemberStatus]:
    """Return the members that have not applied a generation yet.

    Members that missed their heartbeats are included only if they are `awaited`.
    """
    return [
        member
        for member in status.members
        if member.generation < generation and is_awaited(member, awaited)
    ]


def make_member_key(member: admin_pb2.MemberStatus) -> MemberKey:
    """Return the key that identifies one process."""
    return member.role, member.name, member.incarnation


def describe_lagging(member: admin_pb2.MemberStatus) -> str:
    """Return the generation of a lagging member, and why it lags if that is known."""
    reason = member.reason or f"last heartbeat {member.silent_ms} ms ago"
    return f"{member.name} (at {member.generation}, {reason})"


def describe_progress(
    status: admin_pb2.Status, generation: int, awaited: Collection[MemberKey]
) -> str:
    """Return how many members have applied a generation, and which have not."""
    if not knows_leader(status):
        return f"generation {generation}: no controller that answers reaches a leader"
    lagging = list_lagging(status, generation, awaited)
    live = [item for item in status.members if is_awaited(item, awaited)]
    count = f"{len(live) - len(lagging)} of {len(live)}"
    text = f"generation {generation} applied at {count} live members"
    if lagging:
        names = ", ".join(describe_lagging(member) for member in lagging)
        text += f"; waiting for {names}"
    silent = [item.name for item in status.members if not is_awaited(item, awaited)]
    return f"{text}; silent: {', '.join(silent)}" if silent else text


def is_awaited(member: admin_pb2.MemberStatus, awaited: Collection[MemberKey]) -> bool:
    """Return whether a member is live, or is in the set of awaited members."""
    return member.state != SILENT or make_member_key(member) in awaited


def is_applied(
    status: admin_pb2.Status, generation: int, awaited: Collection[MemberKey]
) -> bool:
    """Return whether the leader reports a generation applied at all live members."""
    reported = knows_leader(status) and status.generation >= generation
    return reported and not list_lagging(status, generation, awaited)


async def wait_until_applied(
    client: ControllerClient,
    generation: int,
    wait_s: float,
    report_progress: Callable[[str], None],
) -> Result[None, Failure]:
    """Wait until every live member has applied a generation.

    `report_progress` is called with a line of text each time it changes. Members that
    were silent from the start are named but not waited for: they receive the generation
    when they rejoin. A member that was live and misses its heartbeats later is waited
    for as long as it is listed, since it may still serve with its old generation.
    """
    awaited: set[MemberKey] = set()
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    progress = "no controller answered"
    while True:
        status = await client.get_status()
        if isinstance(status, Ok):
            live = (item for item in status.ok_value.members if item.state != SILENT)
            awaited.update(map(make_member_key, live))
            text = describe_progress(status.ok_value, generation, awaited)
            if text != progress:
                report_progress(text)
            progress = text
            if is_applied(status.ok_value, generation, awaited):
                return Ok(None)
        if loop.time() >= deadline:
            peers = ", ".join(client.controllers)
            message = f"not applied everywhere after {wait_s:g} s: {progress}"
            return Err(Failure("wait", peers, message, ExitCode.LAGGING))
        await asyncio.sleep(POLL_INTERVAL_S)
