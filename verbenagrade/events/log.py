"""Writes events as one JSON object a line."""

import logging
import sys

import logbook
import msgspec
from logbook.compat import redirect_logging

from verbenagrade.events.bounded import BoundedStream
from verbenagrade.events.catalogue import Event

__all__ = ["log_event", "set_up_bounded_logging", "set_up_logging"]

_logger = logbook.Logger("verbenagrade")

QUIET_LIBRARIES = ("transitions",)
"""Libraries that log each step of a call at level info; the events say the same."""


def log_event(event: Event, **fields: object) -> None:
    """Logs an event with its fields.

    The fields end up in the line beside ``event``, ``level`` and ``message``.
    """
    _logger.log(event.level, event.text, extra={"event": event, "fields": fields})


def set_up_logging(level: str, process: str) -> None:
    """Sends events of ``level`` and above to standard error.

    Raises ``LookupError`` if ``logbook`` knows no such level.
    """

    def format_record(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
        """Formats a record with the name of this process."""
        return _format_record(record, process)

    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_record
    handler.push_application()


def _format_record(record: logbook.LogRecord, process: str) -> str:
    event = record.extra["event"]
    line = {
        "at": record.time.isoformat(timespec="milliseconds"),
        "process": process,
        "level": record.level_name.lower(),
        "event": event.number if event else 0,
        "message": record.message,
    }
    line.update(record.extra["fields"] or {})
    return msgspec.json.encode(line, enc_hook=str).decode()


def set_up_bounded_logging(level: str, process: str, lines_per_s: float) -> None:
    """Sends events to standard output without ever waiting for its reader.

    What libraries log with the standard library goes the same way. Raises
    ``LookupError`` if ``logbook`` knows no such level.
    """

    def format_record(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
        """Formats a record with the name of this process."""
        return _format_record(record, process)

    def note(count: int) -> str:
        """Returns the line that tells how many lines were left out."""
        event = Event.LINES_LEFT_OUT
        line = {"process": process, "event": event.number, "message": event.text}
        return msgspec.json.encode({**line, "count": count}).decode()

    stream = BoundedStream(sys.stdout.fileno(), lines_per_s, note)
    handler = logbook.StreamHandler(stream, level=level.upper())
    handler.formatter = format_record
    handler.push_application()
    redirect_logging()
    for library in QUIET_LIBRARIES:
        logging.getLogger(library).setLevel(logging.WARNING)
