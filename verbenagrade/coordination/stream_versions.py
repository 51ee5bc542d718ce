"""Makes the software version of each stream known wherever it may go on.

A stream that begins at the default version of its service needs no record. All VMs
agree on the default through a row ``software/SERVICE`` of the fleet's table, which
changes only when no endpoint of the version is left, so that no stream that began at it
can go on anyway. Any other stream is recorded before its caller gets the first event.
A VM that has no record of a stream reads the store, and knows that it began at the
default, unless the default changed, or the store lost rows, within the time for which
callers take streams up.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from verbenagrade.coordination.codec import decode_or_ignore
from verbenagrade.coordination.crash_rows import split_key
from verbenagrade.coordination.gateway_fleet import FLEET_TABLE
from verbenagrade.coordination.permits import StoreTime
from verbenagrade.coordination.ports import (
    Changes,
    Check,
    Clock,
    PlatformStore,
    Row,
    Write,
)
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.coordination.stream_records import StreamRecords
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.decoding import Seconds
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.stream_versions import (
    BegunStreams,
    DefaultVersion,
    RecordNeed,
    most_common_version,
    record_need,
)

__all__ = ["ServiceView", "StreamVersions"]

FIND_TIMEOUT_S = 0.4
"""Timeout of one try to read the record of a stream, in seconds."""

FIND_TRIES = 2
STORE_WRITE_FRACTION = 0.25
"""Fraction of the writes that the store takes which records of all VMs may use."""

MIN_BURST_RECORDS = 4.0
LONG_AGO_S = 1e6
ABSENT = 0
"""Version of a row that does not exist."""

MAX_DIRECTORY_AGE_S = 1.0
"""Age of the known endpoints, in seconds, above which no default is replaced."""

EXPECTED_WRITERS = 2.0
"""Expected number of VMs that write the row of a default in each round."""


class DefaultRow(msgspec.Struct, frozen=True):
    """A default version, and since when it is one on the store's clock, in seconds."""

    version: str
    since_s: Seconds


@dataclass(frozen=True, slots=True)
class ServiceView:
    """What versions depend on.

    ``entries`` returns the known endpoints of a service, ``ready`` those that take new
    calls, and ``stream_life_s`` the longest time in which callers take streams up, in
    seconds. ``directory_age_s`` tells how outdated the endpoints may be.
    """

    entries: Callable[[str], Iterable[EndpointEntry]]
    ready: Callable[[str], Iterable[EndpointEntry]]
    stream_life_s: Callable[[], float]
    directory_age_s: Callable[[], float]
    vm_count: Callable[[], int]


class StreamVersions:
    """The default versions, and the streams that this VM began.

    ``defaults`` has the default of each service, ``row_versions`` the version of its
    row. ``mixed_at`` is when a service was last seen with endpoints of another version
    than its default. ``allowance`` is the number of records that this VM may write now.
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
        rng: random.Random,
    ) -> None:
        self.random = rng
        self.table = table
        self.records = records
        self.clock = clock
        self.time = time
        self.eras = eras
        self.view = view
        self.store_writes_per_s = store_writes_per_s
        self.begun = BegunStreams()
        self.defaults: dict[str, DefaultVersion] = {}
        self.row_versions: dict[str, int] = {}
        self.started_at = clock()
        self.mixed_at: dict[str, float] = {}
        self.allowance = MIN_BURST_RECORDS
        self.allowance_at = clock()

    def apply(self, changes: Changes) -> None:
        """Applies changes of the fleet's table.

        ``time`` must have learned the store's time from them before.
        """
        if changes.complete:
            self.enter_era()
        for row in changes.rows:
            kind, *names = split_key(row.key, FLEET_TABLE)
            if kind == "software":
                self._apply_row("/".join(names), row)

    def enter_era(self) -> None:
        """Has the defaults written again after the store came back from a copy."""
        self.row_versions = dict.fromkeys(self.row_versions, ABSENT)

    def need(self, service: str, version: str) -> RecordNeed:
        """Returns whether a stream that begins at a version has to be recorded."""
        return record_need(
            self.defaults.get(service),
            version,
            frozenset(entry.software_version for entry in self.view.ready(service)),
            self.clock(),
            self.view.stream_life_s(),
        )

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

    async def record(self, call_id: str, number: int, version: str) -> None:
        """Records the version of a call's attempt; returns once that is certain."""
        self.allowance -= 1.0
        await self.records.record(call_id, number, version)

    async def find(self, service: str, call_id: str) -> str | None:
        """Returns the version at which a stream began, ``None`` if that is not known.

        ``call_id`` is the call that brought its first event.
        """
        version = self.begun.find(call_id)
        if version is None:
            version = self._only_version(service)
        for _ in range(FIND_TRIES):
            if version is not None:
                break
            try:
                async with asyncio.timeout(FIND_TIMEOUT_S):
                    version = await self._read_version(service, call_id)
                break
            except (PlatformError, TimeoutError) as error:
                reason = str(error) or "no response in time"
                log_event(Event.STREAM_VERSION_UNREAD, call=call_id, reason=reason)
        if version is not None:
            self.begun.record(call_id, version)
        return version

    async def maintain(self, services: Iterable[str]) -> None:
        """Replaces defaults that have no endpoints, and removes old records.

        Raises ``PlatformError`` if the store does not respond.
        """
        now = self.clock()
        for service in services:
            self._watch_versions(service, now)
            update = self._next_default(service, now)
            if update is not None and self._is_writer():
                await self._write_default(service, update)
        await self.records.maintain()

    def _is_writer(self) -> bool:
        return self.random.random() * self.view.vm_count() < EXPECTED_WRITERS

    def _watch_versions(self, service: str, now: float) -> None:
        versions = {entry.software_version for entry in self.view.entries(service)}
        default = self.defaults.get(service)
        if default is not None and versions and versions != {default.version}:
            self.mixed_at[service] = now

    def _only_version(self, service: str) -> str | None:
        """Returns the default if no other version has served for long."""
        now, life_s = self.clock(), self.view.stream_life_s()
        default = self.defaults.get(service)
        if default is None or not default.is_settled(now, life_s):
            return None
        self._watch_versions(service, now)
        watched_from = self.mixed_at.get(service, self.started_at)
        return default.version if now - watched_from >= life_s else None

    async def _read_version(self, service: str, call_id: str) -> str | None:
        recorded, rows = await asyncio.gather(
            self.records.find(call_id), self.table.read((_key(service),))
        )
        if recorded is not None:
            return recorded
        for row in filter(None, rows):
            self._apply_row(service, row)
        now, life_s = self.clock(), self.view.stream_life_s()
        changed_at = self.eras.changed_at
        if changed_at is not None and now - changed_at < life_s:
            return None
        default = self.defaults.get(service)
        if default is None or not default.is_settled(now, life_s):
            return None
        return default.version

    def _next_default(self, service: str, now: float) -> DefaultVersion | None:
        """Returns the default whose row has to be written, ``None`` if none has.

        It is a new one if the present one has no endpoints left, and the present one if
        the store has lost its row.
        """
        ready = tuple(self.view.ready(service))
        default = self.defaults.get(service)
        if self.view.directory_age_s() > MAX_DIRECTORY_AGE_S or not ready:
            return None
        if default is None:
            alone = len({e.software_version for e in self.view.entries(service)}) == 1
            version = most_common_version(ready)
            return DefaultVersion(version, now - LONG_AGO_S if alone else now)
        if all(entry.software_version != default.version for entry in ready):
            return DefaultVersion(most_common_version(ready), now)
        lost = self.row_versions.get(service, ABSENT) == ABSENT
        return default if lost else None

    async def _write_default(self, service: str, default: DefaultVersion) -> None:
        offset_s = self.time.offset_s()
        if offset_s is None:
            return
        key = _key(service)
        content = DefaultRow(default.version, default.since + offset_s)
        value = msgspec.json.encode(content)
        check = Check(key, self.row_versions.get(service, ABSENT))
        commit = await self.table.commit((check,), (Write(key, value),))
        self.row_versions[service] = ABSENT
        written = Row(key, commit.version, value)
        for row in (written,) if commit.committed else commit.rows:
            self._apply_row(service, row)

    def _apply_row(self, service: str, row: Row) -> None:
        content = decode_or_ignore(row, DefaultRow)
        if content is None:
            return
        offset_s = self.time.offset_s()
        now = self.clock()
        since = now if offset_s is None else min(now, content.since_s - offset_s)
        known = self.defaults.get(service)
        self.row_versions[service] = row.version
        self.defaults[service] = DefaultVersion(content.version, since)
        if known is None or known.version != content.version:
            log_event(
                Event.DEFAULT_VERSION_CHANGED, service=service, version=content.version
            )


def _key(service: str) -> str:
    return f"{FLEET_TABLE}//software/{service}"
