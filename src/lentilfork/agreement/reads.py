"""Reads that show everything acknowledged before they began.

The leader confirms a read by a round of requests sent after the read arrived: a
majority that answers in the leader's term proves that no later term had begun by
then. Clocks and leases play no part, so a process that was suspended in between
cannot take an old answer for a new one.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork.agreement.core import Core
from lentilfork.agreement.core import Role
from lentilfork.agreement.leadership import Leadership
from lentilfork.agreement.transport import TransportError
from lentilfork.errors import Failure
from lentilfork.schema import agreement_pb2

__all__ = ["READ_TIMEOUT_S", "Reads"]

# Callers of the administration API move on after one second.
READ_TIMEOUT_S: Final = 0.8
POLL_INTERVAL_S: Final = 0.005
STEP: Final = "confirm read"


class Reads:
    """Confirms reads at one replica."""

    core: Core
    get_leadership: Callable[[], Leadership | None]

    def __init__(
        self, core: Core, get_leadership: Callable[[], Leadership | None]
    ) -> None:
        self.core = core
        self.get_leadership = get_leadership

    async def confirm(self, timeout_s: float = READ_TIMEOUT_S) -> Result[None, Failure]:
        """Return once the applied state holds all that was acknowledged before."""
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.ask_leader(timeout_s)
                if not reply.confirmed:
                    return Err(Failure(STEP, self.core.leader_address, "no majority"))
                while self.core.applied_index < reply.index:
                    await asyncio.sleep(POLL_INTERVAL_S)
                return Ok(None)
        except TransportError as error:
            return Err(Failure(STEP, self.core.leader_address, str(error)))
        except TimeoutError:
            return Err(Failure(STEP, self.core.leader_address, "timed out"))

    async def ask_leader(self, timeout_s: float) -> agreement_pb2.ReadReply:
        """Return the leader's answer; TransportError if it cannot be asked."""
        core = self.core
        if core.role is Role.LEADER:
            return await self.handle_confirm()
        if not core.leader_address:
            raise TransportError("no leader is known")
        return await core.transport.confirm_read(core.leader_address, timeout_s)

    async def handle_confirm(self) -> agreement_pb2.ReadReply:
        """Return an index that a majority confirmed from now on, if this one leads."""
        leadership = self.get_leadership()
        if leadership is None or not leadership.is_open:
            return agreement_pb2.ReadReply(confirmed=False)
        started_s = self.core.get_time_s()
        index = self.core.commit_index
        deadline_s = started_s + READ_TIMEOUT_S
        while leadership.is_current and self.core.get_time_s() < deadline_s:
            if leadership.was_confirmed_since(started_s):
                return agreement_pb2.ReadReply(confirmed=True, index=index)
            leadership.wake_peers()
            await asyncio.sleep(POLL_INTERVAL_S)
        return agreement_pb2.ReadReply(confirmed=False)
