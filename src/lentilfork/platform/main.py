"""Starts one role of the product on the platform and runs it until a signal."""

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Final

from result import Err

from lentilfork.addresses import split_address
from lentilfork.errors import ExitCode
from lentilfork.http_server import Handler
from lentilfork.http_server import serve_http
from lentilfork.logs import Logger
from lentilfork.logs import configure_logs
from lentilfork.platform.settings import MissingKeyError
from lentilfork.platform.settings import PlatformSettings
from lentilfork.platform.settings import list_controllers
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
# The file may change without a signal.
RELOAD_INTERVAL_S: Final = 2.0
ROLES: Final = ("balancer", "agent", "controller")

log = Logger("daemon")


@dataclass(frozen=True, slots=True)
class JsonLines:
    """Logs on the platform: one JSON object a line."""

    format: str = "json"
    level: str = "info"


async def start_balancer(settings: PlatformSettings) -> "FlowBalancerRole":
    """Return a running balancer."""
    from lentilfork.forwarding.processes import FlowBalancerRole
    from lentilfork.platform.calls import answer_ready
    from lentilfork.platform.header import HeaderCodec

    role = FlowBalancerRole(make_balancer_settings(settings), HeaderCodec())
    (await role.start()).expect("balancer not started")
    await listen(settings.listen.readiness_addr, partial(answer_ready, role))
    return role


async def start_agent(settings: PlatformSettings) -> "FlowAgentRole":
    """Return a running agent."""
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
    """Return a running controller."""
    from lentilfork.forwarding.controller import FlowControllerRole
    from lentilfork.platform.calls import answer_controller

    role = FlowControllerRole(make_controller_settings(settings))
    (await role.start()).expect("controller not started")
    await listen(settings.listen.control, partial(answer_controller, role))
    return role


STARTS: Final[dict[str, Callable[[PlatformSettings], Awaitable["AnyRole"]]]] = {
    "balancer": start_balancer,
    "agent": start_agent,
    "controller": start_controller,
}


async def listen(address: str | None, handler: Handler) -> None:
    """Serve HTTP at an address of the settings, if there is one."""
    if address is not None:
        await serve_http(split_address(address), handler)


class SettingsWatch:
    """Hands changed seeds to a running role."""

    path: Path
    settings: PlatformSettings
    role: "AnyRole"

    def __init__(self, path: Path, settings: PlatformSettings, role: "AnyRole") -> None:
        self.path = path
        self.settings = settings
        self.role = role

    async def run(self) -> None:
        """Read the file again and again."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            self.reload()

    def reload(self) -> None:
        """Read the file and act on changed seeds; a bad file changes nothing."""
        loaded = load_settings(self.path)
        if isinstance(loaded, Err):
            log.error("settings not reloaded", failure=loaded.err_value)
            return
        if loaded.ok_value.seeds == self.settings.seeds:
            return
        self.settings = loaded.ok_value
        log.info("settings reloaded", seeds=str(self.settings.seeds))
        self.role.take_seeds(list_controllers(self.settings))


async def run(role_name: str, path: Path, settings: PlatformSettings) -> ExitCode:
    """Run a role until SIGTERM."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    role = await STARTS[role_name](settings)
    watch = SettingsWatch(path, settings, role)
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    watching = asyncio.create_task(watch.run(), name="settings")
    log.info("started", role=role_name, node=settings.node_id)
    await stopping.wait()
    log.info("draining")
    await role.drain()
    watching.cancel()
    await role.stop()
    log.info("stopped")
    return ExitCode.OK


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one role; returns the exit code."""
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
    parser = argparse.ArgumentParser(prog="lentilfork-node", description=__doc__)
    parser.add_argument("role", choices=ROLES)
    parser.add_argument(
        "--settings", type=Path, default=os.environ.get(SETTINGS_VARIABLE)
    )
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args(arguments)
    if options.settings is None:
        parser.error(f"expected --settings or {SETTINGS_VARIABLE}")
    loaded = load_settings(Path(options.settings))
    if isinstance(loaded, Err):
        print(f"lentilfork-node: {loaded.err_value}", file=sys.stderr)
        return ExitCode.USAGE
    if options.check:
        print(f"{options.settings}: settings are correct")
        return ExitCode.OK
    configure_logs(
        JsonLines(),
        f"{loaded.ok_value.node_id}/{options.role}",
        stream=sys.stdout,
    )
    try:
        return asyncio.run(run(options.role, Path(options.settings), loaded.ok_value))
    except MissingKeyError as error:
        print(f"lentilfork-node: key {error.key}: missing", file=sys.stderr)
        return ExitCode.USAGE
