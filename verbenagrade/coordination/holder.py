"""The holder's side: answers reservations, takes bills, keeps grants filled.

Any instance can be the holder of any budget, and several can be at once: each
spends only its own grants, so safety does not depend on who is.
"""

import asyncio
from dataclasses import dataclass

from verbenagrade.coordination.journal import Journal
from verbenagrade.coordination.ports import Clock, ObjectStore, Table
from verbenagrade.coordination.treasury import adjust_grant
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import NotFoundError, PlatformError
from verbenagrade.state.attempts import KnownAttempts
from verbenagrade.state.bills import Bill, JournalState
from verbenagrade.state.budgets import BudgetRow
from verbenagrade.state.demand import wished_holding
from verbenagrade.state.holding import (
    Earlier,
    Holding,
    Insufficient,
    Reservation,
    Reserved,
    ReserveOrder,
    Settlement,
    earlier_of,
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

PLATFORM_RETRY_S = 2.0
EXHAUSTED_RETRY_S = 5.0
FULL_RETRY_S = 1.0
TABLE_PAUSE_S = 0.25
REFILL_PART = 0.5
SWEEP_TICKS = 30
FORGET_S = 3600.0
RETURN_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class HolderLimits:
    """Bounds on the memory that a holder uses, as numbers of bills."""

    unwritten_bills: int = 20_000


class Holder:
    """All grants that this instance holds, its own and recovered ones."""

    def __init__(
        self,
        instance: Instance,
        table: Table,
        objects: ObjectStore,
        limits: HolderLimits,
        clock: Clock,
    ) -> None:
        self.instance = instance
        self.table = table
        self.limits = limits
        self.clock = clock
        self.journal = Journal(JournalState(instance), objects, self._on_durable)
        self.holdings: dict[GrantId, Holding] = {}
        self.locks: dict[GrantId, asyncio.Lock] = {}
        self.changed: dict[GrantId, asyncio.Event] = {}
        self.quiet_until: dict[GrantId, float] = {}
        self.last_denial: dict[GrantId, Denial] = {}
        self.recovered: set[GrantId] = set()
        self.touched: set[GrantId] = set()
        self.sweep: list[GrantId] = []
        self.registered = False
        self.stopping = False
        self.attempts = KnownAttempts()
        self.table_operations = 0

    def holding(self, grant: GrantId) -> Holding:
        """Returns the holding of a grant, made empty if it is new."""
        self.touched.add(grant)
        found = self.holdings.get(grant)
        if found is None:
            found = self.holdings[grant] = Holding(grant)
            self.locks[grant] = asyncio.Lock()
            self.changed[grant] = asyncio.Event()
            if grant.owner != self.instance:
                self.recovered.add(grant)
        return found

    async def reserve(self, order: ReserveOrder) -> Reserved | Earlier | Denied:
        """Answers a reservation, after a draw from the table if that is needed.

        Waits for other reservations to end, as far as the order's patience
        goes, before it says that the budget is exhausted.
        """
        if self._outstanding_bills() >= self.limits.unwritten_bills:
            return Denied(Denial.FULL, 0, FULL_RETRY_S)
        earlier = self.attempts.find(order.workspace, order.key)
        if earlier is not None and earlier.attempt != order.attempt:
            return earlier
        if self.stopping:
            return Denied(Denial.STOPPING, 0, FULL_RETRY_S)
        holding = self.holding(GrantId(order.budget, self.instance))
        deadline = self.clock() + order.patience_s
        while True:
            denial = Denial.EXHAUSTED
            answer = self._try_reserve(holding, order)
            if isinstance(answer, Insufficient):
                denial = await self._draw(holding, order)
                answer = self._try_reserve(holding, order)
            if not isinstance(answer, Insufficient):
                self._note(order, answer)
                return answer
            left = deadline - self.clock()
            if left <= 0 or not answer.reserved:
                return self._denied(denial, answer)
            await self._wait_for_change(holding.grant, left)

    def _note(self, order: ReserveOrder, answer: Reserved | Denied) -> None:
        if isinstance(answer, Reserved):
            earlier = earlier_of(order, answer, self.instance)
            self.attempts.note(order.workspace, order.key, earlier)

    def _try_reserve(
        self, holding: Holding, order: ReserveOrder
    ) -> Reserved | Insufficient | Denied:
        if holding.workspace is not None and holding.workspace != order.workspace:
            return Denied(Denial.UNKNOWN_BUDGET, 0, 0.0)
        return holding.reserve(order, self.clock(), self.journal.next_sequence())

    def reservation(self, answer: Reserved) -> Reservation:
        """Returns an open reservation in full."""
        return self.holdings[answer.grant].open[answer.attempt]

    def settle(self, message: Settle) -> SettleReply:
        """Takes bills and releases, and says which bills are durable."""
        now = self.clock()
        for bill in message.bills:
            self.take_bill(bill, now)
        for release in message.releases:
            self.release(release)
        accepted = tuple(
            Accepted(bill.attempt, self.journal.place_of(bill.attempt))
            for bill in message.bills
        )
        released = tuple(release.attempt for release in message.releases)
        return SettleReply(accepted, released, self.journal.durable_below)

    def take_bill(self, bill: Bill, now: float) -> Settlement:
        """Bills an attempt once; ``now`` is in seconds since the epoch."""
        holding = self.holdings.get(bill.grant)
        if holding is None:
            return Settlement.ENDED_BEFORE
        self.touched.add(bill.grant)
        settlement, billed = holding.settle(bill, now)
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
        self._notify(bill.grant)
        return settlement

    async def settle_adopted(self, holding: Holding) -> None:
        """Settles a recovered grant, from when on this journal has its bills.

        Raises ``PlatformError`` if that could not be written.
        """
        if await self._adjust(holding, need=0) is Denial.PLATFORM_AWAY:
            raise PlatformError(f"{holding.grant.key}: not adopted yet; retry")

    def orphans_of(self, spender: Instance) -> int:
        """Returns how many reservations an instance has here."""
        return sum(
            reservation.order.spender == spender
            for holding in self.holdings.values()
            for reservation in holding.open.values()
        )

    async def tend(self) -> None:
        """Refills grants that run low and returns what is not wanted.

        Looks at the grants used since the last time, and at a part of the
        others, so that the cost does not grow with the number of idle ones.
        """
        for holding in self._due_holdings():
            now = self.clock()
            if self._is_forgettable(holding, now):
                self._forget(holding.grant)
                continue
            if self.quiet_until.get(holding.grant, 0.0) > now:
                continue
            if holding.pending is not None or self._is_off_target(holding, now):
                await self._adjust(holding, need=0)

    def _due_holdings(self) -> list[Holding]:
        if not self.sweep:
            self.sweep = list(self.holdings)
        part = len(self.sweep) // SWEEP_TICKS + 1
        due = self.touched.union(self.sweep[-part:])
        del self.sweep[-part:]
        self.touched = set()
        return [self.holdings[grant] for grant in due if grant in self.holdings]

    def _is_forgettable(self, holding: Holding, now: float) -> bool:
        if holding.amount or holding.open or holding.pending is not None:
            return False
        return now - holding.demand.at > FORGET_S

    def _forget(self, grant: GrantId) -> None:
        for kept in (self.locks, self.changed, self.quiet_until, self.last_denial):
            kept.pop(grant, None)
        self.recovered.discard(grant)
        del self.holdings[grant]

    async def return_all(self) -> bool:
        """Returns all that is not bound; false while anything is left."""
        self.stopping = True
        if not await self.journal.flush():
            return False
        for holding in list(self.holdings.values()):
            if holding.amount or holding.pending:
                await self._adjust(holding, need=0)
        own = [h for h in self.holdings.values() if self._is_own(h)]
        return not any(holding.amount or holding.pending for holding in own)

    def _is_off_target(self, holding: Holding, now: float) -> bool:
        wish = self._wish(holding, now)
        if not self._is_own(holding):
            settled = holding.claimed and holding.amount > 0 and not holding.bound
            return settled or holding.unreserved > wish
        if holding.amount and wish == 0 and holding.unreserved > 0:
            return True
        reached = min(wish, holding.filled_to)
        low = holding.unreserved < reached * REFILL_PART
        return low or holding.unreserved > wish * RETURN_FACTOR

    def _wish(self, holding: Holding, now: float) -> int:
        if not self._is_own(holding):
            return 0 if holding.claimed and not holding.solo else holding.unreserved
        if self.stopping:
            return 0
        return wished_holding(holding.demand.rate(now), holding.policy)

    def _wish_for(self, holding: Holding, comfort: int, now: float) -> int:
        if not comfort:
            return self._wish(holding, now)
        return max(comfort, holding.policy.minimum, self._wish(holding, now))

    def _is_own(self, holding: Holding) -> bool:
        return holding.grant.owner == self.instance

    async def make_solo(self, budget: str) -> bool:
        """Marks the own grant of a budget as spent without a witness.

        The mark has to be in the table first; false if it could not be put there.
        """
        holding = self.holding(GrantId(budget, self.instance))
        if not holding.solo:
            holding.wants_solo = True
            await self._adjust(holding, need=0)
        return holding.solo

    async def _draw(self, holding: Holding, order: ReserveOrder) -> Denial:
        """Draws what an order needs, unless the table was asked just now."""
        grant = holding.grant
        waited_for = self.locks[grant].locked()
        async with self.locks[grant]:
            if waited_for and holding.unreserved >= order.minimum:
                return Denial.EXHAUSTED
            if self.quiet_until.get(grant, 0.0) > self.clock():
                return self.last_denial[grant]
            denial = await self._adjust_locked(holding, order.minimum, order.tokens)
        return denial

    async def _adjust(self, holding: Holding, need: int) -> Denial:
        async with self.locks[holding.grant]:
            return await self._adjust_locked(holding, need)

    async def _adjust_locked(
        self, holding: Holding, need: int, comfort: int = 0
    ) -> Denial:
        grant, now = holding.grant, self.clock()
        if not self.registered:
            return self._pause(grant, Denial.PLATFORM_AWAY, TABLE_PAUSE_S)
        resumes = holding.pending is not None
        order = holding.begin_adjustment(
            need=need,
            wish=self._wish_for(holding, comfort, now),
            journal=self.instance.name,
            journal_from=self.journal.next_sequence(),
        )
        try:
            self.table_operations += 1
            after = await adjust_grant(self.table, grant, order)
        except PlatformError as error:
            log_event(Event.GRANT_DELAYED, grant=grant.key, reason=str(error))
            return self._pause(grant, Denial.PLATFORM_AWAY, PLATFORM_RETRY_S)
        except NotFoundError:
            holding.pending = None
            return self._pause(grant, Denial.UNKNOWN_BUDGET, TABLE_PAUSE_S)
        holding.finish_adjustment(after)
        self._log_adjusted(holding, after.budget)
        self._notify(grant)
        if resumes:
            return await self._adjust_locked(holding, need, comfort)
        if holding.unreserved < need:
            await self._return_rest(holding)
        if after.budget.available == 0 or holding.unreserved < need:
            return self._pause(grant, Denial.EXHAUSTED, TABLE_PAUSE_S)
        return Denial.EXHAUSTED

    async def _return_rest(self, holding: Holding) -> None:
        """Returns what is too little here, for another holder to add to its own."""
        if holding.unreserved <= 0:
            return
        order = holding.begin_adjustment(
            0, 0, self.instance.name, self.journal.next_sequence()
        )
        try:
            self.table_operations += 1
            after = await adjust_grant(self.table, holding.grant, order)
        except PlatformError as error:
            log_event(Event.GRANT_DELAYED, grant=holding.grant.key, reason=str(error))
            return
        holding.finish_adjustment(after)
        self._log_adjusted(holding, after.budget)

    def _log_adjusted(self, holding: Holding, budget: BudgetRow) -> None:
        log_event(
            Event.GRANT_ADJUSTED,
            grant=holding.grant.key,
            amount=holding.amount,
            unreserved=holding.unreserved,
            available=budget.available,
        )

    def _pause(self, grant: GrantId, denial: Denial, pause_s: float) -> Denial:
        """Keeps one budget from asking the table again at every request."""
        self.quiet_until[grant] = self.clock() + pause_s
        self.last_denial[grant] = denial
        return denial

    def _denied(self, denial: Denial, answer: Insufficient) -> Denied:
        away = denial is Denial.PLATFORM_AWAY
        retry_after_s = PLATFORM_RETRY_S if away else EXHAUSTED_RETRY_S
        return Denied(denial, answer.left, retry_after_s)

    def release(self, release: Release) -> None:
        """Ends the reservation of an attempt of which nothing ran."""
        for holding in self._holdings_of(release.budget):
            if release.attempt in holding.open:
                order = holding.open[release.attempt].order
                self.attempts.forget(order.workspace, order.key, release.attempt)
                holding.release(release.attempt)
                self._notify(holding.grant)
                return
        own = self.holding(GrantId(release.budget, self.instance))
        own.release(release.attempt)

    def _holdings_of(self, budget: str) -> list[Holding]:
        """Returns the own holding of a budget first, then recovered ones."""
        own = self.holdings.get(GrantId(budget, self.instance))
        recovered = [
            self.holdings[grant] for grant in self.recovered if grant.budget == budget
        ]
        return [own, *recovered] if own else recovered

    def _outstanding_bills(self) -> int:
        return self.journal.state.depth()

    def _on_durable(self, bills: tuple[Bill, ...]) -> None:
        for bill in bills:
            holding = self.holdings.get(bill.grant)
            if holding is not None:
                holding.made_durable(bill.tokens)

    def _notify(self, grant: GrantId) -> None:
        self.changed[grant].set()

    async def _wait_for_change(self, grant: GrantId, left_s: float) -> None:
        changed = self.changed[grant]
        changed.clear()
        try:
            async with asyncio.timeout(min(left_s, TABLE_PAUSE_S)):
                await changed.wait()
        except TimeoutError:
            return
