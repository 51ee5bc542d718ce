"""Obtains the grants of one VM on prepaid budgets from the platform's store.

A VM obtains tokens ahead of demand, reserves calls from them while the store is
unavailable, and returns the tokens that it does not need.
"""

import asyncio
import random
from collections.abc import Callable

from verbenagrade.coordination.accounts import (
    BudgetAccount,
    log_grant_delayed,
)
from verbenagrade.coordination.grant_planning import GrantPlanner
from verbenagrade.coordination.grant_returns import GrantReturns
from verbenagrade.coordination.grant_transactions import (
    MAX_TRANSACTIONS_PER_TRANSFER,
    GrantTransactions,
)
from verbenagrade.coordination.ports import PlatformStore
from verbenagrade.coordination.restorations import restore_budgets
from verbenagrade.coordination.spending_limits import SpendingLimits
from verbenagrade.coordination.spending_reports import SpendingReports
from verbenagrade.coordination.store_availability import StoreAvailability
from verbenagrade.coordination.store_eras import StoreEras
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    ContendedError,
    PlatformError,
    UnavailableError,
)
from verbenagrade.settings.gateway import TuningSettings
from verbenagrade.state.reservations import HeldTokens

__all__ = ["AllowanceManager"]

MAX_REFILL_TRANSACTIONS = 3
"""Maximum number of transactions for a background refill, which no caller awaits."""

MAX_BACKOFF_S_PER_HOLDER = 0.0005
"""Maximum delay after a conflict, in seconds per holder of a budget: a tenth of a
transaction."""

REFUSED_DEMAND_FRACTION = 0.5
"""Fraction of the bound of a refused call that counts as demand, because most
refused calls are retried."""

REFILL_FRACTION = 0.7
"""A background refill starts when fewer free tokens are left than this fraction of
the tokens to keep free."""

REFRESH_INTERVAL_S = 4.0
REFRESH_INTERVAL_S_PER_HOLDER = 0.4
"""Minimum interval, and interval per holder of a budget, in seconds, after which a VM
that holds free tokens reads the shards to learn how much of the budget is spent. The
interval grows with their number to bound the total rate of reads."""


class AllowanceManager:
    """Reserves tokens for calls and keeps this VM's grants on all budgets.

    ``vm_count`` is the number of VMs in the fleet. ``planner`` tells how many tokens
    to hold. ``clock`` returns seconds.
    ``eras`` tells when the store has lost recent transactions. ``spending`` reports to
    the store what this VM spends; without it, what an earlier incarnation held counts
    as spent. ``awaits_peers`` tells whether other VMs may hold grants of a budget that
    are not in the present era of the store yet.
    """

    def __init__(
        self,
        table: PlatformStore,
        vm: str,
        incarnation: str,
        tuning: TuningSettings,
        clock: Callable[[], float],
        eras: StoreEras,
        spending: SpendingReports | None = None,
    ) -> None:
        self.table = table
        self.vm = vm
        self.incarnation = incarnation
        self.tuning = tuning
        self.clock = clock
        self.eras = eras
        self.vm_count = 1
        self.planner = GrantPlanner(lambda: self.tuning.grant_horizon_s, clock)
        self.random = random.Random(incarnation)
        self.accounts: dict[str, BudgetAccount] = {}
        self.spending = spending
        self.limits = SpendingLimits(spending, self.accounts, clock)
        self.grant_transactions = GrantTransactions(table, incarnation, clock, spending)
        self.returns = GrantReturns(
            self.grant_transactions, self.limits, self._back_off
        )
        self.store = StoreAvailability(clock)
        self.refills: set[asyncio.Task[None]] = set()
        self.awaits_peers: Callable[[BudgetAccount, float], bool] = lambda *_: False

    def set_prepaid(self, workspace: str, prepaid: int) -> None:
        """Sets the prepaid tokens of a workspace.

        If the number was lowered, this VM's free tokens cannot be reserved until
        the store has confirmed its grant again.
        """
        account = self._get_or_create_account(workspace)
        lowered = prepaid < account.prepaid
        account.prepaid = prepaid
        if lowered:
            account.is_loaded = False
            account.allowance.granted -= max(0, account.allowance.free)

    def reserve_free(self, workspace: str, bound: int) -> bool:
        """Reserves tokens that this VM holds; returns false if it holds too few."""
        account = self._get_or_create_account(workspace)
        if not self.limits.reserve(account, bound):
            return False
        account.allowance.record_demand(bound, self.clock())
        self._schedule_refill_if_low(account)
        return True

    def held_tokens(self, workspace: str) -> HeldTokens:
        """Returns how many tokens this VM holds that are not spent or reserved."""
        account = self.accounts.get(workspace)
        if account is None:
            return HeldTokens(0, 0)
        at_once = max(0, self.limits.reservable(account))
        if self.store.is_unavailable():
            return HeldTokens(at_once, at_once)
        return HeldTokens(at_once, max(0, account.allowance.free))

    def prepaid(self, workspace: str) -> int:
        """Returns the prepaid tokens of a workspace, 0 if it is not known."""
        account = self.accounts.get(workspace)
        return 0 if account is None else account.prepaid

    async def reserve(self, workspace: str, bound: int) -> None:
        """Reserves ``bound`` tokens, the upper bound of a call.

        Raises ``BudgetExhaustedError`` if the budget has too few tokens left, and
        ``UnavailableError`` if the store cannot confirm whether it has enough.
        """
        if self.reserve_free(workspace, bound):
            return
        account = self._get_or_create_account(workspace)
        self._refuse_if_unavailable(account, bound)
        async with account.lock:
            granted = self.limits.reserve(account, bound)
            if not granted:
                # The store may not have responded to the calls that waited before.
                self._refuse_if_unavailable(account, bound)
                granted = await self._ask_store(account, bound)
        if granted:
            account.allowance.record_demand(bound, self.clock())
        elif self.limits.awaits_earlier_grant(workspace):
            raise UnavailableError(
                f"{workspace} gets back tokens of an earlier process; retry later"
            )
        else:
            left = account.prepaid - account.granted + account.allowance.free
            raise BudgetExhaustedError(
                f"{workspace} has {left} tokens left, {bound} are needed; top up"
            )

    def _refuse_if_unavailable(self, account: BudgetAccount, bound: int) -> None:
        """Raises ``UnavailableError`` if the store has failed to respond recently."""
        if not self.store.is_unavailable():
            return
        demand = int(REFUSED_DEMAND_FRACTION * bound)
        account.allowance.record_demand(demand, self.clock())
        self._schedule_refill(account)
        raise UnavailableError(
            f"{account.workspace} has {self.limits.reservable(account)} tokens here,"
            f" {bound} are needed; retry when the store responds"
        )

    async def _ask_store(self, account: BudgetAccount, bound: int) -> bool:
        """Reserves the bound with the help of the store, if the budget has enough."""
        try:
            granted = await self._reserve_from_store(account, bound)
        except PlatformError as error:
            self.store.record_failure(error)
            raise UnavailableError(f"no grant: {error}") from error
        self.store.record_response()
        return granted

    async def prefetch_grants(self) -> None:
        """Obtains initial grants on the largest budgets before there is demand."""
        prepared = self.planner.budgets_to_prepare(self.accounts.values())
        self.random.shuffle(prepared)
        for account in prepared:
            if not account.is_loaded and not account.lock.locked():
                await self._refill(account)

    def settle(self, workspace: str, bound: int, used: int) -> None:
        """Ends a reservation of ``bound`` tokens, of which ``used`` were spent."""
        self._get_or_create_account(workspace).allowance.settle(bound, used)

    async def report_spending(self) -> None:
        """Reports to the store what this VM spends, and takes over an earlier grant.

        Raises ``PlatformError`` if the store does not respond.
        """
        await self.limits.report()
        for workspace in self.limits.held_by_earlier():
            account = self._get_or_create_account(workspace)
            async with account.lock:
                if await self.grant_transactions.return_earlier(account):
                    self.spending.forget_closed(workspace)

    async def restore_budgets(self) -> None:
        """Restores what this VM knows of its budgets after a change of the era."""
        accounts = self.accounts.values()
        await restore_budgets(accounts, self.grant_transactions, self.random)

    async def rebalance(self) -> None:
        """Refreshes stale accounts and returns tokens that exceed this VM's demand."""
        for account in tuple(self.accounts.values()):
            await self._refresh_shards(account)
            await self.returns.return_surplus(account, self.planner.tokens_to_keep)

    async def _refresh_shards(self, account: BudgetAccount) -> None:
        """Reads the shards again if they are stale and this VM holds free tokens."""
        period_s = max(
            REFRESH_INTERVAL_S,
            REFRESH_INTERVAL_S_PER_HOLDER * self.planner.holder_count,
        )
        if account.allowance.free <= 0 or self.store.is_unavailable():
            return
        await self.grant_transactions.refresh_if_stale(account, period_s, self.store)

    async def return_all(self) -> None:
        """Returns all free tokens, for a graceful shutdown."""
        for account in tuple(self.accounts.values()):
            await self.returns.return_free(account)

    def _get_or_create_account(self, workspace: str) -> BudgetAccount:
        account = self.accounts.get(workspace)
        if account is None:
            now = self.clock()
            account = BudgetAccount(workspace, self.vm, now, self.eras.number)
            self.accounts[workspace] = account
        return account

    def enter_era(self) -> None:
        """Moves all accounts on to the present era of the store.

        What this VM holds can be spent as before. Nothing new is granted until what
        was lost is restored, by the other VMs as well.
        """
        for account in self.accounts.values():
            if account.era != self.eras.number:
                account.enter_era(self.eras.number)
        if self.spending is not None:
            self.spending.enter_era()

    def settling_budgets(self) -> int:
        """Returns how many budgets in use grant nothing since the era changed."""
        return sum(
            self._is_settling(account)
            for account in self.accounts.values()
            if account.is_loaded or account.known_states
        )

    def _is_settling(self, account: BudgetAccount) -> bool:
        now = self.clock()
        settled_at = self.eras.since + self.tuning.era_settle_s
        return account.is_settling(settled_at, now) or self.awaits_peers(account, now)

    def _schedule_refill_if_low(self, account: BudgetAccount) -> None:
        """Schedules a refill in the background if few free tokens are left."""
        if account.allowance.free < REFILL_FRACTION * self.planner.tokens_to_keep(
            account
        ):
            self._schedule_refill(account)

    def _schedule_refill(self, account: BudgetAccount) -> None:
        """Schedules a refill in the background, rate-limited after a failed call."""
        if account.lock.locked() or not self.store.may_probe():
            return
        task = asyncio.create_task(self._refill(account))
        self.refills.add(task)
        task.add_done_callback(self.refills.discard)

    async def _refill(self, account: BudgetAccount) -> None:
        """Obtains tokens ahead of demand; a platform error is logged, not raised."""
        async with account.lock:
            try:
                await self.limits.take_over()
                if self.grant_transactions.must_refresh(account):
                    await self.grant_transactions.refresh(account)
                tokens = self.planner.planned_tokens(account, 0)
                if self._is_settling(account):
                    tokens = 0
                for _ in range(MAX_REFILL_TRANSACTIONS):
                    if tokens <= 0 or await self.grant_transactions.transfer(
                        account, 0, tokens
                    ):
                        break
                    await self._back_off()
                    tokens = self.planner.planned_tokens(account, 0)
                self.store.record_response()
            except PlatformError as error:
                self.store.record_failure(error)
                log_grant_delayed(account, error)

    async def _reserve_from_store(self, account: BudgetAccount, bound: int) -> bool:
        """Reserves the bound, after a grant from the store if needed.

        Returns false if the budget has too few tokens left according to shards that
        were just read. Raises ``PlatformError`` if the store is unavailable, and
        ``UnavailableError`` if all transactions conflicted.
        """
        fresh = False
        await self.limits.take_over()
        for _ in range(MAX_TRANSACTIONS_PER_TRANSFER):
            if self.limits.reserve(account, bound):
                return True
            if bound <= account.allowance.free:
                is_hopeless = self.store.is_unavailable
                await self.limits.reserve_after_report(account, bound, is_hopeless)
                return True
            if self.grant_transactions.must_refresh(account):
                await self.grant_transactions.refresh(account)
                fresh = True
                continue
            if self._is_settling(account):
                reason = "settles after the store came back from an older copy"
                raise UnavailableError(f"{account.workspace} {reason}; retry later")
            need = bound - account.allowance.free
            tokens = self.planner.planned_tokens(account, need)
            if tokens < need:
                if fresh:
                    await self.grant_transactions.take_rest(account)
                    return False
                await self.grant_transactions.refresh(account)
                fresh = True
                continue
            fresh = not await self.grant_transactions.transfer(account, need, tokens)
            if fresh:
                await self._back_off()
        raise ContendedError("other VMs change the budget too often; retry later")

    async def _back_off(self) -> None:
        """Waits for a random time after a conflict to avoid further conflicts."""
        max_delay_s = MAX_BACKOFF_S_PER_HOLDER * self.planner.holder_count
        await asyncio.sleep(self.random.uniform(0.0, max_delay_s))
