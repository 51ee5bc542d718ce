"""The arithmetic of budget rows and grant rows.

A budget row holds what was prepaid, what has been settled as spent and what is
committed to open grants. The sum of the last two never exceeds the first. Every
change is an ``Adjustment`` of one grant, and each carries an operation number,
so that a retry after a lost answer finds its own work and changes nothing.
"""

from dataclasses import dataclass, field, replace

from verbenagrade.state.demand import HoldPolicy

__all__ = ["Adjusted", "Adjustment", "BudgetRow", "GrantRow", "adjust", "retarget"]


@dataclass(frozen=True, slots=True)
class BudgetRow:
    """A budget as the table service keeps it. All amounts are tokens.

    ``target`` is what the operator declared. ``prepaid`` follows a cut only as
    far as grants already made allow, and catches up as they come back. Only
    ``workspace`` may draw on it.
    """

    prepaid: int
    target: int
    committed: int = 0
    spent: int = 0
    workspace: str = ""
    hold: HoldPolicy = field(default_factory=HoldPolicy)

    @property
    def available(self) -> int:
        """The tokens that can still be granted."""
        return max(0, self.prepaid - self.committed - self.spent)


@dataclass(frozen=True, slots=True)
class GrantRow:
    """A grant as the table service keeps it.

    ``amount`` and ``spent`` are running totals in tokens. ``operation`` is the
    number of the last adjustment. ``journal`` names the instance whose journal
    has the bills; its batches below ``journal_from`` hold none that is missing
    from ``spent``. A ``solo`` grant was also spent by its holder itself, so
    that nobody else can vouch for what is left when the holder is lost.
    """

    amount: int = 0
    spent: int = 0
    operation: int = 0
    journal: str = ""
    journal_from: int = 0
    solo: bool = False

    @property
    def unspent(self) -> int:
        """The tokens granted and not yet settled as spent."""
        return self.amount - self.spent


@dataclass(frozen=True, slots=True)
class Adjustment:
    """What a holder asks of the table for one grant.

    ``spent`` is the new running total. The holder cannot return the ``keep``
    tokens that are reserved. It needs ``need`` unspent tokens at once, or nothing,
    and wishes for ``wish``, but no more than ``share`` of what it has and what is
    available.
    """

    operation: int
    spent: int
    keep: int
    need: int
    wish: int
    share: float
    journal: str = ""
    journal_from: int = 0
    solo: bool = False


@dataclass(frozen=True, slots=True)
class Adjusted:
    """The two rows after an adjustment."""

    budget: BudgetRow
    grant: GrantRow


def retarget(budget: BudgetRow, target: int) -> BudgetRow:
    """Raises or cuts a budget.

    A cut below what is committed and spent takes effect as grants come back.

    >>> retarget(BudgetRow(100, 100, committed=60, spent=10), 50).prepaid
    70
    """
    floor = budget.committed + budget.spent
    return replace(budget, target=target, prepaid=max(target, floor))


def adjust(budget: BudgetRow, grant: GrantRow, order: Adjustment) -> Adjusted:
    """Settles, draws and returns in one step.

    An order that changes nothing leaves its number unused.

    >>> done = adjust(BudgetRow(100, 100), GrantRow(),
    ...     Adjustment(1, spent=0, keep=0, need=10, wish=80, share=0.5))
    >>> done.grant.amount, done.budget.available
    (50, 50)
    """
    if order.operation <= grant.operation:
        return Adjusted(budget, grant)
    newly_spent = order.spent - grant.spent
    settled = replace(
        budget,
        spent=budget.spent + newly_spent,
        committed=budget.committed - newly_spent,
    )
    unspent = grant.amount - order.spent
    change = _change_of_holding(settled, unspent, order)
    if not newly_spent and not change and _is_kept_by(grant, order):
        return Adjusted(budget, grant)
    moved = replace(settled, committed=settled.committed + change)
    new_grant = GrantRow(
        amount=grant.amount + change,
        spent=order.spent,
        operation=order.operation,
        journal=order.journal,
        journal_from=order.journal_from,
        solo=grant.solo or order.solo,
    )
    return Adjusted(retarget(moved, moved.target), new_grant)


def _is_kept_by(grant: GrantRow, order: Adjustment) -> bool:
    return grant.journal == order.journal and (grant.solo or not order.solo)


def _change_of_holding(budget: BudgetRow, unspent: int, order: Adjustment) -> int:
    """Returns the tokens to draw, or to give back where negative."""
    headroom = max(0, budget.target - budget.committed - budget.spent)
    if unspent > order.wish:
        floor = max(order.keep, order.wish)
        return min(0, floor - unspent)
    missing = max(0, order.need - unspent)
    if missing > headroom:
        return 0
    fair = int((headroom + unspent) * order.share)
    comfortable = min(fair, order.wish) - unspent
    return max(missing, comfortable, 0)
