"""The holder's side of a grant: reservations, bills and what is left.

A holder never lets reservations and bills exceed its grant. Only an attempt that
is reserved can be billed, and a bill or a release ends the reservation, so
replays and crossed messages bill nothing twice.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

from verbenagrade.state.bills import Bill
from verbenagrade.state.budgets import Adjusted, Adjustment, GrantRow
from verbenagrade.state.demand import DemandEstimate, HoldPolicy
from verbenagrade.state.identity import GrantId, Instance

__all__ = [
    "Earlier",
    "Holding",
    "Insufficient",
    "Reservation",
    "ReserveOrder",
    "Reserved",
    "Settlement",
    "earlier_of",
]

ENDED_ATTEMPTS_KEPT = 4096


@dataclass(frozen=True, slots=True)
class ReserveOrder:
    """Asks for tokens for one attempt before anything of it runs.

    ``tokens`` is the upper bound of prompt and answer, ``minimum`` the least
    that is of use where the caller left the length of the answer open.
    ``key`` is the caller's idempotency key, if any. ``patience_s`` is how long
    the holder may wait for other reservations to end.
    """

    attempt: str
    request: str
    workspace: str
    budget: str
    spender: Instance
    endpoint: str
    tokens: int
    minimum: int
    key: str = ""
    patience_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens of a grant set aside for one attempt, ``at`` seconds."""

    order: ReserveOrder
    tokens: int
    at: float
    grant: GrantId
    journal_from: int = 0


@dataclass(frozen=True, slots=True)
class Reserved:
    """The attempt may run within ``tokens``, charged to ``grant``.

    Its bill will be in no batch of the holder below ``journal_from``.
    """

    attempt: str
    tokens: int
    grant: GrantId
    journal_from: int = 0


@dataclass(frozen=True, slots=True)
class Insufficient:
    """The grant has only ``left`` tokens that are not reserved."""

    left: int
    reserved: int


@dataclass(frozen=True, slots=True)
class Earlier:
    """The idempotency key was used by an attempt that ran or is running.

    The attempt is settled with ``holder``.
    """

    attempt: str
    endpoint: str
    tokens: int
    grant: GrantId
    holder: Instance
    journal_from: int = 0


def earlier_of(
    order: ReserveOrder, answer: Reserved | Reservation, holder: Instance
) -> Earlier:
    """Returns what a retry of an attempt needs to take it up."""
    return Earlier(
        attempt=order.attempt,
        endpoint=order.endpoint,
        tokens=answer.tokens,
        grant=answer.grant,
        holder=holder,
        journal_from=answer.journal_from,
    )


class Settlement(StrEnum):
    """What became of a bill handed to a holder."""

    BILLED = "billed"
    CAPPED = "capped"
    ENDED_BEFORE = "ended_before"


class Holding:
    """One grant as its holder knows it. All amounts are tokens."""

    def __init__(self, grant: GrantId) -> None:
        self.grant = grant
        self.amount = 0
        self.spent = 0
        self.durable_spent = 0
        self.reserved = 0
        self.set_aside = 0
        self.operation = 0
        self.pending: Adjustment | None = None
        self.claimed = False
        self.filled_to = 0
        self.used_at = 0.0
        self.wants_solo = False
        self.solo = False
        self.workspace: str | None = None
        self.policy = HoldPolicy()
        self.demand = DemandEstimate()
        self.open: dict[str, Reservation] = {}
        self.ended: OrderedDict[str, None] = OrderedDict()

    @property
    def unreserved(self) -> int:
        """The tokens that a new attempt can have."""
        return self.amount - self.spent - self.reserved - self.set_aside

    @property
    def bound(self) -> int:
        """The tokens that cannot be returned: reserved, or billed not durably."""
        return self.spent - self.durable_spent + self.reserved

    def reserve(
        self, order: ReserveOrder, now: float, journal_from: int = 0
    ) -> Reserved | Insufficient:
        """Sets tokens aside; a replay of the same attempt gets the same answer."""
        known = self.open.get(order.attempt)
        if known is not None:
            return _answer_of(known)
        if order.attempt in self.ended:
            return Insufficient(0, self.reserved)
        tokens = min(order.tokens, self.unreserved)
        if tokens < order.minimum:
            return Insufficient(max(0, self.unreserved), self.reserved)
        self.used_at = now
        reservation = Reservation(order, tokens, now, self.grant, journal_from)
        self._open(reservation)
        return _answer_of(reservation)

    def begin_adjustment(
        self, need: int, wish: int, journal: str, journal_from: int
    ) -> Adjustment:
        """Returns the order for the table; an unfinished one comes first.

        ``need`` and ``wish`` count tokens beyond those that are bound. Tokens
        to be returned are set aside, so that nothing can reserve them meanwhile.
        """
        if self.pending is not None:
            return self.pending
        keep = self.bound
        order = Adjustment(
            operation=self.operation + 1,
            spent=self.durable_spent,
            keep=keep,
            need=keep + need,
            wish=keep + wish,
            share=self.policy.share,
            journal=journal,
            journal_from=journal_from,
            solo=self.wants_solo,
        )
        surplus = self.amount - self.durable_spent - order.wish
        self.set_aside = max(0, surplus)
        self.pending = order
        return order

    def finish_adjustment(self, after: Adjusted) -> None:
        """Takes over what the table holds after the order in ``pending``."""
        row = after.grant
        self.workspace = after.budget.workspace
        self.policy = after.budget.hold
        self.pending = None
        self.set_aside = 0
        self.amount = row.amount
        self.operation = row.operation
        self.solo = row.solo
        self.filled_to = max(0, self.unreserved)
        if row.unspent == 0:
            self.amount = self.spent = self.durable_spent = 0
            self.operation = 0
            self.solo = self.wants_solo = False

    def made_durable(self, tokens: int) -> None:
        """Records that bills of so many tokens are in the journal for good."""
        self.durable_spent += tokens

    def take_over(self, row: GrantRow, bills: Iterable[Bill]) -> None:
        """Starts from the row of a lost holder and what its journal adds to it."""
        self.amount = row.amount
        self.operation = row.operation
        self.solo = row.solo
        self.pending = None
        self.spent = row.spent
        for bill in bills:
            self.spent += bill.tokens
            self._end(bill.attempt)
        self.durable_spent = self.spent

    def mark_ended(self, attempt: str) -> None:
        """Records an attempt that is billed already, so that it is not again."""
        if attempt not in self.open:
            self._end(attempt)

    def adopt(self, reservation: Reservation) -> None:
        """Takes over a reservation that a lost holder had made."""
        attempt = reservation.order.attempt
        if attempt not in self.open and attempt not in self.ended:
            self._open(reservation)

    def settle(self, bill: Bill, now: float) -> tuple[Settlement, Bill]:
        """Ends a reservation with what was used, never more than was reserved."""
        reservation = self.open.get(bill.attempt)
        if reservation is None:
            return Settlement.ENDED_BEFORE, bill
        self._close(bill.attempt)
        tokens = min(bill.tokens, reservation.tokens)
        self.spent += tokens
        self.demand.add(tokens, now)
        if tokens == bill.tokens:
            return Settlement.BILLED, bill
        prompt_tokens = min(bill.prompt_tokens, tokens)
        capped = replace(bill, tokens=tokens, prompt_tokens=prompt_tokens)
        return Settlement.CAPPED, capped

    def release(self, attempt: str) -> None:
        """Ends a reservation of which nothing ran; also one still on its way."""
        if attempt in self.open:
            self._close(attempt)
        elif attempt not in self.ended:
            self._end(attempt)

    def _open(self, reservation: Reservation) -> None:
        self.open[reservation.order.attempt] = reservation
        self.reserved += reservation.tokens

    def _close(self, attempt: str) -> None:
        reservation = self.open.pop(attempt)
        self.reserved -= reservation.tokens
        self._end(attempt)

    def _end(self, attempt: str) -> None:
        self.ended[attempt] = None
        if len(self.ended) > ENDED_ATTEMPTS_KEPT:
            self.ended.popitem(last=False)


def _answer_of(reservation: Reservation) -> Reserved:
    return Reserved(
        attempt=reservation.order.attempt,
        tokens=reservation.tokens,
        grant=reservation.grant,
        journal_from=reservation.journal_from,
    )
