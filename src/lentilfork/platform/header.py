"""The platform's packet header, read into the product's packets and back."""

import re
import struct
from typing import Final

from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import PacketFlags

__all__ = ["HeaderCodec"]

# echo, dport, dst, src, sport, seq, ack, sum, flags, len: the destination's port
# stands before its address, the source's port after.
HEADER: Final = struct.Struct("!IHIIHIIIBH")
ECHO: Final = struct.Struct("!I")
FLAGS_OFFSET: Final = 28
# Bits of the wire, one for each of the product's flags.
WIRE_FLAGS: Final = {
    4: PacketFlags.SYN,
    2: PacketFlags.ACK,
    32: PacketFlags.FIN,
    8: PacketFlags.RST,
    16: PacketFlags.REJECTED,
}
# Names of headers are matched whatever their case; ids are short words.
REQUEST_ID: Final = re.compile(rb"(?i)\r\nattempt-id: *([!-~]{1,64})\r\n")
RST_BIT: Final = 8
BOUNCED_BIT: Final = 16
# The product's flags for every value of the wire's byte.
FLAGS: Final = tuple(
    int(sum(flag for bit, flag in WIRE_FLAGS.items() if byte & bit))
    for byte in range(256)
)
FAILED_STATUS: Final = b"HTTP/1.1 5"


class HeaderCodec:
    """Reads and writes the platform's header."""

    def parse(self, data: bytes) -> FlowPacket | None:
        """Return the packet in a datagram, None if it is cut short."""
        if len(data) < HEADER.size:
            return None
        echo, dport, dst, src, sport, seq, ack, _sum, flags, length = (
            HEADER.unpack_from(data)
        )
        if len(data) != HEADER.size + length:
            return None
        return FlowPacket(
            src, sport, dst, dport, FLAGS[flags], seq, ack, length, echo, data
        )

    def read_request_id(self, packet: FlowPacket) -> str:
        """Return the Attempt-Id header of the request that begins in a packet."""
        found = REQUEST_ID.search(packet.data, HEADER.size)
        return found.group(1).decode("ascii", "replace") if found else ""

    def is_failure(self, packet: FlowPacket) -> bool:
        """Tell whether the HTTP status in a response's first packet is 500 or more."""
        return packet.data.startswith(FAILED_STATUS, HEADER.size)

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Return a packet with another echo and without the mark of a bounce.

        Neither is covered by the checksum.
        """
        flags = data[FLAGS_OFFSET] & ~BOUNCED_BIT
        return b"".join(
            (
                ECHO.pack(tag),
                data[ECHO.size : FLAGS_OFFSET],
                bytes((flags,)),
                data[FLAGS_OFFSET + 1 :],
            )
        )

    def make_reset(self, packet: FlowPacket) -> bytes:
        """Return the reset that answers a client's packet: no data and sum 0."""
        return HEADER.pack(
            0,
            packet.source_port,
            packet.source,
            packet.destination,
            packet.destination_port,
            packet.acknowledgement,
            0,
            0,
            RST_BIT,
            0,
        )
