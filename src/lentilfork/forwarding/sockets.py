"""Non-blocking UDP sockets that are read in batches.

When a process was not scheduled for a while, its sockets contain old datagrams. Their
callers have retransmitted or given up, so these datagrams are dropped unread.
"""

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Final

from lentilfork.clocks import read_clock_ms
from lentilfork.counters import Counters
from lentilfork.logs import Logger

__all__ = ["DatagramSocket", "PauseDetector"]

SocketName = tuple[str, int]
# Datagrams read at one wake-up, so that a flood of them does not delay timers.
BATCH_SIZE: Final = 64
# A wake-up later than this after the one before reads one datagram only: there is
# rarely another, and finding that out takes a system call. Otherwise each wake-up reads
# twice as many as the one before.
BURST_GAP_S: Final = 0.0005
MAXIMUM_DATAGRAM_BYTES: Final = 65_535
# Buffers the packets of some tens of milliseconds under full load.
RECEIVE_BUFFER_BYTES: Final = 1 << 20
# A caller retransmits its SYN for the first time after 200 ms. A datagram that has
# waited for longer than that plus the lateness of timers is better replaced by its
# retransmission.
PAUSE_THRESHOLD_MS: Final = 400
# Minimum time between two log lines about datagrams that could not be handled.
ERROR_LOG_INTERVAL_S: Final = 1.0
# Most datagrams dropped from a socket after a pause; the receive buffer holds fewer.
MAXIMUM_PENDING: Final = 65_536

log = Logger("process")


class PauseDetector:
    """Detects from the time since boot that this process was not scheduled."""

    # Time of the last check, milliseconds since boot.
    last_check_ms: int
    # Time of the check that found the last pause; None without one.
    resumed_ms: int | None
    # Sockets whose datagrams are dropped after a pause.
    sockets: list["DatagramSocket"]

    def __init__(self) -> None:
        self.last_check_ms = read_clock_ms()
        self.resumed_ms = None
        self.sockets = []

    def check(self) -> bool:
        """Return whether the process was paused since the last check."""
        now_ms = read_clock_ms()
        paused_ms = now_ms - self.last_check_ms
        self.last_check_ms = now_ms
        if paused_ms <= PAUSE_THRESHOLD_MS:
            return False
        log.warning("process did not run", paused_ms=paused_ms)
        self.resumed_ms = now_ms
        return True

    def has_paused(self, window_ms: int) -> bool:
        """Return whether a pause ended within a window before now.

        Also if no check has found it yet; that check still does.
        """
        now_ms = read_clock_ms()
        if now_ms - self.last_check_ms > PAUSE_THRESHOLD_MS:
            return True
        return self.resumed_ms is not None and now_ms - self.resumed_ms <= window_ms

    def drop_pending(self) -> None:
        """Drop all datagrams that wait in the registered sockets."""
        for pending in self.sockets:
            pending.drop_pending()


class DatagramSocket:
    """One bound UDP socket."""

    socket: socket.socket
    counters: Counters
    pause_detector: PauseDetector
    # Called with each datagram and its sender. An exception drops the datagram.
    handle_datagram: Callable[[bytes, SocketName], None]
    last_error_logged_at: float
    last_read_at: float
    # Most datagrams to read at the next wake-up of a burst.
    batch_size: int
    # While datagrams arrive in quicker succession than this, the socket is read at this
    # interval instead of at each arrival; 0 for a socket whose datagrams are urgent.
    poll_interval_s: float
    # The next read of a socket that is read at an interval.
    next_poll: asyncio.TimerHandle | None

    def __init__(
        self,
        address: SocketName,
        handle_datagram: Callable[[bytes, SocketName], None],
        counters: Counters,
        pause_detector: PauseDetector,
        *,
        keep_after_pause: bool = False,
        poll_interval_s: float = 0.0,
    ) -> None:
        """Bind the address; raises OSError if it is in use.

        If `keep_after_pause` is set, datagrams that arrived during a pause are handled
        instead of being dropped.
        """
        self.poll_interval_s = poll_interval_s
        self.next_poll = None
        self.counters = counters
        self.pause_detector = pause_detector
        self.handle_datagram = handle_datagram
        self.last_error_logged_at = float("-inf")
        self.last_read_at = float("-inf")
        self.batch_size = 1
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
            pause_detector.sockets.append(self)
        asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)

    def read(self) -> None:
        """Handle the datagrams that have arrived, up to one batch."""
        gap_s = time.monotonic() - self.last_read_at
        is_burst = gap_s <= BURST_GAP_S
        self.batch_size = min(2 * self.batch_size, BATCH_SIZE) if is_burst else 1
        self.read_batch()
        if gap_s < self.poll_interval_s:
            asyncio.get_running_loop().remove_reader(self.socket.fileno())
            self.batch_size = BATCH_SIZE
            self.schedule_poll(self.poll_interval_s)

    def schedule_poll(self, delay_s: float) -> None:
        """Read the socket after a delay."""
        self.next_poll = asyncio.get_running_loop().call_later(delay_s, self.poll)

    def poll(self) -> None:
        """Handle the datagrams that have arrived since the last read at the interval.

        Without any, the socket is read at the next arrival again.
        """
        handled = self.read_batch()
        if handled == BATCH_SIZE:
            self.schedule_poll(0.0)
        elif handled:
            self.schedule_poll(self.poll_interval_s)
        else:
            self.next_poll = None
            asyncio.get_running_loop().add_reader(self.socket.fileno(), self.read)

    def read_batch(self) -> int:
        """Handle up to `batch_size` datagrams; return their number."""
        if self.pause_detector.check():
            self.pause_detector.drop_pending()
        handled = 0
        while handled < self.batch_size and self.read_one():
            handled += 1
        self.last_read_at = time.monotonic()
        return handled

    def read_one(self) -> bool:
        """Handle one datagram; return False if none was waiting."""
        try:
            data, sender = self.socket.recvfrom(MAXIMUM_DATAGRAM_BYTES)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            # An ICMP error of a datagram sent earlier; nothing was received.
            self.counters.add("datagrams_failed", "receive")
            return False
        try:
            self.handle_datagram(data, sender)
        except Exception as error:
            self.record_error(error, sender)
        return True

    def record_error(self, error: Exception, sender: SocketName) -> None:
        """Count a datagram that could not be handled; log one of them each second."""
        self.counters.add("datagrams_dropped", "error")
        now = time.monotonic()
        if now - self.last_error_logged_at >= ERROR_LOG_INTERVAL_S:
            self.last_error_logged_at = now
            log.critical(
                "datagram not handled",
                sender=sender[0],
                error=repr(error),
                exc_info=True,
            )

    def drop_pending(self) -> None:
        """Drop all datagrams that have arrived so far."""
        for _ in range(MAXIMUM_PENDING):
            try:
                self.socket.recv(MAXIMUM_DATAGRAM_BYTES)
            except OSError:
                # The buffer is empty, or an ICMP error of an earlier datagram was
                # pending.
                return
            self.counters.add("datagrams_dropped", "waited_in_pause")

    def send(self, data: bytes, address: SocketName) -> None:
        """Send a datagram; if it cannot be sent immediately, drop and count it."""
        try:
            self.socket.sendto(data, address)
        except (BlockingIOError, InterruptedError):
            self.counters.add("datagrams_failed", "full")
        except (OSError, OverflowError):
            # `sendto` raises OverflowError for a port out of range.
            self.counters.add("datagrams_failed", "send")

    def close(self) -> None:
        """Close the socket."""
        if self.next_poll is not None:
            self.next_poll.cancel()
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()
