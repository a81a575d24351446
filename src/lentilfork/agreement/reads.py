"""Linearizable reads: they see every change acknowledged before they started.

The leader confirms a read by a round of requests that it sends after the read
arrived. Replies from a majority in the leader's term prove that no later term had
begun by then. This relies on neither clocks nor leases, so a process that was
suspended in the meantime cannot mistake an old confirmation for a current one.
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

# Shorter than the 1 s after which callers of the administration API try another
# controller.
READ_TIMEOUT_S: Final = 0.8
POLL_INTERVAL_S: Final = 0.005
STEP: Final = "confirm read"


class Reads:
    """Confirms reads for one replica."""

    core: Core
    get_leadership: Callable[[], Leadership | None]

    def __init__(
        self, core: Core, get_leadership: Callable[[], Leadership | None]
    ) -> None:
        self.core = core
        self.get_leadership = get_leadership

    async def confirm(self, timeout_s: float = READ_TIMEOUT_S) -> Result[None, Failure]:
        """Wait until the applied state contains all changes acknowledged before."""
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.request_read_index(timeout_s)
                if not reply.confirmed:
                    return Err(
                        Failure(
                            STEP,
                            self.core.leader_address,
                            "the leader did not confirm the read",
                        )
                    )
                while self.core.applied_index < reply.index:
                    await asyncio.sleep(POLL_INTERVAL_S)
                return Ok(None)
        except TransportError as error:
            return Err(Failure(STEP, self.core.leader_address, str(error)))
        except TimeoutError:
            return Err(Failure(STEP, self.core.leader_address, "timed out"))

    async def request_read_index(self, timeout_s: float) -> agreement_pb2.ReadReply:
        """Request a read index from the leader; raises TransportError on failure."""
        core = self.core
        if core.role is Role.LEADER:
            return await self.handle_confirm()
        if not core.leader_address:
            raise TransportError("no leader is known")
        return await core.transport.confirm_read(core.leader_address, timeout_s)

    async def handle_confirm(self) -> agreement_pb2.ReadReply:
        """Return the commit index after a majority confirmed the leadership.

        The reply is not confirmed if this replica does not lead or if no majority
        acknowledged requests sent after this call within `READ_TIMEOUT_S`.
        """
        leadership = self.get_leadership()
        if leadership is None or not leadership.is_established:
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
