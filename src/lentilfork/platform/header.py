"""The platform's packet header, converted to the product's packets and back."""

import re
import struct
from typing import Final

from lentilfork.forwarding.packets import FlowPacket
from lentilfork.forwarding.packets import PacketFlags

__all__ = ["HeaderCodec"]

# echo, dport, dst, src, sport, seq, ack, sum, flags, len. The destination's port
# precedes its address, while the source's port follows its address.
HEADER: Final = struct.Struct("!IHIIHIIIBH")
ECHO: Final = struct.Struct("!I")
FLAGS_OFFSET: Final = 28
# The product's flag for each bit of the header's flags.
FLAGS_BY_BIT: Final = {
    4: PacketFlags.SYN,
    2: PacketFlags.ACK,
    32: PacketFlags.FIN,
    8: PacketFlags.RST,
    16: PacketFlags.REJECTED,
}
# HTTP header names are not case-sensitive; ids have up to 64 printable characters.
REQUEST_ID_PATTERN: Final = re.compile(rb"(?i)\r\nattempt-id: *([!-~]{1,64})\r\n")
# The whole head of a request whose length its Content-Length gives; 0 without one.
REQUEST_PATTERN: Final = re.compile(
    rb"(?i)[A-Z]+ \S+ HTTP/1\.1\r\n(?:Content-Length:[ \t]*(\d{1,9})[ \t]*\r\n|"
    rb"(?!Content-Length:|Transfer-Encoding:)[^\r\n]+\r\n)*+\r\n"
)
RST_BIT: Final = 8
BOUNCED_BIT: Final = 16
# The product's flags for each value of the header's byte, to avoid a loop per packet.
FLAGS_BY_BYTE: Final = tuple(
    int(sum(flag for bit, flag in FLAGS_BY_BIT.items() if byte & bit))
    for byte in range(256)
)
# First bytes of a response whose status is 500 or more.
SERVER_ERROR_PREFIX: Final = b"HTTP/1.1 5"


class HeaderCodec:
    """Reads and writes the platform's header."""

    def parse(self, data: bytes) -> FlowPacket | None:
        """Return the packet in a datagram, None if its length does not match."""
        if len(data) < HEADER.size:
            return None
        echo, dport, dst, src, sport, seq, ack, _sum, flags, length = (
            HEADER.unpack_from(data)
        )
        if len(data) != HEADER.size + length:
            return None
        return FlowPacket(
            src, sport, dst, dport, FLAGS_BY_BYTE[flags], seq, ack, length, echo, data
        )

    def read_request_id(self, packet: FlowPacket) -> str:
        """Return the Attempt-Id of a request that begins in a packet, "" if none."""
        match = REQUEST_ID_PATTERN.search(packet.data, HEADER.size)
        return match.group(1).decode("ascii", "replace") if match else ""

    def measure_request(self, packet: FlowPacket) -> int | None:
        """Return the bytes of a request whose head is in a packet, None if unknown."""
        head = REQUEST_PATTERN.match(packet.data, HEADER.size)
        return head.end() - HEADER.size + int(head[1] or 0) if head else None

    def is_failure(self, packet: FlowPacket) -> bool:
        """Return whether a response that begins in a packet has a status of 5xx."""
        return packet.data.startswith(SERVER_ERROR_PREFIX, HEADER.size)

    def write_tag(self, data: bytes, tag: int) -> bytes:
        """Return a packet with `tag` as its echo field and without the BOUNCED flag.

        The checksum covers neither field, so it stays valid.
        """
        flags = data[FLAGS_OFFSET] & ~BOUNCED_BIT
        rest = data[ECHO.size : FLAGS_OFFSET], bytes((flags,)), data[FLAGS_OFFSET + 1 :]
        return b"".join((ECHO.pack(tag), *rest))

    def make_reset(self, packet: FlowPacket) -> bytes:
        """Return the reset that answers a caller's packet: no data and checksum 0."""
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
