"""Tests that readers of a router take nothing but valid responses of a bounded size."""

import asyncio
import tracemalloc
from pathlib import Path
from types import SimpleNamespace

import pytest

import verbenagrade
from verbenagrade.coordination.ports import Check, Write
from verbenagrade.exceptions import PlatformError, UpstreamFailedError
from verbenagrade.protocol.chat import ChatRequest
from verbenagrade.settings import PlatformSettings
from verbenagrade.transport.checked_responses import checked_session
from verbenagrade.transport.endpoint_client import EndpointClient
from verbenagrade.transport.endpoint_connections import endpoint_connector
from verbenagrade.transport.engine_response import EngineResponse
from verbenagrade.transport.platform import (
    object_store_port,
    table_port,
    vm_list_port,
)
from verbenagrade.transport.sends import SentRequest

TIMEOUT_S = 5.0
REQUESTS_AT_ONCE = 8
MAX_MEMORY_BYTES = 100_000_000
MAX_SENT_BYTES = 15_000_000
START = b"HTTP/1.1 200 OK\r\n"
CHUNKED = START + b"Transfer-Encoding: chunked\r\n\r\n"
JSON = b'{"committed": true, "rows": [], "vms": [], "choices": [], "state": "never"}'
LENGTH = b"Content-Length: %d\r\n" % len(JSON)
INVALID = {
    "000": b"HTTP/1.1 000 \r\n" + LENGTH + b"\r\n" + JSON,
    "101": b"HTTP/1.1 101 Switching Protocols\r\n" + LENGTH + b"\r\n" + JSON,
    "999": b"HTTP/1.1 999 Odd\r\n" + LENGTH + b"\r\n" + JSON,
    "blank before a colon": START + LENGTH.replace(b":", b" :") + b"\r\n" + JSON,
    "control byte": START + LENGTH + b"X: a\x01\r\n\r\n" + JSON,
    "unknown coding": START + b"Transfer-Encoding: odd\r\n\r\n" + JSON,
    "bytes after the length": START + LENGTH + b"\r\n" + JSON + b"more",
}
ENDLESS = {
    "body": (START + b"\r\n", b"x" * 65_536),
    "lines": (START + b"\r\n", b"x" * 4_000 + b"\n"),
    "chunks": (CHUNKED, b"10000\r\n%s\r\n" % (b"x" * 65_536)),
    "events": (CHUNKED, b"10000\r\n%s\r\n" % (b"data: {}\n" * 8_000)[:65_536]),
    "error": (b"HTTP/1.1 503 Away\r\n\r\n", b"x" * 65_536),
    "head": (START, b"X: y\r\n" * 1_000),
}


@pytest.fixture
async def server_of():
    """Returns a function that starts a server and returns its URL.

    It sends ``begin``, and then ``repeated`` until its connection is closed.
    """
    servers = []

    async def start(begin, repeated=b""):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(begin)
            sent_bytes = 0
            while repeated and not writer.is_closing() and sent_bytes < MAX_SENT_BYTES:
                writer.write(repeated)
                sent_bytes += len(repeated)
                try:
                    await writer.drain()
                except ConnectionError:
                    break
            writer.close()

        servers.append(await asyncio.start_server(serve, "127.0.0.1", 0))
        return f"http://127.0.0.1:{servers[-1].sockets[0].getsockname()[1]}"

    yield start
    for server in servers:
        server.close()


@pytest.fixture
async def client():
    """Returns a client for endpoints."""
    async with checked_session(connector=endpoint_connector()) as session:
        yield EndpointClient(session, TIMEOUT_S, TIMEOUT_S)


async def call_service(client, url) -> bytes:
    sent, body = SentRequest(), b""
    async with client.send("POST", url, b"", "attempt", sent=sent) as upstream:
        while data := await upstream.content.read(16_384):
            body = data
        await client.check_end(upstream, sent)
    return body


def engine_response(client, url) -> EngineResponse:
    admission = SimpleNamespace(
        is_resumed=False,
        endpoint=SimpleNamespace(url=url),
        reserved=SimpleNamespace(attempt="attempt", tokens=100),
    )
    chat = ChatRequest(
        route="model",
        stream=False,
        wants_usage=True,
        prompt_bound=1,
        completion_bound=1,
        body=b'{"messages": []}',
    )
    return EngineResponse(client, admission, chat)


async def complete(client, url) -> bytes:
    return await engine_response(client, url).read_complete(lambda _size: True)


async def stream(client, url) -> list[bytes]:
    return [data async for data in engine_response(client, url).events()]


ENDPOINT_READERS = {"service": call_service, "completion": complete, "stream": stream}


def platform_readers(session, url) -> dict:
    settings = PlatformSettings(f"{url}/table", f"{url}/objects", f"{url}/vmlist", 1.0)
    table = table_port(session, settings)
    objects = object_store_port(session, settings)
    return {
        "read": lambda: table.read(("key",)),
        "transact": lambda: table.transact((Check("k", 0),), (Write("k", b"1"),)),
        "create": lambda: objects.create("name", b"data"),
        "get": lambda: objects.get("name"),
        "vm list": lambda: vm_list_port(session, settings).fetch(),
    }


# Guards against bytes that are no response and that a caller gets as one.
@pytest.mark.parametrize("reader", ENDPOINT_READERS)
@pytest.mark.parametrize("name", INVALID)
async def test_invalid_response_of_an_endpoint_is_a_failure(
    parser, client, server_of, name, reader
):
    url = await server_of(INVALID[name])
    with pytest.raises(UpstreamFailedError):
        await ENDPOINT_READERS[reader](client, url)


async def test_invalid_record_of_an_attempt_is_none(parser, client, server_of):
    for sent in INVALID.values():
        assert await client.close(await server_of(sent), "attempt") is None


# Guards against a write that counts as done, or an object that is taken for absent.
@pytest.mark.parametrize("name", INVALID)
async def test_invalid_response_of_the_platform_is_a_failure(parser, server_of, name):
    url = await server_of(INVALID[name])
    async with checked_session() as session:
        for read in platform_readers(session, url).values():
            with pytest.raises(PlatformError):
                await read()


# Guards against a router that runs out of memory because an endpoint does not stop.
@pytest.mark.parametrize("reader", ENDPOINT_READERS)
@pytest.mark.parametrize("name", ENDLESS)
async def test_response_without_end_is_read_within_the_memory(
    parser, client, server_of, name, reader
):
    url = await server_of(*ENDLESS[name])
    read = ENDPOINT_READERS[reader]
    tracemalloc.start()
    ends = await asyncio.gather(
        *(read(client, url) for _ in range(REQUESTS_AT_ONCE)), return_exceptions=True
    )
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if reader != "service":
        assert {isinstance(end, UpstreamFailedError) for end in ends} == {True}, ends
    assert peak_bytes <= MAX_MEMORY_BYTES


@pytest.mark.parametrize("name", ["body", "chunks", "error", "head"])
async def test_endless_response_of_the_platform_keeps_to_the_memory(
    parser, client, server_of, name
):
    url = await server_of(*ENDLESS[name])
    async with checked_session() as session:
        readers = platform_readers(session, url).values()
        tracemalloc.start()
        assert await client.close(url, "attempt") is None
        ends = await asyncio.gather(
            *(read() for read in readers), return_exceptions=True
        )
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert {isinstance(end, PlatformError) for end in ends} == {True}, ends
    assert peak_bytes <= MAX_MEMORY_BYTES


# Guards against a reader whose responses nobody checks.
def test_all_sessions_check_their_responses():
    sources = Path(verbenagrade.__file__).parent.rglob("*.py")
    product = (path for path in sources if "tests" not in path.parts)
    opens = [path.name for path in product if "ClientSession(" in path.read_text()]
    assert opens == ["checked_responses.py"]
