"""Keeps the spending of this VM within what its reports to the store allow."""

import asyncio
from collections.abc import Callable, Mapping
from heapq import nlargest

from verbenagrade.coordination.accounts import BudgetAccount
from verbenagrade.coordination.spending_reports import SpendingReports
from verbenagrade.exceptions import UnavailableError
from verbenagrade.state.spending import ReportedBudget, report_budget

__all__ = ["SpendingLimits"]

MAX_REPORTED_BUDGETS = 300
"""Largest number of budgets in a report, about 100 bytes each: a row of the store holds
64 KB. What a lost VM held of other budgets counts as spent."""

MAX_REPORTS_PER_CALL = 2
"""Reports of the spending that a call waits for: one whose outcome was unknown is sent
again before a new one."""


class SpendingLimits:
    """Reserves tokens as far as the reports of this VM's spending cover them.

    Without ``reports`` all free tokens can be reserved, and what an earlier incarnation
    held counts as spent. ``accounts`` are those of this VM by workspace. ``clock``
    returns seconds. ``lock`` serializes the reports.
    """

    def __init__(
        self,
        reports: SpendingReports | None,
        accounts: Mapping[str, BudgetAccount],
        clock: Callable[[], float],
    ) -> None:
        self.reports = reports
        self.accounts = accounts
        self.clock = clock
        self.lock = asyncio.Lock()

    def reserve(self, account: BudgetAccount, bound: int) -> bool:
        """Reserves tokens that need no newer report, or returns false."""
        return account.allowance.reserve(bound, self._limit(account))

    def reservable(self, account: BudgetAccount) -> int:
        """Returns how many tokens can be reserved without a newer report."""
        limit = self._limit(account)
        free = account.allowance.free
        if limit is None:
            return free
        return max(0, min(free, limit - account.allowance.committed))

    async def reserve_after_report(
        self, account: BudgetAccount, bound: int, is_hopeless: Callable[[], bool]
    ) -> None:
        """Reserves free tokens beyond the limit of the last report, by a newer one.

        The report counts the tokens as committed. ``is_hopeless`` returns whether there
        is no point in sending it. Raises ``PlatformError`` if the store does not
        respond, and ``UnavailableError`` if the tokens can't be reserved yet; they are
        then free again.
        """
        covered = False
        if not account.allowance.reserve(bound):
            raise _not_yet(account, bound)
        try:
            for _ in range(MAX_REPORTS_PER_CALL):
                async with self.lock:
                    if not self._exceeds(account) or is_hopeless():
                        break
                    await self.reports.report(self._reported_budgets())
            covered = not self._exceeds(account)
        finally:
            if not covered:
                account.allowance.release(bound)
        if not covered:
            raise _not_yet(account, bound)

    async def may_return(self, account: BudgetAccount, surplus: int) -> bool:
        """Returns whether reports cover the spending if the surplus is returned.

        What was granted since a report may have been spent beyond it. Once returned, it
        no longer shows in the row. Raises ``PlatformError`` if a report is needed and
        the store does not respond.
        """
        if self._exceeds(account, surplus):
            async with self.lock:
                await self.reports.report(self._reported_budgets())
        return not self._exceeds(account, surplus)

    async def report(self) -> None:
        """Reports what this VM spends, if it holds tokens or did at the last report.

        Raises ``PlatformError`` if the store does not respond.
        """
        if self.reports is None:
            return
        await self.take_over()
        async with self.lock:
            budgets = self._reported_budgets()
            if budgets or self.reports.binds_budgets:
                await self.reports.report(budgets)

    async def take_over(self) -> None:
        """Learns what an earlier incarnation spent, before its row is overwritten.

        Raises ``PlatformError`` if the store does not respond.
        """
        reports = self.reports
        if reports is None or reports.taken_over:
            return
        async with self.lock:
            if not reports.taken_over:
                await reports.take_over()

    def held_by_earlier(self) -> frozenset[str]:
        """Returns the workspaces that earlier incarnations may hold grants of."""
        return frozenset() if self.reports is None else self.reports.held_by_earlier()

    def awaits_earlier_grant(self, workspace: str) -> bool:
        """Returns whether tokens of an earlier incarnation may still be returned."""
        if self.reports is None:
            return False
        return not self.reports.taken_over or workspace in self.held_by_earlier()

    def _reported_budgets(self) -> dict[str, ReportedBudget]:
        """Returns what to report, for the largest grants if there are many."""
        held = (it for it in self.accounts.values() if it.allowance.granted > 0)
        largest = nlargest(MAX_REPORTED_BUDGETS, held, lambda it: it.allowance.free)
        now = self.clock()
        return {
            account.workspace: report_budget(account.allowance, account.prepaid, now)
            for account in largest
        }

    def _exceeds(self, account: BudgetAccount, surplus: int = 0) -> bool:
        """Returns whether more is committed than reports cover without a surplus."""
        limit = self._limit(account, surplus)
        return limit is not None and account.allowance.committed > limit

    def _limit(self, account: BudgetAccount, surplus: int = 0) -> int | None:
        if self.reports is None:
            return None
        granted = account.allowance.granted - surplus
        return self.reports.limit(account.workspace, granted, self.clock())


def _not_yet(account: BudgetAccount, bound: int) -> UnavailableError:
    return UnavailableError(
        f"{account.workspace} may not reserve {bound} of its tokens here yet; retry"
        " later"
    )
