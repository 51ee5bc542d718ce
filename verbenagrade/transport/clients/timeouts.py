"""Closes connections of clients that exceed the time limits in force.

A connection is idle until the first byte of a request arrives. From then on the head of
the request has to arrive within the header timeout. While a request is served, only a
client that takes nothing of the response has a limit, the idle timeout.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web

from verbenagrade.events import Event, log_event
from verbenagrade.state.client_account import GiveUpReason
from verbenagrade.state.client_limits import Listener
from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.clients.shared import Clients

__all__ = ["TimedConnection"]

CLOSING_DELAY_S = 0.5
"""Time in seconds between the end of a timeout and the close of the connection. What
arrived while the process was suspended is read in this time."""


class TimedConnection(web.RequestHandler):
    """A connection with a timer.

    ``awaits_request`` is true unless a request is served, and ``has_partial_head``
    once a part of the next request has arrived. ``is_queued`` is set while received
    bytes wait for their turn to be parsed.
    """

    def __init__(
        self,
        server: web.Server,
        clients: Clients,
        listener: Listener,
        limits: Callable[[], CallerLimits],
        **options: object,
    ) -> None:
        super().__init__(server, **options)
        self.clients = clients
        self.listener = listener.value
        self.limits = limits
        self.awaits_request = True
        self.has_partial_head = False
        self.is_queued = False
        self.timer: asyncio.TimerHandle | None = None

    def begin_head(self) -> None:
        """Begins the header timeout with the first byte of a head."""
        if self.awaits_request and not self.has_partial_head:
            self.has_partial_head = True
            self.start_timer(self.limits().header_timeout_s)

    def end_head(self) -> None:
        """Stops the timer, because the head of a request is complete."""
        self.awaits_request = self.has_partial_head = False
        self.stop_timer()

    def await_request(self) -> None:
        """Begins the idle time, at first or after a request."""
        self.awaits_request = True
        self.has_partial_head = False
        self.start_timer(self.limits().idle_timeout_s)

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
            self.clients.account.count(self.listener, GiveUpReason.HEAD_TIMEOUT)
        self.force_close()
