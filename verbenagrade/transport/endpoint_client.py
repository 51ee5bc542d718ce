"""HTTP client for endpoints."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace

import aiohttp
from aiohttp.http import HttpProcessingError

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    UndecodableError,
    UpstreamFailedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
    VerbenagradeError,
)
from verbenagrade.protocol.chat import EngineRecord
from verbenagrade.state.decoding import decode_json
from verbenagrade.state.response_end import (
    PROCESS_EXIT_S,
    EndVerdict,
    ResponseEnd,
    judge_end,
)
from verbenagrade.transport.checked_responses import (
    InvalidResponseError,
    check_body_end,
    read_body,
)
from verbenagrade.transport.response_ends import (
    ended_with_reset,
    fail_body_at_close,
    read_framing,
    try_connection,
)
from verbenagrade.transport.sends import SentRequest, send_once

__all__ = ["EndpointClient"]

ATTEMPT_HEADER = "X-Request-Id"
RECORD_TIMEOUT_S = 5.0
MAX_RECORD_BYTES = 65_536
"""Largest size of the record of an attempt, in bytes."""


class EndpointClient:
    """Sends attempts to endpoints and queries or stops them.

    ``connect_s`` limits the time to connect, ``progress_s`` the time without data,
    both in seconds. ``session`` needs a ``SingleSendConnector``.
    """

    def __init__(
        self, session: aiohttp.ClientSession, connect_s: float, progress_s: float
    ) -> None:
        self.session = session
        self.timeout = aiohttp.ClientTimeout(
            total=None, connect=connect_s, sock_connect=connect_s, sock_read=progress_s
        )

    @asynccontextmanager
    async def send(
        self,
        method: str,
        url: str,
        body: bytes | None,
        attempt: str,
        content_type: str = "application/json",
        sent: SentRequest | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Sends one attempt, records its connection and yields the response.

        Raises ``UpstreamUnreachableError`` if nothing was sent,
        ``UpstreamTimeoutError`` if there was no progress for ``progress_s`` seconds,
        and ``UpstreamFailedError`` if the endpoint failed after that.
        """
        headers = {ATTEMPT_HEADER: attempt, "Content-Type": content_type}
        with _endpoint_errors(url, attempt):
            with send_once(sent) as recorded:
                response = await self.session.request(
                    method, url, data=body, headers=headers, timeout=self.timeout
                )
            fail_body_at_close(response, recorded.closed)
            async with response:
                yield response

    async def check_end(
        self, response: aiohttp.ClientResponse, sent: SentRequest
    ) -> None:
        """Raises ``UpstreamFailedError`` if nothing shows that a response is complete.

        It is that to the attempt ``sent``, whose body was read to its end.
        """
        check_body_end(response)
        end = ResponseEnd(read_framing(response), ended_with_reset(sent.closed))
        verdict = judge_end(end)
        if verdict is EndVerdict.ENDPOINT_UNKNOWN:
            await asyncio.sleep(PROCESS_EXIT_S)
            host, port = response.url.host, response.url.port
            error = await try_connection(host, port, self.timeout.sock_connect)
            verdict = judge_end(replace(end, endpoint_lives=error is None))
        if verdict is not EndVerdict.COMPLETE:
            raise UpstreamFailedError(
                f"{response.url}: {verdict}; ask for the outcome before a retry"
            )

    async def close(self, base: str, attempt: str) -> EngineRecord | None:
        """Stops an attempt or prevents it from starting, and returns its token counts.

        Returns ``None`` if the endpoint does not respond.
        """
        return await self._fetch_record("POST", f"{base}/v1/requests/{attempt}/close")

    async def _fetch_record(self, method: str, url: str) -> EngineRecord | None:
        timeout = aiohttp.ClientTimeout(total=RECORD_TIMEOUT_S)
        try:
            async with self.session.request(method, url, timeout=timeout) as response:
                if not response.ok:
                    return None
                return decode_json(
                    await read_body(response, MAX_RECORD_BYTES), EngineRecord
                )
        except (aiohttp.ClientError, TimeoutError, UndecodableError):
            return None


@contextmanager
def _endpoint_errors(url: str, attempt: str) -> Iterator[None]:
    """Raises the errors of ``EndpointClient.send`` in place of the library's."""
    try:
        yield
    except InvalidResponseError as error:
        log_event(Event.RESPONSE_INVALID, call=attempt, endpoint=url, reason=str(error))
        raise UpstreamFailedError(
            f"{url}: {error}; ask for the outcome before a retry"
        ) from error
    except VerbenagradeError:
        raise
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UpstreamUnreachableError(
            f"{url}: connection failed; retry in a second"
        ) from error
    except (aiohttp.ServerTimeoutError, TimeoutError) as error:
        raise UpstreamTimeoutError(
            f"{url}: no progress; ask for the outcome before a retry"
        ) from error
    # The library raises ``ValueError`` for a line that is too long, and an error of its
    # parser if that is written in Python.
    except (aiohttp.ClientError, HttpProcessingError, ValueError) as error:
        raise UpstreamFailedError(
            f"{url}: {type(error).__name__}; ask for the outcome before a retry"
        ) from error
