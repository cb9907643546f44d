"""Structured logs: one JSON object for each record, on standard error."""

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


def install_logs(level: str = "INFO") -> None:
    """Sends the log of this process to standard error as JSON lines.

    Args:
        level: Least severity that is written, as a logbook level name.
    """
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=level)
    handler.formatter = _format_record
    handler.push_application()
