"""Restores the budgets of a VM after the store came back from an older copy."""

import asyncio
import random
from collections.abc import Iterable, Mapping
from itertools import islice

from verbenagrade.coordination.accounts import BudgetAccount
from verbenagrade.coordination.grant_transactions import GrantTransactions
from verbenagrade.state.shards import ShardState

__all__ = ["restore_budgets", "restored_era", "unrestored_states"]

MAX_CONCURRENT_RESTORATIONS = 8
"""Maximum number of budgets that a VM restores at a time, so that the calls of all VMs
do not meet at the store in one moment."""


async def restore_budgets(
    accounts: Iterable[BudgetAccount],
    transactions: GrantTransactions,
    rng: random.Random,
) -> None:
    """Writes what is known of budgets from before the change of the era.

    The order is random, so that VMs seldom restore the same budget at the same time.
    Ends early if the store does not respond. Budgets of which neither this VM nor one
    that told it knows anything are read when they are first used.
    """
    due = [account for account in accounts if _knows_earlier_states(account)]
    rng.shuffle(due)
    remaining = iter(due)
    while batch := tuple(islice(remaining, MAX_CONCURRENT_RESTORATIONS)):
        await asyncio.gather(*map(transactions.restore_if_due, batch))
        if all(account.must_restore for account in batch):
            return


def unrestored_states(
    accounts: Mapping[str, BudgetAccount], workspaces: Iterable[str]
) -> dict[str, dict[int, ShardState]]:
    """Returns what this VM knows of some budgets and the store may have lost."""
    return {
        name: accounts[name].known_states
        for name in workspaces
        if name in accounts and accounts[name].known_states
    }


def restored_era(accounts: Iterable[BudgetAccount], era: int) -> int:
    """Returns the last era of the store that contains all that this VM knows.

    ``era`` is the present one.
    """
    return era - 1 if any(account.known_states for account in accounts) else era


def _knows_earlier_states(account: BudgetAccount) -> bool:
    return account.must_restore and bool(account.known_states or account.told_states)
