"""Starts the HTTP servers of a gateway."""

from collections.abc import Callable, Mapping
from typing import Any

from aiohttp import web

from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.gateway.caller_connections import CallerServer, Handler

__all__ = ["listen", "listen_for_callers"]

KEEPALIVE_TIMEOUT_S = 75.0
"""How long connections that are not of callers may be idle, in seconds."""

MAX_HEADER_LINE_BYTES = 65_536
"""Longest request line or header that the parser accepts; configurations set lower
limits."""

MAX_FIELDS = MAX_HEADER_LINE_BYTES // len("a:\r\n")
"""Most fields of a head that the parser accepts, if each is as small as possible."""

CONNECTION_OPTIONS: Mapping[str, Any] = {
    "access_log": None,
    "auto_decompress": False,
    "max_line_size": MAX_HEADER_LINE_BYTES,
    "max_field_size": MAX_HEADER_LINE_BYTES,
    "max_headers": MAX_FIELDS,
}


async def listen_for_callers(
    address: str, handler: Handler, limits: Callable[[], CallerLimits]
) -> web.ServerRunner:
    """Serves callers at an address, with connections that keep ``limits``."""
    return await _serve(address, CallerServer(handler, limits, **CONNECTION_OPTIONS))


async def listen(address: str, handler: Handler) -> web.ServerRunner:
    """Serves other VMs, or what watches this one, at an address."""
    server = web.Server(
        handler,
        handler_cancellation=True,
        keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        **CONNECTION_OPTIONS,
    )
    return await _serve(address, server)


async def _serve(address: str, server: web.Server) -> web.ServerRunner:
    runner = web.ServerRunner(server)
    await runner.setup()
    host, _, port = address.rpartition(":")
    site = web.TCPSite(runner, host, int(port), backlog=1024)
    await site.start()
    return runner
