"""Records the connections that a request opens, and how the last one closed.

A request that is sent over HTTP may need more than one connection: the client library
repeats methods that HTTP calls idempotent if a connection closes without a response.

>>> with record_connections() as sent:
...     pass  # session.request(...), with a session that has a RecordingConnector
>>> sent.connections
0
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar

import aiohttp
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

__all__ = ["RecordingConnector", "SentRequest", "record_connections"]


class SentRequest:
    """The connections of one request.

    ``connections`` counts those that were opened, and ``closed`` is done when the last
    one has closed.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.closed: asyncio.Future[None] | None = None


_sent_request: ContextVar[SentRequest | None] = ContextVar("sent_request", default=None)


@contextmanager
def record_connections(sent: SentRequest | None = None) -> Iterator[SentRequest]:
    """Records the connections that the present task opens for one request."""
    sent = sent or SentRequest()
    token = _sent_request.set(sent)
    try:
        yield sent
    finally:
        _sent_request.reset(token)


class RecordingConnector(aiohttp.TCPConnector):
    """Opens connections and records them for ``record_connections``.

    A response releases its connection with the last byte, so the future for the
    end of the connection has to be obtained when the connection is opened.
    """

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Opens a connection, or takes one that is kept open, and records it."""
        sent = _sent_request.get()
        connection = await super().connect(req, traces, timeout)
        if sent is None:
            return connection
        sent.connections += 1
        protocol = connection.protocol
        sent.closed = protocol.closed if protocol is not None else None
        if sent.closed is not None:
            sent.closed.add_done_callback(_mark_retrieved)
        return connection


def _mark_retrieved(closed: asyncio.Future[None]) -> None:
    """Retrieves the exception, so that asyncio does not log a late reset."""
    if not closed.cancelled():
        closed.exception()
