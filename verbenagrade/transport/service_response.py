"""Passes the response of a plain service on to its caller.

A response is kept until it is known to be complete, as long as there is room for it.
Otherwise it is passed on as fast as its caller takes it, and breaks off visibly if it
turns out to be incomplete.
"""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from verbenagrade.transport.endpoint_connections import UNTAKEN_BYTES
from verbenagrade.transport.response_ends import reset_connection

__all__ = ["MAX_STORED_RESPONSE_BYTES", "ServiceResponse", "may_keep"]

MAX_STORED_RESPONSE_BYTES = 65_536
"""Size up to which a response is stored for a retried call, and kept in any case."""

COPIES = 2
"""Copies of a response that is kept: what was read, and what is written."""

SLICE_BYTES = 16_384
"""Size of the parts in which a response is read and passed on, in bytes."""


def may_keep(request: web.Request, size_bytes: int) -> bool:
    """Returns whether so much of the response to a request may be kept whole."""
    if size_bytes <= MAX_STORED_RESPONSE_BYTES:
        return True
    return request.protocol.hold_response(COPIES * size_bytes)


class ServiceResponse:
    """The response to one call.

    ``kept`` was received and not passed on. ``caller_left`` is set once the caller
    has closed the connection, or has taken nothing for ``progress_s`` seconds; the
    rest is then read to tell whether the call was completed.
    """

    def __init__(
        self, request: web.Request, headers: dict[str, str], progress_s: float
    ) -> None:
        self.request = request
        self.headers = headers
        self.progress_s = progress_s
        self.kept = bytearray()
        self.response: web.StreamResponse | None = None
        self.payload_writer: AbstractStreamWriter | None = None
        self.caller_left = False

    async def receive(self, upstream: aiohttp.ClientResponse) -> None:
        """Reads the body to its end; raises the library's errors if it breaks off."""
        while data := await upstream.content.read(SLICE_BYTES):
            if self.caller_left:
                continue
            if self.response is not None:
                await self._write(data)
                continue
            self.kept += data
            if not may_keep(self.request, len(self.kept)):
                await self._begin(upstream)

    async def finish(self, upstream: aiohttp.ClientResponse) -> web.StreamResponse:
        """Returns the complete response, which may have been passed on already."""
        if self.response is None:
            return web.Response(
                status=upstream.status,
                body=bytes(self.kept),
                content_type=upstream.content_type,
                headers=self.headers,
            )
        await self._send(self.response.write_eof)
        return self.response

    def abort(self) -> None:
        """Closes the connection, so that the caller sees an incomplete response."""
        self.caller_left = True
        if self.request.transport is not None:
            reset_connection(self.request.transport)

    async def _begin(self, upstream: aiohttp.ClientResponse) -> None:
        """Passes on what was kept."""
        self.response = web.StreamResponse(status=upstream.status, headers=self.headers)
        self.response.content_type = upstream.content_type
        self.request.protocol.source_bytes = UNTAKEN_BYTES
        kept, self.kept = bytes(self.kept), bytearray()
        for start in range(0, len(kept), SLICE_BYTES):
            await self._write(kept[start : start + SLICE_BYTES])

    async def _write(self, data: bytes) -> None:
        """Writes a part once the caller has taken most of the last one."""

        async def write() -> None:
            """Writes it after the head."""
            if self.payload_writer is None:
                self.payload_writer = await self.response.prepare(self.request)
            await self.response.write(data)
            await self.payload_writer.drain()

        await self._send(write)

    async def _send(self, write: Callable[[], Awaitable[None]]) -> None:
        """Writes to the caller, and gives up one that has left or takes nothing."""
        if self.caller_left:
            return
        try:
            async with asyncio.timeout(self.progress_s):
                await write()
        except (ConnectionError, TimeoutError):
            self.abort()
