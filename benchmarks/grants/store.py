"""Simulates the store with network delays, a rate limit per part, and outages.

After an outage it can come back from an older copy, in which case its era rises.
"""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from typing import TypeVar

from verbenagrade.coordination.ports import (
    Check,
    CommitResult,
    EraMark,
    PlatformStore,
    Row,
    Write,
)
from verbenagrade.coordination.store_eras import StoreEras, guard_eras
from verbenagrade.exceptions import PlatformError

__all__ = ["SimulatedStore", "StoreCounts", "StoreParameters"]

Result = TypeVar("Result")

TIMEOUT_S = 1.0
"""Time after which a gateway's call fails, in seconds, as in its settings."""

MAX_QUEUE_S = 1.0
"""Queueing time of a part, in seconds, above which it refuses transactions."""


@dataclass(frozen=True, slots=True)
class StoreParameters:
    """Delays and outages of the store, in seconds.

    ``round_trip_s`` is the network delay of the most distant VM, ``transaction_s`` the
    time that a transaction occupies its part. ``outages`` are (start, end) intervals
    in which no VM reaches the store.
    """

    round_trip_s: float = 0.04
    transaction_s: float = 0.005
    outages: tuple[tuple[float, float], ...] = ()


class StoreCounts:
    """Counts of operations, by result; ``refused`` counts responses with status 429.

    ``per_second`` counts all reads and transactions of each second.
    """

    def __init__(self) -> None:
        self.per_second: Counter[int] = Counter()
        self.reads = 0
        self.commits = 0
        self.conflicts = 0
        self.refused = 0


class SimulatedStore:
    """Stores versioned rows in memory and checks the conditions of transactions."""

    def __init__(self, parameters: StoreParameters, clock: Callable[[], float]) -> None:
        self.parameters = parameters
        self.clock = clock
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.era = 1
        self.copy: tuple[dict[str, Row], int] = ({}, 0)
        self.busy_until: dict[str, float] = defaultdict(float)
        self.counts = StoreCounts()

    def take_copy(self) -> None:
        """Keeps a copy of the present rows."""
        self.copy = (dict(self.rows), self.version)

    def restore_copy(self) -> None:
        """Goes back to the copy, with a new era; versions are given out again."""
        self.rows, self.version = dict(self.copy[0]), self.copy[1]
        self.era += 1

    def tell_era(self, eras: StoreEras) -> None:
        """Tells a VM the present era, as a response of the tables that it follows does.

        Nothing happens in an outage, and the response is not counted.
        """
        if not self._is_unavailable():
            eras.observe(EraMark(self.era, str(self.era)), eras.current)

    def table(
        self,
        distance: float,
        eras: StoreEras,
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> PlatformStore:
        """Returns the store as seen from one VM, whose ``eras`` learn from responses.

        ``distance`` is the VM's network delay as a share of ``round_trip_s``, 0 to 1.
        ``is_cut_off`` tells whether the VM does not reach the store.
        """
        one_way_s = self.parameters.round_trip_s * distance / 2

        async def exchange(action: Callable[[], Awaitable[Result]]) -> Result:
            """Performs an action with the network delay each way."""
            requested_in = eras.current
            await self._delay(one_way_s, is_cut_off())
            result, era = await action(), self.era
            await self._delay(one_way_s, is_cut_off())
            eras.observe(EraMark(era, str(era)), requested_in)
            return result

        store = PlatformStore(
            lambda keys: exchange(partial(self._read, keys)),
            lambda prefix: exchange(partial(self._scan, prefix)),
            lambda checks, writes: exchange(partial(self._commit, checks, writes)),
            _load_unsupported,
            _feed_unsupported,
        )
        return guard_eras(store, eras)

    async def _read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        self._count_read()
        return tuple(self.rows.get(key) for key in keys)

    async def _scan(self, prefix: str) -> tuple[Row, ...]:
        self._count_read()
        return tuple(row for key, row in self.rows.items() if key.startswith(prefix))

    async def _commit(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> CommitResult:
        await self._wait_in_queue(checks[0].key)
        self.counts.per_second[int(self.clock())] += 1
        return self._apply(checks, writes)

    def _count_read(self) -> None:
        self.counts.reads += 1
        self.counts.per_second[int(self.clock())] += 1

    async def _delay(self, one_way_s: float, is_cut_off: bool) -> None:
        if is_cut_off or self._is_unavailable():
            await asyncio.sleep(TIMEOUT_S)
            raise PlatformError("the store does not respond; retry later")
        await asyncio.sleep(one_way_s)

    def _is_unavailable(self) -> bool:
        now = self.clock()
        return any(start <= now < end for start, end in self.parameters.outages)

    async def _wait_in_queue(self, key: str) -> None:
        part = key.split("/")[1]
        now = self.clock()
        start = max(now, self.busy_until[part])
        if start - now > MAX_QUEUE_S:
            self.counts.refused += 1
            raise PlatformError("429: too many transactions; retry later")
        self.busy_until[part] = start + self.parameters.transaction_s
        await asyncio.sleep(self.busy_until[part] - now)

    def _apply(
        self, checks: tuple[Check, ...], writes: tuple[Write, ...]
    ) -> CommitResult:
        current = {check.key: self.rows.get(check.key) for check in checks}
        for check in checks:
            row = current[check.key]
            if (row.version if row else 0) != check.version:
                self.counts.conflicts += 1
                rows = tuple(row for row in current.values() if row)
                return CommitResult(False, self.version, rows, self.clock())
        self.counts.commits += 1
        self.version += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, self.version, write.value)
        return CommitResult(True, self.version, (), self.clock())


async def _load_unsupported(_table: str) -> None:
    raise PlatformError("the simulated store has no tables to load")


async def _feed_unsupported(*_arguments: object) -> None:
    raise PlatformError("the simulated store has no change feed")
