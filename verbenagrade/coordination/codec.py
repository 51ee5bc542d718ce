"""Encodes rows and objects for the platform, as JSON for people to read."""

from typing import TypeVar

import msgspec

__all__ = ["decode_row", "encode_row"]

Record = TypeVar("Record")


def encode_row(record: object) -> bytes:
    """Returns the stored form of a frozen dataclass."""
    return msgspec.json.encode(record)


def decode_row(value: bytes, record_type: type[Record]) -> Record:
    """Reads the stored form back.

    Raises ``msgspec.ValidationError`` if the row was written by something else.
    """
    return msgspec.json.decode(value, type=record_type)
