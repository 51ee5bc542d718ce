"""Endpoints whose responses end, or break off, in one of many ways.

An ``Ending`` tells what such an endpoint sends of a stream of ``LAST_EVENT`` events.
The pauses between its parts let each one arrive by itself.
"""

import asyncio
import socket
import struct
from dataclasses import dataclass, replace

import aiohttp

from verbenagrade.platform.tests.conftest import BOUNDS, configuration_document, route
from verbenagrade.platform.tests.endpoint_standin import encode_event, response_head

LAST_EVENT = 6
TIMEOUT_MS = 900
RETRY_SLACK = 10_000
WAYS = ["direct", "relayed"]
"""Whether the VM sends a call to its endpoint or has another one pass it on."""

PAUSE_S = 0.01
SILENCE_S = 60.0
LISTENER_CLOSES_S = 0.01
RESET = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with a time of 0, which turns a close into a reset."""


@dataclass(frozen=True)
class Ending:
    """What an endpoint sends, and how its connection ends.

    ``framing`` is ``length``, ``chunks`` or ``connection``. The response has the events
    up to number ``events``, and the bytes ``extra`` after them; in chunks, they stand
    where the next chunk is due if ``raw`` is set. ``close`` is ``fin``, ``last chunk``
    (and then ``fin``), ``reset``, ``silence``, or ``exit``: the endpoint's process
    ends, which closes the connection and some milliseconds later the listener.
    """

    framing: str
    events: int
    close: str
    extra: bytes = b""
    raw: bool = False

    def __str__(self) -> str:
        raw = " raw" if self.raw else ""
        return f"{self.framing}-{self.events} {self.extra!r}{raw}-{self.close}"

    @property
    def whole(self) -> bool:
        """Whether the endpoint has sent all of its stream, and nothing else.

        What it sends after a length is complete is no part of the response.
        """
        if self.events < LAST_EVENT or self.framing == "length":
            return self.events == LAST_EVENT
        ends = {"chunks": "last chunk", "connection": "fin"}
        return not self.extra and self.close == ends[self.framing]


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
        await close_connection(endpoint(request), writer, what.close)

    return handle


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def close_connection(endpoint, writer, how: str) -> None:
    if how == "silence":
        await asyncio.sleep(SILENCE_S)
    if how == "last chunk":
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    if how == "exit":
        loop = asyncio.get_running_loop()
        loop.call_later(LISTENER_CLOSES_S, endpoint.server.close)
    if how == "reset":
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()


ANOTHER_HEAD = b"HTTP/1.1 500 Oops\r\nRequest-Id: x\r\nContent-Length: 3\r\n\r\nbad"
HALF_EVENT = b"id: 9\ndat"
NO_EVENT = b"\x00\xff junk\n"
ERROR_TEXT = b"error: the server is overloaded\n\n"
EARLIER_EVENT = encode_event(2)
UNDECIDABLE = {("connection", "fin"), ("chunks", "last chunk")}
ENDINGS = [
    end
    for framing in ("length", "chunks", "connection")
    for close in ("fin", "last chunk", "reset", "exit", "silence")
    if close != "last chunk" or framing == "chunks"
    for end in (
        Ending(framing, 0, close),
        Ending(framing, 3, close),
        Ending(framing, LAST_EVENT, close),
        Ending(framing, 0, close, HALF_EVENT),
        Ending(framing, 3, close, HALF_EVENT),
        Ending(framing, 3, close, NO_EVENT),
        Ending(framing, 3, close, NO_EVENT + b"\n"),
        Ending(framing, 3, close, ERROR_TEXT),
        Ending(framing, 3, close, EARLIER_EVENT),
        Ending(framing, LAST_EVENT, close, ANOTHER_HEAD + b"\n\n"),
        Ending(framing, 0, close, ANOTHER_HEAD),
        Ending(framing, 3, close, ANOTHER_HEAD),
        Ending(framing, 3, close, ANOTHER_HEAD, raw=framing == "chunks"),
    )
    if end.extra or end.whole or (framing, close) not in UNDECIDABLE
]
"""Each framing, position and kind of end. What is left out can't be told from a sound
response: one without a length that a living endpoint ends after an event, and a last
chunk too early."""


@dataclass(frozen=True)
class Heard:
    """What a caller was told: the status, the body, and whether it looked complete."""

    status: int
    body: bytes
    complete: bool


async def start(
    testbed,
    way,
    max_attempts,
    *handlers,
    timeout_ms=TIMEOUT_MS,
    grace_s=8,
    target_latency_ms=400,
) -> None:
    """Starts a gateway with two endpoints that share the handlers, in their order."""
    streaming = {
        "timeout_ms": timeout_ms,
        "max_attempts": max_attempts,
        "target_latency_ms": target_latency_ms,
    }
    routes = [
        route("/resume/", "streaming", stream_resume=True, **streaming),
        route("/stream/", "streaming", stream_resume=False, **streaming),
        route("/once/", "unsafe", timeout_ms=timeout_ms, max_attempts=1),
        route("/safe/", "safe", **streaming),
    ]
    shared = list(handlers)
    for _ in range(2):
        endpoint = await testbed.add_endpoint()
        endpoint.handlers = shared
    bounds = replace(BOUNDS, retry_slack=RETRY_SLACK, grace_s=grace_s)
    document = configuration_document(routes=routes, tenants=None)
    await testbed.start(document, bounds=bounds)
    await testbed.wait_until_ready()
    if way == "direct":
        return
    await testbed.start_another()
    await testbed.cut_off(testbed.gateway)
    testbed.core.reach.cut_off = True
    await testbed.wait_until(lambda: testbed.core.fleet.peers.peers)
    await testbed.wait_until(lambda: testbed.core.relay_keys.keys)


async def listen(testbed, path, **headers) -> Heard:
    """Calls a path and returns what the caller is told."""
    body, status = b"", 0
    try:
        async with testbed.open(path, **headers) as response:
            status = response.status
            while data := await response.content.readany():
                body += data
    except aiohttp.ClientError:
        return Heard(status, body, False)
    return Heard(status, body, True)


def looks_whole(heard: Heard) -> bool:
    """Returns whether a caller takes a response for a complete success."""
    return heard.complete and heard.status == 200
