"""Keeps the default software version of each service the same on all VMs.

The row ``software/SERVICE`` of the fleet's table has the default version of a service.
It is replaced only when no endpoint of that version is left; entries that may have
lapsed and come back are no proof of that. A VM keeps the newest row that it has seen,
whichever way that came. The row also tells since when all VMs know the default; one of
them adds that once the others have confirmed it.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from verbenagrade.coordination.codec import decode_or_ignore
from verbenagrade.coordination.default_confirmations import DefaultConfirmations
from verbenagrade.coordination.default_rows import (
    DefaultRow,
    DefaultUpdate,
    LocalTimes,
    decode_default,
    default_key,
    encode_default,
    service_of,
)
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
from verbenagrade.events import Event, log_event
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.stream_versions import (
    MAX_ENDPOINTS_AGE_S,
    DefaultVersion,
    HeardDefaults,
    most_common_version,
)
from verbenagrade.state.version_absences import Absence, next_absence

__all__ = ["DefaultVersions", "ServiceView"]

LONG_AGO_S = 1e6
ABSENT = 0
"""Version of a row that does not exist."""

EXPECTED_WRITERS = 2.0
"""Expected number of VMs that write the row of a default in each round."""

MAX_CONFIRMATION_WAIT_S = 600.0
"""Time in seconds for which a default waits for VMs that don't confirm it. It covers
data centres that are cut off for minutes; a VM that is silent for longer is taken for
lost."""

UNCONFIRMED_LOGGED_S = 5.0
"""Time in seconds after which it is logged which VMs a default waits for."""

MAX_LOGGED_VMS = 10


@dataclass(frozen=True, slots=True)
class ServiceView:
    """What versions depend on.

    ``entries`` returns the known endpoints of a service, ``ready`` those that take new
    calls, and ``stream_life_s`` the longest time in which callers take streams up, in
    seconds. ``directory_age_s`` tells how outdated the endpoints may be, and
    ``store_returned_at`` when the store last responded again, in seconds.
    """

    entries: Callable[[str], Iterable[EndpointEntry]]
    ready: Callable[[str], Iterable[EndpointEntry]]
    stream_life_s: Callable[[], float]
    directory_age_s: Callable[[], float]
    vm_count: Callable[[], int]
    store_returned_at: Callable[[], float]


class DefaultVersions:
    """The default versions, as far as this VM knows them.

    ``known`` has the last default of each service that could be read, ``row_versions``
    the version of its row, and ``unreadable`` the services whose row can't be decoded.
    ``seen`` has all versions of a service's endpoints that this VM has seen while it
    knew no default. ``heard_at`` is when the feed of the table last brought a response,
    in seconds. ``before_loss`` has the defaults known when the store came back from an
    older copy, and ``logged_rows`` the versions of the rows that were logged as not
    confirmed. ``absences`` has the defaults of which no endpoint is listed now.
    """

    def __init__(
        self,
        table: PlatformStore,
        clock: Clock,
        time: StoreTime,
        eras: StoreEras,
        view: ServiceView,
        vm: str,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.clock = clock
        self.time = time
        self.eras = eras
        self.view = view
        self.random = rng
        self.confirmations = DefaultConfirmations(vm, eras, rng)
        self.before_loss: dict[str, DefaultVersion] = {}
        self.logged_rows: dict[str, int] = {}
        self.absences: dict[str, Absence] = {}
        self.known: dict[str, DefaultVersion] = {}
        self.row_versions: dict[str, int] = {}
        self.unreadable: set[str] = set()
        self.seen: dict[str, set[str]] = {}
        self.heard_at = float("-inf")

    def apply(self, changes: Changes) -> None:
        """Applies changes of the fleet's table.

        ``time`` must have learned the store's time from them before.
        """
        if changes.restored:
            self.enter_era()
        present: set[str] = set()
        for row in changes.rows:
            if service := service_of(row.key):
                present.add(service)
                self._apply_row(service, row)
        for service in filter(None, map(service_of, changes.removed)):
            self.row_versions[service] = ABSENT
        if changes.complete:
            for service in self.row_versions.keys() - present:
                self.row_versions[service] = ABSENT
        self.confirmations.apply(changes)
        self.heard_at = self.clock()

    def enter_era(self) -> None:
        """Has the defaults written again after the store came back from a copy."""
        self.row_versions = dict.fromkeys(self.row_versions, ABSENT)
        self.before_loss.update(self.known)

    def to_tell(self) -> HeardDefaults:
        """Returns what the row of this VM has to tell of the defaults."""
        unconfirmed = (
            self.row_versions.get(service, ABSENT)
            for service, default in self.known.items()
            if default.confirmed_at is None
        )
        newest = max(unconfirmed, default=ABSENT)
        return self.confirmations.to_tell(newest, self.view.vm_count(), self.clock())

    async def read(self, service: str) -> DefaultVersion | None:
        """Returns the default that the store has now.

        It is ``None`` if there is no row, or one that can't be decoded. Raises
        ``PlatformError`` if the store does not respond.
        """
        (row,) = await self.table.read((default_key(service),))
        if row is None:
            return None
        self._apply_row(service, row)
        return None if service in self.unreadable else self.known.get(service)

    async def maintain(self, service: str) -> None:
        """Writes the default of a service, if that is due.

        Raises ``PlatformError`` if the store does not respond.
        """
        self.watch(service)
        self.look(service)
        update = self._next_update(service, self.clock())
        if update is not None and self._is_writer():
            await self._write(service, update)

    def watch(self, service: str) -> None:
        """Takes notice of the versions of the known endpoints."""
        if service not in self.known:
            versions = {entry.software_version for entry in self.view.entries(service)}
            self.seen.setdefault(service, set()).update(versions)

    def look(self, service: str) -> None:
        """Takes notice of whether endpoints of the default are listed.

        Has to be called more often than each ``MAX_LOOK_INTERVAL_S``.
        """
        default, now = self.known.get(service), self.clock()
        listed = {entry.software_version for entry in self.view.ready(service)}
        in_touch = self.view.directory_age_s() <= MAX_ENDPOINTS_AGE_S
        if default is None or not listed or default.version in listed or not in_touch:
            self.absences.pop(service, None)
            return
        previous = self.absences.get(service)
        returned_at = self.view.store_returned_at()
        self.absences[service] = next_absence(previous, returned_at, now)
        if previous is None:
            log_event(
                Event.DEFAULT_VERSION_KEPT,
                service=service,
                version=default.version,
                listed=sorted(listed),
                endpoints_age_s=round(self.view.directory_age_s(), 3),
                store_back_for_s=_age_s(returned_at, now),
            )

    def _is_writer(self) -> bool:
        return self.random.random() * self.view.vm_count() < EXPECTED_WRITERS

    def _next_update(self, service: str, now: float) -> DefaultUpdate | None:
        """Returns the default whose row has to be written, ``None`` if none has.

        It is a new one if the present one has no endpoints left, and the present one if
        the store has lost its row, the row can't be decoded or all VMs know it now.
        """
        ready = tuple(self.view.ready(service))
        default = self.known.get(service)
        if self.view.directory_age_s() > MAX_ENDPOINTS_AGE_S or not ready:
            return None
        if default is None:
            return self._first(service, most_common_version(ready), now)
        absence = self.absences.get(service)
        if absence is not None and absence.proves_gone:
            replacement = DefaultVersion(most_common_version(ready), now, None)
            return DefaultUpdate(replacement, "no endpoint of the previous one is left")
        if service in self.unreadable:
            return DefaultUpdate(default, "its row could not be read")
        if self.row_versions.get(service, ABSENT) == ABSENT:
            return DefaultUpdate(default, "its row was lost")
        if self._follows_a_lost_one(service, default):
            unconfirmed = replace(default, since=now, confirmed_at=None)
            return DefaultUpdate(unconfirmed, "the store has lost another default")
        if default.confirmed_at is None:
            return self._confirmed(service, default, now)
        return None

    def _first(self, service: str, version: str, now: float) -> DefaultUpdate:
        """Returns the first default; it may hold for streams from before."""
        if service not in self.unreadable and len(self.seen[service]) == 1:
            since = now - LONG_AGO_S
            default = DefaultVersion(version, since, confirmed_at=since)
            return DefaultUpdate(default, "the only version so far")
        return DefaultUpdate(DefaultVersion(version, now, None), "the first default")

    def _follows_a_lost_one(self, service: str, default: DefaultVersion) -> bool:
        """Returns whether VMs may know another default that the store has lost."""
        before = self.before_loss.get(service)
        confirmed_at = default.confirmed_at
        if before is None or confirmed_at is None or confirmed_at >= self.eras.since:
            return False
        return before.version != default.version or before.confirmed_at is None

    def _confirmed(
        self, service: str, default: DefaultVersion, now: float
    ) -> DefaultUpdate | None:
        """Returns a default as one that all VMs know, ``None`` if some may not."""
        missing = self.confirmations.missing(self.row_versions[service])
        waited_s = now - default.since
        if missing and waited_s < MAX_CONFIRMATION_WAIT_S:
            self._log_unconfirmed(service, default, missing, waited_s)
            return None
        reason = "VMs are silent for too long" if missing else "all VMs know it"
        return DefaultUpdate(replace(default, confirmed_at=now), reason)

    def _log_unconfirmed(
        self,
        service: str,
        default: DefaultVersion,
        missing: tuple[str, ...],
        waited_s: float,
    ) -> None:
        """Logs which VMs a default waits for, once for each row of it."""
        row_version = self.row_versions[service]
        logged = self.logged_rows.get(service) == row_version
        if logged or waited_s < UNCONFIRMED_LOGGED_S:
            return
        self.logged_rows[service] = row_version
        log_event(
            Event.DEFAULT_UNCONFIRMED,
            service=service,
            version=default.version,
            vms=missing[:MAX_LOGGED_VMS],
            vm_count=len(missing),
            waited_s=round(waited_s, 3),
        )

    async def _write(self, service: str, update: DefaultUpdate) -> None:
        offset_s, default = self.time.offset_s(), update.default
        if offset_s is None:
            return
        key, value = default_key(service), encode_default(default, offset_s)
        check = Check(key, self.row_versions.get(service, ABSENT))
        previous = self.known.get(service)
        commit = await self.table.commit((check,), (Write(key, value),))
        written = Row(key, commit.version, value)
        rows = (written,) if commit.committed else commit.rows
        if not rows:
            self.row_versions[service] = ABSENT
        if commit.committed:
            self._log_written(service, update, previous)
        for row in rows:
            self._apply_row(service, row)

    def _log_written(
        self, service: str, update: DefaultUpdate, previous: DefaultVersion | None
    ) -> None:
        """Logs why this VM wrote a default, and the age of what it decided by."""
        absence = self.absences.get(service)
        log_event(
            Event.DEFAULT_VERSION_WRITTEN,
            service=service,
            version=update.default.version,
            previous=previous.version if previous is not None else None,
            reason=update.reason,
            waited_s=round(self.clock() - update.default.since, 3),
            absent_s=round(absence.lasted_s, 3) if absence is not None else None,
            endpoints_age_s=round(self.view.directory_age_s(), 3),
            defaults_age_s=_age_s(self.heard_at, self.clock()),
        )

    def _apply_row(self, service: str, row: Row) -> None:
        """Takes a row over, unless it is older than one that is known."""
        if row.version <= self.row_versions.get(service, ABSENT):
            return
        self.row_versions[service] = row.version
        content = decode_or_ignore(row, DefaultRow)
        if content is None:
            self.unreadable.add(service)
            return
        self.unreadable.discard(service)
        known = self.known.get(service)
        times = LocalTimes(self.clock(), self.time.offset_s(), self.heard_at)
        default = self.known[service] = decode_default(content, known, times)
        if known is None or known.version != default.version:
            self.absences.pop(service, None)
            log_event(
                Event.DEFAULT_VERSION_CHANGED,
                service=service,
                version=default.version,
                previous=known.version if known is not None else None,
                unheard_s=_age_s(times.heard_at, times.now),
                confirmed=default.confirmed_at is not None,
            )


def _age_s(at: float, now: float) -> float | None:
    """Returns for a log line how long ago something was, ``None`` if it never was."""
    return round(now - at, 3) if at > float("-inf") else None
