"""Bootstrapping a new cluster and joining a running one.

Bootstrap: of the controllers in the settings that have a disk, the one with the
lowest name writes the first entry, which lists their data folders, after all
controllers in the settings answered that their logs are empty. Any majority that
acknowledged an entry contains a replica whose log is not empty, so a replica with an
emptied folder cannot start a second history. The term of the first entry is random,
so that two attempts from different folders never write different entries with the
same index and term.

Joining: a replica without a vote asks the leader for admission. It has no vote if
it is new or if its folder is not the one with which it was admitted. The leader
admits it as a learner, and promotes it once it has synced all committed entries, if
a vote is vacant. A voter that has not responded for `replace_silent_ms` is demoted
to make room. If no vote is vacant, the replica stays a spare. A replica without a
disk remains a learner: a majority must not depend on what a restart forgets.

Leaving: a voter that is about to stop asks the leader to take its vote, and keeps
voting until then, because the others may need it to elect a leader.
"""

import asyncio
import secrets
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from lentilfork.agreement.core import Core
from lentilfork.agreement.core import Role
from lentilfork.agreement.core import log
from lentilfork.agreement.leadership import Leadership
from lentilfork.agreement.proposals import Proposals
from lentilfork.agreement.removals import choose_removal
from lentilfork.agreement.removals import may_release_vote
from lentilfork.agreement.storage import StorageError
from lentilfork.agreement.voters import Configuration
from lentilfork.agreement.voters import encode_configuration
from lentilfork.agreement.voters import list_voters
from lentilfork.schema import agreement_pb2
from lentilfork.schema import state_pb2
from lentilfork.state.codec import decode_controller
from lentilfork.state.codec import encode_controller
from lentilfork.state.model import Controller
from lentilfork.state.validation import MAXIMUM_CONTROLLERS

__all__ = ["Joining"]

JOIN_INTERVAL_S: Final = 0.3
CALL_TIMEOUT_S: Final = 1.0
ADMIT_TIMEOUT_S: Final = 2.0
REMOVAL_INTERVAL_S: Final = 0.5
# A leader that is not heard from for longer than an election takes may have removed
# this replica.
LEADER_MISSING_S: Final = 2.0
# States of a replica that may stop.
VOTE_RELEASED: Final = "released"
VOTE_NEEDED: Final = "needed"
MAXIMUM_FIRST_TERM: Final = 1 << 20
MS_PER_S: Final = 1_000


class Joining:
    """Obtains a vote for this replica and admits others while it leads."""

    core: Core
    proposals: Proposals
    get_leadership: Callable[[], Leadership | None]
    # Held while one configuration change is decided and proposed.
    admission_lock: asyncio.Lock

    def __init__(
        self,
        core: Core,
        proposals: Proposals,
        get_leadership: Callable[[], Leadership | None],
    ) -> None:
        self.core = core
        self.proposals = proposals
        self.get_leadership = get_leadership
        self.admission_lock = asyncio.Lock()

    async def run(self) -> None:
        """Bootstrap the cluster or ask to join it while this replica has no vote."""
        core = self.core
        while True:
            if core.is_fresh and await self.may_bootstrap():
                await self.bootstrap()
            elif self.needs_admission():
                await self.request_admission()
            await asyncio.sleep(JOIN_INTERVAL_S)

    def needs_admission(self) -> bool:
        """Return whether this replica has no vote or may have been removed."""
        core = self.core
        if core.leaving:
            return False
        if core.has_disk and not core.is_voter:
            return True
        silent_s = core.get_time_s() - core.leader_contact_s
        missing = core.role is not Role.LEADER and silent_s >= LEADER_MISSING_S
        return missing or not core.is_admitted

    async def may_bootstrap(self) -> bool:
        """Return whether this replica may write the first entry of a new cluster."""
        core = self.core
        names = {peer.name for peer in core.settings.controllers}
        if not core.settings.may_begin or not core.has_disk or core.name not in names:
            return False
        replies = await self.identify_peers()
        if replies.keys() != names - {core.name}:
            return False
        # A controller without a disk has forgotten whether there was an entry.
        stored = [reply for reply in replies.values() if reply.disk_id != 0]
        return all(reply.fresh and core.name < reply.name for reply in stored)

    async def identify_peers(self) -> dict[str, agreement_pb2.IdentifyReply]:
        """Return the identities of the other controllers that answered, by name."""
        core = self.core
        peers = [peer for peer in core.settings.controllers if peer.name != core.name]
        calls = (
            core.transport.identify(peer.address, CALL_TIMEOUT_S) for peer in peers
        )
        answers = await asyncio.gather(*calls, return_exceptions=True)
        return {
            peer.name: answer
            for peer, answer in zip(peers, answers, strict=True)
            if isinstance(answer, agreement_pb2.IdentifyReply)
            and answer.name == peer.name
        }

    async def bootstrap(self) -> None:
        """Write the first entry: all controllers of the settings with a disk vote."""
        core = self.core
        replies = await self.identify_peers()
        disk_ids = {name: reply.disk_id for name, reply in replies.items()}
        disk_ids[core.name] = core.storage.disk_id
        peers = core.settings.controllers
        if len(disk_ids) != len(peers):
            return
        voters = [
            Controller(peer.name, peer.address, True, disk_ids[peer.name])
            for peer in peers
            if disk_ids[peer.name] != 0
        ]
        controllers = encode_configuration(voters)
        change = state_pb2.Change(
            change_id=f"first-{core.storage.disk_id:016x}",
            put_controllers=controllers,
        )
        async with core.lock:
            if not core.is_fresh:
                return
            term = core.term + 1 + secrets.randbelow(MAXIMUM_FIRST_TERM)
            try:
                await core.adopt_term(term)
            except StorageError as error:
                log.error("failed to sync the term of the first entry", failure=error)
                return
            entry = agreement_pb2.LogEntry(index=1, term=term, change=change)
            core.append([entry])
        log.info("bootstrapped a new cluster", voters=len(voters))

    async def request_admission(self) -> None:
        """Ask the leader for admission."""
        await self.request_change(leaving=False)

    async def request_release(self) -> bool:
        """Ask the leader to take this replica's vote; return whether it may stop."""
        states = await self.request_change(leaving=True)
        return bool(states & {VOTE_RELEASED, VOTE_NEEDED})

    def has_surplus_vote(self) -> bool:
        """Return whether this replica votes and the other voters suffice."""
        core = self.core
        tolerated = core.settings.tolerated_losses
        return core.is_voter and may_release_vote(core.configuration, tolerated)

    async def request_change(self, *, leaving: bool) -> set[str]:
        """Send a join request to the known controllers and to the leader they name.

        Returns the states that they answered with.
        """
        core = self.core
        member = Controller(
            core.name,
            core.settings.control_address,
            core.has_disk,
            core.storage.disk_id,
        )
        request = agreement_pb2.JoinRequest(
            controller=encode_controller(member), leaving=leaving
        )
        known = {
            core.leader_address,
            *(peer.address for peer in core.settings.controllers),
            *(item.control_address for item in core.configuration.values()),
        }
        replies = await self.send_join_requests(known, request)
        # The known controllers may include only replicas that follow the leader.
        leaders = {reply.leader_address for reply in replies if not reply.state}
        replies += await self.send_join_requests(leaders - known, request)
        return {reply.state for reply in replies}

    async def send_join_requests(
        self, addresses: Iterable[str], request: agreement_pb2.JoinRequest
    ) -> list[agreement_pb2.JoinReply]:
        """Send a join request to controllers; return their replies."""
        core = self.core
        others = set(addresses) - {"", core.settings.control_address}
        calls = (
            core.transport.join(address, request, CALL_TIMEOUT_S)
            for address in sorted(others)
        )
        answers = await asyncio.gather(*calls, return_exceptions=True)
        replies = [
            answer for answer in answers if isinstance(answer, agreement_pb2.JoinReply)
        ]
        core.counters.add("agreement_call_errors", "join", len(answers) - len(replies))
        return replies

    async def handle_join(
        self, request: agreement_pb2.JoinRequest
    ) -> agreement_pb2.JoinReply:
        """Admit, promote or release a replica if this one is the leader."""
        leadership = self.get_leadership()
        if leadership is None or not leadership.is_established:
            return agreement_pb2.JoinReply(leader_address=self.core.leader_address)
        sender = decode_controller(request.controller)
        async with self.admission_lock:
            if request.leaving:
                state = await self.release_vote(sender)
            else:
                state = await self.admit(leadership, sender)
        return agreement_pb2.JoinReply(
            leader_address=self.core.leader_address, state=state
        )

    async def admit(self, leadership: Leadership, joiner: Controller) -> str:
        """Take the next step to give a joining replica a vote; return its state."""
        configuration = self.core.configuration
        known = configuration.get(joiner.name)
        if joiner.name == self.core.name or is_name_in_use(leadership, known, joiner):
            return "the name is in use"
        if known is None and len(configuration) >= MAXIMUM_CONTROLLERS:
            return "there are too many controllers"
        if known is None or known.disk_id != joiner.disk_id:
            learner = replace(joiner, voter=False)
            return await self.propose_configuration(
                configuration | {joiner.name: learner}, "learner"
            )
        if known.control_address != joiner.control_address:
            moved = replace(known, control_address=joiner.control_address)
            return await self.propose_configuration(
                configuration | {joiner.name: moved}, "moved"
            )
        if known.voter:
            return "voter"
        if not joiner.voter or joiner.name not in leadership.list_caught_up():
            return "learner"
        return await self.promote(leadership, configuration, known)

    async def release_vote(self, leaver: Controller) -> str:
        """Take the vote of a replica that is about to stop; return its state.

        It remains a learner, so that it gets its vote again after a restart.
        """
        configuration = self.core.configuration
        known = configuration.get(leaver.name)
        if self.core.configurations.current_index > self.core.commit_index:
            return "waiting"
        if known is None or not known.voter or known.disk_id != leaver.disk_id:
            return VOTE_RELEASED
        if not may_release_vote(configuration, self.core.settings.tolerated_losses):
            return VOTE_NEEDED
        released = replace(known, voter=False)
        return await self.propose_configuration(
            configuration | {known.name: released}, VOTE_RELEASED
        )

    async def promote(
        self, leadership: Leadership, configuration: Configuration, learner: Controller
    ) -> str:
        """Promote a learner that caught up if a vote is vacant; return its state."""
        unresponsive = find_unresponsive_voter(leadership)
        voters = len(list_voters(configuration))
        promoted = configuration | {learner.name: replace(learner, voter=True)}
        if self.core.settings.tolerated_losses is not None:
            return await self.propose_configuration(promoted, "voter")
        if unresponsive is not None:
            demoted = replace(unresponsive, voter=False)
            return await self.propose_configuration(
                configuration | {unresponsive.name: demoted}, "learner"
            )
        if voters >= self.get_target_voter_count(configuration):
            return "spare"
        return await self.propose_configuration(promoted, "voter")

    async def run_removals(self, tolerated_losses: int) -> None:
        """Remove controllers that are gone while this replica leads."""
        while True:
            await asyncio.sleep(REMOVAL_INTERVAL_S)
            leadership = self.get_leadership()
            if leadership is None or not leadership.is_established:
                continue
            async with self.admission_lock:
                smaller = choose_removal(
                    self.core.configuration,
                    leadership.measure_silence(),
                    tolerated_losses,
                    self.core.settings.replace_silent_ms / MS_PER_S,
                )
                if smaller is not None:
                    await self.propose_configuration(smaller, "removed")

    def get_target_voter_count(self, configuration: Configuration) -> int:
        """Return how many voters there should be.

        Without a setting, this is the present number, rounded up to an odd one.
        """
        voters = len(list_voters(configuration))
        if self.core.settings.voters is not None:
            return self.core.settings.voters
        # An even number means that one voter was demoted and not yet replaced.
        return voters + 1 if voters % 2 == 0 else voters

    async def propose_configuration(
        self, configuration: Configuration, state: str
    ) -> str:
        """Propose a configuration; return `state` if accepted, else the problem."""
        change = state_pb2.Change(
            change_id=f"join-{self.core.rng.getrandbits(64):016x}",
            put_controllers=encode_configuration(configuration.values()),
        )
        reply = await self.proposals.submit(change, ADMIT_TIMEOUT_S)
        if reply.result.outcome == state_pb2.ACCEPTED:
            log.info(
                "controller configuration changed",
                state=state,
                voters=",".join(item.name for item in list_voters(configuration)),
                others=",".join(
                    sorted(
                        name for name in configuration if not configuration[name].voter
                    )
                ),
            )
            return state
        return reply.result.message or reply.unknown or reply.refused or "waiting"


def is_name_in_use(
    leadership: Leadership, known: Controller | None, joiner: Controller
) -> bool:
    """Return whether a replica of the same name runs with its admitted folder.

    A joiner with another data folder must not replace a replica that responds.
    """
    if known is None or known.disk_id == joiner.disk_id:
        return False
    peer = leadership.peers.get(known.name)
    return (
        peer is not None
        and peer.disk_id == known.disk_id
        and leadership.has_admitted_disk(peer)
        and leadership.is_responsive(peer)
    )


def find_unresponsive_voter(leadership: Leadership) -> Controller | None:
    """Return a voter that acknowledged nothing for `replace_silent_ms`, if any."""
    silent_s = leadership.measure_silence()
    limit_s = leadership.core.settings.replace_silent_ms / MS_PER_S
    voters = list_voters(leadership.core.configuration)
    return next(
        (voter for voter in voters if silent_s.get(voter.name, 0.0) >= limit_s), None
    )
