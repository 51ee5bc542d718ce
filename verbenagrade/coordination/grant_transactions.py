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
    log_grant_delayed,
    shards_prefix,
)
from verbenagrade.coordination.ports import (
    Check,
    CommitResult,
    PlatformStore,
    Row,
    Write,
)
from verbenagrade.coordination.spending_reports import SpendingReports
from verbenagrade.coordination.store_availability import StoreAvailability
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.shards import SHARD_COUNT, ShardState, latest_state

__all__ = ["MAX_TRANSACTIONS_PER_TRANSFER", "GrantTransactions"]

MAX_TRANSACTIONS_PER_TRANSFER = 8
"""Maximum number of transactions for one grant or return, which may conflict."""

SHARDS_FRESH_S = 0.5
"""Age in seconds above which the cached shards are read again before a transaction,
because other VMs have probably changed them. A read costs one call, as much as a
conflict, but refreshes all shards."""

MAX_RESTORE_TRANSACTIONS = 8
"""Maximum number of transactions to restore a budget, which may conflict."""

MAX_EARLIER_ERAS = 8
"""Number of earlier eras in which the rows of a budget are looked for."""


class GrantTransactions:
    """Runs the transactions on the ``grants`` table for one incarnation of a VM.

    ``clock`` returns the time in seconds. ``spending`` tells what earlier incarnations
    can have spent, ``None`` if that is not known.
    """

    def __init__(
        self,
        table: PlatformStore,
        incarnation: str,
        clock: Callable[[], float],
        spending: SpendingReports | None = None,
    ) -> None:
        self.table = table
        self.incarnation = incarnation
        self.clock = clock
        self.spending = spending

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
        unreported, returnable = spent + account.own.lost, account.own.returnable
        own = account.own.with_transfer(tokens, spent)
        shards: dict[int, CachedRow] = {}
        for transfer in transfers:
            shards[transfer.shard] = account.shards[transfer.shard].with_transfer(
                transfer.tokens - returnable, unreported
            )
            unreported = returnable = 0
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
            account.update_own(self._decode_own(account, rows.get(account.own_key)))
        apply_confirmed_grant(account)

    async def refresh(self, account: BudgetAccount) -> None:
        """Reads the shards, and this VM's row if a response was lost.

        Before the first grant the VM's row is assumed to be absent; if it exists,
        the first transaction fails with a conflict that returns it. If the row is
        unchanged after a lost response, the transaction may still be committed
        later. Raises ``PlatformError`` if the store does not respond.
        """
        if account.must_restore:
            await self.restore(account)
        else:
            account.update_shards(await self.table.scan(account.shards_prefix))
        if account.must_reload:
            (own,) = await self.table.read((account.own_key,))
            account.update_own(self._decode_own(account, own))
        account.is_loaded = True
        account.shards_read_at = self.clock()
        apply_confirmed_grant(account)
        account.must_reload = False

    def _decode_own(self, account: BudgetAccount, row: Row | None) -> CachedRow:
        """Decodes the row of this VM, which an earlier incarnation may have written."""
        spending = self.spending
        if spending is None:
            return decode_cached_row(row, self.incarnation)
        return decode_cached_row(
            row,
            self.incarnation,
            lambda earlier, tokens: spending.spent_at_most(
                earlier, account.workspace, tokens
            ),
        )

    async def return_earlier(self, account: BudgetAccount) -> bool:
        """Returns what an earlier incarnation of this VM held and can't have spent.

        Returns false if the rows have changed meanwhile. Raises ``PlatformError`` if
        the store does not respond.
        """
        account.must_reload = True
        await self.refresh(account)
        return not account.own.returnable or await self.transfer(account, 0, 0)

    def must_refresh(self, account: BudgetAccount) -> bool:
        """Returns whether the shards must be read before the next transaction."""
        if account.must_reload or account.must_restore or not account.is_loaded:
            return True
        return self.clock() - account.shards_read_at > SHARDS_FRESH_S

    async def refresh_if_stale(
        self, account: BudgetAccount, period_s: float, store: StoreAvailability
    ) -> None:
        """Reads the shards if the last read is longer ago and the account isn't in use.

        A failure is logged, and recorded in ``store``.
        """
        fresh = self.clock() - account.shards_read_at <= period_s
        if fresh or account.lock.locked():
            return
        account.shards_read_at = self.clock()
        async with account.lock:
            try:
                account.update_shards(await self.table.scan(account.shards_prefix))
            except PlatformError as error:
                log_grant_delayed(account, error)
                store.record_failure(error)

    async def take_rest(self, account: BudgetAccount) -> None:
        """Obtains what the store has left of a budget, which is too little for a call.

        Together with the free tokens of other holders it may be enough.
        """
        left = account.prepaid - account.granted
        if left > 0:
            await self.transfer(account, left, left)

    async def restore_if_due(self, account: BudgetAccount) -> None:
        """Restores a budget after a change of the era, unless it is in use now.

        If the store does not respond, the failure is logged.
        """
        if not account.must_restore or account.lock.locked():
            return
        async with account.lock:
            try:
                await self.refresh(account)
            except PlatformError as error:
                log_grant_delayed(account, error)

    async def restore(self, account: BudgetAccount) -> None:
        """Writes into this era what is known of the shards in earlier ones.

        Each shard ends up in the latest state that the copy, this VM or one that told
        it has of it. Raises ``PlatformError`` if the store does not respond, or if
        other VMs restore the same budget again and again at the same time.
        """
        account.update_shards(await self.table.scan(account.shards_prefix))
        present = dict(enumerate(account.shards))
        if not any(row.version for row in account.shards):
            present |= await self._read_earlier_rows(account)
        changed = _missing_in(account, present)
        for _ in range(MAX_RESTORE_TRANSACTIONS):
            if not changed or await self._write_shards(account, changed):
                break
            changed = _missing_in(account, dict(enumerate(account.shards)))
        else:
            raise PlatformError(
                f"{account.workspace}: restored by other VMs too; read again"
            )
        account.is_restored |= any(row.origin for row in account.shards)
        account.is_unrestored = False
        account.known_states = {}
        account.told_states = _not_contained(account)
        log_event(
            Event.BUDGET_RESTORED,
            workspace=account.workspace,
            era=account.era,
            shards=len(changed),
            granted=account.granted,
        )

    async def _read_earlier_rows(self, account: BudgetAccount) -> dict[int, CachedRow]:
        """Returns the rows of the latest earlier era in which the budget has any."""
        earliest = max(0, account.era - MAX_EARLIER_ERAS)
        for era in (*range(account.era - 1, max(0, earliest - 1), -1), 0):
            prefix = shards_prefix(account.workspace, era)
            rows = {row.key: row for row in await self.table.scan(prefix)}
            found = {
                shard: _first_row(rows[key], era)
                for shard in range(SHARD_COUNT)
                if (key := f"{prefix}{shard}") in rows
            }
            if found:
                return found
        return {}

    async def _write_shards(
        self, account: BudgetAccount, rows: Mapping[int, CachedRow]
    ) -> bool:
        """Writes shards; if others have changed them, returns false and updates them.

        A conflict returns the present rows, so that they need not be read again.
        """
        checks = tuple(
            Check(account.shard_key(shard), account.shards[shard].version)
            for shard in rows
        )
        writes = tuple(
            Write(account.shard_key(shard), row.encode()) for shard, row in rows.items()
        )
        commit = await self.table.commit(checks, writes)
        if not commit.committed:
            account.update_shards(commit.rows)
            return False
        for shard, row in rows.items():
            account.shards[shard] = replace(row, version=commit.version)
        return True


def _missing_in(
    account: BudgetAccount, present: Mapping[int, CachedRow]
) -> dict[int, CachedRow]:
    """Returns the shards whose rows lack what the copy or a VM knows of them."""
    sources = (account.known_states, account.told_states)
    restored = {
        shard: row.restored_from(
            latest_state(*(states.get(shard, ShardState()) for states in sources))
        )
        for shard, row in present.items()
    }
    return {
        shard: row for shard, row in restored.items() if row != account.shards[shard]
    }


def _not_contained(account: BudgetAccount) -> dict[int, ShardState]:
    """Returns the states that other VMs have told since the rows were written."""
    return {
        shard: state
        for shard, state in account.told_states.items()
        if account.shards[shard].restored_from(state) is not account.shards[shard]
    }


def _first_row(row: Row, era: int) -> CachedRow:
    """Returns the first row of a shard in a new era, from its row in an earlier one."""
    earlier = decode_cached_row(row, "")
    return replace(earlier, version=0, origin=earlier.state_in(era))
