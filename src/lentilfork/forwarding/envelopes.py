"""Datagrams between the processes that forward flows.

The first byte of a datagram is its kind. An envelope is a tunnel header and a packet of
a caller on its way to the backend server. A placement notice informs an owner where a
flow is served. All other kinds carry a protobuf message of `roster.proto` after the
first byte.
"""

import struct
from dataclasses import dataclass
from enum import IntEnum
from enum import unique
from typing import Final

__all__ = [
    "KEY_BYTES",
    "Envelope",
    "Kind",
    "decode_envelope",
    "decode_placement_notice",
    "encode_envelope",
    "encode_placement_notice",
    "read_kind",
]

SocketName = tuple[str, int]
HEADER: Final = struct.Struct("!BBIIHHB?")
KEY_BYTES: Final = 12
MAXIMUM_MS: Final = 0xFFFF
MAXIMUM_BYTE: Final = 0xFF


@unique
class Kind(IntEnum):
    """Kind of a datagram; the value is its first byte."""

    # Envelope to the owner of the flow, which knows or decides where it is served.
    ROUTE = 1
    # Envelope to the agent that is to serve the flow.
    DELIVER = 2
    # Placement notice to the owner: the agent whose backend server has answered a SYN.
    NOTE = 3
    LOAD = 4
    ANNOUNCEMENT = 5
    UPDATE = 6
    # Asks an agent for its load reports; has no content.
    LOAD_SUBSCRIPTION = 7
    # Envelope like `DELIVER`, of a packet whose flow is searched in reverse order.
    SEARCH_BACK = 8
    # Placement notice to the owner: the agent whose backend server the caller uses.
    CHOICE = 9


KINDS: Final = {int(kind): kind for kind in Kind}


@dataclass(slots=True)
class Envelope:
    """A caller's packet with the tunnel header that balancer and owner fill in."""

    kind: Kind
    # Number of agents after the owner that have forwarded the packet.
    hops: int
    # Identifiers of the service and of the balancer's data centre.
    service: int
    ingress: int
    # Limits of the route: the caller gives up after `deadline_ms`, and an answer is
    # late after `target_ms`.
    deadline_ms: int
    target_ms: int
    priority: int
    data: bytes
    # Whether the SYN of this flow was also offered to another agent, where the flow may
    # be open, or this is a copy for the owner under another service. An agent that
    # delivers such a packet to an open flow notifies the owner.
    repeated: bool = False
    # Address that the envelope came from; None if it was made in this process.
    sender: SocketName | None = None


def read_kind(datagram: bytes) -> Kind | None:
    """Return the kind of a datagram, or None if it is unknown."""
    return KINDS.get(datagram[0]) if datagram else None


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the datagram of an envelope; too large times are capped."""
    head = HEADER.pack(
        envelope.kind,
        envelope.hops,
        envelope.service,
        envelope.ingress,
        min(envelope.deadline_ms, MAXIMUM_MS),
        min(envelope.target_ms, MAXIMUM_MS),
        min(envelope.priority, MAXIMUM_BYTE),
        envelope.repeated,
    )
    return head + envelope.data


def decode_envelope(
    datagram: bytes, sender: SocketName | None = None
) -> Envelope | None:
    """Return the envelope in a datagram, or None if it is truncated."""
    if len(datagram) <= HEADER.size:
        return None
    kind, hops, service, ingress, deadline, target, priority, repeated = (
        HEADER.unpack_from(datagram)
    )
    return Envelope(
        KINDS[kind],
        hops,
        service,
        ingress,
        deadline,
        target,
        priority,
        datagram[HEADER.size :],
        repeated,
        sender,
    )


def encode_placement_notice(key: bytes, agent: str, *, chosen: bool = False) -> bytes:
    """Return the notice that an agent serves a flow; "" if the flow was refused.

    `chosen` says that the caller has acknowledged this agent's backend server.
    """
    kind = Kind.CHOICE if chosen else Kind.NOTE
    return bytes((kind,)) + key + agent.encode()


def decode_placement_notice(datagram: bytes) -> tuple[bytes, str] | None:
    """Return the flow key and the agent of a notice, or None if it is malformed."""
    if len(datagram) < 1 + KEY_BYTES:
        return None
    try:
        return datagram[1 : 1 + KEY_BYTES], datagram[1 + KEY_BYTES :].decode()
    except UnicodeDecodeError:
        return None
