"""Starts the HTTP servers of a gateway."""

from collections.abc import Callable

from aiohttp import web

from verbenagrade.state.client_limits import Listener
from verbenagrade.state.routes import CallerLimits
from verbenagrade.transport.clients.listeners import start_server
from verbenagrade.transport.clients.parsing import MAX_LINE_BYTES
from verbenagrade.transport.clients.server import (
    ClientServer,
    Handler,
    ListenerOptions,
)
from verbenagrade.transport.clients.shared import Clients

__all__ = ["listen_for_callers", "listen_for_health_checks", "listen_for_vms"]

KEEPALIVE_TIMEOUT_S = 75.0
"""How long connections that are not of callers may be idle, in seconds."""

HEADER_TIMEOUT_S = 10.0
"""Time for the head of a request that is not of a caller, in seconds."""


async def listen_for_callers(
    address: str,
    handler: Handler,
    limits: Callable[[], CallerLimits],
    clients: Clients,
) -> web.ServerRunner:
    """Serves callers at an address, with connections that keep ``limits``."""
    return await _serve(
        address, handler, ListenerOptions(Listener.CALLERS, limits), clients
    )


async def listen_for_vms(
    address: str, handler: Handler, clients: Clients
) -> web.ServerRunner:
    """Serves other VMs at an address."""
    limits = CallerLimits(
        header_bytes=MAX_LINE_BYTES,
        header_timeout_s=HEADER_TIMEOUT_S,
        idle_timeout_s=KEEPALIVE_TIMEOUT_S,
    )
    options = ListenerOptions(Listener.FLEET, lambda: limits)
    return await _serve(address, handler, options, clients)


async def listen_for_health_checks(
    address: str, handler: Handler, clients: Clients
) -> web.ServerRunner:
    """Serves what watches this VM at an address; bodies are not read."""
    limits = CallerLimits(
        header_timeout_s=HEADER_TIMEOUT_S, idle_timeout_s=KEEPALIVE_TIMEOUT_S
    )
    options = ListenerOptions(Listener.HEALTH, lambda: limits, linger_s=0.0)
    return await _serve(address, handler, options, clients)


async def _serve(
    address: str, handler: Handler, options: ListenerOptions, clients: Clients
) -> web.ServerRunner:
    runner = web.ServerRunner(ClientServer(handler, options, clients))
    await runner.setup()
    ip, _, port = address.rpartition(":")
    await start_server(runner, ip, int(port))
    return runner
