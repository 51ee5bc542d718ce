"""The grants that an instance holds, and their exchange with the table."""

import asyncio
from collections.abc import Callable

from verbenagrade.coordination.ports import Clock, Table
from verbenagrade.coordination.treasury import adjust_grant
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import NotFoundError, PlatformError
from verbenagrade.state.budgets import BudgetRow
from verbenagrade.state.demand import wished_holding
from verbenagrade.state.holding import Holding, ReserveOrder
from verbenagrade.state.identity import GrantId, Instance
from verbenagrade.state.messages import Denial

__all__ = ["PLATFORM_RETRY_S", "Grants"]

PLATFORM_RETRY_S = 2.0
TABLE_PAUSE_S = 0.25
REFILL_PART = 0.5
SCARCE_REFILL_PART = 0.8
RETURN_FACTOR = 4.0
SWEEP_TICKS = 30
IN_USE_S = 60.0
FORGET_S = 3600.0


class Grants:
    """All grants of one instance, its own and recovered ones.

    ``next_sequence`` gives the number of the first journal batch that is not
    yet durable.
    """

    def __init__(
        self,
        instance: Instance,
        table: Table,
        next_sequence: Callable[[], int],
        clock: Clock,
    ) -> None:
        self.instance = instance
        self.table = table
        self.next_sequence = next_sequence
        self.clock = clock
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

    async def make_solo(self, budget: str) -> bool:
        """Marks the own grant of a budget as spent without a witness.

        The mark has to be in the table first; false if it could not be put there.
        """
        holding = self.holding(GrantId(budget, self.instance))
        if not holding.solo:
            holding.wants_solo = True
            await self.adjust(holding, need=0)
        return holding.solo

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
                await self.adjust(holding, need=0)

    async def return_all(self) -> bool:
        """Returns all that is not bound; false while anything is left."""
        self.stopping = True
        for holding in list(self.holdings.values()):
            if holding.amount or holding.pending:
                await self.adjust(holding, need=0)
        own = [h for h in self.holdings.values() if self._is_own(h)]
        return not any(holding.amount or holding.pending for holding in own)

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

    def _is_off_target(self, holding: Holding, now: float) -> bool:
        wish = self._wish(holding, now)
        if not self._is_own(holding):
            settled = holding.claimed and holding.amount > 0 and not holding.bound
            return settled or holding.unreserved > wish
        if holding.amount and wish == 0 and holding.unreserved > 0:
            return True
        reached = min(wish, holding.filled_to)
        part = SCARCE_REFILL_PART if reached < wish else REFILL_PART
        low = holding.unreserved < reached * part
        return low or holding.unreserved > wish * RETURN_FACTOR

    def _wish(self, holding: Holding, now: float) -> int:
        if not self._is_own(holding):
            return 0 if holding.claimed and not holding.solo else holding.unreserved
        if self.stopping:
            return 0
        wish = wished_holding(holding.demand.rate(now), holding.policy)
        in_use = holding.open or now - holding.used_at < IN_USE_S
        return max(wish, holding.policy.minimum) if in_use else wish

    def _wish_for(self, holding: Holding, comfort: int, now: float) -> int:
        if not comfort:
            return self._wish(holding, now)
        return max(comfort, holding.policy.minimum, self._wish(holding, now))

    def _is_own(self, holding: Holding) -> bool:
        return holding.grant.owner == self.instance

    async def draw(self, holding: Holding, order: ReserveOrder) -> Denial:
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

    async def adjust(self, holding: Holding, need: int) -> Denial:
        """Exchanges a grant with the table: settles, draws or returns."""
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
            journal_from=self.next_sequence(),
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
        self.notify(grant)
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
        order = holding.begin_adjustment(0, 0, self.instance.name, self.next_sequence())
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

    def holdings_of(self, budget: str) -> list[Holding]:
        """Returns the own holding of a budget first, then recovered ones."""
        own = self.holdings.get(GrantId(budget, self.instance))
        recovered = [
            self.holdings[grant] for grant in self.recovered if grant.budget == budget
        ]
        return [own, *recovered] if own else recovered

    def notify(self, grant: GrantId) -> None:
        """Wakes the requests that wait for a grant to change."""
        self.changed[grant].set()

    async def wait_for_change(self, grant: GrantId, left_s: float) -> None:
        """Waits until a grant changes, for at most so many seconds."""
        changed = self.changed[grant]
        changed.clear()
        try:
            async with asyncio.timeout(min(left_s, TABLE_PAUSE_S)):
                await changed.wait()
        except TimeoutError:
            return
