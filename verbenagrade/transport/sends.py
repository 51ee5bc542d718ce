"""Sends each request at most once, and records its connection.

The HTTP library sends a request again, over another connection, if a connection closes
without a response and the method is one that HTTP calls idempotent. Whether a call may
run again is for its route to say, and the server may have run it already. Requests
within ``send_once`` therefore open one connection.

>>> with send_once() as sent:
...     pass  # session.request(...), with a session that has a SingleSendConnector
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

__all__ = ["SentRequest", "SingleSendConnector", "send_once"]


class SentRequest:
    """The connection of one request.

    ``connections`` is 1 once it was opened, and ``closed`` is done when it has closed.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.closed: asyncio.Future[None] | None = None


_sent_request: ContextVar[SentRequest | None] = ContextVar("sent_request", default=None)


@contextmanager
def send_once(sent: SentRequest | None = None) -> Iterator[SentRequest]:
    """Lets the present task open one connection, for one request, and records it."""
    sent = sent or SentRequest()
    token = _sent_request.set(sent)
    try:
        yield sent
    finally:
        _sent_request.reset(token)


class SingleSendConnector(aiohttp.TCPConnector):
    """Opens at most one connection for a request within ``send_once``.

    A response releases its connection with the last byte, so the future for the
    end of the connection has to be obtained when the connection is opened.

    ``max_read_bytes`` is the most that is read from a connection at once, 0 for what
    the event loop reads by default. Further options are those of the library.
    """

    def __init__(self, max_read_bytes: int = 0, **options: object) -> None:
        super().__init__(**options)
        self.max_read_bytes = max_read_bytes

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Opens a connection, or takes one that is kept open, and records it.

        Raises ``aiohttp.ServerDisconnectedError`` if the request has had one.
        """
        sent = _sent_request.get()
        if sent is not None and sent.connections:
            raise aiohttp.ServerDisconnectedError(
                "the connection closed without a response; the request may have run"
            )
        connection = await super().connect(req, traces, timeout)
        if self.max_read_bytes:
            connection.transport.max_size = self.max_read_bytes
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
