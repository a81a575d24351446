"""Checksummed frames, in which records are written to a file.

A frame is a header (magic, payload length, CRC-32 of the payload, CRC-32 of the
header fields before it) and the payload. Each write to the log is one frame, and the
next frame is written only after the previous one was synced. A crash can therefore
tear only the last frame; a damaged frame followed by an intact one means that the
file is damaged.
"""

import struct
import zlib
from dataclasses import dataclass
from typing import Final

from result import Err
from result import Ok
from result import Result

from lentilfork.errors import Failure

__all__ = ["MAXIMUM_FRAME_BYTES", "FrameScan", "encode_frame", "scan_frames"]

MAGIC: Final = b"LFR1"
HEADER: Final = struct.Struct("<4sIII")
CHECKED_HEADER: Final = struct.Struct("<4sII")
MAXIMUM_FRAME_BYTES: Final = 256 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class FrameScan:
    """Payloads of the intact frames of a file."""

    payloads: list[bytes]
    # Length of the intact part in bytes; a torn last frame may follow.
    intact_bytes: int


def encode_frame(payload: bytes) -> bytes:
    """Return a frame: the payload preceded by its header."""
    checked = CHECKED_HEADER.pack(MAGIC, len(payload), zlib.crc32(payload))
    return checked + struct.pack("<I", zlib.crc32(checked)) + payload


def read_frame(content: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, or None if it is not intact."""
    if offset + HEADER.size > len(content):
        return None
    magic, length, payload_crc, header_crc = HEADER.unpack_from(content, offset)
    checked = content[offset : offset + CHECKED_HEADER.size]
    if magic != MAGIC or zlib.crc32(checked) != header_crc:
        return None
    payload = content[offset + HEADER.size : offset + HEADER.size + length]
    if len(payload) != length or zlib.crc32(payload) != payload_crc:
        return None
    return payload


def find_intact_frame(content: bytes, offset: int) -> int:
    """Return the offset of the first intact frame from `offset` on, or -1."""
    found = content.find(MAGIC, offset)
    while found >= 0 and read_frame(content, found) is None:
        found = content.find(MAGIC, found + 1)
    return found


def scan_frames(content: bytes, file: str) -> Result[FrameScan, Failure]:
    """Return the intact frames of a file, ignoring a torn last one.

    Fails if an intact frame follows a damaged one. `file` is used in the error.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(content):
        payload = read_frame(content, offset)
        if payload is None:
            break
        payloads.append(payload)
        offset += HEADER.size + len(payload)
    if find_intact_frame(content, offset + 1) >= 0:
        return Err(Failure("read records", file, f"damaged record at offset {offset}"))
    return Ok(FrameScan(payloads, offset))
