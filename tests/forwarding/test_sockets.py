"""Datagrams that waited while a process did not run."""

import asyncio
import socket

from lentilfork.clocks import read_clock_ms
from lentilfork.counters import Counters
from lentilfork.forwarding.sockets import PAUSE_THRESHOLD_MS
from lentilfork.forwarding.sockets import DatagramSocket
from lentilfork.forwarding.sockets import PauseDetector

LOOPBACK = "127.0.0.1"


async def exchange(*, paused: bool, keep_after_pause: bool) -> tuple[list[bytes], int]:
    """Return what a socket takes that got a datagram during a pause, and drops."""
    taken: list[bytes] = []
    counters, pauses = Counters(), PauseDetector()
    receiver = DatagramSocket(
        (LOOPBACK, 0),
        lambda data, _sender: taken.append(data),
        counters,
        pauses,
        keep_after_pause=keep_after_pause,
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"waited", receiver.socket.getsockname())
        if paused:
            pauses.last_check_ms = read_clock_ms() - 2 * PAUSE_THRESHOLD_MS
        await asyncio.sleep(0.05)
        sender.sendto(b"fresh", receiver.socket.getsockname())
        await asyncio.sleep(0.05)
    receiver.close()
    return taken, counters.get("datagrams_dropped", "waited_in_pause")


async def test_running_process_takes_everything() -> None:
    taken, dropped = await exchange(paused=False, keep_after_pause=False)
    assert (taken, dropped) == ([b"waited", b"fresh"], 0)


async def test_process_that_did_not_run_drops_what_waited() -> None:
    taken, dropped = await exchange(paused=True, keep_after_pause=False)
    assert (taken, dropped) == ([b"fresh"], 1)


async def test_answers_of_backend_servers_are_taken_all_the_same() -> None:
    taken, dropped = await exchange(paused=True, keep_after_pause=True)
    assert (taken, dropped) == ([b"waited", b"fresh"], 0)
