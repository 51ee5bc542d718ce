"""Keeps each stream at the software version of the endpoint that began it."""

import asyncio
from collections.abc import Collection

from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import UpstreamTimeoutError
from verbenagrade.state.calls import CallKind
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.stream_versions import BegunStream, RecordNeed
from verbenagrade.transport.gateway.calls import Call, CallProgress
from verbenagrade.transport.gateway.core import GatewayCore

__all__ = [
    "begin_record",
    "candidates",
    "confirm_version",
    "end_record",
    "end_stream",
    "find_version",
]

OPTIONAL_RECORD_S = 0.3
"""How long the first event waits for a record without which it may be delivered, in
seconds."""


async def find_version(core: GatewayCore, call: Call, progress: CallProgress) -> bool:
    """Finds where a stream that its caller takes up may go on.

    Returns false if the version at which it began is not known.
    """
    if call.kind is not CallKind.RESUMABLE_STREAM or not call.head.resume_after:
        return True
    begun_by = _begun_by(call)
    origin = await core.versions.find(call.service, begun_by, call.started_at)
    log_event(
        Event.STREAM_VERSION_FOUND,
        call=call.head.call_id,
        resumes=begun_by,
        version=origin.version,
        reason=origin.reason,
    )
    if origin.version is None:
        core.metrics.stream_versions_unknown.inc({})
        return False
    progress.stream_version = origin.version
    return True


def candidates(
    core: GatewayCore, call: Call, progress: CallProgress
) -> Collection[EndpointEntry]:
    """Returns the endpoints at which a call may begin or go on.

    If the store takes no records, streams begin at versions that need none.
    """
    entries = core.endpoints(call.service)
    if call.kind is not CallKind.RESUMABLE_STREAM:
        return entries
    if progress.stream_version is not None:
        version = progress.stream_version
        return tuple(e for e in entries if e.software_version == version)
    if core.versions.may_record():
        return entries
    versions = {entry.software_version for entry in entries}
    without_record = {
        version
        for version in versions
        if core.versions.need(call.service, version) is not RecordNeed.REQUIRED
    }
    return tuple(e for e in entries if e.software_version in without_record)


def begin_record(
    core: GatewayCore, call: Call, progress: CallProgress, entry: EndpointEntry
) -> None:
    """Has the version of an endpoint recorded that may begin a stream.

    Once an attempt of the call was recorded, each later one has to be.
    """
    begins = progress.stream_version is None
    if call.kind is not CallKind.RESUMABLE_STREAM or not begins:
        return
    need = core.versions.need(call.service, entry.software_version)
    put_off = need is RecordNeed.OPTIONAL and core.versions.puts_off(
        call.service, entry.software_version
    )
    if (need is RecordNeed.NONE or put_off) and not progress.records:
        return
    end_record(progress)
    progress.version_required = need is RecordNeed.REQUIRED or progress.records > 0
    progress.records += 1
    core.metrics.stream_records.inc({})
    progress.version_record = asyncio.create_task(
        core.versions.record(
            call.head.call_id, progress.records, entry.software_version
        )
    )


async def confirm_version(
    core: GatewayCore, call: Call, progress: CallProgress, entry: EndpointEntry
) -> None:
    """Fixes the version of a stream, before its first event is delivered.

    Raises ``UpstreamTimeoutError`` if it could not be recorded before the deadline.
    """
    if (
        call.kind is not CallKind.RESUMABLE_STREAM
        or progress.stream_version is not None
    ):
        return
    if progress.version_record is not None:
        await _wait_for_record(core, call, progress, entry)
    progress.stream_version = entry.software_version
    begun = BegunStream(
        service=call.service,
        version=entry.software_version,
        number=max(1, progress.records),
        at=core.clock(),
        recorded_in=_era_of_record(progress),
    )
    core.versions.begin(call.head.call_id, begun)


def end_stream(core: GatewayCore, call: Call) -> None:
    """Records that the caller of a stream has got all of it."""
    if call.kind is CallKind.RESUMABLE_STREAM:
        core.versions.begun.end(_begun_by(call))


def _begun_by(call: Call) -> str:
    """Returns the id of the call that began the stream of a call."""
    resumed = call.head.resumed_call if call.head.resume_after else ""
    return resumed or call.head.call_id


def _era_of_record(progress: CallProgress) -> int | None:
    """Returns the era in which the version was recorded, ``None`` if it is not yet."""
    record = progress.version_record
    return record.result() if record is not None and record.done() else None


async def _wait_for_record(
    core: GatewayCore, call: Call, progress: CallProgress, entry: EndpointEntry
) -> None:
    """Returns once the record is written or not needed, or else raises an exception."""
    record = progress.version_record
    left_s = max(0.0, call.deadline - core.clock())
    if not progress.version_required:
        await asyncio.wait({record}, timeout=min(left_s, OPTIONAL_RECORD_S))
        # The VM may have lost touch with the store since the attempt began.
        need = core.versions.need(call.service, entry.software_version)
        progress.version_required = need is RecordNeed.REQUIRED
    if progress.version_required:
        left_s = max(0.0, call.deadline - core.clock())
        await asyncio.wait({record}, timeout=left_s)
    if record.done():
        record.result()
    elif progress.version_required:
        raise UpstreamTimeoutError("the version of the stream was not recorded")


def end_record(progress: CallProgress) -> None:
    """Stops the record of an attempt that has ended."""
    if progress.version_record is not None:
        progress.version_record.cancel()
        progress.version_record = None
