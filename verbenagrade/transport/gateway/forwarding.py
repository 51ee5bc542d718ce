"""Forwards a call to endpoints until one responds or no retry is allowed."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    UpstreamFailedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.retries import (
    Failure,
    did_not_run,
    is_retry_allowed,
)
from verbenagrade.transport.checked_responses import InvalidResponseError
from verbenagrade.transport.gateway import refusals
from verbenagrade.transport.gateway.calls import Call, CallProgress, CallResult
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.crashes import (
    find_cause,
    record_broken_call,
    record_completion,
)
from verbenagrade.transport.gateway.delivery import (
    ResponseWriter,
    deliver_plain,
    deliver_stream,
)
from verbenagrade.transport.gateway.handover import first_response_patience_s
from verbenagrade.transport.gateway.limits import (
    choose_or_wait,
    record_limit,
    refusal_without_endpoint,
)
from verbenagrade.transport.gateway.notices import record_notices
from verbenagrade.transport.gateway.reach import is_cut_off
from verbenagrade.transport.gateway.stopping import may_begin
from verbenagrade.transport.gateway.upstream import UpstreamResponse, open_upstream
from verbenagrade.transport.gateway.versions import (
    begin_record,
    end_record,
    end_stream,
    find_version,
)
from verbenagrade.transport.sends import SentRequest

__all__ = ["ForwardResult", "forward"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which an endpoint claims that the call has not run. Without a header
that confirms it, the call is treated as one that may have run."""

MIN_SERVER_ERROR_STATUS = 500
MIN_REDIRECT_STATUS = 300
FINAL_STATUSES = frozenset({502, 504})
"""Statuses of the gateway's own which do not say that a call has not run."""


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """The response to a call and the result to record for it."""

    response: web.StreamResponse
    result: CallResult


class SendFailedError(Exception):
    """An attempt at one endpoint failed; the call is retried or fails."""

    def __init__(self, failure: Failure, reason: str) -> None:
        super().__init__(reason)
        self.failure = failure


async def forward(
    core: GatewayCore, request: web.BaseRequest, call: Call, progress: CallProgress
) -> ForwardResult:
    """Returns the response to a call: that of an endpoint or an error response.

    Every return leaves ``progress.outcome`` in a final state.
    """
    writer = ResponseWriter(core, request, call)
    if not await find_version(core, call, progress):
        refusal = refusals.STREAM_VERSION_UNKNOWN
        return _fail_call(core, call, progress, writer, refusal)
    try:
        return await _try_endpoints(core, call, progress, writer)
    except Exception:
        writer.abort()
        raise
    finally:
        end_record(progress)


async def _try_endpoints(
    core: GatewayCore, call: Call, progress: CallProgress, writer: ResponseWriter
) -> ForwardResult:
    """Sends a call to one endpoint after the other, as long as that is allowed."""
    while True:
        if progress.placements and (cause := find_cause(core, call)):
            log_event(Event.CALL_CONVICTED, call=call.head.call_id, cause=cause)
            return _fail_call(core, call, progress, writer, refusals.POISON_CALL)
        entry = await _choose_endpoint(core, call, progress)
        if entry is None:
            refusal = refusal_without_endpoint(core, progress)
            return _fail_call(core, call, progress, writer, refusal)
        if progress.send_limit is not None:
            await progress.send_limit.end()
        try:
            response = await _send(core, call, progress, writer, entry)
        except SendFailedError as error:
            if writer.has_partial_body or not _prepare_retry(
                core, call, progress, entry, error
            ):
                refusal = _refusal_after_failure(core, call, progress)
                return _fail_call(core, call, progress, writer, refusal)
            continue
        progress.outcome.advance("answer")
        end_stream(core, call)
        return ForwardResult(response, CallResult(response.status))


async def _choose_endpoint(
    core: GatewayCore, call: Call, progress: CallProgress
) -> EndpointEntry | None:
    chosen = progress.successor or await choose_or_wait(core, call, progress)
    progress.successor = None
    if chosen is None:
        return None
    progress.placements += 1
    log_event(
        Event.CALL_PLACED,
        call=call.head.call_id,
        route=call.route.name,
        endpoint=chosen.endpoint.name,
        data_centre=chosen.endpoint.data_centre,
        cost=round(chosen.cost, 2),
        candidates=chosen.candidates,
        in_flight=chosen.in_flight,
        software_version=chosen.endpoint.software_version,
        resumes=call.head.resumed_call,
        resume_after=progress.last_event_id,
        version=core.route_index.configuration.version if core.route_index else 0,
    )
    return chosen.endpoint


async def _send(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    writer: ResponseWriter,
    entry: EndpointEntry,
) -> web.StreamResponse:
    """Sends a call to an endpoint and passes the response on to the caller.

    Raises ``SendFailedError`` if there is no complete response.
    """
    patience_s = first_response_patience_s(core, call, progress, entry)
    _begin_attempt(core, call, progress, entry)
    failed = True
    try:
        async with open_upstream(core, call, progress, entry, patience_s) as upstream:
            response = await _deliver(core, call, progress, writer, entry, upstream)
            _count_end(core, progress, "complete")
            record_completion(core, call, response.status, progress.sent_at)
            failed = response.status >= MIN_SERVER_ERROR_STATUS
            return response
    except UpstreamUnreachableError as error:
        core.placement.unreachable(entry, core.clock())
        await is_cut_off(core, entry, progress.sent_at)
        raise SendFailedError(Failure.UNREACHABLE, str(error)) from error
    except UpstreamTimeoutError as error:
        raise SendFailedError(Failure.SILENT, str(error)) from error
    except UpstreamFailedError as error:
        if not progress.through_vm and not isinstance(error, InvalidResponseError):
            record_broken_call(core, call, entry, progress.attempt_events)
        raise SendFailedError(Failure.BROKEN, str(error)) from error
    except asyncio.CancelledError:
        failed = False
        raise
    finally:
        core.placement.ended(entry, call.head.call_id, failed, core.clock())


def _begin_attempt(
    core: GatewayCore, call: Call, progress: CallProgress, entry: EndpointEntry
) -> None:
    """Records that the call is sent to an endpoint."""
    progress.sent_at = core.clock()
    progress.sent = SentRequest()
    progress.through_vm = core.reach.cut_off
    progress.framing = None
    progress.events_before_attempt = progress.delivered_events
    core.placement.sent(entry, call.head.call_id, call.shape, core.clock())
    begin_record(core, call, progress, entry)
    if progress.placements == 1:
        core.retry_budget(call.service).record_first_send(core.clock())
    if progress.outcome.state == "reserved":
        progress.outcome.advance("send")


async def _deliver(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    writer: ResponseWriter,
    entry: EndpointEntry,
    upstream: UpstreamResponse,
) -> web.StreamResponse:
    head = upstream.head
    progress.framing = upstream.framing
    record_limit(core, call, progress, entry, head)
    record_notices(core, call.head.call_id, entry, head, progress.through_vm)
    if head.not_run:
        raise SendFailedError(Failure.NOT_RUN, f"status {head.status}, not run")
    if head.status in NOT_RUN_STATUSES:
        raise SendFailedError(Failure.BROKEN, f"status {head.status}, unconfirmed")
    mismatch = writer.find_mismatch(upstream)
    if mismatch:
        raise SendFailedError(Failure.FAILED, mismatch)
    retry_allowed = is_retry_allowed(
        call.kind,
        call.route.max_runs,
        progress.possible_runs + 1,
        progress.placements,
        Failure.FAILED,
    )
    if head.status >= MIN_SERVER_ERROR_STATUS and retry_allowed:
        raise SendFailedError(Failure.FAILED, f"status {head.status}")

    def on_data() -> None:
        """Records the arrival of response data for placement and metrics."""
        now = core.clock()
        core.placement.answered(entry, call.head.call_id, call.shape, now)
        if progress.first_response_at is None:
            progress.first_response_at = now

    if call.kind.streams and head.status < MIN_REDIRECT_STATUS:
        return await deliver_stream(core, call, progress, writer, upstream, on_data)
    return await deliver_plain(core, call, writer, upstream, on_data)


def _prepare_retry(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    error: SendFailedError,
) -> bool:
    """Records a failed attempt; returns whether another endpoint is to be tried."""
    failure = error.failure
    _count_end(core, progress, failure.value)
    if not did_not_run(failure):
        progress.possible_runs += 1
    elif progress.possible_runs == 0:
        progress.outcome.advance("withdraw")
        progress.outcome.advance("reserve")
    progress.excluded_endpoints.add(entry.name)
    now = core.clock()
    in_time = now < call.deadline and may_begin(core, call, progress)
    allowed = in_time and is_retry_allowed(
        call.kind,
        call.route.max_runs,
        progress.possible_runs,
        progress.placements,
        failure,
    )
    if allowed and failure is not Failure.UNREACHABLE and not progress.successor:
        allowed = core.take_retry(call.service, now)
        if not allowed:
            log_event(Event.REPEAT_DENIED, call=call.head.call_id, service=call.service)
    _log_failure(call, progress, entry, error, allowed, call.deadline - now)
    if allowed:
        core.metrics.repeats.inc({"failure": failure.value})
    return allowed


def _log_failure(
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    error: SendFailedError,
    repeated: bool,
    left_s: float,
) -> None:
    log_event(
        Event.CALL_REPEATED if repeated else Event.REQUEST_BROKEN,
        call=call.head.call_id,
        endpoint=entry.name,
        failure=error.failure.value,
        connections=progress.sent.connections,
        framing=progress.framing,
        attempt_events=progress.attempt_events,
        reason=str(error),
        left_s=round(left_s, 3),
    )


def _count_end(core: GatewayCore, progress: CallProgress, result: str) -> None:
    """Counts the end of a response, if one has begun."""
    if progress.framing is not None:
        labels = {"framing": progress.framing.value, "result": result}
        core.metrics.responses.inc(labels)


def _refusal_after_failure(
    core: GatewayCore, call: Call, progress: CallProgress
) -> refusals.Refusal:
    if progress.outcome.state == "reserved":
        ends_first = not may_begin(core, call, progress)
        return refusals.STOPPING if ends_first else refusals.NO_ENDPOINT
    if core.clock() >= call.deadline:
        return refusals.TIMED_OUT
    return refusals.ENDPOINT_FAILED


def _fail_call(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    writer: ResponseWriter,
    refusal: refusals.Refusal,
) -> ForwardResult:
    """Ends a call with an error response, or aborts a response that has begun."""
    if writer.response is not None:
        progress.outcome.advance("break_off")
        writer.abort()
        result = CallResult(writer.response.status, "stream broken off")
        return ForwardResult(writer.response, result)
    if progress.outcome.state == "sent":
        progress.outcome.advance("break_off")
        if refusal.status not in FINAL_STATUSES:
            refusal = refusals.ENDPOINT_FAILED
    else:
        progress.outcome.advance("refuse")
    headers = dict(core.call_format.refusal_headers(call.head.call_id))
    response = refusals.refusal_response(refusal, headers, core.random)
    return ForwardResult(response, CallResult(refusal.status, refusal.reason))
