"""A VM's account of one prepaid budget: cached store rows and its allowance."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

import msgspec

from verbenagrade.coordination.ports import Row
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import (
    PlatformError,
    UndecodableError,
    UnreadableRowError,
)
from verbenagrade.state.allowance import Allowance, BudgetView
from verbenagrade.state.decoding import Number, decode_json
from verbenagrade.state.shards import (
    SHARD_COUNT,
    ShardState,
    ShardTransfer,
    choose_transfers,
    latest_state,
    shard_limit,
    shard_order,
)

__all__ = [
    "BudgetAccount",
    "CachedRow",
    "GrantRow",
    "apply_confirmed_grant",
    "decode_cached_row",
    "log_grant_adjusted",
    "log_grant_delayed",
    "log_grant_lost",
    "shards_prefix",
]


@dataclass(frozen=True, slots=True)
class GrantRow:
    """The stored value of a row of the table ``grants``.

    ``tokens`` is the number of tokens granted, ``spent`` the number of them known
    to be spent when the row was written. ``incarnation`` names the incarnation
    that holds the grant; it is empty in the row of a shard. ``origin`` is set in the
    row of a shard that was restored in a new era of the store.
    """

    tokens: Number
    spent: Number = 0
    incarnation: str = ""
    origin: ShardState | None = None


@dataclass(frozen=True, slots=True)
class CachedRow:
    """The version and value of a row as last read or written by this VM.

    ``lost`` and ``returnable`` divide the tokens of an earlier incarnation of this VM
    that its row does not show as spent. The former may be spent and count as such; the
    latter can't be, and go back to the budget. ``origin`` is that of ``GrantRow``.
    """

    version: int = 0
    tokens: int = 0
    spent: int = 0
    lost: int = 0
    returnable: int = 0
    origin: ShardState | None = None

    def with_transfer(self, tokens: int, spent: int) -> "CachedRow":
        """Returns the row with ``tokens`` more granted and ``spent`` more spent."""
        return CachedRow(
            self.version, self.tokens + tokens, self.spent + spent, origin=self.origin
        )

    def encode(self, incarnation: str = "") -> bytes:
        """Returns the value as encoded in the store."""
        return msgspec.json.encode(
            GrantRow(self.tokens, self.spent, incarnation, self.origin)
        )

    def state_in(self, era: int) -> ShardState:
        """Returns the state of a shard in an era, for its restoration in another."""
        return ShardState(era, self.version, self.tokens, self.spent)

    def restored_from(self, known: ShardState) -> "CachedRow":
        """Returns the row with what it misses of a later state of an earlier era.

        The row itself is returned if ``known`` is not later than its origin.
        """
        origin = self.origin or ShardState()
        if (known.era, known.version) <= (origin.era, origin.version):
            return self
        return replace(
            self,
            tokens=self.tokens + known.tokens - origin.tokens,
            spent=self.spent + known.spent - origin.spent,
            origin=known,
        )


class BudgetAccount:
    """This VM's state of one workspace's budget.

    It contains the last known rows of all ``shards`` and of this VM (``own``), and the
    local allowance. ``pending_return`` is the number of tokens in a return that may
    still be committed. ``must_reload`` is true if the rows must be read again because
    the response to a transaction was lost, and ``is_loaded`` once the shards have been
    read. ``shards_read_at`` is the time of the last read, in seconds. ``lock``
    serializes the transactions of this account.

    Each ``era`` of the store has rows of its own, so that a transaction of an earlier
    era which is committed late changes nothing. ``known_states`` are the latest states
    of the shards in earlier eras. ``is_unrestored`` is true until they are in the rows
    of this era, and ``is_restored`` if the budget had rows in an earlier era.
    ``told_states`` are later ones that other VMs know and have not restored, until
    they are in the rows, too. ``told_by`` are the VMs that were asked for theirs.
    """

    def __init__(self, workspace: str, vm: str, now: float, era: int) -> None:
        self.workspace = workspace
        self.vm = vm
        self.era = era
        self.known_states: dict[int, ShardState] = {}
        self.is_unrestored = era > 0
        self.is_restored = False
        self.told_states: dict[int, ShardState] = {}
        self.told_by: set[str] = set()
        self.allowance = Allowance(now)
        self.shard_order = shard_order(workspace, vm)
        self.shards = [CachedRow() for _ in range(SHARD_COUNT)]
        self.own = CachedRow()
        self.pending_return = 0
        self.must_reload = False
        self.is_loaded = False
        self.shards_read_at = now
        self.prepaid = 0
        self.lock = asyncio.Lock()

    @property
    def shards_prefix(self) -> str:
        """The prefix of the keys of the shards in this era of the store."""
        return shards_prefix(self.workspace, self.era)

    @property
    def own_key(self) -> str:
        """The key of the row of this VM in this era of the store."""
        return f"{_budget_prefix(self.workspace, self.era)}vm/{self.vm}"

    @property
    def must_restore(self) -> bool:
        """Whether states of earlier eras are still to be written into this one."""
        return self.is_unrestored or bool(self.told_states)

    def learn_states(self, vm: str, states: Mapping[int, ShardState]) -> None:
        """Learns what another VM knows of the shards in earlier eras."""
        self.told_by.add(vm)
        for shard, state in states.items():
            if shard not in range(SHARD_COUNT) or state.era >= self.era:
                continue
            known = self.told_states.get(shard, ShardState())
            self.told_states[shard] = latest_state(known, state)

    def enter_era(self, era: int) -> None:
        """Moves on to the rows of a later era of the store.

        The tokens of this VM stay granted. Those in a return that may have been
        committed count as returned, and those of a grant without a confirmation as
        not granted. Other VMs are asked again for what they know.
        """
        if not self.is_unrestored:
            self.known_states = {
                shard: row.state_in(self.era)
                for shard, row in enumerate(self.shards)
                if row.version
            }
        self.era = era
        self.shards = [CachedRow() for _ in range(SHARD_COUNT)]
        tokens = self.own.tokens - self.pending_return
        lost = self.own.lost + self.own.returnable
        self.own = CachedRow(0, tokens, self.own.spent, lost)
        self.pending_return = 0
        self.must_reload = False
        self.is_loaded = False
        self.is_unrestored = True
        self.is_restored = True
        self.told_states = {}
        self.told_by = set()

    @property
    def granted(self) -> int:
        """Tokens granted to all VMs, according to the cached shard rows."""
        return sum(shard.tokens for shard in self.shards)

    @property
    def spent(self) -> int:
        """Tokens known to be spent by all VMs, according to the cached shard rows."""
        return sum(shard.spent for shard in self.shards)

    def view(self, free: int, vms: int) -> BudgetView:
        """Returns a view of the budget that counts ``free`` tokens here as left."""
        spent = self.spent + self.allowance.spent - self.own.spent
        left = self.prepaid - self.granted + free
        return BudgetView(self.prepaid, left, spent, vms)

    def is_settling(self, settled_at: float, now: float) -> bool:
        """Returns whether other VMs may still have to restore their grants.

        They have until ``settled_at``. Both times are in seconds.
        """
        return self.must_restore or (self.is_restored and now < settled_at)

    def shard_key(self, shard: int) -> str:
        """Returns the key of the row of a shard."""
        return f"{self.shards_prefix}{shard}"

    def update_shards(self, rows: Iterable[Row]) -> None:
        """Updates the cached shards from their rows among ``rows``."""
        by_key = {row.key: row for row in rows}
        for shard in range(SHARD_COUNT):
            row = by_key.get(self.shard_key(shard))
            if row is not None:
                self.shards[shard] = decode_cached_row(row, "")

    def update_own(self, row: CachedRow) -> None:
        """Updates the cached row of this VM.

        Every transaction checks the version of this row. Once the version has changed,
        a return whose response was lost can no longer be committed, so its tokens are
        no longer deducted from the allowance.
        """
        if row.version != self.own.version:
            self.pending_return = 0
            if row.lost or row.returnable:
                log_grant_lost(self, row)
        elif row.version == 0:
            # Not written in this era yet; the tokens were granted in an earlier one.
            return
        self.own = row

    def transfers(self, need: int, desired: int) -> tuple[ShardTransfer, ...]:
        """Chooses the shards for a grant of ``desired`` tokens, at least ``need``.

        A negative ``desired`` returns tokens; all of them go to the first shard in the
        order of this VM, as do those of an earlier incarnation.
        """
        if desired < 0 or (desired == 0 and self.own.returnable):
            return (ShardTransfer(self.shard_order[0], desired),)
        left = {
            shard: shard_limit(self.prepaid, shard) - row.tokens
            for shard, row in enumerate(self.shards)
        }
        return choose_transfers(left, self.shard_order, need, desired)


def apply_confirmed_grant(account: BudgetAccount) -> None:
    """Sets the allowance to the grant that the store has confirmed.

    Tokens in a return that may still be committed are not counted. If ``prepaid``
    was lowered below the sum of all grants, the allowance is capped at the tokens
    already spent or reserved, so that nothing new is reserved until the sum is
    within ``prepaid`` again.
    """
    allowance = account.allowance
    in_use = allowance.spent + allowance.reserved
    allowance.granted = account.own.tokens - account.pending_return
    if account.granted > account.prepaid:
        allowance.granted = min(allowance.granted, in_use)


def decode_cached_row(
    row: Row | None,
    incarnation: str,
    spent_at_most: Callable[[str, int], int | None] = lambda _incarnation, _tokens: (
        None
    ),
) -> CachedRow:
    """Decodes a row of the store; ``None`` stands for an absent row.

    If another incarnation wrote the row, ``spent_at_most`` tells how many of its tokens
    that one can have spent, ``None`` if it may have spent all. Raises
    ``UnreadableRowError`` if the value is not that of a grant.
    """
    if row is None:
        return CachedRow()
    try:
        value = decode_json(row.value, GrantRow)
    except UndecodableError as error:
        raise UnreadableRowError(
            f"row {row.key} can't be read ({error}); correct or remove it"
        ) from error
    if value.incarnation != incarnation:
        bound = spent_at_most(value.incarnation, value.tokens)
        spent = value.tokens if bound is None else min(value.tokens, bound)
        spent = max(spent, value.spent)
        return CachedRow(
            row.version, lost=spent - value.spent, returnable=value.tokens - spent
        )
    return CachedRow(row.version, value.tokens, value.spent, origin=value.origin)


def shards_prefix(workspace: str, era: int) -> str:
    """Returns the prefix of the keys of a budget's shards in an era of the store."""
    # Keys in the store call a shard a pot.
    return f"{_budget_prefix(workspace, era)}pot/"


def _budget_prefix(workspace: str, era: int) -> str:
    return f"grants/{workspace}/e{era}/" if era else f"grants/{workspace}/"


def log_grant_adjusted(account: BudgetAccount, tokens: int, committed: bool) -> None:
    """Logs a transaction that granted ``tokens``; a negative number was returned."""
    log_event(
        Event.GRANT_ADJUSTED,
        workspace=account.workspace,
        tokens=tokens,
        committed=committed,
        granted=account.granted,
        prepaid=account.prepaid,
    )


def log_grant_lost(account: BudgetAccount, row: CachedRow) -> None:
    """Logs what becomes of the tokens of an earlier incarnation of this VM."""
    log_event(
        Event.GRANT_LOST,
        workspace=account.workspace,
        tokens=row.lost,
        returnable=row.returnable,
        granted=account.granted,
        spent=account.spent,
        prepaid=account.prepaid,
    )


def log_grant_delayed(account: BudgetAccount, error: PlatformError) -> None:
    """Logs that a store operation on the budget failed."""
    log_event(Event.GRANT_DELAYED, workspace=account.workspace, reason=str(error))
