"""Waiting until a generation is in force at every live member."""

import asyncio
from collections.abc import Callable
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


def list_lagging(
    status: admin_pb2.Status, generation: int
) -> list[admin_pb2.MemberStatus]:
    """Return the live members at which a generation is not in force yet."""
    return [
        member
        for member in status.members
        if member.state != SILENT and member.generation < generation
    ]


def describe_lagging(member: admin_pb2.MemberStatus) -> str:
    """Return which generation a member has, and why where that is known."""
    reason = member.reason or f"last heard {member.silent_ms} ms ago"
    return f"{member.name} (at {member.generation}, {reason})"


def describe_progress(status: admin_pb2.Status, generation: int) -> str:
    """Return in how many places a generation is in force and where not."""
    live = [member for member in status.members if member.state != SILENT]
    lagging = list_lagging(status, generation)
    count = f"{len(live) - len(lagging)} of {len(live)}"
    if not knows_leader(status):
        return f"generation {generation}: no controller that answers reaches a leader"
    text = f"generation {generation} in force at {count} live members"
    if lagging:
        names = ", ".join(describe_lagging(member) for member in lagging)
        text += f"; waiting for {names}"
    silent = [member.name for member in status.members if member.state == SILENT]
    return f"{text}; silent: {', '.join(silent)}" if silent else text


def is_in_force(status: admin_pb2.Status, generation: int) -> bool:
    """Return whether the leader knows a generation in force at all live members."""
    known = knows_leader(status) and status.generation >= generation
    return known and not list_lagging(status, generation)


async def wait_until_in_force(
    client: ControllerClient,
    generation: int,
    wait_s: float,
    show: Callable[[str], None],
) -> Result[None, Failure]:
    """Wait until a generation is in force at every live member.

    `show` gets a line of progress each time it changes. Silent members are named
    but not waited for; they get the generation when they come back.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    shown = "no controller answered"
    while True:
        status = await client.get_status()
        if isinstance(status, Ok):
            text = describe_progress(status.ok_value, generation)
            if text != shown:
                show(text)
            shown = text
            if is_in_force(status.ok_value, generation):
                return Ok(None)
        if loop.time() >= deadline:
            peers = ", ".join(client.controllers)
            message = f"not everywhere after {wait_s:g} s: {shown}"
            return Err(Failure("wait", peers, message, ExitCode.LAGGING))
        await asyncio.sleep(POLL_INTERVAL_S)
