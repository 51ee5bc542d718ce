"""Sends a call to one endpoint and reads the response.

Each attempt opens its own connection. A kept-alive connection that closes while
idle, or delivers a late response to an earlier call, would leave the outcome of
the next call unknown.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from contextvars import ContextVar

import aiohttp
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from yarl import URL

from verbenagrade.exceptions import (
    UpstreamFailedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from verbenagrade.protocol.calls import EndpointCall, ResponseHead
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore

__all__ = ["UpstreamResponse", "endpoint_session", "open_upstream"]

MAX_LINE_BYTES = 16_384
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


_connection_end: ContextVar[asyncio.Future[None] | None] = ContextVar(
    "connection_end", default=None
)


class EndpointConnector(aiohttp.TCPConnector):
    """Exposes how a connection was closed, by ``_connection_end``.

    A response releases its connection with the last byte, so the future for the
    end of the connection has to be obtained when the connection is opened.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Opens a connection and stores its closing future in the task's context."""
        connection = await super().connect(req, traces, timeout)
        protocol = connection.protocol
        closed = protocol.closed if protocol is not None else None
        if closed is not None:
            closed.add_done_callback(_mark_retrieved)
        _connection_end.set(closed)
        return connection


def _mark_retrieved(closed: asyncio.Future[None]) -> None:
    """Retrieves the exception, so that asyncio does not log a late reset."""
    if not closed.cancelled():
        closed.exception()


def endpoint_session() -> aiohttp.ClientSession:
    """Returns a session without keep-alive, cookies or decompression."""
    return aiohttp.ClientSession(
        connector=EndpointConnector(limit=0, force_close=True),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


class UpstreamResponse:
    """The response of an endpoint; status and headers have arrived."""

    def __init__(self, response: aiohttp.ClientResponse, head: ResponseHead) -> None:
        self.response = response
        self.head = head
        self.closed = _connection_end.get()

    async def read_chunk(self, timeout_s: float) -> bytes:
        """Returns the next bytes of the body, empty at its end.

        Raises ``UpstreamTimeoutError`` if none arrive within ``timeout_s`` seconds,
        and ``UpstreamFailedError`` if the response is incomplete.
        """
        try:
            async with asyncio.timeout(timeout_s):
                data = await self.response.content.readany()
        except TimeoutError as error:
            raise UpstreamTimeoutError("timeout while reading the response") from error
        except (aiohttp.ClientError, OSError) as error:
            raise UpstreamFailedError(f"the answer broke off: {error!r}") from error
        if not data:
            self._raise_if_reset()
        return data

    def _raise_if_reset(self) -> None:
        """Raises ``UpstreamFailedError`` if the connection was reset.

        A body without a length ends with its connection, so a reset could
        otherwise be taken for the end of the body.
        """
        closed = self.closed
        if closed is not None and closed.done() and closed.exception() is not None:
            raise UpstreamFailedError("the connection was reset during the response")


@asynccontextmanager
async def open_upstream(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    timeout_s: float,
) -> AsyncIterator[UpstreamResponse]:
    """Sends a call and yields the response once its headers have arrived.

    ``timeout_s`` limits the time until then, in seconds. Raises
    ``UpstreamUnreachableError`` if nothing was sent, and ``UpstreamTimeoutError``
    or ``UpstreamFailedError`` if the outcome is unknown.
    """
    try:
        response = await _request(core, call, progress, entry, timeout_s)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UpstreamUnreachableError(f"connection failed: {error!r}") from error
    except TimeoutError as error:
        raise UpstreamTimeoutError("no answer in time") from error
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise UpstreamFailedError(f"no response: {error!r}") from error
    try:
        headers = response.headers
        head = core.call_format.read_response_head(
            response.status, headers, call.head.call_id
        )
        if not head.matches_call:
            raise UpstreamFailedError("the response belongs to another call")
        yield UpstreamResponse(response, head)
    finally:
        response.close()


async def _request(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    timeout_s: float,
) -> aiohttp.ClientResponse:
    now = core.clock()
    workspace = call.workspace
    endpoint_call = EndpointCall(
        endpoint=entry.name,
        remaining_s=call.deadline - now,
        workspace=workspace.name if workspace else "",
        resume_after=progress.last_event_id,
        priority=engine_priority(call),
    )
    headers = core.call_format.endpoint_headers(call.headers, endpoint_call)
    url = URL(f"http://{entry.address}{call.head.path}", encoded=True)
    connect_s = core.settings.tuning.connect_s
    async with asyncio.timeout(timeout_s):
        return await core.session.request(
            call.method,
            url,
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
            skip_auto_headers=SKIPPED_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
        )


HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9


def engine_priority(call: Call) -> int | None:
    """Returns the priority of a call for its engine, 0 for the highest.

    The priority of the workspace takes precedence over that of the route. The result
    is ``None`` for calls that do not stream: plain services take no priority.
    """
    if not call.kind.streams:
        return None
    priority = call.route.priority
    if call.workspace is not None and call.workspace.priority is not None:
        priority = call.workspace.priority
    return min(LOWEST_PRIORITY, max(HIGHEST_PRIORITY, priority))
