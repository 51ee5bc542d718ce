"""Tells since when the store is in its era, also to a process that starts later.

A store that comes back from an older copy has lost rows, so that for some time a row
that is absent proves nothing. A process that saw the era rise knows when that was. One
that starts afterwards sees nothing but the era, so the row ``store/era`` of the fleet's
table has the time at which the first VM saw it. Without that row, rows may have been
lost until the process itself saw the era.
"""

import random
from collections.abc import Callable

import msgspec

from verbenagrade.coordination.codec import decode_or_ignore
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
from verbenagrade.events import Event, log_event
from verbenagrade.state.decoding import Count, Seconds
from verbenagrade.state.stream_versions import RowLoss

__all__ = ["EraStart"]

ROW_KEY = f"{FLEET_TABLE}//store/era"
ABSENT = 0
"""Version of a row that does not exist."""

EXPECTED_WRITERS = 2.0
"""Expected number of VMs that write the row in each round."""


class EraRow(msgspec.Struct, frozen=True):
    """An era, and when it was first seen on the store's clock, in seconds."""

    era: Count
    since_s: Seconds


class EraStart:
    """The start of the store's present era, as far as this VM knows it.

    ``row`` is the last content of the row that could be read in this era, and
    ``row_version`` the version of the row.
    """

    def __init__(
        self,
        table: PlatformStore,
        eras: StoreEras,
        clock: Clock,
        time: StoreTime,
        vm_count: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self.table = table
        self.eras = eras
        self.clock = clock
        self.time = time
        self.vm_count = vm_count
        self.random = rng
        self.row: EraRow | None = None
        self.row_version = ABSENT

    def apply(self, changes: Changes) -> None:
        """Applies changes of the fleet's table."""
        if changes.restored:
            self.enter_era()
        rows = [row for row in changes.rows if row.key == ROW_KEY]
        for row in rows:
            self._apply_row(row)
        if ROW_KEY in changes.removed or (changes.complete and not rows):
            self.enter_era()

    def enter_era(self) -> None:
        """Forgets the row, which belongs to an earlier era or is gone."""
        self.row, self.row_version = None, ABSENT

    def loss(self) -> RowLoss:
        """Returns the last time at which the store may have lost rows."""
        if self.eras.current is None:
            return RowLoss(self.eras.number, None)
        at, offset_s = self.eras.since, self.time.offset_s()
        if self._is_row_of(self.eras.current) and offset_s is not None:
            at = min(at, self.row.since_s - offset_s)
        return RowLoss(self.eras.number, at)

    async def maintain(self) -> None:
        """Writes the row of a new era, unless another VM has written it.

        Raises ``PlatformError`` if the store does not respond.
        """
        era, offset_s = self.eras.current, self.time.offset_s()
        known = self.row is not None and era is not None and self.row.era >= era
        if era is None or offset_s is None or known or not self._is_writer():
            return
        value = msgspec.json.encode(EraRow(era, self.clock() + offset_s))
        check = Check(ROW_KEY, self.row_version)
        commit = await self.table.commit((check,), (Write(ROW_KEY, value),))
        written = Row(ROW_KEY, commit.version, value)
        rows = (written,) if commit.committed else commit.rows
        if not rows:
            self.enter_era()
        for row in rows:
            self._apply_row(row)

    def _is_row_of(self, era: int) -> bool:
        return self.row is not None and self.row.era == era

    def _is_writer(self) -> bool:
        return self.random.random() * self.vm_count() < EXPECTED_WRITERS

    def _apply_row(self, row: Row) -> None:
        """Takes a row over, unless it is older than one that is known."""
        if row.version <= self.row_version:
            return
        self.row_version = row.version
        self.row = decode_or_ignore(row, EraRow)
        if self.row is not None:
            log_event(Event.STORE_ERA_DATED, era=self.row.era, since_s=self.row.since_s)
