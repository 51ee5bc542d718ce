"""Keeps the limits on calls that endpoints name in their responses."""

from verbenagrade.events import Event, log_event
from verbenagrade.protocol.calls import ResponseHead
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore

__all__ = ["record_limit"]


def record_limit(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    entry: EndpointEntry,
    head: ResponseHead,
) -> None:
    """Records what a response says of the limit of its endpoint.

    A response which states that the call did not run may come from another endpoint at
    the same address, or be sent before the load is known; it ends no limit.
    """
    if head.not_run and head.limit_per_s is None:
        return
    now = core.clock()
    changed = core.limits.record_response(
        entry.incarnation, head.limit_per_s, progress.sent_at, now
    )
    if changed:
        log_event(
            Event.ENDPOINT_LIMITED,
            call=call.head.call_id,
            endpoint=entry.name,
            limit_per_s=head.limit_per_s,
            sent_ago_s=round(now - progress.sent_at, 3),
        )
