"""Packets of the fabric: IPv4 packets with UDP, each tunnelled in one datagram.

The fabric sends GUE variant 1, an IETF draft form of tunnelling without a header of
its own, so the payload of a datagram is the IPv4 packet. Any other payload is dropped
with a reason that is counted. This module reads nothing above the UDP header.
"""

import socket
from dataclasses import dataclass
from typing import Final

import dpkt

from lentilfork.errors import DropReason

__all__ = ["Packet", "SocketPair", "build_packet", "parse_packet"]

# Bytes of an IPv4 header without options and a UDP header.
MINIMUM_PACKET_BYTES: Final = 28
# Largest packet in bytes that fits into one datagram together with its envelope.
MAXIMUM_PACKET_BYTES: Final = 65_000
IPV4_VERSION: Final = 4
# Mask of the "more fragments" flag and the fragment offset.
MORE_FRAGMENTS_AND_OFFSET: Final = 0x3FFF


@dataclass(frozen=True, slots=True)
class SocketPair:
    """Addresses (4 bytes in network order) and UDP ports of a flow's two sockets."""

    caller_address: bytes
    caller_port: int
    service_address: bytes
    service_port: int

    def caller_key(self) -> bytes:
        """Return 6 bytes that identify the caller's socket."""
        return self.caller_address + self.caller_port.to_bytes(2, "big")

    def flow_key(self) -> bytes:
        """Return 12 bytes that identify the flow."""
        return (
            self.caller_key()
            + self.service_address
            + self.service_port.to_bytes(2, "big")
        )

    def describe_caller(self) -> str:
        """Return the caller's socket as "ip:port"."""
        return f"{socket.inet_ntoa(self.caller_address)}:{self.caller_port}"


@dataclass(frozen=True, slots=True)
class Packet:
    """A caller's packet: its flow and the UDP payload."""

    pair: SocketPair
    payload: bytes


def parse_packet(data: bytes) -> Packet | DropReason:
    """Return the caller's packet in a datagram, or why it must be dropped."""
    if len(data) < MINIMUM_PACKET_BYTES:
        return DropReason.TRUNCATED
    if len(data) > MAXIMUM_PACKET_BYTES:
        return DropReason.OVERSIZED
    if data[0] >> 4 != IPV4_VERSION:
        return DropReason.NOT_IPV4
    if data[9] != dpkt.ip.IP_PROTO_UDP:
        return DropReason.NOT_UDP
    if int.from_bytes(data[6:8], "big") & MORE_FRAGMENTS_AND_OFFSET:
        return DropReason.FRAGMENT
    if int.from_bytes(data[2:4], "big") != len(data):
        return DropReason.TRUNCATED
    try:
        ip = dpkt.ip.IP(data)
    except (dpkt.UnpackError, ValueError):
        return DropReason.TRUNCATED
    udp = ip.data
    if not isinstance(udp, dpkt.udp.UDP) or udp.ulen != len(udp):
        return DropReason.TRUNCATED
    pair = SocketPair(ip.src, udp.sport, ip.dst, udp.dport)
    return Packet(pair, bytes(udp.data))


def build_packet(pair: SocketPair, payload: bytes, *, to_caller: bool) -> bytes:
    """Return an IPv4 packet with a UDP payload, to or from the flow's caller."""
    sockets = [
        (pair.caller_address, pair.caller_port),
        (pair.service_address, pair.service_port),
    ]
    if to_caller:
        sockets.reverse()
    (source, source_port), (target, target_port) = sockets
    udp = dpkt.udp.UDP(sport=source_port, dport=target_port, data=payload)
    udp.ulen = len(udp)
    ip = dpkt.ip.IP(src=source, dst=target, p=dpkt.ip.IP_PROTO_UDP, data=udp)
    ip.len = len(ip)
    return bytes(ip)
