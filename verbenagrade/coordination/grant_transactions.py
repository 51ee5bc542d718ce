"""Transfers tokens between the shards of a budget and one VM.

The table ``grants`` has a partition for each workspace. It contains a row for each
shard of the prepaid budget, with the sum of the tokens granted from it, and a row for
each VM. A transaction changes the rows of shards and VM together, so that the sum of
all grants never exceeds the prepaid amount, whichever response is lost. If the row of a
VM was written by an earlier incarnation, all tokens granted to that incarnation count
as spent, because it is unknown how many of them it used.
"""

from collections.abc import Callable, Mapping
from dataclasses import replace

from verbenagrade.coordination.accounts import (
    BudgetAccount,
    CachedRow,
    apply_confirmed_grant,
    decode_cached_row,
    log_grant_adjusted,
)
from verbenagrade.coordination.ports import Check, CommitResult, PlatformStore, Write

__all__ = ["GrantTransactions"]


class GrantTransactions:
    """Runs the transactions on the ``grants`` table for one incarnation of a VM.

    ``clock`` returns the time in seconds.
    """

    def __init__(
        self, table: PlatformStore, incarnation: str, clock: Callable[[], float]
    ) -> None:
        self.table = table
        self.incarnation = incarnation
        self.clock = clock

    async def transfer(self, account: BudgetAccount, need: int, tokens: int) -> bool:
        """Transfers tokens from shards to this VM, or back if ``tokens`` is negative.

        At least ``need`` of the tokens have to be available. Returns false if they
        are not, or if the rows have changed since they were read; the account is
        then updated from the present rows. Raises ``PlatformError`` if the store
        does not respond.
        """
        transfers = account.transfers(need, tokens)
        if not transfers:
            return False
        tokens = sum(transfer.tokens for transfer in transfers)
        spent = account.allowance.spent - account.own.spent
        own = account.own.with_transfer(tokens, spent)
        shards: dict[int, CachedRow] = {}
        unreported = spent + account.own.lost
        for transfer in transfers:
            shards[transfer.shard] = account.shards[transfer.shard].with_transfer(
                transfer.tokens, unreported
            )
            unreported = 0
        checks = (
            *(Check(account.shard_key(p), account.shards[p].version) for p in shards),
            Check(account.own_key, account.own.version),
        )
        writes = (
            *(Write(account.shard_key(p), row.encode()) for p, row in shards.items()),
            Write(account.own_key, own.encode(self.incarnation)),
        )
        account.must_reload = True
        pending_return, account.pending_return = (
            account.pending_return,
            max(account.pending_return, -tokens),
        )
        commit = await self.table.commit(checks, writes)
        account.pending_return = pending_return
        account.must_reload = False
        self._apply_response(account, commit, shards, own)
        log_grant_adjusted(account, tokens, commit.committed)
        return commit.committed

    def _apply_response(
        self,
        account: BudgetAccount,
        commit: CommitResult,
        shards: Mapping[int, CachedRow],
        own: CachedRow,
    ) -> None:
        """Updates the account from the response to a transaction.

        After either outcome the present rows and their versions are known.
        """
        if commit.committed:
            for shard, row in shards.items():
                account.shards[shard] = replace(row, version=commit.version)
            account.update_own(replace(own, version=commit.version))
        else:
            rows = {row.key: row for row in commit.rows}
            account.update_shards(commit.rows)
            account.update_own(
                decode_cached_row(rows.get(account.own_key), self.incarnation)
            )
        apply_confirmed_grant(account)

    async def refresh(self, account: BudgetAccount) -> None:
        """Reads the shards, and this VM's row if a response was lost.

        Before the first grant the VM's row is assumed to be absent; if it exists,
        the first transaction fails with a conflict that returns it. If the row is
        unchanged after a lost response, the transaction may still be committed
        later. Raises ``PlatformError`` if the store does not respond.
        """
        account.update_shards(await self.table.scan(account.shards_prefix))
        if account.must_reload:
            (own,) = await self.table.read((account.own_key,))
            account.update_own(decode_cached_row(own, self.incarnation))
        account.is_loaded = True
        account.shards_read_at = self.clock()
        apply_confirmed_grant(account)
        account.must_reload = False
