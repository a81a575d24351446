"""Elections: timeouts, pre-votes and votes.

A replica that receives nothing from a leader for a random time first asks the
voters whether they would vote for it (pre-vote), without increasing the term. A
replica that was disconnected therefore does not depose a working leader when it
returns. A granted vote counts only if the voter answers with the data folder with
which it was admitted.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from enum import unique
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


@unique
class Ballot(Enum):
    """Outcome of one vote request."""

    GRANTED = "granted"
    REFUSED = "refused"
    # No reply in time.
    SILENT = "silent"
    # Granted with another data folder than the one that has the vote.
    OTHER_FOLDER = "other_folder"


class Election:
    """Votes for candidates and campaigns to become the leader."""

    core: Core
    # Voters by the ballot of the last failed attempt; empty after a successful one. An
    # attempt that fails in the same way is not logged again.
    reported: dict[Ballot, list[str]]
    # Called with the core's lock held after this replica won an election.
    on_elected: Callable[[], None]
    # Set when the leader asks this replica to campaign without waiting for the
    # election timeout.
    campaign_requested: asyncio.Event

    def __init__(self, core: Core, on_elected: Callable[[], None]) -> None:
        self.core = core
        self.on_elected = on_elected
        self.reported = {}
        self.campaign_requested = asyncio.Event()

    async def run(self) -> None:
        """Campaign after each election timeout without a message from a leader."""
        core = self.core
        while True:
            await self.wait_election_timeout()
            requested = self.campaign_requested.is_set()
            self.campaign_requested.clear()
            if core.role is Role.LEADER:
                continue
            core.clear_leader()
            if not core.is_voter:
                continue
            if core.storage.failure is not None:
                continue
            await self.campaign(skip_pre_vote=requested)

    async def wait_election_timeout(self) -> None:
        """Wait for a random timeout without a leader, or for a request to campaign."""
        core = self.core
        timeout_s = core.rng.uniform(ELECTION_TIMEOUT_MIN_S, ELECTION_TIMEOUT_MAX_S)
        started_s = core.get_time_s()
        while not self.campaign_requested.is_set():
            contact_s = max(core.leader_contact_s, started_s)
            remaining_s = contact_s + timeout_s - core.get_time_s()
            if remaining_s <= 0:
                return
            try:
                async with asyncio.timeout(remaining_s):
                    await self.campaign_requested.wait()
            except TimeoutError:
                continue

    async def campaign(self, skip_pre_vote: bool = False) -> None:
        """Request votes from all voters and become the leader if a majority grants."""
        core = self.core
        term = core.term + 1
        if not skip_pre_vote and not await self.collect_votes(term, pre_vote=True):
            return
        async with core.lock:
            if core.term + 1 != term or not core.is_voter:
                return
            try:
                await core.adopt_term(term, core.name)
            except StorageError as error:
                log.error("failed to sync own vote to disk", failure=error)
                return
            core.change_role(Role.CANDIDATE)
        core.counters.add("agreement_campaigns")
        if not await self.collect_votes(term, pre_vote=False):
            return
        async with core.lock:
            if core.term == term and core.role is Role.CANDIDATE:
                self.on_elected()

    async def collect_votes(self, term: int, pre_vote: bool) -> bool:
        """Request votes in parallel; return whether a majority granted.

        Requests still in flight when the majority is reached are cancelled.
        """
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
        ballots = {core.name: Ballot.GRANTED}
        others = [item for item in list_voters(configuration) if item.name != core.name]
        pending_calls = {
            asyncio.create_task(self.request_vote(voter, request)) for voter in others
        }
        try:
            while pending_calls and not has_majority(
                configuration, list_granted(ballots)
            ):
                done, pending_calls = await asyncio.wait(
                    pending_calls, return_when=asyncio.FIRST_COMPLETED
                )
                ballots |= (call.result() for call in done)
        finally:
            for call in pending_calls:
                call.cancel()
        elected = has_majority(configuration, list_granted(ballots))
        self.report(request, ballots, elected=elected)
        return elected

    def report(
        self,
        request: agreement_pb2.VoteRequest,
        ballots: dict[str, Ballot],
        *,
        elected: bool,
    ) -> None:
        """Log why an attempt found no majority, unless the last one was the same."""
        if elected:
            self.reported = {}
            return
        by_ballot = {
            ballot: sorted(name for name in ballots if ballots[name] is ballot)
            for ballot in Ballot
        }
        if by_ballot == self.reported:
            return
        self.reported = by_ballot
        log.warning(
            "no majority of votes",
            term=request.term,
            pre_vote=request.pre_vote,
            voters=len(list_voters(self.core.configuration)),
            last_index=request.last_index,
            last_term=request.last_term,
            **{ballot.value: ",".join(names) for ballot, names in by_ballot.items()},
        )

    async def request_vote(
        self, voter: Controller, request: agreement_pb2.VoteRequest
    ) -> tuple[str, Ballot]:
        """Request the vote of one voter; return its name and ballot."""
        core = self.core
        try:
            reply = await core.transport.request_vote(
                voter.control_address, request, VOTE_TIMEOUT_S
            )
        except TransportError:
            core.counters.add("agreement_call_errors", "vote")
            return voter.name, Ballot.SILENT
        if reply.term > core.term:
            await self.observe_term(reply.term)
        if reply.granted and reply.disk_id != voter.disk_id:
            core.counters.add("agreement_unknown_disks", "vote")
            return voter.name, Ballot.OTHER_FOLDER
        return voter.name, Ballot.GRANTED if reply.granted else Ballot.REFUSED

    async def observe_term(self, term: int) -> None:
        """Adopt the term of a peer if it is later than the current one."""
        core = self.core
        async with core.lock:
            if term <= core.term:
                return
            try:
                await core.adopt_term(term)
            except StorageError as error:
                log.error("failed to sync term to disk", failure=error)

    async def handle_vote(
        self, request: agreement_pb2.VoteRequest
    ) -> agreement_pb2.VoteReply:
        """Answer a vote request; raises StorageError if the vote cannot be synced."""
        core = self.core
        async with core.lock:
            # Checked with the lock held: a copy of a request must not find the vote
            # that the first one could not sync.
            core.storage.check_writable()
            if request.pre_vote:
                granted = self.would_grant(request)
            else:
                granted = await self.cast_vote(request)
            return agreement_pb2.VoteReply(
                term=core.term, granted=granted, disk_id=core.storage.disk_id
            )

    def is_up_to_date(self, request: agreement_pb2.VoteRequest) -> bool:
        """Return whether a candidate's log is at least as recent as the local log.

        Such a log contains every entry that this replica may have confirmed.
        """
        core = self.core
        local_position = (core.log.last_term, core.log.last_index)
        return (request.last_term, request.last_index) >= local_position

    def would_grant(self, request: agreement_pb2.VoteRequest) -> bool:
        """Return whether this replica lost its leader and would grant a real vote."""
        core = self.core
        since_contact_s = core.get_time_s() - core.leader_contact_s
        leader_missed = (
            core.role is not Role.LEADER and since_contact_s >= ELECTION_TIMEOUT_MIN_S
        )
        return (
            request.term > core.term and leader_missed and self.is_up_to_date(request)
        )

    async def cast_vote(self, request: agreement_pb2.VoteRequest) -> bool:
        """Grant a vote unless it was given to another candidate in the same term.

        Syncs the term and the vote before returning.
        """
        core = self.core
        if request.term < core.term:
            return False
        previous_vote = core.voted_for if request.term == core.term else ""
        granted = previous_vote in {"", request.candidate} and self.is_up_to_date(
            request
        )
        if request.term == core.term and not granted:
            return False
        if (request.term, previous_vote) != (core.term, request.candidate):
            await core.adopt_term(request.term, request.candidate if granted else "")
        if granted:
            core.leader_contact_s = core.get_time_s()
        return granted


def list_granted(ballots: dict[str, Ballot]) -> list[str]:
    """Return the names of the voters that granted their vote."""
    return [name for name, ballot in ballots.items() if ballot is Ballot.GRANTED]
