"""A path with packet loss as TCP shows it: data waits for retransmissions."""

import asyncio
import time
from typing import Final

from lentilfork.bench.faults import Direction
from lentilfork.bench.tcp_proxy import CHUNK_BYTES
from lentilfork.bench.tcp_proxy import TcpProxy

# First retransmission timeout of the kernel; doubles with each further loss.
FIRST_TIMEOUT_S: Final = 0.2


class LossyProxy(TcpProxy):
    """Delays each chunk by the timeouts its losses would cost; order is kept."""

    async def read_chunks(
        self,
        direction: Direction,
        reader: asyncio.StreamReader,
        chunks: asyncio.Queue[tuple[float, bytes]],
    ) -> None:
        """Queue what is read with the time it is due; an empty chunk is the end."""
        chunk = b"-"
        while chunk:
            chunk = await reader.read(CHUNK_BYTES)
            delay_s = 0.0
            timeout_s = FIRST_TIMEOUT_S
            while self.happens(self.faults.drop):
                delay_s += timeout_s
                timeout_s *= 2
            await chunks.put((time.monotonic() + delay_s, chunk))
