"""HTTP connections of clients, whose memory and work are limited before they are used.

A connection reads into a buffer that all share, and hands the library's parser one
piece after the other: while a request is served, no further one is parsed, and a body
goes on only as fast as it is read. What a connection holds is counted in the account of
the process, which may give it up. A request that is being received is then refused as
not run; a connection without one is closed.

A connection is idle until the first byte of a request arrives. From then on the head
has to arrive within the header timeout. While a request is served, only a client that
takes nothing of the response has a limit, the idle timeout.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web
from aiohttp.http import HttpRequestParser, RawRequestMessage

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import OverloadedError
from verbenagrade.state.client_account import Activity, ClientRecord, GiveUpReason
from verbenagrade.state.client_limits import Listener
from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.client_input import READ_BYTES, Clients

__all__ = [
    "MAX_LINE_BYTES",
    "ClientConnection",
    "ClientServer",
    "Handler",
    "ListenerOptions",
]

MAX_LINE_BYTES = 65_536
"""Longest request line or field that the parser accepts, in bytes; configurations set
lower limits."""

HEAD_END = b"\r\n\r\n"
MIN_FIELD_BYTES = len("a:\r\n")
MAX_FIELDS = MAX_LINE_BYTES // MIN_FIELD_BYTES
"""Size of the smallest field, in bytes, and the most fields of a head."""

HEAD_SLACK_BYTES = 2 * READ_BYTES
"""Bytes of empty lines before a request, or of a body after its head, that may have
arrived with a head, in bytes."""

FIELD_BYTES = 700
"""Memory that a field of a head takes beyond its text, in the parser and in the copies
that are passed on, in bytes."""

LINE_BYTES = 100
"""Memory that a chunk of a body takes until it is read, beyond its data, in bytes."""

BODY_COPIES = 2
"""Copies of a body while it is sent on."""

BODY_OVERHEAD_BYTES = 65_536
"""Bytes between two bytes of a body, in the lines of its chunks or after it."""

PARSER_BUFFER_BYTES = 65_536
"""Size of the library's own buffer for a body, in bytes. It is more than a piece, since
the library would otherwise stop the parser in the middle of a piece."""

WRITE_BUFFER_BYTES = 32_768
"""Bytes of a response that wait to be written, above which no more are added."""

CLOSING_DELAY_S = 0.5
"""Time in seconds between the end of a timeout and the close of the connection. What
arrived while the process was suspended is read in this time."""

LINGER_S = 1.0
"""Time in seconds for which a connection that is given up still discards what arrives,
so that its client can read the response."""

TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
MAX_REASON = 200
"""Longest text of an error that is logged, in characters."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class ListenerOptions:
    """How the connections of a listener are treated.

    ``limits`` returns the limits in force. With ``cancels_handlers`` the handler of a
    request ends when its client leaves. ``linger_s`` is the time in seconds for which
    the rest of a body is read that the handler left.
    """

    listener: Listener
    limits: Callable[[], CallerLimits]
    cancels_handlers: bool = True
    linger_s: float = 10.0


class ClientConnection(web.RequestHandler, asyncio.BufferedProtocol):
    """A connection of a client.

    ``pending`` was received and not given to the parser, which may hold the rest of the
    last piece itself (``parser_holds``), of the next head perhaps only a part
    (``holds_partial_head``). ``body`` is that of the last request, of which
    ``drained_bytes`` have been read. ``is_serving`` is set from the end of a head to
    the end of the response. While ``is_discarding``, nothing more is parsed. A request
    that found no room ``is_refused``.
    """

    def __init__(self, server: "ClientServer", **options: object) -> None:
        super().__init__(server, **options)
        # The library's own parser would read 32 requests ahead, with their bodies.
        self._max_msg_queue_size = 1
        self._msg_queue_resume_size = 0
        self._parser = HttpRequestParser(
            self,
            self._loop,
            PARSER_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_FIELDS,
            payload_exception=web.RequestPayloadError,
            auto_decompress=False,
            max_msg_queue_size=1,
        )
        self.clients: Clients = server.clients
        self.account = server.clients.account
        self.limits = server.options.limits
        listener = server.options.listener.value
        self.record = ClientRecord(listener, self.clients.clock(), self.give_up)
        self.is_counted = False
        self.pending = b""
        self.parser_holds = False
        self.holds_partial_head = True
        self.is_chunked = False
        self.is_reading_paused = False
        self.is_queued = False
        self.is_drain_scheduled = False
        self.is_serving = False
        self.is_discarding = False
        self.is_refused = False
        self.work_s = 0.0
        self.body: asyncio.StreamReader | None = None
        self.drained_bytes = 0
        self.piece_bytes = self.piece_lines = 0
        self.head_bytes = self.head_lines = self.overhead_bytes = 0
        self.request_bytes = self.response_bytes = self.unread_bytes = 0
        self.awaits_request = True
        self.has_partial_head = False
        self.timer: asyncio.TimerHandle | None = None
        self.stall_timer: asyncio.TimerHandle | None = None

    # Opening and closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins the idle time of a new connection, or closes it unread."""
        self.is_counted = self.account.open(self.record, self.clients.clock())
        if not self.is_counted:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)
        self.start_timer(self.limits().idle_timeout_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Counts the connection no more."""
        if not self.is_counted:
            return
        self.account.close(self.record)
        self.stop_timer()
        self._stop_stall_timer()
        self.pending = b""
        super().connection_lost(exc)

    def give_up(self, reason: GiveUpReason) -> None:
        """Refuses the request that is being received, or closes the connection."""
        self._log_given_up(reason)
        if reason is not GiveUpReason.CONNECTIONS and self._receives_body():
            self.fail_body(OverloadedError("too much is received at once; come back"))
        else:
            self._abort()

    def _leave(self, reason: GiveUpReason) -> None:
        """Counts the connection as given up."""
        self.account.leave(self.record, reason)
        self._log_given_up(reason)

    def _log_given_up(self, reason: GiveUpReason) -> None:
        log_event(
            Event.CLIENT_GIVEN_UP,
            listener=self.record.listener,
            reason=reason.value,
            serving=self.is_serving,
            connections=self.account.connections(self.record.listener),
            held_bytes=self.account.held_bytes,
        )

    def fail_body(self, error: Exception) -> None:
        """Lets the handler find an error in place of the rest of the body."""
        self.stop_receiving()
        if self.body is not None and self.body.exception() is None:
            self.body.set_exception(error)

    def stop_receiving(self) -> None:
        """Discards what arrives, until the connection closes after the response."""
        self.is_discarding = True
        self.pending = b""
        self.update_reading()

    def _receives_body(self) -> bool:
        return self.is_serving and self.body is not None and not self.body.is_eof()

    def _abort(self) -> None:
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

    # Reading

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Returns the buffer for the next bytes."""
        return self.clients.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes received bytes, which are parsed as soon as it is their turn."""
        if self.is_discarding or self._force_close:
            return
        self.pending += self.clients.buffer[:nbytes]
        if self.awaits_request and not self.has_partial_head:
            self.has_partial_head = True
            self.start_timer(self.limits().header_timeout_s)
        if self.can_parse():
            self.clients.submit(self)
        else:
            self.update_reading()

    def data_received(self, data: bytes) -> None:
        """Does nothing: what the parser holds is parsed when it is its turn."""

    def can_parse(self) -> bool:
        """Returns whether the parser may have the next piece."""
        if self.transport is None or self._force_close or self.is_discarding:
            return False
        if self._messages or self._reading_paused:
            return False
        if self.body is not None and not self.body.is_eof():
            return self.body.total_bytes == self.drained_bytes
        return not self.is_serving

    def parse_next(self) -> int:
        """Parses one piece, and returns the memory in bytes that it may take."""
        if not self.can_parse():
            self.update_reading()
            return 0
        receives_body = self.body is not None and not self.body.is_eof()
        known_bytes = self.body.total_bytes if receives_body else 0
        data = self._take_piece()
        cost_bytes = self._count_piece(receives_body)
        begins_head = not receives_body and self.head_bytes == len(data)
        now = self.clients.clock()
        if not self.account.hold(self.record, self._held_bytes(), now):
            self.account.leave(self.record, GiveUpReason.MEMORY)
            self.give_up(GiveUpReason.MEMORY)
            return 0
        super().data_received(data)
        if self._messages:
            self._begin_request(receives_body)
        elif receives_body:
            self._continue_body(known_bytes)
        else:
            self._continue_head(data)
        if not data:
            # The parser may hold several requests.
            self.parser_holds = bool(self._messages)
        elif self.body is not None and self.body.is_eof():
            self._note_tail(data, self.body.total_bytes - known_bytes, begins_head)
        self._parse_later()
        return cost_bytes

    def _note_tail(self, data: bytes, body_bytes: int, begins_head: bool) -> None:
        """Notes whether a part of a piece may belong to the next request.

        ``body_bytes`` of it are the end of a body, before which there is a whole head
        if the piece ``begins_head``.
        """
        rest_bytes = len(data)
        if not self.is_chunked:
            rest_bytes -= body_bytes
        if begins_head:
            rest_bytes -= data.find(HEAD_END) + len(HEAD_END)
        self.parser_holds = rest_bytes > 0
        self.holds_partial_head = not data.endswith(HEAD_END)

    def _take_piece(self) -> bytes:
        """Returns the next piece, empty if the parser holds the rest of the last."""
        if self.parser_holds:
            self.parser_holds = False
            return b""
        data, self.pending = self.pending, b""
        self.piece_bytes, self.piece_lines = len(data), data.count(b"\n")
        self.holds_partial_head = True
        return data

    def _count_piece(self, receives_body: bool) -> int:
        """Counts a piece, and returns the memory in bytes that it may take."""
        if receives_body:
            return self.piece_bytes + self.piece_lines * LINE_BYTES
        if self.holds_partial_head:
            self.head_bytes += self.piece_bytes
            self.head_lines += self.piece_lines
        return self.piece_bytes + self.piece_lines * FIELD_BYTES

    def _held_bytes(self) -> int:
        """Returns what the connection holds beyond what it needs at least."""
        held_bytes = len(self.pending) + self.response_bytes + self.unread_bytes
        if self.is_serving and self.body is not None:
            held_bytes += BODY_COPIES * self.body.total_bytes
        if self.is_serving:
            return held_bytes + self.request_bytes + self.piece_lines * LINE_BYTES
        return held_bytes + self.head_bytes + self.head_lines * FIELD_BYTES

    def _begin_request(self, received_body: bool) -> None:
        """Notes a request whose head is complete."""
        message, body = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            if received_body:
                reason = "the body can't be read; correct its chunks"
                self.fail_body(web.RequestPayloadError(reason))
            self.is_serving = True
            self.stop_timer()
            return
        fields = len(message.raw_headers)
        self.request_bytes = self.head_bytes + fields * FIELD_BYTES
        self.head_bytes = self.head_lines = self.overhead_bytes = 0
        self.body, self.drained_bytes = body, 0
        self.is_chunked = message.chunked
        self.is_serving = True
        self.awaits_request = self.has_partial_head = False
        self.stop_timer()
        now = self.clients.clock()
        self._note_activity(now)
        self.is_refused = not self.account.hold(self.record, self._held_bytes(), now)

    def _continue_body(self, known_bytes: int) -> None:
        """Notes a piece of a body."""
        if self.body.total_bytes > known_bytes or self.body.is_eof():
            self.overhead_bytes = 0
            self._note_activity(self.clients.clock())
            return
        self.overhead_bytes += self.piece_bytes
        if self.overhead_bytes > BODY_OVERHEAD_BYTES:
            self._leave(GiveUpReason.BODY_OVERHEAD)
            self.fail_body(web.RequestPayloadError("its chunks hold no data"))

    def _continue_head(self, data: bytes) -> None:
        """Notes a piece of a head, and refuses one that is too large."""
        if not data and not self.head_bytes:
            return
        self.account.progress(self.record, Activity.RECEIVING, self.clients.clock())
        if data and not self.has_partial_head:
            self.has_partial_head = True
            self.start_timer(self.limits().header_timeout_s)
        limit_bytes = self.limits().header_bytes
        max_bytes = max(limit_bytes, MAX_LINE_BYTES) + HEAD_SLACK_BYTES
        max_lines = (limit_bytes + HEAD_SLACK_BYTES) // MIN_FIELD_BYTES
        if self.head_bytes <= max_bytes and self.head_lines <= max_lines:
            return
        self._leave(GiveUpReason.HEAD_SIZE)
        self.stop_receiving()
        self.stop_timer()
        self.transport.write(TOO_LARGE_RESPONSE)
        self._loop.call_later(LINGER_S, self.force_close)

    def _note_activity(self, now: float) -> None:
        """Tells the account whether the next step is the client's."""
        if self.is_serving:
            receives = not self.body.is_eof()
            activity = Activity.RECEIVING_CALL if receives else Activity.SERVED
            self.account.progress(self.record, activity, now)
        elif not self.body.is_eof():
            self.account.progress(self.record, Activity.RECEIVING, now)

    def _parse_later(self) -> None:
        """Lets the connection wait for its next turn, if it has more to parse."""
        if (self.pending or self.parser_holds) and self.can_parse():
            self.clients.submit(self)
        else:
            self.update_reading()

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
            self.parser_holds = True
        if self.is_drain_scheduled or self.body is None or self.body.is_eof():
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
        self.request_bytes = self.response_bytes = 0
        if not self.pending:
            self.work_s = 0.0
        now = self.clients.clock()
        self.account.note(self.record, self._held_bytes(), now)
        if self._messages:
            # Parsed together with the end of the last request.
            self._begin_request(False)
            return
        if self.body is None or self.body.is_eof():
            self._await_request()
        else:
            # The library reads the rest.
            self.account.progress(self.record, Activity.RECEIVING, now)
            self.body.on_eof(self._await_request)
        self._parse_later()

    def _await_request(self) -> None:
        """Begins the idle time after a request."""
        if self.transport is None or self.is_serving:
            return
        self.awaits_request = True
        self.has_partial_head = False
        self.account.progress(self.record, Activity.IDLE, self.clients.clock())
        self.start_timer(self.limits().idle_timeout_s)

    def hold_response(self, size_bytes: int) -> bool:
        """Counts a response that is kept whole; returns false without room for it."""
        grown_bytes = size_bytes - self.response_bytes
        if not self.account.has_spare(self.record.listener, grown_bytes):
            return False
        self.response_bytes = size_bytes
        self.account.note(self.record, self._held_bytes(), self.clients.clock())
        return True

    def pause_writing(self) -> None:
        """Notes that the client does not take the response as fast as it comes."""
        super().pause_writing()
        self._note_unread(Activity.UNREAD)
        self._start_stall_timer()

    def resume_writing(self) -> None:
        """Notes that the client has taken most of what was written."""
        super().resume_writing()
        self._stop_stall_timer()
        self._note_unread(Activity.SERVED if self.is_serving else Activity.IDLE)

    def _note_unread(self, activity: Activity) -> None:
        now = self.clients.clock()
        transport = self.transport
        size_bytes = 0 if transport is None else transport.get_write_buffer_size()
        self.unread_bytes = size_bytes if activity is Activity.UNREAD else 0
        self.account.progress(self.record, activity, now)
        self.account.note(self.record, self._held_bytes(), now)

    def _start_stall_timer(self) -> None:
        self._stop_stall_timer()
        timeout_s = self.limits().idle_timeout_s
        self.stall_timer = self._loop.call_later(timeout_s, self._check_stalled)

    def _stop_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def _check_stalled(self) -> None:
        """Closes the connection if its client has taken nothing for the idle time."""
        transport = self.transport
        if transport is None:
            return
        if transport.get_write_buffer_size() < self.unread_bytes:
            self._note_unread(Activity.UNREAD)
            self._start_stall_timer()
            return
        self._leave(GiveUpReason.UNREAD)
        self._abort()

    def log_exception(self, *args: object, **options: object) -> None:
        """Logs an error of a connection as an event, without a traceback."""
        error = repr(options.get("exc_info"))[:MAX_REASON]
        log_event(Event.CONNECTION_FAILED, listener=self.record.listener, reason=error)

    # Timeouts

    def start_timer(self, timeout_s: float) -> None:
        """Starts the timer, instead of one that is running."""
        self.stop_timer()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(
            timeout_s, lambda: self.close_later(loop, timeout_s)
        )

    def stop_timer(self) -> None:
        """Stops the timer if it is running."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def close_later(self, loop: asyncio.AbstractEventLoop, timeout_s: float) -> None:
        """Closes the connection after ``CLOSING_DELAY_S``, unless a request begins."""
        self.timer = loop.call_later(CLOSING_DELAY_S, lambda: self.close_now(timeout_s))

    def close_now(self, timeout_s: float) -> None:
        """Closes the connection once all of the last response is written.

        One whose bytes have not had their turn yet stays open.
        """
        transport = self.transport
        is_writing = transport is not None and transport.get_write_buffer_size()
        if is_writing or self.is_queued:
            self.start_timer(timeout_s)
            return
        if self.has_partial_head:
            log_event(Event.HEAD_INCOMPLETE, timeout_s=timeout_s)
            self.account.count(self.record.listener, GiveUpReason.HEAD_TIMEOUT)
        self.force_close()


class ClientServer(web.Server):
    """A server for the clients of one listener.

    ``library_options`` are those of ``aiohttp.web.RequestHandler``.
    """

    def __init__(
        self,
        handler: Handler,
        options: ListenerOptions,
        clients: Clients,
        request_factory: Callable[..., web.BaseRequest] | None = None,
        **library_options: object,
    ) -> None:
        super().__init__(
            _refuse_tunnels(handler),
            request_factory=request_factory,
            handler_cancellation=options.cancels_handlers,
        )
        self.options = options
        self.clients = clients
        self.library_options = library_options

    def __call__(self) -> ClientConnection:
        """Returns the protocol of a new connection."""
        return ClientConnection(
            self,
            loop=asyncio.get_running_loop(),
            access_log=None,
            lingering_time=self.options.linger_s,
            **self.library_options,
        )


def _refuse_tunnels(handler: Handler) -> Handler:
    """Returns the handler of all requests but those that would turn into a tunnel."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request."""
        if request.method != "CONNECT":
            return await handler(request)
        request.protocol.stop_receiving()
        return web.Response(status=400, text="tunnels are not served\n")

    return handle
