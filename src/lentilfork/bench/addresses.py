"""Loopback addresses for processes on one machine.

Each run allocates its own block of 254 addresses, so concurrent runs never share a
port. A bound socket locks the block until it is closed or the process exits.
"""

import itertools
import random
import socket
from collections.abc import Iterator
from typing import Final

__all__ = ["AddressBlock"]

LOCK_HOST: Final = 254
LOCK_PORT: Final = 20_099
SECOND_OCTET_START: Final = 20
SECOND_OCTET_END: Final = 250


class AddressBlock:
    """A /24 of the loopback range that no other run uses."""

    # First three octets, such as "127.20.7".
    prefix: str
    # Socket that locks the block; stays open while the block is in use.
    lock: socket.socket
    # Last octets of the addresses that are not allocated yet.
    hosts: Iterator[int]

    def __init__(self) -> None:
        self.prefix, self.lock = acquire_block()
        self.hosts = iter(range(1, LOCK_HOST))

    def allocate_host(self) -> str:
        """Return the next unused IP address of the block."""
        return f"{self.prefix}.{next(self.hosts)}"

    def allocate_address(self, port: int) -> str:
        """Return "ip:port" on an unused IP address."""
        return f"{self.allocate_host()}:{port}"

    def close(self) -> None:
        """Release the block."""
        self.lock.close()


def acquire_block() -> tuple[str, socket.socket]:
    """Return the prefix of a free block and the socket that locks it."""
    prefixes = [
        f"127.{second}.{third}"
        for second, third in itertools.product(
            range(SECOND_OCTET_START, SECOND_OCTET_END), range(256)
        )
    ]
    random.shuffle(prefixes)
    for prefix in prefixes:
        lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock.bind((f"{prefix}.{LOCK_HOST}", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return prefix, lock
    raise RuntimeError("no free block of loopback addresses")
