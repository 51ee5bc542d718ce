"""Tells crashes of endpoints from other broken responses, and reports the suspects.

A response can break off for many reasons. An endpoint that accepts no connection right
afterwards has crashed, and each call that it had and that brought no response yet may
be the cause.
"""

import asyncio

from verbenagrade.events import Event, log_event
from verbenagrade.state.crash_suspects import MIN_SURVIVED_EVENTS
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.transport.gateway.calls import Call
from verbenagrade.transport.gateway.core import CrashCheck, GatewayCore

__all__ = [
    "accepts_connection",
    "find_cause",
    "is_on_trial",
    "record_broken_call",
    "record_survival",
]

STALE_REPORTS_S = 1.0
"""Time without contact to the store, in seconds, after which reports of other VMs may
be missing."""


def find_cause(core: GatewayCore, call: Call) -> str:
    """Returns why a call is known to crash endpoints, empty if it isn't.

    This is the part of its prompt at fault, or the digest of the call.
    """
    now = core.clock()
    others_known = core.fleet_freshness.staleness_s(now) < STALE_REPORTS_S
    part = core.fleet.suspects.find_convicted(call.shared_parts, now, others_known)
    if part:
        return part
    return call.digest if core.fleet.poison_calls.is_poison(call.digest) else ""


async def is_on_trial(core: GatewayCore, call: Call, cause: str) -> bool:
    """Returns whether a call is sent to find out if the part at fault really is."""
    if cause not in call.shared_parts or not await core.fleet.try_part(cause):
        return False
    log_event(Event.PART_TRIED, call=call.head.call_id, part=cause)
    return True


def record_broken_call(
    core: GatewayCore, call: Call, entry: EndpointEntry, events: int
) -> None:
    """Records that an endpoint broke off a call after a number of events."""
    log_event(
        Event.CALL_BROKEN_OFF,
        call=call.head.call_id,
        endpoint=entry.name,
        started_ms=entry.started_ms,
        parts=call.shared_parts,
        events=events,
    )
    incarnation = entry.incarnation
    core.run_in_background(core.fleet.report_crash(call.digest, incarnation))
    if events >= MIN_SURVIVED_EVENTS or not call.shared_parts:
        return
    check = core.crash_checks.get(incarnation)
    if check is None:
        check = core.crash_checks[incarnation] = CrashCheck(core.clock())
        core.run_in_background(_check(core, entry, check))
    check.parts.update(call.shared_parts)


def record_survival(core: GatewayCore, call: Call, sent_at: float) -> None:
    """Records that a call got beyond its first events; it was sent at ``sent_at``."""
    parts = call.shared_parts
    if parts and core.fleet.record_survival(parts, sent_at):
        core.run_in_background(core.fleet.write_removals())


async def _check(core: GatewayCore, entry: EndpointEntry, check: CrashCheck) -> None:
    """Reports the parts of the calls that broke off, if the endpoint has crashed."""
    try:
        timeout_s = core.settings.tuning.connect_s
        crashed = not await accepts_connection(core, entry, timeout_s)
    finally:
        core.crash_checks.pop(entry.incarnation, None)
    if not crashed:
        return
    log_event(
        Event.ENDPOINT_CRASH_FOUND,
        endpoint=entry.name,
        started_ms=entry.started_ms,
        suspects=sorted(check.parts),
    )
    await core.fleet.report_suspects(check.parts, entry.incarnation, check.at)


async def accepts_connection(
    core: GatewayCore, entry: EndpointEntry, timeout_s: float
) -> bool:
    """Returns whether an endpoint accepts a connection, which is closed again.

    If it does not, placement avoids the endpoint for some time.
    """
    host, _, port = entry.address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError) as error:
        core.placement.unreachable(entry, core.clock())
        log_event(Event.ENDPOINT_UNREACHABLE, endpoint=entry.name, reason=repr(error))
        return False
    writer.close()
    return True
