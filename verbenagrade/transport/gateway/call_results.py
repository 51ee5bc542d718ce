"""What a call that has ended is charged, and its record."""

from verbenagrade.events import Event, log_event
from verbenagrade.transport.gateway.calls import Call, CallProgress, CallResult
from verbenagrade.transport.gateway.core import GatewayCore

__all__ = ["record_end", "used_tokens"]


def used_tokens(call: Call, progress: CallProgress) -> int:
    """Returns the tokens that a call is charged for.

    These are the tokens of its prompt if the call may have run, and an upper bound
    of the tokens in the delivered events.
    """
    if progress.outcome.state in ("reserved", "refused"):
        return 0
    return call.head.tokens.prompt + call.event_tokens(progress.delivered_events)


def record_end(
    core: GatewayCore,
    call: Call,
    progress: CallProgress,
    result: CallResult,
    used: int,
) -> None:
    """Logs and counts the end of a call of which so many tokens were used."""
    now = core.clock()
    labels = {"kind": call.kind.value}
    first_response_at = progress.first_response_at
    if first_response_at is not None:
        core.metrics.first_answer_s.observe(labels, first_response_at - call.started_at)
    core.metrics.duration_s.observe(labels, now - call.started_at)
    core.metrics.requests.inc({"outcome": str(result.status)})
    if progress.outcome.state == "answered":
        core.durations.record(call.route.name, now - call.started_at)
    log_event(
        Event.CALL_ENDED,
        call=call.head.call_id,
        route=call.route.name,
        status=result.status,
        reason=result.reason,
        placements=progress.placements,
        events=progress.delivered_events,
        framing=progress.framing,
        attempt_events=progress.attempt_events,
        through_vm=progress.through_vm,
        tokens=used,
        workspace=call.workspace.name if call.workspace else "",
        pause_s=round(progress.longest_event_gap_s, 3),
        holders=progress.holders,
        grant_s=round(progress.granted_at - call.started_at, 3),
        first_s=None
        if first_response_at is None
        else round(first_response_at - call.started_at, 3),
        total_s=round(now - call.started_at, 3),
    )
