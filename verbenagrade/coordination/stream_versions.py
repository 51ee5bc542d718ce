"""Makes the software version of each stream known wherever it may go on.

A stream that begins at the default version of its service needs no record. All VMs
agree on the default through a row ``software/SERVICE`` of the fleet's table, which
changes only when no endpoint of the version is left, so that no stream that began at it
can go on anyway. Any other stream is recorded before its caller gets the first event.
A VM that did not serve a stream reads the store, and knows that one without a record
began at the default, unless the default changed, or the store may have lost rows,
within the time for which callers take streams up. Nothing but the store shows that: a
VM that is cut off from it, or stands still, does not see which versions serve
meanwhile. Nor does it see that the default was replaced, and goes on with streams at
the earlier one. A default therefore holds for streams without a record only once all
VMs know it; until then each records its streams, also those that it had begun before.

After a loss of rows, a stream without a record is of no known version for as long as
callers may take up one whose record is lost. Until then each VM therefore records all
streams that it serves, those at the default as well, and those whose records it wrote
before the loss once more.
"""

import asyncio
import random
from collections.abc import Iterable

from verbenagrade.coordination.default_versions import DefaultVersions, ServiceView
from verbenagrade.coordination.era_starts import EraStart
from verbenagrade.coordination.permits import StoreTime
from verbenagrade.coordination.ports import Changes, Clock, PlatformStore
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.coordination.stream_records import StreamRecords, partition_of
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError, UnreadableRowError
from verbenagrade.state.stream_versions import (
    BegunStream,
    BegunStreams,
    Knowledge,
    RecordNeed,
    StreamOrigin,
    find_origin,
    record_need,
)

__all__ = ["StreamVersions"]

FIND_TIMEOUT_S = 0.4
"""Timeout of one try to read the record of a stream, in seconds."""

FIND_TRIES = 3
FIND_PAUSE_S = 0.1
"""Number of tries, and the pause between two in seconds. A store that takes too many
requests at once says so without delay, so that tries without a pause would be lost."""

STORE_WRITE_FRACTION = 0.25
"""Fraction of the writes that the store takes which records of all VMs may use."""

MIN_BURST_RECORDS = 4.0


class StreamVersions:
    """The default versions, and the streams that this VM began.

    ``allowance`` is the number of records that this VM may write now. ``to_record`` is
    set when a stream has begun that ``record_running`` has to record.
    """

    def __init__(
        self,
        table: PlatformStore,
        records: StreamRecords,
        clock: Clock,
        time: StoreTime,
        eras: StoreEras,
        view: ServiceView,
        store_writes_per_s: float,
        vm: str,
        rng: random.Random,
    ) -> None:
        self.records = records
        self.clock = clock
        self.era_start = EraStart(table, eras, clock, time, view.vm_count, rng)
        self.view = view
        self.store_writes_per_s = store_writes_per_s
        self.begun = BegunStreams()
        self.to_record = asyncio.Event()
        self.defaults = DefaultVersions(table, clock, time, eras, view, vm, rng)
        self.allowance = MIN_BURST_RECORDS
        self.allowance_at = clock()

    def apply(self, changes: Changes) -> None:
        """Applies changes of the fleet's table.

        ``time`` must have learned the store's time from them before.
        """
        self.defaults.apply(changes)
        self.era_start.apply(changes)

    def enter_era(self) -> None:
        """Has the defaults written again after the store came back from a copy."""
        self.defaults.enter_era()
        self.era_start.enter_era()

    def need(self, service: str, version: str) -> RecordNeed:
        """Returns whether a stream that begins at a version has to be recorded."""
        self.defaults.watch(service)
        now = self.clock()
        known = Knowledge(
            default=self.defaults.known.get(service),
            defaults_age_s=now - self.defaults.heard_at,
            ready_versions=frozenset(
                entry.software_version for entry in self.view.ready(service)
            ),
            endpoints_age_s=self.view.directory_age_s(),
            store_away=self.records.away,
            vm_listed=self.defaults.confirmations.is_listed(),
        )
        return record_need(known, version, now, self.view.stream_life_s())

    def look(self, services: Iterable[str]) -> None:
        """Takes notice of which versions have endpoints."""
        for service in services:
            self.defaults.look(service)

    def may_record(self) -> bool:
        """Returns whether the store takes another record of this VM now."""
        rate_per_s = (
            STORE_WRITE_FRACTION
            * self.store_writes_per_s
            / max(1, self.view.vm_count())
        )
        now = self.clock()
        grown = self.allowance + rate_per_s * (now - self.allowance_at)
        self.allowance = min(max(MIN_BURST_RECORDS, rate_per_s), grown)
        self.allowance_at = now
        return not self.records.away and self.allowance >= 1.0

    def puts_off(self, service: str, version: str) -> bool:
        """Returns whether an optional record of a stream that begins now has to wait.

        That holds at the default while the store takes no more records of this VM. If
        the default is not settled, ``record_running`` writes the record later.
        """
        default = self.defaults.known.get(service)
        is_default = default is not None and default.version == version
        return is_default and not self.may_record()

    async def record(self, call_id: str, number: int, version: str) -> int:
        """Records the version of a call's attempt; returns once that is certain.

        The result is the era in which the store took the record.
        """
        self.allowance -= 1.0
        return await self.records.record(call_id, number, version)

    def begin(self, call_id: str, stream: BegunStream) -> None:
        """Remembers a stream whose first event is delivered now."""
        self.begun.record(call_id, stream)
        loss = self.era_start.loss()
        if loss.at is not None and loss.may_concern(
            self.clock(), self.view.stream_life_s()
        ):
            self.to_record.set()

    async def record_running(self) -> int:
        """Records running streams, so that other VMs can tell where they began.

        Those for which the store takes no more records now are left for the next time.
        Returns the number of streams that were recorded.
        """
        self.to_record.clear()
        partitions: dict[int, dict[str, BegunStream]] = {}
        for call_id, stream in self._unrecorded(self.clock()).items():
            partitions.setdefault(partition_of(call_id), {})[call_id] = stream
        recorded = 0
        for streams in partitions.values():
            if not self.may_record():
                break
            self.allowance -= 1.0
            recorded += await self._record_all(streams)
        if recorded:
            loss = self.era_start.loss()
            lost = loss.may_concern(self.clock(), self.view.stream_life_s())
            reason = "the store has lost rows" if lost else "a default is not settled"
            log_event(
                Event.STREAMS_RECORDED, streams=recorded, era=loss.era, reason=reason
            )
        return recorded

    def _unrecorded(self, now: float) -> dict[str, BegunStream]:
        """Returns the streams that have to be recorded though they may have begun.

        These are all without a record of this era while the store may have lost rows.
        Otherwise, they are those without any record while their default is not settled,
        if endpoints of their version serve, at which they could go on.
        """
        loss, stream_life_s = self.era_start.loss(), self.view.stream_life_s()
        if loss.may_concern(now, stream_life_s):
            return self.begun.unrecorded(loss.era, now - stream_life_s)
        served = {
            service: self._served_versions(service)
            for service, default in self.defaults.known.items()
            if not default.is_settled(now, stream_life_s)
        }
        if not served:
            return {}
        running = self.begun.unrecorded(loss.era, now - stream_life_s)
        return {
            call_id: stream
            for call_id, stream in running.items()
            if stream.recorded_in is None
            and stream.version in served.get(stream.service, ())
        }

    def _served_versions(self, service: str) -> set[str]:
        entries = self.view.entries(service)
        return {entry.software_version for entry in entries if not entry.leaving}

    async def find(self, service: str, call_id: str, asked_at: float) -> StreamOrigin:
        """Returns the version at which a stream began.

        ``call_id`` is the call that brought its first event. The caller took the stream
        up at ``asked_at``, in seconds. What the store says counts for that time, for
        however long this process stood still since.
        """
        version = self.begun.find(call_id)
        if version is not None:
            return StreamOrigin(version, "served here")
        origin = await self._read_with_retries(service, call_id, asked_at)
        if origin.version is not None:
            stream = BegunStream(
                service=service,
                version=origin.version,
                number=max(1, origin.number),
                at=self.clock(),
                recorded_in=origin.recorded_in,
            )
            self.begun.record(call_id, stream)
        return origin

    async def _read_with_retries(
        self, service: str, call_id: str, asked_at: float
    ) -> StreamOrigin:
        for number in range(FIND_TRIES):
            if number:
                await asyncio.sleep(FIND_PAUSE_S)
            try:
                async with asyncio.timeout(FIND_TIMEOUT_S):
                    return await self._read_origin(service, call_id, asked_at)
            except UnreadableRowError as error:
                log_event(Event.STREAM_VERSION_UNREAD, call=call_id, reason=str(error))
                return StreamOrigin(None, "its record can't be read")
            except (PlatformError, TimeoutError) as error:
                reason = str(error) or "no response in time"
                log_event(Event.STREAM_VERSION_UNREAD, call=call_id, reason=reason)
        return StreamOrigin(None, "the store did not respond")

    async def maintain(self, services: Iterable[str]) -> None:
        """Replaces defaults that have no endpoints, and removes old records.

        Raises ``PlatformError`` if the store does not respond.
        """
        await self.era_start.maintain()
        for service in services:
            await self.defaults.maintain(service)
        await self.records.maintain(self.view.stream_life_s())

    async def _record_all(self, streams: dict[str, BegunStream]) -> int:
        """Tries once to record streams of one partition; returns their number."""
        try:
            eras = await asyncio.gather(
                *(
                    self.records.write(call_id, stream.number, stream.version)
                    for call_id, stream in streams.items()
                )
            )
        except PlatformError:
            # The failed transaction was logged; all of them are tried again.
            return 0
        for call_id, era in zip(streams, eras, strict=True):
            self.begun.record_written(call_id, era)
        return len(streams)

    async def _read_origin(
        self, service: str, call_id: str, asked_at: float
    ) -> StreamOrigin:
        recorded, default = await asyncio.gather(
            self.records.find(call_id), self.defaults.read(service)
        )
        return find_origin(
            recorded,
            default,
            asked_at,
            self.view.stream_life_s(),
            self.era_start.loss(),
        )
