"""Status for operators: each process's generation, and why it lags or is silent."""

from collections.abc import Iterator
from typing import Final

from lentilfork.membership.leases import Lease
from lentilfork.membership.leases import LeaseTable
from lentilfork.membership.leases import MemberKey
from lentilfork.membership.leases import get_member_key
from lentilfork.membership.leases import list_members
from lentilfork.membership.relay import RelayReceiver
from lentilfork.schema import admin_pb2
from lentilfork.state.model import Agent
from lentilfork.state.model import Balancer
from lentilfork.state.model import ClusterState
from lentilfork.state.model import Controller

__all__ = ["describe_controllers", "describe_members"]

# A controller is shown as silent if no batch arrived from it for this long.
CONTROLLER_SILENT_MS: Final = 2_000


def describe_members(
    state: ClusterState, leases: LeaseTable, receiver: RelayReceiver, now_ms: int
) -> Iterator[admin_pb2.MemberStatus]:
    """Yield the status of each agent and balancer as the leader knows it."""
    joined = receiver.find_controllers()
    admitted_members = {
        get_member_key(member): member for member in list_members(state)
    }
    leased_members = {key: lease.member for key, lease in leases.leases.items()}
    for key, member in sorted((leased_members | admitted_members).items()):
        lease = leases.leases.get(key)
        status = describe_member(key, member)
        if lease is not None:
            status.generation = lease.generation
            status.silent_ms = now_ms - lease.last_heartbeat_ms
        status.state = classify_state(member, lease, leases, now_ms)
        admitted = key in admitted_members
        status.reason = explain_status(
            state, key, lease, leases, joined.get(key, ""), admitted, now_ms
        )
        yield status


def describe_member(key: MemberKey, member: Agent | Balancer) -> admin_pb2.MemberStatus:
    """Return a status with the fields of a member's announcement."""
    return admin_pb2.MemberStatus(
        name=member.name,
        role=key.role,
        data_centre=member.data_centre,
        service=member.service if isinstance(member, Agent) else "",
        control_address=member.control_address,
        incarnation=member.incarnation,
    )


def classify_state(
    member: Agent | Balancer, lease: Lease | None, leases: LeaseTable, now_ms: int
) -> str:
    """Return "live", "draining" or "silent"."""
    if lease is None or leases.is_expired(lease, now_ms):
        return "silent"
    draining = isinstance(member, Agent) and member.draining
    return "draining" if draining else "live"


def explain_status(
    state: ClusterState,
    key: MemberKey,
    lease: Lease | None,
    leases: LeaseTable,
    controller: str,
    admitted: bool,
    now_ms: int,
) -> str:
    """Return why a member lags, is silent or is not admitted, "" if none applies."""
    if lease is None or not lease.announced:
        return "not heard since this leader took over"
    if key in leases.held_back:
        return "silent; kept in, as many fell silent at once"
    if leases.is_expired(lease, now_ms):
        return "silent" if admitted else "silent; taken out"
    if not admitted:
        return "announced, not admitted yet"
    if lease.generation < state.generation:
        behind = state.generation - lease.generation
        return f"{behind} behind; joined to controller {controller or 'none'}"
    return ""


def describe_controllers(
    state: ClusterState, leader: str, receiver: RelayReceiver, now_ms: int
) -> Iterator[admin_pb2.MemberStatus]:
    """Yield the status of each controller as the leader knows it."""
    for controller in sorted(state.controllers.values(), key=lambda item: item.name):
        yield describe_controller(controller, state, leader, receiver, now_ms)


def describe_controller(
    controller: Controller,
    state: ClusterState,
    leader: str,
    receiver: RelayReceiver,
    now_ms: int,
) -> admin_pb2.MemberStatus:
    """Return the status of one controller."""
    status = admin_pb2.MemberStatus(
        name=controller.name,
        role="controller",
        control_address=controller.control_address,
        state="follower" if controller.voter else "learner",
    )
    numbering = receiver.numberings.get(controller.name)
    if controller.name == leader:
        status.state = "leader"
        status.generation = state.generation
    elif numbering is None:
        status.state = "silent"
        status.reason = "not heard since this leader took over"
    else:
        status.generation = numbering.generation
        status.silent_ms = now_ms - numbering.last_batch_ms
        if status.silent_ms > CONTROLLER_SILENT_MS:
            status.state = "silent"
            status.reason = "cut off or down"
        elif numbering.generation < state.generation:
            status.reason = f"{state.generation - numbering.generation} behind"
    return status
