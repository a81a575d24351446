"""Formatting of replies as JSON and as tables with aligned columns."""

import json
from collections.abc import Iterable
from collections.abc import Sequence
from datetime import UTC
from datetime import datetime
from typing import Any

from google.protobuf.message import Message

__all__ = ["format_json", "format_table", "format_time", "to_values"]


def to_value(enumeration: Any, value: Any) -> Any:
    """Return one value of a field as a JSON value.

    `enumeration` is the descriptor of the field's enumeration, or None; its values
    are shown by name.
    """
    if isinstance(value, Message):
        return to_values(value)
    if enumeration is not None:
        return enumeration.values_by_number[value].name
    return value.hex() if isinstance(value, bytes) else value


def to_values(message: Message) -> dict[str, Any]:
    """Return a message as JSON values, with 64-bit integers as numbers.

    The JSON mapping of protobuf writes them as strings, which tools that read the
    output would have to convert.
    """
    values: dict[str, Any] = {}
    for field in message.DESCRIPTOR.fields:
        value = getattr(message, field.name)
        if field.is_repeated:
            values[field.name] = [to_value(field.enum_type, item) for item in value]
        elif not field.has_presence or message.HasField(field.name):
            values[field.name] = to_value(field.enum_type, value)
    return values


def format_json(values: Any) -> str:
    """Return indented JSON text."""
    return json.dumps(values, indent=2)


def format_time(time_ms: int) -> str:
    """Return a Unix time in milliseconds as ISO 8601 text in UTC."""
    return datetime.fromtimestamp(time_ms / 1000, UTC).isoformat(timespec="seconds")


def format_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows of text in aligned columns under their headings."""
    lines = [list(headings), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    padded = (
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )
    return "\n".join(line.rstrip() for line in padded)
