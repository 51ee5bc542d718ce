"""Permits for calls to an endpoint that has named a limit, given out by time.

An endpoint that takes ``limit_per_s`` calls a second has one slot each ``1 /
limit_per_s`` seconds. A permit is for one slot, and each slot is given out once for the
whole fleet. It may be used from ``HORIZON_S`` before the slot to ``VALIDITY_S`` after
it, so that no more than ``limit_per_s * (window + HORIZON_S + VALIDITY_S) + 2`` calls
are sent in any window.

Without the store a VM uses an even share of a fraction of the limit instead.
"""

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

__all__ = [
    "GivenPermits",
    "HeldPermits",
    "OutageShare",
    "effective_limit_per_s",
    "give_permits",
]

HORIZON_S = 0.5
VALIDITY_S = 0.5
"""How long before and after its slot a permit may be used, in seconds."""

MIN_LIMIT_PER_S = 0.25
"""Smallest limit that is kept, in calls per second. Without any call nobody would hear
that the limit has ended."""

OUTAGE_FRACTION = 0.25
"""Fraction of a limit that VMs share without the store, while others may get all of it
from the store."""

DEMAND_WINDOW_S = 1.0
MAX_DEMAND = 256
"""Time in which the calls that need a permit are counted, and the largest number."""


def effective_limit_per_s(limit_per_s: float) -> float:
    """Returns the calls per second for which permits are given."""
    return max(MIN_LIMIT_PER_S, limit_per_s)


@dataclass(frozen=True, slots=True)
class GivenPermits:
    """The slots of new permits, and the time until which all slots are given out.

    Times are on the store's clock, in seconds.
    """

    slots: tuple[float, ...]
    given_until: float


def give_permits(
    given_until: float, now: float, limit_per_s: float, wanted: int
) -> GivenPermits:
    """Gives at most ``wanted`` permits for slots up to ``HORIZON_S`` ahead.

    >>> give_permits(given_until=9.0, now=10.0, limit_per_s=2.0, wanted=3)
    GivenPermits(slots=(10.0, 10.5), given_until=11.0)
    >>> give_permits(given_until=11.0, now=10.0, limit_per_s=2.0, wanted=3).slots
    ()
    """
    start = max(given_until, now)
    interval_s = 1.0 / limit_per_s
    slots = []
    while len(slots) < wanted and start <= now + HORIZON_S:
        slots.append(start)
        start += interval_s
    return GivenPermits(tuple(slots), start if slots else given_until)


class HeldPermits:
    """The permits of one VM for one endpoint, and its demand for them.

    ``expiries`` are the times at which the permits end and ``demand`` those of calls
    that needed one, in seconds on the clock of the process.
    """

    def __init__(self) -> None:
        self.expiries: deque[float] = deque()
        self.demand: deque[float] = deque(maxlen=MAX_DEMAND)

    def add(self, slots: Sequence[float]) -> None:
        """Adds permits for slots, whose times are on the clock of the process."""
        self.expiries.extend(slot + VALIDITY_S for slot in slots)

    def use(self, now: float) -> bool:
        """Uses one permit; returns false if there is none."""
        while self.expiries and self.expiries[0] < now:
            self.expiries.popleft()
        if not self.expiries:
            return False
        self.expiries.popleft()
        return True

    def record_demand(self, now: float) -> None:
        """Records a call that needs a permit."""
        self.demand.append(now)

    def wanted(self, now: float) -> int:
        """Returns for how many calls permits should be obtained."""
        while self.demand and self.demand[0] < now - DEMAND_WINDOW_S:
            self.demand.popleft()
        return 1 + int(len(self.demand) / DEMAND_WINDOW_S * HORIZON_S)


class OutageShare:
    """This VM's share of one endpoint's limit while it does not reach the store.

    ``next_at`` is the time in seconds from which the next call may be sent, ``None``
    while the store is reached. All VMs may lose the store at once, so each one starts
    at a random time.
    """

    def __init__(self) -> None:
        self.next_at: float | None = None

    def use(self, limit_per_s: float, vms: int, now: float, rng: random.Random) -> bool:
        """Returns whether a call may be sent; ``vms`` share the limit.

        >>> share, rng = OutageShare(), random.Random(1)
        >>> times = [t / 10 for t in range(1000)]
        >>> sum(share.use(4.0, 5, t, rng) for t in times)  # 0.2 of 1 call per second
        20
        """
        interval_s = vms / (limit_per_s * OUTAGE_FRACTION)
        if self.next_at is None:
            self.next_at = now + rng.uniform(0.0, interval_s)
        if now < min(self.next_at, now + interval_s):
            return False
        self.next_at = now + interval_s
        return True

    def end(self) -> None:
        """Ends the share, because the store is reached again."""
        self.next_at = None
