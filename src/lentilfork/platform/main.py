"""Run one role of the product on the platform until a signal stops it."""

import argparse
import asyncio
import gc
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
from lentilfork.exposition import answer_inspection
from lentilfork.files import FileWatcher
from lentilfork.http_server import Handler
from lentilfork.http_server import Request
from lentilfork.http_server import Response
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
from lentilfork.tasks import start_supervised

if TYPE_CHECKING:
    from lentilfork.forwarding.controller import FlowControllerRole
    from lentilfork.forwarding.processes import FlowAgentRole
    from lentilfork.forwarding.processes import FlowBalancerRole

    AnyRole = FlowBalancerRole | FlowAgentRole | FlowControllerRole

__all__ = ["main"]

SETTINGS_VARIABLE: Final = "LENTILFORK_NODE_FILE"
ROLES: Final = ("balancer", "agent", "controller")

log = Logger("daemon")


@dataclass(frozen=True, slots=True)
class JsonLogSettings:
    """Log settings on the platform: one JSON object per line."""

    format: str = "json"
    level: str = "info"


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
    await listen(settings.listen.control, partial(answer_controller, role))
    return role


START_FUNCTIONS: Final[
    dict[str, Callable[[PlatformSettings], Awaitable["AnyRole"]]]
] = {
    "balancer": start_balancer,
    "agent": start_agent,
    "controller": start_controller,
}


async def listen(address: str | None, handler: Handler) -> None:
    """Serve HTTP at an "ip:port" address; None serves nothing."""
    if address is not None:
        await serve_http(split_address(address), handler)


def reload_settings(path: Path, role: "AnyRole") -> None:
    """Apply the controllers of the settings file to a role.

    An invalid file is logged and changes nothing.
    """
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        log.error("settings not reloaded", failure=loaded.err_value)
        return
    role.apply_seeds(list_controllers(loaded.ok_value))


async def serve_metrics(role: "AnyRole", address: tuple[str, int]) -> None:
    """Serve the metrics of a role, and explanations of an agent, over HTTP."""

    async def answer(request: Request) -> Response:
        return await answer_inspection(role, request)

    await serve_http(address, answer)


async def run(
    role_name: str, path: Path, settings: PlatformSettings, metrics_port: int | None
) -> ExitCode:
    """Run a role until SIGTERM or SIGINT, then drain and stop it."""
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    role = await START_FUNCTIONS[role_name](settings)
    # Modules and classes stay, so later collections need not visit them.
    gc.freeze()
    gc.enable()
    if metrics_port is not None:
        await serve_metrics(role, (settings.ip, metrics_port))
    watcher = FileWatcher(path, partial(reload_settings, path, role))
    loop.add_signal_handler(signal.SIGHUP, watcher.reload)
    watch_task = start_supervised(watcher.run, "settings")
    log.info("started", role=role_name, node=settings.node_id)
    await stopping.wait()
    log.info("draining")
    await role.drain()
    watch_task.cancel()
    await role.stop()
    log.info("stopped")
    return ExitCode.OK


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the role that the arguments name; return the exit code."""
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
    parser = argparse.ArgumentParser(prog="lentilfork-node", description=__doc__)
    parser.add_argument("role", choices=ROLES)
    parser.add_argument(
        "--settings", type=Path, default=os.environ.get(SETTINGS_VARIABLE)
    )
    parser.add_argument("--metrics-port", type=int, metavar="PORT")
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
        JsonLogSettings(),
        f"{loaded.ok_value.node_id}/{options.role}",
        stream=sys.stdout,
    )
    try:
        return asyncio.run(
            run(
                options.role,
                Path(options.settings),
                loaded.ok_value,
                options.metrics_port,
            )
        )
    except MissingKeyError as error:
        print(f"lentilfork-node: key {error.key}: missing", file=sys.stderr)
        return ExitCode.USAGE
