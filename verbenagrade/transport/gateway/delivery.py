"""Passes the bytes of an endpoint's response on to the caller unchanged."""

from collections.abc import Callable

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import UpstreamFailedError, UpstreamTimeoutError
from verbenagrade.protocol.event_stream import CompleteEvents, EventSplitter
from verbenagrade.state.calls import CallKind
from verbenagrade.state.crash_suspects import MIN_SURVIVED_EVENTS
from verbenagrade.state.retries import next_event_timeout_s
from verbenagrade.transport.endpoint_connections import UNTAKEN_BYTES
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.crashes import record_survival
from verbenagrade.transport.gateway.handover import may_be_handed_over
from verbenagrade.transport.gateway.upstream import UpstreamResponse
from verbenagrade.transport.gateway.versions import confirm_version
from verbenagrade.transport.response_ends import reset_connection

__all__ = ["ResponseWriter", "deliver_plain", "deliver_stream"]

MAX_BUFFERED_BYTES = 1_048_576
"""Responses without a stream are buffered completely up to this size before they
are passed on, so that the call can still be retried if the response breaks off."""


RESPONSE_COPIES = 2
"""Copies of a response that is kept: what was read, and what is written."""

MAX_EVENT_BYTES = 1_048_576
"""Largest size of one event of a stream, in bytes. Only complete events are passed on,
so that this is what a stream may keep in memory, if there is room for it."""

FREE_EVENT_BYTES = 131_072
"""Size of an incomplete event up to which a stream keeps it, whether there is room or
not, in bytes. Unlike a body, an event can't be passed on in parts."""


SLICE_BYTES = 32_768
"""Size of the parts in which a response is written, in bytes. The next one is written
once the caller has taken most of the last."""


class ResponseWriter:
    """Writes the response to the caller.

    Nothing is sent, not even the status line, before the first bytes of an
    endpoint's response are there. ``media_type`` is that of the first endpoint's body.
    ``has_partial_body`` is set once a part of a body was sent that is no stream, which
    no other response can go on.
    """

    def __init__(self, core: GatewayCore, request: web.BaseRequest, call: Call) -> None:
        self.core = core
        self.request = request
        self.call = call
        self.response: web.StreamResponse | None = None
        self.payload_writer: AbstractStreamWriter | None = None
        self.media_type = ""
        self.has_partial_body = False

    async def write(
        self,
        upstream: UpstreamResponse,
        data: bytes,
        content_length: int | None = None,
    ) -> None:
        """Writes bytes, after the status and headers if they were not yet sent.

        ``content_length`` is the length of the body, if that is known.
        """
        if self.response is None:
            headers = self.core.call_format.response_headers(upstream.header_items)
            response = web.StreamResponse(status=upstream.head.status, headers=headers)
            if self.core.stopping:
                response.force_close()
            response.content_length = content_length
            self.response = response
            self.media_type = upstream.media_type
            self.request.protocol.source_bytes = UNTAKEN_BYTES
            self.payload_writer = await response.prepare(self.request)
        for start in range(0, len(data), SLICE_BYTES):
            await self.response.write(data[start : start + SLICE_BYTES])
            # The library waits for the caller only once in 64 KiB.
            await self.payload_writer.drain()

    def may_keep(self, size_bytes: int) -> bool:
        """Returns whether so much of a response may be kept before it is passed on."""
        if size_bytes <= SLICE_BYTES:
            return True
        if size_bytes > MAX_BUFFERED_BYTES:
            return False
        return self.request.protocol.hold_response(RESPONSE_COPIES * size_bytes)

    def may_keep_event(self, size_bytes: int) -> bool:
        """Returns whether so much of an incomplete event may be kept."""
        if size_bytes <= FREE_EVENT_BYTES:
            self.request.protocol.release_response()
            return True
        return self.may_keep(size_bytes)

    def find_mismatch(self, upstream: UpstreamResponse) -> str:
        """Returns why a response can't go on one that has begun, empty if it can."""
        if self.response is None:
            return ""
        if upstream.head.status != self.response.status:
            return f"status {upstream.head.status} on resumption"
        types = {self.media_type, upstream.media_type} - {""}
        return f"{upstream.media_type} on resumption" if len(types) > 1 else ""

    def abort(self) -> None:
        """Closes the connection, so that the caller sees an incomplete response.

        Does nothing if no response has begun.
        """
        transport = self.request.transport
        if transport is None or self.response is None:
            return
        log_event(
            Event.RESPONSE_ABORTED,
            call=self.call.head.call_id,
            unsent_bytes=transport.get_write_buffer_size(),
        )
        if "Transfer-Encoding" in self.response.headers:
            transport.close()
        else:
            reset_connection(transport)


async def deliver_plain(
    core: GatewayCore,
    call: Call,
    writer: ResponseWriter,
    upstream: UpstreamResponse,
    on_data: Callable[[], None],
) -> web.StreamResponse:
    """Reads a response without a stream to its end and returns it to the caller.

    ``on_data`` is called once, before the body is read. Raises
    ``UpstreamFailedError`` or ``UpstreamTimeoutError`` if it is incomplete.
    """
    body = bytearray()
    on_data()
    while data := await upstream.read_chunk(_remaining_s(core, call)):
        if writer.response is not None:
            await writer.write(upstream, data)
            continue
        body += data
        if not writer.may_keep(len(body)):
            writer.has_partial_body = True
            part, body = bytes(body), bytearray()
            await writer.write(upstream, part)
    await upstream.check_end(streams=False)
    if writer.response is not None:
        await writer.response.write_eof()
        return writer.response
    if len(body) > SLICE_BYTES:
        return await _finish_large(writer, upstream, bytes(body))
    headers = core.call_format.response_headers(upstream.header_items)
    return web.Response(status=upstream.head.status, body=bytes(body), headers=headers)


async def _finish_large(
    writer: ResponseWriter, upstream: UpstreamResponse, body: bytes
) -> web.StreamResponse:
    """Writes a whole response as fast as the caller takes it."""
    await writer.write(upstream, body, content_length=len(body))
    await writer.response.write_eof()
    return writer.response


async def deliver_stream(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    writer: ResponseWriter,
    upstream: UpstreamResponse,
    on_data: Callable[[], None],
) -> web.StreamResponse:
    """Passes complete events on as they arrive and returns the finished response.

    Calls ``on_data`` for each block of events and updates ``progress``. Raises
    ``UpstreamFailedError`` or ``UpstreamTimeoutError`` if the stream ended early.
    """
    splitter = EventSplitter(_known_event(call, progress))
    survived = False
    may_resume = may_be_handed_over(call, progress)
    while True:
        data = await _read_events(core, call, upstream, may_resume)
        if not data:
            break
        events = splitter.feed(data)
        if events.count:
            on_data()
        if events.data:
            await confirm_version(core, call, progress, upstream.attempt.entry)
            await writer.write(upstream, events.data)
        if events.count:
            # After the write, so that a slow caller is not taken for a slow endpoint.
            upstream.record_event()
            _record_events(progress, events, core.clock())
        _check_rest(writer, splitter, events)
        if not survived and progress.attempt_events >= MIN_SURVIVED_EVENTS:
            survived = True
            record_survival(core, call, progress.sent_at)
    await upstream.check_end(streams=True, inside_event=splitter.inside_event)
    if not survived and progress.attempt_events:
        record_survival(core, call, progress.sent_at)
    return await _finish(writer, upstream)


async def _finish(
    writer: ResponseWriter, upstream: UpstreamResponse
) -> web.StreamResponse:
    """Ends the response to the caller."""
    await writer.write(upstream, b"")
    await writer.response.write_eof()
    return writer.response


async def _read_events(
    core: GatewayCore, call: Call, upstream: UpstreamResponse, may_resume: bool
) -> bytes:
    """Returns the next bytes of a stream, empty at its end."""
    remaining_s = _remaining_s(core, call)
    if not may_resume:
        return await upstream.read_chunk(remaining_s)
    patience_s = next_event_timeout_s(call.route.target_gap_s, remaining_s)
    return await upstream.read_or_hand_over(patience_s)


def _known_event(call: Call, progress: CallProgress) -> str:
    """Returns the id of the event after which a stream goes on, empty if it begins."""
    resumable = call.kind is CallKind.RESUMABLE_STREAM
    return progress.last_event_id if resumable else ""


def _check_rest(
    writer: ResponseWriter, splitter: EventSplitter, events: CompleteEvents
) -> None:
    """Raises ``UpstreamFailedError`` if what follows complete events can't be one.

    Neither can what there is no room for until it is complete.
    """
    if events.fault:
        raise UpstreamFailedError(events.fault)
    size_bytes = len(splitter.incomplete)
    if size_bytes > MAX_EVENT_BYTES:
        raise UpstreamFailedError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
    if not writer.may_keep_event(size_bytes):
        raise UpstreamFailedError(f"no room for an event of {size_bytes} bytes")


def _remaining_s(core: GatewayCore, call: Call) -> float:
    """Returns the time left for a call, in seconds.

    Raises ``UpstreamTimeoutError`` if there is none: a timeout alone never ends the
    reading of a response of which more has always arrived already.
    """
    remaining_s = call.deadline - core.clock()
    if remaining_s <= 0:
        raise UpstreamTimeoutError("the response did not end in time")
    return remaining_s


def _record_events(progress: CallProgress, events: CompleteEvents, now: float) -> None:
    """Counts delivered events, and updates the longest time between two."""
    if progress.delivered_events:
        gap_s = now - progress.last_event_at
        progress.longest_event_gap_s = max(progress.longest_event_gap_s, gap_s)
    progress.last_event_at = now
    progress.delivered_events += events.count
    progress.last_event_id = events.last_id or progress.last_event_id
