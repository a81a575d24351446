"""Packets of flows whose ends lie outside the system.

The header is read by a codec of the border; here stand the fields that decide
where a packet goes. The content is never changed, apart from the tag, which the
endpoints' checksum leaves out.
"""

import struct
from dataclasses import dataclass
from enum import IntFlag
from typing import Final
from typing import Protocol

import xxhash

__all__ = [
    "KEY",
    "SEQUENCE_MODULUS",
    "FlowPacket",
    "PacketCodec",
    "PacketFlags",
    "hash_name",
    "make_caller_key",
    "make_server_key",
]

KEY: Final = struct.Struct("!IHIH")
SEQUENCE_MODULUS: Final = 1 << 32


class PacketFlags(IntFlag):
    """What a packet does to its flow."""

    SYN = 1
    ACK = 2
    FIN = 4
    RST = 8
    # Returned by a backend server that does not hold or cannot take the flow.
    REJECTED = 16


@dataclass(slots=True)
class FlowPacket:
    """The header of one packet; addresses are IPv4 addresses as numbers."""

    source: int
    source_port: int
    destination: int
    destination_port: int
    flags: int
    sequence: int
    # Of a SYN: how many copies were sent before it.
    acknowledgement: int
    payload_bytes: int
    # Comes back unchanged in a rejected packet; 0 from callers.
    tag: int
    # The whole datagram.
    data: bytes

    @property
    def is_opening(self) -> bool:
        """Whether this is the caller's SYN."""
        return self.flags & (PacketFlags.SYN | PacketFlags.ACK) == PacketFlags.SYN


class PacketCodec(Protocol):
    """Reads and writes packets in the format of the border."""

    def parse(self, data: bytes) -> FlowPacket | None:
        """Return the packet in a datagram, None if it is malformed."""

    def read_request_id(self, packet: FlowPacket) -> str:
        """Return the id that a request carries in clear, "" if there is none."""

    def is_failure(self, packet: FlowPacket) -> bool:
        """Tell whether an answer that begins in a packet is a server's failure."""

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Return a packet with another tag and not marked as rejected."""

    def make_reset(self, packet: FlowPacket) -> bytes:
        """Return the reset that answers a caller's packet."""


def make_caller_key(packet: FlowPacket) -> bytes:
    """Return the key of the flow of a caller's packet."""
    return KEY.pack(
        packet.source, packet.source_port, packet.destination, packet.destination_port
    )


def make_server_key(packet: FlowPacket) -> bytes:
    """Return the key of the flow of a backend server's packet."""
    return KEY.pack(
        packet.destination, packet.destination_port, packet.source, packet.source_port
    )


def hash_name(name: str) -> int:
    """Return the 32-bit identifier under which envelopes carry a name."""
    return xxhash.xxh32_intdigest(name.encode())
