"""Opens the sockets and starts the HTTP servers that clients connect to."""

import resource
import socket
from collections.abc import Mapping

from aiohttp import web

from verbenagrade.state.client_account import ListenerLimits
from verbenagrade.state.client_limits import (
    Listener,
    ProcessLimits,
    limits_of_listeners,
)
from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.clients.server import ClientServer, ListenerOptions
from verbenagrade.transport.clients.shared import Clients

__all__ = [
    "ClientAppRunner",
    "available_descriptors",
    "client_limits",
    "open_listener",
    "start_server",
]

CALLER_LIMITS = CallerLimits(
    header_bytes=32_768, header_timeout_s=10.0, idle_timeout_s=3_600.0
)
"""Limits of the clients of routers and control processes, which no configuration
sets."""

BYTES_PER_MB = 1_000_000

RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 131_072
"""Size of the kernel's buffers of a connection, in bytes, of which Linux takes twice as
much. What the kernel has received and the process has not read is memory of the
process."""

MAX_DESCRIPTORS = 1_048_576
"""Descriptors that are counted on where there is no limit."""

BACKLOG = 1024
"""Connections that the kernel holds until they are accepted."""

ACCEPTED_PER_TURN = 32
"""Connections that are accepted in one turn of the event loop."""


class ClientAppRunner(web.AppRunner):
    """Runs an application whose connections are limited as those of any client.

    A request is served to its end, also if its client leaves. ``library_options`` are
    those of ``aiohttp.web.AppRunner``.
    """

    def __init__(
        self,
        application: web.Application,
        clients: Clients,
        **library_options: object,
    ) -> None:
        super().__init__(application, **library_options)
        self.clients = clients

    async def _make_server(self) -> ClientServer:
        """Returns the server of the application."""
        server = await super()._make_server()
        options = ListenerOptions(
            Listener.CALLERS, lambda: CALLER_LIMITS, cancels_handlers=False
        )
        return ClientServer(
            server.request_handler,
            options,
            self.clients,
            request_factory=server.request_factory,
        )


def available_descriptors(max_descriptors: int = 0) -> int:
    """Returns how many descriptors the process may have.

    ``max_descriptors`` is another limit, 0 without one.
    """
    available, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if available == resource.RLIM_INFINITY:
        available = MAX_DESCRIPTORS
    return min(max_descriptors or available, available)


def client_limits(client_memory_mb: int) -> Mapping[str, ListenerLimits]:
    """Returns the limits of each listener of a router or a control process."""
    memory_bytes = client_memory_mb * BYTES_PER_MB
    return limits_of_listeners(ProcessLimits(memory_bytes, available_descriptors()))


class ListeningSocket(socket.socket):
    """A socket that lets the event loop accept few connections in one turn.

    The loop accepts as many as the kernel holds before it makes a connection of the
    first, and so before too many can be closed.
    """

    accepted = 0

    def accept(self) -> tuple[socket.socket, object]:
        """Accepts a connection.

        Raises ``BlockingIOError`` without one, and once after some in a row.
        """
        if self.accepted >= ACCEPTED_PER_TURN:
            self.accepted = 0
            raise BlockingIOError
        try:
            connection = super().accept()
        except OSError:
            self.accepted = 0
            raise
        self.accepted += 1
        return connection


def open_listener(ip: str, port: int) -> ListeningSocket:
    """Returns a socket bound to an address, with limited buffers of the kernel.

    Raises ``OSError`` if another process uses the port.
    """
    listener = ListeningSocket()
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        listener.bind((ip, port))
    except OSError:
        listener.close()
        raise
    return listener


async def start_server(runner: web.BaseRunner, ip: str, port: int) -> None:
    """Serves at an address with a runner that was set up."""
    site = web.SockSite(runner, open_listener(ip, port), backlog=BACKLOG)
    await site.start()
