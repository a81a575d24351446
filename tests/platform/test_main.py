"""Start and stop of a role on the platform."""

import asyncio
import gc
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from lentilfork.errors import ExitCode
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
