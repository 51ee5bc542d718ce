"""Reports what this VM spends, and learns what its earlier processes can have spent.

Each VM has a row in the table ``spending`` for each era of the store. A new process
takes over the row of the one before, which it bounds, and only then reports itself.
Every transaction checks the version of the row, so that a report of an earlier process
can't be committed any more.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec

from verbenagrade.coordination.ports import (
    Check,
    CommitResult,
    PlatformStore,
    Row,
    Write,
)
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError, UndecodableError
from verbenagrade.state.decoding import decode_json
from verbenagrade.state.spending import (
    ClosedSpending,
    ReportedBudget,
    SpendingReport,
    spendable_since,
    spent_at_most,
)

__all__ = [
    "SPENDING_TABLE",
    "SpendingReports",
    "VmIdentity",
    "report_interval_s",
]

SPENDING_TABLE = "spending"
REPORT_INTERVAL_S = 0.5
REPORT_INTERVAL_S_PER_VM = 0.005
"""Minimum interval, and interval per VM of the fleet, in seconds, between reports of
the spending. The interval grows with the fleet to bound the total rate of writes."""

MAX_CLOSED = 2
"""Largest number of earlier incarnations that a report lists."""


def report_interval_s(vm_count: int) -> float:
    """Returns the time between two reports of a VM in a fleet of this size, in seconds.

    >>> report_interval_s(8), report_interval_s(350)
    (0.5, 1.75)
    """
    return max(REPORT_INTERVAL_S, REPORT_INTERVAL_S_PER_VM * vm_count)


@dataclass(frozen=True, slots=True)
class VmIdentity:
    """The name and address of a VM, and the name of this process on it.

    A process is taken to have replaced an earlier one only if the address is the same:
    an address belongs to one VM, and a VM runs one process.
    """

    vm: str
    address: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class SentReport:
    """A report that is or may be in the store, and when it was sent, in seconds."""

    report: SpendingReport
    sent_at: float


class SpendingReports:
    """The reports of one process in the present era of the store.

    ``version`` is that of the row, ``None`` until the row was taken over.
    ``confirmed`` is the report in the store. ``unconfirmed`` is one whose response was
    lost; it is sent again unchanged until its outcome is known, because a newer one
    would restart the time after which all tokens can be reserved. ``closed`` are the
    earlier incarnations whose grants may not have been returned yet. ``superseded`` is
    true if another process has taken over the row. ``started_at`` is a time at which
    this process was running, in seconds.
    """

    def __init__(
        self,
        table: PlatformStore,
        identity: VmIdentity,
        clock: Callable[[], float],
        eras: StoreEras,
    ) -> None:
        self.table = table
        self.identity = identity
        self.clock = clock
        self.eras = eras
        self.started_at = clock()
        self.enter_era()

    def enter_era(self) -> None:
        """Forgets the reports of an earlier era, whose rows nobody reads any more."""
        self.era = self.eras.number
        self.version: int | None = None
        self.confirmed: SentReport | None = None
        self.unconfirmed: SentReport | None = None
        self.closed: tuple[ClosedSpending, ...] = ()
        self.superseded = False
        self.store_time_offset_s: float | None = None

    @property
    def key(self) -> str:
        """The key of this VM's row, which has a partition of its own."""
        return f"{SPENDING_TABLE}/{self.identity.vm}/e{self.era}"

    @property
    def taken_over(self) -> bool:
        """Whether the row is this process's own in the present era."""
        return self.version is not None and self.era == self.eras.number

    @property
    def binds_budgets(self) -> bool:
        """Whether a report that is or may be in the store binds any workspace."""
        sent = (self.confirmed, self.unconfirmed)
        return any(it is not None and bool(it.report.budgets) for it in sent)

    def limit(self, workspace: str, granted: int, now: float) -> int | None:
        """Returns the most that may be spent and reserved in total, in tokens.

        It is ``None`` if no report that may be in the store binds the workspace.
        ``granted`` is the number of tokens granted so far; ``now`` is in seconds.
        """
        if self.superseded:
            return 0
        limits = (
            budget.committed
            + spendable_since(budget, now - sent.sent_at)
            + max(0, granted - budget.granted)
            for sent in (self.confirmed, self.unconfirmed)
            if sent is not None
            and (budget := sent.report.budgets.get(workspace)) is not None
        )
        return min(limits, default=None)

    def spent_at_most(
        self, incarnation: str, workspace: str, granted: int
    ) -> int | None:
        """Returns the most that an earlier incarnation spent, ``None`` if unknown.

        ``granted`` is the number of tokens that it was granted.
        """
        for closed in self.closed:
            if closed.incarnation == incarnation:
                budget = closed.budgets.get(workspace)
                return None if budget is None else budget.spent_at_most(granted)
        return None

    def held_by_earlier(self) -> frozenset[str]:
        """Returns the workspaces that earlier incarnations may hold grants of."""
        return frozenset(name for closed in self.closed for name in closed.budgets)

    async def take_over(self) -> None:
        """Takes over the row of this VM and bounds what its earlier process spent.

        Raises ``PlatformError`` if the store does not respond.
        """
        (row,) = await self.table.read((self.key,))
        if self.era != self.eras.number:
            # The first response tells the era.
            self.enter_era()
            (row,) = await self.table.read((self.key,))
        if row is None:
            await self._take_row(0)
            return
        earlier = _decode(row.value)
        if earlier is None:
            await self._take_row(row.version)
            return
        if earlier.incarnation == self.identity.incarnation:
            # An earlier attempt was committed and its response was lost.
            self.closed = earlier.closed
            await self._take_row(row.version)
            return
        # Written unchanged, the row tells the time of the store, and no late report of
        # the earlier process is committed any more. That one ended before this began.
        running_s = self.clock() - self.started_at
        commit = await self._commit(row.version, earlier)
        store_time_s = commit.store_time_s
        if store_time_s is not None and earlier.reported_at_s <= store_time_s:
            self.closed = self._close(earlier, store_time_s - running_s)
        elif store_time_s is not None:
            log_event(Event.SPENDING_IGNORED, reason="its time is in the future")
        await self._take_row(commit.version)

    async def report(self, budgets: Mapping[str, ReportedBudget]) -> None:
        """Writes a report, or again one whose outcome is unknown.

        Raises ``PlatformError`` if the store does not respond, or if another process
        has taken over.
        """
        if self.version is None or self.superseded:
            raise PlatformError("spending can't be reported yet; retry later")
        if self.unconfirmed is None:
            report = self._make_report(budgets)
            if report is None:
                return
            self.unconfirmed = SentReport(report, self.clock())
        sent = self.unconfirmed
        commit = await self._commit(self.version, sent.report)
        self.version = commit.version
        if self.unconfirmed is sent:
            self.confirmed, self.unconfirmed = sent, None

    def forget_closed(self, workspace: str) -> None:
        """Forgets an earlier incarnation's workspace, whose grant was returned."""
        remaining = (
            ClosedSpending(
                closed.incarnation,
                {k: v for k, v in closed.budgets.items() if k != workspace},
            )
            for closed in self.closed
        )
        self.closed = tuple(closed for closed in remaining if closed.budgets)

    def _make_report(
        self, budgets: Mapping[str, ReportedBudget]
    ) -> SpendingReport | None:
        """Returns a report as of now, ``None`` if the store tells no time."""
        if self.store_time_offset_s is None:
            return None
        return SpendingReport(
            self.identity.incarnation,
            self.identity.address,
            self.clock() + self.store_time_offset_s,
            budgets,
            self.closed,
        )

    def _close(
        self, earlier: SpendingReport, now_s: float
    ) -> tuple[ClosedSpending, ...]:
        """Returns the bounds of the earlier process and of those before it."""
        if earlier.address != self.identity.address:
            return ()
        closed = spent_at_most(earlier, now_s)
        log_event(
            Event.SPENDING_BOUNDED,
            incarnation=earlier.incarnation,
            age_s=round(now_s - earlier.reported_at_s, 3),
            workspaces=len(closed.budgets),
        )
        return (closed, *earlier.closed)[:MAX_CLOSED]

    async def _take_row(self, version: int) -> None:
        """Writes the first report of this process, which binds no workspace."""
        first = SpendingReport(
            self.identity.incarnation, self.identity.address, 0.0, {}, self.closed
        )
        commit = await self._commit(version, first)
        self.version = commit.version

    async def _commit(self, version: int, report: SpendingReport) -> CommitResult:
        """Writes the row if it has the version, and learns the time of the store.

        Raises ``PlatformError`` if the row has changed, unless it already contains the
        report.
        """
        value = msgspec.json.encode(report)
        commit = await self.table.commit(
            (Check(self.key, version),), (Write(self.key, value),)
        )
        if commit.store_time_s is not None:
            # The store's clock shows at least this much now, so that the time of a
            # later report is never taken for a later one than it is.
            self.store_time_offset_s = commit.store_time_s - self.clock()
        if commit.committed:
            return commit
        present = next((row for row in commit.rows if row.key == self.key), None)
        if present is not None and present.value == value:
            return CommitResult(True, present.version, (), commit.store_time_s)
        self._record_conflict(present)
        raise PlatformError("the report of the spending has changed; read it again")

    def _record_conflict(self, present: Row | None) -> None:
        """Gives up the row if another process has taken it over."""
        if self.version is None:
            return
        self.version = 0 if present is None else present.version
        found = None if present is None else _decode(present.value)
        if found is not None and found.incarnation != self.identity.incarnation:
            self.superseded = True
            log_event(Event.SPENDING_SUPERSEDED, incarnation=found.incarnation)


def _decode(value: bytes) -> SpendingReport | None:
    """Decodes a report, ``None`` if it can't be read."""
    try:
        return decode_json(value, SpendingReport)
    except UndecodableError as error:
        log_event(Event.SPENDING_IGNORED, reason=str(error))
        return None
