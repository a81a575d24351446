"""Structured logs: logbook records as text or as JSON lines on standard error.

Counters come first; a record is written only when a state changes. Fields are
passed as keyword arguments and land in the record's `kwargs`. Each record is one
line whatever its fields hold. What libraries log through `logging` comes out the
same way, from warnings on.
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
    """How log records are written."""

    @property
    def format(self) -> str:
        """Either "text" or "json"."""

    @property
    def level(self) -> str:
        """The least level written, in lower case."""


def convert_field(value: object) -> object:
    """Return a field's value as JSON has it; what JSON lacks becomes text."""
    return value if isinstance(value, bool | int | float) else str(value)


def format_record(record: Any, process: str) -> dict[str, Any]:
    """Return the fields of a record that are written; the time is UTC."""
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
    """Return a value for text lines, quoted where it would not read as one word."""
    text = str(value)
    is_plain_word = text.isprintable() and not any(
        character in text for character in ' "='
    )
    return text if text and is_plain_word else json.dumps(text)


def configure_logs(
    settings: LogOptions, process: str, stream: TextIO | None = None
) -> None:
    """Install the handler for this process; `process` names it in each record."""

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
