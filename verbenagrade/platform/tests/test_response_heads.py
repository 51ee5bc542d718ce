"""Tests that a response whose head breaks off is none, whoever reads it.

A head ends at each of its bytes, in order or with a reset. The HTTP library parses
responses in C, or in Python where its extension is missing.
"""

import asyncio
from dataclasses import replace

import aiohttp
import pytest

from verbenagrade.coordination.ports import EraObserver, Write
from verbenagrade.exceptions import PlatformError
from verbenagrade.platform import store_port
from verbenagrade.platform.tests.endpoint_standin import (
    plain,
    read_request,
    response_head,
    stream,
)
from verbenagrade.platform.tests.response_ends import (
    LAST_EVENT,
    WAYS,
    Heard,
    close_connection,
    events,
    listen,
    start,
)
from verbenagrade.platform.tests.test_store_client import settings_for

CLOSES = ["fin", "reset"]
BODY = b"done"
HEADS = {
    "length": {"Content_Length": len(BODY)},
    "chunks": {"Transfer_Encoding": "chunked", "Content_Type": "text/event-stream"},
    "connection": {"Content_Type": "text/event-stream"},
}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
CALLS_AT_ONCE = 20
LONG = {"timeout_ms": 60_000, "target_latency_ms": 60_000}
"""Limits of routes that a busy machine does not reach: neither a deadline nor the
patience with a slow endpoint then decides what callers are told."""

DEADLINE_MS = "60000"
STORE_HEAD = b"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 99\r\n\r\n"


def head_for(request, framing: str) -> bytes:
    """Returns a head as the endpoint sends it; the call's body tells its form."""
    head = response_head(request, **HEADS[framing])
    if b"lines" in request.body:
        head = head.replace(b"\r\n", b"\n")
    return (INTERIM if b"interim" in request.body else b"") + head


def broken_head(framing: str, close: str):
    """Sends as many bytes of a head as the call's body says, never all of them."""

    async def handle(request, writer):
        size = int(request.body.split()[0])
        head = head_for(request, framing)
        assert size < len(head)
        writer.write(head[:size])
        await writer.drain()
        await close_connection(None, writer, close)

    return handle


def after_first_attempt(first, later):
    """Serves the first attempt of each call by one handler, all others by another."""
    begun = set()

    async def handle(request, writer):
        handler = later if request.body in begun else first
        begun.add(request.body)
        await handler(request, writer)

    return handle


async def hear_all(testbed, path, framing, form) -> dict[bytes, Heard]:
    """Returns what callers are told, by the body that tells where the head ends."""
    sample = type("Request", (), {"headers": {"request-id": "0000"}, "body": form})
    size = len(head_for(sample, framing))
    bodies = [b"%d %s" % (end, form) for end in range(size)]
    heard = {}
    for number in range(0, size, CALLS_AT_ONCE):
        some = bodies[number : number + CALLS_AT_ONCE]
        calls = (
            listen(testbed, path, body=body, Request_Id="0000", Deadline_Ms=DEADLINE_MS)
            for body in some
        )
        heard |= zip(some, await asyncio.gather(*calls), strict=True)
    return heard


def serve_all(testbed, handler) -> None:
    for endpoint in testbed.endpoints:
        endpoint.handlers = [handler]


# Guards against an endpoint that closes in the middle of its head and whose callers get
# a 200 with an empty body, or are told that a call has not run which may have run.
@pytest.mark.parametrize("close", CLOSES)
@pytest.mark.parametrize("way", WAYS)
async def test_head_that_breaks_off_is_no_response(testbed, parser, way, close):
    await start(testbed, way, 1, plain(), **LONG)
    for path, framing, form in (
        ("/once/x", "length", b""),
        ("/once/x", "connection", b"interim"),
        ("/safe/x", "length", b"lines"),
        ("/stream/x", "connection", b""),
        ("/resume/x", "chunks", b"interim"),
        ("/resume/x", "connection", b"lines"),
    ):
        serve_all(testbed, broken_head(framing, close))
        heard = await hear_all(testbed, path, framing, form)
        assert {told.status for told in heard.values()} == {502}, (path, framing)


# Guards against a retry whose head breaks off and that ends the response of the call.
@pytest.mark.parametrize("close", CLOSES)
@pytest.mark.parametrize("way", WAYS)
async def test_head_of_a_later_attempt_that_breaks_off_is_no_response(
    testbed, parser, way, close
):
    await start(testbed, way, 2, plain(), **LONG)
    begun = stream(LAST_EVENT, cut=2)
    for framing in ("chunks", "connection"):
        broken = broken_head(framing, close)
        serve_all(testbed, after_first_attempt(begun, broken))
        heard = await hear_all(testbed, "/resume/x", framing, b"")
        assert set(heard.values()) == {Heard(200, events(1, 2), False)}
    broken = broken_head("length", close)
    serve_all(testbed, broken)
    heard = await hear_all(testbed, "/safe/x", "length", b"interim")
    assert {told.status for told in heard.values()} == {502}


async def start_cutter(address: str, sizes: list[int]):
    """Starts a server that passes heads on up to the byte that a body names.

    The size of each whole head is added to ``sizes``.
    """
    host, port = address.split(":")

    async def serve(reader, writer):
        request = await read_request(reader)
        size, close = request.body.split()[:2]
        to_reader, to_writer = await asyncio.open_connection(host, int(port))
        to_writer.write(request.raw)
        head = await to_reader.readuntil(b"\r\n\r\n")
        sizes.append(len(head))
        writer.write(head[: int(size)])
        await writer.drain()
        await close_connection(None, writer, close.decode())
        to_writer.close()
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


# Guards against a VM that ends while it writes the head of a relayed response, whose
# callers get a 200 with an empty body.
@pytest.mark.parametrize("close", CLOSES)
async def test_head_of_another_vm_that_breaks_off_is_no_response(
    testbed, parser, close
):
    await start(testbed, "relayed", 1, plain(BODY), **LONG)
    peers = testbed.core.fleet.peers
    (peer,) = peers.peers.values()
    sizes: list[int] = []
    cutter = await start_cutter(peer.address, sizes)
    address = f"127.0.0.1:{cutter.sockets[0].getsockname()[1]}"
    peers.put(replace(peer, address=address))
    end = 0
    while end < min(sizes, default=1):
        body = b"%d %s" % (end, close.encode())
        heard = await listen(testbed, "/once/x", body=body, Deadline_Ms=DEADLINE_MS)
        assert heard.status == 502, end
        end += 1
    assert end > len(response_head(testbed.endpoints[0].requests[0]))
    cutter.close()


# Guards against a store that closes in the middle of its head, whose response counts as
# one without rows, or a transaction as committed.
@pytest.mark.parametrize("close", CLOSES)
async def test_head_of_the_store_that_breaks_off_is_no_response(parser, close):
    end = 0

    async def serve(reader, writer):
        await read_request(reader)
        writer.write(STORE_HEAD[:end])
        await writer.drain()
        await close_connection(None, writer, close)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    standin = type("Store", (), {"address": address})
    observer = EraObserver(lambda: None, lambda _mark, _era: None)
    async with aiohttp.ClientSession() as session:
        port = store_port(session, settings_for(standin), observer)
        while end < len(STORE_HEAD):
            with pytest.raises(PlatformError):
                await port.read(("grants/hotel/vm/1",))
            with pytest.raises(PlatformError):
                await port.commit((), (Write("grants/hotel/vm/1", b"1"),))
            end += 1
    server.close()
