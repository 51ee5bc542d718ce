"""Logs events as JSON, one object per line."""

import logging
import sys

import logbook
import msgspec
from logbook.compat import redirect_logging

from verbenagrade.events.catalogue import Event
from verbenagrade.events.rate_limited import RateLimitedStream

__all__ = ["log_event", "set_up_logging", "set_up_rate_limited_logging"]

_logger = logbook.Logger("verbenagrade")

QUIET_LIBRARIES = ("transitions",)
"""Libraries whose info messages repeat what the events already log for each call."""


LINES_PER_S = 500
"""Lines that a router or a control process logs per second at most."""

MAX_ESCAPED = 500
"""Largest length of a field that could not be encoded as it is, in characters."""


def log_event(event: Event, **fields: object) -> None:
    """Logs an event.

    The JSON object contains the fields in addition to ``event``, ``level`` and
    ``message``.
    """
    _logger.log(event.level, event.message, extra={"event": event, "fields": fields})


def set_up_logging(level: str, process: str) -> None:
    """Logs events of ``level`` and above to standard error without blocking.

    At most ``LINES_PER_S`` lines are written per second, as by
    ``set_up_rate_limited_logging``.
    """
    _set_up(level, process, sys.stderr.fileno(), LINES_PER_S)


def _format_record(record: logbook.LogRecord, process: str) -> str:
    event = record.extra["event"]
    line = {
        "at": record.time.isoformat(timespec="milliseconds"),
        "process": process,
        "level": record.level_name.lower(),
        "event": event.number if event else 0,
        "message": record.message,
    }
    fields = record.extra["fields"] or {}
    try:
        return msgspec.json.encode({**line, **fields}, enc_hook=str).decode()
    except (ValueError, OverflowError, RecursionError):
        # Text that is not UTF-8, or a number that is too large for JSON.
        escaped = {name: ascii(value)[:MAX_ESCAPED] for name, value in fields.items()}
        return msgspec.json.encode({**line, **escaped}).decode()


def set_up_rate_limited_logging(level: str, process: str, lines_per_s: float) -> None:
    """Logs events of ``level`` and above to standard output without blocking.

    At most ``lines_per_s`` lines are written per second; further lines are dropped
    and counted. Messages that libraries log with the standard library's ``logging``
    are written too. Raises ``LookupError`` if ``logbook`` does not define the level.
    """
    _set_up(level, process, sys.stdout.fileno(), lines_per_s)


def _set_up(level: str, process: str, descriptor: int, lines_per_s: float) -> None:
    """Logs to a descriptor, at most so many lines per second."""

    def format_record(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
        """Formats a record as JSON with the name of this process."""
        return _format_record(record, process)

    def format_summary(count: int) -> str:
        """Returns the line that reports the number of dropped lines."""
        event = Event.LINES_LEFT_OUT
        line = {"process": process, "event": event.number, "message": event.message}
        return msgspec.json.encode({**line, "count": count}).decode()

    stream = RateLimitedStream(descriptor, lines_per_s, format_summary)
    handler = logbook.StreamHandler(stream, level=level.upper())
    handler.formatter = format_record
    handler.push_application()
    redirect_logging()
    for library in QUIET_LIBRARIES:
        logging.getLogger(library).setLevel(logging.WARNING)
