"""Tests of connections of clients with a server in this process."""

import asyncio
import time
from types import SimpleNamespace

import pytest
from aiohttp import http_parser, web

from verbenagrade.state.client_account import Activity, ListenerLimits
from verbenagrade.state.client_limits import Listener
from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.clients import parsing
from verbenagrade.transport.clients.counting import BODY_COPIES, KERNEL_BYTES
from verbenagrade.transport.clients.listeners import start_server
from verbenagrade.transport.clients.server import ClientServer, ListenerOptions
from verbenagrade.transport.clients.shared import READ_BYTES, Clients

LIMITS = CallerLimits(header_timeout_s=0.5, idle_timeout_s=1.0)
WAIT_S = 10.0
POLL_S = 0.02
LARGE_PATH = "/999"
LARGE_BYTES = 2_000_000
SOURCE_BYTES = 5_000_000
"""What is held of a large response beside what waits to be written, in bytes."""

HEAD = b"POST /%d HTTP/1.1\r\nHost: x\r\n"


@pytest.fixture(params=["HttpRequestParser", "HttpRequestParserPy"])
def _parser(request, monkeypatch):
    """Uses a parser of the library: that in C, if there is one, or that in Python."""
    parser = getattr(http_parser, request.param)
    monkeypatch.setattr(parsing, "HttpRequestParser", parser)


@pytest.fixture
async def server(_parser):
    """Returns a server that responds with the path and the size of the body."""
    own = ListenerLimits(20, 20_000_000, 16_000)
    limits = {listener.value: own for listener in Listener}
    clients = Clients(limits, time.monotonic)
    release = asyncio.Event()
    release.set()

    async def handle(request):
        await release.wait()
        body = await request.read()
        if request.path == LARGE_PATH:
            request.protocol.source_bytes = SOURCE_BYTES
            return web.Response(body=b"x" * LARGE_BYTES)
        return web.Response(text=f"{request.path} {len(body)}")

    options = ListenerOptions(Listener.CALLERS, lambda: LIMITS)
    runner = web.ServerRunner(ClientServer(handle, options, clients))
    await runner.setup()
    await start_server(runner, "127.0.0.1", 0)
    yield SimpleNamespace(
        clients=clients,
        account=clients.account,
        release=release,
        connect=lambda: asyncio.open_connection(*runner.addresses[0]),
    )
    release.set()
    runner.server.shutdown_timeout = 0.1
    await runner.cleanup()


async def read_text(reader) -> str:
    async with asyncio.timeout(WAIT_S):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = head.partition("Content-Length: ")[2].split("\r\n")[0]
        return (await reader.readexactly(int(length))).decode()


async def wait_until(condition) -> None:
    for _ in range(int(WAIT_S / POLL_S)):
        if condition():
            return
        await asyncio.sleep(POLL_S)
    assert condition()


def request(number: int, body: bytes = b"", chunk: int = 0) -> bytes:
    head = HEAD % number
    if not chunk:
        return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    parts = [body[start : start + chunk] for start in range(0, len(body), chunk)]
    framed = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + framed + b"0\r\n\r\n"


# Each split of the bytes leaves another part of a request with the parser.
@pytest.mark.parametrize("piece", [1, 7, 64, 1_000, 100_000])
async def test_requests_sent_ahead_in_pieces_are_served_in_order(server, piece):
    reader, writer = await server.connect()
    bodies = [b"", b"xy", b"", b"z" * 100, b"\r\n\r\n", b"end"]
    sent = b"".join(
        request(number, body, chunk=number % 3) for number, body in enumerate(bodies)
    )
    for start in range(0, len(sent), piece):
        writer.write(sent[start : start + piece])
        await asyncio.sleep(0)
        await writer.drain()
    for number, body in enumerate(bodies):
        assert await read_text(reader) == f"/{number} {len(body)}"
    writer.close()


async def test_no_second_request_is_parsed_while_one_is_served(server):
    server.release.clear()
    reader, writer = await server.connect()
    writer.write(b"".join(request(number, b"x" * 10_000) for number in range(200)))
    await wait_until(lambda: bool(server.account.held_bytes))
    (record,) = server.account.listeners["callers"].records
    await wait_until(lambda: record.activity is Activity.SERVED)
    await asyncio.sleep(0.1)
    one_request_bytes = BODY_COPIES * 10_000 + 10_000
    waiting_bytes = 2 * READ_BYTES + KERNEL_BYTES
    assert record.held_bytes <= 16_000 + one_request_bytes + waiting_bytes
    server.release.set()
    for number in range(200):
        assert await read_text(reader) == f"/{number} 10000"
    writer.close()


# Guards against reading on while others are parsed, as much as arrives meanwhile.
async def test_bytes_that_wait_for_their_turn_are_bounded_and_counted(
    server, monkeypatch
):
    monkeypatch.setattr(server.clients, "submit", lambda _connection: None)
    _, writer = await server.connect()
    writer.write(request(0, b"x" * 2_000_000))
    await wait_until(lambda: server.account.held_bytes > 16_000)
    await asyncio.sleep(0.5)
    assert server.account.held_bytes <= 16_000 + 2 * READ_BYTES + KERNEL_BYTES
    writer.close()


async def test_source_of_a_response_counts_while_the_response_is_not_taken(server):
    reader, writer = await server.connect()
    writer.write(request(999))
    await wait_until(lambda: server.account.held_bytes > SOURCE_BYTES)
    (record,) = server.account.listeners["callers"].records
    assert record.activity is Activity.UNREAD
    async with asyncio.timeout(WAIT_S):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(LARGE_BYTES)
    await wait_until(lambda: record.held_bytes == 16_000)
    writer.close()


async def test_connection_holds_nothing_after_its_request(server):
    reader, writer = await server.connect()
    for number in range(3):
        writer.write(request(number, b"x" * 200_000, chunk=10))
        assert await read_text(reader) == f"/{number} 200000"
    (record,) = server.account.listeners["callers"].records
    await wait_until(lambda: record.activity is Activity.IDLE)
    assert record.held_bytes == 16_000
    writer.close()
    await wait_until(lambda: server.account.held_bytes == 0)


async def test_idle_connection_is_closed_though_it_had_a_request_in_chunks(server):
    reader, writer = await server.connect()
    writer.write(request(0, b"xy", chunk=1))
    assert await read_text(reader) == "/0 2"
    async with asyncio.timeout(WAIT_S):
        assert await reader.read() == b""
    writer.close()


async def test_chunk_that_cannot_be_read_ends_the_request(server):
    reader, writer = await server.connect()
    head = HEAD % 0 + b"Transfer-Encoding: chunked\r\n\r\n"
    writer.write(head + b"1\r\nx\r\n")
    await asyncio.sleep(0.1)
    writer.write(b"no number\r\n")
    async with asyncio.timeout(WAIT_S):
        response = await reader.read()
    assert response.count(b"HTTP/1.1") <= 1
    assert b" 200 " not in response
    writer.close()


async def test_head_without_end_is_refused_as_too_large(server):
    reader, writer = await server.connect()
    writer.write(HEAD % 0)
    for _ in range(100):
        writer.write(b"a: b\r\n" * 1_000)
        await asyncio.sleep(0)
    async with asyncio.timeout(WAIT_S):
        response = await reader.readuntil(b"\r\n\r\n")
    assert response.startswith((b"HTTP/1.1 431", b"HTTP/1.1 400"))
    writer.close()


async def test_tunnel_is_refused(server):
    reader, writer = await server.connect()
    writer.write(b"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n" + b"y" * 10_000)
    async with asyncio.timeout(WAIT_S):
        response = await reader.read()
    assert response.startswith(b"HTTP/1.1 400")
    assert response.count(b"HTTP/1.1") == 1
    writer.close()
