"""Decides which calls may still be sent while the process stops.

A call that can't end before the process does is refused as not run, so that its caller
has time to come back to another VM: when it arrives, or as soon as it has waited too
long for its body, its budget, a trial or a permit. A retry is a call to be sent, too.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from verbenagrade.state.call_durations import latest_start
from verbenagrade.state.calls import CallKind
from verbenagrade.transport.gateway import refusals
from verbenagrade.transport.gateway.admission import RefusedError
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore
from verbenagrade.transport.gateway.send_limits import LatestStart, SendLimit

__all__ = ["can_end", "latest_start_of", "may_begin", "until_sent"]


@asynccontextmanager
async def until_sent(core: GatewayCore) -> AsyncIterator[SendLimit]:
    """Refuses a call as not run if it waits longer than its limit.

    Raises ``RefusedError`` in that case.
    """
    limit = SendLimit()
    core.send_limits.add(limit)
    try:
        async with limit.timeout:
            yield limit
    except TimeoutError as error:
        if not limit.timeout.expired():
            raise
        raise RefusedError(refusals.STOPPING) from error
    finally:
        core.send_limits.discard(limit)


def latest_start_of(
    core: GatewayCore, route: str, kind: CallKind, deadline: float
) -> LatestStart:
    """Returns until when a call of a route may be sent."""

    def latest(ends_at: float) -> float:
        """Returns that time, from the durations of calls known by now.

        A call that may not run again has all of its time.
        """
        expected_s = core.durations.usual_s(route) if kind.retryable else None
        return latest_start(deadline, ends_at, expected_s)

    return latest


def can_end(core: GatewayCore, latest: LatestStart) -> bool:
    """Returns whether a call that is sent now can end before the process does."""
    return core.ends_at is None or core.clock() <= latest(core.ends_at)


def may_begin(core: GatewayCore, call: Call, progress: CallProgress) -> bool:
    """Returns whether a call may be sent to an endpoint now.

    A stream that has begun goes on as long as the process runs.
    """
    latest = latest_start_of(core, call.route.name, call.kind, call.deadline)
    return progress.delivered_events > 0 or can_end(core, latest)
