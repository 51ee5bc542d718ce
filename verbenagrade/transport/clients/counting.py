"""Counts what a connection of a client holds, and lets it give way."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from verbenagrade.events import Event
from verbenagrade.exceptions import OverloadedError
from verbenagrade.state.client_account import Activity, ClientRecord, GiveUpReason
from verbenagrade.state.client_limits import Listener
from verbenagrade.state.request_input import RequestInput
from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.clients.shared import Clients
from verbenagrade.transport.clients.timeouts import TimedConnection

__all__ = ["CountedConnection"]

BODY_COPIES = 2
"""Copies of a body while it is sent on."""

KERNEL_BYTES = 65_536
"""What the kernel receives for a connection that is not read, in bytes, see
``listeners``."""

WRITE_BUFFER_BYTES = 32_768
"""Bytes of a response that wait to be written, above which no more are added."""

MAX_REASON = 200
"""Longest text of an error that is logged, in characters."""


class CountedConnection(TimedConnection):
    """A connection that counts in the account of the process.

    ``pending`` was received and not given to the parser. ``body`` is that of the last
    request, and ``is_serving`` is set from the end of its head to the end of its
    response. While ``is_reading_paused``, the kernel keeps what arrives. While
    ``is_discarding``, nothing more is parsed. A request that found no room
    ``is_refused``. ``source_bytes`` is what is held of a response that has not been
    written because its client takes nothing.
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
        self.account = clients.account
        self.record = ClientRecord(self.listener, clients.clock(), self.give_up)
        self.received = RequestInput()
        self.is_counted = self.is_reading_paused = False
        self.is_serving = self.is_discarding = self.is_refused = False
        self.pending = b""
        self.body: asyncio.StreamReader | None = None
        self.response_bytes = self.unread_bytes = self.source_bytes = 0
        self.stall_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins the idle time of a new connection, or closes it unread."""
        self.is_counted = self.account.open(self.record, self.clients.clock())
        if not self.is_counted:
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)
        self.await_request()

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
        if reason is not GiveUpReason.CONNECTIONS and self._receives_call():
            self.fail_body(OverloadedError("too much is received at once; come back"))
        else:
            self.abort()

    def leave(self, reason: GiveUpReason) -> None:
        """Counts the connection as given up."""
        self.account.leave(self.record, reason)
        self._log_given_up(reason)

    def abort(self) -> None:
        """Closes the connection at once, with what was not written yet."""
        transport = self.transport
        self.force_close()
        if transport is not None:
            transport.abort()

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

    def update_reading(self) -> None:
        """Reads from the connection unless enough is pending."""

    def receives_body(self) -> bool:
        """Returns whether a body is not complete, of a call or of a refused one."""
        return self.body is not None and not self.body.is_eof()

    def _receives_call(self) -> bool:
        return self.is_serving and self.receives_body()

    def _log_given_up(self, reason: GiveUpReason) -> None:
        self.clients.log(
            Event.CLIENT_GIVEN_UP,
            listener=self.listener,
            reason=reason.value,
            serving=self.is_serving,
            connections=self.account.connections(self.listener),
            held_bytes=self.account.held_bytes,
        )

    def held_bytes(self) -> int:
        """Returns what the connection holds beyond what it needs at least."""
        held_bytes = len(self.pending) + self.response_bytes + self.unread_bytes
        if self.is_reading_paused:
            held_bytes += KERNEL_BYTES
        if self.record.activity is Activity.UNREAD:
            held_bytes += self.source_bytes
        if self.is_serving and self.body is not None:
            held_bytes += BODY_COPIES * self.body.total_bytes
        return held_bytes + self.received.held_bytes(self.is_serving)

    def hold(self) -> bool:
        """Asks for what the connection holds now; returns false without room for it."""
        now = self.clients.clock()
        return self.account.hold(self.record, self.held_bytes(), now)

    def note_held(self) -> None:
        """Counts what the connection holds already."""
        now = self.clients.clock()
        self.account.note(self.record, self.held_bytes(), now)

    def note_activity(self, activity: Activity) -> None:
        """Notes that the connection has made progress."""
        self.account.progress(self.record, activity, self.clients.clock())

    def hold_response(self, size_bytes: int) -> bool:
        """Counts a response that is kept whole; returns false without room for it."""
        grown_bytes = size_bytes - self.response_bytes
        if not self.account.has_spare(self.listener, grown_bytes):
            return False
        self.response_bytes = size_bytes
        self.note_held()
        return True

    def release_response(self) -> None:
        """Counts a response, or a part of one, no more that is not kept any longer."""
        if self.response_bytes:
            self.response_bytes = 0
            self.note_held()

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
        transport = self.transport
        size_bytes = 0 if transport is None else transport.get_write_buffer_size()
        self.unread_bytes = size_bytes if activity is Activity.UNREAD else 0
        self.note_activity(activity)
        self.note_held()

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
        self.leave(GiveUpReason.UNREAD)
        self.abort()

    def log_exception(self, *args: object, **options: object) -> None:
        """Logs an error of a connection as an event, without a traceback."""
        error = repr(options.get("exc_info"))[:MAX_REASON]
        self.clients.log(Event.CONNECTION_FAILED, listener=self.listener, reason=error)
