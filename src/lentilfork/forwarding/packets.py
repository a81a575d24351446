"""Packets of forwarded flows, whose two ends are outside this system.

A `PacketCodec` reads the header in the platform's format; this module defines the
header fields that forwarding uses. Packets are never changed, apart from the tag, which
the endpoints' checksum does not cover.
"""

import struct
from dataclasses import dataclass
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


class PacketFlags:
    """Flags in the header of a packet, as bits of a number.

    They are not an `IntFlag`, whose operators take a microsecond each.
    """

    SYN: Final = 1
    ACK: Final = 2
    FIN: Final = 4
    RST: Final = 8
    # Returned by a backend server that does not hold or cannot accept the flow.
    REJECTED: Final = 16


@dataclass(slots=True)
class FlowPacket:
    """The header of one packet; addresses are IPv4 addresses as numbers."""

    source: int
    source_port: int
    destination: int
    destination_port: int
    flags: int
    sequence: int
    # In a SYN: the number of SYNs that the caller has sent before it for this flow.
    acknowledgement: int
    payload_bytes: int
    # Returned unchanged in a rejected packet; 0 in packets of callers.
    tag: int
    # The whole datagram.
    data: bytes

    @property
    def is_opening(self) -> bool:
        """Whether this is the caller's SYN."""
        return self.flags & (PacketFlags.SYN | PacketFlags.ACK) == PacketFlags.SYN


class PacketCodec(Protocol):
    """Reads and writes packets in the platform's format."""

    def parse(self, data: bytes) -> FlowPacket | None:
        """Return the packet in a datagram, or None if it is malformed."""

    def read_request_id(self, packet: FlowPacket) -> str:
        """Return the unencrypted id of a request, or "" if there is none."""

    def measure_request(self, packet: FlowPacket) -> int | None:
        """Return the bytes of a request's head and body from its first packet.

        None if the head is not complete in this packet, or if the length is unknown.
        """

    def is_failure(self, packet: FlowPacket) -> bool:
        """Return whether an answer that begins in a packet reports a server failure."""

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Return a packet with another tag and with the REJECTED flag cleared."""

    def make_reset(self, packet: FlowPacket) -> bytes:
        """Return the reset packet that replies to a caller's packet."""


def make_caller_key(packet: FlowPacket) -> bytes:
    """Return the flow key of a packet that a caller sent."""
    return KEY.pack(
        packet.source, packet.source_port, packet.destination, packet.destination_port
    )


def make_server_key(packet: FlowPacket) -> bytes:
    """Return the flow key of a packet that a backend server sent."""
    return KEY.pack(
        packet.destination, packet.destination_port, packet.source, packet.source_port
    )


def hash_name(name: str) -> int:
    """Return the 32-bit identifier that represents a name in envelopes."""
    return xxhash.xxh32_intdigest(name.encode())
