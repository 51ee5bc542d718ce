"""Tells crashes of endpoints from other broken responses, and reports the suspects.

A response can break off for many reasons. An endpoint has crashed if it refuses a
connection right afterwards, or its entry shows that it has started again. An endpoint
that does not even refuse may be out of reach, so that its entry has to be gone as well.
Each call that a crashed endpoint had may be the cause, and each part of those that
brought no response yet. A VM that is cut off goes by the entries alone.
"""

import asyncio
from collections.abc import Iterable

from verbenagrade.events import Event, log_event
from verbenagrade.state.calls import CallHead
from verbenagrade.state.crash_suspects import MIN_SURVIVED_EVENTS
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.transport.gateway.calls import Call, shared_parts
from verbenagrade.transport.gateway.core import BrokenCall, CrashCheck, GatewayCore
from verbenagrade.transport.gateway.reach import connection_error, is_cut_off

__all__ = [
    "find_cause",
    "is_on_trial",
    "record_break",
    "record_broken_call",
    "record_completion",
    "record_survival",
]

STALE_REPORTS_S = 1.0
"""Time without contact to the store, in seconds, after which reports of other VMs may
be missing."""

CHECK_INTERVAL_S = 0.25
"""Time between two looks at an endpoint that broke off calls, in seconds. One that
crashes may break off its calls a moment before it closes its port."""

ENTRY_PATIENCE_S = 4.0
"""Time within which the entries show that an endpoint which broke off a call has
crashed, in seconds. The platform expects VMs to react within it (its stable window)."""

MIN_SERVER_ERROR_STATUS = 500


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
    """Returns whether a call is sent to find out if the cause really is at fault."""
    if not await core.fleet.try_cause(cause):
        return False
    log_event(Event.CAUSE_TRIED, call=call.head.call_id, cause=cause)
    return True


def record_broken_call(
    core: GatewayCore, call: Call, entry: EndpointEntry, events: int
) -> None:
    """Records that an endpoint broke off a call after a number of events."""
    record_break(core, call.head, call.digest, entry, events)


def record_break(
    core: GatewayCore, head: CallHead, digest: str, entry: EndpointEntry, events: int
) -> None:
    """Records that an endpoint broke off the call with a head and a digest."""
    parts = shared_parts(head)
    log_event(
        Event.CALL_BROKEN_OFF,
        call=head.call_id,
        endpoint=entry.name,
        started_ms=entry.started_ms,
        parts=parts,
        events=events,
    )
    if events >= MIN_SURVIVED_EVENTS:
        parts = ()
    check = core.crash_checks.get(entry.incarnation)
    if check is None:
        check = core.crash_checks[entry.incarnation] = CrashCheck()
        core.run_in_background(_watch(core, entry, check))
    check.new.append(BrokenCall(digest, parts, core.clock()))


def record_survival(core: GatewayCore, call: Call, sent_at: float) -> None:
    """Records that a call got beyond its first events; it was sent at ``sent_at``."""
    parts = call.shared_parts
    if parts and core.fleet.record_survival(parts, sent_at):
        core.run_in_background(core.fleet.write_removals())


def record_completion(
    core: GatewayCore, call: Call, status: int, sent_at: float
) -> None:
    """Records a complete response to a call that was sent at ``sent_at``."""
    if status >= MIN_SERVER_ERROR_STATUS:
        return
    if core.fleet.record_completion(call.digest, sent_at):
        core.run_in_background(core.fleet.write_removals())


async def _watch(core: GatewayCore, entry: EndpointEntry, check: CrashCheck) -> None:
    """Reports the calls that an endpoint broke off, if it turns out that it crashed."""
    try:
        while check.pending:
            if check.new:
                await _ask(core, entry, check)
            _read_entries(core, entry, check)
            await asyncio.sleep(CHECK_INTERVAL_S)
            check.drop_before(core.clock() - ENTRY_PATIENCE_S)
    finally:
        core.crash_checks.pop(entry.incarnation, None)


async def _ask(core: GatewayCore, entry: EndpointEntry, check: CrashCheck) -> None:
    """Asks an endpoint for a connection after it broke off calls."""
    asked_at = core.clock()
    calls, check.new = check.new, []
    error = await connection_error(core, entry, core.settings.tuning.connect_s)
    if error is None:
        early = [call for call in calls if asked_at - call.at < CHECK_INTERVAL_S]
        check.new = early + check.new
        check.accepted += [call for call in calls if call not in early]
        return
    check.silent += calls
    cut_off = await is_cut_off(core, entry, calls[0].at)
    if isinstance(error, ConnectionRefusedError) and not cut_off:
        _report(core, entry, check.silent, "refused")
        # The endpoint was there after it had broken off those accepted.
        check.silent, check.accepted = [], []


def _read_entries(core: GatewayCore, entry: EndpointEntry, check: CrashCheck) -> None:
    """Reports the calls if the entries show that their endpoint has crashed."""
    if core.directory.has_restarted(entry):
        calls, proof = check.new + check.silent + check.accepted, "restarted"
        check.new, check.silent, check.accepted = [], [], []
    elif core.directory.is_missing(entry):
        calls, proof = check.silent, "gone"
        check.silent = []
    else:
        return
    if calls:
        _report(core, entry, calls, proof)


def _report(
    core: GatewayCore, entry: EndpointEntry, calls: Iterable[BrokenCall], proof: str
) -> None:
    """Reports the calls of a crashed endpoint to the other VMs."""
    at = min(call.at for call in calls)
    digests = {call.digest for call in calls}
    parts = {part for call in calls for part in call.parts}
    log_event(
        Event.ENDPOINT_CRASH_FOUND,
        endpoint=entry.name,
        started_ms=entry.started_ms,
        proof=proof,
        calls=len(digests),
        suspects=sorted(parts),
    )
    incarnation = entry.incarnation
    core.run_in_background(core.fleet.report_crashes(digests, incarnation, at))
    core.run_in_background(core.fleet.report_suspects(parts, incarnation, at))
