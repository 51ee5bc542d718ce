"""The grants that an instance holds, and their adjustment in the table service."""

import asyncio
from collections import Counter
from collections.abc import Callable

from verbenagrade.coordination.budget_table import adjust_grant
from verbenagrade.coordination.ports import Clock, Table
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import NotFoundError, PlatformError
from verbenagrade.state.budgets import BudgetRow
from verbenagrade.state.demand import target_unspent_tokens
from verbenagrade.state.held_grant import HeldGrant, ReserveOrder
from verbenagrade.state.identity import GrantId, Instance
from verbenagrade.state.messages import Denial

__all__ = ["PLATFORM_RETRY_S", "Grants"]

PLATFORM_RETRY_S = 2.0
"""Time before a grant is adjusted again after the platform failed, in seconds."""

TABLE_RETRY_S = 0.25
"""Time before a grant is adjusted again after another denial, in seconds. Requests
that wait for a change of a grant are also retried after this time."""

REFILL_FRACTION = 0.5
"""A grant is refilled when fewer unreserved tokens are left than this fraction of
the target."""

SCARCE_REFILL_FRACTION = 0.8
"""Replaces ``REFILL_FRACTION`` if the last adjustment did not reach the target. The
fraction then applies to the tokens that it did reach."""

RETURN_FACTOR = 4.0
"""Tokens are returned when more are unreserved than this multiple of the target."""

SWEEP_CALLS = 30
"""Number of calls of ``rebalance`` in which all grants are checked once."""

RECENT_USE_S = 60.0
"""Time since the last reservation in which a grant counts as in use, in seconds."""

FORGET_IDLE_S = 3600.0
"""Time without demand after which an empty grant is forgotten, in seconds."""


class Grants:
    """All grants of one instance, its own and those recovered from lost instances.

    ``next_sequence`` returns the number of the first journal batch that is not yet
    durable. ``clock`` returns seconds. No tokens are obtained unless ``registered`` is
    true, because a lost instance is found by its registration. Once ``stopping`` is
    true, the target of each own grant is 0 tokens.
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
        self.held_grants: dict[GrantId, HeldGrant] = {}
        self.locks: dict[GrantId, asyncio.Lock] = {}
        self.change_events: dict[GrantId, asyncio.Event] = {}
        self.retry_at: dict[GrantId, float] = {}
        self.last_denial: dict[GrantId, Denial] = {}
        self.waiting: Counter[GrantId] = Counter()
        self.recovered: set[GrantId] = set()
        self.recently_used: set[GrantId] = set()
        self.sweep_queue: list[GrantId] = []
        self.registered = False
        self.stopping = False
        self.table_operations = 0

    def held_grant(self, grant: GrantId) -> HeldGrant:
        """Returns a held grant; creates an empty one if there is none."""
        self.recently_used.add(grant)
        found = self.held_grants.get(grant)
        if found is None:
            found = self.held_grants[grant] = HeldGrant(grant)
            self.locks[grant] = asyncio.Lock()
            self.change_events[grant] = asyncio.Event()
            if grant.owner != self.instance:
                self.recovered.add(grant)
        return found

    async def mark_solo(self, budget: str) -> bool:
        """Marks this instance's grant of a budget as spent without a witness.

        Returns false if the mark could not be written to the table. It must be
        stored there before anything is spent without a witness.
        """
        held_grant = self.held_grant(GrantId(budget, self.instance))
        if not held_grant.solo:
            held_grant.wants_solo = True
            await self.adjust(held_grant, need=0)
        return held_grant.solo

    async def rebalance(self) -> None:
        """Refills grants that run low and returns surplus tokens.

        Each call checks the grants used since the last call and a fraction of all
        others, to limit the cost of idle grants.
        """
        for held_grant in self._due_held_grants():
            now = self.clock()
            if self._can_forget(held_grant, now):
                self._forget(held_grant.grant)
                continue
            if self.retry_at.get(held_grant.grant, 0.0) > now:
                continue
            if held_grant.pending is not None or self._is_off_target(held_grant, now):
                await self.adjust(held_grant, need=0)

    async def return_all(self) -> bool:
        """Returns all tokens that are not reserved or billed, for a shutdown.

        Returns false while any own grant has tokens or an unfinished adjustment.
        """
        self.stopping = True
        for held_grant in list(self.held_grants.values()):
            if held_grant.amount or held_grant.pending:
                await self.adjust(held_grant, need=0)
        own = [h for h in self.held_grants.values() if self._is_own(h)]
        return not any(held_grant.amount or held_grant.pending for held_grant in own)

    def _due_held_grants(self) -> list[HeldGrant]:
        """Returns the grants that this call of ``rebalance`` has to check."""
        if not self.sweep_queue:
            self.sweep_queue = list(self.held_grants)
        count = len(self.sweep_queue) // SWEEP_CALLS + 1
        due = self.recently_used.union(self.sweep_queue[-count:])
        del self.sweep_queue[-count:]
        self.recently_used = set()
        return [self.held_grants[grant] for grant in due if grant in self.held_grants]

    def _can_forget(self, held_grant: HeldGrant, now: float) -> bool:
        """Returns whether a grant is empty, unused and has had no demand for long."""
        if held_grant.amount or held_grant.open or held_grant.pending is not None:
            return False
        grant = held_grant.grant
        if self.waiting[grant] or self.locks[grant].locked():
            return False
        return now - held_grant.demand.updated_at > FORGET_IDLE_S

    def _forget(self, grant: GrantId) -> None:
        states = (
            self.locks,
            self.change_events,
            self.retry_at,
            self.last_denial,
            self.waiting,
        )
        for state in states:
            state.pop(grant, None)
        self.recovered.discard(grant)
        del self.held_grants[grant]

    def _is_off_target(self, held_grant: HeldGrant, now: float) -> bool:
        """Returns whether tokens should be obtained or returned.

        A recovered grant is also adjusted, to delete its row, once all claims on it
        are known and all its tokens are unreserved or durably billed.
        """
        target = self._target(held_grant, now)
        if not self._is_own(held_grant):
            settled = (
                held_grant.claimed
                and held_grant.amount > 0
                and not held_grant.unreturnable
            )
            return settled or held_grant.unreserved > target
        if held_grant.amount and target == 0 and held_grant.unreserved > 0:
            return True
        reached = min(target, held_grant.unreserved_after_adjustment)
        fraction = SCARCE_REFILL_FRACTION if reached < target else REFILL_FRACTION
        low = held_grant.unreserved < reached * fraction
        return low or held_grant.unreserved > target * RETURN_FACTOR

    def _target(self, held_grant: HeldGrant, now: float) -> int:
        """Returns the target number of unreserved tokens.

        A recovered grant keeps its tokens until all claims on it are known, and
        for good if it is solo, as nobody can tell what the lost holder spent.
        """
        if not self._is_own(held_grant):
            return (
                0
                if held_grant.claimed and not held_grant.solo
                else held_grant.unreserved
            )
        if self.stopping:
            return 0
        target = target_unspent_tokens(held_grant.demand.rate(now), held_grant.policy)
        in_use = held_grant.open or now - held_grant.last_reserved_at < RECENT_USE_S
        return max(target, held_grant.policy.minimum) if in_use else target

    def _target_for(self, held_grant: HeldGrant, preferred: int, now: float) -> int:
        """Returns the target, or the tokens that a request prefers if they are more."""
        if not preferred:
            return self._target(held_grant, now)
        return max(preferred, held_grant.policy.minimum, self._target(held_grant, now))

    def _is_own(self, held_grant: HeldGrant) -> bool:
        return held_grant.grant.owner == self.instance

    async def obtain_tokens(self, held_grant: HeldGrant, order: ReserveOrder) -> Denial:
        """Obtains the tokens that an order needs from the table.

        Returns the reason to report if the grant still has too few. Does not call
        the table if a concurrent call was sufficient or another one failed just now.
        """
        grant = held_grant.grant
        had_to_wait = self.locks[grant].locked()
        async with self.locks[grant]:
            if had_to_wait and held_grant.unreserved >= order.minimum:
                return Denial.EXHAUSTED
            if self.retry_at.get(grant, 0.0) > self.clock():
                return self.last_denial[grant]
            denial = await self._adjust_locked(held_grant, order.minimum, order.tokens)
        return denial

    async def adjust(self, held_grant: HeldGrant, need: int) -> Denial:
        """Settles, obtains or returns tokens of a grant in the table.

        ``need`` is the minimum number of unreserved tokens to reach. Returns the
        reason to report if the grant still has too few.
        """
        async with self.locks[held_grant.grant]:
            return await self._adjust_locked(held_grant, need)

    async def _adjust_locked(
        self, held_grant: HeldGrant, need: int, preferred: int = 0
    ) -> Denial:
        grant, now = held_grant.grant, self.clock()
        if not self.registered:
            return self._deny(grant, Denial.PLATFORM_AWAY, TABLE_RETRY_S)
        was_pending = held_grant.pending is not None
        order = held_grant.begin_adjustment(
            need=need,
            desired=self._target_for(held_grant, preferred, now),
            journal=self.instance.name,
            journal_from=self.next_sequence(),
        )
        try:
            self.table_operations += 1
            after = await adjust_grant(self.table, grant, order)
        except PlatformError as error:
            log_event(Event.GRANT_DELAYED, grant=grant.key, reason=str(error))
            return self._deny(grant, Denial.PLATFORM_AWAY, PLATFORM_RETRY_S)
        except NotFoundError:
            held_grant.cancel_adjustment()
            return self._deny(grant, Denial.UNKNOWN_BUDGET, TABLE_RETRY_S)
        held_grant.finish_adjustment(after)
        self._log_adjusted(held_grant, after.budget)
        self.notify(grant)
        if was_pending:
            return await self._adjust_locked(held_grant, need, preferred)
        if held_grant.unreserved < need:
            await self._return_unreserved(held_grant)
        if after.budget.available == 0 or held_grant.unreserved < need:
            return self._deny(grant, Denial.EXHAUSTED, TABLE_RETRY_S)
        return Denial.EXHAUSTED

    async def _return_unreserved(self, held_grant: HeldGrant) -> None:
        """Returns the unreserved tokens, which are too few for the request.

        Another holder can then obtain them in addition to its own.
        """
        if held_grant.unreserved <= 0:
            return
        order = held_grant.begin_adjustment(
            0, 0, self.instance.name, self.next_sequence()
        )
        try:
            self.table_operations += 1
            after = await adjust_grant(self.table, held_grant.grant, order)
        except PlatformError as error:
            log_event(
                Event.GRANT_DELAYED, grant=held_grant.grant.key, reason=str(error)
            )
            return
        held_grant.finish_adjustment(after)
        self._log_adjusted(held_grant, after.budget)

    def _log_adjusted(self, held_grant: HeldGrant, budget: BudgetRow) -> None:
        log_event(
            Event.GRANT_ADJUSTED,
            grant=held_grant.grant.key,
            amount=held_grant.amount,
            unreserved=held_grant.unreserved,
            available=budget.available,
        )

    def _deny(self, grant: GrantId, denial: Denial, pause_s: float) -> Denial:
        """Records a denial, which is reused for ``pause_s`` seconds.

        This avoids a table operation for each request on an exhausted budget.
        """
        self.retry_at[grant] = self.clock() + pause_s
        self.last_denial[grant] = denial
        return denial

    def held_grants_of(self, budget: str) -> list[HeldGrant]:
        """Returns the held grants of a budget, the own one before recovered ones."""
        own = self.held_grants.get(GrantId(budget, self.instance))
        recovered = [
            self.held_grants[grant]
            for grant in self.recovered
            if grant.budget == budget
        ]
        return [own, *recovered] if own else recovered

    def notify(self, grant: GrantId) -> None:
        """Wakes the requests that wait for a grant to change."""
        self.change_events[grant].set()

    async def wait_for_change(self, grant: GrantId, left_s: float) -> None:
        """Waits until a grant changes, for at most ``left_s`` seconds."""
        changed = self.change_events[grant]
        changed.clear()
        self.waiting[grant] += 1
        try:
            async with asyncio.timeout(min(left_s, TABLE_RETRY_S)):
                await changed.wait()
        except TimeoutError:
            return
        finally:
            self.waiting[grant] -= 1
