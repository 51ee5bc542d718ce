"""Transfers tokens between budget rows and grant rows in the table service."""

from verbenagrade.coordination.codec import decode_row, encode_row
from verbenagrade.coordination.commits import Decision, commit
from verbenagrade.coordination.ports import Row, Table, Write
from verbenagrade.exceptions import NotFoundError
from verbenagrade.state.budgets import (
    Adjusted,
    Adjustment,
    BudgetRow,
    GrantRow,
    adjust,
)
from verbenagrade.state.identity import GrantId

__all__ = ["adjust_grant", "budget_key", "read_budget"]


def budget_key(budget: str) -> str:
    """Returns the key of a budget's row."""
    return f"budget/{budget}"


async def read_budget(table: Table, budget: str) -> BudgetRow | None:
    """Returns the row of a budget, or ``None`` if there is no such budget.

    Raises ``PlatformError`` if the table is unavailable.
    """
    (row,) = await table.read((budget_key(budget),))
    return decode_row(row.value, BudgetRow) if row else None


async def adjust_grant(
    table: Table, grant: GrantId, adjustment: Adjustment
) -> Adjusted:
    """Settles tokens of one grant, and grants or returns tokens, in one transaction.

    The row of a grant is deleted if no unspent tokens are left after the adjustment.
    Raises ``NotFoundError`` if the budget does not exist, and ``PlatformError`` if the
    table is unavailable. The same adjustment may then be retried, because its operation
    number makes it idempotent.
    """
    keys = (budget_key(grant.budget), grant.key)

    def decide(rows: tuple[Row | None, ...]) -> Decision[Adjusted]:
        """Returns the adjusted rows, or the present ones if applied before."""
        budget = _budget_of(rows[0], grant)
        held = decode_row(rows[1].value, GrantRow) if rows[1] else None
        if held is None and adjustment.operation > 1:
            closed = GrantRow(adjustment.spent, adjustment.spent, adjustment.operation)
            return Decision(Adjusted(budget, closed))
        before = held or GrantRow()
        after = adjust(budget, before, adjustment)
        if after.grant == before:
            return Decision(after)
        if held is None and not after.grant.amount:
            return Decision(Adjusted(budget, GrantRow()))
        return Decision(after, _writes(keys, after))

    return await commit(table, keys, decide)


def _budget_of(row: Row | None, grant: GrantId) -> BudgetRow:
    if row is None:
        raise NotFoundError(
            f"budget {grant.budget} does not exist; apply a budget resource first"
        )
    return decode_row(row.value, BudgetRow)


def _writes(keys: tuple[str, str], after: Adjusted) -> tuple[Write, ...]:
    budget_write = Write(keys[0], encode_row(after.budget))
    finished = after.grant.unspent == 0
    grant_value = None if finished else encode_row(after.grant)
    return (budget_write, Write(keys[1], grant_value))
