"""Sends a call to one endpoint and reads the response.

Each attempt opens its own connection. A kept-alive connection that closes while
idle, or delivers a late response to an earlier call, would leave the outcome of
the next call unknown.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp

from verbenagrade.exceptions import (
    UpstreamFailedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from verbenagrade.protocol.calls import EndpointCall, ResponseHead
from verbenagrade.protocol.relay import (
    UNFRAMED_END_CHECKED,
    UNFRAMED_HEADER,
    is_relay_header,
)
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.response_end import Framing, ResponseEnd
from verbenagrade.transport.checked_responses import (
    InvalidResponseError,
    checked_session,
)
from verbenagrade.transport.endpoint_connections import (
    READ_BUFFER_BYTES,
    endpoint_connector,
)
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.endpoint_responses import (
    read_endpoint_head,
    report_invalid,
)
from verbenagrade.transport.gateway.handover import hand_over
from verbenagrade.transport.gateway.relay_client import request_through_peer
from verbenagrade.transport.gateway.response_end import check_end
from verbenagrade.transport.gateway.send import (
    OutgoingRequest,
    read_chunk,
    send_to_endpoint,
)
from verbenagrade.transport.response_ends import ended_with_reset, read_framing

__all__ = ["UpstreamResponse", "endpoint_session", "open_upstream"]

UNKNOWN_MEDIA_TYPE = "application/octet-stream"
"""What the HTTP library of a VM that passes a response on adds if it has no type."""


def endpoint_session() -> aiohttp.ClientSession:
    """Returns a session without keep-alive, cookies or decompression."""
    return checked_session(
        connector=endpoint_connector(),
        read_bufsize=READ_BUFFER_BYTES,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a call at an endpoint."""

    core: GatewayCore
    call: Call
    progress: CallProgress
    entry: EndpointEntry

    def is_overdue(self) -> bool:
        """Returns whether the deadline of the call has passed."""
        return self.core.clock() >= self.call.deadline

    def limit_s(self, timeout_s: float) -> float:
        """Returns a timeout in seconds, or the time to the deadline if shorter."""
        remaining_s = self.call.deadline - self.core.clock()
        return max(0.0, min(timeout_s, remaining_s))

    async def hand_over(self, has_responded: Callable[[], bool]) -> bool:
        """Returns whether another endpoint certainly takes over, see ``handover``."""
        return await hand_over(
            self.core, self.call, self.progress, self.entry, has_responded
        )


@dataclass(frozen=True, slots=True)
class OpenResponse:
    """A response whose headers have arrived.

    ``framing`` is that of the endpoint's response, also if another VM passes it on.
    ``closed`` is the end of the endpoint's connection, ``None`` if another VM has it.
    ``end_checked`` is set if that VM ends its response only after it has found the
    endpoint's complete.
    """

    response: aiohttp.ClientResponse
    framing: Framing
    closed: asyncio.Future[None] | None = None
    end_checked: bool = False


class UpstreamResponse:
    """The response of an endpoint; status and headers have arrived.

    ``quiet_since`` is the time in seconds since which no event was completed and no
    other endpoint was asked to take over, and ``bytes_at_event`` the size of the body
    when the last event was complete.
    """

    def __init__(
        self, attempt: Attempt, opened: OpenResponse, head: ResponseHead
    ) -> None:
        self.attempt = attempt
        self.response = opened.response
        self.closed = opened.closed
        self.framing = opened.framing
        self.end_checked = opened.end_checked
        self.head = head
        self.quiet_since = attempt.core.clock()
        self.bytes_at_event = 0

    @property
    def header_items(self) -> Iterable[tuple[str, str]]:
        """The headers of the endpoint's response."""
        items = self.response.headers.items()
        return (pair for pair in items if not is_relay_header(pair[0]))

    @property
    def media_type(self) -> str:
        """The type of the body without parameters, empty if it is not told."""
        content_type = self.response.headers.get("Content-Type", "")
        media_type = content_type.partition(";")[0].strip().lower()
        return "" if media_type == UNKNOWN_MEDIA_TYPE else media_type

    async def read_chunk(self, timeout_s: float) -> bytes:
        """Returns the next bytes of the body, empty at its end.

        Raises ``UpstreamTimeoutError`` if none arrive within ``timeout_s`` seconds,
        and ``UpstreamFailedError`` if the response is incomplete.
        """
        return await read_chunk(self.response, timeout_s)

    async def check_end(self, streams: bool, inside_event: bool = False) -> None:
        """Raises ``UpstreamFailedError`` if the response that ended is not complete.

        ``streams`` and ``inside_event`` are those of ``ResponseEnd``.
        """
        end = ResponseEnd(
            framing=self.framing,
            reset=ended_with_reset(self.closed),
            streams=streams,
            events=self.attempt.progress.attempt_events,
            inside_event=inside_event,
            endpoint_lives=True if self.end_checked else None,
        )
        attempt = self.attempt
        entry = None if attempt.progress.through_vm else attempt.entry
        await check_end(attempt.core, entry, end, attempt.call.deadline)

    def record_event(self) -> None:
        """Records that an event is complete."""
        self.quiet_since = self.attempt.core.clock()
        self.bytes_at_event = self.response.content.total_bytes

    async def read_or_hand_over(self, patience_s: float) -> bytes:
        """Returns the next bytes of the body, empty at its end.

        Raises ``UpstreamTimeoutError`` if no event is complete within ``patience_s``
        seconds and another endpoint takes over, or at the deadline of the call. Raises
        ``UpstreamFailedError`` if the response is incomplete.
        """
        content = self.response.content
        known_bytes = content.total_bytes

        def has_data() -> bool:
            """Returns whether the response went on or ended.

            More bytes of an event that has been incomplete all the while don't count.
            """
            ended = content.is_eof() or content.exception() is not None
            began_event = known_bytes == self.bytes_at_event
            return ended or (began_event and content.total_bytes > known_bytes)

        while True:
            now = self.attempt.core.clock()
            quiet_s = now - self.quiet_since
            try:
                return await self.read_chunk(
                    self.attempt.limit_s(max(0.0, patience_s - quiet_s))
                )
            except UpstreamTimeoutError:
                if self.attempt.is_overdue() or await self.attempt.hand_over(has_data):
                    raise
                self.quiet_since = self.attempt.core.clock()


@asynccontextmanager
async def open_upstream(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    patience_s: float,
) -> AsyncIterator[UpstreamResponse]:
    """Sends a call and yields the response once its headers have arrived.

    ``patience_s`` is the time in seconds after which another endpoint may take
    over. Raises ``UpstreamUnreachableError`` if nothing was sent, and
    ``UpstreamTimeoutError`` or ``UpstreamFailedError`` if the outcome is unknown; the
    latter is an ``InvalidResponseError`` if what came is no response to the call.
    """
    with report_invalid(core, call.head.call_id, entry):
        attempt = Attempt(core, call, progress, entry)
        opened = await _open(attempt, patience_s)
        response = opened.response
        try:
            head = read_endpoint_head(core, response, call.head.call_id)
            yield UpstreamResponse(attempt, opened, head)
        finally:
            response.close()


async def _open(attempt: Attempt, patience_s: float) -> OpenResponse:
    """Sends a call; raises the same errors as ``open_upstream``."""
    try:
        return await _request_or_hand_over(attempt, patience_s)
    except InvalidResponseError:
        raise
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UpstreamUnreachableError(f"connection failed: {error!r}") from error
    except TimeoutError as error:
        raise UpstreamTimeoutError("no answer in time") from error
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise UpstreamFailedError(f"no response: {error!r}") from error


async def _request_or_hand_over(attempt: Attempt, patience_s: float) -> OpenResponse:
    """Sends a call and waits for the headers of the response.

    Raises ``TimeoutError`` if another endpoint takes over, or at the deadline.
    """
    task = asyncio.create_task(_request(attempt))
    try:
        while True:
            await asyncio.wait({task}, timeout=attempt.limit_s(patience_s))
            if task.done():
                return task.result()
            if attempt.is_overdue() or await attempt.hand_over(task.done):
                raise TimeoutError
    except BaseException:
        task.cancel()
        task.add_done_callback(_close_unused)
        raise


def _close_unused(task: asyncio.Task[OpenResponse]) -> None:
    """Closes a response that arrived when nobody waited for it any more."""
    if not task.cancelled() and task.exception() is None:
        task.result().response.close()


async def _request(attempt: Attempt) -> OpenResponse:
    core, call, progress = attempt.core, attempt.call, attempt.progress
    workspace = call.workspace
    endpoint_call = EndpointCall(
        endpoint=attempt.entry.name,
        remaining_s=call.deadline - core.clock(),
        workspace=workspace.name if workspace else "",
        resume_after=progress.last_event_id,
        priority=engine_priority(call),
    )
    if progress.through_vm:
        response = await request_through_peer(
            core, call, progress, attempt.entry, endpoint_call
        )
        unframed = response.headers.get(UNFRAMED_HEADER)
        framing = read_framing(response) if unframed is None else Framing.CONNECTION
        end_checked = unframed == UNFRAMED_END_CHECKED
        return OpenResponse(response, framing, end_checked=end_checked)
    headers = core.call_format.endpoint_headers(call.headers, endpoint_call)
    request = OutgoingRequest(call.method, call.head.path, headers, call.body)
    response = await send_to_endpoint(core, attempt.entry, request, progress.sent)
    return OpenResponse(response, read_framing(response), progress.sent.closed)


HIGHEST_PRIORITY = 0
LOWEST_PRIORITY = 9


def engine_priority(call: Call) -> int | None:
    """Returns the priority of a call for its engine, 0 for the highest.

    The priority of the workspace takes precedence over that of the route. The result
    is ``None`` for calls that do not stream: plain services take no priority.
    """
    if not call.kind.streams:
        return None
    priority = call.route.priority
    if call.workspace is not None and call.workspace.priority is not None:
        priority = call.workspace.priority
    return min(LOWEST_PRIORITY, max(HIGHEST_PRIORITY, priority))
