"""The state of a grant at its holder: reservations, bills and unreserved tokens.

The sum of reservations and bills never exceeds the grant. Only an attempt with a
reservation can be billed, and a bill or a release ends the reservation, so that
duplicated or reordered messages never bill an attempt twice.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import StrEnum

from verbenagrade.state.bills import Bill
from verbenagrade.state.budgets import Adjusted, Adjustment, GrantRow
from verbenagrade.state.demand import DemandEstimate, GrantPolicy
from verbenagrade.state.identity import GrantId, Instance

__all__ = [
    "Earlier",
    "HeldGrant",
    "Insufficient",
    "Reservation",
    "ReserveOrder",
    "Reserved",
    "Settlement",
    "earlier_attempt",
]

MAX_ENDED_ATTEMPTS = 4096


@dataclass(frozen=True, slots=True)
class ReserveOrder:
    """Requests tokens for one attempt before any part of it runs.

    ``tokens`` is the upper bound for prompt and completion. ``minimum`` is the smallest
    reservation that is useful if the caller did not limit the length of the completion.
    ``key`` is the caller's idempotency key, empty if there is none. ``patience_s`` is
    the longest time in seconds that the holder may wait for other reservations to end.
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
    """Tokens of a grant that are reserved for one attempt.

    ``at`` is the time of the reservation in seconds. The bill will be in no batch
    of the holder's journal below ``journal_from``.
    """

    order: ReserveOrder
    tokens: int
    at: float
    grant: GrantId
    journal_from: int = 0


@dataclass(frozen=True, slots=True)
class Reserved:
    """Allows an attempt to use up to ``tokens`` tokens of ``grant``.

    The bill will be in no batch of the holder's journal below ``journal_from``.
    """

    attempt: str
    tokens: int
    grant: GrantId
    journal_from: int = 0


@dataclass(frozen=True, slots=True)
class Insufficient:
    """Says that a grant has only ``left`` unreserved tokens, which are too few.

    ``reserved`` is the number of reserved tokens, which may become free.
    """

    left: int
    reserved: int


@dataclass(frozen=True, slots=True)
class Earlier:
    """An attempt with the same idempotency key that has run or is running.

    Its bill goes to ``holder``.
    """

    attempt: str
    endpoint: str
    tokens: int
    grant: GrantId
    holder: Instance
    journal_from: int = 0


def earlier_attempt(
    order: ReserveOrder, reserved: Reserved | Reservation, holder: Instance
) -> Earlier:
    """Returns the data with which a retry can continue an attempt."""
    return Earlier(
        attempt=order.attempt,
        endpoint=order.endpoint,
        tokens=reserved.tokens,
        grant=reserved.grant,
        holder=holder,
        journal_from=reserved.journal_from,
    )


class Settlement(StrEnum):
    """The result of settling a bill with its holder.

    ``CAPPED`` bills are reduced to the reservation. ``ENDED_BEFORE`` means that
    the attempt has no reservation any more, so that the bill is not counted.
    """

    BILLED = "billed"
    CAPPED = "capped"
    ENDED_BEFORE = "ended_before"


class HeldGrant:
    """One grant as its holder knows it.

    All amounts are in tokens. ``spent`` includes all bills, ``durable_spent`` only
    those that the journal has stored. ``returning`` counts the tokens that the
    adjustment in ``pending`` may return.
    """

    def __init__(self, grant: GrantId) -> None:
        self.grant = grant
        self.amount = 0
        self.spent = 0
        self.durable_spent = 0
        self.reserved = 0
        self.returning = 0
        self.operation = 0
        self.pending: Adjustment | None = None
        self.claimed = False
        self.unreserved_after_adjustment = 0
        self.last_reserved_at = 0.0
        self.wants_solo = False
        self.solo = False
        self.workspace: str | None = None
        self.policy = GrantPolicy()
        self.demand = DemandEstimate()
        self.open: dict[str, Reservation] = {}
        self.ended: OrderedDict[str, None] = OrderedDict()

    @property
    def unreserved(self) -> int:
        """The tokens that a new attempt can reserve."""
        return self.amount - self.spent - self.reserved - self.returning

    @property
    def unreturnable(self) -> int:
        """The tokens that can't be returned: reserved, or billed but not durable."""
        return self.spent - self.durable_spent + self.reserved

    def reserve(
        self, order: ReserveOrder, now: float, journal_from: int = 0
    ) -> Reserved | Insufficient:
        """Reserves tokens for an attempt.

        A retried order of the same attempt gets the same result. An attempt that has
        ended gets no tokens. ``now`` is in seconds.
        """
        known = self.open.get(order.attempt)
        if known is not None:
            return _to_reserved(known)
        if order.attempt in self.ended:
            return Insufficient(0, self.reserved)
        tokens = min(order.tokens, self.unreserved)
        if tokens < order.minimum:
            return Insufficient(max(0, self.unreserved), self.reserved)
        self.last_reserved_at = now
        reservation = Reservation(order, tokens, now, self.grant, journal_from)
        self._add_reservation(reservation)
        return _to_reserved(reservation)

    def begin_adjustment(
        self, need: int, desired: int, journal: str, journal_from: int
    ) -> Adjustment:
        """Returns the adjustment to apply to the table.

        An earlier adjustment whose result is unknown is returned again instead.
        ``need`` and ``desired`` count tokens in addition to those that can't be
        returned. Tokens that may be returned can't be reserved in the meantime.
        """
        if self.pending is not None:
            return self.pending
        keep = self.unreturnable
        adjustment = Adjustment(
            operation=self.operation + 1,
            spent=self.durable_spent,
            keep=keep,
            need=keep + need,
            desired=keep + desired,
            share=self.policy.share,
            journal=journal,
            journal_from=journal_from,
            solo=self.wants_solo,
        )
        surplus = self.amount - self.durable_spent - adjustment.desired
        self.returning = max(0, surplus)
        self.pending = adjustment
        return adjustment

    def finish_adjustment(self, adjusted: Adjusted) -> None:
        """Applies the table's rows after the adjustment in ``pending``."""
        row = adjusted.grant
        self.workspace = adjusted.budget.workspace
        self.policy = adjusted.budget.hold
        self.pending = None
        self.returning = 0
        self.amount = row.amount
        self.operation = row.operation
        self.solo = row.solo
        self.unreserved_after_adjustment = max(0, self.unreserved)
        if row.unspent == 0:
            self.amount = self.spent = self.durable_spent = 0
            self.operation = 0
            self.solo = self.wants_solo = False

    def cancel_adjustment(self) -> None:
        """Ends the adjustment in ``pending``, which certainly changed nothing."""
        self.pending = None
        self.returning = 0

    def mark_durable(self, tokens: int) -> None:
        """Records that bills for this number of tokens are durable."""
        self.durable_spent += tokens

    def take_over(self, row: GrantRow, bills: Iterable[Bill]) -> None:
        """Restores the grant of a lost holder from its row and the newer bills in
        its journal."""
        self.amount = row.amount
        self.operation = row.operation
        self.solo = row.solo
        self.pending = None
        self.spent = row.spent
        for bill in bills:
            self.spent += bill.tokens
            self._record_ended(bill.attempt)
        self.durable_spent = self.spent

    def mark_ended(self, attempt: str) -> None:
        """Records an attempt as billed, so that it is not billed again."""
        if attempt not in self.open:
            self._record_ended(attempt)

    def adopt(self, reservation: Reservation) -> None:
        """Adds a reservation that a lost holder made, unless the attempt ended."""
        attempt = reservation.order.attempt
        if attempt not in self.open and attempt not in self.ended:
            self._add_reservation(reservation)

    def settle(self, bill: Bill, now: float) -> tuple[Settlement, Bill]:
        """Ends a reservation and counts its bill, at most the reserved tokens.

        Returns the result and the bill as it is charged. ``now`` is in seconds.
        """
        reservation = self.open.get(bill.attempt)
        if reservation is None:
            return Settlement.ENDED_BEFORE, bill
        self._end_reservation(bill.attempt)
        tokens = min(bill.tokens, reservation.tokens)
        self.spent += tokens
        self.demand.add(tokens, now)
        if tokens == bill.tokens:
            return Settlement.BILLED, bill
        prompt_tokens = min(bill.prompt_tokens, tokens)
        capped = replace(bill, tokens=tokens, prompt_tokens=prompt_tokens)
        return Settlement.CAPPED, capped

    def release(self, attempt: str) -> None:
        """Ends the reservation of an attempt of which nothing ran.

        If the reservation has not arrived yet, it will be refused.
        """
        if attempt in self.open:
            self._end_reservation(attempt)
        elif attempt not in self.ended:
            self._record_ended(attempt)

    def _add_reservation(self, reservation: Reservation) -> None:
        self.open[reservation.order.attempt] = reservation
        self.reserved += reservation.tokens

    def _end_reservation(self, attempt: str) -> None:
        reservation = self.open.pop(attempt)
        self.reserved -= reservation.tokens
        self._record_ended(attempt)

    def _record_ended(self, attempt: str) -> None:
        self.ended[attempt] = None
        if len(self.ended) > MAX_ENDED_ATTEMPTS:
            self.ended.popitem(last=False)


def _to_reserved(reservation: Reservation) -> Reserved:
    return Reserved(
        attempt=reservation.order.attempt,
        tokens=reservation.tokens,
        grant=reservation.grant,
        journal_from=reservation.journal_from,
    )
