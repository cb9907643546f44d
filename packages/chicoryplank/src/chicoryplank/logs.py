"""Structured logging: one JSON object per record on standard error."""

import json
import sys

import logbook


def _format_record(record: logbook.LogRecord, handler: object) -> str:
    del handler
    document = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "event": record.extra["event"],
        "message": record.message,
        "fields": record.extra["fields"],
    }
    return json.dumps(document, default=str)


def configure_logging(level: str = "INFO") -> None:
    """Writes the log records of this process to standard error as JSON lines.

    Args:
        level: Lowest severity that is written, as a logbook level name.
    """
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = _format_record
    handler.push_application()
