"""Serves calls: validates, forwards, settles the budget and records the result."""

import asyncio
from collections.abc import Iterable

from aiohttp import web

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import BudgetExhaustedError, UnavailableError
from verbenagrade.state.calls import CallHead
from verbenagrade.state.endpoint_stats import CallShape
from verbenagrade.state.placement import LONG_PROMPT_FRACTION
from verbenagrade.state.reservations import Reservation
from verbenagrade.state.routes import (
    RouteEntry,
    RouteIndex,
    ServiceEntry,
    WorkspaceEntry,
)
from verbenagrade.transport.gateway import refusals
from verbenagrade.transport.gateway.admission import (
    RefusedError,
    check_load,
    read_body,
)
from verbenagrade.transport.gateway.call_results import record_end, used_tokens
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.crashes import find_cause, is_on_trial
from verbenagrade.transport.gateway.forwarding import forward
from verbenagrade.transport.gateway.send_limits import SendLimit
from verbenagrade.transport.gateway.stopping import (
    can_end,
    latest_start_of,
    until_sent,
)

__all__ = ["handle_call"]

STALE_CONFIGURATION_S = 1.0
"""Time without contact to the store, in seconds, after which the configuration
counts as stale: an unknown route or key may have been added in the meantime, or a
budget raised."""

REQUEST_LINE_BYTES = len("  HTTP/1.1\r\n")
HEADER_LINE_BYTES = len(":\r\n")
"""Bytes of a request line beyond its method and path, and of a header beyond its name
and value at least: a space after the colon may be missing."""


async def handle_call(
    core: GatewayCore, request: web.BaseRequest
) -> web.StreamResponse:
    """Serves one request of a caller; a refused call gets an error response."""
    started_at = core.clock()
    core.in_flight += 1
    call_id = ""
    try:
        head = _read_head(core, request)
        call_id = head.call_id
        async with until_sent(core) as limit:
            call = await _admit(core, request, head, started_at, limit)
            return await _serve(core, request, call, limit)
    except RefusedError as error:
        return _refuse(core, call_id, error)
    except asyncio.CancelledError:
        log_event(
            Event.CALL_LEFT,
            call=call_id,
            after_s=round(core.clock() - started_at, 3),
        )
        core.metrics.requests.inc({"outcome": "left"})
        raise
    except Exception as error:
        log_event(Event.CALL_FAILED, call=call_id, reason=repr(error))
        raise
    finally:
        core.in_flight -= 1


def _refuse(core: GatewayCore, call_id: str, error: RefusedError) -> web.StreamResponse:
    """Returns the response to a call that is refused."""
    contact_age_s = core.configuration_freshness.staleness_s(core.clock())
    log_event(
        Event.CALL_REFUSED,
        call=call_id,
        status=error.refusal.status,
        reason=str(error),
        contact_age_s=round(contact_age_s, 3),
    )
    core.metrics.requests.inc({"outcome": str(error.refusal.status)})
    headers = dict(core.call_format.refusal_headers(call_id))
    response = refusals.refusal_response(error.refusal, headers, core.random)
    return _close_if_stopping(core, response)


def _read_head(core: GatewayCore, request: web.BaseRequest) -> CallHead:
    try:
        return core.call_format.read_head(request.headers, request.raw_path)
    except ValueError as error:
        raise RefusedError(refusals.INVALID_HEADER, str(error)) from error


async def _admit(
    core: GatewayCore,
    request: web.BaseRequest,
    head: CallHead,
    started_at: float,
    limit: SendLimit,
) -> Call:
    """Validates a request and returns the call; ``limit`` ends its wait.

    Raises ``RefusedError`` if the call may not be served.
    """
    index = core.route_index
    if core.rejecting_calls:
        raise RefusedError(refusals.STOPPING)
    if index is None:
        raise RefusedError(refusals.NO_CONFIGURATION)
    if _head_bytes(request) > index.configuration.limits.header_bytes:
        raise RefusedError(refusals.HEAD_TOO_LARGE)
    # A call that its head shows to be refused is not worth the memory for its body.
    route = _find_route(core, index, head)
    _find_workspace(core, index, route, head)
    _limit_wait(core, route, head, started_at, limit)
    check_load(core, request)
    max_bytes = index.configuration.limits.body_bytes
    deadline = _deadline(route, head, started_at)
    body = await read_body(core, request, max_bytes, deadline)
    call = _build_call(core, request, head, body, started_at)
    cause = find_cause(core, call)
    if cause and not await is_on_trial(core, call, cause):
        log_event(Event.CALL_CONVICTED, call=head.call_id, cause=cause)
        raise RefusedError(refusals.POISON_CALL)
    return call


def _limit_wait(
    core: GatewayCore,
    route: RouteEntry,
    head: CallHead,
    started_at: float,
    limit: SendLimit,
) -> None:
    """Sets until when a call may wait before it is sent.

    Raises ``RefusedError`` if it can't end any more before the process does.
    """
    deadline = _deadline(route, head, started_at)
    limit.latest_start = latest_start_of(core, route.name, route.kind, deadline)
    if not can_end(core, limit.latest_start):
        raise RefusedError(refusals.STOPPING)
    limit.apply(core.clock(), core.ends_at)


def _deadline(route: RouteEntry, head: CallHead, started_at: float) -> float:
    return started_at + min(head.timeout_s, route.timeout_s)


def _build_call(
    core: GatewayCore,
    request: web.BaseRequest,
    head: CallHead,
    body: bytes,
    started_at: float,
) -> Call:
    """Returns the call as the present configuration admits it.

    Raises ``RefusedError`` if the configuration does not allow it.
    """
    index = core.route_index
    route = _find_route(core, index, head)
    workspace = _find_workspace(core, index, route, head)
    service = _choose_service(core, route)
    entry = index.services.get(service)
    return Call(
        head=head,
        method=request.method,
        headers=tuple(_end_to_end_headers(request)),
        body=body,
        route=route,
        service=service,
        tokens_per_event=entry.tokens_per_event if entry else None,
        workspace=workspace,
        shape=_call_shape(route, entry, head),
        started_at=started_at,
        deadline=_deadline(route, head, started_at),
    )


def _head_bytes(request: web.BaseRequest) -> int:
    """Returns the size of the request line and the headers."""
    size = len(request.method) + len(request.raw_path) + REQUEST_LINE_BYTES
    return size + sum(
        len(name) + len(value) + HEADER_LINE_BYTES
        for name, value in request.raw_headers
    )


def _end_to_end_headers(request: web.BaseRequest) -> Iterable[tuple[str, str]]:
    """Yields all headers except the hop-by-hop ones that ``Connection`` lists."""
    listed = {name.strip() for name in request.headers.get("Connection", "").split(",")}
    hop_by_hop = {name.lower() for name in listed}
    return (
        pair for pair in request.headers.items() if pair[0].lower() not in hop_by_hop
    )


def _find_route(core: GatewayCore, index: RouteIndex, head: CallHead) -> RouteEntry:
    route = index.find(head.host, head.path)
    if route is not None:
        return route
    if _is_configuration_stale(core):
        raise RefusedError(
            refusals.NO_CONFIGURATION, "unknown route, and the configuration is stale"
        )
    raise RefusedError(refusals.UNKNOWN_ROUTE)


def _find_workspace(
    core: GatewayCore, index: RouteIndex, route: RouteEntry, head: CallHead
) -> WorkspaceEntry | None:
    workspace = index.workspaces.get(head.key)
    if workspace is None and index.configuration.requires_key and not route.public:
        if _is_configuration_stale(core):
            raise RefusedError(
                refusals.NO_CONFIGURATION,
                "unknown API key, and the configuration is stale",
            )
        raise RefusedError(refusals.UNKNOWN_KEY)
    bounds = core.settings.bounds
    stale_ms = core.configuration_freshness.staleness_s(core.clock()) * 1000
    if bounds.strict_revoke and not route.public and stale_ms > bounds.revoke_ms:
        raise RefusedError(
            refusals.NO_CONFIGURATION,
            "the configuration may lack revocations of API keys",
        )
    return workspace


def _is_configuration_stale(core: GatewayCore) -> bool:
    """Returns whether a newer configuration may be missing here."""
    staleness_s = core.configuration_freshness.staleness_s(core.clock())
    return staleness_s > STALE_CONFIGURATION_S


def _call_shape(
    route: RouteEntry, entry: ServiceEntry | None, head: CallHead
) -> CallShape:
    """Returns the properties of a call that placement depends on."""
    memory = entry.memory_tokens if entry else 0
    return CallShape(
        prompt=head.prompt if route.affinity else (),
        tokens=head.tokens.prompt,
        long_prompt=bool(memory) and head.tokens.prompt > memory * LONG_PROMPT_FRACTION,
    )


def _choose_service(core: GatewayCore, route: RouteEntry) -> str:
    """Chooses a service at random, weighted by the shares of the route."""
    shares = route.shares
    if not shares:
        raise RefusedError(refusals.NO_ENDPOINT, "the route has no service")
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    if sum(weights) <= 0:
        raise RefusedError(
            refusals.NO_ENDPOINT, "all service weights of the route are 0"
        )
    return core.random.choices(shares, weights)[0].service


async def _serve(
    core: GatewayCore, request: web.BaseRequest, call: Call, limit: SendLimit
) -> web.StreamResponse:
    progress = CallProgress(call.head.resume_after, limit)
    token_bound = call.head.tokens.total if call.budgeted else 0
    workspace = call.workspace.name if call.workspace else ""
    reservation: Reservation | None = None
    if token_bound:
        reservation = await _reserve(core, workspace, token_bound)
        progress.holders = tuple(part.vm for part in reservation.parts)
    progress.granted_at = core.clock()
    try:
        forwarded = await forward(core, request, call, progress)
    finally:
        used = used_tokens(call, progress)
        if reservation is not None:
            core.budgets.settle(reservation, min(token_bound, used))
    record_end(core, call, progress, forwarded.result, used)
    return _close_if_stopping(core, forwarded.response)


async def _reserve(core: GatewayCore, workspace: str, token_bound: int) -> Reservation:
    """Reserves the tokens of a call; raises ``RefusedError`` if there are too few."""
    begun_at, result = core.clock(), "unavailable"
    try:
        reservation = await core.budgets.reserve(workspace, token_bound)
        result = _reserved_from(reservation)
        return reservation
    except BudgetExhaustedError as error:
        if _is_configuration_stale(core):
            raise RefusedError(
                refusals.NO_CONFIGURATION, f"{error}, and the configuration is stale"
            ) from error
        result = "exhausted"
        raise RefusedError(refusals.BUDGET_EXHAUSTED, str(error)) from error
    except UnavailableError as error:
        raise RefusedError(refusals.BUDGET_UNAVAILABLE, str(error)) from error
    finally:
        core.metrics.reservations.inc({"result": result})
        core.metrics.grant_s.observe({"result": result}, core.clock() - begun_at)


def _reserved_from(reservation: Reservation) -> str:
    """Returns the label of a reservation in the metrics."""
    if len(reservation.parts) > 1:
        return "several"
    return "holder" if reservation.parts[0].number else "own"


def _close_if_stopping(
    core: GatewayCore, response: web.StreamResponse
) -> web.StreamResponse:
    """Closes the caller's connection after the response if the process is stopping."""
    if core.stopping and not response.prepared:
        response.force_close()
    return response
