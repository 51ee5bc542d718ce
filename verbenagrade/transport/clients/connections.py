"""HTTP connections of clients, whose memory and work are limited before they are used.

A connection reads into a buffer that all share, and hands the library's parser one
piece after the other: while a request is served, no further one is parsed, and a body
goes on only as fast as it is read. What a connection holds is counted in the account of
the process, which may give it up. A request that is being received is then refused as
not run; a connection without one is closed.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web
from aiohttp.http import RawRequestMessage

from verbenagrade.state.client_account import Activity, GiveUpReason
from verbenagrade.state.client_limits import Listener
from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.clients import parsing
from verbenagrade.transport.clients.counting import CountedConnection
from verbenagrade.transport.clients.shared import READ_BYTES, Clients

__all__ = ["ClientConnection"]

HEAD_SLACK_BYTES = 2 * READ_BYTES
"""Bytes of empty lines before a request, or of a body after its head, that may have
arrived with a head, in bytes."""

LINGER_S = 1.0
"""Time in seconds for which a connection that is given up still discards what arrives,
so that its client can read the response."""

TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class ClientConnection(CountedConnection, asyncio.BufferedProtocol):
    """A connection of a client.

    ``drained_bytes`` of the body have been read by the handler. ``work_s`` is the time
    in seconds that parsing took since the connection was last idle.
    """

    def __init__(
        self,
        server: web.Server,
        clients: Clients,
        listener: Listener,
        limits: Callable[[], CallerLimits],
        **options: object,
    ) -> None:
        super().__init__(server, clients, listener, limits, **options)
        # The library's own parser would read 32 requests ahead, with their bodies.
        self._max_msg_queue_size = 1
        self._msg_queue_resume_size = 0
        self._parser = parsing.make_parser(self, self._loop)
        self.is_drain_scheduled = False
        self.drained_bytes = 0
        self.work_s = 0.0

    # Reading

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Returns the buffer for the next bytes."""
        return self.clients.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes received bytes, which are parsed as soon as it is their turn."""
        if self.is_discarding or self._force_close:
            return
        self.pending += self.clients.buffer[:nbytes]
        self.begin_head()
        if self.can_parse():
            self.clients.submit(self)
        if self.pending:
            self.update_reading()
            self.note_held()

    def data_received(self, data: bytes) -> None:
        """Does nothing: what the parser holds is parsed when it is its turn."""

    def stop_receiving(self) -> None:
        """Discards what arrives, and the fields and trailers that the parser keeps."""
        super().stop_receiving()
        if self._parser is not None:
            self._parser = parsing.make_parser(self, self._loop)

    def update_reading(self) -> None:
        """Reads from the connection unless enough is pending."""
        if self.transport is None:
            return
        is_full = len(self.pending) >= READ_BYTES
        if is_full == self.is_reading_paused:
            return
        self.is_reading_paused = is_full
        if is_full:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Notes that the handler has read from the body, or that it is complete."""
        if self._reading_paused:
            self._reading_paused = False
            self.received.has_rest = True
        if self.is_drain_scheduled or not self.receives_body():
            return
        self.is_drain_scheduled = True
        self._loop.call_soon(self._note_drained)

    def _note_drained(self) -> None:
        self.is_drain_scheduled = False
        self.drained_bytes = self.body.total_bytes
        self._parse_later()

    def _pause_transport_reading(self) -> None:
        """Leaves it to ``update_reading`` whether the connection is read."""

    def _resume_transport_reading(self) -> None:
        """Leaves it to ``update_reading`` whether the connection is read."""

    # Parsing

    def can_parse(self) -> bool:
        """Returns whether the parser may have the next piece."""
        if self.transport is None or self._force_close or self.is_discarding:
            return False
        if self._messages or self._reading_paused:
            return False
        if self.receives_body():
            return self.body.total_bytes == self.drained_bytes
        return not self.is_serving

    def parse_next(self) -> int:
        """Parses one piece, and returns the memory in bytes that it may take."""
        if not self.can_parse():
            self.update_reading()
            return 0
        received = self.received
        receives_body = self.receives_body()
        known_bytes = self.body.total_bytes if receives_body else 0
        data = self._take_piece()
        cost_bytes = received.count_body() if receives_body else received.count_head()
        begins_head = not receives_body and received.head_bytes == len(data)
        if not self.hold():
            self.account.leave(self.record, GiveUpReason.MEMORY)
            self.give_up(GiveUpReason.MEMORY)
            return 0
        super().data_received(data)
        self._note_parsed(data, receives_body, known_bytes)
        if not data:
            # The parser may hold several requests.
            received.has_rest = bool(self._messages)
        elif self.body is not None and self.body.is_eof():
            body_bytes = self.body.total_bytes - known_bytes
            received.note_rest(data, body_bytes, begins_head)
        self._parse_later()
        return cost_bytes

    def _take_piece(self) -> bytes:
        """Returns the next piece, empty if the parser holds the rest of the last."""
        if self.received.has_rest:
            self.received.has_rest = False
            return b""
        data, self.pending = self.pending, b""
        self.received.add_piece(data)
        return data

    def _note_parsed(self, data: bytes, received_body: bool, known_bytes: int) -> None:
        """Notes what the parser has found in a piece."""
        if self._messages:
            self._begin_request(received_body)
        elif received_body:
            self._continue_body(known_bytes)
        elif data or self.received.head_bytes:
            self._continue_head(data)

    def _begin_request(self, received_body: bool) -> None:
        """Notes a request whose head is complete, or an error of the parser."""
        message, body = self._messages[-1]
        self.is_serving = True
        self.end_head()
        if not isinstance(message, RawRequestMessage):
            if received_body:
                reason = "the body can't be read; correct its chunks"
                self.fail_body(web.RequestPayloadError(reason))
            return
        self.received.begin_request(len(message.raw_headers), message.chunked)
        self.body, self.drained_bytes = body, 0
        self._note_call()
        self.is_refused = not self.hold()

    def _continue_body(self, known_bytes: int) -> None:
        """Notes a piece of a body, or of the rest that a handler left."""
        ended = self.body.is_eof()
        grown = self.body.total_bytes > known_bytes or ended
        if self.received.has_too_much_overhead(grown):
            self.leave(GiveUpReason.BODY_OVERHEAD)
            self.fail_body(web.RequestPayloadError("its chunks hold no data"))
        elif grown and self.is_serving:
            self._note_call()
        elif not ended:
            self.note_activity(Activity.RECEIVING)

    def _note_call(self) -> None:
        """Tells the account whether the next step of a call is the client's."""
        receives = self.receives_body()
        self.note_activity(Activity.RECEIVING_CALL if receives else Activity.SERVED)

    def _continue_head(self, data: bytes) -> None:
        """Notes a piece of a head, and refuses one that is too large."""
        self.note_activity(Activity.RECEIVING)
        if data:
            self.begin_head()
        limit_bytes = self.limits().header_bytes + HEAD_SLACK_BYTES
        max_bytes = max(limit_bytes, parsing.MAX_LINE_BYTES + HEAD_SLACK_BYTES)
        if not self.received.has_too_large_head(limit_bytes, max_bytes):
            return
        self.leave(GiveUpReason.HEAD_SIZE)
        self.stop_receiving()
        self.stop_timer()
        self.transport.write(TOO_LARGE_RESPONSE)
        self._loop.call_later(LINGER_S, self.force_close)

    def _parse_later(self) -> None:
        """Lets the connection wait for its next turn, if it has more to parse."""
        if (self.pending or self.received.has_rest) and self.can_parse():
            self.clients.submit(self)
        else:
            self.update_reading()

    # Responding

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: object
    ) -> tuple[web.StreamResponse, bool]:
        """Ends the response, and goes on with the next request."""
        if self.is_discarding and not resp.prepared:
            resp.force_close()
        result = await super().finish_response(request, resp, start_time)
        if self.is_discarding:
            await self._linger()
        else:
            self._end_request()
        return result

    async def _linger(self) -> None:
        """Discards what arrives for some time, and closes the connection."""
        error = self.body.exception() if self.body is not None else None
        if error is not None:
            # Its traceback keeps what was read of the body.
            error.with_traceback(None)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write_eof()
            await asyncio.sleep(LINGER_S)
        self.force_close()

    def _end_request(self) -> None:
        self.is_serving = self.is_refused = False
        self.response_bytes = self.source_bytes = 0
        self.received.end_request()
        if not self.pending:
            self.work_s = 0.0
        self.note_held()
        if self._messages:
            # Parsed together with the end of the last request.
            self._begin_request(False)
            return
        if self.receives_body():
            # The library reads the rest.
            self.note_activity(Activity.RECEIVING)
            self.body.on_eof(self._become_idle)
        else:
            self._become_idle()
        self._parse_later()

    def _become_idle(self) -> None:
        """Begins the idle time after a request."""
        if self.transport is not None and not self.is_serving:
            self.note_activity(Activity.IDLE)
            self.await_request()
