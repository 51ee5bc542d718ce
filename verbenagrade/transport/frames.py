"""Frames on an asyncio stream, each with a four-byte big-endian length prefix."""

import asyncio
import struct
from collections.abc import Callable

__all__ = ["MAX_FRAME_BYTES", "read_frame", "write_frame"]

MAX_FRAME_BYTES = 16 * 1024 * 1024

_LENGTH = struct.Struct(">I")


async def read_frame(
    reader: asyncio.StreamReader,
    max_bytes: int = MAX_FRAME_BYTES,
    take: Callable[[int], bool] = lambda _size_bytes: True,
) -> bytes | None:
    """Returns the next frame.

    Returns ``None`` if the stream ended or announces more than ``max_bytes``, or if
    ``take`` returns false for the announced size: there is no room for the frame.
    """
    try:
        (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if length > max_bytes or not take(length):
            return None
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError):
        return None


def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Writes one frame to the send buffer without waiting for it to drain."""
    writer.write(_LENGTH.pack(len(data)) + data)
