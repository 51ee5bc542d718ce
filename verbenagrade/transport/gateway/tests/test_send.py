"""Tests that reading a response fails as declared, whatever its connection does."""

import asyncio

import pytest

from verbenagrade.exceptions import UpstreamFailedError
from verbenagrade.transport.gateway.send import read_chunk
from verbenagrade.transport.gateway.upstream import endpoint_session
from verbenagrade.transport.sends import SentRequest, send_once


# Guards against an error that nobody declares, by which a call failed unexpectedly, if
# a body that can't be parsed closes its connection while nobody reads it.
async def test_read_after_the_connection_was_closed_fails_as_declared():
    async def serve(reader, writer):
        """Sends a chunk, and then bytes that are none."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nall\r\n")
        await asyncio.sleep(0.02)
        writer.write(b"junk\r\n")
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    sent = SentRequest()
    async with server, endpoint_session() as session:
        with send_once(sent):
            response = await session.get(f"http://127.0.0.1:{port}/x")
        assert await read_chunk(response, 1.0) == b"all"
        await asyncio.wait({sent.closed}, timeout=1.0)
        with pytest.raises(UpstreamFailedError):
            await read_chunk(response, 1.0)
