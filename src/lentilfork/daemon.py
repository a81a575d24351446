"""The daemon `lentilforkd`: runs one role until it receives a stop signal.

The settings file and the addresses, folders and files it names are checked before
anything is started. SIGTERM and SIGINT start a graceful stop; a second signal ends the
wait for work in flight. Each role imports only the modules and libraries that it uses,
because balancer hosts have little memory.
"""

import argparse
import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import asynccontextmanager
from functools import singledispatch
from pathlib import Path
from typing import Any
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork import VERSION
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure
from lentilfork.logs import Logger
from lentilfork.logs import configure_logs
from lentilfork.preflight import check_host
from lentilfork.roles import Role
from lentilfork.settings import AgentSettings
from lentilfork.settings import BalancerSettings
from lentilfork.settings import CommonSettings
from lentilfork.settings import ControllerSettings
from lentilfork.settings import load_settings

__all__ = ["main", "make_role", "run_role"]

LOG: Final = Logger("daemon")
# Time within which a role must close its sockets and files.
STOP_TIMEOUT_S: Final = 10.0
# Without this level, gRPC writes a line for every handshake that it refuses.
GRPC_VERBOSITY: Final = "ERROR"


@singledispatch
def make_role(settings: CommonSettings) -> Role:
    """Return the role that the settings select, without starting it."""
    raise TypeError(f"no role for settings of type {type(settings).__name__}")


@make_role.register
def make_balancer(settings: BalancerSettings) -> Role:
    """Return a balancer that is not started."""
    from lentilfork.balancer import BalancerRole

    return BalancerRole(settings)


@make_role.register
def make_agent(settings: AgentSettings) -> Role:
    """Return an agent that is not started."""
    from lentilfork.agent import AgentRole

    return AgentRole(settings)


@make_role.register
def make_controller(settings: ControllerSettings) -> Role:
    """Return a controller that is not started."""
    from lentilfork.controller import ControllerRole

    return ControllerRole(settings)


class ShutdownSignals:
    """Tracks the signals that request this process to stop."""

    # Set by the first signal: finish the work in flight, then stop.
    graceful: asyncio.Event
    # Set by the second signal: stop without waiting for work in flight.
    immediate: asyncio.Event

    def __init__(self) -> None:
        self.graceful = asyncio.Event()
        self.immediate = asyncio.Event()

    def install(self) -> None:
        """Handle SIGTERM and SIGINT from now on, and ignore SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.handle_signal)
        # By default SIGHUP would end the process and abort the work in flight.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def handle_signal(self) -> None:
        """Record one signal."""
        if self.graceful.is_set():
            self.immediate.set()
        self.graceful.set()

    async def drain(self, role: Role) -> None:
        """Drain a role; return early on the second signal."""
        draining = asyncio.create_task(role.drain(), name="drain")
        immediate = asyncio.create_task(self.immediate.wait(), name="second signal")
        try:
            await asyncio.wait(
                (draining, immediate), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            immediate.cancel()
            finished = draining.done()
            draining.cancel()
            await asyncio.gather(draining, immediate, return_exceptions=True)
        if not finished:
            LOG.warning("drain cut short by a second signal")
        elif error := draining.exception():
            raise error


@asynccontextmanager
async def run_metrics_server(
    settings: CommonSettings, role: Role
) -> AsyncIterator[Result[None, Failure]]:
    """Serve metrics within the context if the settings have a metrics address.

    Yields the failure if the metrics server could not start.
    """
    if settings.metrics is None:
        yield Ok(None)
        return
    from lentilfork.metrics import MetricsServer

    server = MetricsServer(settings, role)
    started = server.start()
    try:
        yield started
    finally:
        if started.is_ok():
            await server.close()


def find_settings_key(values: dict[str, Any], peer: str) -> str | None:
    """Return the settings key whose value is the peer of a failure; None if none is.

    A key inside an object is returned as a path, such as "metrics.address".
    """
    for key, value in values.items():
        if isinstance(value, dict):
            nested_key = find_settings_key(value, peer)
            if nested_key is not None:
                return f"{key}.{nested_key}"
        elif isinstance(value, str) and (value == peer or f"{value}/" in peer):
            return key
    return None


def make_start_failure(
    settings: CommonSettings, path: Path, failure: Failure
) -> Failure:
    """Return a failed start as a failure that names the settings file and the key."""
    key = find_settings_key(settings.model_dump(mode="json"), failure.peer)
    prefix = f"key {key}: " if key else ""
    return Failure("start", str(path), f"{prefix}{failure}", ExitCode.USAGE)


async def run_role(settings: CommonSettings, path: Path) -> ExitCode:
    """Run the role of these settings until a signal; return the exit code.

    `path` is the settings file, named in error messages.
    """
    signals = ShutdownSignals()
    signals.install()
    role = make_role(settings)
    async with run_metrics_server(settings, role) as served:
        started = served if served.is_err() else await role.start()
        if isinstance(started, Err):
            print_failure(make_start_failure(settings, path, started.err_value))
            return ExitCode.USAGE
        LOG.info("started", address=settings.control_address)
        try:
            await signals.graceful.wait()
            LOG.info("draining")
            await signals.drain(role)
        finally:
            await asyncio.wait_for(role.stop(), STOP_TIMEOUT_S)
        LOG.info("stopped")
    return ExitCode.OK


def print_failure(failure: Failure) -> None:
    """Write a failure as one line to standard error."""
    print(f"lentilforkd: {failure}", file=sys.stderr)


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Return the parsed command line; exit with code 2 if it is invalid."""
    parser = argparse.ArgumentParser(
        prog="lentilforkd",
        description="Run one balancer, agent or controller of lentilfork.",
        epilog="Exit codes: 0 stopped as asked, 2 settings refused or start failed.",
    )
    parser.add_argument(
        "--settings", required=True, type=Path, metavar="FILE", help="JSON settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and this host, exit"
    )
    parser.add_argument("--version", action="version", version=f"lentilforkd {VERSION}")
    return parser.parse_args(arguments)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon; return its exit code."""
    os.environ.setdefault("GRPC_VERBOSITY", GRPC_VERBOSITY)
    options = parse_arguments(arguments)
    loaded = load_settings(options.settings)
    if isinstance(loaded, Err):
        print_failure(loaded.err_value)
        return ExitCode.USAGE
    settings = loaded.ok_value
    problem = check_host(settings, options.settings)
    if problem is not None:
        print_failure(problem)
        return ExitCode.USAGE
    if options.check:
        print(f"{options.settings}: settings for {settings.role} are correct")
        return ExitCode.OK
    configure_logs(settings.log, settings.name)
    return asyncio.run(run_role(settings, options.settings))


if __name__ == "__main__":
    sys.exit(main())
