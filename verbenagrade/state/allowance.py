"""Accounting of the prepaid tokens that one VM may spend for a workspace.

The store records how many tokens each VM was granted in total. A VM spends only
tokens whose grant the store has confirmed, so that a lost message or a lost VM
can't make the total exceed the prepaid tokens. If the confirmation of a grant is
lost, its tokens can be spent only after the grant was read back from the store.
"""

import math
from dataclasses import dataclass

__all__ = ["Allowance", "BudgetView", "GrantPlan", "plan_grant", "target_free_tokens"]

DEMAND_TIME_CONSTANT_S = 10.0
"""Time constant of the demand estimate, in seconds. It is short because a prepaid
budget is used up within seconds to minutes."""

MIN_DEMAND_PERIOD_S = 4.0
"""Minimum time over which demand is averaged, in seconds, so that a single call
does not look like a high rate."""

MAX_FREE_FRACTION = 0.33
"""Largest fraction of the remaining budget that one VM keeps free. It exceeds an
even share because all callers of a workspace may use the same VM. The tokens of a
lost VM are lost to the workspace, so grants shrink with the remaining budget."""

HORIZON_EXPONENT = 2.0
"""Exponent with which the horizon shrinks as the unspent fraction of a budget
falls. The tokens of a lost VM are lost to the workspace, and such a loss matters
more the closer the budget is to its end."""

FLOOR_DIVISOR = 2.5
"""Divisor of a VM's even share of the remaining budget. The quotient, scaled down
like the horizon, is the minimum that the VM keeps free in case the store is
unavailable when demand begins."""

MIN_LEFT_FRACTION_IF_IDLE = 0.5
"""Fraction of the prepaid tokens that must remain for a VM to keep this minimum
before it has seen any demand."""


@dataclass(frozen=True, slots=True)
class GrantPlan:
    """How many tokens to request: 0 if none are needed or too few remain."""

    tokens: int


@dataclass(frozen=True, slots=True)
class BudgetView:
    """A workspace's budget as seen by one VM.

    ``prepaid`` is the total in tokens, ``left`` the tokens not granted to any VM,
    and ``spent`` the tokens known to be spent. ``vms`` VMs share the budget.
    """

    prepaid: int
    left: int
    spent: int
    vms: int


class Allowance:
    """The tokens of one workspace that this VM was granted, spent and reserved.

    ``demand_tokens`` is the sum of recent demand, which decays exponentially with
    the time since ``demand_updated_at``. Times are in seconds.
    """

    def __init__(self, now: float) -> None:
        self.granted = 0
        self.spent = 0
        self.reserved = 0
        self.demand_tokens = 0.0
        self.demand_updated_at = now
        self.first_demand_at: float | None = None

    @property
    def free(self) -> int:
        """The tokens that a new call can reserve."""
        return self.granted - self.spent - self.reserved

    @property
    def committed(self) -> int:
        """The tokens that are spent or reserved."""
        return self.spent + self.reserved

    def reserve(self, bound: int, limit: int | None = None) -> bool:
        """Reserves the most tokens that a call may use.

        Returns ``False`` and reserves nothing if fewer tokens are free, or if more than
        ``limit`` tokens were then committed.
        """
        if bound > self.free or (limit is not None and self.committed + bound > limit):
            return False
        self.reserved += bound
        return True

    def release(self, bound: int) -> None:
        """Ends a reservation of a call that was not sent."""
        self.reserved -= bound

    def settle(self, bound: int, used: int) -> None:
        """Ends a reservation and records the tokens that the call used as spent."""
        self.reserved -= bound
        self.spent += used
        self.demand_tokens = max(0.0, self.demand_tokens - (bound - used))

    def record_demand(self, bound: int, now: float) -> None:
        """Adds a call's upper bound to the demand; ``settle`` corrects it later."""
        self.demand_tokens = self._decayed_demand(now) + bound
        self.demand_updated_at = now
        if self.first_demand_at is None:
            self.first_demand_at = now

    def demand_at(self, now: float) -> float:
        """Returns the recent demand in tokens per second.

        The estimate is normalised by the time since the first call, so that it
        is not too low until demand has lasted for several time constants.
        """
        if self.first_demand_at is None:
            return 0.0
        demand_period_s = max(MIN_DEMAND_PERIOD_S, now - self.first_demand_at)
        effective_window_s = DEMAND_TIME_CONSTANT_S * (
            1.0 - math.exp(-demand_period_s / DEMAND_TIME_CONSTANT_S)
        )
        return self._decayed_demand(now) / effective_window_s

    def _decayed_demand(self, now: float) -> float:
        elapsed_s = max(0.0, now - self.demand_updated_at)
        return self.demand_tokens * math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)


def target_free_tokens(
    allowance: Allowance, budget: BudgetView, horizon_s: float, now: float
) -> int:
    """Returns how many tokens a VM should keep free for future calls.

    This is the demand over ``horizon_s`` seconds, limited to a fraction of the
    remaining budget, and at least a minimum that depends on the number of VMs.
    """
    demand = allowance.demand_at(now)
    if demand <= 0 and budget.left < MIN_LEFT_FRACTION_IF_IDLE * budget.prepaid:
        return 0
    left = max(0, budget.left)
    unspent = max(0, budget.prepaid - budget.spent)
    horizon_scale = (unspent / max(1, budget.prepaid)) ** HORIZON_EXPONENT
    floor = horizon_scale * left / max(1, budget.vms) / FLOOR_DIVISOR
    return int(
        max(min(demand * horizon_s * horizon_scale, left * MAX_FREE_FRACTION), floor)
    )


def plan_grant(
    allowance: Allowance,
    need: int,
    budget: BudgetView,
    horizon_s: float,
    now: float,
) -> GrantPlan:
    """Returns how many tokens to request when ``need`` more are required at once.

    The request covers the expected demand over the horizon, which becomes shorter
    as the budget runs out. It is at least ``need``, or 0 if ``need`` exceeds the
    remaining budget.

    >>> allowance = Allowance(now=0.0)
    >>> budget = BudgetView(prepaid=4000, left=1000, spent=0, vms=4)
    >>> plan_grant(allowance, 100, budget, horizon_s=4.0, now=0.0).tokens
    100
    >>> plan_grant(allowance, 1001, budget, horizon_s=4.0, now=0.0).tokens
    0
    """
    if need > budget.left:
        return GrantPlan(0)
    in_advance = target_free_tokens(allowance, budget, horizon_s, now) - max(
        0, allowance.free
    )
    return GrantPlan(min(budget.left, max(0, need, need + in_advance)))
