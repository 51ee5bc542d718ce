"""Keeps calls away from endpoints that fall over if they turn too many away.

A brittle endpoint says how many calls it may turn away in a second, from all VMs
together. A VM may always have its even share of the endpoint's slots in flight. Beyond
that it risks a rejection, so the number of such calls at one time is bounded by its
share of the rejections.
"""

from collections import OrderedDict
from collections.abc import Callable

from verbenagrade.state.directory import EndpointEntry

__all__ = ["BrittleEndpoints"]

MAX_BRITTLE = 4_096
"""Largest number of brittle endpoint incarnations that are remembered."""

USED_FRACTION = 0.5
"""Fraction of the rejections that VMs plan with, as they reject at random times."""


class RejectionAllowance:
    """The calls beyond its share that a VM may have in flight at one endpoint."""

    def __init__(self, limit_per_s: float, now: float) -> None:
        self.limit_per_s = limit_per_s
        self.left = 1.0
        self.updated_at = now

    def grow(self, vm_count: int, now: float) -> None:
        """Adds this VM's share of the rejections since the last time."""
        rate_per_s = USED_FRACTION * self.limit_per_s / max(1, vm_count)
        grown = self.left + rate_per_s * (now - self.updated_at)
        self.left = min(max(1.0, rate_per_s), grown)
        self.updated_at = now


class BrittleEndpoints:
    """The endpoints that said they are brittle; ``vm_count`` VMs send them calls.

    >>> entry = EndpointEntry("i-1", "pool", "", "a", slots=4)
    >>> brittle = BrittleEndpoints(lambda: 2)
    >>> brittle.record_response(entry.incarnation, 4.0, rejected=False, now=0.0)
    >>> [brittle.has_room(entry, in_flight, now=0.0) for in_flight in (1, 2, 3)]
    [True, True, False]
    >>> brittle.record_response(entry.incarnation, 4.0, rejected=True, now=0.0)
    >>> brittle.has_room(entry, 2, now=0.0), brittle.has_room(entry, 2, now=1.0)
    (False, True)
    """

    def __init__(self, vm_count: Callable[[], int]) -> None:
        self.vm_count = vm_count
        self.allowances: OrderedDict[str, RejectionAllowance] = OrderedDict()

    def record_response(
        self, incarnation: str, limit_per_s: float | None, rejected: bool, now: float
    ) -> None:
        """Records what a response says, and whether it rejects a call.

        ``limit_per_s`` is the number of rejections a second, ``None`` if the endpoint
        is not brittle.
        """
        if limit_per_s is None:
            self.allowances.pop(incarnation, None)
            return
        allowance = self.allowances.get(incarnation)
        if allowance is None:
            allowance = RejectionAllowance(limit_per_s, now)
            self.allowances[incarnation] = allowance
        if len(self.allowances) > MAX_BRITTLE:
            self.allowances.popitem(last=False)
        allowance.limit_per_s = limit_per_s
        allowance.grow(self.vm_count(), now)
        if rejected:
            allowance.left = max(0.0, allowance.left - 1.0)

    def has_room(self, entry: EndpointEntry, in_flight: int, now: float) -> bool:
        """Returns whether an endpoint may get a call beside ``in_flight`` others."""
        allowance = self.allowances.get(entry.incarnation)
        if allowance is None:
            return True
        allowance.grow(self.vm_count(), now)
        share = entry.slots // max(1, self.vm_count())
        return in_flight < share or in_flight - share + 1 <= allowance.left
