"""Socket addresses as text, "ip:port", as used in settings and messages."""

import ipaddress
from functools import lru_cache
from typing import Final

__all__ = ["MAXIMUM_PORT", "check_socket_address", "parse_address", "split_address"]

MAXIMUM_PORT: Final = 65535
# Messages repeat the addresses of all processes many times a second.
CACHED_ADDRESSES: Final = 4096


def check_socket_address(text: str) -> str:
    """Return `text` if it is an IPv4 address and a port; raise ValueError otherwise."""
    host, separator, port = text.rpartition(":")
    is_numeric = separator and port.isascii() and port.isdigit()
    if not is_numeric or not 0 < int(port) <= MAXIMUM_PORT:
        raise ValueError("expected IPv4:PORT, such as 127.0.0.1:7000")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("expected IPv4:PORT, such as 127.0.0.1:7000") from None
    return text


@lru_cache(CACHED_ADDRESSES)
def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of an "ip:port" text from another process.

    Raises ValueError unless a socket can send to it.
    """
    return split_address(check_socket_address(text))


def split_address(text: str) -> tuple[str, int]:
    """Split a valid "ip:port" text into the IP address and the port."""
    host, _, port = text.rpartition(":")
    return host, int(port)
