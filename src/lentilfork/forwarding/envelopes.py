"""Datagrams between balancers and agents: packets with what decided their way.

The first byte is the kind. An envelope carries a caller's packet on its way to
the backend server; a note tells an owner where a flow is served. Other kinds are
protobuf messages of `roster.proto` behind the byte.
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
    """What a datagram is."""

    # To the owner of the flow, which knows or decides where it is served.
    ROUTE = 1
    # To the agent that is to serve the flow.
    DELIVER = 2
    # To the owner: where a flow is served.
    NOTE = 3
    LOAD = 4
    ANNOUNCEMENT = 5
    UPDATE = 6


KINDS: Final = {int(kind): kind for kind in Kind}


@dataclass(slots=True)
class Envelope:
    """A caller's packet with what balancer and owner know about it."""

    kind: Kind
    # Agents that have passed it on after the owner.
    hops: int
    # Identifiers of the service and of the balancer's data centre.
    service: int
    ingress: int
    # Of the route: a caller gives up, an answer is late.
    deadline_ms: int
    target_ms: int
    priority: int
    data: bytes
    # A SYN that was offered before, so that its flow may be open by now.
    repeated: bool = False
    # Socket it came from; None for one that was made here.
    sender: SocketName | None = None


def read_kind(datagram: bytes) -> Kind | None:
    """Return the kind of a datagram, None for an unknown one."""
    return KINDS.get(datagram[0]) if datagram else None


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the datagram of an envelope."""
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
    """Return the envelope in a datagram, None if it is cut short."""
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


def encode_placement_notice(key: bytes, agent: str) -> bytes:
    """Return the note that an agent serves a flow; "" for one that was refused."""
    return bytes((Kind.NOTE,)) + key + agent.encode()


def decode_placement_notice(datagram: bytes) -> tuple[bytes, str] | None:
    """Return flow key and agent of a note, None if it is malformed."""
    if len(datagram) < 1 + KEY_BYTES:
        return None
    try:
        return datagram[1 : 1 + KEY_BYTES], datagram[1 + KEY_BYTES :].decode()
    except UnicodeDecodeError:
        return None
