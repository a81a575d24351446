"""Texts of socket addresses, "ip:port", as settings and messages carry them."""

import ipaddress
from typing import Annotated
from typing import Final

from pydantic import AfterValidator
from pydantic import Field

__all__ = ["SocketAddress", "check_socket_address", "split_address"]

MAXIMUM_PORT: Final = 65535


def check_socket_address(text: str) -> str:
    """Return `text` if it is an IPv4 address and a port, else raises ValueError."""
    host, separator, port = text.rpartition(":")
    digits = separator and port.isascii() and port.isdigit()
    if not digits or not 0 < int(port) <= MAXIMUM_PORT:
        raise ValueError("expected IPv4:PORT, such as 127.0.0.1:7000")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError("expected IPv4:PORT, such as 127.0.0.1:7000") from None
    return text


SocketAddress = Annotated[
    str,
    AfterValidator(check_socket_address),
    # For editors; the validator above is stricter.
    Field(
        json_schema_extra={
            "pattern": r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$",
            "examples": ["10.0.0.1:7000"],
        }
    ),
]


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port of a checked "ip:port" text."""
    host, _, port = text.rpartition(":")
    return host, int(port)
