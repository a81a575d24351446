"""Operating system processes of a run: start, signals, control lines and cleanup.

Each process has its own session, so an interrupt at the terminal reaches only the
launcher. A separate cleanup process (`lentilfork.bench.guard`) kills the remaining
processes if the launcher dies without closing the group; in every other case
`ProcessGroup.close`, also called by `atexit`, kills them.
"""

import asyncio
import atexit
import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from lentilfork.bench.control import ANSWER_APPLIED
from lentilfork.bench.control import ANSWER_READY
from lentilfork.bench.control import ControlChange

__all__ = ["Process", "ProcessGroup", "wait_until"]

POLL_S: Final = 0.02
ANSWER_TIMEOUT_S: Final = 10.0
EXIT_TIMEOUT_S: Final = 10.0


class Process:
    """One process of a run; it can be started again after it has exited."""

    name: str
    # Arguments of the Python interpreter.
    arguments: tuple[str, ...]
    # Files for standard output and standard error; a restart appends to them.
    output_path: Path
    error_path: Path
    group: "ProcessGroup"
    # The most recently started process; None before the first start.
    popen: subprocess.Popen[bytes] | None
    # Held from a control line to its answer, so that answers match their lines.
    control_lock: asyncio.Lock

    def __init__(
        self, name: str, arguments: tuple[str, ...], group: "ProcessGroup"
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.group = group
        self.output_path = group.folder / f"{name}.out"
        self.error_path = group.folder / f"{name}.log"
        self.popen = None
        self.control_lock = asyncio.Lock()

    @property
    def pid(self) -> int:
        """Process id of the latest start; raises RuntimeError if never started."""
        if self.popen is None:
            raise RuntimeError(f"{self.name} was never started")
        return self.popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process has not exited; also true while it is paused."""
        return self.popen is not None and self.popen.poll() is None

    @property
    def log(self) -> str:
        """Text written to standard error so far."""
        return (
            self.error_path.read_text(errors="replace")
            if self.error_path.exists()
            else ""
        )

    def start(self) -> None:
        """Start the process; raises RuntimeError if it is already running."""
        if self.alive:
            raise RuntimeError(f"{self.name} is already running")
        with (
            self.output_path.open("ab") as output,
            self.error_path.open("ab") as errors,
        ):
            self.popen = subprocess.Popen(
                [sys.executable, *self.arguments],
                stdin=subprocess.PIPE,
                stdout=output,
                stderr=errors,
                start_new_session=True,
            )
        self.group.record_start(self.popen.pid)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal; does nothing if the process has exited."""
        if self.popen is not None and self.alive:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        self.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(EXIT_TIMEOUT_S)
            self.handle_exit()

    def handle_exit(self) -> None:
        """Close the pipe of an exited process, which needs no cleanup any more."""
        if self.popen is None or self.popen.stdin is None:
            return
        if not self.popen.stdin.closed:
            self.popen.stdin.close()
            self.group.record_exit(self.popen.pid)

    def terminate(self) -> None:
        """Ask the process to stop gracefully with SIGTERM."""
        self.send_signal(signal.SIGTERM)

    def pause(self) -> None:
        """Pause the process with SIGSTOP, until `resume`."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    async def wait_exit(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Wait for the exit code; raises TimeoutError."""
        await wait_until(lambda: not self.alive, timeout_s, f"{self.name} to exit")
        self.handle_exit()
        assert self.popen is not None
        return self.popen.returncode

    def count_output_lines(self) -> int:
        """Return the number of lines written to standard output."""
        return (
            self.output_path.read_bytes().count(b"\n")
            if self.output_path.exists()
            else 0
        )

    async def start_and_wait_ready(self) -> None:
        """Start the process and wait until it reports ready; raises RuntimeError."""
        previous_lines = self.count_output_lines()
        self.start()
        await self.wait_for_answer(previous_lines, ANSWER_READY)

    async def send_control(self, change: ControlChange) -> None:
        """Send a control line; returns when the process has applied the change."""
        await wait_until(
            lambda: self.count_output_lines() > 0,
            ANSWER_TIMEOUT_S,
            f"{self.name} to start",
        )
        async with self.control_lock:
            previous_lines = self.count_output_lines()
            self.write_control(change)
            await self.wait_for_answer(previous_lines, ANSWER_APPLIED)

    def write_control(self, change: ControlChange) -> None:
        """Write a control line; raises RuntimeError if the process has exited."""
        if self.popen is None or self.popen.stdin is None or not self.alive:
            raise RuntimeError(f"{self.name} is not running")
        self.popen.stdin.write(json.dumps(change).encode() + b"\n")
        self.popen.stdin.flush()

    async def wait_for_answer(self, previous_lines: int, expected: str) -> None:
        """Wait for the next output line; raises RuntimeError if it is wrong."""
        await wait_until(
            lambda: self.count_output_lines() > previous_lines or not self.alive,
            ANSWER_TIMEOUT_S,
            f"an answer of {self.name}",
        )
        lines = self.output_path.read_text().splitlines()
        if len(lines) <= previous_lines or lines[previous_lines] != expected:
            raise RuntimeError(
                f"{self.name}: {lines[previous_lines:]}\n{self.log[-2000:]}"
            )


class ProcessGroup:
    """All processes of a run, which are killed when the group is closed."""

    # Folder of the output and log files.
    folder: Path
    processes: dict[str, Process]
    # Kills the remaining processes if this one dies; None until the first start.
    cleanup_process: subprocess.Popen[bytes] | None

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes = {}
        self.cleanup_process = None
        atexit.register(self.close)

    def add(self, name: str, *arguments: str) -> Process:
        """Return a new process, not started; raises ValueError if `name` is in use."""
        if name in self.processes:
            raise ValueError(f"a process named {name!r} already exists")
        process = Process(name, arguments, self)
        self.processes[name] = process
        return process

    def start_cleanup_process(self) -> subprocess.Popen[bytes]:
        """Return the cleanup process; starts it on first use."""
        if self.cleanup_process is None:
            self.cleanup_process = subprocess.Popen(
                [sys.executable, "-m", "lentilfork.bench.guard"],
                stdin=subprocess.PIPE,
                start_new_session=True,
            )
        return self.cleanup_process

    def write_to_cleanup_process(self, line: str) -> None:
        """Write one line to the cleanup process."""
        cleanup_process = self.start_cleanup_process()
        assert cleanup_process.stdin is not None
        cleanup_process.stdin.write(line.encode() + b"\n")
        cleanup_process.stdin.flush()

    def record_start(self, pid: int) -> None:
        """Have the cleanup process kill this process if the launcher dies."""
        self.write_to_cleanup_process(f"+{pid}")

    def record_exit(self, pid: int) -> None:
        """Remove a process that has exited from those to be killed."""
        self.write_to_cleanup_process(f"-{pid}")

    def close(self) -> None:
        """Kill every process and wait until all have exited; can be called twice."""
        atexit.unregister(self.close)
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.kill()
        if self.cleanup_process is not None:
            assert self.cleanup_process.stdin is not None
            self.cleanup_process.stdin.close()
            self.cleanup_process.wait(EXIT_TIMEOUT_S)
            self.cleanup_process = None


async def wait_until(
    condition: Callable[[], bool],
    timeout_s: float,
    awaited: str,
    poll_s: float = POLL_S,
) -> None:
    """Poll until `condition` is true; raises TimeoutError that names `awaited`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {timeout_s} s for {awaited}")
        await asyncio.sleep(poll_s)
