"""Start and stop of a role on the platform."""

import asyncio
import gc
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from lentilfork import files
from lentilfork import tasks
from lentilfork.addresses import split_address
from lentilfork.bench.addresses import AddressBlock
from lentilfork.counters import Counters
from lentilfork.errors import ExitCode
from lentilfork.forwarding.running import serve_metrics
from lentilfork.http_server import Response
from lentilfork.platform import main


class FakeRole:
    """A role that drains and stops at once."""

    async def drain(self) -> None:
        """Drain."""

    async def stop(self) -> None:
        """Stop."""


class FakeSettings:
    """The part of the settings that a run reads."""

    node_id = "edge-1"


async def test_garbage_is_collected_once_the_role_has_started(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    states = []

    async def start(_settings: Any) -> Any:
        states.append(gc.isenabled())
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
        return FakeRole()

    monkeypatch.setitem(main.START_FUNCTIONS, "balancer", start)
    settings: Any = FakeSettings()
    gc.disable()
    try:
        code = await main.run("balancer", tmp_path / "boot.toml", settings, None)
        states.append(gc.isenabled())
    finally:
        gc.enable()
        gc.unfreeze()
    assert code is ExitCode.OK
    assert states == [False, True]


# Guards against a process that no longer follows its settings file, because one
# version of it could not be applied.
async def test_settings_are_followed_after_a_version_that_raised(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    path = tmp_path / "boot.toml"
    path.write_text("1")
    applied = []

    async def start(_settings: Any) -> Any:
        return FakeRole()

    def reload(path: Path, _role: Any) -> None:
        applied.append(path.read_text())
        if len(applied) == 1:
            raise ValueError("odd")

    async def edit() -> None:
        for text in ("2", "3"):
            path.write_text(text)
            await asyncio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGTERM)

    monkeypatch.setitem(main.START_FUNCTIONS, "balancer", start)
    monkeypatch.setattr(main, "reload_settings", reload)
    monkeypatch.setattr(files, "CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(tasks, "RESTART_DELAY_S", 0.01)
    settings: Any = FakeSettings()
    edits = asyncio.get_running_loop().call_later(
        0.05, lambda: tasks.start_task(edit(), "edit")
    )
    try:
        await main.run("balancer", path, settings, None)
    finally:
        edits.cancel()
        gc.unfreeze()
    assert applied == ["2", "3"]


class ExplainingRole(FakeRole):
    """A role that explains placements."""

    counters = Counters()
    generation = 4

    def answer_explanation(self, query: str) -> Response:
        """Return the query."""
        return Response(200, query.encode())


# Guards against a process whose metrics port has no explanations, or no metrics.
async def test_metrics_port_serves_explanations_and_metrics() -> None:
    block = AddressBlock()
    try:
        host, port = split_address(block.allocate_address(9466))
        role: Any = ExplainingRole()
        await serve_metrics(role, (host, port))
        replies = {}
        for path in ("/explain-placement?caller=a", "/metrics"):
            reader, writer = await asyncio.open_connection(host, port)
            head = f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            writer.write(head.encode())
            async with asyncio.timeout(5):
                replies[path] = await reader.read()
            writer.close()
    finally:
        block.close()
    assert replies["/explain-placement?caller=a"].endswith(b"\r\n\r\ncaller=a")
    assert b"lentilfork_generation 4.0" in replies["/metrics"]
