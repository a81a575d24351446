"""Faults and planned changes of an emulated control plane."""

from dataclasses import dataclass
from functools import partial
from functools import singledispatch

from lentilfork.bench.emulation.hosts import EmulatedHost
from lentilfork.bench.emulation.hosts import MemberHost
from lentilfork.bench.emulation.plane import ControlPlane

__all__ = [
    "CutHosts",
    "DrainAgent",
    "KillHosts",
    "MuteHosts",
    "ReconnectHosts",
    "RestartInTurn",
    "inject",
]


@dataclass(frozen=True, slots=True)
class KillHosts:
    """Kill processes; those that are restarted start again after a time."""

    hosts: tuple[EmulatedHost, ...]
    restart_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class CutHosts:
    """Cut hosts off from all others."""

    hosts: tuple[EmulatedHost, ...]


@dataclass(frozen=True, slots=True)
class MuteHosts:
    """Lose all that hosts send, while they still receive."""

    hosts: tuple[EmulatedHost, ...]


@dataclass(frozen=True, slots=True)
class ReconnectHosts:
    """End all cuts."""


@dataclass(frozen=True, slots=True)
class RestartInTurn:
    """Restart processes one after the other."""

    hosts: tuple[EmulatedHost, ...]
    interval_s: float
    # Time for which each process does not run.
    down_s: float


@dataclass(frozen=True, slots=True)
class DrainAgent:
    """Let an agent announce that its backend server accepts no new flows."""

    agent: MemberHost


Fault = KillHosts | CutHosts | MuteHosts | ReconnectHosts | RestartInTurn | DrainAgent


@singledispatch
def inject(fault: Fault, plane: ControlPlane) -> None:
    """Inject a fault into a control plane now."""
    raise TypeError(f"unknown fault {fault!r}")


@inject.register
def kill_hosts(fault: KillHosts, plane: ControlPlane) -> None:
    """Kill processes and schedule their restart."""
    for host in fault.hosts:
        host.stop()
        if fault.restart_after_s is not None:
            plane.clock.call_in(fault.restart_after_s, host.start)


@inject.register
def cut_hosts(fault: CutHosts, plane: ControlPlane) -> None:
    """Cut hosts off in both directions."""
    plane.network.cut.update(host.address for host in fault.hosts)


@inject.register
def mute_hosts(fault: MuteHosts, plane: ControlPlane) -> None:
    """Cut hosts off in one direction."""
    plane.network.muted.update(host.address for host in fault.hosts)


@inject.register
def reconnect_hosts(_fault: ReconnectHosts, plane: ControlPlane) -> None:
    """End all cuts."""
    plane.network.cut.clear()
    plane.network.muted.clear()


@inject.register
def restart_in_turn(fault: RestartInTurn, plane: ControlPlane) -> None:
    """Schedule the restarts of processes."""
    for number, host in enumerate(fault.hosts):
        kill = KillHosts((host,), fault.down_s)
        plane.clock.call_in(number * fault.interval_s, partial(inject, kill, plane))


@inject.register
def drain_agent(fault: DrainAgent, _plane: ControlPlane) -> None:
    """Announce a changed record."""
    fault.agent.change_record(accepting=False)
