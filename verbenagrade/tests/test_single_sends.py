"""Tests that HTTP clients send each request once, whatever its method is."""

import asyncio

import aiohttp
import pytest

from verbenagrade.commands.client import ControlError, call_control
from verbenagrade.exceptions import UpstreamFailedError, UpstreamUnreachableError
from verbenagrade.transport.endpoint_client import EndpointClient
from verbenagrade.transport.sends import SingleSendConnector

METHODS = ["GET", "HEAD", "PUT", "DELETE", "POST"]


class ClosingServer:
    """Reads requests and closes each connection without a response.

    With ``refuse_later``, no connection is accepted after the first one.
    """

    def __init__(self, refuse_later=False) -> None:
        self.refuse_later = refuse_later
        self.received = 0

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.url = f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self.server.close()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.received += 1
        if self.refuse_later:
            self.server.close()
        writer.close()


async def send(url, method):
    connector = SingleSendConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        client = EndpointClient(session, 1.0, 1.0)
        async with client.send(method, f"{url}/x", None, "attempt"):
            pass


# Guards against a second run of a call of a plain service whose endpoint closed the
# connection.
@pytest.mark.parametrize("method", METHODS)
async def test_attempt_whose_connection_closes_is_sent_once(method):
    async with ClosingServer() as server:
        with pytest.raises(UpstreamFailedError):
            await send(server.url, method)
    assert server.received == 1


# Guards against taking the end of an endpoint for a connection that was not opened.
@pytest.mark.parametrize("method", METHODS)
async def test_attempt_at_an_endpoint_that_ends_has_an_unknown_outcome(method):
    async with ClosingServer(refuse_later=True) as server:
        with pytest.raises(UpstreamFailedError):
            await send(server.url, method)


@pytest.mark.parametrize("method", METHODS)
async def test_attempt_without_a_connection_is_known_not_to_have_run(method):
    async with ClosingServer() as server:
        url = server.url
    with pytest.raises(UpstreamUnreachableError):
        await send(url, method)


# Guards against a change of an operator that is applied twice, and reported as a
# conflict with itself.
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
async def test_change_of_an_operator_is_sent_once(method):
    async with ClosingServer() as server:
        with pytest.raises(ControlError):
            await call_control(server.url, method, "/x", dict)
    assert server.received == 1
