"""Shares the limits that endpoints name with all VMs, through the fleet's table.

A row ``limit/INCARNATION`` has the last known notice of an endpoint. A VM writes it if
a response has told it something else and newer. The end of a limit is written as well,
so that an older notice that arrives late can't bring the limit back; the row is removed
some time later.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from verbenagrade.coordination.codec import decode_or_ignore, log_ignored
from verbenagrade.coordination.crash_rows import split_key
from verbenagrade.coordination.gateway_fleet import FLEET_TABLE
from verbenagrade.coordination.permits import StoreTime, permit_key
from verbenagrade.coordination.ports import (
    Changes,
    Clock,
    PlatformStore,
    Row,
    Write,
)
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.decoding import Seconds
from verbenagrade.state.endpoint_limits import EndpointLimits, LimitNotice

__all__ = ["FleetView", "SharedLimits"]

ENDED_ROW_S = 60.0
"""Age at which rows of limits or endpoints that have ended are removed, in seconds. It
is longer than any response can be late."""

EXPECTED_REMOVERS = 2.0
"""Expected number of VMs that remove such a row in each round."""

SPREAD_PER_VM_S = 0.002
"""Largest delay of a notice, in seconds for each VM: many VMs hear of a limit at the
same time, and one of them is enough to write it."""

MAX_AHEAD_S = 60.0
"""Largest time by which the notice of another VM can be ahead of what this VM takes for
the store's time, in seconds: what both know of it can be outdated."""

MAX_ROWS_PER_COMMIT = 50

Rate = Annotated[float, msgspec.Meta(ge=0, le=1e11)]


class LimitRow(msgspec.Struct, frozen=True):
    """A notice: calls per second, ``None`` for no limit, and its time on the store's
    clock, in seconds.
    """

    limit_per_s: Rate | None
    at_s: Seconds


@dataclass(frozen=True, slots=True)
class FleetView:
    """What the rows depend on: the number of VMs, and which incarnations are there."""

    vm_count: Callable[[], int]
    is_present: Callable[[str], bool]


class SharedLimits:
    """The notices that this VM and the others know; ``rows`` are those in the table."""

    def __init__(
        self,
        table: PlatformStore,
        limits: EndpointLimits,
        clock: Clock,
        time: StoreTime,
        rng: random.Random,
        view: FleetView,
    ) -> None:
        self.table = table
        self.limits = limits
        self.clock = clock
        self.time = time
        self.random = rng
        self.view = view
        self.rows: dict[str, LimitRow] = {}

    def apply(self, changes: Changes) -> None:
        """Applies changes of the fleet's table.

        ``time`` must have learned the store's time from them before.
        """
        if changes.complete:
            self.rows.clear()
        for key in changes.removed:
            self.rows.pop(_incarnation(key), None)
        for row in changes.rows:
            incarnation = _incarnation(row.key)
            if incarnation:
                self._apply_row(incarnation, row)

    async def publish(self) -> None:
        """Writes a notice that has just arrived, unless another VM is faster.

        If the store does not respond, the failure is logged, and ``write`` tries again.
        """
        spread_s = SPREAD_PER_VM_S * self.view.vm_count()
        await asyncio.sleep(self.random.uniform(0.0, spread_s))
        try:
            await self.write()
        except PlatformError as error:
            log_event(Event.PLATFORM_AWAY, table=FLEET_TABLE, reason=str(error))

    async def write(self) -> None:
        """Writes what the table does not have, and removes rows that have ended.

        Raises ``PlatformError`` if the store does not respond.
        """
        offset_s = self.time.offset_s()
        if offset_s is None:
            return
        newer = {
            incarnation: LimitRow(notice.limit_per_s, notice.at + offset_s)
            for incarnation, notice in self.limits.notices.items()
            if self._is_news(incarnation, notice, offset_s)
        }
        self._drop_gone(self.clock())
        await self._write_rows(newer)
        await self._remove_ended(self.clock() + offset_s)

    def _is_news(self, incarnation: str, notice: LimitNotice, offset_s: float) -> bool:
        row = self.rows.get(incarnation)
        if not self.view.is_present(incarnation):
            return False
        if row is None:
            return notice.limit_per_s is not None
        newer = notice.at + offset_s > row.at_s
        return newer and notice.limit_per_s != row.limit_per_s

    def _drop_gone(self, now: float) -> None:
        """Forgets the notices of endpoints that have ended."""
        self.limits.drop(
            tuple(
                incarnation
                for incarnation, notice in self.limits.notices.items()
                if now - notice.at >= ENDED_ROW_S
                and not self.view.is_present(incarnation)
            )
        )

    async def _write_rows(self, rows: dict[str, LimitRow]) -> None:
        incarnations = tuple(rows)
        for start in range(0, len(incarnations), MAX_ROWS_PER_COMMIT):
            chunk = incarnations[start : start + MAX_ROWS_PER_COMMIT]
            writes = (Write(_key(i), msgspec.json.encode(rows[i])) for i in chunk)
            commit = await self.table.commit((), tuple(writes))
            self.time.learn(commit.store_time_s)
            for incarnation in chunk:
                self.rows[incarnation] = rows[incarnation]

    async def _remove_ended(self, store_now: float) -> None:
        for incarnation, row in tuple(self.rows.items()):
            ended = row.limit_per_s is None or not self.view.is_present(incarnation)
            if not ended or store_now - row.at_s < ENDED_ROW_S:
                continue
            self.limits.drop((incarnation,))
            if self.random.random() * self.view.vm_count() < EXPECTED_REMOVERS:
                await self.table.commit((), (Write(_key(incarnation), None),))
                await self.table.commit((), (Write(permit_key(incarnation), None),))
                self.rows.pop(incarnation, None)

    def _apply_row(self, incarnation: str, row: Row) -> None:
        now, offset_s = self.clock(), self.time.offset_s()
        content = decode_or_ignore(row, LimitRow)
        if content is None:
            self.rows.pop(incarnation, None)
            return
        if offset_s is not None and content.at_s > now + offset_s + MAX_AHEAD_S:
            log_ignored(row.key, "its time is in the future")
            self.rows.pop(incarnation, None)
            return
        self.rows[incarnation] = content
        at = now if offset_s is None else min(now, content.at_s - offset_s)
        if not self.view.is_present(incarnation) and content.limit_per_s is None:
            return
        if self.limits.learn(incarnation, LimitNotice(content.limit_per_s, at)):
            log_event(
                Event.ENDPOINT_LIMITED,
                endpoint=incarnation,
                limit_per_s=content.limit_per_s,
                learned_after_s=round(now - at, 3),
            )


def _key(incarnation: str) -> str:
    return f"{FLEET_TABLE}//limit/{incarnation}"


def _incarnation(key: str) -> str:
    """Returns the endpoint incarnation of a row, empty if it is of another kind."""
    kind, *names = split_key(key, FLEET_TABLE)
    return "/".join(names) if kind == "limit" else ""
