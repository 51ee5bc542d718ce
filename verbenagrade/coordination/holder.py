"""The holder's side of budgets: makes reservations and records bills.

Any number of instances can be holders of the same budget at the same time. Each
reserves only from its own grants, so the choice of the holder does not affect
safety.
"""

from dataclasses import dataclass

from verbenagrade.coordination.grants import PLATFORM_RETRY_S, Grants
from verbenagrade.coordination.journal import Journal
from verbenagrade.coordination.ports import Clock, ObjectStore, Table
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.attempts import KnownAttempts
from verbenagrade.state.bills import Bill, JournalState
from verbenagrade.state.held_grant import (
    Earlier,
    HeldGrant,
    Insufficient,
    Reservation,
    Reserved,
    ReserveOrder,
    Settlement,
    earlier_attempt,
)
from verbenagrade.state.identity import GrantId, Instance
from verbenagrade.state.messages import (
    Accepted,
    Denial,
    Denied,
    Release,
    Settle,
    SettleReply,
)

__all__ = ["Holder", "HolderLimits"]

EXHAUSTED_RETRY_S = 5.0
"""Time after which a caller may retry on an exhausted budget, in seconds."""

FULL_RETRY_S = 1.0
"""Time after which a caller may retry when the holder is full or stopping, in
seconds."""


@dataclass(frozen=True, slots=True)
class HolderLimits:
    """Limits on the memory that a holder uses, in numbers of bills."""

    unwritten_bills: int = 20_000


class Holder:
    """Reserves tokens for spenders from the grants that this instance holds.

    ``clock`` returns seconds and never jumps.
    """

    def __init__(
        self,
        instance: Instance,
        table: Table,
        objects: ObjectStore,
        limits: HolderLimits,
        clock: Clock,
    ) -> None:
        self.instance = instance
        self.limits = limits
        self.clock = clock
        self.journal = Journal(JournalState(instance), objects, self._on_durable)
        self.grants = Grants(instance, table, self.journal.next_sequence, clock)
        self.attempts = KnownAttempts()

    async def reserve(self, order: ReserveOrder) -> Reserved | Earlier | Denied:
        """Reserves tokens, which it first obtains from the table if needed.

        If the grant has too few tokens, waits up to ``order.patience_s`` seconds
        for other reservations to end before it denies the order.
        """
        if self._unwritten_bills() >= self.limits.unwritten_bills:
            return Denied(Denial.FULL, 0, FULL_RETRY_S)
        earlier = self.attempts.find(order.workspace, order.key)
        if earlier is not None and earlier.attempt != order.attempt:
            return earlier
        if self.grants.stopping:
            return Denied(Denial.STOPPING, 0, FULL_RETRY_S)
        held_grant = self.grants.held_grant(GrantId(order.budget, self.instance))
        deadline = self.clock() + order.patience_s
        while True:
            denial = Denial.EXHAUSTED
            result = self._try_reserve(held_grant, order)
            if isinstance(result, Insufficient):
                denial = await self.grants.obtain_tokens(held_grant, order)
                result = self._try_reserve(held_grant, order)
            if not isinstance(result, Insufficient):
                self._record_attempt(order, result)
                return result
            left = deadline - self.clock()
            if left <= 0 or not result.reserved:
                return self._denied(denial, result)
            await self.grants.wait_for_change(held_grant.grant, left)

    def _record_attempt(self, order: ReserveOrder, result: Reserved | Denied) -> None:
        """Records the attempt under its idempotency key if it got tokens."""
        if isinstance(result, Reserved):
            earlier = earlier_attempt(order, result, self.instance)
            self.attempts.record(order.workspace, order.key, earlier)

    def _try_reserve(
        self, held_grant: HeldGrant, order: ReserveOrder
    ) -> Reserved | Insufficient | Denied:
        if held_grant.workspace is not None and held_grant.workspace != order.workspace:
            return Denied(Denial.UNKNOWN_BUDGET, 0, 0.0)
        return held_grant.reserve(order, self.clock(), self.journal.next_sequence())

    def reservation(self, reserved: Reserved) -> Reservation:
        """Returns the open reservation that ``reserved`` reports."""
        return self.grants.held_grants[reserved.grant].open[reserved.attempt]

    def settle(self, message: Settle) -> SettleReply:
        """Records bills and releases; the reply says which bills are durable."""
        now = self.clock()
        for bill in message.bills:
            self.settle_bill(bill, now)
        for release in message.releases:
            self.release(release)
        accepted = tuple(
            Accepted(bill.attempt, self.journal.position_of(bill.attempt))
            for bill in message.bills
        )
        released = tuple(release.attempt for release in message.releases)
        return SettleReply(accepted, released, self.journal.durable_below)

    def settle_bill(self, bill: Bill, now: float) -> Settlement:
        """Bills an attempt at most once; ``now`` is in seconds."""
        held_grant = self.grants.held_grants.get(bill.grant)
        if held_grant is None:
            return Settlement.ENDED_BEFORE
        self.grants.recently_used.add(bill.grant)
        settlement, billed = held_grant.settle(bill, now)
        if settlement is Settlement.ENDED_BEFORE:
            return settlement
        if settlement is Settlement.CAPPED:
            log_event(
                Event.BILL_CAPPED,
                attempt=bill.attempt,
                endpoint=bill.endpoint,
                used=bill.tokens,
                billed=billed.tokens,
            )
        self.journal.append(billed)
        self.grants.notify(bill.grant)
        return settlement

    async def settle_recovered(self, held_grant: HeldGrant) -> None:
        """Settles a recovered grant, whose bills then go to this journal.

        Raises ``PlatformError`` if the table did not confirm it.
        """
        if await self.grants.adjust(held_grant, need=0) is Denial.PLATFORM_AWAY:
            raise PlatformError(
                f"{held_grant.grant.key}: the recovered grant is not settled yet; retry"
            )

    def count_reservations(self, spender: Instance) -> int:
        """Returns the number of open reservations of a spender in this holder."""
        return sum(
            reservation.order.spender == spender
            for held_grant in self.grants.held_grants.values()
            for reservation in held_grant.open.values()
        )

    async def return_all(self) -> bool:
        """Writes all bills, then returns all tokens that are not reserved.

        Returns false while bills or own grants are left.
        """
        return await self.journal.flush() and await self.grants.return_all()

    def _denied(self, denial: Denial, insufficient: Insufficient) -> Denied:
        is_unavailable = denial is Denial.PLATFORM_AWAY
        retry_after_s = PLATFORM_RETRY_S if is_unavailable else EXHAUSTED_RETRY_S
        return Denied(denial, insufficient.left, retry_after_s)

    def release(self, release: Release) -> None:
        """Ends the reservation of an attempt that did not run.

        A release of an unknown attempt is recorded, so that an order that arrives
        later reserves nothing.
        """
        self.attempts.forget(release.workspace, release.key, release.attempt)
        for held_grant in self.grants.held_grants_of(release.budget):
            if release.attempt in held_grant.open:
                order = held_grant.open[release.attempt].order
                self.attempts.forget(order.workspace, order.key, release.attempt)
                held_grant.release(release.attempt)
                self.grants.notify(held_grant.grant)
                return
        own = self.grants.held_grant(GrantId(release.budget, self.instance))
        own.release(release.attempt)

    def _unwritten_bills(self) -> int:
        return self.journal.state.depth()

    def _on_durable(self, bills: tuple[Bill, ...]) -> None:
        for bill in bills:
            held_grant = self.grants.held_grants.get(bill.grant)
            if held_grant is not None:
                held_grant.mark_durable(bill.tokens)
