"""Encodes and decodes server-sent events with one data line each."""

__all__ = ["DONE", "encode_event", "parse_data_line"]

DONE = b"[DONE]"

_DATA_PREFIX = b"data:"


def parse_data_line(line: bytes) -> bytes | None:
    """Returns the data of a line, or ``None`` if it is not a data line.

    >>> parse_data_line(b"data: [DONE]\\n")
    b'[DONE]'
    """
    if not line.startswith(_DATA_PREFIX):
        return None
    return line[len(_DATA_PREFIX) :].strip()


def encode_event(data: bytes) -> bytes:
    """Encodes an event with the given data."""
    return b"data: " + data + b"\n\n"
