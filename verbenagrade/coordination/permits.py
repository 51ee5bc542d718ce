"""Obtains permits for calls to endpoints that have named a limit.

All VMs share the limit of an endpoint through a row of the table ``permits``, with the
time until which its slots are given out. A VM takes slots by a transaction that checks
the row, when a call needs one. What other VMs do not take is thus left to those with
calls. The response of a lost transaction costs slots and gives out none twice.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf

import msgspec

from verbenagrade.coordination.codec import decode_or_ignore, log_ignored
from verbenagrade.coordination.ports import (
    Check,
    Clock,
    PlatformStore,
    Row,
    Write,
)
from verbenagrade.events import Event, log_event
from verbenagrade.exceptions import PlatformError
from verbenagrade.state.decoding import Seconds
from verbenagrade.state.permits import (
    HORIZON_S,
    VALIDITY_S,
    HeldPermits,
    OutageShare,
    effective_limit_per_s,
    give_permits,
)

__all__ = ["PERMIT_TABLE", "PermitManager", "StoreTime", "permit_key"]

PERMIT_TABLE = "permits"
MAX_TRIES = 3
"""Largest number of transactions for one request of permits; more conflicts show that
others want them as well."""

RETRY_S = 1.0
"""Time after a failed request to the store before the next one, in seconds."""

MIN_BACKOFF_SLOTS = 0.5
BACKOFF_INCREASE = 2.0
BACKOFF_DECREASE = 0.5
"""Shortest backoff after a request without a permit, in slots of the endpoint, and the
factors by which it grows with each such request and shrinks with each other one."""

RECENT_S = 1.0
MAX_RECENT_PERMITS = 256
"""Time in seconds in which received permits are counted, and the largest number."""

MAX_AHEAD_S = 3600.0
"""Time in seconds by which a row can be ahead of what this VM takes for the store's
time, which can be outdated. VMs give slots out some seconds ahead."""

UNKNOWN_VERSION = -1
NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class StoreTime:
    """The store's clock: ``offset_s`` is what has to be added to that of the process.

    It is ``None`` while no response has told the store's time; ``learn`` takes it from
    a response.
    """

    offset_s: Callable[[], float | None]
    learn: Callable[[float | None], None]


class PermitRow(msgspec.Struct, frozen=True):
    """The time until which all slots are given out, on the store's clock."""

    given_until_s: Seconds


class EndpointPermits:
    """What one VM knows of the permits for one endpoint incarnation.

    ``version`` and ``given_until`` are of the row as last seen, and ``asked`` is the
    request under way. After a conflict the VM asks at ``ask_at`` again, a random part
    of ``backoff_s`` after slots can be free. Times but ``given_until`` are in seconds
    on the clock of the process.
    """

    def __init__(self, backoff_s: float) -> None:
        self.held = HeldPermits()
        self.share = OutageShare()
        self.version = UNKNOWN_VERSION
        self.given_until = NEVER_S
        self.asked: asyncio.Task[None] | None = None
        self.ask_at = NEVER_S
        self.backoff_s = backoff_s

    def see(self, row: Row | None, store_now_s: float | None) -> None:
        """Takes over the present state of the row.

        One that no VM can have written is replaced by the next transaction.
        """
        self.version = row.version if row else 0
        self.given_until = NEVER_S
        content = decode_or_ignore(row, PermitRow) if row else None
        if content is None:
            return
        latest_s = inf if store_now_s is None else store_now_s + MAX_AHEAD_S
        if content.given_until_s > latest_s:
            log_ignored(row.key, "its time is too far in the future")
            return
        self.given_until = content.given_until_s


def permit_key(incarnation: str) -> str:
    """Returns the key of an endpoint's row, which has a partition of its own."""
    return f"{PERMIT_TABLE}/{incarnation}/slots"


class PermitManager:
    """Obtains and uses permits; ``vm_count`` VMs share the limits.

    ``away`` is true since a request to the store has failed, and ``retry_at`` the time
    in seconds of the next one. ``received`` are the times at which permits came, and
    ``waiting_calls`` counts the calls that wait for one.
    """

    def __init__(
        self, table: PlatformStore, clock: Clock, time: StoreTime, rng: random.Random
    ) -> None:
        self.table = table
        self.clock = clock
        self.time = time
        self.random = rng
        self.vm_count = 1
        self.endpoints: dict[str, EndpointPermits] = {}
        self.away = False
        self.retry_at = NEVER_S
        self.received: deque[float] = deque(maxlen=MAX_RECENT_PERMITS)
        self.waiting_calls = 0

    async def take(
        self, incarnation: str, limit_per_s: float, patience_s: float
    ) -> bool:
        """Returns whether a call may be sent to an endpoint that has a limit.

        It asks the store for at most ``patience_s`` seconds, not at all if this is 0.
        Permits that arrive later are left for the next calls.
        """
        limit_per_s = effective_limit_per_s(limit_per_s)
        now = self.clock()
        permits = self._permits(incarnation, limit_per_s)
        permits.held.record_demand(now)
        if permits.held.use(now):
            return True
        if patience_s > 0 and self.may_ask(incarnation, now):
            asked = asyncio.create_task(self._ask(incarnation, permits, limit_per_s))
            permits.asked = asked
            asked.add_done_callback(_raise_failure)
            if not self.away:
                await asyncio.wait({asked}, timeout=patience_s)
        if permits.held.use(self.clock()):
            return True
        if self.away or self.time.offset_s() is None:
            return permits.share.use(
                limit_per_s, self.vm_count, self.clock(), self.random
            )
        return False

    def may_wait(self) -> bool:
        """Returns whether one more call may wait for a permit.

        As many may wait as this VM got permits lately.
        """
        start = self.clock() - RECENT_S
        while self.received and self.received[0] < start:
            self.received.popleft()
        return self.waiting_calls <= len(self.received)

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Counts a call that waits for a permit."""
        self.waiting_calls += 1
        try:
            yield
        finally:
            self.waiting_calls -= 1

    def may_ask(self, incarnation: str, now: float) -> bool:
        """Returns whether the store may have free slots of an endpoint."""
        permits = self.endpoints.get(incarnation)
        if permits is None:
            return True
        asking = permits.asked is not None and not permits.asked.done()
        return not asking and self.free_at(incarnation, now) <= now

    def free_at(self, incarnation: str, now: float) -> float:
        """Returns the earliest time at which this VM can get a permit, in seconds."""
        permits = self.endpoints.get(incarnation)
        if permits is None:
            return now
        offset_s = self.time.offset_s()
        if offset_s is None:
            return now + RETRY_S
        slots_free_at = permits.given_until - HORIZON_S - offset_s
        return max(now, permits.ask_at, slots_free_at, self.retry_at)

    def enter_era(self) -> None:
        """Forgets the rows of an earlier era of the store, which may be lost.

        Slots that were given out since may seem free, so nothing is asked until they
        have passed.
        """
        now = self.clock()
        for permits in self.endpoints.values():
            permits.version = UNKNOWN_VERSION
            permits.given_until = NEVER_S
            permits.ask_at = now + HORIZON_S + VALIDITY_S

    def keep(self, incarnations: frozenset[str]) -> None:
        """Forgets all endpoints but these, which have a limit."""
        for incarnation in tuple(self.endpoints):
            if incarnation not in incarnations:
                del self.endpoints[incarnation]

    def _permits(self, incarnation: str, limit_per_s: float) -> EndpointPermits:
        permits = self.endpoints.get(incarnation)
        if permits is None:
            permits = EndpointPermits(backoff_s=MIN_BACKOFF_SLOTS / limit_per_s)
            self.endpoints[incarnation] = permits
        return permits

    async def _ask(
        self, incarnation: str, permits: EndpointPermits, limit_per_s: float
    ) -> None:
        """Takes slots from the row, or learns when there are some."""
        key = permit_key(incarnation)
        try:
            if permits.version == UNKNOWN_VERSION:
                (row,) = await self.table.read((key,))
                permits.see(row, self._store_now_s())
            count = await self._transact(key, permits, limit_per_s)
        except PlatformError as error:
            self._lose_store(permits, str(error))
            return
        self._regain_store()
        self._back_off(incarnation, permits, count, limit_per_s)
        log_event(
            Event.PERMITS_TAKEN,
            endpoint=incarnation,
            limit_per_s=limit_per_s,
            permits=count,
            vms=self.vm_count,
        )

    def _back_off(
        self, incarnation: str, permits: EndpointPermits, count: int, limit_per_s: float
    ) -> None:
        """Waits longer after each request that got no permit, up to an even share."""
        shortest_s = MIN_BACKOFF_SLOTS / limit_per_s
        longest_s = max(shortest_s, self.vm_count / limit_per_s)
        factor = BACKOFF_DECREASE if count else BACKOFF_INCREASE
        permits.backoff_s = min(longest_s, max(shortest_s, permits.backoff_s * factor))
        permits.ask_at = NEVER_S
        if not count:
            free_at = self.free_at(incarnation, self.clock())
            permits.ask_at = free_at + self.random.uniform(0.0, permits.backoff_s)

    async def _transact(
        self, key: str, permits: EndpointPermits, limit_per_s: float
    ) -> int:
        """Returns the number of permits obtained."""
        for _ in range(MAX_TRIES):
            offset_s = self.time.offset_s()
            if offset_s is None:
                raise PlatformError("the store's time is not known yet; retry")
            now = self.clock()
            given = give_permits(
                permits.given_until,
                now + offset_s,
                limit_per_s,
                permits.held.wanted(now),
            )
            if not given.slots:
                return 0
            value = msgspec.json.encode(PermitRow(given.given_until))
            commit = await self.table.commit(
                (Check(key, permits.version),), (Write(key, value),)
            )
            self.time.learn(commit.store_time_s)
            if commit.committed:
                permits.version = commit.version
                permits.given_until = given.given_until
                self.received.extend([now] * len(given.slots))
                permits.held.add([slot - offset_s for slot in given.slots])
                return len(given.slots)
            permits.see(next(iter(commit.rows), None), self._store_now_s())
        return 0

    def _store_now_s(self) -> float | None:
        offset_s = self.time.offset_s()
        return None if offset_s is None else self.clock() + offset_s

    def _regain_store(self) -> None:
        if not self.away:
            return
        self.away = False
        for permits in self.endpoints.values():
            permits.share.end()

    def _lose_store(self, permits: EndpointPermits, reason: str) -> None:
        if not self.away:
            log_event(Event.PLATFORM_AWAY, table=PERMIT_TABLE, reason=reason)
        self.away = True
        self.retry_at = self.clock() + RETRY_S
        permits.version = UNKNOWN_VERSION


def _raise_failure(task: asyncio.Task[None]) -> None:
    """Hands an unexpected failure to the event loop, which logs it."""
    if not task.cancelled() and task.exception() is not None:
        raise task.exception()
