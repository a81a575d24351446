"""Datagrams that arrive in a burst, or while a process was paused."""

import asyncio
import socket

import pytest

from lentilfork.clocks import read_clock_ms
from lentilfork.counters import Counters
from lentilfork.forwarding.sockets import PAUSE_THRESHOLD_MS
from lentilfork.forwarding.sockets import DatagramSocket
from lentilfork.forwarding.sockets import PauseDetector

LOOPBACK = "127.0.0.1"


async def receive_datagrams(
    *, paused: bool, keep_after_pause: bool
) -> tuple[list[bytes], int]:
    """Return the datagrams that a socket handles and the number that it drops.

    The first datagram arrives during the pause, if there is one, the second after it.
    """
    received: list[bytes] = []
    counters, pause_detector = Counters(), PauseDetector()
    receiver = DatagramSocket(
        (LOOPBACK, 0),
        lambda data, _sender: received.append(data),
        counters,
        pause_detector,
        keep_after_pause=keep_after_pause,
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(b"waited", receiver.socket.getsockname())
        if paused:
            pause_detector.last_check_ms = read_clock_ms() - 2 * PAUSE_THRESHOLD_MS
        await asyncio.sleep(0.05)
        sender.sendto(b"fresh", receiver.socket.getsockname())
        await asyncio.sleep(0.05)
    receiver.close()
    return received, counters.get("datagrams_dropped", "waited_in_pause")


async def test_running_process_handles_all_datagrams() -> None:
    received, dropped = await receive_datagrams(paused=False, keep_after_pause=False)
    assert (received, dropped) == ([b"waited", b"fresh"], 0)


async def test_paused_process_drops_waiting_datagrams() -> None:
    received, dropped = await receive_datagrams(paused=True, keep_after_pause=False)
    assert (received, dropped) == ([b"fresh"], 1)


async def test_answers_of_backend_servers_are_handled_after_a_pause() -> None:
    received, dropped = await receive_datagrams(paused=True, keep_after_pause=True)
    assert (received, dropped) == ([b"waited", b"fresh"], 0)


# Guards against a task that ends because an address in a message has a port that no
# socket accepts.
@pytest.mark.parametrize("port", [0, 65_536, 99_999, -1, 10**30])
async def test_datagram_to_a_port_out_of_range_is_counted(port: int) -> None:
    counters = Counters()
    sender = DatagramSocket(
        (LOOPBACK, 0), lambda _data, _sender: None, counters, PauseDetector()
    )
    sender.send(b"data", (LOOPBACK, port))
    sender.close()
    assert counters.get("datagrams_failed", "send") == 1


class CountingSocket(DatagramSocket):
    """Counts the attempts to read a datagram, and the wake-ups."""

    attempts = 0
    wake_ups = 0

    def read_batch(self) -> int:
        """Count a wake-up."""
        self.wake_ups += 1
        return super().read_batch()

    def read_one(self) -> bool:
        """Count an attempt."""
        self.attempts += 1
        return super().read_one()


async def test_burst_is_read_in_few_wake_ups_and_single_datagrams_in_one_attempt() -> (
    None
):
    received: list[bytes] = []
    receiver = CountingSocket(
        (LOOPBACK, 0),
        lambda data, _sender: received.append(data),
        Counters(),
        PauseDetector(),
    )
    burst = [bytes((number,)) for number in range(200)]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in burst:
            sender.sendto(data, receiver.socket.getsockname())
        await asyncio.sleep(0.05)
        assert received == burst
        assert receiver.wake_ups <= 20
        receiver.attempts = 0
        for _ in range(5):
            sender.sendto(b"single", receiver.socket.getsockname())
            await asyncio.sleep(0.02)
    assert receiver.attempts == 5
    assert received[len(burst) :] == 5 * [b"single"]
    receiver.close()


async def test_many_datagrams_that_are_not_urgent_cause_few_wake_ups() -> None:
    received: list[bytes] = []
    receiver = CountingSocket(
        (LOOPBACK, 0),
        lambda data, _sender: received.append(data),
        Counters(),
        PauseDetector(),
        poll_interval_s=0.02,
    )
    sent = [bytes((number,)) for number in range(100)]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for data in sent:
            sender.sendto(data, receiver.socket.getsockname())
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.1)
        assert received == sent
        assert receiver.wake_ups <= 30
        # After a while without any, a datagram is handled when it arrives.
        sender.sendto(b"single", receiver.socket.getsockname())
        await asyncio.sleep(0.005)
    assert received[-1] == b"single"
    receiver.close()


async def test_socket_can_be_closed_while_it_is_read_at_an_interval() -> None:
    receiver = DatagramSocket(
        (LOOPBACK, 0),
        lambda _data, _sender: None,
        Counters(),
        PauseDetector(),
        poll_interval_s=0.02,
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for _ in range(5):
            sender.sendto(b"data", receiver.socket.getsockname())
            await asyncio.sleep(0.002)
    assert receiver.next_poll is not None
    receiver.close()
    await asyncio.sleep(0.05)
