"""Server-sent events as engines and callers exchange them."""

__all__ = ["DONE", "data_of", "event_of"]

DONE = b"[DONE]"

_PREFIX = b"data:"


def data_of(line: bytes) -> bytes | None:
    """Returns the data of a line, or ``None`` for a line without any.

    >>> data_of(b"data: [DONE]\\n")
    b'[DONE]'
    """
    if not line.startswith(_PREFIX):
        return None
    return line[len(_PREFIX) :].strip()


def event_of(data: bytes) -> bytes:
    """Returns the bytes of an event with the given data."""
    return b"data: " + data + b"\n\n"
