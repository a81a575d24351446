"""Cleanup of a run: a killed launcher leaves no process behind."""

import asyncio
import subprocess
import sys
from pathlib import Path

import psutil

from lentilfork.bench.guard import kill_processes
from lentilfork.bench.processes import wait_until

WAIT_S = 20.0
LAUNCHER = """
import sys, time
from pathlib import Path
from lentilfork.bench.guard import kill_processes
from lentilfork.bench.processes import ProcessGroup

group = ProcessGroup(Path(sys.argv[1]))
process = group.add("sleeper", "-c", "import time; time.sleep(1000)")
process.start()
print(process.pid, group.cleanup_process.pid, flush=True)
time.sleep(1000)
"""


def is_running(pid: int) -> bool:
    """Return whether a process exists and is not a zombie."""
    try:
        return bool(psutil.Process(pid).status() != psutil.STATUS_ZOMBIE)
    except psutil.NoSuchProcess:
        return False


async def test_killed_launcher_leaves_no_process(tmp_path: Path) -> None:
    launcher = await asyncio.create_subprocess_exec(
        sys.executable, "-c", LAUNCHER, str(tmp_path), stdout=subprocess.PIPE
    )
    assert launcher.stdout is not None
    pids = [int(text) for text in (await launcher.stdout.readline()).split()]
    try:
        assert len(pids) == 2
        assert all(map(is_running, pids))
        launcher.kill()
        await launcher.wait()
        await wait_until(
            lambda: not any(map(is_running, pids)), WAIT_S, "all processes to exit"
        )
    finally:
        kill_processes(pids)
