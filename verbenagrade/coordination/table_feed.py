"""Keeps a local copy of a table up to date, also across outages of the store.

Only the newest state of a row counts. A feed, however, returns each state in
between, which takes long if rows are large and the link is slow. A response that
replays such states is therefore not read; the whole table is read instead.

Failed requests are retried with exponential backoff and random jitter.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace

from verbenagrade.coordination.ports import Changes, PlatformStore
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    EraChangedError,
    HistoryLostError,
    PlatformError,
    ResponseDeclinedError,
)
from verbenagrade.state.replay import ReplayDetector

__all__ = ["FollowedTable", "TableFreshness", "TableResponse", "follow_table"]

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.6
"""Bounds of the delay before a failed request is retried, in seconds. The maximum
is a quarter of the time within which a configuration has to be in force."""

RESTART_EVENTS = {
    EraChangedError: Event.HISTORY_LOST,
    HistoryLostError: Event.HISTORY_LOST,
    ResponseDeclinedError: Event.REPLAY_DECLINED,
}
"""Errors after which the whole table is read, and the events logged for them."""

NO_CHANGE_AFTER_S = 0.3
"""Time in seconds after which a pending request for changes shows that there are
none. It covers several round trips to the store in the farthest region."""


class TableFreshness:
    """Tracks how outdated the local copy of a table may be.

    A response shows the table as it was when the response began to arrive. On a
    slow link a large response takes seconds to arrive, and the table may change
    again in that time. All times are in seconds.
    """

    def __init__(self, now: float) -> None:
        self.current_at = now
        self.requested_at = now
        self.response_started_at: float | None = None
        self.unavailable = False
        self.reading_table = False

    def record_request(self, now: float, reading_table: bool) -> None:
        """Records that a request for changes, or for the whole table, is sent."""
        self.requested_at = now
        self.reading_table = reading_table
        self.response_started_at = None

    def record_response_start(self, now: float) -> None:
        """Records that a response begins to arrive, at the first of several calls."""
        if self.response_started_at is None:
            self.response_started_at = now

    def wait_s(self) -> float:
        """Returns the time from the request to the start of its response, in seconds.

        It is 0 if no response has begun.
        """
        if self.response_started_at is None:
            return 0.0
        return self.response_started_at - self.requested_at

    def transfer_s(self, now: float) -> float:
        """Returns how long the response has been arriving, in seconds."""
        if self.response_started_at is None:
            return 0.0
        return now - self.response_started_at

    def record_response(self) -> None:
        """Records that a response was read in full."""
        self.current_at = (
            self.requested_at
            if self.response_started_at is None
            else self.response_started_at
        )
        self.response_started_at = None
        self.reading_table = False

    def record_failure(self) -> None:
        """Records that the store did not respond."""
        self.unavailable = True
        self.response_started_at = None

    def staleness_s(self, now: float) -> float:
        """Returns for how many seconds a change may have been missed.

        The result is 0 while a request for changes is pending for longer than
        ``NO_CHANGE_AFTER_S``, because the store would have returned any change. A
        pending request for the whole table shows nothing of this kind.

        >>> freshness = TableFreshness(now=0.0)
        >>> freshness.record_response_start(1.0)
        >>> freshness.record_response()
        >>> freshness.record_request(4.0, reading_table=False)
        >>> freshness.staleness_s(4.25), freshness.staleness_s(4.5)
        (3.25, 0.0)
        """
        may_miss_changes = (
            self.unavailable
            or self.reading_table
            or self.response_started_at is not None
        )
        if may_miss_changes or now - self.requested_at < NO_CHANGE_AFTER_S:
            return now - self.current_at
        return 0.0


@dataclass(frozen=True, slots=True)
class TableResponse:
    """How a response with rows of a table was received.

    ``wait_s`` is the time from the request to the start of the response, and
    ``transfer_s`` the time until its end, both in seconds. ``superseded`` counts the
    rows that a later row of the same response replaces. ``complete`` is true if the
    whole table was read.
    """

    table: str
    version: int
    rows: int
    superseded: int
    received_bytes: int
    wait_s: float
    transfer_s: float
    complete: bool


@dataclass(frozen=True, slots=True)
class FollowedTable:
    """A table to follow, and the functions to call for its changes.

    ``wait_s`` is the longest time for which the store holds a request for changes
    open. ``apply`` is called with each set of changes. ``on_reconnect`` is called when
    the store responds again after an outage, before the changes since then are
    applied. ``on_received`` is called for each response that contains rows.
    """

    name: str
    wait_s: float
    apply: Callable[[Changes], None]
    on_reconnect: Callable[[], None]
    on_received: Callable[[TableResponse], None]


class TableReader:
    """Reads a table in full, and then its changes, from one position to the next.

    ``version`` is the one up to which the table was read, ``None`` if the whole table
    has to be read next, and ``era`` the era of the store at the last full read.
    ``current_era`` returns its present era, ``None`` if the store tells none.
    """

    def __init__(
        self,
        table: PlatformStore,
        followed: FollowedTable,
        freshness: TableFreshness,
        clock: Callable[[], float],
        current_era: Callable[[], int | None],
    ) -> None:
        self.table = table
        self.followed = followed
        self.freshness = freshness
        self.clock = clock
        self.current_era = current_era
        self.replays = ReplayDetector()
        self.version: int | None = None
        self.era: int | None = None

    async def next_changes(self) -> Changes:
        """Reads the table in full, or waits for changes since the position.

        Raises ``PlatformError`` if there is no response that can be used.
        """
        if self._is_outdated():
            self.version = None
        self.freshness.record_request(self.clock(), reading_table=self.version is None)
        changes = await self._request()
        self.version = changes.version
        self._record_size(changes)
        if not changes.complete:
            return changes
        restored = self._is_outdated()
        self.era = self.current_era()
        return replace(changes, restored=restored)

    async def _request(self) -> Changes:
        name = self.followed.name
        if self.version is None:
            return await self.table.load(name, self._accept_table)
        # A long poll that nothing ends would hide for its whole length that the
        # store responds again.
        wait_s = 0.0 if self.freshness.unavailable else self.followed.wait_s
        return await self.table.follow(name, self.version, wait_s, self._accept_changes)

    def _is_outdated(self) -> bool:
        """Returns whether the position is one of an earlier era."""
        return self.era not in (None, self.current_era())

    def _accept_table(self, _size_bytes: int) -> bool:
        """Records that a response begins to arrive."""
        self.freshness.record_response_start(self.clock())
        return True

    def _accept_changes(self, size_bytes: int) -> bool:
        """Records that a response begins to arrive; declines a replay."""
        self.freshness.record_response_start(self.clock())
        return not self.replays.is_replay(size_bytes, self.freshness.wait_s())

    def _record_size(self, changes: Changes) -> None:
        transfer_s = self.freshness.transfer_s(self.clock())
        row_bytes = {row.key: len(row.value) for row in changes.rows}
        if changes.complete:
            self.replays.record_table(row_bytes, transfer_s)
        elif row_bytes or changes.removed:
            self.replays.record_changes(row_bytes, changes.removed, transfer_s)


async def follow_table(
    table: PlatformStore,
    followed: FollowedTable,
    freshness: TableFreshness,
    clock: Callable[[], float],
    seed: int,
    current_era: Callable[[], int | None],
) -> None:
    """Applies all rows of a table and then every change to it, until cancelled.

    ``current_era`` returns the era of the store, ``None`` if it tells none. When it
    changes, the whole table is read again and its rows are marked as restored.
    """
    jitter = random.Random(seed)
    backoff_s = MIN_BACKOFF_S
    reader = TableReader(table, followed, freshness, clock, current_era)
    while True:
        try:
            changes = await reader.next_changes()
        except tuple(RESTART_EVENTS) as error:
            event = RESTART_EVENTS[type(error)]
            log_event(event, table=followed.name, reason=str(error))
            reader.version = None
            continue
        except PlatformError as error:
            _handle_failure(freshness, followed, error)
            await asyncio.sleep(backoff_s * jitter.uniform(0.5, 1.0))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            continue
        _handle_response(freshness, followed, changes, clock())
        backoff_s = MIN_BACKOFF_S
        followed.apply(changes)


def _handle_failure(
    freshness: TableFreshness, followed: FollowedTable, error: Exception
) -> None:
    was_unavailable = freshness.unavailable
    freshness.record_failure()
    if not was_unavailable:
        log_event(Event.PLATFORM_AWAY, table=followed.name, reason=str(error))


def _handle_response(
    freshness: TableFreshness, followed: FollowedTable, changes: Changes, now: float
) -> None:
    if changes.rows or changes.removed:
        _report_response(freshness, followed, changes, now)
    if changes.restored and not freshness.unavailable:
        followed.on_reconnect()
    if freshness.unavailable:
        freshness.unavailable = False
        followed.on_reconnect()
        log_event(
            Event.PLATFORM_BACK,
            table=followed.name,
            away_s=round(now - freshness.current_at, 3),
        )
    freshness.record_response()


def _report_response(
    freshness: TableFreshness, followed: FollowedTable, changes: Changes, now: float
) -> None:
    """Logs and counts a response, before ``freshness`` forgets when it began."""
    transfer_s = freshness.transfer_s(now)
    response = TableResponse(
        table=followed.name,
        version=changes.version,
        rows=len(changes.rows) + len(changes.removed),
        superseded=changes.superseded,
        received_bytes=changes.received_bytes,
        wait_s=round(freshness.wait_s(), 3),
        transfer_s=round(transfer_s, 3),
        complete=changes.complete,
    )
    log_event(Event.TABLE_RECEIVED, **asdict(response))
    followed.on_received(response)
