"""Simulates the store with network delays, a rate limit per part, and outages."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from verbenagrade.coordination.ports import (
    Check,
    CommitResult,
    PlatformStore,
    Row,
    Write,
)
from verbenagrade.exceptions import PlatformError

__all__ = ["SimulatedStore", "StoreCounts", "StoreParameters"]

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
    """Counts of operations, by result; ``refused`` counts responses with status 429."""

    def __init__(self) -> None:
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
        self.busy_until: dict[str, float] = defaultdict(float)
        self.counts = StoreCounts()

    def table(self, distance: float) -> PlatformStore:
        """Returns the store as seen from one VM.

        ``distance`` is the VM's network delay as a share of ``round_trip_s``, 0 to 1.
        """
        one_way_s = self.parameters.round_trip_s * distance / 2

        async def read(keys: tuple[str, ...]) -> tuple[Row | None, ...]:
            """Reads rows, with the network delay each way."""
            await self._delay(one_way_s)
            self.counts.reads += 1
            rows = tuple(self.rows.get(key) for key in keys)
            await self._delay(one_way_s)
            return rows

        async def scan(prefix: str) -> tuple[Row, ...]:
            """Reads the rows whose keys start with a prefix."""
            await self._delay(one_way_s)
            self.counts.reads += 1
            rows = tuple(r for k, r in self.rows.items() if k.startswith(prefix))
            await self._delay(one_way_s)
            return rows

        async def commit(
            checks: tuple[Check, ...], writes: tuple[Write, ...]
        ) -> CommitResult:
            """Runs a transaction after the network delay and the queue of its part."""
            await self._delay(one_way_s)
            await self._wait_in_queue(checks[0].key)
            result = self._apply(checks, writes)
            await self._delay(one_way_s)
            return result

        return PlatformStore(read, scan, commit, _load_unsupported, _feed_unsupported)

    async def _delay(self, one_way_s: float) -> None:
        if any(start <= self.clock() < end for start, end in self.parameters.outages):
            await asyncio.sleep(TIMEOUT_S)
            raise PlatformError("the store does not respond; retry later")
        await asyncio.sleep(one_way_s)

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
                return CommitResult(False, self.version, rows)
        self.counts.commits += 1
        self.version += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, self.version, write.value)
        return CommitResult(True, self.version)


async def _load_unsupported(_table: str) -> None:
    raise PlatformError("the simulated store has no tables to load")


async def _feed_unsupported(*_arguments: object) -> None:
    raise PlatformError("the simulated store has no change feed")
