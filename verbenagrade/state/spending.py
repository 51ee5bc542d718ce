"""Bounds what a VM can have spent since it last reported to the store.

What a lost VM held is lost to its workspaces, unless the VM that takes its place knows
how much of it can't have been spent. Each VM therefore reports what it has spent, and
binds itself: some of its free tokens can be reserved at once, and the rest only as time
passes without a newer report. While the store responds, reports are frequent and the
limit is seldom felt. During an outage the limit rises until all tokens can be reserved.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from verbenagrade.state.allowance import Allowance
from verbenagrade.state.decoding import Count, Number, Seconds

__all__ = [
    "ClosedBudget",
    "ClosedSpending",
    "ReportedBudget",
    "SpendingReport",
    "report_budget",
    "spendable_since",
    "spent_at_most",
]

AT_ONCE_FRACTION = 0.35
AT_ONCE_IDLE_FRACTION = 0.1
AT_ONCE_DEMAND_S = 3.0
"""A VM may reserve at once after a report the demand of so many seconds, but at least
the smaller and at most the larger of these fractions of its free tokens."""

SMALL_GRANT_FRACTION = 1 / 400
"""Free tokens up to this fraction of the prepaid tokens may all be reserved at once.
Their loss matters little, and a report for each call would delay the calls."""

RELEASE_BEGINS_S = 2.2
"""Time since a report after which more tokens can be reserved, in seconds. A process
that replaces a lost one starts about 2 s after the last report of the latter."""

RELEASE_DEMAND_FACTOR = 2.0
MIN_RELEASE_PER_S = 0.1
"""From then on as much is released each second as this multiple of the demand, but at
least this fraction of the free tokens."""


@dataclass(frozen=True, slots=True)
class ReportedBudget:
    """What a VM reports about one budget, in tokens.

    ``committed`` tokens were spent or reserved. Of the ``free`` ones, ``at_once`` may
    be reserved without a newer report, and after ``RELEASE_BEGINS_S`` another ``per_s``
    in each second. So may those that are granted later, beyond the ``granted`` ones.
    """

    committed: Count
    free: Count
    at_once: Count
    per_s: Count
    granted: Number


@dataclass(frozen=True, slots=True)
class ClosedBudget:
    """What an incarnation that has ended spent at most of one budget, in tokens.

    This is ``spent`` while it was granted ``granted``, and more if it was granted more.
    """

    spent: Count
    granted: Number

    def spent_at_most(self, granted: int) -> int:
        """Returns the most that was spent if ``granted`` tokens were granted.

        >>> budget = ClosedBudget(spent=300, granted=500)
        >>> [budget.spent_at_most(granted) for granted in (200, 400, 550)]
        [200, 300, 350]
        """
        return min(granted, self.spent + max(0, granted - self.granted))


@dataclass(frozen=True, slots=True)
class ClosedSpending:
    """What an incarnation that has ended spent at most, by workspace."""

    incarnation: str
    budgets: Mapping[str, ClosedBudget]


@dataclass(frozen=True, slots=True)
class SpendingReport:
    """The stored value of a VM's report of its spending.

    ``address`` is the one that the VM serves at. ``reported_at_s`` is a time of the
    store that was not later than the report, in seconds. ``budgets`` maps workspaces
    to what was reported; a workspace that is not in it is not bound by the report.
    ``closed`` are the earlier incarnations of the VM whose grants may not have been
    returned yet, the latest one first.
    """

    incarnation: str
    address: str
    reported_at_s: Seconds
    budgets: Mapping[str, ReportedBudget] = field(default_factory=dict)
    closed: tuple[ClosedSpending, ...] = ()


def report_budget(allowance: Allowance, prepaid: int, now: float) -> ReportedBudget:
    """Returns what to report about a budget; ``now`` is in seconds.

    >>> allowance = Allowance(now=0.0)
    >>> allowance.granted, allowance.spent = 1500, 500
    >>> report_budget(allowance, prepaid=40_000, now=0.0)
    ReportedBudget(committed=500, free=1000, at_once=100, per_s=100, granted=1500)
    >>> allowance.record_demand(4000, now=0.0)
    >>> report_budget(allowance, prepaid=40_000, now=0.0)
    ReportedBudget(committed=500, free=1000, at_once=350, per_s=2426, granted=1500)
    """
    free = max(0, allowance.free)
    small = min(free, prepaid * SMALL_GRANT_FRACTION)
    demand = allowance.demand_at(now)
    expected = max(free * AT_ONCE_IDLE_FRACTION, demand * AT_ONCE_DEMAND_S)
    at_once = max(small, min(free * AT_ONCE_FRACTION, expected))
    per_s = max(free * MIN_RELEASE_PER_S, demand * RELEASE_DEMAND_FACTOR)
    return ReportedBudget(
        allowance.committed, free, int(at_once), int(per_s), allowance.granted
    )


def spendable_since(budget: ReportedBudget, elapsed_s: float) -> int:
    """Returns how many tokens can be reserved in the time since a report.

    It never falls as ``elapsed_s``, in seconds, rises.

    >>> budget = ReportedBudget(
    ...     committed=500, free=1000, at_once=200, per_s=300, granted=1500
    ... )
    >>> [spendable_since(budget, seconds) for seconds in (0.5, 3.2, 7.0)]
    [200, 500, 1000]
    """
    released = budget.per_s * max(0.0, elapsed_s - RELEASE_BEGINS_S)
    return min(budget.free, budget.at_once + int(released))


def spent_at_most(report: SpendingReport, now_s: float) -> ClosedSpending:
    """Returns the most that the VM of a report can have spent until ``now_s``.

    ``now_s`` is a time of the store, in seconds, at which the VM had ended.
    """
    elapsed_s = max(0.0, now_s - report.reported_at_s)
    budgets = {
        workspace: ClosedBudget(
            budget.committed + spendable_since(budget, elapsed_s), budget.granted
        )
        for workspace, budget in report.budgets.items()
    }
    return ClosedSpending(report.incarnation, budgets)
