"""The holder's side of a grant: reservations, bills and what is left.

A holder never lets reservations and bills exceed its grant. Only an attempt that
is reserved can be billed, and a bill or a release ends the reservation, so
replays and crossed messages bill nothing twice.
"""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from verbenagrade.state.bills import Bill
from verbenagrade.state.budgets import Adjusted, Adjustment
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
    """Tokens set aside for one attempt."""

    order: ReserveOrder
    tokens: int
    at: float


@dataclass(frozen=True, slots=True)
class Reserved:
    """The attempt may run within ``tokens``, charged to ``grant``."""

    attempt: str
    tokens: int
    grant: GrantId


@dataclass(frozen=True, slots=True)
class Insufficient:
    """The grant has only ``left`` tokens that are not reserved."""

    left: int
    reserved: int


@dataclass(frozen=True, slots=True)
class Earlier:
    """The idempotency key was used by an attempt that ran or is running."""

    attempt: str
    endpoint: str
    tokens: int
    grant: GrantId


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
        self.workspace: str | None = None
        self.policy = HoldPolicy()
        self.demand = DemandEstimate()
        self.open: dict[str, Reservation] = {}
        self.ended: OrderedDict[str, str] = OrderedDict()
        self.keys: dict[str, Reservation] = {}

    @property
    def unreserved(self) -> int:
        """The tokens that a new attempt can have."""
        return self.amount - self.spent - self.reserved - self.set_aside

    @property
    def bound(self) -> int:
        """The tokens that cannot be returned: reserved, or billed not durably."""
        return self.spent - self.durable_spent + self.reserved

    def reserve(
        self, order: ReserveOrder, now: float
    ) -> Reserved | Insufficient | Earlier:
        """Sets tokens aside; a replay of the same attempt gets the same answer."""
        known = self.open.get(order.attempt)
        if known is not None:
            return Reserved(order.attempt, known.tokens, self.grant)
        earlier = self._earlier(order)
        if earlier is not None:
            return earlier
        if order.attempt in self.ended:
            return Insufficient(0, self.reserved)
        tokens = min(order.tokens, self.unreserved)
        if tokens < order.minimum:
            return Insufficient(max(0, self.unreserved), self.reserved)
        self._open(Reservation(order, tokens, now))
        return Reserved(order.attempt, tokens, self.grant)

    def begin_adjustment(
        self, need: int, wish: int, share: float, journal_from: int
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
            share=share,
            journal_from=journal_from,
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
        if row.unspent == 0:
            self.amount = self.spent = self.durable_spent = 0
            self.operation = 0

    def made_durable(self, tokens: int) -> None:
        """Records that bills of so many tokens are in the journal for good."""
        self.durable_spent += tokens

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
        capped = Bill(
            attempt=bill.attempt,
            request=bill.request,
            workspace=bill.workspace,
            grant=bill.grant,
            endpoint=bill.endpoint,
            tokens=tokens,
            prompt_tokens=min(bill.prompt_tokens, tokens),
            outcome=bill.outcome,
            at=bill.at,
        )
        return Settlement.CAPPED, capped

    def release(self, attempt: str) -> None:
        """Ends a reservation of which nothing ran; also one still on its way."""
        if attempt in self.open:
            key = _key_name(self.open[attempt].order)
            self._close(attempt)
            self.keys.pop(key, None)
        elif attempt not in self.ended:
            self._end(attempt, "")

    def _earlier(self, order: ReserveOrder) -> Earlier | None:
        if not order.key:
            return None
        found = self.keys.get(_key_name(order))
        if found is None:
            return None
        known = found.order
        return Earlier(known.attempt, known.endpoint, found.tokens, self.grant)

    def _open(self, reservation: Reservation) -> None:
        order = reservation.order
        self.open[order.attempt] = reservation
        self.reserved += reservation.tokens
        if order.key:
            self.keys[_key_name(order)] = reservation

    def _close(self, attempt: str) -> None:
        reservation = self.open.pop(attempt)
        self.reserved -= reservation.tokens
        self._end(attempt, _key_name(reservation.order))

    def _end(self, attempt: str, key: str) -> None:
        self.ended[attempt] = key
        if len(self.ended) > ENDED_ATTEMPTS_KEPT:
            _, old_key = self.ended.popitem(last=False)
            self.keys.pop(old_key, None)


def _key_name(order: ReserveOrder) -> str:
    return f"{order.workspace}/{order.key}" if order.key else ""
