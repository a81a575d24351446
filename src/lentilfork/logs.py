"""Structured logs: logbook records as text or as JSON lines on standard error.

Counters come first; a record is written only when a state changes. Fields are
passed as keyword arguments and land in the record's `kwargs`.
"""

import json
import sys
from typing import TYPE_CHECKING
from typing import Any

import logbook

if TYPE_CHECKING:
    from lentilfork.settings import LogSettings

__all__ = ["Logger", "configure_logs"]

Logger = logbook.Logger


def format_record(record: Any, process: str) -> dict[str, Any]:
    """Return the fields of a record that are written."""
    return {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "process": process,
        "logger": record.channel,
        "message": record.message,
        **{key: str(value) for key, value in record.kwargs.items()},
    }


def configure_logs(settings: "LogSettings", process: str) -> None:
    """Install the handler for this process; `process` names it in each record."""

    def write_json(record: Any, _handler: Any) -> str:
        return json.dumps(format_record(record, process))

    def write_text(record: Any, _handler: Any) -> str:
        fields = format_record(record, process)
        head = " ".join(str(fields.pop(key)) for key in ("time", "level", "process"))
        logger, message = fields.pop("logger"), fields.pop("message")
        tail = "".join(f" {key}={value}" for key, value in fields.items())
        return f"{head} {logger}: {message}{tail}"

    handler = logbook.StreamHandler(sys.stderr, level=settings.level.upper())
    handler.formatter = write_json if settings.format == "json" else write_text
    handler.push_application()
