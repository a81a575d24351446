"""A TCP path with packet loss: lost data is delayed until its retransmission."""

import asyncio
import time
from typing import Final

from lentilfork.bench.faults import Direction
from lentilfork.bench.tcp_proxy import CHUNK_BYTES
from lentilfork.bench.tcp_proxy import TcpProxy

# First retransmission timeout of the kernel; doubles with each further loss.
FIRST_TIMEOUT_S: Final = 0.2


class LossyProxy(TcpProxy):
    """Delays each chunk by the retransmission timeouts of its losses, in order."""

    async def read_chunks(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        chunks: asyncio.Queue[tuple[float, bytes]],
    ) -> None:
        """Queue each chunk with its delivery time; an empty chunk marks the end."""
        chunk = b"-"
        while chunk:
            chunk = await reader.read(CHUNK_BYTES)
            delay_s = 0.0
            timeout_s = FIRST_TIMEOUT_S
            while self.draw_fault(self.faults.drop):
                delay_s += timeout_s
                timeout_s *= 2
            await chunks.put((time.monotonic() + delay_s, chunk))
