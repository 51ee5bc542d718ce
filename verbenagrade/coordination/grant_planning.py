"""Decides how many tokens of a budget a VM holds ahead of demand."""

from collections.abc import Callable, Iterable
from heapq import nlargest

from verbenagrade.coordination.accounts import BudgetAccount
from verbenagrade.state.allowance import plan_grant, target_free_tokens

__all__ = ["GrantPlanner"]

MAX_PREPARED_BUDGETS = 32
"""Maximum number of budgets for which a VM obtains a grant before any demand."""

STAND_IN_S = 3.0
"""Time in seconds since the last call for which a VM keeps tokens that is no holder."""

STAND_IN_HORIZON_FRACTION = 0.2
"""Part of the usual horizon for which such a VM obtains tokens: only the holders of a
budget are asked for its tokens, and what others hold is missing there."""


class GrantPlanner:
    """Plans the grants of one VM.

    ``holder_count`` is the number of VMs that hold tokens of a workspace. ``is_holder``
    tells whether this VM is one of them. ``horizon_s`` returns for how many seconds of
    demand grants are made, and ``clock`` the time in seconds.
    """

    def __init__(
        self, horizon_s: Callable[[], float], clock: Callable[[], float]
    ) -> None:
        self.horizon_s = horizon_s
        self.clock = clock
        self.holder_count = 1
        self.is_holder: Callable[[str], bool] = lambda _workspace: True

    def budgets_to_prepare(
        self, accounts: Iterable[BudgetAccount]
    ) -> list[BudgetAccount]:
        """Returns the largest budgets of which this VM is a holder."""
        held = (it for it in accounts if self.is_holder(it.workspace))
        return nlargest(MAX_PREPARED_BUDGETS, held, key=lambda it: it.prepaid)

    def tokens_to_keep(self, account: BudgetAccount) -> int:
        """Returns the number of free tokens to keep for expected calls."""
        horizon_s = self._horizon_s(account)
        if horizon_s <= 0:
            return 0
        budget = account.view(max(0, account.allowance.free), self.holder_count)
        return target_free_tokens(account.allowance, budget, horizon_s, self.clock())

    def planned_tokens(self, account: BudgetAccount, need: int) -> int:
        """Returns the number of tokens to obtain if ``need`` more are required."""
        budget = account.view(0, self.holder_count)
        horizon_s = self._horizon_s(account)
        plan = plan_grant(account.allowance, need, budget, horizon_s, self.clock())
        return plan.tokens if horizon_s > 0 else min(plan.tokens, need)

    def _horizon_s(self, account: BudgetAccount) -> float:
        """Returns for how many seconds of demand to hold tokens, 0 for none.

        A VM that is no holder stands in for one while calls come here nevertheless.
        """
        if self.is_holder(account.workspace):
            return self.horizon_s()
        last_call_at = account.allowance.demand_updated_at
        has_calls = account.allowance.first_demand_at is not None
        if not has_calls or self.clock() - last_call_at > STAND_IN_S:
            return 0.0
        return STAND_IN_HORIZON_FRACTION * self.horizon_s()
