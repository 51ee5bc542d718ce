"""Refuses calls for which there is no room, and reads the bodies of the others."""

import asyncio

from aiohttp import web

from verbenagrade.exceptions import OverloadedError
from verbenagrade.transport.gateway import refusals
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.memory import max_calls

__all__ = ["RefusedError", "check_load", "read_body"]


class RefusedError(Exception):
    """A call is refused; ``refusal`` is the response that its caller gets."""

    def __init__(self, refusal: refusals.Refusal, detail: str = "") -> None:
        super().__init__(detail or refusal.reason)
        self.refusal = refusal


def check_load(core: GatewayCore, request: web.BaseRequest) -> None:
    """Refuses a call for which there is no room.

    If too many calls are in flight, one whose caller sends no more of its body, or
    takes nothing of its response, gives way.
    """
    connection = request.protocol
    if connection.is_refused:
        raise RefusedError(refusals.OVERLOADED, "clients hold all memory for them")
    if core.in_flight <= max_calls(core.settings):
        return
    account, listener = core.clients.account, connection.record.listener
    if not account.make_way_for_call(listener, core.clock()):
        raise RefusedError(refusals.OVERLOADED)


async def read_body(
    core: GatewayCore, request: web.BaseRequest, limit: int, deadline: float
) -> bytes:
    """Reads the body of a call, at most until a time in seconds.

    A body that does not go on for the idle timeout of callers is not awaited longer.
    """
    if (request.content_length or 0) > limit:
        raise RefusedError(refusals.BODY_TOO_LARGE)
    if request.content.at_eof():
        return b""
    body = bytearray()
    try:
        while data := await _read_some(core, request, deadline):
            body += data
            if len(body) > limit:
                raise RefusedError(refusals.BODY_TOO_LARGE)
    except OverloadedError as error:
        raise RefusedError(refusals.OVERLOADED, str(error)) from error
    except web.RequestPayloadError as error:
        raise RefusedError(refusals.INVALID_BODY, str(error)) from error
    return bytes(body)


async def _read_some(
    core: GatewayCore, request: web.BaseRequest, deadline: float
) -> bytes:
    """Returns the next bytes of a body, empty at its end."""
    idle_s = request.protocol.limits().idle_timeout_s
    try:
        async with asyncio.timeout(min(idle_s, deadline - core.clock())) as timeout:
            return await request.content.readany()
    except TimeoutError as error:
        if not timeout.expired():
            raise
        request.protocol.stop_receiving()
        raise RefusedError(refusals.BODY_TIMEOUT) from error
