"""Encodes table rows and stored objects as JSON, which operators can read."""

from typing import TypeVar

import msgspec

__all__ = ["decode_row", "encode_row"]

Record = TypeVar("Record")


def encode_row(record: object) -> bytes:
    """Returns a frozen dataclass as JSON."""
    return msgspec.json.encode(record)


def decode_row(value: bytes, record_type: type[Record]) -> Record:
    """Decodes a stored value into a record of the given type.

    Raises ``msgspec.ValidationError`` if the value does not have the fields of the
    type, which means that another program wrote it.
    """
    return msgspec.json.decode(value, type=record_type)
