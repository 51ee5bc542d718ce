"""Tests of a store that sends bytes until its connection is closed."""

import asyncio
import tracemalloc

import pytest

from verbenagrade.coordination.ports import EraObserver, Write
from verbenagrade.exceptions import PlatformError
from verbenagrade.platform import store_port
from verbenagrade.platform.tests.endpoint_standin import read_request
from verbenagrade.platform.tests.test_store_client import settings_for
from verbenagrade.transport.gateway.store_connections import store_session

REQUESTS_AT_ONCE = 8
MAX_MEMORY_BYTES = 100_000_000
MAX_SENT_BYTES = 30_000_000
"""What the store sends over one connection before it gives up, in bytes."""

HEAD = b"HTTP/1.1 %s\r\nStore-Era: 1\r\n"
CHUNK = b"10000\r\n%s\r\n" % (b"x" * 0x10000)
SENT = {
    "head line": (HEAD % b"200 OK" + b"X: ", b"x" * 65_536),
    "head lines": (HEAD % b"200 OK", b"X: y\r\n" * 1_000),
    "interim responses": (
        b"",
        (b"HTTP/1.1 103 Early\r\nX: %s\r\n\r\n" % (b"x" * 4_000)) * 10,
    ),
    "body": (HEAD % b"200 OK" + b"\r\n", b"x" * 65_536),
    "body with a length": (
        HEAD % b"200 OK" + b"Content-Length: 99999999999\r\n\r\n",
        b"x" * 65_536,
    ),
    "chunks": (HEAD % b"200 OK" + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "trailers": (
        HEAD % b"200 OK" + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X: y\r\n" * 1_000,
    ),
    "body of an error": (HEAD % b"503 Away" + b"\r\n", b"x" * 65_536),
    "body of a failed check": (HEAD % b"412 Failed" + b"\r\n", b"x" * 65_536),
}


@pytest.fixture
async def port_to():
    """Returns a function that starts a store and returns the port to it."""
    servers, sessions = [], []

    async def start(begin, repeated):
        async def serve(reader, writer):
            await read_request(reader)
            writer.write(begin)
            sent_bytes = 0
            while not writer.is_closing() and sent_bytes < MAX_SENT_BYTES:
                writer.write(repeated)
                sent_bytes += len(repeated)
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        standin = type("Store", (), {"address": address})
        servers.append(server)
        sessions.append(store_session())
        observer = EraObserver(lambda: None, lambda _mark, _era: None)
        return store_port(sessions[-1], settings_for(standin), observer)

    yield start
    for session in sessions:
        await session.close()
    for server in servers:
        server.close()


# Guards against a process that runs out of memory because a store does not stop.
@pytest.mark.parametrize("name", SENT)
async def test_response_without_end_fails_within_the_memory(parser, port_to, name):
    port = await port_to(*SENT[name])
    requests = [
        *(port.read(("grants/hotel/vm/1",)) for _ in range(2)),
        *(port.commit((), (Write("grants/hotel/vm/1", b"1"),)) for _ in range(2)),
        port.scan("grants/hotel/vm/"),
        port.load("servers", lambda _size: True),
        *(port.follow(table, 1, 0.1, lambda _size: True) for table in ("op", "fleet")),
    ]
    assert len(requests) == REQUESTS_AT_ONCE
    tracemalloc.start()
    ends = await asyncio.gather(*requests, return_exceptions=True)
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert {isinstance(end, PlatformError) for end in ends} == {True}, ends
    assert peak_bytes <= MAX_MEMORY_BYTES
