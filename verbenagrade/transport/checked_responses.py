"""Responses of endpoints, the platform and other VMs that are valid in HTTP.

All sessions are opened here, so that nothing but a valid response reaches any reader.
The HTTP library parses; what it has read is checked before its reader gets it.
"""

from collections.abc import AsyncIterator
from typing import Self

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError

from verbenagrade.exceptions import UpstreamFailedError
from verbenagrade.protocol.response_heads import ReceivedHead, find_head_fault

__all__ = [
    "CheckedResponse",
    "InvalidResponseError",
    "ResponseTooLargeError",
    "check_body_end",
    "checked_session",
    "read_body",
    "read_parts",
]

RESPONSE_START = b"HTTP/"


class InvalidResponseError(UpstreamFailedError, aiohttp.ClientError):
    """What was received is no valid response; the outcome of the request is unknown.

    The sender has to be repaired. It is also an error of the HTTP library, so that all
    that handle those handle it.
    """


class ResponseTooLargeError(InvalidResponseError):
    """A response is larger than its reader takes."""


class CheckedResponse(aiohttp.ClientResponse):
    """A response whose head is valid once it has started.

    ``protocol`` parses what its connection receives, and ``has_more`` is set if bytes
    that begin no further response have followed the body.
    """

    protocol: ResponseHandler | None = None
    has_more = False

    async def start(self, connection: Connection) -> Self:
        """Reads the head.

        Raises ``InvalidResponseError`` if it is not that of a final response, or if
        other bytes have arrived after the end of the response.
        """
        self.protocol = connection.protocol
        try:
            await super().start(connection)
            self._check_head()
            self.check_body_end()
        except (aiohttp.ClientResponseError, InvalidResponseError) as error:
            # A kept connection that went back with the last byte is not used again.
            self.protocol.close()
            if isinstance(error, InvalidResponseError):
                raise
            raise InvalidResponseError(
                f"what came can't be parsed: {error.message}"
            ) from error
        return self

    def check_body_end(self) -> None:
        """Raises ``InvalidResponseError`` if other bytes have followed the body."""
        if self.has_more or _has_more(self.protocol):
            raise InvalidResponseError("bytes after the end of the response")

    def _check_head(self) -> None:
        version = (self.version.major, self.version.minor)
        head = ReceivedHead(version, self.status, self.reason or "", self.raw_headers)
        if fault := find_head_fault(head):
            raise InvalidResponseError(fault)

    def _response_eof(self) -> None:
        """Notes what follows the body, after the parser and before the close."""
        self._loop.call_soon(self._note_more)
        super()._response_eof()

    def _note_more(self) -> None:
        self.has_more = self.has_more or _has_more(self.protocol)


def check_body_end(response: aiohttp.ClientResponse) -> None:
    """Raises ``InvalidResponseError`` if other bytes have followed a body.

    Those of a further response are left to nobody: the body before them is complete.
    """
    if isinstance(response, CheckedResponse):
        response.check_body_end()


async def read_parts(
    response: aiohttp.ClientResponse, max_bytes: int
) -> AsyncIterator[bytes]:
    """Yields the parts of a body as they arrive.

    Raises ``ResponseTooLargeError`` as soon as it turns out to have more than
    ``max_bytes`` bytes.
    """
    size_bytes = response.content_length or 0
    received_bytes = 0
    while size_bytes <= max_bytes:
        data = await response.content.readany()
        if not data:
            check_body_end(response)
            return
        received_bytes += len(data)
        size_bytes = max(size_bytes, received_bytes)
        if size_bytes <= max_bytes:
            yield data
    raise ResponseTooLargeError(f"the body has more than {max_bytes} bytes")


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Returns the whole body; raises the same errors as ``read_parts``."""
    body = bytearray()
    async for data in read_parts(response, max_bytes):
        body += data
    return bytes(body)


def checked_session(**options: object) -> aiohttp.ClientSession:
    """Returns a session that yields valid responses only.

    Its requests raise ``InvalidResponseError`` for all others. The options are those of
    ``aiohttp.ClientSession``.
    """
    return aiohttp.ClientSession(response_class=CheckedResponse, **options)


def _has_more(protocol: ResponseHandler) -> bool:
    """Returns whether bytes that begin no response follow what was parsed.

    The library's parser in C fails at them, and the one in Python keeps them.
    """
    if isinstance(protocol.exception(), HttpProcessingError):
        return True
    parser = protocol._parser
    lines = getattr(parser, "_lines", ())
    rest = b"\n".join((*lines, getattr(parser, "_tail", b"")))
    return not RESPONSE_START.startswith(rest[: len(RESPONSE_START)])
