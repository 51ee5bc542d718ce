"""Sends one request to an endpoint, and reads the response to its end."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp
from yarl import URL

from verbenagrade.exceptions import UpstreamFailedError, UpstreamTimeoutError
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.response_end import Framing
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.sends import SentRequest, send_once

__all__ = [
    "SKIPPED_HEADERS",
    "OutgoingRequest",
    "read_chunk",
    "read_framing",
    "send_to_endpoint",
]

SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request for an endpoint."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


async def send_to_endpoint(
    core: GatewayCore,
    entry: EndpointEntry,
    request: OutgoingRequest,
    sent: SentRequest,
) -> aiohttp.ClientResponse:
    """Opens a connection, sends a request and returns the head of the response.

    Raises ``aiohttp.ClientConnectorError`` or ``aiohttp.ConnectionTimeoutError`` if
    nothing was sent, and other exceptions if the outcome is unknown.
    """
    started_at = core.clock()
    try:
        with send_once(sent):
            return await core.session.request(
                request.method,
                URL(f"http://{entry.address}{request.path}", encoded=True),
                headers=request.headers,
                data=request.body or None,
                allow_redirects=False,
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=core.settings.tuning.connect_s
                ),
            )
    finally:
        if sent.connections:
            core.reach.record_connected(started_at)


async def read_chunk(
    response: aiohttp.ClientResponse,
    closed: asyncio.Future[None] | None,
    timeout_s: float,
) -> bytes:
    """Returns the next bytes of the body, empty at its end.

    ``closed`` is the end of the connection. Raises ``UpstreamTimeoutError`` if no bytes
    arrive within ``timeout_s`` seconds, and ``UpstreamFailedError`` if the response is
    incomplete.
    """
    try:
        async with asyncio.timeout(timeout_s):
            data = await response.content.readany()
    except TimeoutError as error:
        raise UpstreamTimeoutError("timeout while reading the response") from error
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamFailedError(f"the answer broke off: {error!r}") from error
    # A body without a length ends with its connection, so a reset could otherwise be
    # taken for the end of the body.
    reset = closed is not None and closed.done() and closed.exception() is not None
    if not data and reset:
        raise UpstreamFailedError("the connection was reset during the response")
    return data


def read_framing(response: aiohttp.ClientResponse) -> Framing:
    """Returns what shows the end of the body of a response."""
    if "Transfer-Encoding" in response.headers:
        return Framing.CHUNKS
    if "Content-Length" in response.headers:
        return Framing.LENGTH
    return Framing.CONNECTION
