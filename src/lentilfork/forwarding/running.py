"""Runs a started role until a signal stops it: settings, metrics, logs, drain, stop."""

import argparse
import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from lentilfork.addresses import split_address
from lentilfork.counters import Counters
from lentilfork.exposition import answer_inspection
from lentilfork.files import FileWatcher
from lentilfork.http_server import Handler
from lentilfork.http_server import Request
from lentilfork.http_server import Response
from lentilfork.http_server import serve_http
from lentilfork.logs import Logger
from lentilfork.logs import configure_logs
from lentilfork.tasks import start_supervised

__all__ = [
    "RunningRole",
    "StopSignals",
    "listen",
    "parse_arguments",
    "run_role",
    "serve_metrics",
    "write_json_logs",
]

log = Logger("daemon")


class RunningRole(Protocol):
    """The part of a role that a run uses once the role has started."""

    counters: Counters

    @property
    def generation(self) -> int:
        """Version of the route table that is applied here."""

    async def drain(self) -> None:
        """Refuse new work and return when no work is in flight."""

    async def stop(self) -> None:
        """Stop immediately and close everything."""


@dataclass(frozen=True, slots=True)
class JsonLogSettings:
    """Log settings: one JSON object per line."""

    format: str = "json"
    level: str = "info"


@dataclass(frozen=True, slots=True)
class Options:
    """Arguments of a process that runs one role."""

    role: str
    # Path of the settings file.
    settings: Path
    metrics_port: int | None
    # Whether the settings are only checked.
    check: bool


def parse_arguments(
    program: str,
    description: str | None,
    roles: Sequence[str],
    settings_variable: str,
    arguments: Sequence[str] | None,
) -> Options:
    """Return the arguments of this process; exits if they are wrong.

    The environment variable `settings_variable` may name the settings file.
    """
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("role", choices=roles)
    parser.add_argument("--settings", default=os.environ.get(settings_variable))
    parser.add_argument("--metrics-port", type=int, metavar="PORT")
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args(arguments)
    if options.settings is None:
        parser.error(f"expected --settings or {settings_variable}")
    settings = Path(options.settings)
    return Options(options.role, settings, options.metrics_port, options.check)


def write_json_logs(name: str) -> None:
    """Write the log of this process to standard output as JSON."""
    configure_logs(JsonLogSettings(), name, stream=sys.stdout)


class StopSignals:
    """Signals that request this process to stop."""

    stopping: asyncio.Event

    def __init__(self) -> None:
        self.stopping = asyncio.Event()

    def install(self) -> None:
        """Handle SIGTERM and SIGINT from now on; ignore SIGHUP until a role runs."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)


async def listen(address: str | None, handler: Handler) -> None:
    """Serve HTTP at an "ip:port" address; None serves nothing."""
    if address is not None:
        await serve_http(split_address(address), handler)


async def serve_metrics(role: RunningRole, address: tuple[str, int]) -> None:
    """Serve the metrics of a role, and explanations of an agent, over HTTP."""

    async def answer(request: Request) -> Response:
        return await answer_inspection(role, request)

    await serve_http(address, answer)


async def run_role(
    role: RunningRole,
    signals: StopSignals,
    settings_path: Path,
    reload_settings: Callable[[], None],
    metrics_address: tuple[str, int] | None,
    details: Mapping[str, str],
) -> None:
    """Run a started role until a stop signal, then drain and stop it.

    `reload_settings` is called after changes of the settings file and after SIGHUP;
    `details` are logged.
    """
    # Modules and classes stay, so later collections need not visit them.
    gc.freeze()
    gc.enable()
    if metrics_address is not None:
        await serve_metrics(role, metrics_address)
    watcher = FileWatcher(settings_path, reload_settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, watcher.reload)
    watch_task = start_supervised(watcher.run, "settings")
    log.info("started", **details)
    await signals.stopping.wait()
    log.info("draining")
    await role.drain()
    watch_task.cancel()
    await role.stop()
    log.info("stopped")
