"""Returns tokens that this VM does not need to their budgets."""

from collections.abc import Awaitable, Callable

from verbenagrade.coordination.accounts import BudgetAccount, log_grant_delayed
from verbenagrade.coordination.grant_transactions import (
    MAX_TRANSACTIONS_PER_TRANSFER,
    GrantTransactions,
)
from verbenagrade.coordination.spending_limits import SpendingLimits
from verbenagrade.exceptions import PlatformError

__all__ = ["GrantReturns"]

SURPLUS_FACTOR = 2.0
"""Tokens are returned above this multiple of the tokens to keep free."""


class GrantReturns:
    """Returns free tokens of this VM; ``back_off`` waits after a conflict."""

    def __init__(
        self,
        transactions: GrantTransactions,
        limits: SpendingLimits,
        back_off: Callable[[], Awaitable[None]],
    ) -> None:
        self.transactions = transactions
        self.limits = limits
        self.back_off = back_off

    async def return_surplus(
        self, account: BudgetAccount, tokens_to_keep: Callable[[BudgetAccount], int]
    ) -> None:
        """Returns tokens far above those to keep, unless the account is in use."""

        def surplus_of(account: BudgetAccount) -> int:
            """Returns the number of free tokens to return, if positive."""
            free = account.allowance.free
            if account.granted > account.prepaid:
                return free
            return free - int(SURPLUS_FACTOR * tokens_to_keep(account))

        unreturned = account.own.tokens - account.allowance.granted
        if account.lock.locked() or unreturned + surplus_of(account) <= 0:
            return
        async with account.lock:
            await self._return_tokens(account, surplus_of)

    async def return_free(self, account: BudgetAccount) -> None:
        """Returns all free tokens."""
        async with account.lock:
            await self._return_tokens(account, lambda it: it.allowance.free)

    async def _return_tokens(
        self, account: BudgetAccount, surplus_of: Callable[[BudgetAccount], int]
    ) -> None:
        """Returns the surplus, and tokens that the allowance no longer counts.

        The latter are still granted by this VM's row, for example after an earlier
        return that was not committed. The surplus leaves the allowance before the
        transaction, so that it cannot be spent if the response is lost.
        """
        try:
            if account.must_reload or account.must_restore:
                await self.transactions.refresh(account)
            for _ in range(MAX_TRANSACTIONS_PER_TRANSFER):
                surplus = max(0, surplus_of(account))
                rest = account.own.tokens - account.allowance.granted + surplus
                if rest <= 0 or not await self.limits.may_return(account, surplus):
                    return
                account.allowance.granted -= surplus
                if await self.transactions.transfer(account, 0, -rest):
                    return
                await self.back_off()
        except PlatformError as error:
            log_grant_delayed(account, error)
