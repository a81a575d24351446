"""The daemon `lentilforkd`: reads its settings and runs one role until a signal.

Nothing is started before the settings file and what it names on this host have
been checked. SIGTERM and SIGINT begin a graceful stop; a second signal ends the
wait for work in flight. Role modules, metrics and their libraries are imported
only by the role that uses them, since a balancer host has little memory.
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
# Longest wait for a role to close its sockets and files.
STOP_TIMEOUT_S: Final = 10.0
# Else the library writes a line for each handshake it refuses.
GRPC_VERBOSITY: Final = "ERROR"


@singledispatch
def make_role(settings: CommonSettings) -> Role:
    """Return the role that the settings select, not started."""
    raise TypeError(f"no role takes {type(settings).__name__}")


@make_role.register
def make_balancer(settings: BalancerSettings) -> Role:
    """Return a balancer."""
    from lentilfork.balancer import BalancerRole

    return BalancerRole(settings)


@make_role.register
def make_agent(settings: AgentSettings) -> Role:
    """Return an agent."""
    from lentilfork.agent import AgentRole

    return AgentRole(settings)


@make_role.register
def make_controller(settings: ControllerSettings) -> Role:
    """Return a controller."""
    from lentilfork.controller import ControllerRole

    return ControllerRole(settings)


class ShutdownSignals:
    """Counts the signals that ask this process to stop."""

    # Set by the first signal: finish what is in flight, then stop.
    graceful: asyncio.Event
    # Set by the second signal: stop without waiting.
    immediate: asyncio.Event

    def __init__(self) -> None:
        self.graceful = asyncio.Event()
        self.immediate = asyncio.Event()

    def install(self) -> None:
        """Handle SIGTERM and SIGINT from now on, and ignore SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.handle_signal)
        # Its default action would cut the work in flight.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def handle_signal(self) -> None:
        """Take note of one signal."""
        if self.graceful.is_set():
            self.immediate.set()
        self.graceful.set()

    async def drain(self, role: Role) -> None:
        """Drain a role; returns early on the second signal."""
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
    """Serve metrics while the context lasts, if the settings ask for it."""
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
    """Return the settings key with the value that a failure names as its peer."""
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
    """Return the failure of a start with the settings file and the key it is about."""
    key = find_settings_key(settings.model_dump(mode="json"), failure.peer)
    prefix = f"key {key}: " if key else ""
    return Failure("start", str(path), f"{prefix}{failure}", ExitCode.USAGE)


async def run_role(settings: CommonSettings, path: Path) -> ExitCode:
    """Run the role of these settings until a signal; returns the exit code.

    `path` is the settings file, for messages.
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
    """Write one line about a failure to standard error."""
    print(f"lentilforkd: {failure}", file=sys.stderr)


def parse_arguments(arguments: Sequence[str] | None) -> argparse.Namespace:
    """Return the parsed command line; exits with code 2 if it is wrong."""
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
    """Run the daemon; returns its exit code."""
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
