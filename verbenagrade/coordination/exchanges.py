"""Moves tokens between the pots of a budget and one VM.

Each workspace has a part of the table ``grants`` with pots, each with the sum of
the grants from it, and one row for each VM. Pots and row change together in one
transaction, so that the sum never exceeds what was prepaid, whatever answer is
lost. An incarnation that finds the row of an earlier one counts what that one
held as spent: nobody knows how much of it was.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace

from verbenagrade.coordination.accounts import (
    Account,
    SeenRow,
    log_adjusted,
    seen_row,
    take_over,
)
from verbenagrade.coordination.ports import Check, Commit, SharedTable, Write

__all__ = ["Exchanges"]


class Exchanges:
    """Reads and writes the rows of all accounts of one incarnation."""

    def __init__(
        self, table: SharedTable, incarnation: str, clock: Callable[[], float]
    ) -> None:
        self.table = table
        self.incarnation = incarnation
        self.clock = clock

    async def move(self, account: Account, need: int, tokens: int) -> bool:
        """Moves tokens between pots and this VM; returns whether it did."""
        draws = account.draws(need, tokens)
        if not draws:
            return False
        tokens = sum(draw.tokens for draw in draws)
        spent = account.allowance.spent - account.own.spent
        own = account.own.moved(tokens, spent)
        pots: dict[int, SeenRow] = {}
        unreported = spent + account.own.lost
        for draw in draws:
            pots[draw.pot] = account.pots[draw.pot].moved(draw.tokens, unreported)
            unreported = 0
        checks = (
            *(Check(account.pot_key(p), account.pots[p].version) for p in pots),
            Check(account.own_key, account.own.version),
        )
        writes = (
            *(Write(account.pot_key(p), row.encoded()) for p, row in pots.items()),
            Write(account.own_key, own.encoded(self.incarnation)),
        )
        account.uncertain = True
        returning, account.returning = (
            account.returning,
            max(account.returning, -tokens),
        )
        commit = await self.table.commit(checks, writes)
        account.returning = returning
        account.uncertain = False
        self._apply(account, commit, pots, own)
        log_adjusted(account, tokens, commit.committed)
        return commit.committed

    def _apply(
        self,
        account: Account,
        commit: Commit,
        pots: Mapping[int, SeenRow],
        own: SeenRow,
    ) -> None:
        """Takes over a transaction's answer; either kind leaves no doubt."""
        if commit.committed:
            for pot, row in pots.items():
                account.pots[pot] = replace(row, version=commit.version)
            account.take_own(replace(own, version=commit.version))
        else:
            rows = {row.key: row for row in commit.rows}
            account.take_pots(commit.rows)
            account.take_own(seen_row(rows.get(account.own_key), self.incarnation))
        take_over(account)

    async def look(self, account: Account) -> None:
        """Reads the pots, and after an answer was lost this VM's row as well.

        Before the first grant the row is taken to be absent; a conflict tells if it
        isn't. Where it is unchanged after a lost answer, the transaction may still
        be committed.
        """
        account.take_pots(await self.table.scan(account.pots_key))
        if account.uncertain:
            (own,) = await self.table.read((account.own_key,))
            account.take_own(seen_row(own, self.incarnation))
        account.seen = True
        account.reviewed = self.clock()
        take_over(account)
        account.uncertain = False
