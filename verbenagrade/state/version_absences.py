"""Tells when endpoints of a software version are gone rather than not listed now.

The entry of an endpoint also lapses while the store is away, and is back a short time
after the store is. A VM may have missed that the store was away, or have started since.
That it sees no entry of a version thus proves something only after it has been in touch
with the store for as long as entries take to come back.
"""

from dataclasses import dataclass

from verbenagrade.state.directory import REREGISTRATION_S

__all__ = ["GONE_AFTER_S", "Absence", "next_absence"]

GONE_AFTER_S = REREGISTRATION_S + 1.0
"""Time in touch with the store, in seconds, after which a version without entries is
gone: that within which endpoints register again, and some for the change to arrive."""

MAX_LOOK_INTERVAL_S = 1.5
"""Longest time between two looks at the entries, in seconds. A process that looked less
often stood still, and may have missed that the store was away."""


@dataclass(frozen=True, slots=True)
class Absence:
    """For how long a VM in touch has seen no entry of a version, in seconds.

    ``seen_at`` is when it last looked, in seconds.
    """

    lasted_s: float
    seen_at: float

    @property
    def proves_gone(self) -> bool:
        """Whether the endpoints of the version are gone."""
        return self.lasted_s >= GONE_AFTER_S


def next_absence(previous: Absence | None, returned_at: float, now: float) -> Absence:
    """Returns the absence of a version of which a VM in touch sees no entry at ``now``.

    ``previous`` is what it knew at its last look, ``None`` if it saw an entry then or
    was not in touch, and ``returned_at`` when the store last responded again after an
    outage; all times are in seconds.

    >>> first = next_absence(None, returned_at=0.0, now=10.0)
    >>> next_absence(first, returned_at=0.0, now=11.0)
    Absence(lasted_s=1.0, seen_at=11.0)
    >>> next_absence(first, returned_at=10.5, now=11.0)
    Absence(lasted_s=0.0, seen_at=11.0)
    >>> next_absence(first, returned_at=0.0, now=40.0)
    Absence(lasted_s=0.0, seen_at=40.0)
    """
    if previous is None or returned_at > previous.seen_at:
        return Absence(0.0, now)
    interval_s = now - previous.seen_at
    if interval_s > MAX_LOOK_INTERVAL_S:
        return Absence(0.0, now)
    return Absence(previous.lasted_s + interval_s, now)
