"""Tests that a body which broke off is not taken for a complete one."""

import asyncio
import socket
import struct

import pytest

from verbenagrade.exceptions import UpstreamFailedError
from verbenagrade.transport.checked_responses import checked_session
from verbenagrade.transport.endpoint_client import EndpointClient
from verbenagrade.transport.sends import SentRequest, SingleSendConnector

RESET = struct.pack("ii", 1, 0)
TIMEOUT_S = 5.0


async def read(response, close, upload=None):
    """Returns the body that a client reads of a response, whose endpoint closes.

    The endpoint does not read the body of the call, ``upload``.
    """

    async def serve(reader, writer):
        """Sends the response, and ends the connection or the whole endpoint."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n" + response)
        await writer.drain()
        await asyncio.sleep(0.02)
        if close == "exit":
            server.close()
        if close == "reset":
            connection = writer.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/x"
    connector = SingleSendConnector(limit=0, force_close=True)
    sent = SentRequest()
    async with server, checked_session(connector=connector) as session:
        client = EndpointClient(session, TIMEOUT_S, TIMEOUT_S)
        async with client.send("POST", url, upload, "attempt", sent=sent) as upstream:
            body = await upstream.read()
            await client.check_end(upstream, sent)
            return body


# Guards against a half body being told, and stored for retries, as a complete one.
@pytest.mark.parametrize("close", ["reset", "exit"])
async def test_body_without_length_that_broke_off_is_not_complete(close):
    with pytest.raises(UpstreamFailedError):
        await read(b"\r\nhalf", close)


async def test_body_without_length_is_complete_if_its_endpoint_lives():
    assert await read(b"\r\nall of it", "close") == b"all of it"


@pytest.mark.parametrize("close", ["reset", "exit", "close"])
async def test_body_with_its_length_is_complete(close):
    assert await read(b"Content-Length: 3\r\n\r\nall", close) == b"all"


# Guards against waiting for the rest of a body that can't be read.
async def test_body_whose_chunks_cannot_be_read_fails_at_once():
    head = b"Transfer-Encoding: chunked\r\n\r\n"
    async with asyncio.timeout(TIMEOUT_S / 2):
        with pytest.raises(UpstreamFailedError):
            await read(head + b"3\r\nall\r\njunk\r\n", "close")


# Guards against the part of a body that is told as a complete one because the endpoint
# responds and breaks off while the call is still sent.
@pytest.mark.parametrize("framing", [b"", b"Content-Length: 99\r\n"])
@pytest.mark.parametrize("size_bytes", [300_000, 3_000_000])
async def test_body_that_breaks_off_in_an_upload_is_not_complete(size_bytes, framing):
    with pytest.raises(UpstreamFailedError):
        await read(framing + b"\r\npart", "reset", upload=bytes(size_bytes))
