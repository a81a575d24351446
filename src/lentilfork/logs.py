"""Structured logs: logbook records as text or JSON lines on standard error.

Frequent events are counted; a record is written only when a state changes. Fields are
passed as keyword arguments and stored in the record's `kwargs`. Each record is one
line, whatever its fields contain. Records that libraries write through `logging` are
handled in the same way, from level warning upwards.
"""

import json
import logging
import sys
from typing import Any
from typing import Protocol
from typing import TextIO

import logbook
from logbook.compat import RedirectLoggingHandler

__all__ = ["LogOptions", "Logger", "configure_logs"]

Logger = logbook.Logger


class LogOptions(Protocol):
    """Format and level of the log records that are written."""

    @property
    def format(self) -> str:
        """Either "text" or "json"."""

    @property
    def level(self) -> str:
        """The lowest level that is written, in lower case."""


def convert_field(value: object) -> object:
    """Return a field's value for JSON: a number or boolean as it is, others as text."""
    return value if isinstance(value, bool | int | float) else str(value)


def format_record(record: Any, process: str) -> dict[str, Any]:
    """Return a record as a dictionary of the fields to write; the time is UTC."""
    fields = {
        "time": f"{record.time.isoformat(timespec='milliseconds')}Z",
        "level": record.level_name.lower(),
        "process": process,
        "logger": record.channel,
        "message": record.message,
        **{key: convert_field(value) for key, value in record.kwargs.items()},
    }
    if record.exc_info:
        fields["exception"] = record.formatted_exception
    return fields


def quote_value(value: object) -> str:
    """Return a value for text lines, quoted unless it is one printable word."""
    text = str(value)
    is_plain_word = text.isprintable() and not any(
        character in text for character in ' "='
    )
    return text if text and is_plain_word else json.dumps(text)


def configure_logs(
    settings: LogOptions, process: str, stream: TextIO | None = None
) -> None:
    """Install the log handler of this process; `process` is its name in records."""

    def write_json(record: Any, _handler: Any) -> str:
        return json.dumps(format_record(record, process))

    def write_text(record: Any, _handler: Any) -> str:
        fields = format_record(record, process)
        head = " ".join(fields.pop(key) for key in ("time", "level", "process"))
        logger = fields.pop("logger")
        message = " ".join(fields.pop("message").splitlines())
        tail = "".join(f" {key}={quote_value(value)}" for key, value in fields.items())
        return f"{head} {logger}: {message}{tail}"

    handler = logbook.StreamHandler(stream or sys.stderr, level=settings.level.upper())
    handler.formatter = write_json if settings.format == "json" else write_text
    handler.push_application()
    logging.basicConfig(
        level=logging.WARNING, handlers=[RedirectLoggingHandler()], force=True
    )
