"""Run one role of the product on the platform until a signal stops it."""

import asyncio
import os
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final

from result import Err

from lentilfork.errors import ExitCode
from lentilfork.forwarding.running import StopSignals
from lentilfork.forwarding.running import listen
from lentilfork.forwarding.running import parse_arguments
from lentilfork.forwarding.running import run_role
from lentilfork.forwarding.running import write_json_logs
from lentilfork.logs import Logger
from lentilfork.platform.settings import MissingKeyError
from lentilfork.platform.settings import PlatformSettings
from lentilfork.platform.settings import list_controllers
from lentilfork.platform.settings import list_evacuable
from lentilfork.platform.settings import load_settings
from lentilfork.platform.settings import make_agent_settings
from lentilfork.platform.settings import make_balancer_settings
from lentilfork.platform.settings import make_controller_settings

if TYPE_CHECKING:
    from lentilfork.forwarding.controller import FlowControllerRole
    from lentilfork.forwarding.processes import FlowAgentRole
    from lentilfork.forwarding.processes import FlowBalancerRole

    AnyRole = FlowBalancerRole | FlowAgentRole | FlowControllerRole

__all__ = ["main"]

SETTINGS_VARIABLE: Final = "LENTILFORK_NODE_FILE"
ROLES: Final = ("balancer", "agent", "controller")

log = Logger("daemon")


async def start_balancer(settings: PlatformSettings) -> "FlowBalancerRole":
    """Start a balancer and its readiness check."""
    from lentilfork.forwarding.processes import FlowBalancerRole
    from lentilfork.platform.calls import answer_ready
    from lentilfork.platform.header import HeaderCodec

    role = FlowBalancerRole(make_balancer_settings(settings), HeaderCodec())
    (await role.start()).expect("balancer not started")
    await listen(settings.listen.readiness_addr, partial(answer_ready, role))
    return role


async def start_agent(settings: PlatformSettings) -> "FlowAgentRole":
    """Start an agent, its readiness check and the calls of its endpoint."""
    from lentilfork.forwarding.processes import FlowAgentRole
    from lentilfork.platform.calls import answer_agent
    from lentilfork.platform.calls import answer_ready
    from lentilfork.platform.header import HeaderCodec

    role = FlowAgentRole(make_agent_settings(settings), HeaderCodec())
    (await role.start()).expect("agent not started")
    await listen(settings.listen.control, partial(answer_agent, role))
    await listen(settings.listen.readiness_addr, partial(answer_ready, role))
    return role


async def start_controller(settings: PlatformSettings) -> "FlowControllerRole":
    """Start a controller and the calls of operators."""
    from lentilfork.forwarding.controller import FlowControllerRole
    from lentilfork.platform.calls import answer_controller

    role = FlowControllerRole(make_controller_settings(settings))
    (await role.start()).expect("controller not started")
    evacuable = list_evacuable(settings)
    handler = partial(answer_controller, role, evacuable=evacuable)
    await listen(settings.listen.control, handler)
    return role


START_FUNCTIONS: Final[
    dict[str, Callable[[PlatformSettings], Awaitable["AnyRole"]]]
] = {
    "balancer": start_balancer,
    "agent": start_agent,
    "controller": start_controller,
}


def reload_settings(path: Path, role: "AnyRole") -> None:
    """Apply the controllers of the settings file to a role.

    An invalid file is logged and changes nothing.
    """
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        log.error("settings not reloaded", failure=loaded.err_value)
        return
    role.apply_seeds(list_controllers(loaded.ok_value))


async def run(
    role_name: str, path: Path, settings: PlatformSettings, metrics_port: int | None
) -> ExitCode:
    """Run a role until SIGTERM or SIGINT, then drain and stop it."""
    signals = StopSignals()
    signals.install()
    role = await START_FUNCTIONS[role_name](settings)
    metrics_address = None if metrics_port is None else (settings.ip, metrics_port)
    reload = partial(reload_settings, path, role)
    details = {"role": role_name, "node": settings.node_id}
    await run_role(role, signals, path, reload, metrics_address, details)
    return ExitCode.OK


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the role that the arguments name; return the exit code."""
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
    options = parse_arguments(
        "lentilfork-node", __doc__, ROLES, SETTINGS_VARIABLE, arguments
    )
    loaded = load_settings(options.settings)
    if isinstance(loaded, Err):
        print(f"lentilfork-node: {loaded.err_value}", file=sys.stderr)
        return ExitCode.USAGE
    if options.check:
        print(f"{options.settings}: settings are correct")
        return ExitCode.OK
    write_json_logs(f"{loaded.ok_value.node_id}/{options.role}")
    try:
        running = run(
            options.role, options.settings, loaded.ok_value, options.metrics_port
        )
        return asyncio.run(running)
    except MissingKeyError as error:
        print(f"lentilfork-node: key {error.key}: missing", file=sys.stderr)
        return ExitCode.USAGE
