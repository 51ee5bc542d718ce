"""Length-prefixed frames on an asyncio stream."""

import asyncio
import struct

__all__ = ["MAX_FRAME_BYTES", "read_frame", "write_frame"]

MAX_FRAME_BYTES = 16 * 1024 * 1024

_LENGTH = struct.Struct(">I")


async def read_frame(reader: asyncio.StreamReader) -> bytes | None:
    """Returns the next frame, or ``None`` if the stream ended or is not ours."""
    try:
        (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
        if length > MAX_FRAME_BYTES:
            return None
        return await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Queues one frame for sending."""
    writer.write(_LENGTH.pack(len(data)) + data)
