"""Keeps the default software version of each service the same on all VMs.

The row ``software/SERVICE`` of the fleet's table has the default version of a service.
It is replaced only when no endpoint of that version is left. A VM keeps the newest row
that it has seen, whichever way that came.
"""

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
from verbenagrade.events import Event, log_event
from verbenagrade.state.decoding import Seconds
from verbenagrade.state.directory import EndpointEntry
from verbenagrade.state.stream_versions import (
    MAX_ENDPOINTS_AGE_S,
    DefaultVersion,
    most_common_version,
)

__all__ = ["DefaultVersions", "ServiceView"]

LONG_AGO_S = 1e6
ABSENT = 0
"""Version of a row that does not exist."""

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


class DefaultVersions:
    """The default versions, as far as this VM knows them.

    ``known`` has the last default of each service that could be read, ``row_versions``
    the version of its row, and ``unreadable`` the services whose row can't be decoded.
    ``seen`` has all versions of a service's endpoints that this VM has seen while it
    knew no default. ``heard_at`` is when the feed of the table last brought a response,
    in seconds.
    """

    def __init__(
        self,
        table: PlatformStore,
        clock: Clock,
        time: StoreTime,
        view: ServiceView,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.clock = clock
        self.time = time
        self.view = view
        self.random = rng
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
            if service := _service(row.key):
                present.add(service)
                self._apply_row(service, row)
        for service in filter(None, map(_service, changes.removed)):
            self.row_versions[service] = ABSENT
        if changes.complete:
            for service in self.row_versions.keys() - present:
                self.row_versions[service] = ABSENT
        self.heard_at = self.clock()

    def enter_era(self) -> None:
        """Has the defaults written again after the store came back from a copy."""
        self.row_versions = dict.fromkeys(self.row_versions, ABSENT)

    async def read(self, service: str) -> DefaultVersion | None:
        """Returns the default that the store has now.

        It is ``None`` if there is no row, or one that can't be decoded. Raises
        ``PlatformError`` if the store does not respond.
        """
        (row,) = await self.table.read((_key(service),))
        if row is None:
            return None
        self._apply_row(service, row)
        return None if service in self.unreadable else self.known.get(service)

    async def maintain(self, service: str) -> None:
        """Writes the default of a service, if that is due.

        Raises ``PlatformError`` if the store does not respond.
        """
        self.watch(service)
        update = self._next_default(service, self.clock())
        if update is not None and self._is_writer():
            await self._write(service, update)

    def watch(self, service: str) -> None:
        """Takes notice of the versions of the known endpoints."""
        if service not in self.known:
            versions = {entry.software_version for entry in self.view.entries(service)}
            self.seen.setdefault(service, set()).update(versions)

    def _is_writer(self) -> bool:
        return self.random.random() * self.view.vm_count() < EXPECTED_WRITERS

    def _next_default(self, service: str, now: float) -> DefaultVersion | None:
        """Returns the default whose row has to be written, ``None`` if none has.

        It is a new one if the present one has no endpoints left, and the present one if
        the store has lost its row or the row can't be decoded.
        """
        ready = tuple(self.view.ready(service))
        default = self.known.get(service)
        if self.view.directory_age_s() > MAX_ENDPOINTS_AGE_S or not ready:
            return None
        if default is None:
            first = service not in self.unreadable and len(self.seen[service]) == 1
            version = most_common_version(ready)
            return DefaultVersion(version, now - LONG_AGO_S if first else now)
        if all(entry.software_version != default.version for entry in ready):
            return DefaultVersion(most_common_version(ready), now)
        lost = self.row_versions.get(service, ABSENT) == ABSENT
        return default if lost or service in self.unreadable else None

    async def _write(self, service: str, default: DefaultVersion) -> None:
        offset_s = self.time.offset_s()
        if offset_s is None:
            return
        key = _key(service)
        content = DefaultRow(default.version, default.since + offset_s)
        value = msgspec.json.encode(content)
        check = Check(key, self.row_versions.get(service, ABSENT))
        commit = await self.table.commit((check,), (Write(key, value),))
        written = Row(key, commit.version, value)
        rows = (written,) if commit.committed else commit.rows
        if not rows:
            self.row_versions[service] = ABSENT
        for row in rows:
            self._apply_row(service, row)

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
        since = self._since(content, known)
        self.known[service] = DefaultVersion(content.version, since)
        if known is None or known.version != content.version:
            log_event(
                Event.DEFAULT_VERSION_CHANGED, service=service, version=content.version
            )

    def _since(self, content: DefaultRow, known: DefaultVersion | None) -> float:
        """Returns since when a row's version is the default, on this VM's clock."""
        offset_s, now = self.time.offset_s(), self.clock()
        if offset_s is None:
            return now
        since = min(now, content.since_s - offset_s)
        if known is not None and known.version != content.version:
            # The clock of the VM that wrote the row may have gone behind.
            return max(since, self.heard_at)
        return since


def _key(service: str) -> str:
    return f"{FLEET_TABLE}//software/{service}"


def _service(key: str) -> str:
    """Returns the service whose default the row of a key has, empty if none."""
    kind, *names = split_key(key, FLEET_TABLE)
    return "/".join(names) if kind == "software" else ""
