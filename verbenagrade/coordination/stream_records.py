"""Records in the store the software versions at which streams began.

The table ``streams`` has a row ``CALL/NUMBER`` for each attempt of a call that may have
brought the first event of a stream; the one with the highest number counts. An attempt
has a row of its own, so that a transaction of an earlier one that is committed late
changes nothing. Rows of one partition that are waiting are written together.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import xxhash

from verbenagrade.coordination.codec import log_ignored
from verbenagrade.coordination.permits import StoreTime
from verbenagrade.coordination.ports import Clock, PlatformStore, Row, Write
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError, UndecodableError, UnreadableRowError
from verbenagrade.state.decoding import Count, Seconds, decode_json
from verbenagrade.state.stream_versions import StreamRecord

__all__ = ["STREAM_TABLE", "StreamRecords", "partition_of"]

STREAM_TABLE = "streams"
PARTS = 16
"""Number of partitions, which are written independently of each other."""

MAX_ROWS_PER_COMMIT = 50
WRITE_TIMEOUT_S = 0.3
"""Timeout of a transaction, in seconds: some round trips to the store between regions.
Writing a record once more does no harm."""

RETRY_S = 0.1
ROW_LIFE_S = 90.0
ROW_LIFE_FACTOR = 2.0
"""Age in seconds at which rows are removed, or if that is longer, a multiple of the
longest time in which callers take streams up, as a VM with an older configuration may
know a shorter one."""

SWEEP_INTERVAL_S = 30.0
"""Time in seconds in which some VM looks through each partition for old rows. They are
removed together, which takes far fewer transactions than writing them."""

MAX_CALL_ID_LENGTH = 100


class StreamRow(msgspec.Struct, frozen=True):
    """A version, and the time of the record on the store's clock, in seconds.

    ``era`` is that of the store in which it was written; earlier builds leave it out.
    """

    version: str
    at_s: Seconds
    era: Count | None = None


@dataclass(frozen=True, slots=True)
class PendingRow:
    """A row that waits to be written, and what is done once it is."""

    key: str
    value: bytes
    written: asyncio.Future[None]


class StreamRecords:
    """Writes, finds and removes records.

    ``away`` is true from a failed transaction until the next call that succeeds.
    ``pending`` and ``writing`` have the rows that wait, and the partitions that are
    written. ``unreadable`` has the keys of rows that can't be decoded, and since when
    this VM knows each, in seconds.
    """

    def __init__(
        self,
        table: PlatformStore,
        clock: Clock,
        time: StoreTime,
        eras: StoreEras,
        rng: random.Random,
        vm_count: Callable[[], int],
    ) -> None:
        self.table = table
        self.clock = clock
        self.time = time
        self.eras = eras
        self.random = rng
        self.vm_count = vm_count
        self.away = False
        self.pending: dict[int, list[PendingRow]] = {}
        self.writing: dict[int, asyncio.Task[None]] = {}
        self.unreadable: dict[str, float] = {}

    async def record(self, call_id: str, number: int, version: str) -> int:
        """Records the version of a call's attempt; returns once that is certain.

        The result is the era in which the store took the record.
        """
        while True:
            try:
                return await self.write(call_id, number, version)
            except PlatformError:
                await asyncio.sleep(RETRY_S)

    async def write(self, call_id: str, number: int, version: str) -> int:
        """Tries once to record a version; returns the era of the record.

        Rows of one partition that are written at the same time share a transaction.
        Raises ``PlatformError`` if the store does not respond.
        """
        era = self.eras.number
        key = f"{_prefix(call_id)}{number:03}"
        try:
            await self._write(key, partition_of(call_id), version, era)
        except PlatformError:
            self.away = True
            raise
        self.away = False
        return era

    async def find(self, call_id: str) -> StreamRecord | None:
        """Returns what is recorded for a stream, ``None`` if nothing is.

        Raises ``UnreadableRowError`` if the row that counts can't be decoded, and
        another ``PlatformError`` if the store does not respond.
        """
        rows = await self.table.scan(_prefix(call_id))
        if not rows:
            return None
        row = _decode(rows[-1])
        return StreamRecord(row.version, _number(rows[-1].key), row.era)

    async def maintain(self, stream_life_s: float) -> None:
        """Removes old rows.

        ``stream_life_s`` is the longest time in which callers take streams up. Raises
        ``PlatformError`` if the store does not respond.
        """
        sweeps = PARTS / (SWEEP_INTERVAL_S * max(1, self.vm_count()))
        if self.away or self.random.random() < sweeps:
            part = self.random.randrange(PARTS)
            await self._sweep(part, max(ROW_LIFE_S, ROW_LIFE_FACTOR * stream_life_s))
            self.away = False

    async def _write(self, key: str, part: int, version: str, era: int) -> None:
        offset_s = self.time.offset_s()
        if offset_s is None:
            # Other VMs would take the row for an old one and remove it.
            raise PlatformError("the store's time is not known yet; retry")
        at_s = self.clock() + offset_s
        value = msgspec.json.encode(StreamRow(version, at_s, era))
        written = asyncio.get_running_loop().create_future()
        self.pending.setdefault(part, []).append(PendingRow(key, value, written))
        if part not in self.writing:
            self.writing[part] = asyncio.create_task(self._write_part(part))
        await written

    async def _write_part(self, part: int) -> None:
        """Writes the rows of a partition until none is waiting."""
        try:
            while rows := self.pending.pop(part, []):
                if len(rows) > MAX_ROWS_PER_COMMIT:
                    self.pending[part] = rows[MAX_ROWS_PER_COMMIT:]
                await self._commit(rows[:MAX_ROWS_PER_COMMIT])
        finally:
            self.writing.pop(part, None)

    async def _commit(self, rows: list[PendingRow]) -> None:
        """Writes rows together and passes the outcome on to those who wait."""
        writes = tuple(Write(row.key, row.value) for row in rows)
        failure: PlatformError | None = None
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                commit = await self.table.commit((), writes)
            self.time.learn(commit.store_time_s)
        except TimeoutError:
            failure = PlatformError(
                "no response in time; retry when the store responds"
            )
        except PlatformError as error:
            failure = error
        if failure is not None and not self.away:
            log_event(Event.PLATFORM_AWAY, table=STREAM_TABLE, reason=str(failure))
        for row in rows:
            if row.written.done():
                continue
            if failure is None:
                row.written.set_result(None)
            else:
                row.written.set_exception(failure)

    async def _sweep(self, part: int, row_life_s: float) -> None:
        """Removes the old rows of a partition, whichever VM has written them."""
        offset_s = self.time.offset_s()
        if offset_s is None:
            return
        prefix = f"{STREAM_TABLE}/{part}/"
        rows = await self.table.scan(prefix)
        now = self.clock()
        old = [row.key for row in rows if self._age_s(row, now, offset_s) >= row_life_s]
        await self._remove(old)
        present = {row.key for row in rows}.difference(old)
        for key in [key for key in self.unreadable if key.startswith(prefix)]:
            if key not in present:
                del self.unreadable[key]

    def _age_s(self, row: Row, now: float, offset_s: float) -> float:
        """Returns the age of a row, or if it can't be decoded, since it was seen."""
        try:
            return now + offset_s - _decode(row).at_s
        except UnreadableRowError as error:
            if row.key not in self.unreadable:
                log_ignored(row.key, str(error))
            return now - self.unreadable.setdefault(row.key, now)

    async def _remove(self, keys: list[str]) -> None:
        for start in range(0, len(keys), MAX_ROWS_PER_COMMIT):
            chunk = keys[start : start + MAX_ROWS_PER_COMMIT]
            await self.table.commit((), tuple(Write(key, None) for key in chunk))


def partition_of(call_id: str) -> int:
    """Returns the number of the partition that has the rows of a call."""
    return xxhash.xxh3_64_intdigest(call_id.encode()) % PARTS


def _prefix(call_id: str) -> str:
    """Returns the start of the keys of a call's rows.

    An id that does not fit into a key is replaced by its hash.
    """
    name = call_id
    if not call_id.isalnum() or len(call_id) > MAX_CALL_ID_LENGTH:
        name = xxhash.xxh3_128_hexdigest(call_id.encode())
    return f"{STREAM_TABLE}/{partition_of(call_id)}/{name}/"


def _number(key: str) -> int:
    """Returns the number of the attempt that a row is about, 0 if its key has none."""
    text = key.rpartition("/")[2]
    return int(text) if text.isascii() and text.isdigit() else 0


def _decode(row: Row) -> StreamRow:
    """Raises ``UnreadableRowError`` if the row can't be decoded."""
    try:
        return decode_json(row.value, StreamRow)
    except UndecodableError as error:
        raise UnreadableRowError(
            f"{row.key}: {error}; the row is removed when it is old"
        ) from error
