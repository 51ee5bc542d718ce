"""Tests of a followed table behind a slow link, at virtual time."""

import asyncio
from dataclasses import dataclass

from verbenagrade.coordination.ports import Changes, PlatformStore, Row
from verbenagrade.coordination.table_feed import (
    MAX_BACKOFF_S,
    FollowedTable,
    TableFreshness,
    follow_table,
)
from verbenagrade.exceptions import PlatformError, ResponseDeclinedError
from verbenagrade.tests.virtual_time import VirtualTimeLoop

APPLY_BOUND_S = 4.0
STABLE_WINDOW_S = 5.0
"""A version has to be in force within the bound after its commit, or within the
window after the end of an outage if that is later, both in seconds."""

LINK_BYTES_PER_S = 580_000.0
"""What a link of 5 Mbit/s carries besides some other traffic."""

DOCUMENT = b"x" * 420_000
DOCUMENT_BYTES = 560_000
"""Size of the document in a response, which encodes it in base64."""

PAGE_BYTES = 1_000_000
TIMEOUT_S = 1.0
KEY = "op//config"


@dataclass(frozen=True, slots=True)
class Commit:
    """A version of the only row, and the time of its commit in seconds."""

    at: float
    version: int


class SlowLinkStore:
    """A store with one large row, behind a link that takes time to carry it.

    As the platform's store does, the feed returns each version in full, until a
    response exceeds ``PAGE_BYTES``. During ``outage`` no request gets a response.
    """

    def __init__(self, commits, outage=(0.0, 0.0)) -> None:
        self.commits = commits
        self.outage = outage

    def port(self) -> PlatformStore:
        return PlatformStore(None, None, None, self.load, self.follow)

    async def load(self, _table, accept):
        await self._reach()
        newest = [c for c in self.commits if c.at <= self.now()][-1]
        return await self._send([newest], newest.version, accept, complete=True)

    async def follow(self, _table, after, wait_s, accept):
        await self._reach()
        if not self._committed(after):
            pending = [c.at for c in self.commits if c.version > after]
            due_at = min([*pending, self.now() + wait_s])
            await asyncio.sleep(due_at - self.now())
        if self._is_out():
            await asyncio.sleep(TIMEOUT_S)
            raise PlatformError("no response")
        page, size = [], 0
        for commit in self._committed(after):
            if size >= PAGE_BYTES:
                break
            page.append(commit)
            size += DOCUMENT_BYTES
        version = page[-1].version if page else after
        return await self._send(page, version, accept, complete=False)

    async def _reach(self) -> None:
        if self._is_out():
            await asyncio.sleep(TIMEOUT_S)
            raise PlatformError("no response")
        await asyncio.sleep(0.04)

    async def _send(self, page, version, accept, complete):
        size = len(page) * DOCUMENT_BYTES
        if not accept(size):
            raise ResponseDeclinedError("declined")
        await asyncio.sleep(size / LINK_BYTES_PER_S)
        rows = tuple(Row(KEY, c.version, DOCUMENT) for c in page[-1:])
        return Changes(version, rows, (), complete, size, max(0, len(page) - 1))

    def _committed(self, after):
        return [c for c in self.commits if c.version > after and c.at <= self.now()]

    def _is_out(self) -> bool:
        start, end = self.outage
        return start <= self.now() < end

    def now(self) -> float:
        return asyncio.get_running_loop().time()


@dataclass(frozen=True, slots=True)
class Followed:
    """What a gateway did with a table: versions applied, and times of reconnection."""

    applied: list[Commit]
    reconnected_at: list[float]


def follow(store: SlowLinkStore, until: float, wait_s: float = 2.5) -> Followed:
    """Follows the table of a store up to a time in seconds."""
    loop = VirtualTimeLoop()
    result = Followed([], [])

    def apply(changes: Changes) -> None:
        result.applied.extend(Commit(loop.time(), row.version) for row in changes.rows)

    async def run() -> None:
        followed = FollowedTable(
            "op",
            wait_s,
            apply,
            lambda: result.reconnected_at.append(loop.time()),
            lambda _response: None,
        )
        task = asyncio.ensure_future(
            follow_table(
                store.port(),
                followed,
                TableFreshness(loop.time()),
                loop.time,
                seed=1,
                current_era=lambda: None,
            )
        )
        await asyncio.sleep(until)
        task.cancel()

    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
    return result


def late_versions(store: SlowLinkStore, until: float) -> list[int]:
    """Returns the versions that were not in force in time."""
    applied = follow(store, until).applied
    late = []
    for commit in store.commits:
        due = max(commit.at + APPLY_BOUND_S, store.outage[1] + STABLE_WINDOW_S)
        in_force = any(a.version >= commit.version and a.at <= due for a in applied)
        if due <= until and not in_force:
            late.append(commit.version)
    return late


# Guards against revoked keys that are still accepted seconds after an outage because
# the feed first replays every configuration that was superseded meanwhile.
def test_configuration_is_in_force_in_time_after_an_outage_with_many_changes():
    commits = [Commit(0.0, 1)]
    commits += [Commit(8.4 + 1.75 * n, 80 + n) for n in range(9)]
    store = SlowLinkStore(commits, outage=(6.0, 15.0))
    assert late_versions(store, until=40.0) == []


# Guards against a gateway that falls behind ever further because the feed sends each
# configuration although the next one supersedes it before it has arrived.
def test_configuration_is_in_force_in_time_if_changes_outpace_the_link():
    commits = [Commit(0.7 * n, n + 1) for n in range(40)]
    assert late_versions(SlowLinkStore(commits), until=40.0) == []


# Guards against a gateway that takes itself to be cut off for the whole of a long
# poll after the store has returned, and refuses unknown keys with 503 meanwhile.
def test_end_of_an_outage_is_noticed_although_nothing_has_changed():
    store = SlowLinkStore([Commit(0.0, 1)], outage=(6.0, 15.0))
    (reconnected_at,) = follow(store, until=40.0, wait_s=8.0).reconnected_at
    assert reconnected_at <= 15.0 + TIMEOUT_S + MAX_BACKOFF_S + 0.1


# Guards against a false "unknown route" while a slow read of the whole table is
# pending: unlike a pending feed, it does not show that nothing has changed.
def test_table_counts_as_stale_while_a_read_of_all_of_it_is_pending():
    freshness = TableFreshness(now=0.0)
    freshness.record_request(10.0, reading_table=True)
    assert freshness.staleness_s(12.0) == 12.0
    freshness.record_response_start(12.5)
    freshness.record_response()
    freshness.record_request(13.0, reading_table=False)
    assert freshness.staleness_s(14.0) == 0.0
