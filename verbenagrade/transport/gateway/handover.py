"""Decides whether another endpoint takes over a call whose endpoint is slow.

An attempt that may still succeed is given up only if its successor is certain: the
call may run again, the retry budget has a retry for it, and an endpoint that is left
accepts a connection. Otherwise the gateway goes on waiting, up to the deadline.
"""

from collections.abc import Callable

from verbenagrade.events import Event, log_event
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.placement import Placement
from verbenagrade.state.retries import (
    Failure,
    first_response_timeout_s,
    is_retry_allowed,
)
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.limits import choose_within_limits
from verbenagrade.transport.gateway.reach import accepts_connection
from verbenagrade.transport.gateway.stopping import may_begin

__all__ = ["first_response_patience_s", "hand_over", "may_be_handed_over"]


def may_be_handed_over(call: Call, progress: CallProgress) -> bool:
    """Returns whether the call may run at another endpoint after the present one."""
    return is_retry_allowed(
        call.kind,
        call.route.max_runs,
        progress.possible_runs + 1,
        progress.placements,
        Failure.SILENT,
    )


def first_response_patience_s(
    core: GatewayCore, call: Call, progress: CallProgress, entry: EndpointEntry
) -> float:
    """Returns the time after which another endpoint may take over, in seconds."""
    remaining_s = max(0.0, call.deadline - core.clock())
    if not may_be_handed_over(call, progress):
        return remaining_s
    expected_s = core.placement.expected_first_response_s(entry, call.shape)
    return first_response_timeout_s(
        call.route.target_latency_s, expected_s, remaining_s
    )


async def hand_over(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    has_responded: Callable[[], bool],
) -> bool:
    """Takes a retry and sets ``progress.successor``, or returns false.

    The result is also false if ``entry`` has responded in the meantime.
    """
    if not may_begin(core, call, progress):
        _log_kept_call(call, progress, entry)
        return False
    successor = await _find_successor(core, call, progress, entry)
    if has_responded():
        return False
    if successor is None or not core.take_retry(call.service, core.clock()):
        _log_kept_call(call, progress, entry)
        return False
    progress.successor = successor
    return True


async def _find_successor(
    core: GatewayCore, call: Call, progress: CallProgress, entry: EndpointEntry
) -> Placement | None:
    """Returns an endpoint that accepted a connection, which was closed again."""
    now = core.clock()
    if not may_be_handed_over(call, progress) or not core.has_retry(call.service, now):
        return None
    excluded = {*progress.excluded_endpoints, entry.name}
    successor = await choose_within_limits(core, call, progress, excluded)
    timeout_s = min(core.settings.tuning.connect_s, call.deadline - now)
    if successor is None:
        return None
    if core.reach.cut_off:
        return successor if core.fleet.peers.peers else None
    accepted = await accepts_connection(core, successor.endpoint, timeout_s)
    return successor if accepted else None


def _log_kept_call(call: Call, progress: CallProgress, entry: EndpointEntry) -> None:
    """Logs once for each call that it stays at a slow endpoint."""
    if not progress.kept_logged:
        progress.kept_logged = True
        log_event(Event.CALL_KEPT, call=call.head.call_id, endpoint=entry.name)
