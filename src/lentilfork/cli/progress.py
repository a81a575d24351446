"""Waiting until a generation is in force at every live member."""

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

__all__ = ["describe_lagging", "list_lagging", "wait_until_in_force"]

POLL_INTERVAL_S: Final = 0.2
SILENT: Final = "silent"

# Role, name and incarnation of a process.
MemberKey = tuple[str, str, int]


def list_lagging(
    status: admin_pb2.Status,
    generation: int,
    awaited: Collection[MemberKey] = frozenset(),
) -> list[admin_pb2.MemberStatus]:
    """Return the members at which a generation is not in force yet.

    Silent members count only where they are among those awaited.
    """
    return [
        member
        for member in status.members
        if member.generation < generation and is_awaited(member, awaited)
    ]


def get_key(member: admin_pb2.MemberStatus) -> MemberKey:
    """Return what tells one process from all others."""
    return member.role, member.name, member.incarnation


def describe_lagging(member: admin_pb2.MemberStatus) -> str:
    """Return which generation a member has, and why where that is known."""
    reason = member.reason or f"last heard {member.silent_ms} ms ago"
    return f"{member.name} (at {member.generation}, {reason})"


def describe_progress(
    status: admin_pb2.Status, generation: int, awaited: Collection[MemberKey]
) -> str:
    """Return in how many places a generation is in force and where not."""
    if not knows_leader(status):
        return f"generation {generation}: no controller that answers reaches a leader"
    lagging = list_lagging(status, generation, awaited)
    known = [item for item in status.members if is_awaited(item, awaited)]
    count = f"{len(known) - len(lagging)} of {len(known)}"
    text = f"generation {generation} in force at {count} live members"
    if lagging:
        names = ", ".join(describe_lagging(member) for member in lagging)
        text += f"; waiting for {names}"
    others = [item.name for item in status.members if not is_awaited(item, awaited)]
    return f"{text}; silent: {', '.join(others)}" if others else text


def is_awaited(member: admin_pb2.MemberStatus, awaited: Collection[MemberKey]) -> bool:
    """Return whether a member is live, or was when it was first seen."""
    return member.state != SILENT or get_key(member) in awaited


def is_in_force(
    status: admin_pb2.Status, generation: int, awaited: Collection[MemberKey]
) -> bool:
    """Return whether the leader knows a generation in force at all live members."""
    known = knows_leader(status) and status.generation >= generation
    return known and not list_lagging(status, generation, awaited)


async def wait_until_in_force(
    client: ControllerClient,
    generation: int,
    wait_s: float,
    show: Callable[[str], None],
) -> Result[None, Failure]:
    """Wait until a generation is in force at every live member.

    `show` gets a line of progress each time it changes. Members that are silent from
    the start are named but not waited for; they get the generation when they come
    back. One that falls silent meanwhile is waited for as long as it is listed, since
    it may go on with what it has.
    """
    awaited: set[MemberKey] = set()
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    shown = "no controller answered"
    while True:
        status = await client.get_status()
        if isinstance(status, Ok):
            live = (item for item in status.ok_value.members if item.state != SILENT)
            awaited.update(map(get_key, live))
            text = describe_progress(status.ok_value, generation, awaited)
            if text != shown:
                show(text)
            shown = text
            if is_in_force(status.ok_value, generation, awaited):
                return Ok(None)
        if loop.time() >= deadline:
            peers = ", ".join(client.controllers)
            message = f"not everywhere after {wait_s:g} s: {shown}"
            return Err(Failure("wait", peers, message, ExitCode.LAGGING))
        await asyncio.sleep(POLL_INTERVAL_S)
