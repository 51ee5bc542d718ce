"""Passes calls of other VMs, which can't reach endpoints, on to their endpoints."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import UpstreamFailedError, UpstreamTimeoutError
from verbenagrade.protocol.event_stream import EventCounter
from verbenagrade.protocol.relay import (
    ORDER_HEADER,
    PROOF_HEADER,
    RESULT_HEADER,
    UNFRAMED_END_CHECKED,
    UNFRAMED_HEADER,
    RelayOrder,
    RelayResult,
    decode_order,
    is_relay_header,
    prove_response,
    request_digest,
    verify_order,
)
from verbenagrade.state.calls import CallHead
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.response_end import Framing, ResponseEnd
from verbenagrade.transport.checked_responses import InvalidResponseError
from verbenagrade.transport.endpoint_connections import UNTAKEN_BYTES
from verbenagrade.transport.gateway.admission import (
    RefusedError,
    check_load,
    read_body,
)
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.crashes import record_break
from verbenagrade.transport.gateway.endpoint_responses import (
    read_endpoint_head,
    report_invalid,
)
from verbenagrade.transport.gateway.notices import record_notices
from verbenagrade.transport.gateway.reach import is_cut_off
from verbenagrade.transport.gateway.response_end import check_end
from verbenagrade.transport.gateway.send import (
    OutgoingRequest,
    read_chunk,
    send_to_endpoint,
)
from verbenagrade.transport.gateway.stopping import until_sent
from verbenagrade.transport.response_ends import ended_with_reset, read_framing
from verbenagrade.transport.sends import SentRequest

__all__ = ["handle_relayed_call"]

HTTP_FORBIDDEN = 403
HTTP_UNAVAILABLE = 503


class NotPassedOnError(Exception):
    """A call is not passed on; ``result`` tells the sender why."""

    def __init__(self, result: str, reason: str) -> None:
        super().__init__(reason)
        self.result = result


@dataclass(frozen=True, slots=True)
class RelayedCall:
    """An order of another VM, its deadline in seconds, and the key for the proof.

    ``path`` is that of the caller's request.
    """

    order: RelayOrder
    method: str
    path: str
    key: bytes
    arrived_at: float
    deadline: float


async def handle_relayed_call(
    core: GatewayCore, request: web.BaseRequest
) -> web.StreamResponse:
    """Serves one request of another VM; all others are rejected."""
    core.in_flight += 1
    try:
        relayed = _read_order(core, request)
        if relayed is None:
            return web.Response(status=HTTP_FORBIDDEN)
        try:
            entry = _find_endpoint(core, relayed)
            body = await _read_body(core, request, relayed)
            return await _pass_on(core, request, relayed, entry, body)
        except NotPassedOnError as error:
            _log(core, relayed, error.result, str(error))
            return _result_response(relayed, error.result)
    finally:
        core.in_flight -= 1


def _read_order(core: GatewayCore, request: web.BaseRequest) -> RelayedCall | None:
    """Returns the order, ``None`` if it does not come from a VM of the fleet."""
    text = request.headers.get(ORDER_HEADER, "")
    proof = request.headers.get(PROOF_HEADER, "")
    keys = core.relay_keys.keys
    key = next((key for key in keys if verify_order(key, text, proof)), None)
    try:
        order = decode_order(text)
        core.call_format.read_head(dict(order.headers), request.raw_path)
    except ValueError as error:
        log_event(Event.RELAY_REJECTED, vm=request.remote, reason=str(error))
        return None
    if key is None or core.relay_nonces.has(order):
        reason = "invalid proof" if key is None else "order was used before"
        log_event(Event.RELAY_REJECTED, vm=request.remote, reason=reason)
        return None
    now = core.clock()
    return RelayedCall(
        order, request.method, request.raw_path, key, now, now + order.remaining_s
    )


async def _read_body(
    core: GatewayCore, request: web.BaseRequest, relayed: RelayedCall
) -> bytes:
    """Returns the body of a call; raises ``NotPassedOnError`` if it may not be sent."""
    limit = core.route_index.configuration.limits.body_bytes if core.route_index else 0
    try:
        check_load(core, request)
        async with until_sent(core) as wait:
            wait.latest_start = lambda _ends_at: float("-inf")
            body = await read_body(core, request, limit, relayed.deadline)
    except RefusedError as error:
        result = RelayResult.CUT_OFF if core.stopping else RelayResult.REJECTED
        raise NotPassedOnError(result, str(error)) from error
    digest = request_digest(relayed.method, relayed.path, body)
    if digest != relayed.order.request_digest:
        raise NotPassedOnError(RelayResult.REJECTED, "the request was changed")
    return body


def _take_order(core: GatewayCore, order: RelayOrder) -> bool:
    """Returns whether this process is to carry an order out, and it is in time."""
    offset_s = core.fleet.store_time_offset_s
    if offset_s is None or order.recipient != core.fleet.presence.incarnation:
        return False
    return core.relay_nonces.take(order, core.clock() + offset_s)


async def _pass_on(
    core: GatewayCore,
    request: web.BaseRequest,
    relayed: RelayedCall,
    entry: EndpointEntry,
    body: bytes,
) -> web.StreamResponse:
    """Sends the call to its endpoint, and the response back as it arrives.

    Raises ``NotPassedOnError`` if there is no response.
    """
    sent = SentRequest()
    async with _open(core, relayed, entry, body, sent) as upstream:
        response = _response_to_vm(core, relayed, upstream)
        _log(core, relayed, RelayResult.SENT, "")
        request.protocol.source_bytes = UNTAKEN_BYTES
        await response.prepare(request)
        events = EventCounter()
        try:
            async for data in _body(core, relayed, entry, upstream):
                events.feed(data)
                await response.write(data)
            end = ResponseEnd(read_framing(upstream), ended_with_reset(sent.closed))
            await check_end(core, entry, end, relayed.deadline)
        except UpstreamFailedError as error:
            if not isinstance(error, UpstreamTimeoutError | InvalidResponseError):
                _record_break(core, relayed, entry, events.count)
            log_event(
                Event.RELAY_BROKEN,
                call=_read_head(core, relayed).call_id,
                endpoint=entry.name,
                framing=read_framing(upstream),
                events=events.count,
                reason=str(error),
            )
            if request.transport is not None:
                request.transport.abort()
            return response
        await response.write_eof()
        return response


async def _body(
    core: GatewayCore,
    relayed: RelayedCall,
    entry: EndpointEntry,
    upstream: aiohttp.ClientResponse,
) -> AsyncIterator[bytes]:
    """Yields the body as it arrives; raises the same errors as ``read_chunk``."""
    with report_invalid(core, _read_head(core, relayed).call_id, entry):
        while data := await read_chunk(upstream, _remaining_s(core, relayed)):
            yield data


def _remaining_s(core: GatewayCore, relayed: RelayedCall) -> float:
    """Returns the time left in seconds; raises ``UpstreamTimeoutError`` without any."""
    remaining_s = relayed.deadline - core.clock()
    if remaining_s <= 0:
        raise UpstreamTimeoutError("the response did not end in time")
    return remaining_s


def _response_to_vm(
    core: GatewayCore, relayed: RelayedCall, upstream: aiohttp.ClientResponse
) -> web.StreamResponse:
    """Returns the head of the response, with that of the endpoint and the proof."""
    passed_on = core.call_format.response_headers(upstream.headers.items())
    headers = [(n, v) for n, v in passed_on.items() if not is_relay_header(n)]
    response = web.StreamResponse(status=upstream.status)
    response.headers.extend(headers)
    response.headers.update(_result_headers(relayed, RelayResult.SENT))
    if read_framing(upstream) is Framing.CONNECTION:
        response.headers[UNFRAMED_HEADER] = UNFRAMED_END_CHECKED
    return response


def _find_endpoint(core: GatewayCore, relayed: RelayedCall) -> EndpointEntry:
    """Returns the endpoint; raises ``NotPassedOnError`` if it may get no call."""
    order = relayed.order
    if not _take_order(core, order):
        raise NotPassedOnError(RelayResult.REJECTED, "the order is not valid here")
    if core.reach.cut_off or core.stopping:
        raise NotPassedOnError(RelayResult.CUT_OFF, "this VM passes no calls on now")
    entry = core.directory.entries.get(order.endpoint)
    if entry is None or entry.leaving or entry.incarnation != order.incarnation:
        raise NotPassedOnError(RelayResult.UNREACHABLE, "the endpoint is not known")
    if not core.takes_call(entry):
        raise NotPassedOnError(RelayResult.UNREACHABLE, "it wants no calls now")
    if core.clock() >= relayed.deadline:
        raise NotPassedOnError(RelayResult.REJECTED, "the deadline has passed")
    return entry


@asynccontextmanager
async def _open(
    core: GatewayCore,
    relayed: RelayedCall,
    entry: EndpointEntry,
    body: bytes,
    sent: SentRequest,
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Sends the call; raises ``NotPassedOnError`` if no response begins."""
    started_at = core.clock()
    try:
        response = await _request(core, relayed, entry, body, sent)
    except InvalidResponseError as error:
        raise NotPassedOnError(RelayResult.LOST, str(error)) from error
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        core.placement.unreachable(entry, core.clock())
        cut_off = await is_cut_off(core, entry, started_at)
        result = RelayResult.CUT_OFF if cut_off else RelayResult.UNREACHABLE
        raise NotPassedOnError(result, repr(error)) from error
    except TimeoutError as error:
        raise NotPassedOnError(RelayResult.LOST, "no answer in time") from error
    except (aiohttp.ClientError, OSError, ValueError) as error:
        _record_break(core, relayed, entry, 0)
        raise NotPassedOnError(RelayResult.LOST, repr(error)) from error
    try:
        yield response
    finally:
        response.close()


async def _request(
    core: GatewayCore,
    relayed: RelayedCall,
    entry: EndpointEntry,
    body: bytes,
    sent: SentRequest,
) -> aiohttp.ClientResponse:
    """Sends the call, and takes notice of what the endpoint says in its response.

    Raises ``TimeoutError`` at the deadline, and the errors of ``send_to_endpoint`` and
    ``read_endpoint_head``.
    """
    now, order = core.clock(), relayed.order
    headers = core.call_format.endpoint_headers(
        order.headers, order.endpoint_call(now - relayed.arrived_at)
    )
    outgoing = OutgoingRequest(relayed.method, relayed.path, headers, body)
    call_id = _read_head(core, relayed).call_id
    with report_invalid(core, call_id, entry):
        async with asyncio.timeout(relayed.deadline - now):
            response = await send_to_endpoint(core, entry, outgoing, sent)
        try:
            head = read_endpoint_head(core, response, call_id)
        except InvalidResponseError:
            response.close()
            raise
    record_notices(core, call_id, entry, head)
    return response


def _record_break(
    core: GatewayCore, relayed: RelayedCall, entry: EndpointEntry, events: int
) -> None:
    """Records that an endpoint broke a call off, as for a call of this VM."""
    head = _read_head(core, relayed)
    record_break(core, head, relayed.order.call_digest, entry, events)


def _read_head(core: GatewayCore, relayed: RelayedCall) -> CallHead:
    return core.call_format.read_head(dict(relayed.order.headers), relayed.path)


def _result_headers(relayed: RelayedCall, result: str) -> dict[str, str]:
    proof = prove_response(relayed.key, relayed.order.nonce, result)
    return {RESULT_HEADER: result, PROOF_HEADER: proof}


def _result_response(relayed: RelayedCall, result: str) -> web.Response:
    return web.Response(
        status=HTTP_UNAVAILABLE, headers=_result_headers(relayed, result)
    )


def _log(core: GatewayCore, relayed: RelayedCall, result: str, reason: str) -> None:
    log_event(
        Event.CALL_PASSED_ON,
        call=_read_head(core, relayed).call_id,
        endpoint=relayed.order.endpoint,
        result=result,
        reason=reason,
        left_s=round(relayed.deadline - core.clock(), 3),
    )
    core.metrics.calls_of_vms.inc({"result": result})
