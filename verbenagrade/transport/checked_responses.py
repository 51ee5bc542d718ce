"""Responses of endpoints, the platform and other VMs that are valid in HTTP.

All sessions are opened here, so that nothing but a valid response reaches any reader.
The HTTP library parses; what it has read is checked before its reader gets it.
"""

from typing import Self

import aiohttp
from aiohttp.connector import Connection

from verbenagrade.exceptions import UpstreamFailedError
from verbenagrade.protocol.response_heads import ReceivedHead, find_head_fault

__all__ = [
    "CheckedResponse",
    "InvalidResponseError",
    "checked_session",
]


class InvalidResponseError(UpstreamFailedError, aiohttp.ClientError):
    """What was received is no valid response; the outcome of the request is unknown.

    The sender has to be repaired. It is also an error of the HTTP library, so that all
    that handle those handle it.
    """


class CheckedResponse(aiohttp.ClientResponse):
    """A response whose head is valid once it has started."""

    async def start(self, connection: Connection) -> Self:
        """Reads the head.

        Raises ``InvalidResponseError`` if it is not that of a final response.
        """
        protocol = connection.protocol
        try:
            await super().start(connection)
            self._check_head()
        except (aiohttp.ClientResponseError, InvalidResponseError) as error:
            # A kept connection that went back with the last byte is not used again.
            protocol.close()
            if isinstance(error, InvalidResponseError):
                raise
            raise InvalidResponseError(
                f"the head can't be parsed: {error.message}"
            ) from error
        return self

    def _check_head(self) -> None:
        version = (self.version.major, self.version.minor)
        head = ReceivedHead(version, self.status, self.reason or "", self.raw_headers)
        if fault := find_head_fault(head):
            raise InvalidResponseError(fault)


def checked_session(**options: object) -> aiohttp.ClientSession:
    """Returns a session that yields valid responses only.

    Its requests raise ``InvalidResponseError`` for all others. The options are those of
    ``aiohttp.ClientSession``.
    """
    return aiohttp.ClientSession(response_class=CheckedResponse, **options)
