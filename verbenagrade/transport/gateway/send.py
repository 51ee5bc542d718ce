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
    "fail_body_at_close",
    "read_chunk",
    "read_framing",
    "send_to_endpoint",
]

STATUSES_WITHOUT_BODY = frozenset({204, 304})
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
            response = await core.session.request(
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
            fail_body_at_close(response, sent.closed)
            return response
    finally:
        if sent.connections:
            core.reach.record_connected(started_at)


def fail_body_at_close(
    response: aiohttp.ClientResponse, closed: asyncio.Future[None] | None
) -> None:
    """Lets the body fail if its connection closes and it has not ended.

    The HTTP library closes the connection if it can't parse a body, and would let its
    reader wait.
    """

    def fail(_closed: asyncio.Future[None]) -> None:
        """Sets the error, unless the end or another error is known."""
        if not response.content.is_eof() and response.content.exception() is None:
            error = aiohttp.ClientPayloadError("the body can't be parsed")
            response.content.set_exception(error)

    if closed is not None:
        closed.add_done_callback(fail)


async def read_chunk(response: aiohttp.ClientResponse, timeout_s: float) -> bytes:
    """Returns the next bytes of the body, empty at its end.

    Raises ``UpstreamTimeoutError`` if no bytes arrive within ``timeout_s`` seconds, and
    ``UpstreamFailedError`` if the response has no end. Whether its end shows that it is
    complete is for ``check_end``.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await response.content.readany()
    except TimeoutError as error:
        raise UpstreamTimeoutError("timeout while reading the response") from error
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamFailedError(f"the answer broke off: {error!r}") from error


def read_framing(response: aiohttp.ClientResponse) -> Framing:
    """Returns what shows the end of the body of a response."""
    if response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    codings = response.headers.get("Transfer-Encoding", "")
    if codings:
        last = codings.rpartition(",")[2].strip().lower()
        return Framing.CHUNKS if last == "chunked" else Framing.CONNECTION
    if "Content-Length" in response.headers:
        return Framing.LENGTH
    return Framing.CONNECTION
