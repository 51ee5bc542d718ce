"""Endpoints whose responses end, or break off, in one of many ways.

An ``Ending`` tells what such an endpoint sends of a stream of ``LAST_EVENT`` events.
The pauses between its parts let each one arrive by itself.
"""

import asyncio
import socket
import struct
from dataclasses import dataclass

from verbenagrade.platform.tests.endpoint_standin import encode_event, response_head

LAST_EVENT = 6
PAUSE_S = 0.02
SILENCE_S = 60.0
RESET = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a time of 0, which turns a close into a reset."""


@dataclass(frozen=True)
class Ending:
    """What an endpoint sends, and how its connection ends.

    ``framing`` is ``length``, ``chunks`` or ``connection``. The response has the events
    up to number ``events``, and the bytes ``extra`` after them; in chunks, they stand
    where the next chunk is due if ``raw`` is set. ``close`` is ``fin``, ``reset``,
    ``silence``, or ``exit``: the endpoint's process ends, and with it the connection
    and the listener.
    """

    framing: str
    events: int
    close: str
    extra: bytes = b""
    raw: bool = False

    def __str__(self) -> str:
        extra = self.extra[:4].decode("ascii", "replace").strip("\n\0")
        raw = "raw" if self.raw else ""
        return f"{self.framing}-{self.events}{extra}{raw}-{self.close}"


def events(first: int, last: int) -> bytes:
    return b"".join(encode_event(number) for number in range(first, last + 1))


def ending(endpoint, what: Ending):
    """Returns a handler that responds as ``what`` says, after the caller's event."""

    async def handle(request, writer):
        first = int(request.headers.get("last-event-id", 0)) + 1
        headers = {"Content_Type": "text/event-stream"}
        if what.framing == "length":
            headers["Content_Length"] = len(events(first, LAST_EVENT))
        if what.framing == "chunks":
            headers["Transfer_Encoding"] = "chunked"
        parts = [(events(first, what.events), False), (what.extra, what.raw)]
        writer.write(response_head(request, **headers))
        for data, raw in parts:
            await asyncio.sleep(PAUSE_S)
            if data:
                chunked = what.framing == "chunks" and not raw
                writer.write(_chunk(data) if chunked else data)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        await _close(endpoint(request), writer, what.close)

    return handle


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _close(endpoint, writer, how: str) -> None:
    if how == "silence":
        await asyncio.sleep(SILENCE_S)
    if how == "exit":
        await endpoint.stop()
    if how == "reset":
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()
