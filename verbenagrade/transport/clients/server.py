"""The server for the clients of one listener."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from aiohttp import web

from verbenagrade.state.client_limits import Listener
from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.clients.connections import ClientConnection
from verbenagrade.transport.clients.shared import Clients

__all__ = ["ClientServer", "Handler", "ListenerOptions"]

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


class ClientServer(web.Server):
    """A server whose connections count in the account of the process."""

    def __init__(
        self,
        handler: Handler,
        options: ListenerOptions,
        clients: Clients,
        request_factory: Callable[..., web.BaseRequest] | None = None,
    ) -> None:
        super().__init__(
            _refuse_tunnels(handler),
            request_factory=request_factory,
            handler_cancellation=options.cancels_handlers,
        )
        self.options = options
        self.clients = clients

    def __call__(self) -> ClientConnection:
        """Returns the protocol of a new connection."""
        return ClientConnection(
            self,
            self.clients,
            self.options.listener,
            self.options.limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            lingering_time=self.options.linger_s,
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
