"""What a response and its connection show of the end of the body."""

import asyncio
import socket
import struct

import aiohttp

from verbenagrade.state.response_end import Framing

__all__ = [
    "ended_with_reset",
    "fail_body_at_close",
    "read_framing",
    "reset_connection",
    "try_connection",
]

STATUSES_WITHOUT_BODY = frozenset({204, 304})

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER``: linger for 0 s, which sends a reset."""


def read_framing(response: aiohttp.ClientResponse) -> Framing:
    """Returns what shows the end of the body of a response."""
    if response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY:
        return Framing.LENGTH
    codings = response.headers.get("Transfer-Encoding", "")
    if codings:
        last = codings.rpartition(",")[2].strip().lower()
        return Framing.CHUNKS if last == "chunked" else Framing.CONNECTION
    if "Content-Length" in response.headers:
        return Framing.LENGTH
    return Framing.CONNECTION


def ended_with_reset(closed: asyncio.Future[None] | None) -> bool:
    """Returns whether a connection has ended with an error; ``closed`` is its end."""
    return closed is not None and closed.done() and closed.exception() is not None


def fail_body_at_close(
    response: aiohttp.ClientResponse, closed: asyncio.Future[None] | None
) -> None:
    """Lets the body fail if its connection closes and it has not ended.

    The HTTP library closes the connection if it can't parse a body, and would let its
    reader wait.
    """

    def fail(_closed: asyncio.Future[None]) -> None:
        """Sets the error, unless the end or another error is known."""
        if not response.content.is_eof() and response.content.exception() is None:
            error = aiohttp.ClientPayloadError("the body can't be parsed")
            response.content.set_exception(error)

    if closed is not None:
        closed.add_done_callback(fail)


def reset_connection(transport: asyncio.Transport) -> None:
    """Resets a connection, whose orderly close would look like the end of a body."""
    connection = transport.get_extra_info("socket")
    if connection is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


async def try_connection(host: str, port: int, timeout_s: float) -> Exception | None:
    """Opens and closes a connection; returns the error if that fails."""
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        return error
    writer.close()
    return None
