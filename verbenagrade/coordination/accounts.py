"""What a VM knows of its dealings with one prepaid budget."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from verbenagrade.coordination.ports import Row
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.allowance import Allowance
from verbenagrade.state.pots import POTS, Draw, draw_tokens, pot_limit, pot_order

__all__ = [
    "Account",
    "GrantRow",
    "SeenRow",
    "log_adjusted",
    "log_delayed",
    "seen_row",
    "take_over",
]


@dataclass(frozen=True, slots=True)
class GrantRow:
    """The value of a row of the table ``grants``: tokens granted, how many of
    them were known to be spent when it was written, and to which incarnation."""

    tokens: int
    spent: int = 0
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class SeenRow:
    """A row's version and value as this VM last saw them.

    ``lost`` is what an earlier incarnation held and nobody can spend any more.
    """

    version: int = 0
    tokens: int = 0
    spent: int = 0
    lost: int = 0

    def moved(self, tokens: int, spent: int) -> "SeenRow":
        """Returns the row after tokens were granted and others were spent."""
        return SeenRow(self.version, self.tokens + tokens, self.spent + spent)

    def encoded(self, incarnation: str = "") -> bytes:
        """Returns the value as it is stored."""
        return msgspec.json.encode(GrantRow(self.tokens, self.spent, incarnation))


class Account:
    """This VM's dealings with one workspace's budget."""

    def __init__(self, workspace: str, vm: str, now: float) -> None:
        self.workspace = workspace
        self.pots_key = f"grants/{workspace}/pot/"
        self.own_key = f"grants/{workspace}/vm/{vm}"
        self.allowance = Allowance(now)
        self.pot_order = pot_order(workspace, vm)
        self.pots = [SeenRow() for _ in range(POTS)]
        self.own = SeenRow()
        self.returning = 0
        self.uncertain = False
        self.seen = False
        self.reviewed = now
        self.prepaid = 0
        self.lock = asyncio.Lock()

    @property
    def granted(self) -> int:
        """Tokens granted to all VMs, as last seen."""
        return sum(pot.tokens for pot in self.pots)

    @property
    def spent(self) -> int:
        """Tokens known to be spent by all VMs, as last seen."""
        return sum(pot.spent for pot in self.pots)

    def pot_key(self, pot: int) -> str:
        """Returns the key of a pot's row."""
        return f"{self.pots_key}{pot}"

    def take_pots(self, rows: Iterable[Row]) -> None:
        """Takes over the pots among some rows of the store."""
        by_key = {row.key: row for row in rows}
        for pot in range(POTS):
            row = by_key.get(self.pot_key(pot))
            if row is not None:
                self.pots[pot] = seen_row(row, "")

    def take_own(self, row: SeenRow) -> None:
        """Takes over this VM's row.

        A return without an answer can't be committed once the row has changed.
        """
        if row.version != self.own.version:
            self.returning = 0
        self.own = row

    def draws(self, need: int, wish: int) -> tuple[Draw, ...]:
        """Chooses the pots for a grant; a negative wish goes back to the first."""
        if wish < 0:
            return (Draw(self.pot_order[0], wish),)
        left = {
            pot: pot_limit(self.prepaid, pot) - row.tokens
            for pot, row in enumerate(self.pots)
        }
        return draw_tokens(left, self.pot_order, need, wish)


def take_over(account: Account) -> None:
    """Counts what the store confirms, unless more is granted than was prepaid.

    Tokens whose return may still be committed don't count. After ``prepaid`` was
    lowered, nothing new is reserved until the sum is within it again.
    """
    allowance = account.allowance
    in_use = allowance.spent + allowance.reserved
    allowance.granted = account.own.tokens - account.returning
    if account.granted > account.prepaid:
        allowance.granted = min(allowance.granted, in_use)


def seen_row(row: Row | None, incarnation: str) -> SeenRow:
    """Returns a row's value; what an earlier incarnation held is lost."""
    if row is None:
        return SeenRow()
    value = msgspec.json.decode(row.value, type=GrantRow)
    if value.incarnation != incarnation:
        return SeenRow(row.version, lost=value.tokens - value.spent)
    return SeenRow(row.version, value.tokens, value.spent)


def log_adjusted(account: Account, tokens: int, committed: bool) -> None:
    """Logs a transaction that granted tokens, or returned a negative number."""
    log_event(
        Event.GRANT_ADJUSTED,
        workspace=account.workspace,
        tokens=tokens,
        committed=committed,
        granted=account.granted,
        prepaid=account.prepaid,
    )


def log_delayed(account: Account, error: PlatformError) -> None:
    """Logs that the store did not answer about a budget."""
    log_event(Event.GRANT_DELAYED, workspace=account.workspace, reason=str(error))
