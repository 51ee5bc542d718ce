"""Obtains a VM's part of prepaid budgets from the platform's store.

A VM holds tokens for the calls to come, serves from them while the store is away,
and returns what it does not need.
"""

import asyncio
import random
from collections.abc import Callable

from verbenagrade.coordination.accounts import (
    Account,
    log_delayed,
)
from verbenagrade.coordination.exchanges import Exchanges
from verbenagrade.coordination.ports import SharedTable
from verbenagrade.exceptions import (
    BudgetExhaustedError,
    PlatformError,
    UnavailableError,
)
from verbenagrade.settings.gateway import TuningSettings
from verbenagrade.state.allowance import (
    BudgetView,
    kept_free,
    plan_grant,
)

__all__ = ["AllowanceKeeper"]

REFILL_TRIES = 3
"""Transactions tried for a grant in advance, for which no caller waits."""

BACK_OFF_S_A_VM = 0.0005
"""Longest wait after a conflict, for each VM of the fleet, in seconds: a tenth
of a transaction's time."""

EXCHANGE_TRIES = 8
"""Transactions tried for one grant; others change the pots in between."""

REFUSED_PART = 0.5
"""Part of a call that a refused one counts as in the demand: most come again."""

IDLE_FACTOR = 2.0
"""Multiple of the horizon's demand above which tokens are returned."""

REFILL_PART = 0.7
"""Part of what is kept free below which a grant is renewed in advance."""

FRESH_S = 0.5
"""Time after which other VMs have probably changed the pots, in seconds. Reading
them costs a call, as a conflict would, and tells of all pots."""

REVIEW_S = 4.0
REVIEW_S_A_VM = 0.4
"""Time without an exchange after which a VM that holds tokens looks how far the
budget is spent, in seconds: at least, and for each VM of the fleet, so that all
together don't ask too often."""

AWAY_S = 2.0
"""Time after a failed call in which no caller waits for the store, in seconds;
it ends as soon as a call in the background succeeds."""

PREPARED_BUDGETS = 32
"""Budgets of which a VM obtains a grant before there is demand, at most."""

PROBE_S = 0.25
"""Least time between calls in the background while the store is away."""


class AllowanceKeeper:
    """The accounts of all workspaces that have a budget."""

    def __init__(
        self,
        table: SharedTable,
        vm: str,
        incarnation: str,
        tuning: TuningSettings,
        clock: Callable[[], float],
    ) -> None:
        self.table = table
        self.vm = vm
        self.incarnation = incarnation
        self.tuning = tuning
        self.clock = clock
        self.vms = 1
        self.random = random.Random(incarnation)
        self.accounts: dict[str, Account] = {}
        self.exchanges = Exchanges(table, incarnation, clock)
        self.failed_at = float("-inf")
        self.probed_at = float("-inf")
        self.refills: set[asyncio.Task[None]] = set()

    def set_prepaid(self, workspace: str, prepaid: int) -> None:
        """Takes over what a workspace has prepaid.

        Where it was lowered, free tokens are not spent until they were granted
        anew.
        """
        account = self._account(workspace)
        lowered = prepaid < account.prepaid
        account.prepaid = prepaid
        if lowered:
            account.seen = False
            account.allowance.granted -= max(0, account.allowance.free)

    async def reserve(self, workspace: str, bound: int) -> None:
        """Reserves the bound of a call.

        Raises ``BudgetExhaustedError`` if it doesn't fit into what is left, and
        ``UnavailableError`` if that can't be found out.
        """
        account = self._account(workspace)
        if account.allowance.reserve(bound):
            account.allowance.note_demand(bound, self.clock())
            self._refill_soon(account)
            return
        if self._away():
            account.allowance.note_demand(int(REFUSED_PART * bound), self.clock())
            self._probe_soon(account)
            raise UnavailableError(
                f"{workspace} has {account.allowance.free} tokens here, {bound} are"
                " needed; come back when the store answers"
            )
        async with account.lock:
            try:
                granted = await self._obtain(account, bound)
                self.failed_at = float("-inf")
            except PlatformError as error:
                self.failed_at = self.clock()
                raise UnavailableError(f"no grant: {error}") from error
        if granted:
            account.allowance.note_demand(bound, self.clock())
        else:
            left = account.prepaid - account.granted + account.allowance.free
            raise BudgetExhaustedError(
                f"{workspace} has {left} tokens left, {bound} are needed; top up"
            )

    async def prepare(self) -> None:
        """Obtains grants of the largest budgets before there is demand."""
        largest = sorted(self.accounts.values(), key=lambda it: -it.prepaid)
        prepared = largest[:PREPARED_BUDGETS]
        self.random.shuffle(prepared)
        for account in prepared:
            if not account.seen and not account.lock.locked():
                await self._refill(account)

    def settle(self, workspace: str, bound: int, used: int) -> None:
        """Ends a reservation and counts what was used of it."""
        self._account(workspace).allowance.settle(bound, used)

    async def tend(self) -> None:
        """Returns tokens for which there is no demand here."""
        for account in tuple(self.accounts.values()):
            await self._review(account)
            unreturned = account.own.tokens - account.allowance.granted
            if account.lock.locked() or unreturned + self._surplus(account) <= 0:
                continue
            async with account.lock:
                await self._give_back(account, self._surplus)

    async def _review(self, account: Account) -> None:
        """Reads again how far a budget is spent, if this VM holds some of it."""
        period_s = max(REVIEW_S, REVIEW_S_A_VM * self.vms)
        due = self.clock() - account.reviewed > period_s and not self._away()
        if not due or account.allowance.free <= 0 or account.lock.locked():
            return
        account.reviewed = self.clock()
        async with account.lock:
            try:
                account.take_pots(await self.table.scan(account.pots_key))
            except PlatformError as error:
                self.failed_at = self.clock()
                log_delayed(account, error)

    async def return_all(self) -> None:
        """Returns every free token, at a graceful shutdown."""
        for account in tuple(self.accounts.values()):
            async with account.lock:
                await self._give_back(account, lambda it: it.allowance.free)

    def _away(self) -> bool:
        """Whether the store is not worth a wait."""
        return self.clock() - self.failed_at < AWAY_S

    def _account(self, workspace: str) -> Account:
        account = self.accounts.get(workspace)
        if account is None:
            account = Account(workspace, self.vm, self.clock())
            self.accounts[workspace] = account
        return account

    def _kept(self, account: Account) -> int:
        budget = self._budget(account, max(0, account.allowance.free))
        horizon_s = self.tuning.grant_horizon_s
        return kept_free(account.allowance, budget, horizon_s, self.clock())

    def _budget(self, account: Account, free: int) -> BudgetView:
        """Returns the budget, with this VM's ``free`` tokens counted as left."""
        spent = account.spent + account.allowance.spent - account.own.spent
        left = account.prepaid - account.granted + free
        return BudgetView(account.prepaid, left, spent, self.vms)

    def _surplus(self, account: Account) -> int:
        if account.granted > account.prepaid:
            return account.allowance.free
        return account.allowance.free - int(IDLE_FACTOR * self._kept(account))

    def _refill_soon(self, account: Account) -> None:
        """Renews a grant in the background before it runs out."""
        if account.allowance.free < REFILL_PART * self._kept(account):
            self._probe_soon(account)

    def _probe_soon(self, account: Account) -> None:
        """Asks for a grant in the background, seldom while the store is away."""
        away = self.failed_at > float("-inf")
        recent = self.clock() - self.probed_at < PROBE_S
        if account.lock.locked() or (away and recent):
            return
        self.probed_at = self.clock()
        task = asyncio.create_task(self._refill(account))
        self.refills.add(task)
        task.add_done_callback(self.refills.discard)

    async def _refill(self, account: Account) -> None:
        async with account.lock:
            try:
                if self._is_doubtful(account):
                    await self.exchanges.look(account)
                plan = self._plan(account, 0)
                for _ in range(REFILL_TRIES):
                    if plan <= 0 or await self.exchanges.move(account, 0, plan):
                        break
                    await self._back_off()
                    plan = self._plan(account, 0)
                self.failed_at = float("-inf")
            except PlatformError as error:
                self.failed_at = self.clock()
                log_delayed(account, error)

    async def _obtain(self, account: Account, bound: int) -> bool:
        """Reserves the bound, with more tokens from the store if needed."""
        fresh = False
        for _ in range(EXCHANGE_TRIES):
            if account.allowance.reserve(bound):
                return True
            if self._is_doubtful(account):
                await self.exchanges.look(account)
                fresh = True
                continue
            need = bound - account.allowance.free
            tokens = self._plan(account, need)
            if tokens < need:
                if fresh:
                    return False
                await self.exchanges.look(account)
                fresh = True
                continue
            fresh = not await self.exchanges.move(account, need, tokens)
            if fresh:
                await self._back_off()
        raise UnavailableError("others change the budget too often; come back")

    def _is_doubtful(self, account: Account) -> bool:
        """Whether the pots have to be read before they are written."""
        if account.uncertain or not account.seen:
            return True
        return self.clock() - account.reviewed > FRESH_S

    def _plan(self, account: Account, need: int) -> int:
        budget = self._budget(account, 0)
        horizon_s = self.tuning.grant_horizon_s
        plan = plan_grant(account.allowance, need, budget, horizon_s, self.clock())
        return plan.tokens

    async def _back_off(self) -> None:
        """Waits after a conflict, so that many VMs don't collide again."""
        longest_s = BACK_OFF_S_A_VM * self.vms
        await asyncio.sleep(self.random.uniform(0.0, longest_s))

    async def _give_back(
        self, account: Account, surplus_of: Callable[[Account], int]
    ) -> None:
        """Returns a surplus, and what an earlier return may have left behind."""
        try:
            if account.uncertain:
                await self.exchanges.look(account)
            for _ in range(EXCHANGE_TRIES):
                surplus = max(0, surplus_of(account))
                rest = account.own.tokens - account.allowance.granted + surplus
                if rest <= 0:
                    return
                account.allowance.granted -= surplus
                if await self.exchanges.move(account, 0, -rest):
                    return
                await self._back_off()
        except PlatformError as error:
            log_delayed(account, error)
