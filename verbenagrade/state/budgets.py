"""Calculates the changes of budget rows and grant rows.

A budget row stores the prepaid tokens, the tokens settled as spent and the tokens
committed to open grants. The sum of spent and committed tokens never exceeds the
prepaid tokens. Every change is an ``Adjustment`` of one grant with an operation number,
so that a retry after a lost response is recognised and changes nothing.
"""

from dataclasses import dataclass, field, replace

from verbenagrade.state.demand import GrantPolicy

__all__ = ["Adjusted", "Adjustment", "BudgetRow", "GrantRow", "adjust", "retarget"]


@dataclass(frozen=True, slots=True)
class BudgetRow:
    """A budget as stored in the table service. All amounts are in tokens.

    ``target`` is the amount that the operator declared. When it is lowered,
    ``prepaid`` is lowered only to the sum of spent and committed tokens, and
    reaches ``target`` as grants are returned. Only ``workspace`` may use the
    budget. ``hold`` says how many tokens a holder may keep in advance.
    """

    prepaid: int
    target: int
    committed: int = 0
    spent: int = 0
    workspace: str = ""
    hold: GrantPolicy = field(default_factory=GrantPolicy)

    @property
    def available(self) -> int:
        """The tokens that can still be granted."""
        return max(0, self.prepaid - self.committed - self.spent)


@dataclass(frozen=True, slots=True)
class GrantRow:
    """A grant as stored in the table service.

    ``amount`` and ``spent`` are running totals in tokens. ``operation`` is the
    number of the last adjustment. ``journal`` names the instance whose journal
    contains the bills; all bills in its batches below ``journal_from`` are
    included in ``spent``. The holder of a ``solo`` grant also reserved tokens for
    requests of its own without a witness, so that no other instance knows these
    reservations if the holder is lost.
    """

    amount: int = 0
    spent: int = 0
    operation: int = 0
    journal: str = ""
    journal_from: int = 0
    solo: bool = False

    @property
    def unspent(self) -> int:
        """The tokens that are granted and not yet settled as spent."""
        return self.amount - self.spent


@dataclass(frozen=True, slots=True)
class Adjustment:
    """A change of one grant that its holder requests from the table.

    ``spent`` is the new running total of spent tokens. The holder cannot return the
    ``keep`` unspent tokens that are reserved or not durably billed. It requires
    ``need`` unspent tokens; if fewer are available, it is granted none. It requests
    ``desired`` unspent tokens, but beyond ``need`` it gets at most the fraction
    ``share`` of its own and the available tokens.
    """

    operation: int
    spent: int
    keep: int
    need: int
    desired: int
    share: float
    journal: str = ""
    journal_from: int = 0
    solo: bool = False


@dataclass(frozen=True, slots=True)
class Adjusted:
    """The budget row and the grant row after an adjustment."""

    budget: BudgetRow
    grant: GrantRow


def retarget(budget: BudgetRow, target: int) -> BudgetRow:
    """Sets the target of a budget, in tokens.

    A target below the sum of committed and spent tokens takes full effect only
    when enough grants have been returned.

    >>> retarget(BudgetRow(100, 100, committed=60, spent=10), 50).prepaid
    70
    """
    floor = budget.committed + budget.spent
    return replace(budget, target=target, prepaid=max(target, floor))


def adjust(budget: BudgetRow, grant: GrantRow, adjustment: Adjustment) -> Adjusted:
    """Settles spent tokens and grants or returns tokens, in one step.

    Returns both rows unchanged if the operation number was applied before. An
    adjustment that changes nothing does not use up its operation number.

    >>> done = adjust(BudgetRow(100, 100), GrantRow(),
    ...     Adjustment(1, spent=0, keep=0, need=10, desired=80, share=0.5))
    >>> done.grant.amount, done.budget.available
    (50, 50)
    """
    if adjustment.operation <= grant.operation:
        return Adjusted(budget, grant)
    newly_spent = adjustment.spent - grant.spent
    settled = replace(
        budget,
        spent=budget.spent + newly_spent,
        committed=budget.committed - newly_spent,
    )
    unspent = grant.amount - adjustment.spent
    change = _amount_change(settled, unspent, adjustment)
    if not newly_spent and not change and _keeps_journal_and_solo(grant, adjustment):
        return Adjusted(budget, grant)
    updated = replace(settled, committed=settled.committed + change)
    new_grant = GrantRow(
        amount=grant.amount + change,
        spent=adjustment.spent,
        operation=adjustment.operation,
        journal=adjustment.journal,
        journal_from=adjustment.journal_from,
        solo=grant.solo or adjustment.solo,
    )
    return Adjusted(retarget(updated, updated.target), new_grant)


def _keeps_journal_and_solo(grant: GrantRow, adjustment: Adjustment) -> bool:
    return grant.journal == adjustment.journal and (grant.solo or not adjustment.solo)


def _amount_change(budget: BudgetRow, unspent: int, adjustment: Adjustment) -> int:
    """Returns the tokens to grant, negative for tokens to return."""
    headroom = max(0, budget.target - budget.committed - budget.spent)
    if unspent > adjustment.desired:
        floor = max(adjustment.keep, adjustment.desired)
        return min(0, floor - unspent)
    required_change = max(0, adjustment.need - unspent)
    if required_change > headroom:
        return 0
    share_limit = int((headroom + unspent) * adjustment.share)
    desired_change = min(share_limit, adjustment.desired) - unspent
    return max(required_change, desired_change, 0)
