"""Elections: timeouts, pre-votes and votes.

A replica that hears from no leader for a random time first asks whether it could
win (pre-vote), without raising terms, so that one that was cut off disturbs
nobody on its return. Grants count only from voters that answer with the data
folder they were admitted with.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from lentilfork.agreement.core import ELECTION_TIMEOUT_MAX_S
from lentilfork.agreement.core import ELECTION_TIMEOUT_MIN_S
from lentilfork.agreement.core import Core
from lentilfork.agreement.core import Role
from lentilfork.agreement.core import log
from lentilfork.agreement.storage import StorageError
from lentilfork.agreement.transport import TransportError
from lentilfork.agreement.voters import has_majority
from lentilfork.agreement.voters import list_voters
from lentilfork.schema import agreement_pb2
from lentilfork.state.model import Controller

__all__ = ["Election"]

VOTE_TIMEOUT_S: Final = 0.5


class Election:
    """How one replica votes and becomes leader."""

    core: Core
    # Called, with the lock held, after an election was won.
    on_won: Callable[[], None]
    # Ends the wait for the election timeout: the leader asked for a campaign.
    hurry: asyncio.Event

    def __init__(self, core: Core, on_won: Callable[[], None]) -> None:
        self.core = core
        self.on_won = on_won
        self.hurry = asyncio.Event()

    async def run(self) -> None:
        """Campaign whenever no leader was heard for an election timeout."""
        core = self.core
        while True:
            await self.wait_silence()
            hurried = self.hurry.is_set()
            self.hurry.clear()
            if core.role is Role.LEADER:
                continue
            core.forget_leader()
            if not core.is_voter:
                continue
            if core.storage.failure is not None:
                continue
            await self.campaign(skip_pre_vote=hurried)

    async def wait_silence(self) -> None:
        """Return when no leader was heard for a random time, or when asked to."""
        core = self.core
        timeout_s = core.random.uniform(ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)
        started_s = core.get_time_s()
        while not self.hurry.is_set():
            heard_s = max(core.leader_heard_s, started_s)
            remaining_s = heard_s + timeout_s - core.get_time_s()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(remaining_s):
                    await self.hurry.wait()
            except TimeoutError:
                continue

    async def campaign(self, skip_pre_vote: bool = False) -> None:
        """Ask for votes; a majority makes this replica the leader."""
        core = self.core
        term = core.term + 1
        if not skip_pre_vote and not await self.collect(term, pre_vote=True):
            return
        async with core.lock:
            if core.term + 1 != term or not core.is_voter:
                return
            try:
                await core.adopt_term(term, core.name)
            except StorageError as error:
                log.error("vote not synced", failure=error)
                return
            core.change_role(Role.CANDIDATE)
        core.counters.add("agreement_campaigns")
        if not await self.collect(term, pre_vote=False):
            return
        async with core.lock:
            if core.term == term and core.role is Role.CANDIDATE:
                self.on_won()

    async def collect(self, term: int, pre_vote: bool) -> bool:
        """Ask all voters at once; returns as soon as a majority granted."""
        core = self.core
        request = agreement_pb2.VoteRequest(
            term=term,
            candidate=core.name,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            pre_vote=pre_vote,
            disk_id=core.storage.disk_id,
        )
        configuration = core.configuration
        granted = {core.name}
        others = [item for item in list_voters(configuration) if item.name != core.name]
        waiting = {asyncio.create_task(self.ask(voter, request)) for voter in others}
        try:
            while waiting and not has_majority(configuration, granted):
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                granted |= {call.result() for call in done}
        finally:
            for call in waiting:
                call.cancel()
        return has_majority(configuration, granted)

    async def ask(self, voter: Controller, request: agreement_pb2.VoteRequest) -> str:
        """Ask one voter; returns its name if it granted, else ""."""
        core = self.core
        try:
            reply = await core.transport.request_vote(
                voter.control_address, request, VOTE_TIMEOUT_S
            )
        except TransportError:
            core.counters.add("agreement_call_errors", "vote")
            return ""
        if reply.term > core.term:
            await self.observe_term(reply.term)
        if reply.granted and reply.disk_id != voter.disk_id:
            core.counters.add("agreement_unknown_disks", "vote")
            return ""
        return voter.name if reply.granted else ""

    async def observe_term(self, term: int) -> None:
        """Enter a later term that a peer is in."""
        core = self.core
        async with core.lock:
            if term <= core.term:
                return
            try:
                await core.adopt_term(term)
            except StorageError as error:
                log.error("term not synced", failure=error)

    async def handle_vote(
        self, request: agreement_pb2.VoteRequest
    ) -> agreement_pb2.VoteReply:
        """Answer a candidate; StorageError if a vote could not be synced."""
        core = self.core
        core.storage.check_writable()
        async with core.lock:
            if request.pre_vote:
                granted = self.would_vote(request)
            else:
                granted = await self.vote(request)
            return agreement_pb2.VoteReply(
                term=core.term, granted=granted, disk_id=core.storage.disk_id
            )

    def is_up_to_date(self, request: agreement_pb2.VoteRequest) -> bool:
        """Tell whether a candidate's log holds all that this one may have confirmed."""
        core = self.core
        held = (core.log.last_term, core.log.last_index)
        return (request.last_term, request.last_index) >= held

    def would_vote(self, request: agreement_pb2.VoteRequest) -> bool:
        """Tell whether this replica misses its leader and would vote."""
        core = self.core
        silent_s = core.get_time_s() - core.leader_heard_s
        leader_missed = (
            core.role is not Role.LEADER and silent_s >= ELECTION_TIMEOUT_MIN_S
        )
        return (
            request.term > core.term and leader_missed and self.is_up_to_date(request)
        )

    async def vote(self, request: agreement_pb2.VoteRequest) -> bool:
        """Vote if no other candidate has this replica's vote in the term."""
        core = self.core
        if request.term < core.term:
            return False
        already = core.voted_for if request.term == core.term else ""
        granted = already in {"", request.candidate} and self.is_up_to_date(request)
        if request.term == core.term and not granted:
            return False
        if (request.term, already) != (core.term, request.candidate):
            await core.adopt_term(request.term, request.candidate if granted else "")
        if granted:
            core.leader_heard_s = core.get_time_s()
        return granted
