"""Sends one request to an endpoint, and reads the response to its end."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass

import aiohttp
from aiohttp.http import HttpProcessingError
from multidict import CIMultiDict
from yarl import URL

from verbenagrade.exceptions import UpstreamFailedError, UpstreamTimeoutError
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.transport.checked_responses import check_body_end
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.response_ends import fail_body_at_close
from verbenagrade.transport.sends import SentRequest, send_once

__all__ = [
    "SKIPPED_HEADERS",
    "OutgoingRequest",
    "read_chunk",
    "send_to_endpoint",
]

SLICE_BYTES = 65_536
"""Size of the parts in which a body is sent, in bytes. Written at once, the rest would
be copied until the endpoint has taken it."""

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
    headers, data = request.headers, request.body or None
    if len(request.body) > SLICE_BYTES:
        headers = CIMultiDict(headers)
        headers["Content-Length"] = str(len(request.body))
        data = _slices(request.body)
    try:
        with send_once(sent):
            response = await core.session.request(
                request.method,
                URL(f"http://{entry.address}{request.path}", encoded=True),
                headers=headers,
                data=data,
                allow_redirects=False,
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=core.settings.tuning.connect_s
                ),
            )
            fail_body_at_close(response, sent.closed)
            return response
    finally:
        if sent.connections:
            core.reach.record_connected(started_at)


async def _slices(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), SLICE_BYTES):
        yield body[start : start + SLICE_BYTES]


async def read_chunk(response: aiohttp.ClientResponse, timeout_s: float) -> bytes:
    """Returns the next bytes of the body, empty at its end.

    Raises ``UpstreamTimeoutError`` if no bytes arrive within ``timeout_s`` seconds, and
    ``UpstreamFailedError`` if the response has no end, or other bytes after it. Whether
    its end shows that it is complete is for ``check_end``.
    """
    try:
        async with asyncio.timeout(timeout_s):
            data = await response.content.readany()
    except TimeoutError as error:
        raise UpstreamTimeoutError("timeout while reading the response") from error
    # The HTTP library raises ``RuntimeError`` for a read after the connection was lost,
    # and an error of its parser if that is written in Python.
    except (
        aiohttp.ClientError,
        HttpProcessingError,
        OSError,
        RuntimeError,
    ) as error:
        raise UpstreamFailedError(f"the answer broke off: {error!r}") from error
    if not data:
        check_body_end(response)
    return data
