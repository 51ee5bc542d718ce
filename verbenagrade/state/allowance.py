"""What one VM may spend of a workspace's prepaid tokens.

The store keeps how much each VM was ever granted. A VM spends only what the
store has confirmed, so that whatever is lost, the sum stays within what was
prepaid. A grant whose confirmation was lost counts once it is read back.
"""

import math
from dataclasses import dataclass

__all__ = ["Allowance", "BudgetView", "GrantPlan", "kept_free", "plan_grant"]

DEMAND_WINDOW_S = 10.0
"""Time constant of the demand estimate, in seconds: short, since prepaid days
last from seconds to minutes."""

YOUNGEST_S = 4.0
"""Least time over which demand is averaged, so that one call is no trend."""

KEPT_PART = 0.33
"""Part of what is left of a budget that one VM keeps free at most. Callers of a
workspace may all come to one VM, so that its demand counts, not an even share.
What a lost VM kept is lost to the workspace, and grants shrink with the rest."""

HORIZON_POWER = 2.5
"""How fast the horizon shrinks with the part of a budget that is not spent. What a
lost VM kept is lost to the workspace, which matters ever more towards the end."""

FLOOR_PART = 2.5
"""Divides a VM's even share of what is left into what it keeps free at least, in
case the store is away when demand begins; it shrinks like the horizon."""

PLENTY = 0.5
"""Part of what was prepaid that must be left for a VM to keep a floor before
there is any demand."""


@dataclass(frozen=True, slots=True)
class GrantPlan:
    """How many tokens to ask for, 0 if none are needed or to be had."""

    tokens: int


@dataclass(frozen=True, slots=True)
class BudgetView:
    """A workspace's budget: what was prepaid, what of it is not granted to any
    VM, what is known to be spent, and how many VMs share it."""

    prepaid: int
    left: int
    spent: int
    vms: int


class Allowance:
    """Tokens granted to this VM, spent and reserved, for one workspace."""

    def __init__(self, now: float) -> None:
        self.granted = 0
        self.spent = 0
        self.reserved = 0
        self.wanted = 0.0
        self.noted = now
        self.first: float | None = None

    @property
    def free(self) -> int:
        """Tokens that a new call may reserve."""
        return self.granted - self.spent - self.reserved

    def reserve(self, bound: int) -> bool:
        """Sets the bound of a call aside; returns false if it doesn't fit."""
        if bound > self.free:
            return False
        self.reserved += bound
        return True

    def settle(self, bound: int, used: int) -> None:
        """Ends a reservation and counts what the call used of it."""
        self.reserved -= bound
        self.spent += used
        self.wanted = max(0.0, self.wanted - (bound - used))

    def note_demand(self, bound: int, now: float) -> None:
        """Counts a call that asks for tokens, until it is known what it used."""
        self.wanted = self._wanted_at(now) + bound
        self.noted = now
        if self.first is None:
            self.first = now

    def demand_at(self, now: float) -> float:
        """Returns the recent demand, in tokens a second.

        While there was demand for less than the window, it is taken over the
        time since it began.
        """
        if self.first is None:
            return 0.0
        age = max(YOUNGEST_S, now - self.first)
        seen_s = DEMAND_WINDOW_S * (1.0 - math.exp(-age / DEMAND_WINDOW_S))
        return self._wanted_at(now) / seen_s

    def _wanted_at(self, now: float) -> float:
        elapsed = max(0.0, now - self.noted)
        return self.wanted * math.exp(-elapsed / DEMAND_WINDOW_S)


def kept_free(
    allowance: Allowance, budget: BudgetView, horizon_s: float, now: float
) -> int:
    """Returns how many free tokens a VM keeps for the calls to come."""
    demand = allowance.demand_at(now)
    if demand <= 0 and budget.left < PLENTY * budget.prepaid:
        return 0
    left = max(0, budget.left)
    unspent = max(0, budget.prepaid - budget.spent)
    ease = (unspent / max(1, budget.prepaid)) ** HORIZON_POWER
    floor = ease * left / max(1, budget.vms) / FLOOR_PART
    return int(max(min(demand * horizon_s * ease, left * KEPT_PART), floor))


def plan_grant(
    allowance: Allowance,
    need: int,
    budget: BudgetView,
    horizon_s: float,
    now: float,
) -> GrantPlan:
    """Returns how many tokens to ask for when ``need`` more are wanted.

    The grant covers the demand of the horizon, less where the budget nears its
    end, and never less than the need unless that doesn't fit.

    >>> allowance = Allowance(now=0.0)
    >>> budget = BudgetView(prepaid=4000, left=1000, spent=0, vms=4)
    >>> plan_grant(allowance, 100, budget, horizon_s=4.0, now=0.0).tokens
    100
    >>> plan_grant(allowance, 1001, budget, horizon_s=4.0, now=0.0).tokens
    0
    """
    if need > budget.left:
        return GrantPlan(0)
    ahead = kept_free(allowance, budget, horizon_s, now) - max(0, allowance.free)
    return GrantPlan(min(budget.left, max(0, need, need + ahead)))
