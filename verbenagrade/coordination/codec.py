"""Encodes table rows and stored objects as JSON, which operators can read."""

from typing import TypeVar

import msgspec

from verbenagrade.coordination.ports import Row
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import UndecodableError, UnreadableRowError
from verbenagrade.state.decoding import decode_json

__all__ = ["decode_or_ignore", "decode_row", "encode_row", "log_ignored"]

MAX_LOGGED_LENGTH = 200
"""Length to which the keys of rows are cut in log lines, in characters."""

Record = TypeVar("Record")


def encode_row(record: object) -> bytes:
    """Returns a frozen dataclass as JSON."""
    return msgspec.json.encode(record)


def decode_row(value: bytes, record_type: type[Record]) -> Record:
    """Decodes a stored value into a record of the given type.

    Raises ``UnreadableRowError`` if the value does not have the fields of the type,
    which means that another program wrote it. It must not be taken for absent.
    """
    try:
        return decode_json(value, record_type)
    except UndecodableError as error:
        raise UnreadableRowError(
            f"a stored value can't be read ({error}); correct or remove it"
        ) from error


def decode_or_ignore(row: Row, record_type: type[Record]) -> Record | None:
    """Decodes a row without which the others hold, ``None`` if it can't be read.

    The latter is logged.
    """
    try:
        return decode_json(row.value, record_type)
    except UndecodableError as error:
        log_ignored(row.key, str(error))
        return None


def log_ignored(key: str, reason: str) -> None:
    """Logs that a row was ignored."""
    log_event(Event.ENTRY_IGNORED, row=key[:MAX_LOGGED_LENGTH], reason=reason)
