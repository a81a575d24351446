"""UDP sockets that are read in batches and never block.

A process that did not run for a while finds datagrams that waited meanwhile. The
callers behind them have sent copies or given up, so these are dropped unread.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from lentilfork.clocks import read_clock_ms
from lentilfork.counters import Counters
from lentilfork.logs import Logger

__all__ = ["DatagramSocket", "PauseDetector"]

SocketName = tuple[str, int]
# Datagrams taken at one wake-up, so that timers are not held up by a flood.
BATCH_SIZE: Final = 64
MAXIMUM_DATAGRAM_BYTES: Final = 65_535
# Holds the packets of a pause of some tens of milliseconds under full load.
RECEIVE_BUFFER_BYTES: Final = 1 << 20
# A caller sends the first copy of a SYN after 200 ms; what waited for longer than
# that and the timers' own lateness is better served by the copy.
PAUSE_THRESHOLD_MS: Final = 400
# More than the receive buffer holds.
MAXIMUM_PENDING: Final = 65_536

log = Logger("process")


class PauseDetector:
    """Tells when this process did not run, from the time since boot."""

    # Last time at which the process was seen running, milliseconds.
    last_check_ms: int
    sockets: list["DatagramSocket"]

    def __init__(self) -> None:
        self.last_check_ms = read_clock_ms()
        self.sockets = []

    def check(self) -> bool:
        """Note that the process runs; tells whether it did not for a while."""
        now_ms = read_clock_ms()
        paused_ms = now_ms - self.last_check_ms
        self.last_check_ms = now_ms
        if paused_ms <= PAUSE_THRESHOLD_MS:
            return False
        log.warning("process did not run", paused_ms=paused_ms)
        return True

    def drop_pending(self) -> None:
        """Drop what waits in the sockets of this process."""
        for pending in self.sockets:
            pending.drop_pending()


class DatagramSocket:
    """One bound UDP socket."""

    socket: socket.socket
    counters: Counters
    pauses: PauseDetector
    # Called with each datagram and where it came from.
    handle_datagram: Callable[[bytes, SocketName], None]

    def __init__(
        self,
        address: SocketName,
        handle_datagram: Callable[[bytes, SocketName], None],
        counters: Counters,
        pauses: PauseDetector,
        *,
        keep_after_pause: bool = False,
    ) -> None:
        """Bind the address; raises OSError if it is in use.

        `keeps_waiting`: what arrived during a pause is taken all the same.
        """
        self.counters = counters
        self.pauses = pauses
        self.handle_datagram = handle_datagram
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            self.socket.setblocking(False)
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise
        if not keep_after_pause:
            pauses.sockets.append(self)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)

    def read(self) -> None:
        """Take what has arrived, up to one batch."""
        if self.pauses.check():
            self.pauses.drop_pending()
        receive = self.socket.recvfrom
        for _ in range(BATCH_SIZE):
            try:
                data, sender = receive(MAXIMUM_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                # An earlier datagram met a closed port; nothing was received.
                self.counters.add("datagrams_failed", "receive")
                return
            self.handle_datagram(data, sender)

    def drop_pending(self) -> None:
        """Drop what has arrived so far."""
        for _ in range(MAXIMUM_PENDING):
            try:
                self.socket.recv(MAXIMUM_DATAGRAM_BYTES)
            except OSError:
                # Empty, or an earlier datagram met a closed port.
                return
            self.counters.add("datagrams_dropped", "waited_in_pause")

    def send(self, data: bytes, address: SocketName) -> None:
        """Send a datagram; one that cannot leave now is dropped and counted."""
        try:
            self.socket.sendto(data, address)
        except (BlockingIOError, InterruptedError):
            self.counters.add("datagrams_failed", "full")
        except OSError:
            self.counters.add("datagrams_failed", "send")

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
