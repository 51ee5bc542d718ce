"""How long calls last, to tell which of them can end before a process stops."""

from collections import OrderedDict, deque
from math import ceil

__all__ = ["CallDurations", "latest_start"]

MAX_DURATIONS = 64
"""Number of calls of a route whose durations are remembered, the last ones."""

MAX_ROUTES = 2_000
"""Largest number of routes, of some 2 KB each; the one not called for longest is
forgotten."""

USUAL_FRACTION = 0.9
"""Fraction of the calls that are no longer than the usual duration."""

MIN_DURATIONS = 10
"""Number of durations that tell what is usual."""

END_MARGIN_S = 0.5
"""Time between the expected end of a call and that of the process, in seconds."""


class CallDurations:
    """The durations of the last calls of each route, in seconds."""

    def __init__(self) -> None:
        self.by_route: OrderedDict[str, deque[float]] = OrderedDict()

    def record(self, route: str, duration_s: float) -> None:
        """Records the duration of a call that was served."""
        durations = self.by_route.setdefault(route, deque(maxlen=MAX_DURATIONS))
        durations.append(duration_s)
        self.by_route.move_to_end(route)
        if len(self.by_route) > MAX_ROUTES:
            self.by_route.popitem(last=False)

    def usual_s(self, route: str) -> float | None:
        """Returns what nine of ten calls of a route don't exceed, ``None`` if unknown.

        >>> durations = CallDurations()
        >>> for duration_s in (0.1, 0.1, 0.1, 0.2, 0.2, 0.2, 0.2, 0.2, 0.3, 4.0):
        ...     durations.record("drafts", duration_s)
        >>> durations.usual_s("drafts")
        0.3
        """
        known = self.by_route.get(route, ())
        if len(known) < MIN_DURATIONS:
            return None
        return sorted(known)[ceil(USUAL_FRACTION * len(known)) - 1]


def latest_start(deadline: float, ends_at: float, expected_s: float | None) -> float:
    """Returns the last time at which a call may be sent, if the process ends then.

    ``expected_s`` is how long the call is expected to last, ``None`` if that is not
    known: such a call may last until its deadline. Times are in seconds.

    >>> latest_start(deadline=12.0, ends_at=20.0, expected_s=3.0)
    12.0
    >>> latest_start(deadline=30.0, ends_at=20.0, expected_s=3.0)
    16.5
    >>> latest_start(deadline=30.0, ends_at=20.0, expected_s=None)
    -inf
    """
    if deadline <= ends_at:
        return deadline
    if expected_s is None:
        return float("-inf")
    return ends_at - END_MARGIN_S - expected_s
